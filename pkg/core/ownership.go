package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core/program"
)

// acquire takes over slots with the records of their earlier owners.
func (c *Core) acquire(e SlotsAcquired) {
	if c.sealed {
		return
	}
	for _, s := range sortedKeys(e.Slots) {
		if old := c.slots[s]; old != nil && old.epoch >= e.Slots[s] {
			// The same epoch again ends a hand-over that failed.
			old.released = old.released && old.epoch > e.Slots[s]
			continue
		}
		if c.slots[s] != nil {
			c.lose(s)
		}
		c.slots[s] = &slotState{epoch: e.Slots[s]}
	}
	records := slices.DeleteFunc(slices.Clone(e.Records), func(r Record) bool {
		_, ok := e.Slots[r.Slot]
		return !ok
	})
	slices.SortStableFunc(records, func(a, b Record) int {
		// Of two copies the one from the store counts.
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
		c.restore(restored, &records[i])
	}
	c.keepDamaged(records)
	for _, id := range sortedKeys(restored) {
		r := restored[id]
		if _, bad := c.damaged[id]; bad {
			continue
		}
		if top := r.Members[r.ID]; top == nil || c.roots[id] != nil {
			continue
		}
		c.adoptRoot(r, e.Planned)
	}
	// Serving starts once the restored state is in this journal: what is
	// dispatched before would be unknown to the next owner.
	for _, s := range sortedKeys(e.Slots) {
		if c.slots[s].epoch == e.Slots[s] {
			c.slots[s].ready = c.seq
		}
	}
	for _, id := range sortedKeys(restored) {
		if r := restored[id]; c.roots[id] == r {
			c.resumeClaims(r)
		}
	}
}

// restore applies a record of an earlier owner.
func (c *Core) restore(roots map[ProgramID]*root, rec *Record) {
	id := RootOf(rec.Program)
	r := roots[id]
	switch {
	case rec.Kind == RecordProgram:
		if r == nil {
			r = &root{Root: program.NewRoot(string(id), rec.Caller), slot: rec.Slot}
			roots[id] = r
		}
		if !c.applyState(r, rec) {
			c.damaged[id] = damaged{slot: rec.Slot}
		}
		return
	case r == nil && rec.Kind == RecordOpened && rec.Parent == "":
		r = &root{Root: program.NewRoot(string(id), rec.Caller), slot: rec.Slot}
		roots[id] = r
	case r == nil:
		return // the program was forgotten before a checkpoint
	}
	c.apply(r, rec)
}

// keepDamaged copies the records of damaged programs into this journal.
func (c *Core) keepDamaged(records []Record) {
	for _, rec := range records {
		id := RootOf(rec.Program)
		d, ok := c.damaged[id]
		if !ok {
			continue
		}
		c.seq++
		rec.Seq, rec.Epoch = c.seq, c.slots[d.slot].epoch
		c.pending = append(c.pending, rec)
		d.records = append(d.records, rec)
		c.damaged[id] = d
	}
}

// adoptRoot puts a restored program into this process's journal and in force.
func (c *Core) adoptRoot(r *root, planned bool) {
	r.ResetPositions()
	if planned {
		r.Ledger.Recover(program.Amount{})
	} else {
		r.Ledger.Recover(c.limits(r))
	}
	c.roots[ProgramID(r.ID)] = r
	top := r.Members[r.ID]
	if top.OpenKey != "" {
		c.opens[program.Key{Caller: r.Caller, Key: top.OpenKey}] = ProgramID(r.ID)
	}
	if top.Alive() {
		c.opt.Policy.ProgramRecovered(c.now, c.view(r, top))
	}
	pins := false
	for _, m := range r.Members {
		// The time of a takeover is not the program's idle time.
		if m.Alive() && m.LastActive.Before(c.now) {
			m.LastActive = c.now
		}
		pins = pins || len(m.Pins) > 0
	}
	for _, rec := range stateRecords(r) {
		c.append(r, rec)
	}
	c.watchRoot(r)
	if pins {
		c.watchPins(r)
	}
}

// resumeClaims asks for the outcome of each claim that the earlier owner left
// open. Later calls of the program wait for it.
func (c *Core) resumeClaims(r *root) {
	for _, k := range r.SortedKeys() {
		rec := r.Keys[k]
		if rec.State == program.KeyOutcomeUnknown {
			c.late[AttemptID(rec.Attempt)] = lateClaim{ProgramID(r.ID), k}
		}
		m := r.Members[rec.Member]
		if rec.State != program.KeyClaimed || m == nil {
			continue
		}
		if rec.Retained {
			// The earlier owner dispatches after JournalCommitted only, which it
			// never got for this claim.
			c.append(r, Record{
				Kind: RecordRefused, Program: ProgramID(m.ID), Caller: k.Caller, Key: k.Key, Digest: rec.Digest,
				Attempt: AttemptID(rec.Attempt), Ran: RanNo,
			})
			continue
		}
		key := k.Key
		if key == attemptKey+rec.Attempt {
			key = ""
		}
		c.nextCall++
		cl := &call{
			Call: Call{
				Program: ProgramID(m.ID), Caller: k.Caller, Kind: KindService, Service: rec.Service,
				Operation: rec.Operation, Key: key, Digest: rec.Digest, Request: rec.Request,
			},
			number: c.nextCall, root: r, member: m, attempt: AttemptID(rec.Attempt),
			upstream: UpstreamID(rec.Upstream), sidecar: Incarnation(rec.Sidecar), ran: RanNo, nonIdempotent: true, claimed: true, replied: true,
			spend: r.Ledger.Reservation(rec.Attempt).Spend,
		}
		c.attempts[cl.attempt] = cl
		if key != "" {
			r.setKeyed(k, cl)
		}
		c.queue(cl).Push(cl)
		c.resolve(cl)
	}
}

// release gives up slots in a planned hand-over.
func (c *Core) release(e SlotsReleased) {
	for _, s := range e.Slots {
		owned := c.slots[s]
		switch {
		case owned == nil:
		case e.Done:
			c.lose(s)
		default:
			owned.released = true
		}
	}
}

// lose gives up a slot that another process owns now. Engine memory is kept:
// the new owner renews its pins or lets them lapse.
func (c *Core) lose(s Slot) {
	delete(c.slots, s)
	maps.DeleteFunc(c.damaged, func(_ ProgramID, d damaged) bool { return d.slot == s })
	calls := c.sortedCalls(func(cl *call) bool { return cl.root.slot == s })
	c.refuseWaits(func(w wait) bool { return w.root != nil && w.root.slot == s })
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

// Busy returns the number of requests under way in the slots, including claims
// whose outcome is being asked for. A hand-over waits until it is 0.
func (c *Core) Busy(slots []Slot) int {
	in := func(r *root) bool { return r != nil && slices.Contains(slots, r.slot) }
	n := len(c.sortedCalls(func(cl *call) bool { return in(cl.root) }))
	for _, w := range c.covered {
		if w.call != "" && in(w.root) {
			n++
		}
	}
	return n
}

// Damaged returns the programs whose stored state could not be decoded when
// their slot was acquired.
func (c *Core) Damaged() []ProgramID { return sortedKeys(c.damaged) }

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
	for n > 0 && Seq(h[n-1].Seq) > c.durable() {
		n--
	}
	return slices.Clone(h[:n])
}

// ProgramStatus is what status pages show of a program.
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
	Waiting    int            `json:"waiting"` // calls not finished
	Children   int            `json:"children"`
	Spent      program.Amount `json:"spent"` // by the root and its children
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
