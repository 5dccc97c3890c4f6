package core

import (
	"slices"
	"time"
)

// minRetryAfter is the Retry-After of a refusal if neither the policy nor the
// profile sets a longer one.
const minRetryAfter = time.Second

// newRefusal returns the error for a call that ends without an answer.
func (c *Core) newRefusal(cl *call, code, step, message string) Refusal {
	r := Refusal{Code: code, Step: step, Message: message, Ran: cl.outcome()}
	prof := c.profile(cl.Profile)
	if cl.member != nil {
		prof = c.profile(cl.member.Profile)
	}
	switch code {
	case CodeOverloaded, CodeNoUpstream, CodeUpstreamFailed, CodeNotOwner, CodeJournalUnavailable, CodeShuttingDown, CodeDeadlineExceeded:
		r.RetryAfter = max(prof.RefusalRetry, minRetryAfter)
	}
	return r
}

// reject refuses a request that was not enqueued.
func (c *Core) reject(cl *call, code, step, message string) {
	c.emit(Refuse{Call: cl.ID, Refusal: c.newRefusal(cl, code, step, message)})
}

// refuse ends a call without an answer. A non-idempotent call that may have run
// continues without a caller until its outcome is known.
func (c *Core) refuse(cl *call, ref Refusal) {
	if cl.state == stateDone {
		return
	}
	if !cl.replied && cl.ID != "" {
		c.emit(Refuse{Call: cl.ID, Refusal: ref})
	}
	cl.replied = true
	switch cl.state {
	case stateFinishing:
		return
	case stateRunning, stateResolving:
		if cl.nonIdempotent {
			return
		}
		c.emit(CancelAttempt{Attempt: cl.attempt, Upstream: cl.upstream})
		c.opt.Policy.OnFailed(c.now, Failure{Attempt: cl.attempt, Canceled: ref.Code != CodeDeadlineExceeded, Ran: RanUnknown})
		c.settleAttempt(cl, RanUnknown)
	case stateSubmitted:
		c.opt.Policy.Remove(cl.ID)
		c.settleAttempt(cl, RanNo)
	case stateClaiming:
		c.opt.Policy.OnFailed(c.now, Failure{Attempt: cl.attempt, Canceled: true, Ran: RanNo})
		c.settleAttempt(cl, RanNo)
	default:
		c.settleAttempt(cl, RanNo)
	}
	c.removeCall(cl)
}

// removeCall removes a call that has ended and starts the next one of its
// program.
func (c *Core) removeCall(cl *call) {
	cl.markDone()
	r := cl.root
	if cl.ID != "" {
		delete(c.calls, cl.ID)
	}
	if cl.Key != "" && r.callsByKey[cl.key()] == cl {
		delete(r.callsByKey, cl.key())
	}
	if i := slices.Index(r.budgetWaiters, cl); i >= 0 {
		r.budgetWaiters = slices.Delete(r.budgetWaiters, i, i+1)
	}
	q := c.queueOf(cl)
	q.Remove(cl)
	if q.Len() == 0 {
		delete(r.queues, ProgramID(cl.member.ID))
	}
	if c.roots[ProgramID(r.ID)] != r {
		return // the slot was lost in this step
	}
	r.Touch(cl.member, c.now)
	if cl.member.SingleCall && cl.member.Alive() && q.Len() == 0 {
		c.endMember(r, cl.member, CodeProgramEnded, "program", "the program has ended")
		return
	}
	c.startNext(r, cl.member)
}

// markDone marks a call as ended. Armed timers may keep the call in memory
// until its deadline, so the request is released here.
func (cl *call) markDone() {
	cl.state = stateDone
	cl.Request, cl.Attributes = nil, nil
}

// retryBudgetWaiters starts the calls that wait for budget, as far as the
// budget now allows.
func (c *Core) retryBudgetWaiters(r *root) {
	waiting := r.budgetWaiters
	r.budgetWaiters = nil
	for _, cl := range waiting {
		if cl.state == stateAwaitingBudget {
			c.startAttempt(cl)
		}
	}
}

// sortedCalls returns the unfinished calls that satisfy keep in order of
// arrival, including claims without a caller.
func (c *Core) sortedCalls(keep func(*call) bool) []*call {
	var out []*call
	for _, r := range c.roots {
		for _, q := range r.queues {
			for _, cl := range q.Items() {
				if keep(cl) {
					out = append(out, cl)
				}
			}
		}
	}
	slices.SortFunc(out, func(a, b *call) int {
		if a.arrivalOrder < b.arrivalOrder {
			return -1
		}
		return 1
	})
	return out
}

// callCanceled handles the loss of the caller's connection.
func (c *Core) callCanceled(id CallID) {
	cl := c.calls[id]
	if cl == nil || cl.Key != "" || cl.nonIdempotent || cl.state == stateFinishing {
		return
	}
	c.refuse(cl, c.newRefusal(cl, CodeCanceled, "caller", "the caller's connection is gone"))
}
