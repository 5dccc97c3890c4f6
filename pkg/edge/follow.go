package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/peerstate"
	"github.com/yuccaspindle/yuccaspindle/pkg/storewatch"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	// patience is the number of answers of the store, each after followPause,
	// for which an entry waits for the others to watch it.
	patience = 2
	// followPause is the pause before the senders are tried again.
	followPause = 300 * time.Millisecond
	// ownTime is how long an entry watches the store itself before it looks for
	// a sender again.
	ownTime = 4 * time.Second
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
	var d followDecision
	for ctx.Err() == nil {
		followed := v.followPeers(ctx)
		v.setAllLost()
		if followed {
			d = followDecision{}
		}
		// An entry that starts alone has callers already.
		own := !v.isKnown() && !v.e.settings.FirstStart
		if !own {
			_, _, err := v.e.store.Load().List(ctx, platform.KindRetirements)
			own = d.storeTried(err == nil, v.isKnown())
		}
		if own {
			v.e.logger.Info("watching the store, no other entry does", "store_was_away", d.away)
			limited, cancel := context.WithTimeout(ctx, ownTime/2+rand.N(ownTime))
			v.watchStore(limited, d.away)
			cancel()
			d = followDecision{}
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(d.pause()/2 + rand.N(d.pause())):
		}
	}
}

// followDecision decides when an entry that has nobody to follow watches the
// store itself.
type followDecision struct {
	answers int  // in a row
	away    bool // the store did not answer at some time
}

// storeTried takes the result of a call of the store and reports whether to
// watch it. A store that has just come back, or a whole deployment that starts,
// is left for a while to the entries that watch anyway; else they are out of
// reach, and changes must not be missed.
func (d *followDecision) storeTried(answered, started bool) bool {
	if !answered {
		d.answers, d.away = 0, true
		return false
	}
	d.answers++
	return d.answers > patience || started && !d.away
}

// pause returns the time before the next try.
func (d *followDecision) pause() time.Duration {
	if d.answers == 0 {
		return 2 * followPause
	}
	return followPause
}

// watchStore watches the store until the context ends. away is set if the store
// did not answer before.
func (v *view) watchStore(ctx context.Context, away bool) {
	group := &storewatch.Group{
		Store: v.e.store.Load, Logger: v.e.logger, Interval: checkInterval, CheckKind: platform.KindRetirements, Lost: away,
	}
	group.Add(platform.KindConfig, configHandler{v})
	group.Add(platform.KindUpstreams, upstreamHandler{v})
	group.Add(platform.KindNodes, nodeHandler{v})
	defer v.watching(group)()
	group.Run(ctx)
}

// followPeers follows one entry after the other until none is left that may be
// followed, and reports whether it followed one.
func (v *view) followPeers(ctx context.Context) (followed bool) {
	failed := make(map[string]bool)
	for ctx.Err() == nil {
		address := v.nextSender(failed)
		if address == "" {
			break
		}
		began := time.Now()
		err := v.followOne(ctx, address)
		if ctx.Err() != nil {
			break
		}
		if time.Since(began) > peerstate.FeedSilence {
			followed = true
			clear(failed) // the others may have come back meanwhile
			v.e.logger.Info("feed lost", "peer", address, "err", err)
		} else {
			v.e.logger.Debug("feed not received", "peer", address, "err", err)
		}
		failed[address] = true
	}
	return followed
}

// nextSender returns the next entry to follow: the seeds, the nearest first,
// then some others, which may watch the store because no seed does.
func (v *view) nextSender(failed map[string]bool) string {
	var list []string
	for _, ip := range v.e.settings.Seeds {
		list = append(list, v.e.settings.PeerAddressOf(ip))
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b string) int { return v.distance(a) - v.distance(b) })
	for _, address := range append(list, v.Relays()...) {
		if !failed[address] {
			return address
		}
	}
	return ""
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

// followOne follows an entry until it falls silent or knows nothing new.
func (v *view) followOne(ctx context.Context, address string) error {
	return peerstate.Follow(ctx, v.e.transport, address, func(u *peerstate.Update) {
		v.applyFeed(u, "peer "+address)
		if u.Complete {
			v.setFollowing(address)
		}
	})
}

// setFollowing notes that a feed is received.
func (v *view) setFollowing(address string) {
	v.mu.Lock()
	for kind := range v.lost {
		v.lost[kind] = false
	}
	v.mu.Unlock()
	v.e.logger.Info("following", "peer", address)
}

// setAllLost notes that nothing is heard of the store.
func (v *view) setAllLost() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for kind := range v.lost {
		v.lost[kind] = true
	}
}
