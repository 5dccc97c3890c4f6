package core

import "github.com/yuccaspindle/yuccaspindle/pkg/core/program"

// maxStatePartBytes is the size above which the history of a program is split
// into several records. Journal objects are limited to 900 KB, and a record
// shares its object with others.
const maxStatePartBytes = 256 << 10

// Snapshot returns the full state of every program in the slots, or of all
// programs if slots is nil. The first record of a root program holds everything
// except the histories. The records after it hold the histories of its members,
// with Turn set to the number of the first turn in the record. All records of a
// root program carry the position of the last record applied to it.
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

// stateRecords returns the state of a root program as records. The caller sets
// their position.
func stateRecords(r *root) []Record {
	out := []Record{{Kind: RecordProgram, Program: ProgramID(r.ID), Caller: r.Caller, State: r.Encode()}}
	for _, id := range sortedKeys(r.Members) {
		turns := r.Members[id].History
		for len(turns) > 0 {
			n, size := 0, 0
			for n < len(turns) && (n == 0 || size < maxStatePartBytes) {
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

// applyStateRecord applies a record of a program's full state. It returns false
// if the state cannot be decoded.
func (c *Core) applyStateRecord(r *root, rec *Record) bool {
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
	// All records of a snapshot have the same position.
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
