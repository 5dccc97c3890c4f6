package edge

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/routing"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// reserveOnly reserves a turn's tokens as an edge does before it passes the turn on.
func (p *process) reserveOnly(t *testing.T, id, program string, tokens, budget int) *turn {
	t.Helper()
	c := &call{
		e: p.edge, r: &http.Request{}, deadline: time.Now().Add(3 * time.Second), route: &routing.Route{KeepsHistory: true, Retention: time.Minute}, table: p.edge.view.table.Load(),
		req: platform.Request{ID: id, Program: program, MaxTokens: tokens, TokenBudget: budget},
	}
	reserved := &turn{c: c}
	if err := reserved.reserve(t.Context()); err != nil {
		t.Fatal(err)
	}
	return reserved
}

// TestReservationOfGoneEdge guards against a program that is refused for good because of
// tokens that an edge reserved for a turn and never passed on, since it was gone (issue 41).
// An edge may be lost with several turns of a program. A 402 ends the program.
func TestReservationOfGoneEdge(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(history))
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) { events(w, req, 1, 5) })
	d.storages()
	gone, other := d.edge("127.0.0.1"), d.edge("127.0.0.2")
	gone.ready(t, 1, 3)
	other.ready(t, 1, 3)
	for i := range 3 {
		gone.reserveOnly(t, fmt.Sprint("gone", i), "p", 70, 3*70)
	}
	gone.stop()
	tries := 0
	within(t, 5*time.Second, "the turn is not served", func() bool {
		tries++
		a := sendTurn(t, other, fmt.Sprint("t", tries), "", "A", 3*70)
		if a.status == http.StatusPaymentRequired {
			t.Fatalf("try %d: status 402, though not one token was handed out", tries)
		}
		return a.whole()
	})
}
