package core

import (
	"sort"

	"github.com/yuccaspindle/yuccaspindle/pkg/core/program"
)

// openedSingle in the State of RecordOpened marks a program that ends with its
// only call.
const openedSingle = 1

// append adds a record of a root program to the journal and applies it.
func (c *Core) append(r *root, rec Record) Seq {
	c.seq++
	rec.Seq, rec.Slot, rec.At = c.seq, r.slot, c.now
	if s := c.slots[r.slot]; s != nil {
		rec.Epoch = s.epoch
	}
	if rec.Kind == RecordProgram {
		r.Advance(uint64(rec.Epoch), uint64(rec.Seq)) // states what is known already
	} else {
		c.apply(r, &rec)
	}
	c.pending = append(c.pending, rec)
	return rec.Seq
}

// apply changes the state of a root program as the record states. It is the
// only way in which durable state changes, both for new records and for those
// of an earlier owner.
func (c *Core) apply(r *root, rec *Record) {
	if !r.Advance(uint64(rec.Epoch), uint64(rec.Seq)) {
		return
	}
	attempt := string(rec.Attempt)
	key := recordKey(rec)
	switch rec.Kind {
	case RecordOpened:
		m := &program.Member{
			ID: string(rec.Program), Parent: string(rec.Parent), Profile: rec.Profile,
			Opened: rec.At, LastActive: rec.At, OpenKey: rec.Key, Seq: uint64(rec.Seq),
			SingleCall: len(rec.State) > 0 && rec.State[0] == openedSingle,
		}
		if rec.Parent == "" {
			r.Caller = rec.Caller
		}
		r.AddMember(m)
	case RecordEnded:
		for _, m := range r.LiveSubtree(string(rec.Program)) {
			m.EndedAt, m.Seq = rec.At, uint64(rec.Seq)
		}
	case RecordReserved:
		r.Ledger.Reserve(attempt, reservedAmount(rec), false)
	case RecordSettled:
		if rec.Ran == RanNo {
			r.Ledger.Release(attempt)
		} else {
			r.Ledger.Forfeit(attempt)
		}
	case RecordClaim:
		r.OpenClaim(key, program.KeyRecord{
			Member: string(rec.Program), Digest: rec.Digest, Attempt: attempt,
			Upstream: string(rec.Upstream), Service: rec.Service, Operation: rec.Operation,
			Request: rec.Request, Seq: uint64(rec.Seq), Sidecar: string(rec.State), Retained: rec.Retained,
		}, reservedAmount(rec))
	case RecordRefused:
		r.ReleaseClaim(key, attempt)
	case RecordTurn, RecordOutcome:
		if rec.Answer == nil {
			r.MarkClaimUnknown(key, attempt, uint64(rec.Seq))
			break
		}
		if m := r.Members[string(rec.Program)]; m != nil {
			r.CompleteCall(m, key, turnOf(rec), usedAmount(rec.Answer, rec.SpendMicro))
			r.Touch(m, rec.At)
		}
	}
}

// attemptKey starts the key of a claim whose call has none. No caller can send
// a key with a NUL byte.
const attemptKey = "\x00"

// recordKey returns the idempotency key of a record. A claim without a key of
// the caller is kept under its attempt.
func recordKey(rec *Record) program.Key {
	if rec.Key == "" && rec.Kind != RecordTurn {
		return program.Key{Caller: rec.Caller, Key: attemptKey + string(rec.Attempt)}
	}
	return program.Key{Caller: rec.Caller, Key: rec.Key}
}

func reservedAmount(rec *Record) program.Amount {
	return program.Amount{Tokens: rec.Reserved, Calls: 1, Spend: rec.SpendMicro}
}

func usedAmount(a *Answer, spend int64) program.Amount {
	return program.Amount{Tokens: a.PromptTokens + a.OutputTokens, Calls: 1, Spend: spend}
}

func turnOf(rec *Record) program.Turn {
	return program.Turn{
		Seq: uint64(rec.Seq), Attempt: string(rec.Attempt), Caller: rec.Caller, Key: rec.Key, Digest: rec.Digest,
		Request: rec.Request, Answer: rec.Answer.Body, Status: rec.Answer.Status,
		PromptTokens: rec.Answer.PromptTokens, CachedTokens: rec.Answer.CachedTokens,
		OutputTokens: rec.Answer.OutputTokens, FinishReason: rec.Answer.FinishReason,
		Service: rec.Service, Operation: rec.Operation, At: rec.At,
	}
}

func answerOf(t *program.Turn) Answer {
	return Answer{
		Body: t.Answer, Status: t.Status, PromptTokens: t.PromptTokens, CachedTokens: t.CachedTokens,
		OutputTokens: t.OutputTokens, FinishReason: t.FinishReason,
	}
}

// durable returns the position up to which answers may be acknowledged.
func (c *Core) durable() Seq { return max(c.committed, c.retained) }

// whenCovered runs a step once the record is committed or retained.
func (c *Core) whenCovered(seq Seq, run func()) {
	c.acknowledge(wait{seq: seq, run: run})
}

// acknowledge is whenCovered for a step that completes a request of a caller.
// If the slot is lost first, the request is refused instead.
func (c *Core) acknowledge(w wait) {
	if w.seq <= c.durable() || c.opt.Faults.AckBeforeDurable {
		w.run()
		return
	}
	c.covered = insertWait(c.covered, w)
}

// whenCommitted runs a step once the record is committed.
func (c *Core) whenCommitted(seq Seq, run func()) {
	if seq <= c.committed || c.opt.Faults.DispatchBeforeClaim {
		run()
		return
	}
	c.claims = insertWait(c.claims, wait{seq: seq, run: run})
}

// insertWait keeps waits in order of their position; nearly all come at the end.
func insertWait(ws []wait, w wait) []wait {
	i := sort.Search(len(ws), func(i int) bool { return ws[i].seq > w.seq })
	ws = append(ws, wait{})
	copy(ws[i+1:], ws[i:])
	ws[i] = w
	return ws
}

func (c *Core) journalCommitted(seq Seq) {
	if c.sealed || seq <= c.committed {
		return
	}
	c.committed = min(seq, c.seq)
	c.runCovered()
	for len(c.claims) > 0 && c.claims[0].seq <= c.committed {
		w := c.claims[0]
		c.claims[0] = wait{} // the array keeps no finished call alive
		c.claims = c.claims[1:]
		w.run()
	}
}

func (c *Core) journalRetained(seq Seq) {
	if c.sealed || seq <= c.retained {
		return
	}
	c.retained = min(seq, c.seq)
	c.runCovered()
}

func (c *Core) runCovered() {
	for len(c.covered) > 0 && c.covered[0].seq <= c.durable() {
		w := c.covered[0]
		c.covered[0] = wait{}
		c.covered = c.covered[1:]
		w.run()
	}
}

// seal gives up everything: a successor owns the journal. Calls that never
// reached an upstream are refused as not run.
func (c *Core) seal(by Incarnation) {
	if c.sealed || c.opt.Faults.NoFenceCheck {
		return
	}
	c.sealed = true
	c.refuseWaits(func(wait) bool { return true })
	c.covered, c.claims, c.pending = nil, nil, nil
	for _, cl := range c.sortedCalls(func(*call) bool { return true }) {
		c.abandon(cl, string(by))
	}
	clear(c.roots)
	clear(c.slots)
	clear(c.late)
	clear(c.damaged)
	c.timers = nil
}

// abandon refuses a call that another owner now decides on, without touching
// the state of its program.
func (c *Core) abandon(cl *call, by string) {
	switch cl.state {
	case stateWaiting:
		c.opt.Policy.Remove(cl.ID)
	case stateRunning, stateClaiming:
		c.opt.Policy.OnFailed(c.now, Failure{Attempt: cl.attempt, Canceled: true, Ran: cl.outcome()})
		if cl.state == stateRunning && !cl.nonIdempotent {
			c.emit(CancelAttempt{Attempt: cl.attempt, Upstream: cl.upstream})
		}
	}
	if !cl.replied {
		ref := c.refusal(cl, CodeNotOwner, "journal", "another entry has taken over the program")
		ref.Peer = by
		c.emit(Refuse{Call: cl.ID, Refusal: ref})
	}
	delete(c.calls, cl.ID)
	delete(c.attempts, cl.attempt)
	cl.done()
}

// refuseWaits refuses the requests that wait for the journal only, such as
// opens, because the slot is lost.
func (c *Core) refuseWaits(lost func(wait) bool) {
	kept := c.covered[:0]
	for _, w := range c.covered {
		if !lost(w) {
			kept = append(kept, w)
			continue
		}
		if w.call != "" {
			c.emit(Refuse{Call: w.call, Refusal: Refusal{
				Code: CodeNotOwner, Step: "journal", Message: "another entry has taken over the program",
				Ran: RanUnknown, RetryAfter: minRetryAfter,
			}})
		}
	}
	c.covered = kept
}
