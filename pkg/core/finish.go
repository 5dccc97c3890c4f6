package core

import (
	"slices"
	"time"
)

// minRetryAfter is the Retry-After of refusals for which neither the policy
// nor the profile states one.
const minRetryAfter = time.Second

// refusal describes the end of a call without an answer.
func (c *Core) refusal(cl *call, code, step, message string) Refusal {
	r := Refusal{Code: code, Step: step, Message: message, Ran: cl.outcome()}
	prof := c.profile(cl.Profile)
	if cl.member != nil {
		prof = c.profile(cl.member.Profile)
	}
	switch code {
	case CodeOverloaded, CodeNoUpstream, CodeUpstreamFailed, CodeNotOwner, CodeJournalDown, CodeShuttingDown, CodeDeadline:
		r.RetryAfter = max(prof.RefusalRetry, minRetryAfter)
	}
	return r
}

// reject refuses a call that was never taken in.
func (c *Core) reject(cl *call, code, step, message string) {
	c.emit(Refuse{Call: cl.ID, Refusal: c.refusal(cl, code, step, message)})
}

// refuse ends a call without an answer. The work of a claimed call that may
// have reached its upstream goes on until the outcome is known.
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
		c.opt.Policy.OnFailed(c.now, Failure{Attempt: cl.attempt, Canceled: ref.Code != CodeDeadline, Ran: RanUnknown})
		c.closeAttempt(cl, RanUnknown)
	case stateWaiting:
		c.opt.Policy.Remove(cl.ID)
		c.closeAttempt(cl, RanNo)
	case stateClaiming:
		c.opt.Policy.OnFailed(c.now, Failure{Attempt: cl.attempt, Canceled: true, Ran: RanNo})
		c.closeAttempt(cl, RanNo)
	default:
		c.closeAttempt(cl, RanNo)
	}
	c.leave(cl)
}

// leave removes a call that has ended and starts the next one of its program.
func (c *Core) leave(cl *call) {
	cl.done()
	r := cl.root
	if cl.ID != "" {
		delete(c.calls, cl.ID)
	}
	if cl.Key != "" && r.keyed[cl.key()] == cl {
		delete(r.keyed, cl.key())
	}
	if i := slices.Index(r.budget, cl); i >= 0 {
		r.budget = slices.Delete(r.budget, i, i+1)
	}
	q := c.queue(cl)
	q.Remove(cl)
	if q.Len() == 0 {
		delete(r.queues, ProgramID(cl.member.ID))
	}
	if c.roots[ProgramID(r.ID)] != r {
		return // given up in this step
	}
	r.Touch(cl.member, c.now)
	if cl.member.SingleCall && cl.member.Alive() && q.Len() == 0 {
		c.endMember(r, cl.member, CodeProgramEnded, "program", "the program has ended")
		return
	}
	c.advance(r, cl.member)
}

// done marks a call as ended. Its timers may keep it until its deadline, so it
// lets go of the request.
func (cl *call) done() {
	cl.state = stateDone
	cl.Request, cl.Attributes = nil, nil
}

// budgetFreed looks again at the calls that wait for budget.
func (c *Core) budgetFreed(r *root) {
	waiting := r.budget
	r.budget = nil
	for _, cl := range waiting {
		if cl.state == stateBudget {
			c.prepare(cl)
		}
	}
}

// sortedCalls returns the calls that satisfy keep in order of arrival,
// including those that stand for a claim without a caller.
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
		if a.number < b.number {
			return -1
		}
		return 1
	})
	return out
}

// canceled handles a caller whose connection is gone.
func (c *Core) canceled(id CallID) {
	cl := c.calls[id]
	if cl == nil || cl.Key != "" || cl.nonIdempotent || cl.state == stateFinishing {
		return
	}
	c.refuse(cl, c.refusal(cl, CodeCanceled, "caller", "the caller's connection is gone"))
}
