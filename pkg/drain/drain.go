// Package drain decides whether a stopping process may still start an attempt, which is
// cut if it is under way when the process has to end. It has no clock and no I/O.
package drain

import (
	"slices"
	"time"
)

const (
	// window is the number of recent requests of a route whose times are kept.
	window = 128
	// usualPercent of the recent requests took at most the usual time. A cut costs a
	// caller several times what a refusal costs, which sends it to another process.
	usualPercent = 90
	// minKnown is the number of recent requests from which their longest time bounds the
	// next one.
	minKnown = 32
	// lateFactor times the longest recent time must remain for a late request. The longest
	// of a full window is exceeded by about one in 128 requests, so it alone is no bound.
	lateFactor = 3
)

// Times holds how long the recent requests of a route took. The zero value is empty.
type Times struct {
	recent [window]time.Duration
	count  int // of all requests; the last window of them are in recent
}

// Add adds the time of a request.
func (t *Times) Add(d time.Duration) {
	t.recent[t.count%window] = d
	t.count++
}

// Estimate returns what the recent requests tell about the next one.
func (t *Times) Estimate() Estimate {
	n := min(t.count, window)
	if n == 0 {
		return Estimate{}
	}
	sorted := slices.Clone(t.recent[:n])
	slices.Sort(sorted)
	return Estimate{Requests: n, Usual: sorted[(n*usualPercent-1)/100], Longest: sorted[n-1]}
}

// Estimate says how long recent requests of a route took.
type Estimate struct {
	Requests int // 0: nothing is known
	Usual    time.Duration
	Longest  time.Duration
}

// Attempt is an attempt that a stopping process could start.
type Attempt struct {
	Rest    time.Duration // until requests under way are cut
	Allowed time.Duration // until the deadline of the request
	Recent  Estimate
	// Stream is set if the answer is a stream, of which only the begin is expected soon.
	Stream bool
	// Late is set if the request came so late in the stop that the platform accepts no
	// cut: the attempt has to fit, not only to be likely to.
	Late bool
}

// Fits reports whether the rest of the stop can hold the attempt.
func (a Attempt) Fits() bool {
	return a.Rest > 0 && min(a.need(), a.Allowed) <= a.Rest
}

// need returns the time that must remain for the attempt. Of a plain request that is not
// late nothing is assumed: most are short, and the platform accepts that it is cut.
func (a Attempt) need() time.Duration {
	switch {
	case a.Late && a.Recent.Requests >= minKnown:
		return lateFactor * a.Recent.Longest
	case a.Late:
		return a.Allowed
	case a.Recent.Requests > 0:
		return a.Recent.Usual
	case a.Stream:
		return a.Allowed
	}
	return 0
}
