package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestBudgetOverBrokenTurns guards against a program whose turns hand out more tokens than
// its budget and one turn (issue 35): its sub-agents run at several edges at once, turns
// break off at upstreams, callers leave, and one edge is stopped without settling and starts
// again.
func TestBudgetOverBrokenTurns(t *testing.T) {
	t.Parallel()
	const subAgents, turnsEach, turnTokens, budget, programs = 8, 6, 70, 700, 3
	d := newDeployment(t)
	d.route(clone(history))
	var mu sync.Mutex
	draw := rand.New(rand.NewPCG(35, 4))
	intN := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return draw.IntN(n)
	}
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) {
		whole, last := intN(3) > 0, intN(5)
		if whole {
			last = 5
		}
		for i := 1; i <= last; i++ {
			events(w, req, i, i)
			time.Sleep(5 * time.Millisecond)
		}
		if !whole {
			cut(w)
		}
	})
	d.storages()
	edges := []*process{d.edge("127.0.0.1"), d.edge("127.0.0.2"), d.edge("127.0.0.3")}
	var third atomic.Pointer[process]
	third.Store(edges[2])
	for _, p := range edges {
		p.ready(t, 1, 3)
	}
	var delivered [programs]atomic.Int64
	var broken, refused atomic.Int64
	var wg sync.WaitGroup
	send := func(agent, turn int) (status int) {
		program := agent % programs
		ctx, cancel := context.WithCancel(t.Context())
		if intN(4) == 0 {
			ctx, cancel = context.WithTimeout(t.Context(), time.Duration(5+intN(40))*time.Millisecond)
		}
		defer cancel()
		p := edges[(agent+turn)%len(edges)]
		if p == edges[2] {
			p = third.Load()
		}
		a := p.callContext(t, ctx, "POST", "/history/1", "in", map[string]string{
			"Attempt-Id": fmt.Sprintf("b%d-%d", agent, turn), "Program-Id": fmt.Sprint("b", program),
			"Token-Budget": fmt.Sprint(budget), "Token-Count": "10,70",
		})
		delivered[program].Add(int64(14 * strings.Count(a.body, "data: ")))
		switch {
		case a.status == http.StatusPaymentRequired:
			refused.Add(1)
		case a.err != nil:
			broken.Add(1)
		}
		return a.status
	}
	for agent := range programs * subAgents {
		wg.Go(func() {
			for turn := range turnsEach {
				send(agent, turn)
			}
		})
	}
	time.Sleep(150 * time.Millisecond)
	s := edges[2].settings
	edges[2].edge.settler.takePending() // as if it were killed: nothing is settled
	edges[2].stop()
	s.FirstStart = false
	third.Store(d.edgeWith(s))
	wg.Wait()
	for program := range programs { // one turn at a time, until the budget is spent
		wg.Go(func() {
			for turn, spent := turnsEach, 0; spent < 2*len(edges) && turn < 100; turn++ {
				if spent++; send(program, turn) != http.StatusPaymentRequired {
					spent = 0
				}
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	for i := range delivered {
		got := delivered[i].Load()
		t.Logf("program %d: %d tokens were delivered of %d", i, got, budget)
		if got > budget+turnTokens {
			t.Errorf("program %d: %d tokens were delivered, want %d at most", i, got, budget+turnTokens)
		}
	}
	if broken.Load() == 0 || refused.Load() == 0 {
		t.Errorf("%d turns broke off, %d were refused: the test shows nothing", broken.Load(), refused.Load())
	}
}
