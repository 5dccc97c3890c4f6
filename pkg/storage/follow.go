package storage

import (
	"context"
	"slices"

	"github.com/yuccaspindle/yuccaspindle/pkg/peerstate"
	"github.com/yuccaspindle/yuccaspindle/pkg/storewatch"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// maxOtherSenders bounds the entries besides the seeds that are tried.
const maxOtherSenders = 3

// follow keeps this process informed through an entry, or through the store
// while there is none to follow.
func (s *Storage) follow(ctx context.Context) {
	f := &peerstate.Follower{
		Transport: s.transport, Logger: s.logger,
		Senders: func() ([]string, []string) {
			others := peerstate.SortByDistance(s.members.entries(), s.members.distance)
			return peerstate.SortByDistance(s.seedAddresses(), s.members.distance), others[:min(len(others), maxOtherSenders)]
		},
		Distance:   s.members.distance,
		OnUpdate:   s.taken,
		OnFeedLost: func() { s.members.setLost(true) },
		HasState: func() bool {
			_, known := s.members.others()
			return known
		},
		// Otherwise there is time: requests do not need what the store holds.
		SkipWait: func() bool { return len(s.settings.Seeds) == 0 },
		ProbeStore: func(ctx context.Context) error {
			_, _, err := s.store.Load().List(ctx, platform.KindRetirements)
			return err
		},
		WatchStore: s.watchStore,
	}
	f.Run(ctx)
}

// taken takes over an update of an entry.
func (s *Storage) taken(u *peerstate.Update, _ string) {
	s.keeper.take(u)
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

// watchStore watches the store until the context ends. away is set if the store
// did not answer before.
func (s *Storage) watchStore(ctx context.Context, away bool) {
	group := &storewatch.Group{
		Store: s.store.Load, Logger: s.logger, Interval: checkInterval, CheckKind: platform.KindRetirements, StoreWasDown: away,
	}
	group.Add(platform.KindNodes, nodeHandler{s.members})
	group.Add(platform.KindRetirements, s.retirement)
	group.Run(ctx)
}
