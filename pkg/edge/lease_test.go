package edge

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
)

// TestRunningTurnOutlivesLease guards against a budget that is exceeded because the tokens of
// a turn that an upstream works on no longer count after the lease of their reservation.
func TestRunningTurnOutlivesLease(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	r := clone(history)
	r["TimeoutMs"], r["MaxAttempts"] = 10000, 1
	d.route(r)
	running, finish := make(chan struct{}), make(chan struct{})
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) {
		events(w, req, 1, 1)
		close(running)
		<-finish
	})
	d.storages()
	p, other := d.edge("127.0.0.1"), d.edge("127.0.0.2")
	p.ready(t, 1, 3)
	other.ready(t, 1, 3)
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	go func() {
		p.callContext(t, ctx, "POST", "/history/1", "A", map[string]string{
			"Attempt-Id": "t1", "Program-Id": "p", "Token-Budget": "100", "Token-Count": "10,70",
		})
	}()
	defer close(finish)
	<-running
	time.Sleep(ledger.ReservationLease + 500*time.Millisecond)
	_, err := other.edge.ledger.Reserve(t.Context(), &peerv1.Usage{Program: "p", Attempt: 2, Tokens: 70}, 100, 14, 0)
	if !errors.Is(err, ledger.ErrOverBudget) {
		t.Errorf("70 more tokens of a budget of 100 while a turn of 70 runs: %v, want %v", err, ledger.ErrOverBudget)
	}
}

// TestEventsWaitForConfirmation guards against tokens that are handed out and not counted: an
// edge that no longer reaches the storage processes passes a turn on and is then gone.
func TestEventsWaitForConfirmation(t *testing.T) {
	t.Parallel()
	d := newTurnDeployment(t)
	cut := d.p.reserveOnly(t, "t1", "p", 70, 100)
	d.stopStores(2)
	if err := cut.passOn(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(unconfirmedDelivery)
	if err := cut.awaitConfirmation(); !errors.Is(err, errUnconfirmed) {
		t.Errorf("no quorum knows that the turn was passed on: %v, want %v", err, errUnconfirmed)
	}
}

// TestLateTurnReservesAgain guards against a turn that is passed on after the lease of its
// reservation, when its tokens may belong to another turn.
func TestLateTurnReservesAgain(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(history))
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) { events(w, req, 1, 5) })
	d.storages()
	p, other := d.edge("127.0.0.1"), d.edge("127.0.0.2")
	p.ready(t, 1, 3)
	other.ready(t, 1, 3)
	late := p.reserveOnly(t, "t1", "p", 70, 100)
	late.lease.began = late.lease.began.Add(-ledger.ReservationLease)
	if err := late.passOn(); !errors.Is(err, errLeaseOver) {
		t.Errorf("passing on after the lease: %v, want %v", err, errLeaseOver)
	}
	time.Sleep(ledger.ReservationLease)
	if a := sendTurn(t, other, "t2", "", "A", 100); !a.whole() {
		t.Fatalf("another turn after the lease: %+v", a)
	}
	if err := late.reserveTokens(t.Context()); !errors.Is(err, ledger.ErrOverBudget) {
		t.Errorf("reserving again beside a turn of 70 of 100 tokens: %v, want %v", err, ledger.ErrOverBudget)
	}
}
