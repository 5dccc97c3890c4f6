package core

import "github.com/yuccaspindle/yuccaspindle/pkg/core/program"

// maxStatePart is the size at which the history of a program is divided among
// several records, so that each fits into a journal object of 900 KB together
// with others.
const maxStatePart = 256 << 10

// Snapshot returns the whole state of every program in the slots, or of all if
// slots is nil. The first record of a program holds everything but the
// history; the following ones, with Turn set to the number of their first
// turn, hold its members' histories. All carry the position of the last record
// that they cover.
func (c *Core) Snapshot(slots []Slot) []Record {
	wanted := make(map[Slot]bool, len(slots))
	for _, s := range slots {
		wanted[s] = true
	}
	var out []Record
	for _, id := range sortedKeys(c.roots) {
		r := c.roots[id]
		if slots != nil && !wanted[r.slot] {
			continue
		}
		for _, rec := range stateRecords(r) {
			rec.Slot, rec.Epoch, rec.Seq, rec.At = r.slot, Epoch(r.Epoch), Seq(r.Seq), c.now
			out = append(out, rec)
		}
	}
	for _, id := range sortedKeys(c.damaged) {
		if d := c.damaged[id]; slots == nil || wanted[d.slot] {
			out = append(out, d.records...)
		}
	}
	return out
}

// stateRecords returns the state of a root program as records without a
// position.
func stateRecords(r *root) []Record {
	out := []Record{{Kind: RecordProgram, Program: ProgramID(r.ID), Caller: r.Caller, State: r.Encode()}}
	for _, id := range sortedKeys(r.Members) {
		turns := r.Members[id].History
		for len(turns) > 0 {
			n, size := 0, 0
			for n < len(turns) && (n == 0 || size < maxStatePart) {
				size += len(turns[n].Request) + len(turns[n].Answer)
				n++
			}
			out = append(out, Record{
				Kind: RecordProgram, Program: ProgramID(id), Caller: r.Caller,
				Turn: turns[0].Number, State: program.EncodeTurns(turns[:n]),
			})
			turns = turns[n:]
		}
	}
	return out
}

// applyState applies a record of a program's whole state. It reports false if
// the state cannot be decoded.
func (c *Core) applyState(r *root, rec *Record) bool {
	epoch, seq := uint64(rec.Epoch), uint64(rec.Seq)
	if rec.Turn == 0 {
		if !r.Advance(epoch, seq) {
			return true
		}
		state, err := program.Decode(rec.State)
		if err != nil || state.ID != r.ID {
			return false
		}
		state.Epoch, state.Seq = epoch, seq
		r.Root = state
		return true
	}
	// The parts of one snapshot share their position.
	if !r.Advance(epoch, seq) && (epoch != r.Epoch || seq != r.Seq) {
		return true
	}
	m := r.Members[string(rec.Program)]
	if m == nil || rec.Turn != len(m.History)+1 {
		return true
	}
	turns, err := program.DecodeTurns(rec.State)
	if err != nil {
		return false
	}
	m.History = append(m.History, turns...)
	return true
}
