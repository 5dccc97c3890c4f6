package core

import (
	"slices"
	"time"
)

// maxBounces limits how often a call is passed on from one draining upstream
// to the next; a policy that keeps choosing them would otherwise loop.
const maxBounces = 16

// bounceDelay separates such attempts after the first.
const bounceDelay = 10 * time.Millisecond

// assign carries out a policy's assignment.
func (c *Core) assign(a Assignment) {
	cl := c.calls[a.Request.Call.ID]
	if cl == nil || cl.state != stateWaiting || cl.attempt != a.Request.Attempt {
		c.opt.Policy.OnFailed(c.now, Failure{Attempt: a.Request.Attempt, Canceled: true, Ran: RanNo})
		return
	}
	cl.upstream, cl.priority = a.Upstream, a.Priority
	if !c.accepts(a.Upstream) {
		c.bounce(cl)
		return
	}
	cl.sidecar = c.upstreams[a.Upstream].info.SidecarIncarnation
	if !cl.nonIdempotent {
		c.dispatch(cl)
		return
	}
	attempt := cl.attempt
	seq := c.append(cl.root, Record{
		Kind: RecordClaim, Program: cl.Program, Caller: cl.Caller, Key: cl.Key, Digest: cl.Digest,
		Attempt: attempt, Upstream: cl.upstream, Service: cl.Service, Operation: cl.Operation,
		Kinds: cl.Kind, Request: cl.Request, Reserved: c.want(cl).Tokens, SpendMicro: cl.spend,
		State: []byte(cl.sidecar),
	})
	cl.claimed = true
	cl.state = stateClaiming
	if w := c.profile(cl.member.Profile).ClaimWait; w > 0 && cl.remaining(c.now, w) {
		c.watchCall(cl, timerClaim, c.now.Add(w))
	}
	c.whenCommitted(seq, func() {
		cl.root.Ledger.MarkDurable(string(attempt))
		if cl.attempt != attempt || cl.state != stateClaiming {
			return
		}
		if !c.accepts(cl.upstream) || c.upstreams[cl.upstream].info.SidecarIncarnation != cl.sidecar {
			c.bounce(cl)
			return
		}
		c.dispatch(cl)
	})
}

// dispatch sends the current attempt to its upstream.
func (c *Core) dispatch(cl *call) {
	cl.state = stateRunning
	cl.sent = c.steps
	c.emit(Dispatch{
		Attempt: cl.attempt, Call: cl.ID, Program: cl.Program, Upstream: cl.upstream, SidecarIncarnation: cl.sidecar,
		Slot: cl.root.slot, Epoch: c.slots[cl.root.slot].epoch, Priority: cl.priority,
		MaxTokens: cl.granted, Deadline: cl.Deadline,
	})
}

// bounce withdraws an attempt that no upstream has seen, because its upstream
// takes no new work, and makes another one.
func (c *Core) bounce(cl *call) {
	c.opt.Policy.OnFailed(c.now, Failure{Attempt: cl.attempt, Draining: true, Ran: RanNo})
	cl.state = stateQueued
	c.again(cl)
}

// again starts another attempt after one that did not run, without counting
// it as a retry.
func (c *Core) again(cl *call) {
	c.closeAttempt(cl, RanNo)
	if !slices.Contains(cl.avoid, cl.upstream) {
		cl.avoid = append(cl.avoid, cl.upstream)
	}
	cl.bounces++
	switch {
	case cl.bounces > maxBounces:
		c.refuse(cl, c.refusal(cl, CodeNoUpstream, "route", "every chosen upstream is leaving"))
	case cl.bounces > 1:
		c.backoff(cl, bounceDelay)
	default:
		c.prepare(cl)
	}
}

// backoff makes the next attempt after a delay.
func (c *Core) backoff(cl *call, delay time.Duration) {
	if !cl.remaining(c.now, delay) {
		c.refuse(cl, c.refusal(cl, CodeDeadline, "retry", "the deadline comes before the next attempt"))
		return
	}
	if delay <= 0 {
		c.prepare(cl)
		return
	}
	cl.state = stateBackoff
	c.watchCall(cl, timerRetry, c.now.Add(delay))
}

// closeAttempt settles the budget of an attempt that ended without an answer.
// The claim of a call that goes on is replaced by that of its next attempt.
func (c *Core) closeAttempt(cl *call, ran Ran) {
	if cl.attempt == "" {
		return
	}
	delete(c.attempts, cl.attempt)
	cl.ended(ran)
	switch {
	case cl.reserved:
		c.append(cl.root, Record{Kind: RecordSettled, Program: cl.Program, Attempt: cl.attempt, Ran: ran})
	case cl.claimed && ran == RanNo:
		c.append(cl.root, Record{
			Kind: RecordRefused, Program: cl.Program, Caller: cl.Caller, Key: cl.Key, Digest: cl.Digest,
			Attempt: cl.attempt, Ran: RanNo,
		})
	case cl.claimed: // settled by its outcome
	case ran == RanNo:
		cl.root.Ledger.Release(string(cl.attempt))
	default:
		cl.root.Ledger.Forfeit(string(cl.attempt))
	}
	cl.claimed, cl.reserved, cl.attempt = false, false, ""
	c.budgetFreed(cl.root)
}

// attemptDone takes the whole answer of an attempt.
func (c *Core) attemptDone(id AttemptID, a Answer) {
	cl := c.attempts[id]
	if cl == nil {
		c.lateAnswer(id, a)
		return
	}
	if cl.state != stateRunning && cl.state != stateResolving {
		return
	}
	if cl.state == stateRunning {
		c.opt.Policy.OnDone(c.now, id, a)
	}
	c.cleared(cl.Fingerprint)
	c.finish(cl, a)
}

// finish records the answer of a call and gives it to the caller once it is
// durable.
func (c *Core) finish(cl *call, a Answer) {
	kind := RecordTurn
	if cl.nonIdempotent {
		kind = RecordOutcome
	}
	attempt := cl.attempt
	delete(c.attempts, attempt)
	cl.state = stateFinishing
	seq := c.append(cl.root, Record{
		Kind: kind, Program: cl.Program, Caller: cl.Caller, Key: cl.Key, Digest: cl.Digest, Attempt: attempt,
		Upstream: cl.upstream, Service: cl.Service, Operation: cl.Operation, Kinds: cl.Kind,
		Request: cl.Request, Answer: &a, Ran: RanYes, SpendMicro: cl.spend, Turn: len(cl.member.History) + 1,
	})
	c.budgetFreed(cl.root)
	c.whenCovered(seq, func() {
		if cl.state != stateFinishing {
			return
		}
		if !cl.replied {
			c.emit(Reply{Call: cl.ID, Answer: a, Pending: seq > c.committed, Attempt: attempt})
		}
		c.leave(cl)
	})
}

// attemptFailed takes the end of an attempt without a whole answer.
func (c *Core) attemptFailed(e AttemptFailed) {
	cl := c.attempts[e.Attempt]
	if cl == nil || cl.state != stateRunning {
		return
	}
	f := Failure{Attempt: e.Attempt, Crashed: e.Crashed, Draining: e.Draining, Ran: e.Ran}
	c.opt.Policy.OnFailed(c.now, f)
	if e.Fenced && !c.opt.Faults.NoFenceCheck {
		cl.ended(e.Ran)
		cl.state = stateQueued
		c.lose(cl.root.slot)
		return
	}
	if cl.nonIdempotent && e.Ran != RanNo {
		if e.Ran == RanYes {
			cl.ended(RanYes)
		}
		c.resolve(cl)
		return
	}
	cl.state = stateQueued
	if e.Draining && e.Ran == RanNo && !cl.replied {
		c.again(cl)
		return
	}
	// The policy sees the request as it was attempted.
	req := c.request(cl)
	broken := e.Crashed && c.broken(cl)
	c.closeAttempt(cl, e.Ran)
	if !slices.Contains(cl.avoid, cl.upstream) {
		cl.avoid = append(cl.avoid, cl.upstream)
	}
	if cl.replied {
		c.refuse(cl, Refusal{})
		return
	}
	delay, ok := c.opt.Policy.Retry(c.now, req, f)
	if !ok {
		ref := c.refusal(cl, CodeUpstreamFailed, e.Step, e.Message)
		ref.Peer = e.Peer
		c.refuse(cl, ref)
		return
	}
	if e.Ran != RanNo {
		// An attempt that no upstream received does not count: a call must
		// outlive the restart of every upstream that could serve it.
		cl.tries++
	}
	if broken {
		c.hold(cl)
		return
	}
	c.backoff(cl, delay)
}
