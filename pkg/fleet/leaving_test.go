package fleet

import (
	"fmt"
	"testing"
	"time"
)

func pickID(f *Fleet, now time.Time) string {
	m := f.Pick(Request{Service: "llm"}, now)
	if m == nil {
		return ""
	}
	return m.ID
}

func llm(id string, born int64) Upstream {
	return Upstream{ID: id, Service: "llm", Address: id + ":1", FailureDomain: "a1", Slots: 8, StartedUnixMs: born}
}

// Guards against new work for an upstream that said in an answer that it leaves,
// because the store, a feed or a list read again says "ready" of the same run.
func TestLeavingOutlivesTheRegistration(t *testing.T) {
	again := map[string]func(f *Fleet){
		"stale event":      func(f *Fleet) { f.Put(llm("x", 1)) },
		"list":             func(f *Fleet) { f.Replace([]Upstream{llm("x", 1), llm("y", 1)}, start) },
		"lapsed and back":  func(f *Fleet) { f.Remove("x", start); f.Put(llm("x", 1)) },
		"another address":  func(f *Fleet) { u := llm("x", 1); u.Address = "z:1"; f.Put(u) },
		"missing and back": func(f *Fleet) { f.KeepMissingUntil(start.Add(time.Second)); f.Remove("x", start); f.Put(llm("x", 1)) },
	}
	for name, tell := range again {
		f := New("a1", nil)
		f.Put(llm("x", 1))
		f.Put(llm("y", 1))
		if !f.RecordLeaving(f.Member("x"), start) || f.RecordLeaving(f.Member("x"), start) {
			t.Errorf("%s: the first answer is not the only new one", name)
		}
		tell(f)
		for i := range 20 {
			if got := pickID(f, start.Add(time.Duration(i)*time.Second)); got != "y" {
				t.Errorf("%s: picked %q", name, got)
			}
		}
	}
}

// Guards against an upstream that gets no work although it started anew, or
// because another one left under its id or at its address.
func TestLeavingEndsWithTheRun(t *testing.T) {
	f := New("a1", nil)
	f.Put(llm("x", 1))
	old := f.Member("x")
	f.RecordLeaving(old, start)
	f.Put(llm("x", 2))
	if got := pickID(f, start); got != "x" {
		t.Errorf("the new run is not used: %q", got)
	}
	if f.RecordLeaving(old, start) {
		t.Error("a late answer of the old run counts as new")
	}
	if got := pickID(f, start); got != "x" {
		t.Errorf("after a late answer of the old run: %q", got)
	}
	other := llm("other", 1)
	other.Address = "x:1"
	f.Replace([]Upstream{other}, start)
	if got := pickID(f, start); got != "other" {
		t.Errorf("the upstream at the same address is not used: %q", got)
	}
}

// Guards against callers who are refused while all upstreams of a service leave and
// one could still serve them, and against requests that reach one too late.
func TestAllLeave(t *testing.T) {
	f := New("a1", nil)
	f.SetLeavingGrace(time.Second)
	f.Put(llm("x", 1))
	f.Put(llm("y", 1))
	f.RecordLeaving(f.Member("x"), start)
	f.RecordLeaving(f.Member("y"), start.Add(500*time.Millisecond))
	for at, want := range map[time.Duration]string{600: "y", 1400: "y", 1500: "", 5000: ""} {
		if got := pickID(f, start.Add(at*time.Millisecond)); got != want {
			t.Errorf("after %d ms: %q, want %q", at, got, want)
		}
	}
	if f.HasAlternative("llm", func(string) bool { return false }, start) {
		t.Error("an upstream that leaves counts as another one to go to")
	}
}

// Guards against the end of an upstream that had said that it leaves being taken
// for a crash.
func TestEndOfLeavingOne(t *testing.T) {
	f := New("a1", nil)
	f.Put(llm("x", 1))
	f.RecordLeaving(f.Member("x"), start)
	if gone, ok := f.Remove("x", start); !ok || gone.State != Draining {
		t.Errorf("removed: %+v, %v", gone, ok)
	}
}

// Guards against memory that grows with the upstreams that ever left.
func TestLeavingIsBounded(t *testing.T) {
	f := New("a1", nil)
	for i := range maxLeaving + 10 {
		f.Put(llm(fmt.Sprint("u", i), 1))
		f.RecordLeaving(f.Member(fmt.Sprint("u", i)), start.Add(time.Duration(i)))
	}
	if len(f.leaving) != maxLeaving || !f.leaving.since(llm("u0", 1)).IsZero() {
		t.Errorf("%d runs are remembered", len(f.leaving))
	}
}
