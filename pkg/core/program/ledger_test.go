package program

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// A program must not exceed its budget when its owner crashes while the records of
// some reservations are not durable. The model dispatches as package core does,
// loses what is not durable at a takeover, and counts the actual use.
func TestLedgerNeverExceedsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Amount{Tokens: 6400, Calls: 640, Spend: 640}
		var used Amount
		var l Ledger
		type state struct{ r *Root }
		durable := func() state { // the state that a new owner reads
			root := NewRoot("p", "c")
			root.Ledger = l
			root.AddMember(&Member{ID: "p"})
			r, err := Decode(root.Encode())
			if err != nil {
				t.Fatal(err)
			}
			return state{r}
		}
		stored := durable()
		running := map[string]Amount{} // dispatched and not settled
		waiting := map[string]Amount{} // dispatched once their record is durable
		n := 0
		dispatch := func(attempt string, a Amount) {
			used = used.add(a) // the worst case uses all that was reserved
			running[attempt] = a
		}
		commit := func(*rapid.T) {
			for _, a := range slices.Sorted(maps.Keys(l.reservations)) {
				l.MarkDurable(a)
			}
			stored = durable()
			for _, a := range slices.Sorted(maps.Keys(waiting)) {
				dispatch(a, waiting[a])
			}
			clear(waiting)
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				prompt := rapid.Int64Range(1, 40).Draw(t, "prompt")
				granted, verdict := l.Fit(limit, prompt, rapid.SampledFrom([]int64{10, 50, 2000}).Draw(t, "max"), 1)
				if verdict != BudgetGranted {
					return
				}
				n++
				a, want := fmt.Sprintf("a%d", n), Amount{prompt + granted, 1, 1}
				needs := l.NeedsDurableRecord(limit, want)
				l.Reserve(a, want, false)
				if needs {
					waiting[a] = want
				} else {
					dispatch(a, want)
				}
			},
			"settle": func(t *rapid.T) {
				if ids := slices.Sorted(maps.Keys(running)); len(ids) > 0 {
					a := rapid.SampledFrom(ids).Draw(t, "attempt")
					l.Settle(a, running[a])
					delete(running, a)
				}
			},
			"unknown": func(t *rapid.T) {
				if ids := slices.Sorted(maps.Keys(running)); len(ids) > 0 {
					a := rapid.SampledFrom(ids).Draw(t, "attempt")
					l.Forfeit(a)
					delete(running, a)
				}
			},
			"commit": commit,
			"takeover": func(t *rapid.T) {
				l = stored.r.Ledger
				l.Recover(limit)
				clear(running)
				clear(waiting)
				commit(t) // a new owner serves only once its state is durable
			},
			"": func(t *rapid.T) {
				if !used.within(limit) {
					t.Fatalf("used %+v of %+v", used, limit)
				}
			},
		})
	})
}

// Amounts must neither stay reserved after settlement nor be counted twice.
func TestLedgerSettlement(t *testing.T) {
	var l Ledger
	l.Reserve("a", Amount{100, 1, 5}, false)
	l.Reserve("a", Amount{100, 1, 5}, false)
	l.Reserve("b", Amount{50, 1, 0}, true)
	l.MarkDurable("a")
	l.Settle("a", Amount{30, 1, 5})
	if got := l.Forfeit("b"); got != (Amount{50, 1, 0}) {
		t.Errorf("forfeited %+v", got)
	}
	l.ReplaceForfeited(Amount{50, 1, 0}, Amount{20, 1, 0})
	l.Release("a")
	if l.Spent() != (Amount{50, 2, 5}) || l.Reserved() != (Amount{}) || l.nonDurable != (Amount{}) {
		t.Errorf("spent %+v, reserved %+v, not durable %+v", l.Spent(), l.Reserved(), l.nonDurable)
	}
}
