package retrybudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards, over random sequences, against more retries in a window than a share of the first
// attempts in it and the constant, and against a cause that uses the budget of the other.
func TestRetriesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		var firsts []time.Time
		var retries [causes][]time.Time
		now := time.Unix(1000, 0)
		in := func(list []time.Time, span time.Duration) (n int) {
			for _, at := range list {
				if now.Sub(at) < span {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				b.First(now)
				firsts = append(firsts, now)
				continue
			}
			c := Cause(rapid.IntRange(0, causes-1).Draw(t, "cause"))
			share := [causes]float64{Rejection: rejectionShare, Failure: failureShare}[c]
			// The window moves in steps of slotTime.
			if b.Allow(c, now) {
				retries[c] = append(retries[c], now)
				if n := in(retries[c], Window-slotTime); float64(n) > constant+share*float64(in(firsts, Window)) {
					t.Fatalf("%d retries after a %v", n, c)
				}
			} else if n := in(retries[c], Window); float64(n+1) <= constant+share*float64(in(firsts, Window-slotTime)) {
				t.Fatalf("the retry after %d is denied for a %v", n, c)
			}
		}
	})
}
