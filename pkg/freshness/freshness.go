// Package freshness decides whether a state that was copied from elsewhere is recent enough
// to act on. It has no clock: all times are readings of one clock of the process, which also
// counts suspensions, so that neither a stopped process nor a suspended machine takes an old
// state for a new one.
package freshness

import (
	"sync/atomic"
	"time"
)

const (
	// owedShare is the share of the revocation time for which requests must be served by a state
	// that was checked.
	owedShare = 0.6
	// arrivalTime is what an attempt may take until it is at its upstream: a body of 4 MB
	// takes 1.53 s over the link of the smallest edge, 22 Mbit/s, and one way to another
	// region 30 ms.
	arrivalTime = 1600 * time.Millisecond
	// maxAge limits the ages that others state. Older states are of no use to anybody.
	maxAge = time.Hour
)

// Limit returns the age from which a state is too old, given the time after which a
// revocation must have taken effect; 0: there is no such time, and no limit.
func Limit(revocation time.Duration) time.Duration {
	if revocation <= 0 {
		return 0
	}
	return max(time.Duration(owedShare*float64(revocation)), revocation-arrivalTime)
}

// Checked holds when the state was last known to be current. The zero value means never. It is
// safe for concurrent use.
type Checked struct{ began atomic.Int64 }

// Record notes a check of the state that began at a time and found, or made, it current.
func (c *Checked) Record(began time.Duration) {
	for {
		old := c.began.Load()
		if int64(began) <= old || c.began.CompareAndSwap(old, int64(began)) {
			return
		}
	}
}

// Age returns the time since the begin of the newest check. It reports false if there was
// none.
func (c *Checked) Age(now time.Duration) (time.Duration, bool) {
	began := c.began.Load()
	return max(now-time.Duration(began), 0), began > 0
}

// Within reports whether the state is known to be younger than a limit; 0: any state is.
func (c *Checked) Within(limit, now time.Duration) bool {
	if limit <= 0 {
		return true
	}
	age, known := c.Age(now)
	return known && age < limit
}

// Question determines the age of a state from the answer of another process. An answer may have
// waited in a buffer for any time, while this process was stopped or the link was silent, so
// its age counts from when the question was sent. The zero value has no open question.
type Question struct {
	id     uint64
	sentAt time.Duration
}

// Ask opens a question that is sent now and returns its number, which the answer repeats.
func (q *Question) Ask(now time.Duration) uint64 {
	q.id++
	q.sentAt = now
	return q.id
}

// Answer returns when the check that an answer names began, or earlier. It reports false if the
// answer is not one to the open question, or names no check.
func (q *Question) Answer(id uint64, age EncodedAge) (began time.Duration, ok bool) {
	ago, known := age.decode()
	if !q.Open(id) || !known {
		return 0, false
	}
	return q.sentAt - ago, true
}

// Open reports whether an answer with a number is one to the open question.
func (q *Question) Open(id uint64) bool { return id != 0 && id == q.id }

// EncodedAge is an age in a message: in ms, rounded up, plus 1; 0: not known.
type EncodedAge uint64

// Encode returns the age of the state for a message.
func (c *Checked) Encode(now time.Duration) EncodedAge {
	age, known := c.Age(now)
	if !known {
		return 0
	}
	return EncodedAge((age+time.Millisecond-1)/time.Millisecond) + 1
}

// decode returns the age. It reports false if the age is not known or too large.
func (a EncodedAge) decode() (time.Duration, bool) {
	if a == 0 || a > EncodedAge(maxAge/time.Millisecond) {
		return 0, false
	}
	return time.Duration(a-1) * time.Millisecond, true
}
