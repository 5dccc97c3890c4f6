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
	// patience is the number of answers of the store, each after followPause,
	// for which a process waits for entries to watch it.
	patience = 2
	// followPause is the pause before the senders are tried again.
	followPause = 300 * time.Millisecond
	// DirectWatchTime is how long a process watches the store itself before it looks for
	// a sender again.
	DirectWatchTime = 4 * time.Second
)

// Causes of the end of a feed that say nothing against its sender.
var (
	errNearer  = errors.New("a nearer entry can be followed")
	errRestart = errors.New("all is to be read anew")
)

// Follower keeps a process informed of what the platform's store holds. It
// follows an entry that watches the store, so that the calls of the store do not
// grow with the processes, and watches the store while there is none.
type Follower struct {
	Transport *transport.Transport
	Logger    *slog.Logger
	// Senders returns the addresses of entries that watch the store, best first,
	// and of some that may do so while those do not.
	Senders func() (first, others []string)
	// Distance orders addresses of entries, nearest first.
	Distance func(address string) int
	// OnUpdate takes over an update of a sender. A process that gets one with
	// Complete set hears of all later changes until OnFeedLost is called.
	OnUpdate   func(u *Update, sender string)
	OnFeedLost func()
	// HasState reports whether the process knows the deployment.
	HasState func() bool
	// SkipWait reports whether to watch the store without waiting for an entry.
	SkipWait func() bool
	// ProbeStore makes a call of the store, and Watch watches it until the context
	// ends; away is set if it did not answer before.
	ProbeStore func(context.Context) error
	WatchStore func(ctx context.Context, away bool)

	mu   sync.Mutex
	stop context.CancelCauseFunc // ends the present feed; nil without one
}

// Restart ends the present feed and begins one anew, which tells everything.
func (f *Follower) Restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stop != nil {
		f.stop(errRestart)
	}
}

func (f *Follower) setStop(stop context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stop = stop
}

// Run keeps the process informed until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var d decision
	for ctx.Err() == nil {
		followed := f.followAll(ctx)
		f.OnFeedLost()
		if followed {
			d = decision{}
		}
		own := f.SkipWait()
		if !own {
			own = d.storeTried(f.ProbeStore(ctx) == nil, f.HasState())
		}
		if own {
			f.Logger.Info("watching the store, no other entry does", "store_was_away", d.away)
			limited, cancel := context.WithTimeout(ctx, DirectWatchTime/2+rand.N(DirectWatchTime))
			f.WatchStore(limited, d.away)
			cancel()
			d = decision{}
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(d.pause()/2 + rand.N(d.pause())):
		}
	}
}

// search is one search for an entry to follow.
type search struct {
	failed map[string]bool
	// referred are entries that others named, to be tried first.
	referred []string
	// full are entries that have feeds enough and take one more only if nobody
	// else can be followed.
	full []string
	// moves is the number of feeds that were given up for a nearer entry.
	moves int
}

// maxMoves bounds the moves of one search, should entries refer to each other.
const maxMoves = 3

func newSearch() *search { return &search{failed: make(map[string]bool)} }

// moved gives up a feed for a nearer entry, which is then tried first.
func (s *search) moved() {
	s.referred = nil
	s.moves++
}

// refused notes an entry that has feeds enough and the ones that it named.
func (s *search) refused(address string, instead []string) {
	s.referred = append(s.referred, instead...)
	s.full = append(s.full, address)
	s.failed[address] = true
}

// next returns the next entry to follow, and whether it must not refer to others;
// an empty address if none is left.
func (s *search) next(first, others []string) (address string, insist bool) {
	for _, address := range slices.Concat(s.referred, first, others) {
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

// hasNearer reports whether one of the first entries to follow is nearer than an
// address and was not tried in vain.
func (s *search) hasNearer(address string, first []string, distance func(string) int) bool {
	own := distance(address)
	return s.moves < maxMoves && slices.ContainsFunc(first, func(other string) bool {
		return !s.failed[other] && distance(other) < own
	})
}

// followAll follows one entry after the other until none is left that may be
// followed, and reports whether it followed one.
func (f *Follower) followAll(ctx context.Context) (followed bool) {
	s := newSearch()
	for ctx.Err() == nil {
		first, others := f.Senders()
		address, insist := s.next(first, others)
		if address == "" {
			break
		}
		began := time.Now()
		err := f.follow(ctx, address, insist, s)
		var referred *RedirectError
		switch {
		case ctx.Err() != nil:
			return followed
		case errors.Is(err, errNearer):
			f.Logger.Info("feed ends", "peer", address, "err", err)
			s.moved()
			continue
		case errors.Is(err, errRestart):
			f.Logger.Info("feed ends", "peer", address, "err", err)
			s = newSearch()
			continue
		case errors.As(err, &referred):
			f.Logger.Debug("feed not received", "peer", address, "err", err)
			s.refused(address, SortByDistance(referred.Alternatives, f.Distance))
		case time.Since(began) > FeedIdleTimeout:
			followed = true
			s = newSearch() // the others may have come back meanwhile
			f.Logger.Info("feed lost", "peer", address, "err", err)
		default:
			f.Logger.Debug("feed not received", "peer", address, "err", err)
		}
		s.failed[address] = true
	}
	return followed
}

// follow follows an entry until it falls silent, knows nothing new, or a nearer
// one becomes known.
func (f *Follower) follow(ctx context.Context, address string, insist bool, s *search) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.setStop(cancel)
	defer f.setStop(nil)
	err := Follow(ctx, f.Transport, address, insist, func(u *Update) {
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

// SortByDistance returns addresses in the order of their distance, equally near ones
// in random order.
func SortByDistance(addresses []string, distance func(string) int) []string {
	list := slices.Clone(addresses)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b string) int { return distance(a) - distance(b) })
	return list
}

// decision decides when a process that has nobody to follow watches the store
// itself.
type decision struct {
	answers int  // in a row
	away    bool // the store did not answer at some time
}

// storeTried takes the result of a call of the store and reports whether to
// watch it. A store that has just come back, or a whole deployment that starts,
// is left for a while to the entries that watch anyway; else they are out of
// reach, and changes must not be missed.
func (d *decision) storeTried(answered, started bool) bool {
	if !answered {
		d.answers, d.away = 0, true
		return false
	}
	d.answers++
	return d.answers > patience || started && !d.away
}

// pause returns the time before the next try.
func (d *decision) pause() time.Duration {
	if d.answers == 0 {
		return 2 * followPause
	}
	return followPause
}
