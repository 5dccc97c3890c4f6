package journal

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

// rig is a writer with the sequence numbers that it reported.
type rig struct {
	*Writer
	mem       *objectapi.Memory
	committed atomic.Uint64
	retained  atomic.Uint64
	undurable atomic.Uint64
	sealedBy  core.Incarnation
	done      chan error
	stop      context.CancelFunc
}

// run starts a writer of the incarnation a.1 with the store client "a".
func run(t *testing.T, mem *objectapi.Memory, o WriterOptions) *rig {
	r := &rig{mem: mem, done: make(chan error, 1)}
	o.Committed = func(s core.Seq) { r.committed.Store(uint64(s)) }
	o.Retained = func(s core.Seq) { r.retained.Store(uint64(s)) }
	o.Undurable = func(s core.Seq) { r.undurable.Store(uint64(s)) }
	o.Sealed = func(by core.Incarnation) { r.sealedBy = by }
	r.Writer = NewWriter(mem.Client("a"), "a.1", o)
	ctx, stop := context.WithCancel(t.Context())
	r.stop = stop
	go func() { r.done <- r.Run(ctx) }()
	return r
}

// turn returns a turn record whose content names its program and position.
func turn(program string, seq core.Seq) core.Record {
	text := fmt.Sprintf("%s/%d", program, seq)
	return core.Record{
		Kind: core.RecordTurn, Slot: 7, Epoch: 2, Seq: seq, Program: core.ProgramID(program),
		Turn: int(seq), Request: []byte("request " + text),
		Answer: &core.Answer{Body: []byte("answer " + text), Status: 200},
		At:     time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC),
	}
}

func seqs(recs []core.Record) []core.Seq {
	out := make([]core.Seq, len(recs))
	for i, r := range recs {
		out[i] = r.Seq
	}
	return out
}

func wantSeqs(t *testing.T, recs []core.Record, first, last core.Seq) {
	t.Helper()
	if len(recs) != int(last-first+1) {
		t.Fatalf("recovered %v, want %d to %d", seqs(recs), first, last)
	}
	for i, r := range recs {
		if r.Seq != first+core.Seq(i) {
			t.Fatalf("recovered %v, want %d to %d", seqs(recs), first, last)
		}
	}
}

func recoverLog(t *testing.T, mem *objectapi.Memory, by core.Incarnation) []core.Record {
	t.Helper()
	if _, err := Seal(t.Context(), mem, "a.1", by); err != nil {
		t.Fatal(err)
	}
	recs, err := Recover(t.Context(), mem, "a.1", nil)
	if err != nil {
		t.Fatal(err)
	}
	return recs
}

// Guards against a paused owner that appends after its successor has sealed its
// log: its Run must return the seal's error, and it must report nothing as durable.
func TestAppendAfterSealFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := objectapi.NewMemory(objectapi.MemoryOptions{})
		r := run(t, mem, WriterOptions{})
		r.Append([]core.Record{turn("p", 1), turn("p", 2)})
		if err := r.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
		if tail, err := Seal(t.Context(), mem, "a.1", "b.1"); err != nil || tail != 1 {
			t.Fatalf("Seal = %d, %v", tail, err)
		}
		r.Append([]core.Record{turn("p", 3)})
		var s *SealedError
		if err := <-r.done; !errors.As(err, &s) || s.By != "b.1" || r.sealedBy != "b.1" {
			t.Errorf("Run = %v, Sealed by %q", err, r.sealedBy)
		}
		if r.committed.Load() != 2 {
			t.Errorf("committed %d, want 2", r.committed.Load())
		}
		if err := r.Flush(t.Context()); !errors.As(err, &s) {
			t.Errorf("Flush after the seal: %v", err)
		}
		recs, err := Recover(t.Context(), mem, "a.1", nil)
		if err != nil {
			t.Fatal(err)
		}
		wantSeqs(t, recs, 1, 2)
	})
}

// Guards against a seal that succeeds for two different successors.
func TestSecondSealNamesTheFirst(t *testing.T) {
	mem := objectapi.NewMemory(objectapi.MemoryOptions{})
	if _, err := Seal(t.Context(), mem, "a.1", "b.1"); err != nil {
		t.Fatal(err)
	}
	if _, err := Seal(t.Context(), mem, "a.1", "b.1"); err != nil {
		t.Errorf("sealing again by the same incarnation: %v", err)
	}
	var s *SealedError
	if _, err := Seal(t.Context(), mem, "a.1", "c.1"); !errors.As(err, &s) || s.By != "b.1" {
		t.Errorf("Seal by another incarnation: %v", err)
	}
}

// Guards against slots that no entry can take over because the first successor
// stopped after its seal.
func TestSecondSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := objectapi.NewMemory(objectapi.MemoryOptions{})
		r := run(t, mem, WriterOptions{Retention: []core.Incarnation{"c.1"}})
		r.Append([]core.Record{turn("p", 1)})
		if err := r.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
		r.stop()
		<-r.done
		for _, by := range []core.Incarnation{"b.1", "d.1"} {
			l, err := SealAndOpen(t.Context(), mem, "a.1", by)
			if err != nil || l.SealedBy() != "b.1" || len(l.Members()) != 1 {
				t.Fatalf("SealAndOpen by %s: %v", by, err)
			}
			recs, err := l.Recover(t.Context(), nil)
			if err != nil {
				t.Fatal(err)
			}
			wantSeqs(t, recs, 1, 1)
		}
	})
}

// Guards against an append that is written twice, or reported as failed, when
// only its response was lost.
func TestLostAnswerIsNotWrittenTwice(t *testing.T) {
	for _, outage := range []bool{false, true} {
		t.Run(fmt.Sprintf("outage=%v", outage), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				mem := objectapi.NewMemory(objectapi.MemoryOptions{})
				r := run(t, mem, WriterOptions{})
				mem.SetFaults("a", objectapi.Faults{LoseAnswers: 1, Delay: time.Millisecond})
				r.Append([]core.Record{turn("p", 1)})
				if outage {
					// The read-back after the lost response fails as well.
					time.Sleep(1500 * time.Microsecond)
					mem.SetFaults("a", objectapi.Faults{Outage: true})
					time.Sleep(3 * time.Second)
					if r.committed.Load() != 0 {
						t.Errorf("committed %d in an outage", r.committed.Load())
					}
					mem.SetFaults("a", objectapi.Faults{})
				}
				if err := r.Flush(t.Context()); err != nil {
					t.Fatal(err)
				}
				if r.committed.Load() != 1 || mem.Writes(ObjectKey("a.1", 1)) != 1 || len(mem.Keys("journal/")) != 1 {
					t.Errorf("committed %d, objects %v", r.committed.Load(), mem.Keys("journal/"))
				}
				r.stop()
				<-r.done
				wantSeqs(t, recoverLog(t, mem, "b.1"), 1, 1)
			})
		})
	}
}
