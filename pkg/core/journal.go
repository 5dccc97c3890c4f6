package core

import (
	"sort"

	"github.com/yuccaspindle/yuccaspindle/pkg/core/program"
)

// singleCallMarker in the State of a RecordOpened marks a program that was
// opened for a single call and ends with it.
const singleCallMarker = 1

// append adds a record to the journal and applies it to its root program.
func (c *Core) append(r *root, rec Record) Seq {
	c.seq++
	rec.Seq, rec.Slot, rec.At = c.seq, r.slot, c.now
	if s := c.slots[r.slot]; s != nil {
		rec.Epoch = s.epoch
	}
	if rec.Kind == RecordProgram {
		r.Advance(uint64(rec.Epoch), uint64(rec.Seq)) // the record repeats state that is already applied
	} else {
		c.applyRecord(r, &rec)
	}
	c.pendingRecords = append(c.pendingRecords, rec)
	return rec.Seq
}

// applyRecord updates the state of a root program from a record. Apart from
// applyStateRecord, durable state changes in no other way, both for new records
// and for those of an earlier owner.
func (c *Core) applyRecord(r *root, rec *Record) {
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
			SingleCall: len(rec.State) > 0 && rec.State[0] == singleCallMarker,
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

// attemptKeyPrefix begins the key of a claim whose call has no key. Callers
// cannot send a key with a NUL byte.
const attemptKeyPrefix = "\x00"

// recordKey returns the idempotency key of a record. Without a caller's key, a
// claim is stored under its attempt.
func recordKey(rec *Record) program.Key {
	if rec.Key == "" && rec.Kind != RecordTurn {
		return program.Key{Caller: rec.Caller, Key: attemptKeyPrefix + string(rec.Attempt)}
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

// durableSeq returns the position up to which answers may be acknowledged.
func (c *Core) durableSeq() Seq { return max(c.committed, c.retained) }

// whenDurable runs a step once the record is committed or retained.
func (c *Core) whenDurable(seq Seq, run func()) {
	c.addDurableWait(journalWait{seq: seq, run: run})
}

// addDurableWait is whenDurable for a step that may answer a caller's request.
// If the slot is lost first, that request is refused.
func (c *Core) addDurableWait(w journalWait) {
	if w.seq <= c.durableSeq() || c.opt.Faults.AckBeforeDurable {
		w.run()
		return
	}
	c.durableWaits = insertWait(c.durableWaits, w)
}

// whenCommitted runs a step once the record is committed.
func (c *Core) whenCommitted(seq Seq, run func()) {
	if seq <= c.committed || c.opt.Faults.DispatchBeforeClaim {
		run()
		return
	}
	c.commitWaits = insertWait(c.commitWaits, journalWait{seq: seq, run: run})
}

// insertWait inserts a step in order of position. Nearly all are appended at
// the end.
func insertWait(ws []journalWait, w journalWait) []journalWait {
	i := sort.Search(len(ws), func(i int) bool { return ws[i].seq > w.seq })
	ws = append(ws, journalWait{})
	copy(ws[i+1:], ws[i:])
	ws[i] = w
	return ws
}

func (c *Core) journalCommitted(seq Seq) {
	if c.sealed || seq <= c.committed {
		return
	}
	c.committed = min(seq, c.seq)
	c.runDurableWaits()
	for len(c.commitWaits) > 0 && c.commitWaits[0].seq <= c.committed {
		w := c.commitWaits[0]
		c.commitWaits[0] = journalWait{} // lets the finished call be garbage collected
		c.commitWaits = c.commitWaits[1:]
		w.run()
	}
}

func (c *Core) journalRetained(seq Seq) {
	if c.sealed || seq <= c.retained {
		return
	}
	c.retained = min(seq, c.seq)
	c.runDurableWaits()
}

func (c *Core) runDurableWaits() {
	for len(c.durableWaits) > 0 && c.durableWaits[0].seq <= c.durableSeq() {
		w := c.durableWaits[0]
		c.durableWaits[0] = journalWait{}
		c.durableWaits = c.durableWaits[1:]
		w.run()
	}
}

// journalSealed gives up all slots, because a successor has sealed the journal.
func (c *Core) journalSealed(by Incarnation) {
	if c.sealed || c.opt.Faults.NoFenceCheck {
		return
	}
	c.sealed = true
	c.refuseJournalWaits(func(journalWait) bool { return true })
	c.durableWaits, c.commitWaits, c.pendingRecords = nil, nil, nil
	for _, cl := range c.sortedCalls(func(*call) bool { return true }) {
		c.abandon(cl, string(by))
	}
	clear(c.roots)
	clear(c.slots)
	clear(c.unknownClaims)
	clear(c.damaged)
	c.timers = nil
}

// abandon refuses a call whose program now belongs to another owner. It does
// not change the program's state.
func (c *Core) abandon(cl *call, by string) {
	switch cl.state {
	case stateSubmitted:
		c.opt.Policy.Remove(cl.ID)
	case stateRunning, stateClaiming:
		c.opt.Policy.OnFailed(c.now, Failure{Attempt: cl.attempt, Canceled: true, Ran: cl.outcome()})
		if cl.state == stateRunning && !cl.nonIdempotent {
			c.emit(CancelAttempt{Attempt: cl.attempt, Upstream: cl.upstream})
		}
	}
	if !cl.replied {
		ref := c.newRefusal(cl, CodeNotOwner, "journal", "another entry has taken over the program")
		ref.Peer = by
		c.emit(Refuse{Call: cl.ID, Refusal: ref})
	}
	delete(c.calls, cl.ID)
	delete(c.attempts, cl.attempt)
	cl.markDone()
}

// refuseJournalWaits refuses the requests that wait only for the journal, such
// as opens, and for which lost returns true.
func (c *Core) refuseJournalWaits(lost func(journalWait) bool) {
	kept := c.durableWaits[:0]
	for _, w := range c.durableWaits {
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
	c.durableWaits = kept
}
