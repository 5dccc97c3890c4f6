package policy

import "time"

const (
	// limitDecreaseFactor is applied to the limit when calls wait inside the
	// engine.
	limitDecreaseFactor = 0.9
	// minDecreaseInterval is the shortest time between two decreases, so that the
	// calls of one burst cause only one.
	minDecreaseInterval = time.Second
	// waitTolerance is the wait inside the engine, beyond twice the expected time,
	// that does not count as overload.
	waitTolerance = 500 * time.Millisecond
	// maxSlowShare is the share of slow calls above which the limit is lowered, and
	// slowShareWeight the weight of one call in that moving average. Individual
	// calls may be slow only because others are processed before them.
	maxSlowShare    = 0.3
	slowShareWeight = 0.1
	// minLimitShare is the share of the slots below which the limit is not lowered.
	minLimitShare = 0.125
	// minBusyShare is the share of the limit that must have been in use when a call
	// was dispatched for its quick answer to raise the limit.
	minBusyShare = 0.8
)

// limitState is the adaptive concurrency limit of one upstream.
type limitState struct {
	value        float64
	slow         float64 // moving average of the share of slow calls
	lastDecrease time.Time
}

// limiter adapts the concurrency limit of each upstream by additive increase and
// multiplicative decrease, so that few calls queue inside the engine.
type limiter struct{}

// reset sets the limit to the reported slots.
func (*limiter) reset(u *upstream) { u.limit = limitState{value: float64(u.slots())} }

func (*limiter) limit(u *upstream) float64 { return min(u.limit.value, float64(u.slots())) }

// observe compares the time to first token of a call, or the whole duration for a
// service that is not a model, with the time expected from the known load, and
// adapts the limit.
func (*limiter) observe(now time.Time, att *attempt, took, expected time.Duration) {
	s := &att.up.limit
	slots := float64(att.up.slots())
	slow := 0.0
	if took > 2*expected+waitTolerance {
		slow = 1
	}
	s.slow += slowShareWeight * (slow - s.slow)
	switch {
	case slow > 0 && s.slow > maxSlowShare:
		if now.Sub(s.lastDecrease) >= minDecreaseInterval {
			s.value = max(1, slots*minLimitShare, s.value*limitDecreaseFactor)
			s.lastDecrease = now
		}
	case slow == 0 && att.calls >= minBusyShare*s.value:
		s.value = min(slots, s.value+1/s.value)
	}
}
