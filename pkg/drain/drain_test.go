package drain

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestFits guards against starting attempts that the end of a stop would cut, and against
// refusing those that are likely to end before it.
func TestFits(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	short := Estimate{Requests: minKnown, Usual: 50 * ms, Longest: 200 * ms}
	few := Estimate{Requests: minKnown - 1, Usual: 50 * ms, Longest: 200 * ms}
	long := Estimate{Requests: minKnown, Usual: 6 * s, Longest: 9 * s}
	for _, c := range []struct {
		name string
		a    Attempt
		want bool
	}{
		{"the deadline is before the end", Attempt{Rest: 3 * s, Allowed: 3 * s, Recent: long}, true},
		{"the deadline is before the end, late", Attempt{Rest: 3 * s, Allowed: 3 * s, Recent: long, Late: true}, true},
		{"usually short", Attempt{Rest: 3 * s, Allowed: 20 * s, Recent: short}, true},
		{"usually short, few known", Attempt{Rest: 3 * s, Allowed: 20 * s, Recent: few}, true},
		{"usually longer", Attempt{Rest: 5 * s, Allowed: 20 * s, Recent: long}, false},
		{"usually longer stream", Attempt{Rest: 5 * s, Allowed: 20 * s, Recent: long, Stream: true}, false},
		{"nothing known", Attempt{Rest: 3 * s, Allowed: 20 * s}, true},
		{"nothing known of the length of a stream", Attempt{Rest: 3 * s, Allowed: 20 * s, Stream: true}, false},
		{"usually short stream", Attempt{Rest: 3 * s, Allowed: 20 * s, Recent: few, Stream: true}, true},
		{"late, short with a margin", Attempt{Rest: 600 * ms, Allowed: 20 * s, Recent: short, Late: true}, true},
		{"late, short without a margin", Attempt{Rest: 599 * ms, Allowed: 20 * s, Recent: short, Late: true}, false},
		{"late, few known", Attempt{Rest: 3 * s, Allowed: 20 * s, Recent: few, Late: true}, false},
		{"late, nothing known", Attempt{Rest: 3 * s, Allowed: 20 * s, Late: true}, false},
		{"nothing remains", Attempt{Rest: 0, Allowed: 0, Recent: short}, false},
	} {
		if got := c.a.Fits(); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// TestEstimate guards against an estimate that includes requests of long ago, or that a
// single long request decides.
func TestEstimate(t *testing.T) {
	var times Times
	if e := times.Estimate(); e != (Estimate{}) {
		t.Errorf("of none: %+v", e)
	}
	times.Add(time.Hour)
	if e := times.Estimate(); e.Requests != 1 || e.Usual != time.Hour || e.Longest != time.Hour {
		t.Errorf("of one: %+v", e)
	}
	for i := range 20 {
		times.Add(time.Duration(i+1) * time.Second)
	}
	if e := times.Estimate(); e.Requests != 21 || e.Usual != 19*time.Second || e.Longest != time.Hour {
		t.Errorf("of 21: %+v", e)
	}
	for range window {
		times.Add(time.Second)
	}
	if e := times.Estimate(); e.Requests != window || e.Usual != time.Second || e.Longest != time.Second {
		t.Errorf("of a full window: %+v", e)
	}
}

// TestRandomAttempts guards against an attempt that fits into some time and not into more,
// or that fits late and not in time with the same knowledge.
func TestRandomAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 20000).Draw(t, name)) * time.Millisecond
		}
		usual := d("usual")
		a := Attempt{Rest: d("rest"), Allowed: d("allowed"), Recent: Estimate{
			Requests: rapid.IntRange(0, window).Draw(t, "requests"), Usual: usual, Longest: usual + d("more"),
		}, Late: rapid.Bool().Draw(t, "late"), Stream: rapid.Bool().Draw(t, "stream")}
		if !a.Fits() {
			return
		}
		more, early := a, a
		more.Rest += d("more rest")
		early.Late = false
		if !more.Fits() || !early.Fits() {
			t.Fatalf("%+v", a)
		}
	})
}
