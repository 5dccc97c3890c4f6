package core

import (
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core/program"
)

// resolveTimeout limits the search for the outcome of a claim. It covers the
// 3 s in which a silent connection is detected, a reconnect and the query of
// the service.
const resolveTimeout = 10 * time.Second

// outcomeRetryInterval is the time between two queries for an outcome while the
// sidecar is unreachable. It equals one heartbeat.
const outcomeRetryInterval = 500 * time.Millisecond

// resolveOutcome starts the search for the outcome of a claimed attempt whose
// answer was lost. The next call of the program waits for its end.
func (c *Core) resolveOutcome(cl *call) {
	cl.state = stateResolving
	cl.resolveDeadline = c.now.Add(resolveTimeout)
	c.queryOutcome(cl)
}

// queryOutcome sends one query for the outcome of a claim.
func (c *Core) queryOutcome(cl *call) {
	c.emit(ResolveClaim{
		Attempt: cl.attempt, Program: cl.Program, Upstream: cl.upstream, SidecarIncarnation: cl.sidecar,
		Service: cl.Service, Key: cl.Key,
		Slot: cl.root.slot, Epoch: c.slots[cl.root.slot].epoch,
	})
	c.armCallTimer(cl, timerResolveTimeout, cl.resolveDeadline)
}

// outcomeResolved handles the result of a query for the outcome of a claim.
func (c *Core) outcomeResolved(e OutcomeResolved) {
	cl := c.attempts[e.Attempt]
	if cl == nil {
		if e.Ran == RanYes {
			c.lateAnswer(e.Attempt, e.Answer)
		}
		return
	}
	if cl.state != stateResolving {
		return
	}
	switch {
	case e.Unreachable && c.now.Add(outcomeRetryInterval).Before(cl.resolveDeadline):
		c.armCallTimer(cl, timerQueryOutcome, c.now.Add(outcomeRetryInterval))
	case e.Ran == RanYes:
		c.recordAnswer(cl, e.Answer)
	case e.Ran == RanNo && cl.ran != RanYes:
		c.retryUnexecuted(cl)
	default:
		c.recordUnknownOutcome(cl)
	}
}

// retryUnexecuted retries a claimed call whose attempt was not sent to the
// upstream and can no longer be.
func (c *Core) retryUnexecuted(cl *call) {
	cl.state = stateQueued
	req, f := c.policyRequest(cl), Failure{Attempt: cl.attempt, Ran: RanNo}
	c.settleAttempt(cl, RanNo)
	if cl.replied || !cl.member.Alive() {
		c.refuse(cl, c.newRefusal(cl, CodeProgramEnded, "program", "the program has ended"))
		return
	}
	delay, ok := c.opt.Policy.Retry(c.now, req, f)
	if !ok {
		c.refuse(cl, c.newRefusal(cl, CodeUpstreamFailed, "resolve", "the upstream did not run the call"))
		return
	}
	cl.tries++
	c.backoff(cl, delay)
}

// recordUnknownOutcome records that the outcome of a claim cannot be known and
// refuses the call, which is never repeated.
func (c *Core) recordUnknownOutcome(cl *call) {
	c.append(cl.root, Record{
		Kind: RecordOutcome, Program: cl.Program, Caller: cl.Caller, Key: cl.Key, Digest: cl.Digest,
		Attempt: cl.attempt, Upstream: cl.upstream, Service: cl.Service, Operation: cl.Operation, KindOfCall: cl.Kind,
		Ran: RanUnknown, SpendMicro: cl.spend,
	})
	c.unknownClaims[cl.attempt] = claimRef{ProgramID(cl.root.ID), claimKey(&cl.Call, cl.attempt)}
	delete(c.attempts, cl.attempt)
	cl.mergeRan(RanUnknown)
	cl.attempt, cl.claimed, cl.state = "", false, stateQueued
	ref := c.newRefusal(cl, CodeOutcomeUnknown, "resolve", "the outcome of the call cannot be known; it is not repeated")
	c.retryBudgetWaiters(cl.root)
	c.refuse(cl, ref)
}

// claimKey returns the key under which the claim of a call is stored.
func claimKey(cl *Call, attempt AttemptID) program.Key {
	return recordKey(&Record{Kind: RecordClaim, Caller: cl.Caller, Key: cl.Key, Attempt: attempt})
}

// lateAnswer records the answer to a claim whose outcome was recorded as
// unknown. Any other late answer is dropped.
func (c *Core) lateAnswer(id AttemptID, a Answer) {
	ref, ok := c.unknownClaims[id]
	if !ok {
		return
	}
	r := c.roots[ref.root]
	if r == nil {
		delete(c.unknownClaims, id)
		return
	}
	rec, ok := r.Record(ref.key)
	if !ok || rec.State != program.KeyOutcomeUnknown || rec.Attempt != string(id) {
		delete(c.unknownClaims, id)
		return
	}
	m := r.Members[rec.Member]
	if m == nil {
		delete(c.unknownClaims, id)
		return
	}
	delete(c.unknownClaims, id)
	key := ref.key.Key
	if key == attemptKeyPrefix+string(id) {
		key = ""
	}
	c.append(r, Record{
		Kind: RecordOutcome, Program: ProgramID(m.ID), Caller: ref.key.Caller, Key: key, Digest: rec.Digest,
		Attempt: id, Upstream: UpstreamID(rec.Upstream), Service: rec.Service, Operation: rec.Operation,
		KindOfCall: KindService, Request: rec.Request, Answer: &a, Ran: RanYes,
		SpendMicro: rec.Forfeited.Spend, Turn: len(m.History) + 1,
	})
}
