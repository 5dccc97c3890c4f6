package policy

import (
	"math/rand/v2"
	"time"
)

const (
	breakerWindow         = 10 * time.Second       // at its end the counts are divided by 4
	breakerMinCalls       = 5                      // calls in the window needed to open the breaker
	breakerFailureRate    = 0.5                    // share of failed calls that opens the breaker
	breakerMinOpen        = time.Second            // duration of the first open phase, doubled at each reopening
	breakerMaxOpen        = 30 * time.Second       // longest open phase
	breakerRequiredProbes = 3                      // successful probes that close the breaker
	slowStartDuration     = 10 * time.Second       // duration of the ramp of a returning upstream
	slowStartMinShare     = 0.1                    // share of the limit at the start of the ramp
	breakerMaxOpenShare   = 0.5                    // largest share of a group whose breakers may open
	breakerProbeTimeout   = 100 * time.Millisecond // not used: a further probe is sent only after the previous one has ended
)

type breakerPhase uint8

const (
	breakerClosed breakerPhase = iota
	breakerOpen
	breakerHalfOpen
)

// breakerState is the circuit breaker of one upstream.
type breakerState struct {
	phase               breakerPhase
	windowStart         time.Time // start of breakerWindow
	calls               float64
	failures            float64
	openUntil           time.Time // earliest time of a probe
	consecutiveOpenings int       // openings since the last window without failures
	probesInFlight      int       // calls sent while half open and not ended
	passedProbes        int       // successful probes in this half-open phase
	rampStart           time.Time // start of the slow start; zero when it is over
}

// breakers implements the circuit breakers of all upstreams. They exclude
// upstreams that fail calls although they answer heartbeats, and limit the load
// of recovering ones (slow start).
type breakers struct{ rng *rand.Rand }

// initialize resets the breaker of a new or restarted upstream. A restarted one
// begins with a slow start.
func (b *breakers) initialize(now time.Time, u *upstream, restarted bool) {
	u.breaker = breakerState{windowStart: now}
	if restarted {
		u.breaker.rampStart = now
	}
}

// allows reports whether the upstream may receive a call. It changes the state
// from open to half open when the open phase has ended.
func (b *breakers) allows(now time.Time, u *upstream) bool {
	s := &u.breaker
	switch s.phase {
	case breakerOpen:
		if now.Before(s.openUntil) {
			return false
		}
		s.phase, s.probesInFlight, s.passedProbes = breakerHalfOpen, 0, 0
		return true
	case breakerHalfOpen:
		return s.probesInFlight == 0
	default:
		return true
	}
}

// limitShare returns the share of its limit that the upstream may use, which is
// less than 1 during slow start.
func (b *breakers) limitShare(now time.Time, u *upstream) float64 {
	s := &u.breaker
	if s.rampStart.IsZero() {
		return 1
	}
	elapsed := now.Sub(s.rampStart)
	if elapsed >= slowStartDuration {
		s.rampStart = time.Time{}
		return 1
	}
	return slowStartMinShare + (1-slowStartMinShare)*float64(max(elapsed, 0))/float64(slowStartDuration)
}

// recordDispatch marks an attempt as a probe if the breaker is half open.
func (b *breakers) recordDispatch(att *attempt) {
	if s := &att.up.breaker; s.phase == breakerHalfOpen {
		s.probesInFlight++
		att.probe = true
	}
}

// outcome is the result of an attempt as far as the upstream caused it.
type outcome uint8

const (
	outcomeOK outcome = iota
	outcomeFailed
	outcomeIgnored // canceled, or returned by a draining upstream
)

// recordOutcome counts the end of an attempt. It reports whether the state of
// the breaker changed.
func (b *breakers) recordOutcome(now time.Time, att *attempt, result outcome) bool {
	s := &att.up.breaker
	failed := result == outcomeFailed
	if att.probe {
		att.probe = false
		s.probesInFlight = max(0, s.probesInFlight-1)
		if s.phase != breakerHalfOpen {
			return false
		}
		if result == outcomeIgnored {
			return true
		}
		if failed {
			b.open(now, att.up)
			return true
		}
		if s.passedProbes++; s.passedProbes >= breakerRequiredProbes {
			*s = breakerState{windowStart: now, rampStart: now, consecutiveOpenings: s.consecutiveOpenings}
		}
		return true
	}
	if s.phase != breakerClosed || result == outcomeIgnored {
		return false // sent before the breaker opened
	}
	if now.Sub(s.windowStart) > breakerWindow {
		s.windowStart, s.calls, s.failures = now, s.calls/4, s.failures/4
		if s.failures < 0.5 {
			s.consecutiveOpenings = 0
		}
	}
	s.calls++
	if !failed {
		return false
	}
	s.failures++
	if s.calls >= breakerMinCalls && s.failures >= breakerFailureRate*s.calls && b.mayOpen(att.up) {
		b.open(now, att.up)
		return true
	}
	return false
}

// open opens the breaker of an upstream.
func (b *breakers) open(now time.Time, u *upstream) {
	s := &u.breaker
	wait := min(breakerMinOpen<<min(s.consecutiveOpenings, 10), breakerMaxOpen)
	wait += time.Duration(b.rng.Float64() * 0.2 * float64(wait)) // jitter, so that many upstreams are not probed simultaneously
	*s = breakerState{phase: breakerOpen, windowStart: now, openUntil: now.Add(wait), consecutiveOpenings: s.consecutiveOpenings + 1}
}

// mayOpen reports whether enough members of the upstream's groups would remain
// available. If most members fail, the cause lies elsewhere, and excluding them
// would make it worse.
func (b *breakers) mayOpen(u *upstream) bool {
	for _, m := range u.members {
		open, usable := 0, 0
		for _, other := range m.group.all {
			if !other.up.reachable || other.up.leaving {
				continue
			}
			usable++
			if other.up.breaker.phase != breakerClosed {
				open++
			}
		}
		if float64(open+1) > breakerMaxOpenShare*float64(usable) {
			return false
		}
	}
	return true
}
