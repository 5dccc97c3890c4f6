package core

import (
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core/program"
)

// resolveTimeout bounds the search for the outcome of a claim. It covers the
// 3 s in which a silent connection is noticed, a new connection and the
// query of the service.
const resolveTimeout = 10 * time.Second

// askAgain is the time between two questions if the sidecar cannot be reached:
// one heartbeat.
const askAgain = 500 * time.Millisecond

// resolve asks for the outcome of a claimed attempt whose answer was lost. The
// program's next call waits for it.
func (c *Core) resolve(cl *call) {
	cl.state = stateResolving
	cl.resolveBy = c.now.Add(resolveTimeout)
	c.ask(cl)
}

// ask sends the question for the outcome of a claim.
func (c *Core) ask(cl *call) {
	c.emit(ResolveClaim{
		Attempt: cl.attempt, Program: cl.Program, Upstream: cl.upstream, SidecarIncarnation: cl.sidecar,
		Service: cl.Service, Key: cl.Key,
		Slot: cl.root.slot, Epoch: c.slots[cl.root.slot].epoch,
	})
	c.watchCall(cl, timerResolve, cl.resolveBy)
}

// resolved takes the outcome of a claim.
func (c *Core) resolved(e OutcomeResolved) {
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
	case e.Unreachable && c.now.Add(askAgain).Before(cl.resolveBy):
		c.watchCall(cl, timerAsk, c.now.Add(askAgain))
	case e.Ran == RanYes:
		c.finish(cl, e.Answer)
	case e.Ran == RanNo && cl.ran != RanYes:
		c.notRun(cl)
	default:
		c.loseClaim(cl)
	}
}

// notRun goes on with a claimed call whose attempt was never passed to the
// upstream, and never will be.
func (c *Core) notRun(cl *call) {
	cl.state = stateQueued
	req, f := c.request(cl), Failure{Attempt: cl.attempt, Ran: RanNo}
	c.closeAttempt(cl, RanNo)
	if cl.replied || !cl.member.Alive() {
		c.refuse(cl, c.refusal(cl, CodeProgramEnded, "program", "the program has ended"))
		return
	}
	delay, ok := c.opt.Policy.Retry(c.now, req, f)
	if !ok {
		c.refuse(cl, c.refusal(cl, CodeUpstreamFailed, "resolve", "the upstream did not run the call"))
		return
	}
	cl.tries++
	c.backoff(cl, delay)
}

// loseClaim records that the outcome of a claim cannot be known. The call is
// never repeated.
func (c *Core) loseClaim(cl *call) {
	c.append(cl.root, Record{
		Kind: RecordOutcome, Program: cl.Program, Caller: cl.Caller, Key: cl.Key, Digest: cl.Digest,
		Attempt: cl.attempt, Upstream: cl.upstream, Service: cl.Service, Operation: cl.Operation, Kinds: cl.Kind,
		Ran: RanUnknown, SpendMicro: cl.spend,
	})
	c.late[cl.attempt] = lateClaim{ProgramID(cl.root.ID), claimKey(&cl.Call, cl.attempt)}
	delete(c.attempts, cl.attempt)
	cl.ended(RanUnknown)
	cl.attempt, cl.claimed, cl.state = "", false, stateQueued
	ref := c.refusal(cl, CodeOutcomeUnknown, "resolve", "the outcome of the call cannot be known; it is not repeated")
	c.budgetFreed(cl.root)
	c.refuse(cl, ref)
}

// claimKey is the key under which the claim of a call is kept.
func claimKey(cl *Call, attempt AttemptID) program.Key {
	return recordKey(&Record{Kind: RecordClaim, Caller: cl.Caller, Key: cl.Key, Attempt: attempt})
}

// lateAnswer completes the record of a claim that was given up as unknown.
// Any other late answer is dropped.
func (c *Core) lateAnswer(id AttemptID, a Answer) {
	lc, ok := c.late[id]
	if !ok {
		return
	}
	r := c.roots[lc.root]
	if r == nil {
		delete(c.late, id)
		return
	}
	rec, ok := r.Record(lc.key)
	if !ok || rec.State != program.KeyOutcomeUnknown || rec.Attempt != string(id) {
		delete(c.late, id)
		return
	}
	m := r.Members[rec.Member]
	if m == nil {
		delete(c.late, id)
		return
	}
	delete(c.late, id)
	key := lc.key.Key
	if key == attemptKey+string(id) {
		key = ""
	}
	c.append(r, Record{
		Kind: RecordOutcome, Program: ProgramID(m.ID), Caller: lc.key.Caller, Key: key, Digest: rec.Digest,
		Attempt: id, Upstream: UpstreamID(rec.Upstream), Service: rec.Service, Operation: rec.Operation,
		Kinds: KindService, Request: rec.Request, Answer: &a, Ran: RanYes,
		SpendMicro: rec.Forfeited.Spend, Turn: len(m.History) + 1,
	})
}
