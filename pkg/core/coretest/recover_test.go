package coretest

import (
	"fmt"
	"math"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// recordsOf returns the records that the effects append to the journal.
func recordsOf(effects []core.Effect) (out []core.Record) {
	for _, f := range effects {
		if a, ok := f.(core.AppendJournal); ok {
			out = append(out, a.Records...)
		}
	}
	return out
}

// longProgram returns a script with one program of n turns of 100 KB, and the
// records of the program.
func longProgram(n int) (*script, []core.Record) {
	s := newScript()
	at := core.At{Time: s.now}
	s.step(core.ConfigApplied{At: at, Config: s.cfg})
	s.step(core.UpstreamChanged{At: at, Info: core.UpstreamInfo{ID: "m1", Kind: core.KindModel}})
	s.step(core.SlotsAcquired{At: at, Slots: allSlots(16, 1)})
	records := recordsOf(s.c.Step(core.ProgramOpened{At: at, Call: "o", ID: "p003-aa", Caller: "lango"}))
	for i := range n {
		out := s.c.Step(core.CallArrived{At: at, Call: core.Call{
			ID: core.CallID(fmt.Sprint(i)), Program: "p003-aa", Caller: "lango", Kind: core.KindModel,
			Request: fmt.Appendf(nil, "turn %d", i+1),
		}})
		out = s.c.Step(core.AttemptDone{At: at, Attempt: out[0].(core.Dispatch).Attempt, Answer: core.Answer{Body: make([]byte, 100<<10)}})
		rec := recordsOf(out)
		records = append(records, rec...)
		s.c.Step(core.JournalCommitted{At: at, Seq: rec[0].Seq})
	}
	return s, records
}

// acquireAll gives records to a new core, which acquires all slots. It returns
// the core and the records that it appends.
func acquireAll(records []core.Record) (*core.Core, []core.Record) {
	s := newScript()
	at := core.At{Time: s.now}
	s.step(core.ConfigApplied{At: at, Config: s.cfg})
	out := s.c.Step(core.SlotsAcquired{At: at, Slots: allSlots(16, 2), Records: records})
	return s.c, recordsOf(out)
}

// Guards against a history that does not fit into one journal object, and
// against turns that are lost or duplicated when a checkpoint overlaps the tail
// of the journal or records are read twice.
func TestHistorySurvivesCheckpointAndTail(t *testing.T) {
	const turns = 12
	s, tail := longProgram(turns)
	snapshot := s.c.Snapshot(nil)
	for _, r := range snapshot {
		if len(r.State) > 900<<10 {
			t.Errorf("record of %d bytes", len(r.State))
		}
	}
	if len(snapshot) < 4 {
		t.Errorf("%d records for %d turns of 100 KB", len(snapshot), turns)
	}
	for name, records := range map[string][]core.Record{
		"tail":               tail,
		"tail twice":         append(append([]core.Record{}, tail...), tail...),
		"checkpoint":         snapshot,
		"checkpoint twice":   append(append([]core.Record{}, snapshot...), snapshot...),
		"tail, checkpoint":   append(append([]core.Record{}, tail...), snapshot...),
		"checkpoint and end": append(append([]core.Record{}, snapshot...), tail[len(tail)-3:]...),
	} {
		c, own := acquireAll(records)
		h := c.History("p003-aa")
		if len(h) != turns || string(h[turns-1].Request) != "turn 12" {
			t.Errorf("%s: %d turns", name, len(h))
		}
		// The records that the new owner writes must restore the same program.
		if again, _ := acquireAll(own); len(again.History("p003-aa")) != turns {
			t.Errorf("%s: %d turns after another takeover", name, len(again.History("p003-aa")))
		}
	}
}

// Guards against the loss of a program whose stored state cannot be decoded:
// its records must reach the next owner and must not be overwritten.
func TestDamagedStateIsKept(t *testing.T) {
	s, _ := longProgram(1)
	snapshot := s.c.Snapshot(nil)
	good := snapshot[0].State
	snapshot[0].State = good[:len(good)-3]
	c, own := acquireAll(snapshot)
	if d := c.DamagedPrograms(); len(d) != 1 || d[0] != "p003-aa" || len(own) != len(snapshot) {
		t.Fatalf("damaged %v, %d records of %d", d, len(own), len(snapshot))
	}
	out := c.Step(core.ProgramOpened{At: core.At{Time: startTime}, Call: "o", ID: "p003-aa", Caller: "lango"})
	if _, ok := out[0].(core.Refuse); !ok {
		t.Errorf("an open replaced the damaged program: %v", out)
	}
	repaired := c.Snapshot(nil)
	repaired[0].State = good
	if again, _ := acquireAll(repaired); len(again.History("p003-aa")) != 1 {
		t.Error("the repaired records do not restore the program")
	}
}

// Guards against stated token counts that overflow or lower the budget account.
func TestStatedTokensCannotPassBudget(t *testing.T) {
	s := newScript()
	at := core.At{Time: s.now}
	std := s.cfg.Profiles["std"]
	std.Budget.Tokens = 100
	s.cfg.Profiles["std"] = std
	s.step(core.ConfigApplied{At: at, Config: s.cfg})
	s.step(core.UpstreamChanged{At: at, Info: core.UpstreamInfo{ID: "m1", Kind: core.KindModel}})
	s.step(core.SlotsAcquired{At: at, Slots: allSlots(16, 1)})
	s.step(core.ProgramOpened{At: at, Call: "o", ID: "p003-aa", Caller: "lango"})
	s.step(core.CallArrived{At: at, Call: core.Call{
		ID: "c1", Program: "p003-aa", Caller: "lango", Kind: core.KindModel, PromptTokens: 10, MaxTokens: math.MaxInt64,
	}})
	out := s.c.Step(core.JournalCommitted{At: at, Seq: 2})
	d, ok := out[len(out)-1].(core.Dispatch)
	if !ok || d.MaxTokens != 90 {
		t.Fatalf("effects %v", out)
	}
	s.step(core.AttemptDone{At: at, Attempt: d.Attempt, Answer: core.Answer{PromptTokens: -1 << 62, OutputTokens: 40}})
	if st, _ := s.c.Program("p003-aa"); st.Spent.Tokens != 40 {
		t.Errorf("spent %d tokens", st.Spent.Tokens)
	}
}

// Guards against an unknown outcome for a claim that was only retained by a
// peer, whose attempt was therefore never dispatched, and against the result
// "not run" for a claim that reached the store.
func TestRetainedClaimDidNotRun(t *testing.T) {
	s := newScript()
	at := core.At{Time: s.now}
	s.step(core.ConfigApplied{At: at, Config: s.cfg})
	s.step(core.UpstreamChanged{At: at, Info: core.UpstreamInfo{ID: "b1", Kind: core.KindService, Service: "booking"}})
	s.step(core.SlotsAcquired{At: at, Slots: allSlots(16, 1)})
	call := core.CallArrived{At: at, Call: core.Call{
		ID: "c1", Program: "p003-aa", Caller: "lango", Kind: core.KindService, Service: "booking", Operation: "charge",
		Key: "k", Digest: 7,
	}}
	stored := recordsOf(s.c.Step(core.ProgramOpened{At: at, Call: "o", ID: "p003-aa", Caller: "lango"}))
	stored = append(stored, recordsOf(s.c.Step(call))...)
	retained := append([]core.Record{}, stored...)
	retained[1].Retained = true
	for name, tc := range map[string]struct {
		records []core.Record
		last    core.RecordKind
	}{
		"retained":            {retained, core.RecordRefused},
		"retained and stored": {append(append([]core.Record{}, retained...), stored...), core.RecordProgram},
	} {
		_, own := acquireAll(tc.records)
		if got := own[len(own)-1].Kind; got != tc.last {
			t.Errorf("%s: the last record is %s, want %s", name, got, tc.last)
		}
	}
}
