package poison

import (
	"fmt"
	"testing"
	"time"
)

const (
	deadly   = 7
	innocent = 8
	other    = 9
)

var start = time.Unix(1_700_000_000, 0)

// crash lets a run of an upstream end with requests on board.
func (t *Tracker) crash(r Run, at time.Time, fingerprints ...uint64) []Evidence {
	for _, fp := range fingerprints {
		t.RecordLost(r, fp, at.Add(-time.Millisecond), at)
	}
	return t.RecordEnd(r, at)
}

func (t *Tracker) refuses(fp uint64, now time.Time) bool {
	return !t.Restriction(fp, now).Until.IsZero()
}

// Guards against a request that crashes one upstream after the other, and
// against others that are refused because they were on board.
func TestRepeatedCrash(t *testing.T) {
	var tr Tracker
	tr.crash(Run{ID: "u1"}, start, deadly, innocent)
	if tr.refuses(deadly, start.Add(time.Second)) {
		t.Error("refused after one crash")
	}
	if found := tr.RecordSuccess(innocent, start); len(found) != 1 || found[0].Grade != Cleared {
		t.Errorf("a suspect that ran to its end: %+v", found)
	}
	tr.crash(Run{ID: "u2"}, start.Add(2*time.Second), deadly, other)
	v := tr.Restriction(deadly, start.Add(3*time.Second))
	if !v.Until.After(start.Add(20 * time.Second)) {
		t.Errorf("after the second crash: %+v", v)
	}
	for _, fp := range []uint64{innocent, other} {
		if tr.refuses(fp, start.Add(3*time.Second)) {
			t.Errorf("%d is refused, which was on board once", fp)
		}
	}
	if tr.refuses(deadly, start.Add(time.Minute)) {
		t.Error("the first quarantine does not end")
	}
}

// Guards against a request that comes again slowly, each time after its
// quarantine has ended and its crashes are forgotten (issue 19).
func TestSlowlyRepeatedCrash(t *testing.T) {
	for _, pause := range []time.Duration{time.Second, 31 * time.Second, 10 * time.Minute} {
		var tr Tracker
		crashes := 0
		for now := start; now.Before(start.Add(20 * time.Hour)); now = now.Add(pause) {
			tr.Expire(now)
			if tr.refuses(deadly, now) {
				continue
			}
			crashes++
			tr.crash(Run{ID: fmt.Sprint("u", crashes)}, now, deadly)
		}
		if crashes > maxCrashes+1 {
			t.Errorf("%d upstreams ended in 20 hours at a pause of %v", crashes, pause)
		}
	}
}

// Guards against several such requests that are always on board together: none is
// the only suspect (issue 19).
func TestSeveralOnBoard(t *testing.T) {
	var tr Tracker
	now := start
	for i := range maxCrashes {
		for _, fp := range []uint64{deadly, other} {
			if tr.refuses(fp, now) {
				t.Fatalf("refused after %d crashes that both explain", i)
			}
		}
		if alone := tr.Restriction(deadly, now).Isolate; alone != (i >= convictingCrashes) {
			t.Errorf("after %d crashes: alone %v", i, alone)
		}
		tr.crash(Run{ID: fmt.Sprint("u", i)}, now, deadly, other, innocent)
		tr.RecordSuccess(innocent, now)
		now = now.Add(time.Second)
	}
	for fp, want := range map[uint64]bool{deadly: true, other: true, innocent: false} {
		if tr.refuses(fp, now) != want {
			t.Errorf("%d after the third crash: refused %v", fp, !want)
		}
	}
}

// Guards against a sound request that was on board twice: it hides the one that
// crashes upstreams until it has run to its end (issue 19).
func TestSoundOneOnBoardTwice(t *testing.T) {
	var tr Tracker
	tr.crash(Run{ID: "u1"}, start, deadly, innocent)
	tr.crash(Run{ID: "u2"}, start, deadly, innocent)
	if !tr.Restriction(deadly, start).Isolate || !tr.Restriction(innocent, start).Isolate {
		t.Error("two requests that both explain two crashes may share an upstream")
	}
	tr.RecordSuccess(innocent, start)
	if !tr.refuses(deadly, start) || tr.refuses(innocent, start) {
		t.Error("the request that is left to explain both crashes is not refused, or the other one is")
	}
}

// Guards against one crash that counts twice, because its end is noticed in
// several ways.
func TestCrashCountsOnce(t *testing.T) {
	var tr Tracker
	tr.crash(Run{ID: "u1", StartedUnixMs: 5}, start, deadly)
	tr.RecordEnd(Run{ID: "u1", StartedUnixMs: 5}, start.Add(time.Second)) // the registration lapses
	tr.RecordLost(Run{ID: "u1", StartedUnixMs: 5}, deadly, start.Add(-time.Second), start.Add(2*time.Second))
	if n := tr.Restriction(deadly, start).Crashes; n != 1 {
		t.Errorf("%d crashes", n)
	}
}

// Guards against crashes of upstreams that start again under their id, with a
// start that is not known or not later than the one before (issue 19).
func TestSameUpstreamAgain(t *testing.T) {
	for name, born := range map[string][3]int64{"later": {1, 2, 3}, "not known": {0, 0, 0}, "clock set back": {30, 20, 10}} {
		var tr Tracker
		now := start
		for _, b := range born {
			r := Run{ID: "u1", StartedUnixMs: b}
			tr.RecordResponse(r, now, now)
			tr.crash(r, now.Add(time.Second), deadly)
			now = now.Add(5 * time.Second)
		}
		if n := tr.Restriction(deadly, now).Crashes; n != len(born) {
			t.Errorf("%s: %d crashes, want %d", name, n, len(born))
		}
	}
}

// Guards against losses that are noticed after the end of their upstream.
func TestLateLoss(t *testing.T) {
	var tr Tracker
	r := Run{ID: "u1"}
	tr.RecordEnd(r, start)
	if found := tr.RecordLost(r, deadly, start.Add(-time.Second), start.Add(3*time.Second)); len(found) != 1 {
		t.Errorf("an attempt that began before the end: %+v", found)
	}
	if found := tr.RecordLost(r, innocent, start.Add(time.Second), start.Add(3*time.Second)); len(found) != 0 {
		t.Errorf("an attempt that began after the end: %+v", found)
	}
}

// Guards against answers that are lost by upstreams that live on, and against
// an end of an upstream long after.
func TestLostAnswersAreNoCrash(t *testing.T) {
	var tr Tracker
	for i := range 5 {
		tr.RecordLost(Run{ID: "u1"}, deadly, start, start.Add(time.Duration(i)*time.Second))
	}
	if !tr.NoSuspects() {
		t.Errorf("suspects without a crash: %+v", tr.Evidence())
	}
	if found := tr.RecordEnd(Run{ID: "u1"}, start.Add(time.Minute)); len(found) != 0 {
		t.Errorf("suspects of a crash a minute later: %+v", found)
	}
	tr.RecordLost(Run{ID: "u2"}, deadly, start, start.Add(time.Minute))
	tr.RecordResponse(Run{ID: "u2"}, start.Add(61*time.Second), start.Add(61*time.Second))
	if found := tr.RecordEnd(Run{ID: "u2"}, start.Add(62*time.Second)); len(found) != 0 {
		t.Errorf("suspects of a crash after another answer: %+v", found)
	}
}

// Guards against a request that is suspected because its upstreams end after it
// has run elsewhere.
func TestSuccessBeforeTheEndIsKnown(t *testing.T) {
	var tr Tracker
	tr.RecordLost(Run{ID: "u1"}, innocent, start, start)
	tr.RecordSuccess(innocent, start.Add(time.Second))
	if found := tr.RecordEnd(Run{ID: "u1"}, start.Add(3*time.Second)); len(found) != 0 {
		t.Errorf("suspected: %+v", found)
	}
}

// Guards against entries that each saw one crash and never agree.
func TestEntriesTellEachOther(t *testing.T) {
	var a, b Tracker
	tell := func(list []Evidence, to *Tracker) {
		for _, e := range list {
			to.Add(e, start)
		}
	}
	tell(a.crash(Run{ID: "u1"}, start, deadly), &b)
	// Both saw the first crash; it counts once.
	b.crash(Run{ID: "u1"}, start, deadly)
	if b.refuses(deadly, start.Add(time.Second)) {
		t.Error("one crash was counted twice")
	}
	tell(b.crash(Run{ID: "u2"}, start.Add(3*time.Second), deadly), &a)
	if !a.refuses(deadly, start.Add(4*time.Second)) {
		t.Error("the entry that saw one crash lets the request run again")
	}
	if a.Digest() != b.Digest() {
		t.Errorf("different digests of %+v and %+v", a.Evidence(), b.Evidence())
	}
}

// Guards against memory that grows with the crashes of a long time.
func TestBookIsBounded(t *testing.T) {
	var tr Tracker
	tr.crash(Run{ID: "a"}, start, deadly)
	tr.crash(Run{ID: "b"}, start, deadly)
	for i := range maxRequests + 100 {
		tr.crash(Run{ID: fmt.Sprint("u", i)}, start.Add(time.Second), uint64(100+i))
	}
	if n := len(tr.requests); n > maxRequests {
		t.Errorf("%d requests are remembered", n)
	}
	if tr.Restriction(deadly, start).Crashes != 2 {
		t.Error("a convicted request was forgotten for the sake of others")
	}
	tr.Expire(start.Add(evidenceTime + time.Second))
	if len(tr.requests) != 0 || len(tr.onBoard) != 0 || tr.Digest() != 0 || !tr.NoSuspects() {
		t.Errorf("%d requests, %d crashes, digest %x left", len(tr.requests), len(tr.onBoard), tr.Digest())
	}
}

// Guards against crashes that nobody counts because the machine is dark and the
// store away (issue 19), and against sound requests that are refused because their
// entry is cut off from their upstreams.
func TestUnreachableUpstream(t *testing.T) {
	const pause = time.Second
	now := start
	lose := func(tr *Tracker, id string) {
		tr.RecordLost(Run{ID: id}, deadly, now, now)
		tr.RecordUnreachable(Run{ID: id})
		now = now.Add(pause)
	}
	answer := func(tr *Tracker, id string) []Evidence {
		now = now.Add(pause)
		return tr.RecordResponse(Run{ID: id}, now, now)
	}
	var cutOff, partly, dark Tracker
	for i := range maxCrashes {
		lose(&cutOff, fmt.Sprint("u", i))
		lose(&dark, fmt.Sprint("u", i))
		if found := answer(&dark, "other"); len(found) != 1 || found[0].Grade != Presumed {
			t.Fatalf("while another upstream answers: %+v", found)
		}
		if refused := dark.refuses(deadly, now); refused != (i+1 == maxCrashes) {
			t.Errorf("after %d presumed crashes: refused %v", i+1, refused)
		}
	}
	if !cutOff.NoSuspects() {
		t.Errorf("an entry that no upstream answers suspects %+v", cutOff.Evidence())
	}
	for i := range 2 {
		lose(&partly, fmt.Sprint("u", i))
	}
	answer(&partly, "other")
	for i := range 2 {
		if found := answer(&partly, fmt.Sprint("u", i)); len(found) != 1 || found[0].Grade != Cleared {
			t.Errorf("when the upstream answers again: %+v", found)
		}
	}
	if !partly.NoSuspects() {
		t.Errorf("suspected although the upstreams live: %+v", partly.Evidence())
	}
	lose(&partly, "u0")
	if found := partly.RecordEnd(Run{ID: "u0"}, now); len(found) != 1 || found[0].Grade != Confirmed {
		t.Errorf("a crash after the false one: %+v", found)
	}
}

// BenchmarkAnswer measures what an answered request costs while many attempts were
// lost.
func BenchmarkAnswer(b *testing.B) {
	var tr Tracker
	for i := range maxLost {
		tr.RecordLost(Run{ID: fmt.Sprint("u", i%100)}, uint64(100+i), start, start)
	}
	r := Run{ID: "answering"}
	for b.Loop() {
		tr.RecordResponse(r, start, start)
		tr.RecordSuccess(1, start)
	}
}
