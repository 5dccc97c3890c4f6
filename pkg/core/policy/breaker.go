package policy

import (
	"math/rand/v2"
	"time"
)

const (
	breakerWindow    = 10 * time.Second       // failures older than this are forgotten
	breakerMinCalls  = 5                      // calls in the window before the rate counts
	breakerRate      = 0.5                    // failure rate that opens the breaker
	breakerBackoff   = time.Second            // first time open, doubled at each reopening
	breakerMaxOpen   = 30 * time.Second       // longest time open
	breakerProbes    = 3                      // successful probes that close it
	slowStart        = 10 * time.Second       // ramp of a returning upstream
	slowStartFloor   = 0.1                    // share of the limit at the start of the ramp
	breakerMaxShare  = 0.5                    // largest share of a group that may be open
	breakerProbeTerm = 100 * time.Millisecond // after this an unanswered probe admits a further one
)

type breakerPhase uint8

const (
	breakerClosed breakerPhase = iota
	breakerOpen
	breakerHalfOpen
)

// breakerState is the circuit breaker of one upstream.
type breakerState struct {
	phase    breakerPhase
	since    time.Time // start of the window
	calls    float64
	failures float64
	until    time.Time // end of the open phase
	opened   int       // openings in a row
	probes   int       // probes on their way
	passed   int       // probes that succeeded
	ramp     time.Time // start of the slow start; zero when over
}

// breakers takes upstreams that fail calls out of rotation, even though they
// answer heartbeats, and brings returning ones back slowly.
type breakers struct{ rng *rand.Rand }

// begin starts the ramp of a new or restarted upstream.
func (b *breakers) begin(now time.Time, u *upstream, restarted bool) {
	u.breaker = breakerState{since: now}
	if restarted {
		u.breaker.ramp = now
	}
}

// allows tells whether the upstream may receive a call.
func (b *breakers) allows(now time.Time, u *upstream) bool {
	s := &u.breaker
	switch s.phase {
	case breakerOpen:
		if now.Before(s.until) {
			return false
		}
		s.phase, s.probes, s.passed = breakerHalfOpen, 0, 0
		return true
	case breakerHalfOpen:
		return s.probes == 0
	default:
		return true
	}
}

// share is the part of the limit that the upstream may use.
func (b *breakers) share(now time.Time, u *upstream) float64 {
	s := &u.breaker
	if s.ramp.IsZero() {
		return 1
	}
	past := now.Sub(s.ramp)
	if past >= slowStart {
		s.ramp = time.Time{}
		return 1
	}
	return slowStartFloor + (1-slowStartFloor)*float64(max(past, 0))/float64(slowStart)
}

func (b *breakers) sent(fl *flight) {
	if s := &fl.up.breaker; s.phase == breakerHalfOpen {
		s.probes++
		fl.probe = true
	}
}

// outcome tells how an attempt ended, as far as it is the upstream's doing.
type outcome uint8

const (
	outcomeOK outcome = iota
	outcomeFailed
	outcomeNeither // cancelled or returned by a draining upstream
)

// result counts the end of an attempt. It reports whether the state changed.
func (b *breakers) result(now time.Time, fl *flight, how outcome) bool {
	s := &fl.up.breaker
	failed := how == outcomeFailed
	if fl.probe {
		fl.probe = false
		s.probes = max(0, s.probes-1)
		if s.phase != breakerHalfOpen {
			return false
		}
		if how == outcomeNeither {
			return true
		}
		if failed {
			b.open(now, fl.up)
			return true
		}
		if s.passed++; s.passed >= breakerProbes {
			*s = breakerState{since: now, ramp: now, opened: s.opened}
		}
		return true
	}
	if s.phase != breakerClosed || how == outcomeNeither {
		return false // sent before the breaker opened
	}
	if now.Sub(s.since) > breakerWindow {
		s.since, s.calls, s.failures = now, s.calls/4, s.failures/4
		if s.failures < 0.5 {
			s.opened = 0
		}
	}
	s.calls++
	if !failed {
		return false
	}
	s.failures++
	if s.calls >= breakerMinCalls && s.failures >= breakerRate*s.calls && b.spare(fl.up) {
		b.open(now, fl.up)
		return true
	}
	return false
}

func (b *breakers) open(now time.Time, u *upstream) {
	s := &u.breaker
	wait := min(breakerBackoff<<min(s.opened, 10), breakerMaxOpen)
	wait += time.Duration(b.rng.Float64() * 0.2 * float64(wait)) // spread the probes of many upstreams
	*s = breakerState{phase: breakerOpen, since: now, until: now.Add(wait), opened: s.opened + 1}
}

// spare tells whether enough of the upstream's groups would remain: when most
// members fail, the fault is not theirs, and taking them out makes it worse.
func (b *breakers) spare(u *upstream) bool {
	for _, m := range u.members {
		open, n := 0, 0
		for _, x := range m.group.all {
			if !x.up.reachable || x.up.leaving {
				continue
			}
			n++
			if x.up.breaker.phase != breakerClosed {
				open++
			}
		}
		if float64(open+1) > breakerMaxShare*float64(n) {
			return false
		}
	}
	return true
}
