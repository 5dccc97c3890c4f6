package peerstate

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

const (
	// maxWaitProbes is the number of successful probes of the store, with a retryPause
	// between them, during which a process waits for an entry to watch the store.
	maxWaitProbes = 2
	// retryPause is the pause before the entries are tried again.
	retryPause = 300 * time.Millisecond
	// DirectWatchTime is the mean time for which a process watches the store itself before
	// it looks for an entry to follow again.
	DirectWatchTime = 4 * time.Second
)

// Causes of the end of a feed that are not failures of its sender.
var (
	errNearer  = errors.New("a nearer entry is available")
	errRestart = errors.New("restart requested")
)

// Follower keeps a process up to date with the platform's store. It follows the feed of
// an entry that watches the store, so that the number of calls to the store does not
// grow with the number of processes. While there is no such entry, it watches the store
// itself.
type Follower struct {
	Transport *transport.Transport
	Logger    *slog.Logger
	// Senders returns the addresses of the preferred entries to follow, best first, and of
	// others to try if none of these can be followed.
	Senders func() (first, others []string)
	// Distance returns the distance of an entry; smaller is nearer.
	Distance func(address string) int
	// OnUpdate applies an update from a sender. After an update with Complete set, it
	// receives all later changes until OnFeedLost is called.
	OnUpdate   func(u *Update, sender string)
	OnFeedLost func()
	// HasState reports whether the process already has the state of the deployment.
	HasState func() bool
	// SkipWait reports whether to watch the store without waiting for an entry to do so.
	SkipWait func() bool
	// ProbeStore makes one call to the store to check whether it is available.
	ProbeStore func(context.Context) error
	// WatchStore watches the store until the context ends; wasDown is set if the store was
	// unavailable before.
	WatchStore func(ctx context.Context, wasDown bool)
	// Clock and OnChecked date the state: OnChecked receives the reading of Clock at or before
	// the begin of the newest check of the store that the state has passed. Without them,
	// no pings are sent.
	Clock     func() time.Duration
	OnChecked func(began time.Duration)

	mu         sync.Mutex
	cancelFeed context.CancelCauseFunc // ends the current feed; nil without one
}

// Restart ends the current feed and starts a new one, which begins with the complete
// state.
func (f *Follower) Restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelFeed != nil {
		f.cancelFeed(errRestart)
	}
}

func (f *Follower) setCancelFeed(cancelFeed context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelFeed = cancelFeed
}

// Run keeps the process up to date until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var d watchDecision
	for ctx.Err() == nil {
		followed := f.followAll(ctx)
		f.OnFeedLost()
		if followed {
			d = watchDecision{}
		}
		watch := f.SkipWait()
		if !watch {
			watch = d.recordProbe(f.ProbeStore(ctx) == nil, f.HasState())
		}
		if watch {
			f.Logger.Info("watching the store, no other entry does", "store_was_away", d.storeWasDown)
			watchCtx, cancel := context.WithTimeout(ctx, DirectWatchTime/2+rand.N(DirectWatchTime))
			f.WatchStore(watchCtx, d.storeWasDown)
			cancel()
			d = watchDecision{}
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(d.pause()/2 + rand.N(d.pause())):
		}
	}
}

// senderSearch is the state of one search for an entry to follow.
type senderSearch struct {
	failed map[string]bool
	// redirects are the entries to which others redirected, which are tried first.
	redirects []string
	// full are entries that redirected to others. They accept a further feed only if it
	// must not be redirected, which is requested when no other entry is left.
	full []string
	// moves is the number of feeds that were ended in favor of a nearer entry.
	moves int
}

// maxMoves bounds the moves of one search, in case entries redirect to each other.
const maxMoves = 3

func newSenderSearch() *senderSearch { return &senderSearch{failed: make(map[string]bool)} }

// recordMove records that a feed was ended in favor of a nearer entry and discards the
// redirects, so that the nearer entry is tried first.
func (s *senderSearch) recordMove() {
	s.redirects = nil
	s.moves++
}

// recordRedirect records that an entry redirected to others.
func (s *senderSearch) recordRedirect(address string, alternatives []string) {
	s.redirects = append(s.redirects, alternatives...)
	s.full = append(s.full, address)
	s.failed[address] = true
}

// next returns the next entry to try and whether it must not redirect. The address is
// empty if no entry is left.
func (s *senderSearch) next(first, others []string) (address string, noRedirect bool) {
	for _, address := range slices.Concat(s.redirects, first, others) {
		if !s.failed[address] {
			return address, false
		}
	}
	if len(s.full) == 0 {
		return "", false
	}
	address = s.full[0]
	s.full = s.full[1:]
	return address, true
}

// hasNearer reports whether one of the preferred entries is nearer than address and has
// not failed in this search.
func (s *senderSearch) hasNearer(address string, first []string, distance func(string) int) bool {
	ownDistance := distance(address)
	return s.moves < maxMoves && slices.ContainsFunc(first, func(other string) bool {
		return !s.failed[other] && distance(other) < ownDistance
	})
}

// followAll follows one entry after another until none is left to try. It reports
// whether it followed one for longer than FeedIdleTimeout.
func (f *Follower) followAll(ctx context.Context) (followed bool) {
	s := newSenderSearch()
	for ctx.Err() == nil {
		first, others := f.Senders()
		address, noRedirect := s.next(first, others)
		if address == "" {
			break
		}
		began := time.Now()
		err := f.follow(ctx, address, noRedirect, s)
		var redirect *RedirectError
		switch {
		case ctx.Err() != nil:
			return followed
		case errors.Is(err, errNearer):
			f.Logger.Info("feed ends", "peer", address, "err", err)
			s.recordMove()
			continue
		case errors.Is(err, errRestart):
			f.Logger.Info("feed ends", "peer", address, "err", err)
			s = newSenderSearch()
			continue
		case errors.As(err, &redirect):
			f.Logger.Debug("feed not received", "peer", address, "err", err)
			s.recordRedirect(address, SortByDistance(redirect.Alternatives, f.Distance))
		case time.Since(began) > FeedIdleTimeout:
			followed = true
			s = newSenderSearch() // failed entries may be available again
			f.Logger.Info("feed lost", "peer", address, "err", err)
		default:
			f.Logger.Debug("feed not received", "peer", address, "err", err)
		}
		s.failed[address] = true
	}
	return followed
}

// follow follows an entry until its feed ends or fails, or a nearer entry becomes
// available.
func (f *Follower) follow(ctx context.Context, address string, noRedirect bool, s *senderSearch) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.setCancelFeed(cancel)
	defer f.setCancelFeed(nil)
	err := Follow(ctx, f.Transport, address, noRedirect, newDating(f.Clock, f.OnChecked), func(u *Update) {
		f.OnUpdate(u, address)
		if u.Complete {
			f.Logger.Info("following", "peer", address, "hops", u.Hops+1)
		}
		if len(u.Nodes) == 0 {
			return
		}
		if first, _ := f.Senders(); s.hasNearer(address, first, f.Distance) {
			cancel(errNearer)
		}
	})
	if cause := context.Cause(ctx); errors.Is(cause, errNearer) || errors.Is(cause, errRestart) {
		return cause
	}
	return err
}

// SortByDistance returns the addresses, nearest first. Equally near ones are in random
// order.
func SortByDistance(addresses []string, distance func(string) int) []string {
	list := slices.Clone(addresses)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b string) int { return distance(a) - distance(b) })
	return list
}

// watchDecision decides when a process without an entry to follow watches the store
// itself.
type watchDecision struct {
	successes    int  // consecutive successful probes
	storeWasDown bool // a probe failed
}

// recordProbe records the result of a probe of the store and reports whether to watch it.
// After an outage of the store or at the start of a deployment, a process waits for
// maxWaitProbes successful probes, since other entries are about to watch the store.
// In the other case the entries cannot be reached although the store is available, so the
// process watches at once to miss no change.
func (d *watchDecision) recordProbe(reachable, hasState bool) bool {
	if !reachable {
		d.successes, d.storeWasDown = 0, true
		return false
	}
	d.successes++
	return d.successes > maxWaitProbes || hasState && !d.storeWasDown
}

// pause returns the mean time before the next attempt.
func (d *watchDecision) pause() time.Duration {
	if d.successes == 0 {
		return 2 * retryPause
	}
	return retryPause
}
