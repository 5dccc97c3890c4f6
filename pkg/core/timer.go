package core

import (
	"container/heap"
	"time"
)

// overdueGrace is the time after the deadline of a claimed attempt, which its
// sidecar enforces, at which the core starts to resolve the outcome if it has
// heard nothing.
const overdueGrace = 5 * time.Second

// timerKind is the purpose of a timer.
type timerKind uint8

const (
	timerDeadline       timerKind = iota // the deadline of a call
	timerRetry                           // the end of a backoff
	timerClaimWait                       // the profile's ClaimWait has passed without a commit of the claim
	timerCrashReport                     // crashReportWait has passed without a report
	timerResolveTimeout                  // resolveTimeout has passed without an outcome
	timerQueryOutcome                    // the next query for the outcome of a claim
	timerOverdue                         // a claimed attempt has not ended overdueGrace after its deadline
	timerRootCheck                       // wall time, idle timeout and retention of a root program
	timerPinRenewal                      // renewal of pins
)

type timer struct {
	at   time.Time
	id   uint64 // increases with each timer; timers of the same time fire in this order
	kind timerKind
	call *call
	root *root
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].id < h[j].id
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return t
}

func (c *Core) addTimer(t timer) uint64 {
	c.nextTimer++
	t.id = c.nextTimer
	heap.Push(&c.timers, t)
	return t.id
}

// armDeadline arms the timer for the deadline of a call.
func (c *Core) armDeadline(cl *call) {
	if !cl.Deadline.IsZero() {
		c.addTimer(timer{at: cl.Deadline, kind: timerDeadline, call: cl})
	}
}

// armCallTimer arms the timer for the present state of a call. It replaces an
// earlier one.
func (c *Core) armCallTimer(cl *call, kind timerKind, at time.Time) {
	cl.timer = c.addTimer(timer{at: at, kind: kind, call: cl})
}

// armRootCheck arms the next check of a root program unless an earlier check is
// armed. Activity only postpones checks, and an early check computes the next
// time again.
func (c *Core) armRootCheck(r *root) {
	if next := c.nextCheckTime(r); !next.IsZero() && (r.checkAt.IsZero() || next.Before(r.checkAt)) {
		r.checkAt = next
		c.addTimer(timer{at: next, kind: timerRootCheck, root: r})
	}
}

// NextWake returns the earliest time at which a Tick has an effect, zero if
// there is none.
func (c *Core) NextWake() time.Time {
	next := c.crashSuspects.NextExpiry()
	if len(c.timers) > 0 && (next.IsZero() || c.timers[0].at.Before(next)) {
		next = c.timers[0].at
	}
	return next
}

// fireTimers runs the timers that are due.
func (c *Core) fireTimers() {
	for len(c.timers) > 0 && !c.timers[0].at.After(c.now) {
		t := heap.Pop(&c.timers).(timer)
		switch t.kind {
		case timerDeadline:
			c.deadlinePassed(t.call)
		case timerRootCheck:
			if c.roots[ProgramID(t.root.ID)] == t.root && t.root.checkAt.Equal(t.at) {
				t.root.checkAt = time.Time{}
				c.expireMembers(t.root)
			}
		case timerPinRenewal:
			if c.roots[ProgramID(t.root.ID)] == t.root {
				c.renewPins(t.root)
			}
		default:
			if t.call.timer == t.id {
				c.fireCallTimer(t.call, t.kind)
			}
		}
	}
}

// fireCallTimer handles a call timer if the call is still in the state for
// which it was armed.
func (c *Core) fireCallTimer(cl *call, kind timerKind) {
	switch {
	case kind == timerRetry && cl.state == stateBackoff:
		c.startAttempt(cl)
	case kind == timerClaimWait && cl.state == stateClaiming:
		c.refuse(cl, c.newRefusal(cl, CodeJournalUnavailable, "claim", "the claim of the call did not become durable in time"))
	case kind == timerCrashReport && cl.state == stateHeld:
		c.quarantineHeld(cl)
	case kind == timerOverdue && cl.state == stateRunning:
		c.opt.Policy.OnFailed(c.now, Failure{Attempt: cl.attempt, Ran: RanUnknown})
		c.resolveOutcome(cl)
	case kind == timerQueryOutcome && cl.state == stateResolving:
		c.queryOutcome(cl)
	case kind == timerResolveTimeout && cl.state == stateResolving:
		c.recordUnknownOutcome(cl)
	}
}

// deadlinePassed ends a call whose deadline has passed.
func (c *Core) deadlinePassed(cl *call) {
	if cl.state == stateDone || cl.replied || cl.Deadline.IsZero() || c.now.Before(cl.Deadline) {
		return
	}
	switch cl.state {
	case stateClaiming:
		c.refuse(cl, c.newRefusal(cl, CodeJournalUnavailable, "claim", "the claim of the call did not become durable before the deadline"))
	case stateFinishing:
		c.refuse(cl, c.newRefusal(cl, CodeJournalUnavailable, "journal", "the answer did not become durable before the deadline"))
	default:
		if cl.state == stateRunning && cl.nonIdempotent {
			c.armCallTimer(cl, timerOverdue, c.now.Add(overdueGrace))
		}
		c.refuse(cl, c.newRefusal(cl, CodeDeadlineExceeded, "deadline", "the deadline has passed"))
	}
}
