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

func llm(id string, startedUnixMs int64) Upstream {
	return Upstream{ID: id, Service: "llm", Address: id + ":1", FailureDomain: "a1", Slots: 8, StartedUnixMs: startedUnixMs}
}

// Guards against attempts at an upstream that announced its shutdown in a response,
// because the store, a feed or a new listing reports the same run as ready.
func TestLeavingOutlivesTheRegistration(t *testing.T) {
	updates := map[string]func(f *Fleet){
		"stale event":      func(f *Fleet) { f.Put(llm("x", 1), start) },
		"list":             func(f *Fleet) { f.Replace([]Upstream{llm("x", 1), llm("y", 1)}, start) },
		"expired and back": func(f *Fleet) { f.Remove("x", start); f.Put(llm("x", 1), start) },
		"another address":  func(f *Fleet) { u := llm("x", 1); u.Address = "z:1"; f.Put(u, start) },
		"missing and back": func(f *Fleet) {
			f.KeepMissingUntil(start.Add(time.Second))
			f.Remove("x", start)
			f.Put(llm("x", 1), start)
		},
	}
	for name, apply := range updates {
		f := New("a1", nil, start)
		f.Put(llm("x", 1), start)
		f.Put(llm("y", 1), start)
		if !f.RecordLeaving(f.Member("x"), start) || f.RecordLeaving(f.Member("x"), start) {
			t.Errorf("%s: want exactly the first announcement to be new", name)
		}
		apply(f)
		for i := range 20 {
			if got := pickID(f, start.Add(time.Duration(i)*time.Second)); got != "y" {
				t.Errorf("%s: picked %q", name, got)
			}
		}
	}
}

// Guards against an upstream that gets no attempts although it restarted, or because an
// earlier one with the same id or address was leaving.
func TestLeavingEndsWithTheRun(t *testing.T) {
	f := New("a1", nil, start)
	f.Put(llm("x", 1), start)
	old := f.Member("x")
	f.RecordLeaving(old, start)
	f.Put(llm("x", 2), start)
	if got := pickID(f, start); got != "x" {
		t.Errorf("picked %q, want the new run", got)
	}
	if f.RecordLeaving(old, start) {
		t.Error("a late response of the old run counts as a new announcement")
	}
	if got := pickID(f, start); got != "x" {
		t.Errorf("picked %q after a late response of the old run", got)
	}
	other := llm("other", 1)
	other.Address = "x:1"
	f.Replace([]Upstream{other}, start)
	if got := pickID(f, start); got != "other" {
		t.Errorf("picked %q, want the other upstream at the same address", got)
	}
}

// Guards against refusing requests while all upstreams of a service are leaving and one
// could still serve them, and against attempts after the grace period.
func TestAllUpstreamsLeaving(t *testing.T) {
	f := New("a1", nil, start)
	f.SetLeavingGrace(time.Second)
	f.Put(llm("x", 1), start)
	f.Put(llm("y", 1), start)
	f.RecordLeaving(f.Member("x"), start)
	f.RecordLeaving(f.Member("y"), start.Add(500*time.Millisecond))
	for at, want := range map[time.Duration]string{600: "y", 1400: "y", 1500: "", 5000: ""} {
		if got := pickID(f, start.Add(at*time.Millisecond)); got != want {
			t.Errorf("after %d ms: %q, want %q", at, got, want)
		}
	}
	if f.HasAlternative(Request{Service: "llm"}, start) {
		t.Error("a leaving upstream counts as an alternative")
	}
}

// Guards against treating the end of an upstream that announced its shutdown as a
// crash.
func TestRemoveLeavingUpstream(t *testing.T) {
	f := New("a1", nil, start)
	f.Put(llm("x", 1), start)
	f.RecordLeaving(f.Member("x"), start)
	if gone, ok := f.Remove("x", start); !ok || gone.State != Draining {
		t.Errorf("removed %+v, %v, want a draining upstream", gone, ok)
	}
}

// Guards against memory that grows with the number of upstreams that have left.
func TestLeavingIsBounded(t *testing.T) {
	f := New("a1", nil, start)
	for i := range maxLeaving + 10 {
		f.Put(llm(fmt.Sprint("u", i), 1), start)
		f.RecordLeaving(f.Member(fmt.Sprint("u", i)), start.Add(time.Duration(i)))
	}
	if len(f.leavingRuns) != maxLeaving || !f.leavingRuns.since(llm("u0", 1)).IsZero() {
		t.Errorf("%d runs are kept", len(f.leavingRuns))
	}
}
