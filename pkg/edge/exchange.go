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
	// reportBatchDelay collects findings that arrive together into one message.
	reportBatchDelay = 20 * time.Millisecond
	// maxReportedEdges limits the edges that a finding is sent to at once; the others
	// get it by their own exchanges.
	maxReportedEdges = 16
	// exchangeInterval is the time between two exchanges of crash evidence with
	// another process. An edge that was paused or disconnected has all findings
	// within two intervals.
	exchangeInterval = 1500 * time.Millisecond
	// startExchangeInterval is the first interval after the start. It doubles until a
	// process answers.
	startExchangeInterval = 100 * time.Millisecond
	// exchangeWait is how long requests wait for the exchange of an edge that was
	// restarted or paused: a few round trips between regions.
	exchangeWait = 200 * time.Millisecond
	// lateTolerance is how much later than planned a round may end before the edge
	// assumes that it was paused.
	lateTolerance = 500 * time.Millisecond
	// startPartners is the number of processes that a restarted edge asks at once.
	startPartners = 3
	// exchangeTimeout limits one exchange: a few round trips between regions.
	exchangeTimeout = 700 * time.Millisecond
	// exchangeTries is the number of processes that are tried one after the other in
	// a round.
	exchangeTries = 2
	// partnerCycle is the number of rounds of which one also asks another region, one
	// another edge and one another storage process of this region.
	partnerCycle = 4
	// mismatchInterval replaces exchangeInterval after maxMismatches consecutive
	// exchanges that left the two sides with different evidence: one of them drops
	// what does not fit into its memory. A single mismatch may come from a new
	// finding.
	mismatchInterval = 30 * time.Second
	maxMismatches    = 5
)

// exchanger schedules the exchanges of crash evidence with other processes.
type exchanger struct {
	trigger chan struct{} // starts a round
	// round is closed at the end of the current round that requests wait for; nil:
	// there is none.
	round atomic.Pointer[chan struct{}]
	// due is the latest end of the next round, as ns since began. An edge that finds
	// it passed was paused.
	due   atomic.Int64
	began time.Time
	// mismatches counts consecutive exchanges that left both sides with different
	// evidence.
	mismatches int
}

func newExchanger() exchanger {
	return exchanger{trigger: make(chan struct{}, 1), began: time.Now()}
}

// beginRound starts a round that requests wait for, unless there is one already.
func (x *exchanger) beginRound() {
	round := make(chan struct{})
	if x.round.CompareAndSwap(nil, &round) {
		notify(x.trigger)
	}
}

// endRound ends the current round. The next one starts after the given time, plus or
// minus a quarter.
func (x *exchanger) endRound(next time.Duration) {
	x.due.Store(int64(time.Since(x.began) + next*5/4 + exchangeTries*exchangeTimeout + lateTolerance))
	if round := x.round.Swap(nil); round != nil {
		close(*round)
	}
}

// nextInterval returns the time until the next exchange. same reports whether the
// last one left both sides with the same evidence.
func (x *exchanger) nextInterval(same bool) time.Duration {
	if same {
		x.mismatches = 0
		return exchangeInterval
	}
	if x.mismatches++; x.mismatches < maxMismatches {
		return exchangeInterval
	}
	return mismatchInterval
}

// overdue reports whether the next round should have ended by now.
func (x *exchanger) overdue() bool { return int64(time.Since(x.began)) > x.due.Load() }

// waitForExchange delays a request while this edge may lack findings of other
// processes because it was restarted or paused.
func (s *suspects) waitForExchange(ctx context.Context) {
	x := &s.exchanger
	if x.overdue() {
		x.beginRound()
	}
	round := x.round.Load()
	if round == nil || !s.e.view.isLoaded() {
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

// run sends new findings to other processes and fetches theirs until the context is
// done.
func (s *suspects) run(ctx context.Context) {
	s.initialExchange(ctx)
	interval := startExchangeInterval
	s.exchanger.endRound(interval)
	timer := time.NewTimer(interval)
	defer timer.Stop()
	round := rand.IntN(partnerCycle)
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			select {
			case <-ctx.Done():
				return
			case <-time.After(reportBatchDelay):
			}
			s.sendFindings(ctx)
			continue
		case <-s.exchanger.trigger:
			interval = startExchangeInterval
		case <-timer.C:
		}
		s.expire()
		interval = s.exchangeOnce(ctx, round, interval)
		s.exchanger.endRound(interval)
		round++
		timer.Reset(interval*3/4 + rand.N(interval/2))
	}
}

// initialExchange asks several processes at once after a restart, since the first
// request may be one that the others refuse.
func (s *suspects) initialExchange(ctx context.Context) {
	if s.e.settings.FirstStart {
		return
	}
	select {
	case <-ctx.Done():
		return
	case <-s.e.view.loaded:
	}
	partners := s.meetingPoints()
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

// expire removes outdated evidence.
func (s *suspects) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Expire(time.Now())
	s.updateFlagsLocked()
}

// sendFindings sends new findings to the storage processes, which store them, and to
// the nearest edges.
func (s *suspects) sendFindings(ctx context.Context) {
	s.mu.Lock()
	report := crashreport.New(&s.tracker.EvidenceSet, s.unsent, time.Now())
	s.unsent = nil
	s.mu.Unlock()
	edges := s.e.view.otherEdges()
	addresses := edges[:min(len(edges), maxReportedEdges)]
	for _, m := range s.e.view.Storage() {
		addresses = append(addresses, m.Address)
	}
	for _, address := range addresses {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
			defer cancel()
			if _, err := crashreport.Exchange(ctx, s.e.transport, address, s, report); err != nil {
				s.e.logger.Info("crash not told to a process", "peer", address, "findings", len(report.GetEvidence()), "err", err)
				s.e.metrics.undelivered()
			}
		}()
	}
}

// exchangeOnce exchanges evidence with the meeting point and, in some rounds, with
// another process. It returns the time until the next exchange; interval is the time
// before this one.
func (s *suspects) exchangeOnce(ctx context.Context, round int, interval time.Duration) time.Duration {
	if !s.e.view.isLoaded() {
		return interval
	}
	points := s.meetingPoints()
	if other := s.otherPartner(round); other != "" {
		go func() { _, _ = s.exchangeWith(ctx, other) }()
	}
	for _, address := range points[:min(len(points), exchangeTries)] {
		if same, err := s.exchangeWith(ctx, address); err == nil {
			return s.exchanger.nextInterval(same)
		}
	}
	return min(2*interval, exchangeInterval)
}

// exchangeWith exchanges evidence with one process. It reports whether both sides had
// the same.
func (s *suspects) exchangeWith(ctx context.Context, address string) (same bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	same, err = crashreport.Exchange(ctx, s.e.transport, address, s, s.Report(false))
	if err != nil {
		s.e.logger.Debug("exchange of crash evidence failed", "peer", address, "err", err)
	}
	return same, err
}

// meetingPoints returns the addresses of the processes with which every round exchanges
// evidence, in order of preference. All edges of a region prefer the same storage process:
// what one of them tells it, the others have one round later.
func (s *suspects) meetingPoints() []string {
	near, far := s.storageAddresses()
	return slices.Concat(near, far, successors(s.e.settings.PeerAddress(), s.e.view.otherEdges()))
}

// otherPartner returns the address of a process besides the meeting point that a round
// exchanges evidence with; empty: none.
func (s *suspects) otherPartner(round int) string {
	near, far := s.storageAddresses()
	var list []string
	switch round % partnerCycle {
	case 1:
		list = rotate(near, round/partnerCycle)
	case 2:
		list = successors(s.e.settings.PeerAddress(), s.e.view.otherEdges())
	case 3:
		list = rotate(far, round/partnerCycle)
	}
	if len(list) == 0 {
		return ""
	}
	return list[0]
}

// storageAddresses returns the sorted addresses of the storage processes of this region
// and of the others.
func (s *suspects) storageAddresses() (near, far []string) {
	for _, m := range s.e.view.Storage() {
		if m.Local {
			near = append(near, m.Address)
			continue
		}
		far = append(far, m.Address)
	}
	slices.Sort(near)
	slices.Sort(far)
	return near, far
}

// successors returns the two edges that follow an address in sorted order, so that
// each edge is asked by two others and the number of sessions stays low.
func successors(own string, others []string) []string {
	slices.Sort(others)
	i, _ := slices.BinarySearch(others, own)
	list := slices.Concat(others[i:], others[:i])
	return list[:min(len(list), 2)]
}

// rotate sorts a list and rotates it so that each round starts with another element.
func rotate(list []string, round int) []string {
	if len(list) == 0 {
		return nil
	}
	slices.Sort(list)
	i := round % len(list)
	return slices.Concat(list[i:], list[:i])
}
