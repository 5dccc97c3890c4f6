package storage

import (
	"context"
	"slices"

	"github.com/yuccaspindle/yuccaspindle/pkg/peerstate"
	"github.com/yuccaspindle/yuccaspindle/pkg/storewatch"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// maxOtherEntries is the number of entries besides the seeds that are tried.
const maxOtherEntries = 3

// followUpdates receives updates of the deployment from an entry, or from the
// store while no entry can be followed.
func (s *Storage) followUpdates(ctx context.Context) {
	f := &peerstate.Follower{
		Transport: s.transport, Logger: s.logger,
		Senders: func() ([]string, []string) {
			others := peerstate.SortByDistance(s.members.entries(), s.members.distance)
			return peerstate.SortByDistance(s.seedAddresses(), s.members.distance), others[:min(len(others), maxOtherEntries)]
		},
		Distance:   s.members.distance,
		OnUpdate:   s.applyUpdate,
		OnFeedLost: func() { s.members.setLost(true) },
		HasState: func() bool {
			_, known := s.members.others()
			return known
		},
		// With seeds this process can wait for an entry, since requests do not need
		// the content of the store.
		SkipWait: func() bool { return len(s.settings.Seeds) == 0 },
		ProbeStore: func(ctx context.Context) error {
			_, _, err := s.store.Load().List(ctx, platform.KindRetirements)
			return err
		},
		WatchStore: s.watchStore,
	}
	f.Run(ctx)
}

// applyUpdate applies an update that was received from an entry.
func (s *Storage) applyUpdate(u *peerstate.Update, _ string) {
	s.snapshotSaver.apply(u)
	nodeHandler{s.members}.Changed(u.Nodes)
	if u.Complete {
		s.members.setLost(false)
	}
	if slices.Contains(u.Retirements, s.settings.Node) {
		s.retirement.start()
	}
}

func (s *Storage) seedAddresses() []string {
	var list []string
	for _, ip := range s.settings.Seeds {
		list = append(list, s.settings.PeerAddressOf(ip))
	}
	return list
}

// watchStore watches the store until the context is done. unavailable is set if
// the store did not respond before.
func (s *Storage) watchStore(ctx context.Context, unavailable bool) {
	group := &storewatch.Group{
		Store: s.store.Load, Logger: s.logger, Interval: checkInterval, CheckKind: platform.KindRetirements, StoreWasDown: unavailable,
	}
	group.Add(platform.KindNodes, nodeHandler{s.members})
	group.Add(platform.KindRetirements, s.retirement)
	group.Run(ctx)
}
