package freshness

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a limit that refuses where requests must be served, that leaves no time for an
// attempt to arrive, or that exists where nobody asked for one.
func TestLimit(t *testing.T) {
	for revocation, want := range map[time.Duration]time.Duration{
		0: 0, -1: 0, time.Second: 600 * time.Millisecond, 5 * time.Second: 3400 * time.Millisecond, 30 * time.Second: 28400 * time.Millisecond,
	} {
		if got := Limit(revocation); got != want {
			t.Errorf("revocation within %v: limit %v, want %v", revocation, got, want)
		}
	}
}

// Guards against a state that is taken for current although it was never checked, the last
// check is too long ago, or an older check was recorded after a newer one.
func TestWithin(t *testing.T) {
	var c Checked
	if c.Within(time.Second, 5*time.Second) || c.Encode(time.Second) != 0 {
		t.Error("current without a check")
	}
	if !c.Within(0, 5*time.Second) {
		t.Error("too old without a limit")
	}
	c.Record(3 * time.Second)
	c.Record(2 * time.Second)
	if !c.Within(time.Second, 4*time.Second-1) || c.Within(time.Second, 4*time.Second) {
		t.Error("the age does not count from the newest check")
	}
}

// Guards, over random delays, stops and suspensions of two processes, against a check that is
// dated later than it began: a revoked key would be accepted for longer than allowed.
func TestAnswersNeverMakeAStateNewer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The clocks of the processes differ by an offset; now is the time of the first.
		offset := time.Duration(rapid.IntRange(0, 1e6).Draw(t, "offset")) * time.Millisecond
		now := time.Second
		pass := func(label string) {
			now += time.Duration(rapid.IntRange(0, 20000).Draw(t, label)) * 311 * time.Microsecond
		}
		var sender, receiver Checked
		var q Question
		newest := time.Duration(0) // begin of the sender's newest check, by the first clock
		for range rapid.IntRange(1, 20).Draw(t, "rounds") {
			if rapid.Bool().Draw(t, "check") {
				began := now
				pass("check takes")
				sender.Record(began + offset)
				newest = began
			}
			id := q.Ask(now)
			pass("question travels")
			answer, truth := sender.Encode(now+offset), newest
			pass("answer travels")
			if rapid.IntRange(0, 3).Draw(t, "late") == 0 {
				q.Ask(now) // the answer is now one to an earlier question
			}
			began, ok := q.Answer(id, answer)
			if ok && began > truth {
				t.Fatalf("a check that began at %v is dated %v", truth, began)
			}
			if ok {
				receiver.Record(began)
			}
			if age, known := receiver.Age(now); known && now-age > newest {
				t.Fatalf("the state counts as checked at %v, the newest check began at %v", now-age, newest)
			}
		}
	})
}
