package edge

import (
	"context"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/peerstate"
	"github.com/yuccaspindle/yuccaspindle/pkg/storewatch"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// isFollower reports whether this edge follows others instead of watching the store.
func (v *view) isFollower() bool { return !v.e.settings.IsSeed && len(v.e.settings.Seeds) > 0 }

// followOrWatch keeps the view up to date. Only the seeds watch the store and the
// others follow them, so that the number of store calls does not grow with the number
// of edges.
func (v *view) followOrWatch(ctx context.Context) {
	if !v.isFollower() {
		v.watchStore(ctx, false)
		return
	}
	if !v.e.settings.FirstStart {
		go v.bootstrap(ctx)
	}
	f := &peerstate.Follower{
		Transport: v.e.transport, Logger: v.e.logger,
		Senders: func() ([]string, []string) {
			return peerstate.SortByDistance(v.seedAddresses(), v.distance), v.Relays()
		},
		Distance:   v.distance,
		OnUpdate:   v.handleUpdate,
		OnFeedLost: v.feedLost,
		HasState:   v.isLoaded,
		// A restarted edge may have callers waiting already.
		SkipWait: func() bool { return !v.isLoaded() && !v.e.settings.FirstStart },
		ProbeStore: func(ctx context.Context) error {
			_, _, err := v.e.store.Load().List(ctx, platform.KindRetirements)
			return err
		},
		WatchStore: v.watchStore,
	}
	if v.keyLimit > 0 {
		f.Clock, f.OnChecked = v.sinceBoot, v.checked.Record
	}
	v.setRefresh(f.Restart)
	f.Run(ctx)
}

func (v *view) seedAddresses() []string {
	var list []string
	for _, ip := range v.e.settings.Seeds {
		list = append(list, v.e.settings.PeerAddressOf(ip))
	}
	return list
}

// watchStore watches the store until the context is done. unreachable is set if the
// store did not answer before.
func (v *view) watchStore(ctx context.Context, unreachable bool) {
	group := &storewatch.Group{
		Store: v.e.store.Load, Logger: v.e.logger, Interval: checkInterval, CheckKind: platform.KindRetirements,
		OnCheck: v.applyRetirements, StoreWasDown: unreachable,
	}
	if v.keyLimit > 0 {
		group.Clock, group.OnChecked, group.CurrentKind = v.sinceBoot, v.checked.Record, platform.KindConfig
	}
	group.Add(platform.KindConfig, configHandler{v})
	group.Add(platform.KindUpstreams, upstreamHandler{v})
	group.Add(platform.KindNodes, nodeHandler{v})
	defer v.watchStarted(group)()
	v.setStoreUnreachable(group.UnavailableWithin)
	defer v.setStoreUnreachable(nil)
	previous := v.setRefresh(group.Relist)
	defer func() { v.setRefresh(previous) }()
	group.Run(ctx)
}

func (v *view) setStoreUnreachable(unreachable func(time.Duration) bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.storeUnreachable = unreachable
}

// distance returns 0 for an edge in this failure domain, 1 in this region, and 2
// elsewhere or if its location is unknown.
func (v *view) distance(address string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, n := range v.nodes {
		switch {
		case n.Address != address || n.Role != platform.RoleEdge:
		case n.FailureDomain == v.e.settings.FailureDomain:
			return 0
		case v.e.settings.RegionOf[n.FailureDomain] == v.e.settings.Region:
			return 1
		}
	}
	return 2
}

// feedLost records that this edge receives no more changes, and passes this on to its
// followers.
func (v *view) feedLost() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.setLostLocked(true)
	v.feed.sender = ""
	v.feed.signalChange()
}

// setLostLocked requires the view's lock.
func (v *view) setLostLocked(lost bool) {
	for kind := range v.lost {
		v.lost[kind] = lost
	}
}
