package edge

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestLackOfQuorumIsAnsweredAtOnce guards against turns that all wait for a quorum that can't
// be reached, for as long as a turn may wait (issue 44): all but a few are refused at once,
// with a time to return, and served again once there is a quorum.
func TestLackOfQuorumIsAnsweredAtOnce(t *testing.T) {
	t.Parallel()
	d := newTurnDeployment(t)
	d.stopStores(2)
	const callers = 3 * minWaitingTurns
	stop := time.Now().Add(6 * time.Second)
	var mu sync.Mutex
	late, quick := 0, 0 // refusals in the last seconds
	var wg sync.WaitGroup
	for n := range callers {
		wg.Go(func() {
			for try := 0; time.Now().Before(stop); try++ {
				began := time.Now()
				a := d.p.call(t, "POST", "/history/1", "A", map[string]string{
					"Attempt-Id": fmt.Sprintf("t%d-%d", n, try), "Program-Id": fmt.Sprint("p", n), "Token-Budget": "1000", "Token-Count": "10,70",
				})
				if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
					t.Errorf("status %d, Retry-After %q without a quorum, want 503 and a time", a.status, a.header.Get("Retry-After"))
					return
				}
				mu.Lock()
				switch took := time.Since(began); {
				case began.Before(stop.Add(-2 * time.Second)):
				case took > ledgerTimeout/2:
					late++
				default:
					quick++
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	if quick < 2*late {
		t.Errorf("%d turns are refused at once and %d after a wait for a quorum that is known to be missing", quick, late)
	}
	d.restartStore(0)
	d.restartStore(1)
	within(t, 10*time.Second, "no turn is served after the recovery", func() bool {
		return sendTurn(t, d.p, fmt.Sprint("after", time.Now().UnixNano()), "", "A", 1000).whole()
	})
}

// TestOverloadedEdgeIsNotReady guards against callers that keep coming to an edge without
// processor time, and against edges that all report themselves as not ready since the
// storage processes don't answer.
func TestOverloadedEdgeIsNotReady(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	e, err := New(d.settings("127.0.0.1"), d.logger()) // does not run, so that nothing else measures
	if err != nil {
		t.Fatal(err)
	}
	refuse := func() {
		for range maxWaitingTurns + 1 {
			_, _ = e.admission.begin(true)
		}
	}
	for _, c := range []struct {
		name    string
		runWait time.Duration
		refuses bool
		want    bool
	}{
		{"neither", 0, false, false}, {"busy", overloadedWait, false, false},
		{"refuses without being busy", 0, true, false}, {"refuses and is busy", overloadedWait, true, true},
	} {
		if c.refuses {
			refuse()
		}
		e.load.runWait.Store(int64(c.runWait))
		if got := e.overloaded(time.Now()); got != c.want {
			t.Errorf("%s: overloaded %t, want %t", c.name, got, c.want)
		}
	}
	if e.overloaded(time.Now().Add(overloadMemory)) {
		t.Error("an edge that refuses nothing any more counts as overloaded")
	}
}
