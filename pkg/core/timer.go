package core

import (
	"container/heap"
	"time"
)

// overdueWait is how long a claimed attempt may stay silent after its deadline,
// which its sidecar enforces, before its outcome is asked for.
const overdueWait = 5 * time.Second

// timerKind tells what a timer is for.
type timerKind uint8

const (
	timerDeadline timerKind = iota // of a call
	timerRetry                     // end of a backoff
	timerClaim                     // end of the profile's claim wait
	timerHeld                      // no crash report came
	timerResolve                   // no outcome of a claim came
	timerAsk                       // the outcome of a claim is asked for again
	timerOverdue                   // a claimed attempt gave no sign after its deadline
	timerRoot                      // wall time, idle timeout and retention
	timerPins                      // renewal of retained cache
)

type timer struct {
	at   time.Time
	n    uint64 // order of creation, so that equal times fire in a fixed order
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
	return h[i].n < h[j].n
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

func (c *Core) push(t timer) uint64 {
	c.nextTimer++
	t.n = c.nextTimer
	heap.Push(&c.timers, t)
	return t.n
}

// watchDeadline arms the deadline of a call.
func (c *Core) watchDeadline(cl *call) {
	if !cl.Deadline.IsZero() {
		c.push(timer{at: cl.Deadline, kind: timerDeadline, call: cl})
	}
}

// watchCall arms the timer that moves a call on. It replaces an earlier one.
func (c *Core) watchCall(cl *call, kind timerKind, at time.Time) {
	cl.timer = c.push(timer{at: at, kind: kind, call: cl})
}

// watchRoot arms the next check of a root program, unless an earlier one is
// armed: activity only moves checks to later times, which the earlier check
// finds out by itself.
func (c *Core) watchRoot(r *root) {
	if next := c.nextCheck(r); !next.IsZero() && (r.check.IsZero() || next.Before(r.check)) {
		r.check = next
		c.push(timer{at: next, kind: timerRoot, root: r})
	}
}

// NextWake returns the earliest time at which a Tick has work, zero if there
// is none.
func (c *Core) NextWake() time.Time {
	next := c.quarant.NextExpiry()
	if len(c.timers) > 0 && (next.IsZero() || c.timers[0].at.Before(next)) {
		next = c.timers[0].at
	}
	return next
}

// fire runs the timers that are due.
func (c *Core) fire() {
	for len(c.timers) > 0 && !c.timers[0].at.After(c.now) {
		t := heap.Pop(&c.timers).(timer)
		switch t.kind {
		case timerDeadline:
			c.deadline(t.call)
		case timerRoot:
			if c.roots[ProgramID(t.root.ID)] == t.root && t.root.check.Equal(t.at) {
				t.root.check = time.Time{}
				c.checkRoot(t.root)
			}
		case timerPins:
			if c.roots[ProgramID(t.root.ID)] == t.root {
				c.renewPins(t.root)
			}
		default:
			if t.call.timer == t.n {
				c.callTimer(t.call, t.kind)
			}
		}
	}
}

// callTimer moves a call on, if it is still in the state for which the timer
// was armed.
func (c *Core) callTimer(cl *call, kind timerKind) {
	switch {
	case kind == timerRetry && cl.state == stateBackoff:
		c.prepare(cl)
	case kind == timerClaim && cl.state == stateClaiming:
		c.refuse(cl, c.refusal(cl, CodeJournalUnavailable, "claim", "the claim of the call did not become durable in time"))
	case kind == timerHeld && cl.state == stateHeld:
		c.quarantineHeld(cl)
	case kind == timerOverdue && cl.state == stateRunning:
		c.opt.Policy.OnFailed(c.now, Failure{Attempt: cl.attempt, Ran: RanUnknown})
		c.resolve(cl)
	case kind == timerAsk && cl.state == stateResolving:
		c.ask(cl)
	case kind == timerResolve && cl.state == stateResolving:
		c.loseClaim(cl)
	}
}

// deadline ends a call whose deadline has passed.
func (c *Core) deadline(cl *call) {
	if cl.state == stateDone || cl.replied || cl.Deadline.IsZero() || c.now.Before(cl.Deadline) {
		return
	}
	switch cl.state {
	case stateClaiming:
		c.refuse(cl, c.refusal(cl, CodeJournalUnavailable, "claim", "the claim of the call did not become durable before the deadline"))
	case stateFinishing:
		c.refuse(cl, c.refusal(cl, CodeJournalUnavailable, "journal", "the answer did not become durable before the deadline"))
	default:
		if cl.state == stateRunning && cl.nonIdempotent {
			c.watchCall(cl, timerOverdue, c.now.Add(overdueWait))
		}
		c.refuse(cl, c.refusal(cl, CodeDeadlineExceeded, "deadline", "the deadline has passed"))
	}
}
