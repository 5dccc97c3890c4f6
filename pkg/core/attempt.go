package core

import (
	"slices"
	"time"
)

// maxReroutes limits how often a call is moved from one draining upstream to
// another. Without a limit, a policy that keeps choosing draining upstreams
// would loop.
const maxReroutes = 16

// rerouteDelay is the pause before the second and each later reroute of a call.
const rerouteDelay = 10 * time.Millisecond

// assign carries out an assignment of the policy. A non-idempotent call is
// dispatched only once its claim is committed to the store.
func (c *Core) assign(a Assignment) {
	cl := c.calls[a.Request.Call.ID]
	if cl == nil || cl.state != stateSubmitted || cl.attempt != a.Request.Attempt {
		c.opt.Policy.OnFailed(c.now, Failure{Attempt: a.Request.Attempt, Canceled: true, Ran: RanNo})
		return
	}
	cl.upstream, cl.priority = a.Upstream, a.Priority
	if !c.acceptsWork(a.Upstream) {
		c.withdraw(cl)
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
		KindOfCall: cl.Kind, Request: cl.Request, Reserved: c.reservation(cl).Tokens, SpendMicro: cl.spend,
		State: []byte(cl.sidecar),
	})
	cl.claimed = true
	cl.state = stateClaiming
	if w := c.profile(cl.member.Profile).ClaimWait; w > 0 && cl.hasTimeFor(c.now, w) {
		c.armCallTimer(cl, timerClaimWait, c.now.Add(w))
	}
	c.whenCommitted(seq, func() {
		cl.root.Ledger.MarkDurable(string(attempt))
		if cl.attempt != attempt || cl.state != stateClaiming {
			return
		}
		if !c.acceptsWork(cl.upstream) || c.upstreams[cl.upstream].info.SidecarIncarnation != cl.sidecar {
			c.withdraw(cl)
			return
		}
		c.dispatch(cl)
	})
}

// dispatch sends the current attempt to its upstream.
func (c *Core) dispatch(cl *call) {
	cl.state = stateRunning
	cl.dispatchStep = c.stepCount
	c.emit(Dispatch{
		Attempt: cl.attempt, Call: cl.ID, Program: cl.Program, Upstream: cl.upstream, SidecarIncarnation: cl.sidecar,
		Slot: cl.root.slot, Epoch: c.slots[cl.root.slot].epoch, Priority: cl.priority,
		MaxTokens: cl.granted, Deadline: cl.Deadline,
	})
}

// withdraw cancels an attempt that was not dispatched, because its upstream
// accepts no new work, and reroutes the call.
func (c *Core) withdraw(cl *call) {
	c.opt.Policy.OnFailed(c.now, Failure{Attempt: cl.attempt, Draining: true, Ran: RanNo})
	cl.state = stateQueued
	c.reroute(cl)
}

// reroute starts another attempt of a call whose last attempt did not run. It
// does not count as a retry.
func (c *Core) reroute(cl *call) {
	c.settleAttempt(cl, RanNo)
	if !slices.Contains(cl.avoid, cl.upstream) {
		cl.avoid = append(cl.avoid, cl.upstream)
	}
	cl.reroutes++
	switch {
	case cl.reroutes > maxReroutes:
		c.refuse(cl, c.newRefusal(cl, CodeNoUpstream, "route", "every chosen upstream is leaving"))
	case cl.reroutes > 1:
		c.backoff(cl, rerouteDelay)
	default:
		c.startAttempt(cl)
	}
}

// backoff starts the next attempt of a call after a delay.
func (c *Core) backoff(cl *call, delay time.Duration) {
	if !cl.hasTimeFor(c.now, delay) {
		c.refuse(cl, c.newRefusal(cl, CodeDeadlineExceeded, "retry", "the deadline comes before the next attempt"))
		return
	}
	if delay <= 0 {
		c.startAttempt(cl)
		return
	}
	cl.state = stateBackoff
	c.armCallTimer(cl, timerRetry, c.now.Add(delay))
}

// settleAttempt settles the budget of an attempt that ended without an answer.
// If the attempt was claimed and did not run, a record closes the claim, so
// that the next attempt can claim anew.
func (c *Core) settleAttempt(cl *call, ran Ran) {
	if cl.attempt == "" {
		return
	}
	delete(c.attempts, cl.attempt)
	cl.mergeRan(ran)
	switch {
	case cl.reserved:
		c.append(cl.root, Record{Kind: RecordSettled, Program: cl.Program, Attempt: cl.attempt, Ran: ran})
	case cl.claimed && ran == RanNo:
		c.append(cl.root, Record{
			Kind: RecordRefused, Program: cl.Program, Caller: cl.Caller, Key: cl.Key, Digest: cl.Digest,
			Attempt: cl.attempt, Ran: RanNo,
		})
	case cl.claimed: // the record of the outcome settles it
	case ran == RanNo:
		cl.root.Ledger.Release(string(cl.attempt))
	default:
		cl.root.Ledger.Forfeit(string(cl.attempt))
	}
	cl.claimed, cl.reserved, cl.attempt = false, false, ""
	c.retryBudgetWaiters(cl.root)
}

// attemptDone handles the complete answer of an attempt.
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
	c.clearSuspicion(cl.Fingerprint)
	c.recordAnswer(cl, a)
}

// recordAnswer appends the answer of a call to the journal and replies to the
// caller once it is durable.
func (c *Core) recordAnswer(cl *call, a Answer) {
	kind := RecordTurn
	if cl.nonIdempotent {
		kind = RecordOutcome
	}
	attempt := cl.attempt
	delete(c.attempts, attempt)
	cl.state = stateFinishing
	seq := c.append(cl.root, Record{
		Kind: kind, Program: cl.Program, Caller: cl.Caller, Key: cl.Key, Digest: cl.Digest, Attempt: attempt,
		Upstream: cl.upstream, Service: cl.Service, Operation: cl.Operation, KindOfCall: cl.Kind,
		Request: cl.Request, Answer: &a, Ran: RanYes, SpendMicro: cl.spend, Turn: len(cl.member.History) + 1,
	})
	c.retryBudgetWaiters(cl.root)
	c.whenDurable(seq, func() {
		if cl.state != stateFinishing {
			return
		}
		if !cl.replied {
			c.emit(Reply{Call: cl.ID, Answer: a, Pending: seq > c.committed, Attempt: attempt})
		}
		c.removeCall(cl)
	})
}

// attemptFailed handles the end of an attempt without a complete answer.
func (c *Core) attemptFailed(e AttemptFailed) {
	cl := c.attempts[e.Attempt]
	if cl == nil || cl.state != stateRunning {
		return
	}
	f := Failure{Attempt: e.Attempt, Crashed: e.Crashed, Draining: e.Draining, Ran: e.Ran}
	c.opt.Policy.OnFailed(c.now, f)
	if e.Fenced && !c.opt.Faults.NoFenceCheck {
		cl.mergeRan(e.Ran)
		cl.state = stateQueued
		c.dropSlot(cl.root.slot)
		return
	}
	if cl.nonIdempotent && e.Ran != RanNo {
		if e.Ran == RanYes {
			cl.mergeRan(RanYes)
		}
		c.resolveOutcome(cl)
		return
	}
	cl.state = stateQueued
	if e.Draining && e.Ran == RanNo && !cl.replied {
		c.reroute(cl)
		return
	}
	// Built before settleAttempt resets the attempt that it describes.
	req := c.policyRequest(cl)
	awaitsCrashReport := e.Crashed && c.awaitsCrashReport(cl)
	c.settleAttempt(cl, e.Ran)
	if !slices.Contains(cl.avoid, cl.upstream) {
		cl.avoid = append(cl.avoid, cl.upstream)
	}
	if cl.replied {
		c.refuse(cl, Refusal{})
		return
	}
	delay, ok := c.opt.Policy.Retry(c.now, req, f)
	if !ok {
		ref := c.newRefusal(cl, CodeUpstreamFailed, e.Step, e.Message)
		ref.Peer = e.Peer
		c.refuse(cl, ref)
		return
	}
	if e.Ran != RanNo {
		// An attempt that reached no upstream does not count as a retry: a
		// call must survive the restart of every upstream that can serve it.
		cl.tries++
	}
	if awaitsCrashReport {
		c.holdRetry(cl)
		return
	}
	c.backoff(cl, delay)
}
