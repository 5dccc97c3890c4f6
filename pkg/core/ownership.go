package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core/program"
)

// slotsAcquired takes ownership of slots and restores their programs from the
// records of earlier owners.
func (c *Core) slotsAcquired(e SlotsAcquired) {
	if c.sealed {
		return
	}
	for _, s := range sortedKeys(e.Slots) {
		if old := c.slots[s]; old != nil && old.epoch >= e.Slots[s] {
			// The same epoch again reports that a hand-over failed.
			old.released = old.released && old.epoch > e.Slots[s]
			continue
		}
		if c.slots[s] != nil {
			c.dropSlot(s)
		}
		c.slots[s] = &slotState{epoch: e.Slots[s]}
	}
	records := slices.DeleteFunc(slices.Clone(e.Records), func(r Record) bool {
		_, ok := e.Slots[r.Slot]
		return !ok
	})
	slices.SortStableFunc(records, func(a, b Record) int {
		// The copy from the store precedes a retained one, which is then ignored.
		retained := 0
		if a.Retained != b.Retained {
			retained = 1
			if b.Retained {
				retained = -1
			}
		}
		return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Seq, b.Seq), retained)
	})
	restored := make(map[ProgramID]*root)
	for i := range records {
		c.restoreRecord(restored, &records[i])
	}
	c.copyDamagedRecords(records)
	for _, id := range sortedKeys(restored) {
		r := restored[id]
		if _, bad := c.damaged[id]; bad {
			continue
		}
		if top := r.Members[r.ID]; top == nil || c.roots[id] != nil {
			continue
		}
		c.installRoot(r, e.Planned)
	}
	// Calls start once the restored state is durable in this journal: the next
	// owner would not know of calls that are dispatched earlier.
	for _, s := range sortedKeys(e.Slots) {
		if c.slots[s].epoch == e.Slots[s] {
			c.slots[s].readySeq = c.seq
		}
	}
	for _, id := range sortedKeys(restored) {
		if r := restored[id]; c.roots[id] == r {
			c.resumeClaims(r)
		}
	}
}

// restoreRecord applies a record of an earlier owner.
func (c *Core) restoreRecord(roots map[ProgramID]*root, rec *Record) {
	id := RootOf(rec.Program)
	r := roots[id]
	switch {
	case rec.Kind == RecordProgram:
		if r == nil {
			r = &root{Root: program.NewRoot(string(id), rec.Caller), slot: rec.Slot}
			roots[id] = r
		}
		if !c.applyStateRecord(r, rec) {
			c.damaged[id] = damaged{slot: rec.Slot}
		}
		return
	case r == nil && rec.Kind == RecordOpened && rec.Parent == "":
		r = &root{Root: program.NewRoot(string(id), rec.Caller), slot: rec.Slot}
		roots[id] = r
	case r == nil:
		return // the program was dropped before the checkpoint
	}
	c.applyRecord(r, rec)
}

// copyDamagedRecords copies the records of damaged programs to this journal.
func (c *Core) copyDamagedRecords(records []Record) {
	for _, rec := range records {
		id := RootOf(rec.Program)
		d, ok := c.damaged[id]
		if !ok {
			continue
		}
		c.seq++
		rec.Seq, rec.Epoch = c.seq, c.slots[d.slot].epoch
		c.pendingRecords = append(c.pendingRecords, rec)
		d.records = append(d.records, rec)
		c.damaged[id] = d
	}
}

// installRoot adds a restored program to the served ones and writes its state
// to this journal.
func (c *Core) installRoot(r *root, planned bool) {
	r.ResetPositions()
	if planned {
		r.Ledger.Recover(program.Amount{})
	} else {
		r.Ledger.Recover(c.limits(r))
	}
	c.roots[ProgramID(r.ID)] = r
	top := r.Members[r.ID]
	if top.OpenKey != "" {
		c.rootsByOpenKey[program.Key{Caller: r.Caller, Key: top.OpenKey}] = ProgramID(r.ID)
	}
	if top.Alive() {
		c.opt.Policy.ProgramRecovered(c.now, c.programView(r, top))
	}
	pins := false
	for _, m := range r.Members {
		// The time without an owner does not count as idle time.
		if m.Alive() && m.LastActive.Before(c.now) {
			m.LastActive = c.now
		}
		pins = pins || len(m.Pins) > 0
	}
	for _, rec := range stateRecords(r) {
		c.append(r, rec)
	}
	c.armRootCheck(r)
	if pins {
		c.armPinRenewal(r)
	}
}

// resumeClaims resolves each claim that the earlier owner left open. Later
// calls of the program wait for the outcome.
func (c *Core) resumeClaims(r *root) {
	for _, k := range r.SortedKeys() {
		rec := r.Keys[k]
		if rec.State == program.KeyOutcomeUnknown {
			c.unknownClaims[AttemptID(rec.Attempt)] = claimRef{ProgramID(r.ID), k}
		}
		m := r.Members[rec.Member]
		if rec.State != program.KeyClaimed || m == nil {
			continue
		}
		if rec.Retained {
			// Not in the store, so the earlier owner had no JournalCommitted for
			// it and did not dispatch the attempt.
			c.append(r, Record{
				Kind: RecordRefused, Program: ProgramID(m.ID), Caller: k.Caller, Key: k.Key, Digest: rec.Digest,
				Attempt: AttemptID(rec.Attempt), Ran: RanNo,
			})
			continue
		}
		key := k.Key
		if key == attemptKeyPrefix+rec.Attempt {
			key = ""
		}
		c.nextCall++
		cl := &call{
			Call: Call{
				Program: ProgramID(m.ID), Caller: k.Caller, Kind: KindService, Service: rec.Service,
				Operation: rec.Operation, Key: key, Digest: rec.Digest, Request: rec.Request,
			},
			arrivalOrder: c.nextCall, root: r, member: m, attempt: AttemptID(rec.Attempt),
			upstream: UpstreamID(rec.Upstream), sidecar: Incarnation(rec.Sidecar), ran: RanNo, nonIdempotent: true, claimed: true, replied: true,
			spend: r.Ledger.Reservation(rec.Attempt).Spend,
		}
		c.attempts[cl.attempt] = cl
		if key != "" {
			r.setCallByKey(k, cl)
		}
		c.queueOf(cl).Push(cl)
		c.resolveOutcome(cl)
	}
}

// slotsReleased handles the start and the end of a planned hand-over.
func (c *Core) slotsReleased(e SlotsReleased) {
	for _, s := range e.Slots {
		owned := c.slots[s]
		switch {
		case owned == nil:
		case e.Done:
			c.dropSlot(s)
		default:
			owned.released = true
		}
	}
}

// dropSlot gives up a slot that another process owns now. Pins stay in the
// engines: the new owner renews them or lets them expire.
func (c *Core) dropSlot(s Slot) {
	delete(c.slots, s)
	maps.DeleteFunc(c.damaged, func(_ ProgramID, d damaged) bool { return d.slot == s })
	calls := c.sortedCalls(func(cl *call) bool { return cl.root.slot == s })
	c.refuseJournalWaits(func(w journalWait) bool { return w.root != nil && w.root.slot == s })
	for _, cl := range calls {
		c.abandon(cl, "")
	}
	for _, id := range sortedKeys(c.roots) {
		r := c.roots[id]
		if r.slot != s {
			continue
		}
		for _, m := range r.LiveSubtree(r.ID) {
			c.opt.Policy.ProgramEnded(c.now, ProgramID(m.ID))
		}
		c.forgetRoot(r)
	}
}

// InFlight returns the number of unfinished requests in the slots, including
// claims whose outcome is being resolved. A hand-over waits until it is 0.
func (c *Core) InFlight(slots []Slot) int {
	in := func(r *root) bool { return r != nil && slices.Contains(slots, r.slot) }
	n := len(c.sortedCalls(func(cl *call) bool { return in(cl.root) }))
	for _, w := range c.durableWaits {
		if w.call != "" && in(w.root) {
			n++
		}
	}
	return n
}

// DamagedPrograms returns the programs whose stored state could not be decoded
// when their slot was acquired.
func (c *Core) DamagedPrograms() []ProgramID { return sortedKeys(c.damaged) }

// Turn is one finished call in the history of a program.
type Turn = program.Turn

// History returns the durable turns of a program in order.
func (c *Core) History(id ProgramID) []Turn {
	r := c.roots[RootOf(id)]
	if r == nil || r.Members[string(id)] == nil {
		return nil
	}
	h := r.Members[string(id)].History
	n := len(h)
	for n > 0 && Seq(h[n-1].Seq) > c.durableSeq() {
		n--
	}
	return slices.Clone(h[:n])
}

// ProgramStatus is the status of a program as shown to operators.
type ProgramStatus struct {
	ID         ProgramID      `json:"id"`
	Root       ProgramID      `json:"root"`
	Parent     ProgramID      `json:"parent,omitempty"`
	Caller     string         `json:"caller"`
	Profile    string         `json:"profile"`
	Slot       Slot           `json:"slot"`
	Epoch      Epoch          `json:"epoch"`
	Opened     time.Time      `json:"opened"`
	LastActive time.Time      `json:"last_active"`
	Ended      time.Time      `json:"ended,omitzero"`
	Turns      int            `json:"turns"`
	Waiting    int            `json:"waiting"` // unfinished calls
	Children   int            `json:"children"`
	Spent      program.Amount `json:"spent"` // total of the root and its children
	Reserved   program.Amount `json:"reserved"`
	Pins       []UpstreamID   `json:"pins,omitempty"`
}

// Program returns the status of a program.
func (c *Core) Program(id ProgramID) (ProgramStatus, bool) {
	r := c.roots[RootOf(id)]
	if r == nil || r.Members[string(id)] == nil {
		return ProgramStatus{}, false
	}
	m := r.Members[string(id)]
	st := ProgramStatus{
		ID: id, Root: ProgramID(r.ID), Parent: ProgramID(m.Parent), Caller: r.Caller, Profile: m.Profile,
		Slot: r.slot, Opened: m.Opened, LastActive: m.LastActive, Ended: m.EndedAt, Turns: len(m.History),
		Children: r.Children(), Spent: r.Ledger.Spent(), Reserved: r.Ledger.Reserved(),
	}
	if s := c.slots[r.slot]; s != nil {
		st.Epoch = s.epoch
	}
	if q := r.queues[id]; q != nil {
		st.Waiting = q.Len()
	}
	for _, u := range sortedKeys(m.Pins) {
		st.Pins = append(st.Pins, UpstreamID(u))
	}
	return st, true
}
