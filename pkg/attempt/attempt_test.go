package attempt

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var now = time.Unix(1000, 0)

func tracker(idempotent bool, maxAttempts int) *Tracker {
	return New(Request{Idempotent: idempotent, MaxAttempts: maxAttempts, Deadline: now.Add(time.Second)})
}

// Guards against a second run of a request that must run at most once, and against
// giving up on a request that did not run.
func TestRecordEnd(t *testing.T) {
	for _, c := range []struct {
		name        string
		idempotent  bool
		maxAttempts int
		outcomes    []Outcome
		serverError bool
		want        Action
	}{
		{"refused connection", false, 1, []Outcome{NotSent}, false, Retry},
		{"full upstream", false, 1, []Outcome{Rejected}, false, Retry},
		{"many full upstreams", false, 1, []Outcome{Rejected, Rejected, Rejected, Rejected, Rejected, Rejected}, false, Refuse},
		{"unsafe broken", false, 3, []Outcome{Broken}, false, GiveUp},
		{"unsafe stalled", false, 3, []Outcome{Stalled}, false, GiveUp},
		{"safe broken", true, 2, []Outcome{Broken}, false, Retry},
		{"safe broken twice", true, 2, []Outcome{Broken, Broken}, false, GiveUp},
		{"safe, one run allowed", true, 1, []Outcome{Broken}, false, GiveUp},
		{"server error, repeatable", true, 2, []Outcome{Answered}, true, Retry},
		{"server error, last attempt", true, 2, []Outcome{Broken, Answered}, true, Deliver},
		{"server error, unsafe", false, 2, []Outcome{Answered}, true, Deliver},
		{"answer", false, 1, []Outcome{NotSent, Rejected, Answered}, false, Deliver},
		{"full after a run", true, 3, []Outcome{Broken, Rejected}, false, Retry},
	} {
		tr := tracker(c.idempotent, c.maxAttempts)
		var got Action
		for i, o := range c.outcomes {
			got = tr.RecordEnd(o, c.serverError && i == len(c.outcomes)-1, now)
		}
		if got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against another attempt after the deadline, and against telling the caller
// that a request did not run although it may have.
func TestDeadlineExpired(t *testing.T) {
	expired := now.Add(time.Second)
	if got := tracker(true, 3).RecordEnd(Broken, false, expired); got != Expire {
		t.Errorf("broken at the deadline: %v", got)
	}
	if got := tracker(true, 3).RecordEnd(NotSent, false, expired); got != Refuse {
		t.Errorf("not sent at the deadline: %v", got)
	}
	tr := tracker(true, 3)
	tr.RecordEnd(Stalled, false, now)
	if got := tr.NoUpstreamLeft(); got != GiveUp {
		t.Errorf("no upstream left after a run: %v", got)
	}
}

// Guards, over random sequences of outcomes, against more runs than allowed and against
// telling the caller that a request did not run after a run.
func TestRandomOutcomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		maxAttempts := rapid.IntRange(1, 4).Draw(t, "most")
		tr := tracker(idempotent, maxAttempts)
		runs := 0
		for range 40 {
			o := Outcome(rapid.IntRange(int(NotSent), int(Stalled)).Draw(t, "outcome"))
			if o != NotSent && o != Rejected {
				runs++
			}
			at := now.Add(time.Duration(rapid.IntRange(0, 1200).Draw(t, "ms")) * time.Millisecond)
			switch a := tr.RecordEnd(o, rapid.Bool().Draw(t, "error"), at); a {
			case Retry:
				if runs >= maxAttempts || runs > 0 && !idempotent {
					t.Fatalf("retry after %d runs of %d, idempotent %v", runs, maxAttempts, idempotent)
				}
				continue
			case Refuse:
				if runs > 0 {
					t.Fatalf("refusal after %d runs", runs)
				}
			}
			return
		}
		t.Fatal("still retrying after 40 attempts")
	})
}
