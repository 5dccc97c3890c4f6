package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/identity"
)

const sameContent identity.Content = 21

// from returns the request with sameContent of a caller.
func from(caller identity.Caller) identity.Request {
	return identity.Request{Content: sameContent, Caller: caller}
}

func single(n int) identity.Caller { return identity.SingleCaller([]byte(fmt.Sprint(n))) }

var shared = identity.SharedCaller("10.0.0.1")

// Guards against a request that crashes upstreams and is cleared by the success of another
// caller's equal one, and against refusing that caller (issue 35).
func TestSuccessOfAnotherCaller(t *testing.T) {
	var tr Tracker
	now := start
	for i := range maxCrashes {
		tr.crash(Run{ID: fmt.Sprint("u", i)}, now, from(single(1)), from(single(2)))
		tr.RecordSuccess(from(single(2)), now.Add(time.Millisecond))
		now = now.Add(time.Second)
	}
	if !tr.refuses(from(single(1)), now) {
		t.Error("the caller whose request crashes upstreams is not refused")
	}
	for _, c := range []identity.Caller{single(2), single(3), shared} {
		if tr.refuses(from(c), now) {
			t.Errorf("another caller is refused: %v", c)
		}
	}
}

// Guards against a request that comes with another caller each time, beside equal harmless
// ones or not, and against refusing callers that completed the same (issue 35).
func TestCallersThatChange(t *testing.T) {
	for _, harmless := range []bool{false, true} {
		var tr Tracker
		now, crashes := start, 0
		for i := range 14 {
			q := from(single(100 + i))
			if !tr.refuses(q, now) {
				crashes++
				tr.crash(Run{ID: fmt.Sprint("u", i)}, now, q)
			}
			if harmless {
				tr.RecordSuccess(from(single(1)), now.Add(time.Millisecond))
				if tr.refuses(from(single(1)), now.Add(time.Millisecond)) {
					t.Error("a caller that completes the request is refused")
				}
			}
			now = now.Add(900 * time.Millisecond)
		}
		if crashes > maxCrashes {
			t.Errorf("harmless requests %v: %d crashes, want at most %d", harmless, crashes, maxCrashes)
		}
	}
}

// Guards against a request that is cleared by an equal harmless one from behind the same
// address (issue 35), and against refusing either for long.
func TestCallersBehindOneAddress(t *testing.T) {
	var tr Tracker
	now, crashes, refusedUntil := start, 0, time.Time{}
	for i := range 14 {
		v := tr.Restriction(from(shared), now)
		if v.Until.IsZero() {
			crashes++
			tr.crash(Run{ID: fmt.Sprint("u", i)}, now, from(shared))
			tr.RecordSuccess(from(shared), now.Add(time.Millisecond))
		}
		refusedUntil = v.Until
		now = now.Add(900 * time.Millisecond)
	}
	if crashes > maxCrashes {
		t.Errorf("%d crashes, want at most %d", crashes, maxCrashes)
	}
	if left := refusedUntil.Sub(now); left > shortQuarantine {
		t.Errorf("refused for %v more, want at most %v", left, shortQuarantine)
	}
	now = now.Add(shortQuarantine)
	tr.RecordSuccess(from(shared), now)
	if !tr.NoSuspects() {
		t.Error("still suspected after it completed long after the last crash")
	}
}

// Guards against refusing a request that many callers send because upstreams on which they
// all ran ended at once (issue 35).
func TestCommonRequestWhenManyUpstreamsEnd(t *testing.T) {
	var tr Tracker
	for i := range 7 {
		tr.crash(Run{ID: fmt.Sprint("u", i)}, start.Add(time.Duration(i)*10*time.Millisecond), from(shared), from(single(i)))
	}
	now := start.Add(100 * time.Millisecond)
	for _, c := range []identity.Caller{shared, single(100)} {
		tr.RecordSuccess(from(c), now)
	}
	for _, c := range []identity.Caller{shared, single(1), single(100), single(101)} {
		if tr.refuses(from(c), now) {
			t.Errorf("refused: %v", c)
		}
	}
}

// Guards against refusing all callers of a common request because of crashes one after the
// other, which many of them survived (issue 35).
func TestCommonRequestOfManyCallers(t *testing.T) {
	var tr Tracker
	now := start
	for i := range 6 {
		tr.crash(Run{ID: fmt.Sprint("u", i)}, now, from(single(i)))
		for j := range maxCompletedCallers {
			tr.RecordSuccess(from(single(1000+j)), now)
		}
		now = now.Add(time.Second)
	}
	if tr.refuses(from(single(5000)), now) {
		t.Error("a new caller of a common request is refused")
	}
}

// Guards against evidence of completed requests that is kept for good, and against sets
// that differ since one lacks it (issue 35).
func TestCompletedRequestsExpire(t *testing.T) {
	var tr, other Tracker
	found := tr.crash(Run{ID: "u"}, start, from(single(1)))
	found = append(found, tr.RecordSuccess(from(single(2)), start)...)
	if again := tr.RecordSuccess(from(single(2)), start); len(again) != 0 {
		t.Errorf("the same success is told again: %+v", again)
	}
	for _, e := range found {
		other.Add(e, start)
	}
	if other.Digest() != tr.Digest() {
		t.Error("the sets differ")
	}
	tr.Expire(start.Add(clearedTTL))
	if len(tr.requests) != 1 || len(tr.byContent[sameContent]) != 1 {
		t.Errorf("%d requests, %d of the content, want 1", len(tr.requests), len(tr.byContent[sameContent]))
	}
	tr.Expire(start.Add(evidenceTTL))
	if len(tr.byContent) != 0 || tr.Digest() != 0 {
		t.Errorf("left: %v, digest %x", tr.byContent, tr.Digest())
	}
}

// Guards against a verdict that depends on the order of a map: of two requests with the same
// content in flight at one crash, one has completed since.
func TestCrashBesideCompletedEqualRequest(t *testing.T) {
	for range 64 {
		var tr Tracker
		now := start
		for i := range maxCrashes {
			guilty, harmless := from(single(100+i)), from(single(200+i))
			tr.crash(Run{ID: fmt.Sprint("u", i)}, now, guilty, harmless)
			tr.RecordSuccess(harmless, now.Add(time.Millisecond))
			now = now.Add(time.Second)
		}
		if !tr.refuses(from(single(300)), now) {
			t.Fatal("a new caller is not refused after three crashes beside equal requests that completed")
		}
	}
}

// Guards against taking a request that was cleared because its upstream still runs for one
// that completed: no equal request of another caller needs to be spared then.
func TestClearedIsNotCompleted(t *testing.T) {
	var tr Tracker
	r, q := Run{ID: "v"}, from(shared)
	tr.RecordLost(r, q, start, start)
	tr.RecordUnreachable(r)
	at := start.Add(100 * time.Millisecond)
	if found := tr.RecordResponse(Run{ID: "other"}, Response{SentAt: at}, at); len(found) != 1 || found[0].Grade != Presumed {
		t.Fatalf("evidence while the upstream is unreachable: %+v", found)
	}
	at = start.Add(200 * time.Millisecond)
	if found := tr.RecordResponse(r, Response{SentAt: at}, at); len(found) != 1 || found[0].Grade != Cleared {
		t.Fatalf("evidence after a response: %+v", found)
	}
	for i := range quarantineCrashes {
		tr.crash(Run{ID: fmt.Sprint("u", i)}, start.Add(time.Duration(i+1)*time.Second), q)
	}
	if now := start.Add(3 * time.Second); !tr.refuses(q, now) {
		t.Errorf("not refused after %d crashes: %+v", quarantineCrashes, tr.Restriction(q, now))
	}
}

// Guards against evidence without bound about a content that many callers complete: it
// would crowd out other evidence, and each success would be told to all processes.
func TestCompletionsOfCommonRequestAreBounded(t *testing.T) {
	var tr Tracker
	tr.crash(Run{ID: "u"}, start, from(single(1)))
	told := 0
	for i := range 10 * maxCompletedCallers {
		address := identity.SharedCaller(fmt.Sprint("10.0.0.", i))
		told += len(tr.RecordSuccess(from(single(1000+i)), start)) + len(tr.RecordSuccess(from(address), start))
	}
	if told > maxCompletedCallers {
		t.Errorf("%d successes are told, want at most %d", told, maxCompletedCallers)
	}
}

// Guards against a request behind a shared address that runs without limit, a few times after
// each quarantine, because equal harmless requests clear it meanwhile.
func TestCallersBehindOneAddressForLong(t *testing.T) {
	for _, retry := range []time.Duration{400 * time.Millisecond, 5 * time.Second} {
		var tr Tracker
		var crashes []time.Time
		refused, sent := 0, 0
		for now := start; now.Before(start.Add(5 * time.Minute)); now = now.Add(100 * time.Millisecond) {
			if now.Sub(start)%retry == 0 && !tr.refuses(from(shared), now) {
				tr.crash(Run{ID: fmt.Sprint("u", len(crashes))}, now, from(shared))
				crashes = append(crashes, now)
			}
			sent++
			if tr.refuses(from(shared), now) {
				refused++
			} else {
				tr.RecordSuccess(from(shared), now)
			}
		}
		late := 0
		for _, at := range crashes {
			if len(crashes) >= maxCrashes && at.After(crashes[maxCrashes-1].Add(4*time.Second)) {
				late++
			}
		}
		t.Logf("retry after %v: %d crashes, %d late, %d of %d harmless requests refused", retry, len(crashes), late, refused, sent)
		if late > 3 {
			t.Errorf("retry after %v: %d crashes later than 4 s after the third, want at most 3", retry, late)
		}
	}
}

// Guards against refusing callers behind one address for up to a day because it is forgotten
// that some of them complete the request, while others crash upstreams with it.
func TestCompletedBehindOneAddressIsKept(t *testing.T) {
	var tr Tracker
	now, crashes := start, 0
	for ; now.Before(start.Add(20 * time.Minute)); now = now.Add(time.Second) {
		tr.Expire(now)
		if !tr.refuses(from(shared), now) {
			tr.crash(Run{ID: fmt.Sprint("u", crashes)}, now, from(shared))
			crashes++
		}
		if now.Equal(start) {
			tr.RecordSuccess(from(shared), now)
		}
	}
	if left := tr.Restriction(from(shared), now).Until.Sub(now); left > longQuarantine {
		t.Errorf("refused for %v more after %d crashes, want at most %v", left, crashes, longQuarantine)
	}
}

// Guards against refusing harmless callers behind one address because they were in flight
// at crashes of a request whose caller is another one each time, and against missing that
// one since they seem to account for its crashes (issue 35; seeds 5, 6 and 50 of
// TestBudgetSoak).
func TestBystandersBehindOneAddress(t *testing.T) {
	const other identity.Content = 22
	for name, content := range map[string]identity.Content{"the same content": sameContent, "another content": other} {
		var tr Tracker
		bystander := identity.Request{Content: content, Caller: shared}
		now, crashes := start, 0
		for i := range 14 {
			if q := from(single(100 + i)); !tr.refuses(q, now) {
				crashes++
				tr.crash(Run{ID: fmt.Sprint("u", i)}, now, q, bystander)
			}
			now = now.Add(100 * time.Millisecond)
			if tr.refuses(bystander, now) {
				t.Errorf("%s: the bystander is refused after %d crashes", name, crashes)
			}
			tr.RecordSuccess(bystander, now)
			now = now.Add(800 * time.Millisecond)
		}
		if crashes > maxCrashes {
			t.Errorf("%s: %d crashes, want at most %d", name, crashes, maxCrashes)
		}
	}
}

// Guards against refusing a program whose requests differ each time, and were in flight at
// crashes of a request whose caller is another one each time (issue 35).
func TestBystanderOfChangingCallers(t *testing.T) {
	var tr Tracker
	bystander := identity.Request{Content: 22, Caller: single(1)}
	now := start
	for i := range quarantineCrashes {
		tr.crash(Run{ID: fmt.Sprint("u", i)}, now, from(single(100+i)), bystander)
		now = now.Add(time.Second)
	}
	if tr.refuses(bystander, now) {
		t.Errorf("refused: %+v", tr.Restriction(bystander, now))
	}
}

// Guards against a request that comes with another caller after every second attempt: each
// caller's two crashes explain each other, so the content is never quarantined (issue 35).
// At most three crashes may come later than 4 s after the third.
func TestCallersThatChangeAfterTwoCrashes(t *testing.T) {
	var tr Tracker
	var crashes []time.Time
	late := 0
	for i := range 20 {
		now := start.Add(time.Duration(i) * 900 * time.Millisecond)
		q := from(single(100 + i/2))
		if tr.refuses(q, now) {
			continue
		}
		tr.crash(Run{ID: fmt.Sprint("u", i)}, now, q)
		crashes = append(crashes, now)
		if len(crashes) > maxCrashes && now.Sub(crashes[maxCrashes-1]) > 4*time.Second {
			late++
		}
	}
	if late > 3 {
		t.Errorf("%d of %d crashes are late, want at most 3", late, len(crashes))
	}
}

// Guards against refusing harmless callers behind one address because they were in flight
// at crashes of several requests, each of which is quarantined after its second crash, so
// that the harmless ones have the most crashes (issue 35; seeds 45 and 50 of
// TestBudgetSoak).
func TestBystanderOfSeveralRequests(t *testing.T) {
	var tr Tracker
	bystander := identity.Request{Content: 50, Caller: shared}
	now := start
	for i := range 8 {
		q := request(100 + i/2)
		tr.crash(Run{ID: fmt.Sprint("u", i)}, now, q, bystander)
		now = now.Add(100 * time.Millisecond)
		tr.RecordSuccess(bystander, now)
		if tr.refuses(bystander, now) {
			t.Errorf("refused after %d crashes of others: %+v", i+1, tr.Restriction(bystander, now))
		}
		now = now.Add(600 * time.Millisecond)
	}
	for i := range 4 {
		if !tr.refuses(request(100+i), now) {
			t.Errorf("request %d is not refused", i)
		}
	}
}
