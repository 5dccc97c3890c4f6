package policy

import "time"

const (
	// limitDecrease is applied when calls wait inside the engine.
	limitDecrease = 0.9
	// limitSpacing is the shortest time between two decreases, so that the
	// calls of one burst count once.
	limitSpacing = time.Second
	// limitSlack is the wait inside the engine, beyond the prefill, that is
	// not taken for overload.
	limitSlack = 500 * time.Millisecond
	// limitSlow is the share of slow calls from which the limit is lowered, and
	// limitWeight the weight of one call in it: single calls are slow because
	// others are processed before them.
	limitSlow   = 0.3
	limitWeight = 0.1
	// limitFloor is the smallest share of the slots.
	limitFloor = 0.125
	// limitBusy is the share of the limit that must have been in use for a
	// quick answer to raise it.
	limitBusy = 0.8
)

// limitState is the adaptive concurrency limit of one upstream.
type limitState struct {
	value   float64
	slow    float64 // running share of slow calls
	lowered time.Time
}

// limiter adapts the number of calls per upstream to what it serves without
// a queue of its own: additive increase, multiplicative decrease.
type limiter struct{}

// reset starts at the slots that the upstream states.
func (*limiter) reset(u *upstream) { u.limit = limitState{value: float64(u.slots())} }

func (*limiter) limit(u *upstream) float64 { return min(u.limit.value, float64(u.slots())) }

// observe takes the time to first token of a call, or its whole time for plain
// services, against the time expected with the work that was known to be ahead.
func (*limiter) observe(now time.Time, fl *flight, took, expected time.Duration) {
	s := &fl.up.limit
	slots := float64(fl.up.slots())
	slow := 0.0
	if took > 2*expected+limitSlack {
		slow = 1
	}
	s.slow += limitWeight * (slow - s.slow)
	switch {
	case slow > 0 && s.slow > limitSlow:
		if now.Sub(s.lowered) >= limitSpacing {
			s.value = max(1, slots*limitFloor, s.value*limitDecrease)
			s.lowered = now
		}
	case slow == 0 && fl.used >= limitBusy*s.value:
		s.value = min(slots, s.value+1/s.value)
	}
}
