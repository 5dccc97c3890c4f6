// Package adaptivelimit bounds how many calls wait for something at a time, by how long they
// wait: additive increase while they are fast, multiplicative decrease once they are slow or
// fail. What is beyond the limit is refused at once instead of waiting until its deadline.
package adaptivelimit

import "time"

const (
	// decreaseFactor is what remains of the calls under way after slow or failed ones.
	decreaseFactor = 0.7
	// inUseShare is the share of the limit that must be in use for it to grow.
	inUseShare = 0.5
)

// Config configures a Limiter.
type Config struct {
	Min, Max int           // bounds of the limit, in calls
	Target   time.Duration // a call that takes longer is slow
	Interval time.Duration // shortest time between two decreases
}

// Limiter is an adaptive limit of concurrent calls. It is not safe for concurrent use.
type Limiter struct {
	cfg       Config
	limit     float64
	open      int
	decreased time.Time
	refused   time.Time
}

// New returns a limiter that starts at the upper bound.
func New(cfg Config) *Limiter { return &Limiter{cfg: cfg, limit: float64(cfg.Max)} }

// Begin reports whether a call may begin. share is the part of the limit that calls of its
// kind may use, from 0 to 1. Each call that may must End.
func (l *Limiter) Begin(share float64, now time.Time) bool {
	if float64(l.open) >= share*l.limit {
		l.refused = now
		return false
	}
	l.open++
	return true
}

// End records the end of a call that began at a time.
func (l *Limiter) End(began, now time.Time, failed bool) {
	open := float64(l.open)
	l.open--
	switch {
	case failed || now.Sub(began) > l.cfg.Target:
		if now.Sub(l.decreased) < l.cfg.Interval {
			return
		}
		l.decreased = now
		l.limit = max(min(l.limit, open)*decreaseFactor, float64(l.cfg.Min))
	case open >= inUseShare*l.limit:
		l.limit = min(l.limit+1, float64(l.cfg.Max))
	}
}

// Limit returns the current limit in calls.
func (l *Limiter) Limit() int { return int(l.limit) }

// LastRefused returns when a call was last refused; the zero time: none was.
func (l *Limiter) LastRefused() time.Time { return l.refused }
