package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/identity"
)

var (
	poisonRequest = request(7)
	soundRequest  = request(8)
	otherRequest  = request(9)
)

// request returns a request of a single caller.
func request(n int) identity.Request {
	return identity.Request{Content: identity.Content(n), Caller: 1}
}

var start = time.Unix(1_700_000_000, 0)

// crash records the end of a run with requests in flight.
func (t *Tracker) crash(r Run, at time.Time, requests ...identity.Request) []Evidence {
	for _, q := range requests {
		t.RecordLost(r, q, at.Add(-time.Millisecond), at)
	}
	return t.RecordEnd(r, End{}, at)
}

func (t *Tracker) refuses(q identity.Request, now time.Time) bool {
	return !t.Restriction(q, now).Until.IsZero()
}

// Guards against a request that crashes one upstream after another, and against
// quarantining other requests that were in flight at one of the crashes.
func TestRepeatedCrash(t *testing.T) {
	var tr Tracker
	tr.crash(Run{ID: "u1"}, start, poisonRequest, soundRequest)
	if tr.refuses(poisonRequest, start.Add(time.Second)) {
		t.Error("refused after one crash")
	}
	if found := tr.RecordSuccess(soundRequest, start); len(found) != 1 || found[0].Grade != Cleared {
		t.Errorf("evidence after a suspect completed: %+v", found)
	}
	tr.crash(Run{ID: "u2"}, start.Add(2*time.Second), poisonRequest, otherRequest)
	v := tr.Restriction(poisonRequest, start.Add(3*time.Second))
	if !v.Until.After(start.Add(20 * time.Second)) {
		t.Errorf("after the second crash: %+v", v)
	}
	for _, q := range []identity.Request{soundRequest, otherRequest} {
		if tr.refuses(q, start.Add(3*time.Second)) {
			t.Errorf("request %v is refused after one crash", q)
		}
	}
	if tr.refuses(poisonRequest, start.Add(time.Minute)) {
		t.Error("the first quarantine does not end")
	}
}

// Guards against a request that is repeated after each quarantine without limit,
// because its earlier crashes have expired by then (issue 19).
func TestSlowlyRepeatedCrash(t *testing.T) {
	for _, pause := range []time.Duration{time.Second, 31 * time.Second, 10 * time.Minute} {
		var tr Tracker
		crashes := 0
		for now := start; now.Before(start.Add(20 * time.Hour)); now = now.Add(pause) {
			tr.Expire(now)
			if tr.refuses(poisonRequest, now) {
				continue
			}
			crashes++
			tr.crash(Run{ID: fmt.Sprint("u", crashes)}, now, poisonRequest)
		}
		if crashes > maxCrashes+1 {
			t.Errorf("%d crashes in 20 hours with a pause of %v between requests", crashes, pause)
		}
	}
}

// Guards against dropping crashes of upstreams that had announced their shutdown, and
// against quarantining a request for long because planned shutdowns cut it off (issue 29).
func TestCrashAfterAnnouncement(t *testing.T) {
	var tr Tracker
	now := start
	wantQuarantine := []time.Duration{0, 0, shortQuarantine, longQuarantine, maxQuarantine}
	for i, want := range wantQuarantine {
		r := Run{ID: fmt.Sprint("u", i)}
		tr.RecordLost(r, poisonRequest, now.Add(-time.Millisecond), now)
		tr.RecordEnd(r, End{Announced: true}, now)
		var got time.Duration
		if until := tr.Restriction(poisonRequest, now).Until; !until.IsZero() {
			got = until.Sub(now)
		}
		if got != want {
			t.Errorf("quarantine after %d announced ends: %v, want %v", i+1, got, want)
		}
		now = now.Add(want + time.Second)
	}
	tr.RecordSuccess(poisonRequest, now)
	if !tr.NoSuspects() {
		t.Error("suspected after it completed")
	}
	r := Run{ID: "late"}
	tr.RecordEnd(r, End{Announced: true}, now.Add(time.Second))
	found := tr.RecordLost(r, soundRequest, now, now.Add(2*time.Second))
	if len(found) != 1 || found[0].Grade != Presumed {
		t.Errorf("evidence of a loss that is noticed after an announced end: %+v", found)
	}
}

// Guards against suspecting a request because upstreams that lost its response, and were
// alive afterwards, ended later; and against clearing it if the upstream was replaced
// (issue 29).
func TestAliveAfterLoss(t *testing.T) {
	for _, c := range []struct {
		end  End
		want int // evidence
	}{
		{End{Announced: true, Sign: Removed}, 0},
		{End{Announced: true, Sign: Refused}, 0},
		{End{Announced: true, Sign: Replaced}, 1},
		{End{Sign: Removed}, 0},
		{End{Sign: Refused}, 0},
		{End{Sign: Replaced}, 1},
	} {
		var tr Tracker
		r := Run{ID: "u"}
		tr.RecordLost(r, soundRequest, start, start)
		tr.RecordAlive(r, start)
		if found := tr.RecordEnd(r, c.end, start.Add(time.Second)); len(found) != c.want {
			t.Errorf("%+v: evidence %+v, want %d", c.end, found, c.want)
		}
		tr.RecordLost(r, otherRequest, start, start.Add(2*time.Second))
		if got := tr.Restriction(otherRequest, start.Add(2*time.Second)).Crashes; got != 1 {
			t.Errorf("%+v: %d crashes of a request that was in flight at the end, want 1", c.end, got)
		}
	}
}

// Guards against quarantining a request after two lost responses because this process was
// suspended until their upstreams had left without an announcement (seed 6 of
// TestVersionSoak), and against never quarantining one whose crashes are detected late
// (issue 29).
func TestEndDetectedLate(t *testing.T) {
	for _, late := range []time.Duration{promptDetection, promptDetection + time.Millisecond} {
		var tr Tracker
		quarantinedAfter := 0
		for i := 1; quarantinedAfter == 0 && i <= 2*maxCrashes; i++ {
			at := start.Add(time.Duration(i) * 3 * time.Second)
			r := Run{ID: fmt.Sprint("u", i)}
			tr.RecordLost(r, poisonRequest, at, at)
			tr.RecordEnd(r, End{}, at.Add(late))
			if tr.refuses(poisonRequest, at.Add(late)) {
				quarantinedAfter = i
			}
		}
		want := quarantineCrashes
		if late > promptDetection {
			want = maxCrashes
		}
		if quarantinedAfter != want {
			t.Errorf("ends detected %v late: quarantined after %d, want %d", late, quarantinedAfter, want)
		}
	}
}

// Guards against several poison requests that are never quarantined because they are
// always in flight together, so that none is the prime suspect (issue 19).
func TestSeveralPoisonRequestsInFlight(t *testing.T) {
	var tr Tracker
	now := start
	for i := range maxCrashes {
		for _, q := range []identity.Request{poisonRequest, otherRequest} {
			if tr.refuses(q, now) {
				t.Fatalf("request refused after %d crashes with equal suspects", i)
			}
		}
		if isolate := tr.Restriction(poisonRequest, now).Isolate; isolate != (i >= quarantineCrashes) {
			t.Errorf("after %d crashes: isolate %v", i, isolate)
		}
		tr.crash(Run{ID: fmt.Sprint("u", i)}, now, poisonRequest, otherRequest, soundRequest)
		tr.RecordSuccess(soundRequest, now)
		now = now.Add(time.Second)
	}
	for q, want := range map[identity.Request]bool{poisonRequest: true, otherRequest: true, soundRequest: false} {
		if tr.refuses(q, now) != want {
			t.Errorf("request %v after the third crash: refused %v", q, !want)
		}
	}
}

// Guards against a sound request in flight at two crashes, which keeps the poison
// request from being the prime suspect until it completes (issue 19).
func TestSoundRequestInTwoCrashes(t *testing.T) {
	var tr Tracker
	tr.crash(Run{ID: "u1"}, start, poisonRequest, soundRequest)
	tr.crash(Run{ID: "u2"}, start, poisonRequest, soundRequest)
	if !tr.Restriction(poisonRequest, start).Isolate || !tr.Restriction(soundRequest, start).Isolate {
		t.Error("two equal suspects of two crashes are not isolated from each other")
	}
	tr.RecordSuccess(soundRequest, start)
	if !tr.refuses(poisonRequest, start) || tr.refuses(soundRequest, start) {
		t.Error("the remaining suspect of both crashes is not refused, or the cleared request is")
	}
}

// Guards against counting one crash twice because the end of the upstream is detected
// in several ways.
func TestCrashCountsOnce(t *testing.T) {
	var tr Tracker
	tr.crash(Run{ID: "u1", StartedUnixMs: 5}, start, poisonRequest)
	tr.RecordEnd(Run{ID: "u1", StartedUnixMs: 5}, End{}, start.Add(time.Second)) // the registration expires
	tr.RecordLost(Run{ID: "u1", StartedUnixMs: 5}, poisonRequest, start.Add(-time.Second), start.Add(2*time.Second))
	if n := tr.Restriction(poisonRequest, start).Crashes; n != 1 {
		t.Errorf("%d crashes", n)
	}
}

// Guards against missing crashes of an upstream that restarts with the same id and an
// unknown start time, or one that is not later than the previous one (issue 19).
func TestRestartWithSameID(t *testing.T) {
	for name, startTimes := range map[string][3]int64{"later": {1, 2, 3}, "unknown": {0, 0, 0}, "clock set back": {30, 20, 10}} {
		var tr Tracker
		now := start
		for _, b := range startTimes {
			r := Run{ID: "u1", StartedUnixMs: b}
			tr.RecordResponse(r, Response{SentAt: now}, now)
			tr.crash(r, now.Add(time.Second), poisonRequest)
			now = now.Add(5 * time.Second)
		}
		if n := tr.Restriction(poisonRequest, now).Crashes; n != len(startTimes) {
			t.Errorf("%s: %d crashes, want %d", name, n, len(startTimes))
		}
	}
}

// Guards against ignoring attempts whose loss is recorded after the end of their
// upstream.
func TestLossRecordedAfterEnd(t *testing.T) {
	var tr Tracker
	r := Run{ID: "u1"}
	tr.RecordEnd(r, End{}, start)
	if found := tr.RecordLost(r, poisonRequest, start.Add(-time.Second), start.Add(3*time.Second)); len(found) != 1 {
		t.Errorf("an attempt sent before the end: %+v", found)
	}
	if found := tr.RecordLost(r, soundRequest, start.Add(time.Second), start.Add(3*time.Second)); len(found) != 0 {
		t.Errorf("an attempt sent after the end: %+v", found)
	}
}

// Guards against evidence from lost responses of an upstream that keeps running, or
// that crashes only long afterwards.
func TestLostResponsesWithoutCrash(t *testing.T) {
	var tr Tracker
	for i := range 5 {
		tr.RecordLost(Run{ID: "u1"}, poisonRequest, start, start.Add(time.Duration(i)*time.Second))
	}
	if !tr.NoSuspects() {
		t.Errorf("suspects without a crash: %+v", tr.Evidence())
	}
	if found := tr.RecordEnd(Run{ID: "u1"}, End{}, start.Add(time.Minute)); len(found) != 0 {
		t.Errorf("suspects of a crash a minute later: %+v", found)
	}
	tr.RecordLost(Run{ID: "u2"}, poisonRequest, start, start.Add(time.Minute))
	tr.RecordResponse(Run{ID: "u2"}, Response{SentAt: start.Add(61 * time.Second)}, start.Add(61*time.Second))
	if found := tr.RecordEnd(Run{ID: "u2"}, End{}, start.Add(62*time.Second)); len(found) != 0 {
		t.Errorf("suspects of a crash after another response: %+v", found)
	}
}

// Guards against suspecting a request that lost an attempt and completed elsewhere
// before the end of the first upstream is detected.
func TestSuccessBeforeEndIsDetected(t *testing.T) {
	var tr Tracker
	tr.RecordLost(Run{ID: "u1"}, soundRequest, start, start)
	tr.RecordSuccess(soundRequest, start.Add(time.Second))
	if found := tr.RecordEnd(Run{ID: "u1"}, End{}, start.Add(3*time.Second)); len(found) != 0 {
		t.Errorf("suspected: %+v", found)
	}
}

// Guards against entries that each observed one crash and never combine them.
func TestEvidenceExchange(t *testing.T) {
	var a, b Tracker
	deliver := func(list []Evidence, to *Tracker) {
		for _, e := range list {
			to.Add(e, start)
		}
	}
	deliver(a.crash(Run{ID: "u1"}, start, poisonRequest), &b)
	// Both entries observed the first crash. It counts once.
	b.crash(Run{ID: "u1"}, start, poisonRequest)
	if b.refuses(poisonRequest, start.Add(time.Second)) {
		t.Error("one crash was counted twice")
	}
	deliver(b.crash(Run{ID: "u2"}, start.Add(3*time.Second), poisonRequest), &a)
	if !a.refuses(poisonRequest, start.Add(4*time.Second)) {
		t.Error("the entry that observed one crash does not refuse the request after the second")
	}
	if a.Digest() != b.Digest() {
		t.Errorf("digests differ: %+v and %+v", a.Evidence(), b.Evidence())
	}
}

// Guards against memory that grows with the number of crashes over time.
func TestEvidenceSetIsBounded(t *testing.T) {
	var tr Tracker
	tr.crash(Run{ID: "a"}, start, poisonRequest)
	tr.crash(Run{ID: "b"}, start, poisonRequest)
	for i := range maxRequests + 100 {
		tr.crash(Run{ID: fmt.Sprint("u", i)}, start.Add(time.Second), request(100+i))
	}
	if n := len(tr.requests); n > maxRequests {
		t.Errorf("%d requests are kept", n)
	}
	if tr.Restriction(poisonRequest, start).Crashes != 2 {
		t.Error("a request with two crashes was evicted before requests with one")
	}
	tr.Expire(start.Add(evidenceTTL + time.Second))
	if len(tr.requests) != 0 || len(tr.byRun) != 0 || tr.Digest() != 0 || !tr.NoSuspects() {
		t.Errorf("%d requests, %d crashes, digest %x left", len(tr.requests), len(tr.byRun), tr.Digest())
	}
}

// Guards against crashes that are never counted because the instance is unreachable
// while the store is unavailable (issue 19), and against refusing sound requests
// because the entry is cut off from the upstreams.
func TestUnreachableUpstream(t *testing.T) {
	const pause = time.Second
	now := start
	lose := func(tr *Tracker, id string) {
		tr.RecordLost(Run{ID: id}, poisonRequest, now, now)
		tr.RecordUnreachable(Run{ID: id})
		now = now.Add(pause)
	}
	respond := func(tr *Tracker, id string) []Evidence {
		now = now.Add(pause)
		return tr.RecordResponse(Run{ID: id}, Response{SentAt: now}, now)
	}
	var cutOff, partlyCutOff, unreachable Tracker
	for i := range maxCrashes {
		lose(&cutOff, fmt.Sprint("u", i))
		lose(&unreachable, fmt.Sprint("u", i))
		if found := respond(&unreachable, "other"); len(found) != 1 || found[0].Grade != Presumed {
			t.Fatalf("evidence while another upstream responds: %+v", found)
		}
		if refused := unreachable.refuses(poisonRequest, now); refused != (i+1 == maxCrashes) {
			t.Errorf("after %d presumed crashes: refused %v", i+1, refused)
		}
	}
	if !cutOff.NoSuspects() {
		t.Errorf("evidence at an entry that gets no response from any upstream: %+v", cutOff.Evidence())
	}
	for i := range 2 {
		lose(&partlyCutOff, fmt.Sprint("u", i))
	}
	respond(&partlyCutOff, "other")
	for i := range 2 {
		if found := respond(&partlyCutOff, fmt.Sprint("u", i)); len(found) != 1 || found[0].Grade != Cleared {
			t.Errorf("evidence after the upstream responds again: %+v", found)
		}
	}
	if !partlyCutOff.NoSuspects() {
		t.Errorf("suspects although the upstreams are running: %+v", partlyCutOff.Evidence())
	}
	lose(&partlyCutOff, "u0")
	if found := partlyCutOff.RecordEnd(Run{ID: "u0"}, End{}, now); len(found) != 1 || found[0].Grade != Confirmed {
		t.Errorf("evidence of a crash after a wrongly presumed one: %+v", found)
	}
}

// BenchmarkResponse measures the cost of recording a response while many lost attempts
// are kept.
func BenchmarkResponse(b *testing.B) {
	var tr Tracker
	for i := range maxLost {
		tr.RecordLost(Run{ID: fmt.Sprint("u", i%100)}, request(100+i), start, start)
	}
	r := Run{ID: "responding"}
	for b.Loop() {
		tr.RecordResponse(r, Response{SentAt: start}, start)
		tr.RecordSuccess(request(1), start)
	}
}
