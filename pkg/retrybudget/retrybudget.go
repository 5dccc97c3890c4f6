// Package retrybudget bounds the attempts after the first that one process makes at the
// upstreams of one service, so that retries do not multiply the load of a service that is
// short of room. It has no clock and no I/O; the time is passed in.
package retrybudget

import "time"

// Cause is why a request needs another attempt.
type Cause int

// The causes, each with its own share of retries.
const (
	// Rejection: the upstream had no room and did not run the request. It cost a round trip.
	Rejection Cause = iota
	// Failure: the attempt may have run the request, and its work is lost.
	Failure

	causes = 2 // number of causes
)

// String implements fmt.Stringer.
func (c Cause) String() string { return [...]string{"rejection", "failure"}[c] }

const (
	// Window is the time over which attempts are counted.
	Window = windowSlots * slotTime
	// slotTime is the resolution of the window.
	slotTime    = time.Second
	windowSlots = 10
	// failureShare and rejectionShare are the attempts after the first for each first
	// attempt. A rejected attempt costs the service far less than one that failed.
	failureShare   = 0.2
	rejectionShare = 0.5
	// constant is the number of retries in a window that are always allowed, so that a
	// service with little traffic gets its retries.
	constant = 10
)

// Budget counts the attempts at one service.
type Budget struct {
	slots [windowSlots]slot
	began time.Time // of the first slot
}

// slot counts the attempts of one slotTime.
type slot struct {
	number  int64 // of the slotTime, from 1; 0: never used
	first   int
	retries [causes]int
}

// First records the first attempt of a request.
func (b *Budget) First(now time.Time) { b.slot(now).first++ }

// Allow reports whether another attempt may be made now and counts it if so.
func (b *Budget) Allow(c Cause, now time.Time) bool {
	if float64(b.retries(c, now)+1) > b.allowed(c, now) {
		return false
	}
	b.Count(c, now)
	return true
}

// Count records another attempt that is made in any case.
func (b *Budget) Count(c Cause, now time.Time) { b.slot(now).retries[c]++ }

// allowed returns the retries that the window allows.
func (b *Budget) allowed(c Cause, now time.Time) float64 {
	first := 0
	for i := range b.slots {
		if b.inWindow(b.slots[i], now) {
			first += b.slots[i].first
		}
	}
	share := failureShare
	if c == Rejection {
		share = rejectionShare
	}
	return constant + share*float64(first)
}

// retries returns the retries in the window.
func (b *Budget) retries(c Cause, now time.Time) (n int) {
	for i := range b.slots {
		if b.inWindow(b.slots[i], now) {
			n += b.slots[i].retries[c]
		}
	}
	return n
}

// slot returns the slot of the current time.
func (b *Budget) slot(now time.Time) *slot {
	if b.began.IsZero() {
		b.began = now
	}
	n := b.number(now)
	s := &b.slots[n%windowSlots]
	if s.number != n {
		*s = slot{number: n}
	}
	return s
}

// inWindow reports whether a slot is in the window that ends now.
func (b *Budget) inWindow(s slot, now time.Time) bool {
	return s.number > 0 && b.number(now)-s.number < windowSlots
}

// number returns the number of the slotTime that a time is in.
func (b *Budget) number(t time.Time) int64 { return max(int64(t.Sub(b.began)/slotTime), 0) + 1 }
