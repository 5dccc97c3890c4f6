package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/crashreport"
)

const (
	// tellGather lets findings that come together go out in one message.
	tellGather = 20 * time.Millisecond
	// maxTold bounds the entries that are told at once; the others ask.
	maxTold = 16
	// exchangeInterval is how often an entry makes sure that it knows what others
	// found, so that one that was frozen or cut off knows it within two of them.
	exchangeInterval = 1500 * time.Millisecond
	// startExchangeInterval is the same at first. It doubles until a process answers.
	startExchangeInterval = 100 * time.Millisecond
	// exchangeWait is how long requests wait for an exchange of an entry that starts
	// again or was frozen: some round trips between regions.
	exchangeWait = 200 * time.Millisecond
	// lateRound is how much later than planned a round may end before the entry is
	// taken for one that was frozen.
	lateRound = 500 * time.Millisecond
	// startPartners is the number of processes that such an entry asks at once.
	startPartners = 3
	// exchangeTimeout bounds one exchange: some round trips between regions.
	exchangeTimeout = 700 * time.Millisecond
	// exchangeTries is the number of processes that are asked, one after the other,
	// if the first one does not answer.
	exchangeTries = 2
	// partnerRounds is the number of exchanges of which one goes to another region
	// and one to an entry, the others to storage processes of this region.
	partnerRounds = 4
	// differPause follows maxDiffering exchanges in a row after which both still knew
	// different things: one of them has forgotten what does not fit. A single one may
	// have met something new.
	differPause  = 30 * time.Second
	maxDiffering = 5
)

// exchange is how far an entry knows what others found.
type exchange struct {
	ask chan struct{} // begins a round
	// round is closed at the end of the present round.
	round atomic.Pointer[chan struct{}]
	// due is when the next round ends at the latest, by the time since began. An
	// entry that finds it passed was frozen.
	due   atomic.Int64
	began time.Time
	// differing counts the exchanges in a row after which both knew different things.
	differing int
}

func newExchange() exchange {
	return exchange{ask: make(chan struct{}, 1), began: time.Now()}
}

// open begins a round that requests wait for, unless one has begun.
func (x *exchange) open() {
	round := make(chan struct{})
	if x.round.CompareAndSwap(nil, &round) {
		notify(x.ask)
	}
}

// done ends the present round; the next one begins after a time, give or take a
// quarter.
func (x *exchange) done(next time.Duration) {
	x.due.Store(int64(time.Since(x.began) + next*5/4 + exchangeTries*exchangeTimeout + lateRound))
	if round := x.round.Swap(nil); round != nil {
		close(*round)
	}
}

// next returns the time until the next exchange after one of which both know the
// same, or do not.
func (x *exchange) next(same bool) time.Duration {
	if same {
		x.differing = 0
		return exchangeInterval
	}
	if x.differing++; x.differing < maxDiffering {
		return exchangeInterval
	}
	return differPause
}

// late reports whether the next round should have ended.
func (x *exchange) late() bool { return int64(time.Since(x.began)) > x.due.Load() }

// waitUntilTold holds a request back while this entry may have missed what others
// found: it has just started again, or was frozen.
func (s *suspects) waitUntilTold(ctx context.Context) {
	x := &s.exchange
	if x.late() {
		x.open()
	}
	round := x.round.Load()
	if round == nil || !s.e.view.isKnown() {
		return
	}
	timer := time.NewTimer(exchangeWait)
	defer timer.Stop()
	select {
	case <-*round:
	case <-ctx.Done():
	case <-timer.C:
	}
}

// run tells others what was found and asks for what they have found, until the
// context ends.
func (s *suspects) run(ctx context.Context) {
	s.start(ctx)
	interval := startExchangeInterval
	s.exchange.done(interval)
	timer := time.NewTimer(interval)
	defer timer.Stop()
	round := rand.IntN(partnerRounds)
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			select {
			case <-ctx.Done():
				return
			case <-time.After(tellGather):
			}
			s.tell(ctx)
			continue
		case <-s.exchange.ask:
			interval = startExchangeInterval
		case <-timer.C:
		}
		s.expire()
		interval = s.askOne(ctx, round, interval)
		s.exchange.done(interval)
		round++
		timer.Reset(interval*3/4 + rand.N(interval/2))
	}
}

// start asks some processes at once when an entry has started again, since a request
// that the others refuse may be the first to come.
func (s *suspects) start(ctx context.Context) {
	if s.e.settings.FirstStart {
		return
	}
	select {
	case <-ctx.Done():
		return
	case <-s.e.view.known:
	}
	partners := s.partners(0)
	partners = partners[:min(len(partners), startPartners)]
	limited, cancel := context.WithTimeout(ctx, exchangeWait)
	defer cancel()
	answered := make(chan error, len(partners))
	for _, address := range partners {
		go func() {
			_, err := crashreport.Exchange(limited, s.e.transport, address, s, s.Report(false))
			answered <- err
		}()
	}
	for range partners {
		if err := <-answered; err == nil {
			return
		}
	}
}

// expire forgets what is too old.
func (s *suspects) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Expire(time.Now())
	s.noteLocked()
}

// tell sends what was found to the storage processes, which keep it, and to the
// nearest entries.
func (s *suspects) tell(ctx context.Context) {
	s.mu.Lock()
	report := crashreport.New(&s.tracker.EvidenceSet, s.news, time.Now())
	s.news = nil
	s.mu.Unlock()
	entries := s.e.view.otherEdges()
	addresses := entries[:min(len(entries), maxTold)]
	for _, m := range s.e.view.Storage() {
		addresses = append(addresses, m.Address)
	}
	for _, address := range addresses {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
			defer cancel()
			if _, err := crashreport.Exchange(ctx, s.e.transport, address, s, report); err != nil {
				s.e.logger.Info("crash not told to a process", "peer", address, "findings", len(report.GetEvidence()), "err", err)
				s.e.metrics.untold()
			}
		}()
	}
}

// askOne asks one process for what it knows. It returns the time until the next
// exchange, given that before this one.
func (s *suspects) askOne(ctx context.Context, round int, interval time.Duration) time.Duration {
	if !s.e.view.isKnown() {
		return interval
	}
	partners := s.partners(round)
	for _, address := range partners[:min(len(partners), exchangeTries)] {
		limited, cancel := context.WithTimeout(ctx, exchangeTimeout)
		same, err := crashreport.Exchange(limited, s.e.transport, address, s, s.Report(false))
		cancel()
		if err == nil {
			return s.exchange.next(same)
		}
		s.e.logger.Debug("evidence of crashes not exchanged", "peer", address, "err", err)
	}
	return min(2*interval, exchangeInterval)
}

// partners returns the addresses of the processes to ask in a round, best first.
// Storage processes go first: they are told by all, and sessions to them are there.
// Each round begins with another one.
func (s *suspects) partners(round int) []string {
	var near, far []string
	for _, m := range s.e.view.Storage() {
		if m.Local {
			near = append(near, m.Address)
			continue
		}
		far = append(far, m.Address)
	}
	entries := successors(s.e.settings.PeerAddress(), s.e.view.otherEdges())
	near, far = rotate(near, round), rotate(far, round)
	switch round % partnerRounds {
	case partnerRounds - 1:
		return slices.Concat(far, near, entries)
	case partnerRounds - 2:
		return slices.Concat(entries, near, far)
	}
	return slices.Concat(near, far, entries)
}

// successors returns the two entries that follow an address in the order of all,
// so that each is asked by two and sessions stay few.
func successors(own string, others []string) []string {
	slices.Sort(others)
	i, _ := slices.BinarySearch(others, own)
	list := slices.Concat(others[i:], others[:i])
	return list[:min(len(list), 2)]
}

// rotate returns a list in order that begins with another element in each round.
func rotate(list []string, round int) []string {
	if len(list) == 0 {
		return nil
	}
	slices.Sort(list)
	i := round % len(list)
	return slices.Concat(list[i:], list[:i])
}
