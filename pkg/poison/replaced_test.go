package poison

import (
	"fmt"
	"testing"
	"time"
)

// Guards against dropping a crash because the new run of an upstream responds before its
// registration is seen, and against suspecting a request although the run that lost it
// responded afterwards (issue 35).
func TestResponseBeforeEndIsKnown(t *testing.T) {
	const lossDelay = 200 * time.Millisecond // from sending an attempt to its loss
	for _, c := range []struct {
		name                string
		abandoned           bool
		connected, response time.Duration // from sending the lost attempt
		sign                Sign
		want                int // evidence
	}{
		{"new connection, replaced", false, time.Second, time.Second, Replaced, 1},
		{"new connection, removed", false, time.Second, time.Second, Removed, 0},
		{"new connection, refused", false, time.Second, time.Second, Refused, 0},
		{"connection from before the attempt, replaced", false, -time.Second, time.Second, Replaced, 0},
		{"connection from before the loss, replaced", false, lossDelay / 2, time.Second, Replaced, 1},
		{"attempt from before the loss, replaced", false, -time.Second, lossDelay / 2, Replaced, 1},
		{"attempt from before the loss, removed", false, -time.Second, lossDelay / 2, Removed, 1},
		{"abandoned, connection from before, replaced", true, -time.Second, time.Second, Replaced, 0},
		{"abandoned, new connection, replaced", true, time.Second, time.Second, Replaced, 1},
		{"abandoned, new connection, removed", true, time.Second, time.Second, Removed, 0},
		{"abandoned, still running, replaced", true, -time.Second, 2 * lossDelay, Replaced, 1},
		{"abandoned, still running, refused", true, -time.Second, 2 * lossDelay, Refused, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var tr Tracker
			r := Run{ID: "u"}
			record := tr.RecordLost
			if c.abandoned {
				record = tr.RecordAbandoned
			}
			record(r, poisonRequest, start, start.Add(lossDelay))
			at := start.Add(c.response)
			tr.RecordResponse(r, Response{ConnectedAt: start.Add(c.connected), SentAt: at}, at.Add(time.Millisecond))
			if found := tr.RecordEnd(r, End{Sign: c.sign}, start.Add(1200*time.Millisecond)); len(found) != c.want {
				t.Errorf("evidence %+v, want %d", found, c.want)
			}
			if tr.lostCount != 0 || tr.spareCount != 0 || len(tr.lostByRequest) != 0 {
				t.Errorf("%d lost attempts, %d discounted, %d requests are left", tr.lostCount, tr.spareCount, len(tr.lostByRequest))
			}
		})
	}
}

// Guards against clearing a request for good because the new run of an upstream that was
// unreachable responds before its registration is seen, and against counting that crash
// twice (issue 35).
func TestResponseOfNewRunAfterPresumedCrash(t *testing.T) {
	var tr Tracker
	r := Run{ID: "u"}
	respond := func(r Run, at time.Time) []Evidence {
		return tr.RecordResponse(r, Response{ConnectedAt: at, SentAt: at}, at)
	}
	tr.RecordLost(r, poisonRequest, start, start)
	tr.RecordUnreachable(r)
	if found := respond(Run{ID: "other"}, start.Add(100*time.Millisecond)); len(found) != 1 || found[0].Grade != Presumed {
		t.Fatalf("evidence while the upstream is unreachable: %+v", found)
	}
	if found := respond(r, start.Add(time.Second)); len(found) != 1 || found[0].Grade != Cleared {
		t.Errorf("evidence after a response: %+v", found)
	}
	if found := tr.RecordEnd(r, End{Sign: Replaced}, start.Add(1200*time.Millisecond)); len(found) != 1 || found[0].Grade != Confirmed {
		t.Errorf("evidence after the upstream was replaced: %+v", found)
	}
	if n := tr.Restriction(poisonRequest, start.Add(1200*time.Millisecond)).Crashes; n != 1 {
		t.Errorf("%d crashes, want 1", n)
	}
}

// Guards against attributing a later loss to connections that were probed before it: the
// upstream may end while it still works on an abandoned request (issue 35).
func TestProbeBeforeAttemptIsOver(t *testing.T) {
	for name, c := range map[string]struct {
		probe time.Duration // after the loss
		want  int           // evidence
	}{
		"before the loss":   {-100 * time.Millisecond, 1},
		"still running":     {AbandonedRunTime / 2, 1},
		"no longer running": {AbandonedRunTime, 0},
	} {
		var tr Tracker
		r := Run{ID: "u"}
		tr.RecordAbandoned(r, poisonRequest, start, start)
		tr.RecordAlive(r, start.Add(c.probe))
		if found := tr.RecordEnd(r, End{Sign: Refused}, start.Add(time.Second)); len(found) != c.want {
			t.Errorf("%s: evidence %+v, want %d", name, found, c.want)
		}
	}
}

// Guards against dropping new lost attempts because many that are discounted are kept
// (issue 35).
func TestDiscountedAttemptsGiveWay(t *testing.T) {
	var tr Tracker
	for i := range maxLost {
		r := Run{ID: fmt.Sprint("u", i%10)}
		tr.RecordLost(r, request(100+i), start, start)
	}
	for i := range 10 {
		tr.RecordAlive(Run{ID: fmt.Sprint("u", i)}, start)
	}
	if found := tr.crash(Run{ID: "v"}, start, poisonRequest); len(found) != 1 {
		t.Errorf("evidence beside many discounted attempts: %+v", found)
	}
	if tr.lostCount > maxLost {
		t.Errorf("%d lost attempts are kept, want at most %d", tr.lostCount, maxLost)
	}
}

// Guards against a crash that does not count because its loss is noticed only after the new
// run of the upstream has responded (issue 35).
func TestLossNoticedAfterNewRunResponds(t *testing.T) {
	for name, record := range map[string]func(*Tracker, Run, time.Time) []Evidence{
		"broken": func(tr *Tracker, r Run, now time.Time) []Evidence { return tr.RecordLost(r, poisonRequest, start, now) },
		"given up": func(tr *Tracker, r Run, now time.Time) []Evidence {
			return tr.RecordAbandoned(r, poisonRequest, start, now)
		},
	} {
		var tr Tracker
		r := Run{ID: "u"}
		at := start.Add(100 * time.Millisecond)
		tr.RecordEnd(r, End{Sign: Refused}, at)
		at = at.Add(200 * time.Millisecond)
		tr.RecordResponse(r, Response{ConnectedAt: at, SentAt: at}, at)
		if found := record(&tr, r, at.Add(200*time.Millisecond)); len(found) != 1 || found[0].Grade != Confirmed || found[0].Run != r {
			t.Errorf("%s: evidence %+v, want one confirmed about the run that ended", name, found)
		}
		if found := tr.RecordLost(r, soundRequest, at, at.Add(300*time.Millisecond)); len(found) != 0 {
			t.Errorf("%s: evidence against an attempt at the new run: %+v", name, found)
		}
	}
}

// Guards against counting two crashes at one address once because the new run ended before
// it responded to anything (issue 35).
func TestNewRunCrashesBeforeItResponds(t *testing.T) {
	var tr Tracker
	r := Run{ID: "u"}
	for i := range maxCrashes {
		now := start.Add(time.Duration(i) * 2 * time.Second)
		tr.crash(r, now, poisonRequest)
		if n := tr.Restriction(poisonRequest, now).Crashes; n != i+1 {
			t.Fatalf("%d crashes count after %d", n, i+1)
		}
	}
}
