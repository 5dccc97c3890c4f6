package poison

import (
	"testing"
	"time"
)

const (
	deadly   = 7
	innocent = 8
	other    = 9
)

var start = time.Unix(1_700_000_000, 0)

func crash(t *Tracker, id string, at time.Time, fingerprints ...uint64) {
	for _, fp := range fingerprints {
		t.Broke(Run{id, 1}, fp, at)
	}
	t.Crashed(Run{id, 1})
	t.Settle(at.Add(100 * time.Millisecond))
}

// Guards against a request that crashes one upstream after the other, and
// against others that are refused because they were on board.
func TestRepeatedCrash(t *testing.T) {
	var tr Tracker
	crash(&tr, "u1", start, deadly, innocent)
	if _, refused := tr.Refused(deadly, start.Add(time.Second)); refused {
		t.Error("refused after one crash")
	}
	if e, ok := tr.Succeeded(innocent); !ok || !e.Released {
		t.Errorf("a suspect that ran to its end: %+v, %v", e, ok)
	}
	crash(&tr, "u2", start.Add(2*time.Second), deadly, other)
	until, refused := tr.Refused(deadly, start.Add(3*time.Second))
	if !refused || !until.After(start.Add(20*time.Second)) {
		t.Errorf("after the second crash: refused %v until %v", refused, until)
	}
	for _, fp := range []uint64{innocent, other} {
		if _, refused := tr.Refused(fp, start.Add(3*time.Second)); refused {
			t.Errorf("%d is refused, which was on board once", fp)
		}
	}
	if _, refused := tr.Refused(deadly, start.Add(time.Minute)); refused || !tr.Clean() {
		t.Error("the quarantine does not end")
	}
}

// Guards against answers that are lost by upstreams that live on, and against
// an end of an upstream long after.
func TestLostAnswersAreNoCrash(t *testing.T) {
	var tr Tracker
	for i := range 5 {
		tr.Broke(Run{"u1", 1}, deadly, start.Add(time.Duration(i)*time.Second))
	}
	if changed, _ := tr.Settle(start.Add(5 * time.Second)); len(changed) != 0 || !tr.Clean() {
		t.Errorf("suspects without a crash: %+v", changed)
	}
	tr.Crashed(Run{"u1", 1})
	if changed, _ := tr.Settle(start.Add(time.Minute)); len(changed) != 0 {
		t.Errorf("suspects of a crash a minute later: %+v", changed)
	}
}

// Guards against entries that each saw one crash and never agree.
func TestEntriesTellEachOther(t *testing.T) {
	var a, b Tracker
	a.Broke(Run{"u1", 1}, deadly, start)
	a.Crashed(Run{"u1", 1})
	found, _ := a.Settle(start)
	for _, e := range found {
		b.Merge(e, start)
	}
	// Both saw the first crash; it counts once.
	crash(&b, "u1", start, deadly)
	if _, refused := b.Refused(deadly, start.Add(time.Second)); refused {
		t.Error("one crash was counted twice")
	}
	b.Broke(Run{"u2", 1}, deadly, start.Add(3*time.Second))
	b.Crashed(Run{"u2", 1})
	found, _ = b.Settle(start.Add(3 * time.Second))
	for _, e := range found {
		a.Merge(e, start.Add(3*time.Second))
	}
	if _, refused := a.Refused(deadly, start.Add(4*time.Second)); !refused {
		t.Error("the entry that saw one crash lets the request run again")
	}
}
