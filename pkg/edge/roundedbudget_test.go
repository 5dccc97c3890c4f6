package edge

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestBudgetOfTurnsThatEndInAnEvent guards against a budget that is exceeded by more than
// one turn because the last event of each of many parallel turns counts whole (issue 35):
// events count as 14 tokens, and 60 is no multiple of it.
func TestBudgetOfTurnsThatEndInAnEvent(t *testing.T) {
	t.Parallel()
	const parallel, most, budget = 16, 60, 15 * 60
	d := newDeployment(t)
	d.route(clone(history))
	var decided atomic.Int64 // turns that have begun or were refused
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) {
		decided.Add(1)
		events(w, req, 1, 4)
		time.Sleep(time.Second) // until all turns are reserved
		events(w, req, 5, 5)
	})
	d.storages()
	p := d.edge("127.0.0.1")
	p.ready(t, 1, 3)
	for _, c := range []struct{ program, budget, atLeast int }{
		{0, budget, budget},
		{1, most, most}, // the budget holds one turn
		{2, 2 * most, 2 * most},
	} {
		var delivered atomic.Int64
		var wg sync.WaitGroup
		decided.Store(0)
		for i := range parallel {
			// Reservations at the same moment refuse each other.
			eventually(t, "the turn before is not decided", func() bool { return decided.Load() == int64(i) })
			wg.Go(func() {
				a := p.call(t, "POST", "/history/1", "in", map[string]string{
					"Attempt-Id": fmt.Sprint(c.program, "-", i), "Program-Id": fmt.Sprint("r", c.program),
					"Token-Budget": fmt.Sprint(c.budget), "Token-Count": fmt.Sprint("10,", most),
				})
				if a.status != http.StatusOK {
					decided.Add(1)
				}
				delivered.Add(int64(14 * strings.Count(a.body, "data: ")))
			})
		}
		wg.Wait()
		t.Logf("%d tokens were delivered of %d", delivered.Load(), c.budget)
		if got := int(delivered.Load()); got > c.budget+most || got < c.atLeast {
			t.Errorf("%d tokens were delivered, want %d to %d", got, c.atLeast, c.budget+most)
		}
	}
}
