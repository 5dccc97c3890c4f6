package quarantine

import (
	"testing"
	"time"
)

var (
	t0    = time.Unix(1000, 0)
	until = t0.Add(time.Hour)
)

func crashCount(l *List, fp uint64) int {
	for _, e := range l.Entries() {
		if e.Fingerprint == fp {
			return e.Count
		}
	}
	return 0
}

// Guards against the quarantine of a request that was not the only suspect in the
// second crash, or that was running in one crash only.
func TestSecondCrashDecides(t *testing.T) {
	var l List
	l.MarkSuspect(1, "m1", until) // known from a broken attempt before the report
	l.RecordCrash("m1", 1, []uint64{1, 2, 3}, t0, until)
	l.RecordCrash("m1", 1, []uint64{1, 2, 3}, t0, until) // reported again
	for fp := uint64(1); fp <= 3; fp++ {
		if got := crashCount(&l, fp); got != CountSuspect {
			t.Errorf("after one crash, %d has count %d", fp, got)
		}
	}
	l.RecordCrash("m2", 1, []uint64{1, 2}, t0, until)
	if crashCount(&l, 1) != CountSuspect || crashCount(&l, 2) != CountSuspect {
		t.Error("one of two suspects was quarantined after a crash")
	}
	l.MarkSuspect(9, "m3", until) // runs beside the suspect
	l.RecordCrash("m3", 1, []uint64{1, 9, 10}, t0, until)
	if crashCount(&l, 1) != CountQuarantined || crashCount(&l, 9) != 0 || crashCount(&l, 10) != 0 {
		t.Errorf("after the second crash: %+v", l.Entries())
	}
	if l.Clear(1) || !l.Clear(2) {
		t.Error("a successful run must clear a suspicion but not a quarantine")
	}
}

// Guards against counting one crash twice because a peer reports its suspect
// before the sidecar's crash report arrives.
func TestCrashReportedByPeerCountsOnce(t *testing.T) {
	var l List
	l.Merge(Entry{Fingerprint: 1, Count: CountSuspect, Until: until}, t0)
	l.RecordCrash("m1", 1, []uint64{1}, t0.Add(time.Second), until)
	if got := crashCount(&l, 1); got != CountSuspect {
		t.Errorf("count %d after one crash", got)
	}
	l.RecordCrash("m2", 1, []uint64{1}, t0.Add(2*time.Second), until)
	if got := crashCount(&l, 1); got != CountQuarantined {
		t.Errorf("count %d after two crashes", got)
	}
}

// Guards against counting one crash twice when the crash report arrives long after
// the messages of peers, which come in any order.
func TestIdentifiedCrashCountsOnceAtAnyTime(t *testing.T) {
	broken := Entry{Fingerprint: 1, Count: CountSuspect, Until: until, Upstream: "m1"}
	named := Entry{Fingerprint: 1, Count: CountSuspect, Until: t0.Add(time.Minute), Upstream: "m1", Incarnation: 7}
	for name, messages := range map[string][]Entry{
		"broken": {broken}, "named": {named}, "broken, named": {broken, named}, "named, broken": {named, broken},
	} {
		var l List
		for _, e := range messages {
			l.Merge(e, t0)
		}
		l.RecordCrash("m1", 7, []uint64{1}, t0.Add(time.Minute), until)
		if got := crashCount(&l, 1); got != CountSuspect {
			t.Errorf("%s: count %d after one crash", name, got)
		}
		l.RecordCrash("m1", 8, []uint64{1}, t0.Add(time.Minute), until)
		if got := crashCount(&l, 1); got != CountQuarantined {
			t.Errorf("%s: count %d after two crashes", name, got)
		}
	}
}

// Guards against a quarantine that ends because a peer clears the earlier
// suspicion, and against entries that don't expire.
func TestReleaseAndExpiry(t *testing.T) {
	var l List
	l.Merge(Entry{Fingerprint: 1, Count: CountQuarantined, Until: until}, t0)
	l.Merge(Entry{Fingerprint: 1, Count: CountSuspect, Released: true}, t0)
	if _, ok := l.QuarantinedUntil(1); !ok {
		t.Error("the release of a suspicion ended a quarantine")
	}
	l.Merge(Entry{Fingerprint: 1, Released: true}, t0)
	if _, ok := l.QuarantinedUntil(1); ok {
		t.Error("the release of the quarantine had no effect")
	}
	l.Merge(Entry{Fingerprint: 2, Count: CountQuarantined, Until: until}, t0)
	l.Expire(until)
	if len(l.Entries()) != 0 || !l.NextExpiry().IsZero() {
		t.Errorf("entries after their expiry: %+v", l.Entries())
	}
}
