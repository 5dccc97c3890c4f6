package edge

import (
	"context"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/peerstate"
	"github.com/yuccaspindle/yuccaspindle/pkg/storewatch"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// follows reports whether this entry follows others rather than the store.
func (v *view) follows() bool { return !v.e.settings.IsSeed && len(v.e.settings.Seeds) > 0 }

// follow keeps the view fresh. Some entries watch the store, the others follow
// them, so that the calls of the store do not grow with the entries.
func (v *view) follow(ctx context.Context) {
	if !v.follows() {
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
		OnUpdate:   v.heard,
		OnFeedLost: v.feedLost,
		HasState:   v.isKnown,
		// An entry that starts alone has callers already.
		SkipWait: func() bool { return !v.isKnown() && !v.e.settings.FirstStart },
		ProbeStore: func(ctx context.Context) error {
			_, _, err := v.e.store.Load().List(ctx, platform.KindRetirements)
			return err
		},
		WatchStore: v.watchStore,
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

// watchStore watches the store until the context ends. away is set if the store
// did not answer before.
func (v *view) watchStore(ctx context.Context, away bool) {
	group := &storewatch.Group{
		Store: v.e.store.Load, Logger: v.e.logger, Interval: checkInterval, CheckKind: platform.KindRetirements,
		OnCheck: v.noteRetirements, StoreWasDown: away,
	}
	group.Add(platform.KindConfig, configHandler{v})
	group.Add(platform.KindUpstreams, upstreamHandler{v})
	group.Add(platform.KindNodes, nodeHandler{v})
	defer v.watching(group)()
	v.setStoreAway(group.UnavailableWithin)
	defer v.setStoreAway(nil)
	previous := v.setRefresh(group.Relist)
	defer func() { v.setRefresh(previous) }()
	group.Run(ctx)
}

func (v *view) setStoreAway(away func(time.Duration) bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.storeAway = away
}

// distance orders entries: 0 in this failure domain, 1 in this region, 2
// elsewhere or not known.
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

// feedLost notes that nothing is heard of the store, here and at the processes
// that follow this entry.
func (v *view) feedLost() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.setLostLocked(true)
	v.feed.sender = ""
	v.feed.wake()
}

// setLostLocked needs the view's lock.
func (v *view) setLostLocked(lost bool) {
	for kind := range v.lost {
		v.lost[kind] = lost
	}
}
