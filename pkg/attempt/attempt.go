// Package attempt decides what follows each attempt of a request: another attempt, the
// delivery of the response, or a refusal that says whether the request may have run. It
// has no clock and no I/O.
package attempt

import "time"

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of attempts.
const (
	// NotSent: no byte of the request was sent, or the connection was refused.
	NotSent Outcome = iota
	// Rejected: the upstream reported that it did not run the request.
	Rejected
	// Answered: a complete response with any status was received.
	Answered
	// Broken: the request may have run, and no complete response was received.
	Broken
	// Stalled: the upstream sent nothing for too long, and the attempt was canceled.
	Stalled
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return [...]string{"not_sent", "rejected", "answered", "broken", "stalled"}[o]
}

// Action is the next step after an attempt.
type Action int

// Actions.
const (
	Retry   Action = iota // at an upstream that was not tried yet
	Deliver               // pass the response of the attempt to the caller
	Refuse                // the request did not run; the caller may retry it
	GiveUp                // the request may have run; the caller is not told to retry it
	Expire                // the deadline expired, and the request may have run
)

// String implements fmt.Stringer.
func (a Action) String() string {
	return [...]string{"retry", "deliver", "refuse", "give_up", "expire"}[a]
}

// Request holds the properties of a request that determine the next action.
type Request struct {
	Idempotent  bool
	MaxAttempts int // attempts that may run it
	Deadline    time.Time
}

// maxRejections bounds the attempts that upstreams reject: each costs a round trip, and
// the load reported with the first rejections already guides the later selections.
const maxRejections = 5

// maxNotSent bounds the attempts at upstreams that cannot be reached.
const maxNotSent = 4

// Tracker counts the attempts of one request.
type Tracker struct {
	request    Request
	ran        int // attempts that may have run
	rejections int
	notSent    int
}

// New returns a tracker for a request without attempts.
func New(r Request) *Tracker {
	r.MaxAttempts = max(r.MaxAttempts, 1)
	return &Tracker{request: r}
}

// MayHaveRun reports whether an attempt may have run the request.
func (t *Tracker) MayHaveRun() bool { return t.ran > 0 }

// Attempts returns the number of attempts so far.
func (t *Tracker) Attempts() int { return t.ran + t.rejections + t.notSent }

// Exhausted reports whether as many attempts may have run the request as are allowed.
func (t *Tracker) Exhausted() bool { return t.ran >= t.request.MaxAttempts }

// MayRetry reports whether another upstream may run the request after the current
// attempt is canceled.
func (t *Tracker) MayRetry() bool { return t.request.Idempotent && t.ran+1 < t.request.MaxAttempts }

// RecordEnd records an ended attempt and returns the next action. serverError is set
// for a response with a status of 500 or above.
func (t *Tracker) RecordEnd(o Outcome, serverError bool, now time.Time) Action {
	switch o {
	case NotSent:
		t.notSent++
	case Rejected:
		t.rejections++
	default:
		t.ran++
	}
	expired := !now.Before(t.request.Deadline)
	switch {
	case o == Answered && (!serverError || expired || !t.request.Idempotent || t.ran >= t.request.MaxAttempts):
		return Deliver
	case expired:
		return t.refuseUnlessRun(Expire)
	case t.ran == 0:
		if t.rejections > maxRejections || t.notSent > maxNotSent {
			return Refuse
		}
		return Retry
	case !t.request.Idempotent || t.ran >= t.request.MaxAttempts || t.rejections > maxRejections || t.notSent > maxNotSent:
		return GiveUp
	}
	return Retry
}

// ShortenDeadline moves the deadline forward by the time for which the monotonic clock
// stood still, because the machine was suspended.
func (t *Tracker) ShortenDeadline(d time.Duration) { t.request.Deadline = t.request.Deadline.Add(-d) }

// NoUpstreamLeft returns the action when there is no other upstream to try.
func (t *Tracker) NoUpstreamLeft() Action { return t.refuseUnlessRun(GiveUp) }

// refuseUnlessRun returns the action ran if the request may have run, and Refuse
// otherwise.
func (t *Tracker) refuseUnlessRun(ran Action) Action {
	if t.ran > 0 {
		return ran
	}
	return Refuse
}
