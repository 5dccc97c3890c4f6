// Package attempt decides what follows each attempt of a request: another
// attempt, the answer, or a refusal that tells truthfully whether the request
// ran. It has no clock and no I/O.
package attempt

import "time"

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of attempts.
const (
	// NotSent: no byte of the request left, or the connection was refused.
	NotSent Outcome = iota
	// Rejected: the upstream states that it did not run the request.
	Rejected
	// Answered: a complete answer of any status.
	Answered
	// Broken: the request may have run and no complete answer came.
	Broken
	// Stalled: the upstream was silent for too long; the attempt was canceled.
	Stalled
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return [...]string{"not_sent", "rejected", "answered", "broken", "stalled"}[o]
}

// Action is what to do next.
type Action int

// Actions.
const (
	Retry   Action = iota // at an upstream that was not tried
	Deliver               // the answer of the attempt
	Refuse                // not run: the caller may come back
	GiveUp                // may have run: the caller is not invited to repeat it
	Expire                // out of time after the request may have run
)

// String implements fmt.Stringer.
func (a Action) String() string {
	return [...]string{"retry", "deliver", "refuse", "give_up", "expire"}[a]
}

// Request is what the decisions about one request depend on.
type Request struct {
	Idempotent  bool
	MaxAttempts int // upstreams that may run it
	Deadline    time.Time
}

// maxRejections bounds the upstreams asked for room: each answer costs a round
// trip, and the load reported by the first ones decides the later choices.
const maxRejections = 5

// maxNotSent bounds the upstreams that could not be reached.
const maxNotSent = 4

// Tracker counts the attempts of one request.
type Tracker struct {
	req        Request
	ran        int // attempts that may have run
	rejections int
	notSent    int
}

// New returns the tracker of a request that was not sent yet.
func New(r Request) *Tracker {
	r.MaxAttempts = max(r.MaxAttempts, 1)
	return &Tracker{req: r}
}

// MayHaveRun reports whether an attempt may have run.
func (t *Tracker) MayHaveRun() bool { return t.ran > 0 }

// Attempts returns the number of attempts so far.
func (t *Tracker) Attempts() int { return t.ran + t.rejections + t.notSent }

// MayRetry reports whether another upstream may run the request, if the
// present attempt is canceled.
func (t *Tracker) MayRetry() bool { return t.req.Idempotent && t.ran+1 < t.req.MaxAttempts }

// RecordEnd counts an attempt and returns what follows. serverError is set for an
// answer with a status of 500 and above.
func (t *Tracker) RecordEnd(o Outcome, serverError bool, now time.Time) Action {
	switch o {
	case NotSent:
		t.notSent++
	case Rejected:
		t.rejections++
	default:
		t.ran++
	}
	late := !now.Before(t.req.Deadline)
	switch {
	case o == Answered && (!serverError || late || !t.req.Idempotent || t.ran >= t.req.MaxAttempts):
		return Deliver
	case late:
		return t.out(Expire)
	case t.ran == 0:
		if t.rejections > maxRejections || t.notSent > maxNotSent {
			return Refuse
		}
		return Retry
	case !t.req.Idempotent || t.ran >= t.req.MaxAttempts || t.rejections > maxRejections || t.notSent > maxNotSent:
		return GiveUp
	}
	return Retry
}

// ShortenDeadline brings the deadline forward: time has passed that the steady clock did
// not count.
func (t *Tracker) ShortenDeadline(d time.Duration) { t.req.Deadline = t.req.Deadline.Add(-d) }

// NoUpstreamLeft returns what follows when no upstream is left to try.
func (t *Tracker) NoUpstreamLeft() Action { return t.out(GiveUp) }

// out returns the action for a request that may have run, or a refusal.
func (t *Tracker) out(ran Action) Action {
	if t.ran > 0 {
		return ran
	}
	return Refuse
}
