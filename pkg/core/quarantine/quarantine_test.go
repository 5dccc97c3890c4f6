package quarantine

import (
	"testing"
	"time"
)

var (
	t0    = time.Unix(1000, 0)
	until = t0.Add(time.Hour)
)

func state(l *List, fp uint64) int {
	for _, e := range l.Entries() {
		if e.Fingerprint == fp {
			return e.Count
		}
	}
	return 0
}

// Guards against a quarantine of a request that was not alone on board of the
// second crash, or that was on board of one crash only.
func TestSecondCrashDecides(t *testing.T) {
	var l List
	l.MarkSuspect(1, "m1", until) // known from a broken attempt before the report
	l.RecordCrash("m1", 1, []uint64{1, 2, 3}, t0, until)
	l.RecordCrash("m1", 1, []uint64{1, 2, 3}, t0, until) // reported again
	for fp := uint64(1); fp <= 3; fp++ {
		if got := state(&l, fp); got != CountSuspect {
			t.Errorf("after one crash, %d has count %d", fp, got)
		}
	}
	l.RecordCrash("m2", 1, []uint64{1, 2}, t0, until)
	if state(&l, 1) != CountSuspect || state(&l, 2) != CountSuspect {
		t.Error("two suspects on board, and one was quarantined")
	}
	l.MarkSuspect(9, "m3", until) // runs beside the suspect
	l.RecordCrash("m3", 1, []uint64{1, 9, 10}, t0, until)
	if state(&l, 1) != CountQuarantined || state(&l, 9) != 0 || state(&l, 10) != 0 {
		t.Errorf("after the second crash: %+v", l.Entries())
	}
	if l.Clear(1) || !l.Clear(2) {
		t.Error("a success clears a suspicion, not a quarantine")
	}
}

// Guards against counting one crash twice, because a peer tells of it before
// the report of the sidecar comes.
func TestCrashToldByPeerCountsOnce(t *testing.T) {
	var l List
	l.Merge(Entry{Fingerprint: 1, Count: CountSuspect, Until: until}, t0)
	l.RecordCrash("m1", 1, []uint64{1}, t0.Add(time.Second), until)
	if got := state(&l, 1); got != CountSuspect {
		t.Errorf("count %d after one crash", got)
	}
	l.RecordCrash("m2", 1, []uint64{1}, t0.Add(2*time.Second), until)
	if got := state(&l, 1); got != CountQuarantined {
		t.Errorf("count %d after two crashes", got)
	}
}

// Guards against counting one crash again after a long pause, in which the
// messages of peers and the report arrive in any order.
func TestNamedCrashCountsOnceAtAnyTime(t *testing.T) {
	broken := Entry{Fingerprint: 1, Count: CountSuspect, Until: until, Upstream: "m1"}
	named := Entry{Fingerprint: 1, Count: CountSuspect, Until: t0.Add(time.Minute), Upstream: "m1", Incarnation: 7}
	for name, told := range map[string][]Entry{
		"broken": {broken}, "named": {named}, "broken, named": {broken, named}, "named, broken": {named, broken},
	} {
		var l List
		for _, e := range told {
			l.Merge(e, t0)
		}
		l.RecordCrash("m1", 7, []uint64{1}, t0.Add(time.Minute), until)
		if got := state(&l, 1); got != CountSuspect {
			t.Errorf("%s: count %d after one crash", name, got)
		}
		l.RecordCrash("m1", 8, []uint64{1}, t0.Add(time.Minute), until)
		if got := state(&l, 1); got != CountQuarantined {
			t.Errorf("%s: count %d after two crashes", name, got)
		}
	}
}

// Guards against a suspicion that a peer clears while another peer has
// decided on a quarantine, and against entries that outlive their time.
func TestReleaseAndExpiry(t *testing.T) {
	var l List
	l.Merge(Entry{Fingerprint: 1, Count: CountQuarantined, Until: until}, t0)
	l.Merge(Entry{Fingerprint: 1, Count: CountSuspect, Released: true}, t0)
	if _, ok := l.QuarantinedUntil(1); !ok {
		t.Error("the success of a suspect ended a quarantine")
	}
	l.Merge(Entry{Fingerprint: 1, Released: true}, t0)
	if _, ok := l.QuarantinedUntil(1); ok {
		t.Error("the operator's release had no effect")
	}
	l.Merge(Entry{Fingerprint: 2, Count: CountQuarantined, Until: until}, t0)
	l.Expire(until)
	if len(l.Entries()) != 0 || !l.NextExpiry().IsZero() {
		t.Errorf("entries after their time: %+v", l.Entries())
	}
}
