// Package adaptivelimit bounds how many calls wait for something at a time, by how long they
// wait: additive increase while they are fast, multiplicative decrease while many are slow or
// fail. What is beyond the limit is refused at once instead of waiting until its deadline.
package adaptivelimit

import "time"

const (
	// slowShare is the share of the calls of an interval that may be slow or fail before the
	// limit falls: single ones fail for other reasons than overload.
	slowShare = 0.25
	// decreaseFactor is what remains of the calls under way when the limit falls.
	decreaseFactor = 0.7
	// inUseShare is the share of the limit that must be in use for it to grow.
	inUseShare = 0.5
)

// Config configures a Limiter.
type Config struct {
	Min, Max int           // bounds of the limit, in calls
	Interval time.Duration // between two changes of the limit
}

// Limiter is an adaptive limit of concurrent calls. It is not safe for concurrent use.
type Limiter struct {
	cfg     Config
	limit   float64
	open    int
	refused time.Time

	// Since the last change of the limit:
	changed    time.Time
	most       int // calls under way at a time
	fast, slow int // calls that ended
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
	l.most = max(l.most, l.open)
	return true
}

// End records the end of a call, and whether it took too long or failed.
func (l *Limiter) End(slow bool, now time.Time) {
	l.open--
	if slow {
		l.slow++
	} else {
		l.fast++
	}
	if now.Sub(l.changed) >= l.cfg.Interval {
		l.change(now)
	}
}

// change adapts the limit to the calls that have ended since its last change.
func (l *Limiter) change(now time.Time) {
	most := float64(l.most)
	switch {
	case float64(l.slow) > slowShare*float64(l.slow+l.fast):
		l.limit = max(min(l.limit, most)*decreaseFactor, float64(l.cfg.Min))
	case most >= inUseShare*l.limit:
		l.limit = min(l.limit+float64(l.fast), float64(l.cfg.Max))
	}
	l.changed, l.most, l.fast, l.slow = now, l.open, 0, 0
}

// Limit returns the current limit in calls.
func (l *Limiter) Limit() int { return int(l.limit) }

// LastRefused returns when a call was last refused; the zero time: none was.
func (l *Limiter) LastRefused() time.Time { return l.refused }
