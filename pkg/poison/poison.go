// Package poison identifies requests that crash every upstream that runs them. It
// combines what one entry, a process that forwards callers' requests to upstreams,
// observes with the evidence of other processes. It has no clock and no I/O.
//
// A lost attempt, one that may have run and got no response, is not evidence by
// itself, since responses are lost for many reasons. It becomes evidence once its
// upstream is known to have crashed. Evidence names the request and the run of the
// upstream that ended, so processes can exchange it in any order and any number of
// times. The restriction on a request is computed from all evidence about it.
package poison

import (
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/identity"
)

const (
	// attributionWindow is the longest time between a lost attempt and the detected end
	// of its upstream, in either order, for which the loss is attributed to a crash. It
	// covers an outage of the platform's store, during which registrations do not
	// expire, and the grace period after it.
	attributionWindow = 30 * time.Second
	// promptDetection is the longest time between a lost attempt and the detected end of
	// its upstream, in either order, for which the two are taken for one event. This
	// process may have been suspended in a longer time, and the upstream have left as
	// planned without an announcement.
	promptDetection = 1500 * time.Millisecond
	// AbandonedRunTime is how long an upstream may work on a request after this entry has
	// closed its connection: upstreams must stop within half a second.
	AbandonedRunTime = 500 * time.Millisecond
	// maxLost bounds the lost attempts that are kept.
	maxLost = 4096
)

// lostAttempt is an attempt that may have run and got no response.
type lostAttempt struct {
	request    identity.Request
	sentAt, at time.Time
	// over is when the attempt no longer runs: an upstream that is alive then has not
	// crashed because of it.
	over time.Time
	// unreachable is set if no connection to the upstream could be made afterwards,
	// presumed if that was then counted as a presumed crash.
	unreachable, presumed bool
	// discounted says that the address of the upstream was alive after the attempt was
	// over. The attempt counts again if that was another run. Empty: it counts.
	discounted Reason
}

// Sign is how the end of a run became known.
type Sign int

// Signs of ends.
const (
	// Refused: no process listens at the address.
	Refused Sign = iota
	// Removed: the registration is gone.
	Removed
	// Replaced: the upstream registered a new run, or another upstream answers at its
	// address.
	Replaced
)

// End is the end of a run.
type End struct {
	// Announced is set if the upstream had announced its shutdown. The run may have
	// ended as planned, with requests still in flight, or in a crash before that.
	Announced bool
	Sign      Sign
}

// grade returns the grade of the evidence against a request in flight at an end. between
// is the time from the loss of its attempt to the detection of the end, in either order.
func (e End) grade(between time.Duration) Grade {
	if e.Announced || between > promptDetection {
		return Presumed
	}
	return Confirmed
}

// sparesDiscounted reports whether a lost attempt after which the address was alive did not
// end the upstream. What was alive was another run if the upstream was replaced.
func (e End) sparesDiscounted() bool { return e.Sign != Replaced }

// runEnd is the recorded end of a run.
type runEnd struct {
	at  time.Time // when it was recorded
	end End
}

// Reason is why a lost attempt does not count as evidence.
type Reason string

// Reasons for discounting lost attempts.
const (
	// Responded: the upstream responded to an attempt that was sent after the loss.
	Responded Reason = "responded"
	// Alive: the upstream accepted connections after the loss.
	Alive Reason = "alive"
	// Succeeded: the same request succeeded.
	Succeeded Reason = "succeeded"
)

// Discounted is a lost attempt that no longer counts as evidence, unless its upstream turns
// out to have been replaced.
type Discounted struct {
	Run     Run
	Request identity.Request
	Reason  Reason
}

// Tracker attributes lost attempts to crashes. The zero value is ready for use.
type Tracker struct {
	EvidenceSet

	discounted []Discounted // since the last call of TakeDiscounted

	lostAttempt   map[Run][]lostAttempt    // by run, oldest first
	spareCount    int                      // number of discounted attempts in lostAttempt
	lostCount     int                      // number of attempts in lostAttempt
	lostByRequest map[identity.Request]int // number of attempts in lostAttempt
	unreachable   map[Run]bool             // runs that have attempts with unreachable set and presumed not set
	ended         map[Run]runEnd
	lives         map[Run]uint32 // current Life of a run; Life of the keys is 0
}

// withLife returns a run with its current Life set.
func (t *Tracker) withLife(r Run) Run {
	r.Life = t.lives[r]
	return r
}

// NeedsResponses reports whether RecordResponse has an effect at present.
func (t *Tracker) NeedsResponses() bool { return t.lostCount > 0 || len(t.ended) > 0 }

// TakeDiscounted returns the lost attempts that were discounted since its last call.
func (t *Tracker) TakeDiscounted() []Discounted {
	d := t.discounted
	t.discounted = nil
	return d
}

// discard removes the lost attempts at a run for which f returns true.
func (t *Tracker) discard(r Run, reason Reason, f func(lostAttempt) bool) {
	t.retainLost(r, func(l lostAttempt) bool {
		if !f(l) {
			return true
		}
		if l.discounted == "" {
			t.discounted = append(t.discounted, Discounted{r, l.request, reason})
		}
		return false
	})
}

// discount marks the lost attempts at a run that were over at a time, at which the address
// of the upstream was alive.
func (t *Tracker) discount(r Run, reason Reason, at time.Time) {
	for i := range t.lostAttempt[r] {
		l := &t.lostAttempt[r][i]
		if l.discounted != "" || at.Before(l.over) {
			continue
		}
		l.discounted, l.unreachable, l.presumed = reason, false, false
		t.spareCount++
		t.discounted = append(t.discounted, Discounted{r, l.request, reason})
	}
}

// RecordLost records an attempt that may have run and got no response because its
// connection broke. It returns new evidence if the end of its upstream is already known.
func (t *Tracker) RecordLost(r Run, q identity.Request, sentAt, now time.Time) []Evidence {
	return t.recordLost(r, lostAttempt{request: q, sentAt: sentAt, at: now, over: now}, now)
}

// RecordAbandoned records an attempt that may have run and was given up by this entry. The
// upstream may work on it for a while.
func (t *Tracker) RecordAbandoned(r Run, q identity.Request, sentAt, now time.Time) []Evidence {
	return t.recordLost(r, lostAttempt{request: q, sentAt: sentAt, at: now, over: now.Add(AbandonedRunTime)}, now)
}

func (t *Tracker) recordLost(r Run, l lostAttempt, now time.Time) []Evidence {
	t.pruneExpired(now)
	key := r
	r = t.withLife(r)
	if ended, e, ok := t.endAfter(r, l.sentAt); ok {
		return t.addEvidence(l.request, ended, e.end.grade(now.Sub(e.at)), now)
	}
	if _, ok := t.ended[r]; ok { // a new run accepted the attempt
		t.incrementLife(key)
		r = t.withLife(key)
	}
	if !l.request.Known() || !t.makeRoom() {
		return nil
	}
	if t.lostAttempt == nil {
		t.lostAttempt = make(map[Run][]lostAttempt)
		t.lostByRequest = make(map[identity.Request]int)
	}
	t.lostByRequest[l.request]++
	t.lostAttempt[r] = append(t.lostAttempt[r], l)
	t.lostCount++
	return nil
}

// endAfter returns the first recorded end after a time, of the current Life of a run or of
// those right before it.
func (t *Tracker) endAfter(current Run, at time.Time) (ended Run, end runEnd, ok bool) {
	for life := int64(current.Life); life >= 0; life-- {
		r := Run{ID: current.ID, StartedUnixMs: current.StartedUnixMs, Life: uint32(life)}
		e, known := t.ended[r]
		switch {
		case known && at.Before(e.at):
			ended, end, ok = r, e, true
		case r != current:
			return ended, end, ok
		}
	}
	return ended, end, ok
}

// makeRoom reports whether another lost attempt can be kept. Discounted ones give way.
func (t *Tracker) makeRoom() bool {
	if t.lostCount >= maxLost && t.spareCount > 0 {
		for r := range t.lostAttempt {
			t.retainLost(r, func(l lostAttempt) bool { return l.discounted == "" })
		}
	}
	return t.lostCount < maxLost
}

// RecordEnd records that a run of an upstream ended. It returns new evidence against the
// requests whose attempts were lost there.
func (t *Tracker) RecordEnd(r Run, end End, now time.Time) []Evidence {
	t.pruneExpired(now)
	r = t.withLife(r)
	if t.ended == nil {
		t.ended = make(map[Run]runEnd)
	}
	if _, ok := t.ended[r]; !ok {
		t.ended[r] = runEnd{at: now, end: end}
	}
	var found []Evidence
	for _, l := range t.lostAttempt[r] {
		if l.discounted != "" && end.sparesDiscounted() {
			continue
		}
		found = append(found, t.addEvidence(l.request, r, end.grade(now.Sub(l.at)), now)...)
	}
	t.retainLost(r, func(lostAttempt) bool { return false })
	return found
}

// RecordAlive records that an upstream accepted connections at a time and for a while after
// it. A new run may have accepted them.
func (t *Tracker) RecordAlive(r Run, at time.Time) {
	t.discount(t.withLife(r), Alive, at)
}

// RecordRunning records that a run of an upstream went on at a time: it said itself which run
// it is.
func (t *Tracker) RecordRunning(r Run, at time.Time) {
	t.discard(t.withLife(r), Alive, func(l lostAttempt) bool { return !at.Before(l.over) })
}

// HasLost reports whether there are lost attempts at a run that were over after a time and
// are not discounted.
func (t *Tracker) HasLost(r Run, after time.Time) bool {
	return slices.ContainsFunc(t.lostAttempt[t.withLife(r)], func(l lostAttempt) bool {
		return l.discounted == "" && l.over.After(after)
	})
}

// RecordUnreachable records that no connection to an upstream could be made. That
// alone is no evidence of a crash, since this entry may be cut off from the network.
func (t *Tracker) RecordUnreachable(r Run) {
	r = t.withLife(r)
	for i := range t.lostAttempt[r] {
		l := &t.lostAttempt[r][i]
		if l.discounted != "" {
			continue
		}
		l.unreachable = true
		if t.unreachable == nil {
			t.unreachable = make(map[Run]bool)
		}
		t.unreachable[r] = true
	}
}

// Response describes when an upstream responded.
type Response struct {
	// ConnectedAt is when the connection was made; zero: unknown.
	ConnectedAt time.Time
	SentAt      time.Time // when the attempt was sent
}

// provesAlive reports whether the response comes from the run that lost an attempt, after
// the attempt was over: a connection does not outlive the run that accepted it.
func (p Response) provesAlive(l lostAttempt) bool {
	return !p.ConnectedAt.IsZero() && p.ConnectedAt.Before(l.sentAt) && !p.SentAt.Before(l.over)
}

// RecordResponse records that an upstream responded to an attempt. If its end was
// recorded before the attempt was sent, the response comes from a new run. Otherwise the
// upstream seems not to have crashed, so the attempts that it lost earlier are discounted,
// and discarded if the response surely comes from the run that lost them. The response
// also shows that this entry is not cut off from the network, so upstreams that cannot be
// reached are presumed to have crashed.
func (t *Tracker) RecordResponse(r Run, resp Response, now time.Time) []Evidence {
	key := r
	r = t.withLife(r)
	if e, ok := t.ended[r]; ok && resp.SentAt.After(e.at) {
		t.incrementLife(key)
		return t.presumeCrashes(r, resp.SentAt, now)
	}
	found := t.clearPresumed(r, resp.SentAt, now)
	t.discard(r, Responded, resp.provesAlive)
	t.discount(r, Responded, resp.SentAt)
	if len(found) > 0 {
		t.incrementLife(key)
		t.moveLost(r, t.withLife(key))
	}
	return append(found, t.presumeCrashes(r, resp.SentAt, now)...)
}

// clearPresumed clears the requests that are presumed to have ended a run because it was
// unreachable, if one of their attempts was lost before a response was asked for.
func (t *Tracker) clearPresumed(r Run, sentAt, now time.Time) []Evidence {
	isCleared := func(l lostAttempt) bool { return l.presumed && l.at.Before(sentAt) }
	if !slices.ContainsFunc(t.lostAttempt[r], isCleared) {
		return nil
	}
	var found []Evidence
	for _, l := range t.lostAttempt[r] {
		if l.presumed {
			found = append(found, t.addEvidence(l.request, r, Cleared, now)...)
		}
	}
	return found
}

// moveLost moves the lost attempts at a run to the next Life of it: evidence about the
// current one was cleared, and they may turn out to count nevertheless.
func (t *Tracker) moveLost(from, to Run) {
	delete(t.unreachable, from)
	list := t.lostAttempt[from]
	delete(t.lostAttempt, from)
	if len(list) == 0 {
		return
	}
	for i := range list {
		list[i].unreachable, list[i].presumed = false, false
	}
	t.lostAttempt[to] = list
}

// presumeCrashes presumes a crash of each unreachable upstream, given that another
// one responded to an attempt sent after the loss.
func (t *Tracker) presumeCrashes(responding Run, sentAt, now time.Time) []Evidence {
	var found []Evidence
	for r := range t.unreachable {
		if r == responding {
			continue
		}
		for i := range t.lostAttempt[r] {
			l := &t.lostAttempt[r][i]
			if l.unreachable && !l.presumed && l.at.Before(sentAt) {
				l.presumed = true
				found = append(found, t.addEvidence(l.request, r, Presumed, now)...)
			}
		}
		if !slices.ContainsFunc(t.lostAttempt[r], func(l lostAttempt) bool { return l.unreachable && !l.presumed }) {
			delete(t.unreachable, r)
		}
	}
	return found
}

// incrementLife records that an upstream responds again after its end.
func (t *Tracker) incrementLife(key Run) {
	if t.lives == nil || len(t.lives) >= maxLost {
		t.lives = make(map[Run]uint32)
	}
	t.lives[key]++
}

// RecordSuccess records that a request completed and returns the resulting evidence,
// which is to be sent to the other processes. Lost attempts of a caller that is not single
// are kept: they may be another caller's.
func (t *Tracker) RecordSuccess(q identity.Request, now time.Time) []Evidence {
	if q.Caller.Single() && t.lostByRequest[q] > 0 {
		for r := range t.lostAttempt {
			t.discard(r, Succeeded, func(l lostAttempt) bool { return l.request == q })
		}
	}
	return t.RecordCompleted(q, now)
}

func (t *Tracker) addEvidence(q identity.Request, r Run, g Grade, now time.Time) []Evidence {
	e := Evidence{Request: q, Run: r, Grade: g, At: now}
	if !t.Add(e, now) {
		return nil
	}
	return []Evidence{e}
}

// retainLost removes the lost attempts at a run for which f returns false.
func (t *Tracker) retainLost(r Run, f func(lostAttempt) bool) {
	kept := slices.DeleteFunc(t.lostAttempt[r], func(l lostAttempt) bool {
		if f(l) {
			return false
		}
		t.decrementCounts(l)
		return true
	})
	if len(kept) == 0 {
		delete(t.lostAttempt, r)
		delete(t.unreachable, r)
		return
	}
	t.lostAttempt[r] = kept
}

// decrementCounts removes one lost attempt from the counts.
func (t *Tracker) decrementCounts(l lostAttempt) {
	t.lostCount--
	if l.discounted != "" {
		t.spareCount--
	}
	if t.lostByRequest[l.request]--; t.lostByRequest[l.request] <= 0 {
		delete(t.lostByRequest, l.request)
	}
}

// pruneExpired removes lost attempts and ends that are older than the attribution
// window.
func (t *Tracker) pruneExpired(now time.Time) {
	for r := range t.lostAttempt {
		if now.Sub(t.lostAttempt[r][0].at) > attributionWindow {
			t.retainLost(r, func(l lostAttempt) bool { return now.Sub(l.at) <= attributionWindow })
		}
	}
	for r, e := range t.ended {
		if now.Sub(e.at) > attributionWindow {
			delete(t.ended, r)
		}
	}
}
