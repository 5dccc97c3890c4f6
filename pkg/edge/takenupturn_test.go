package edge

import (
	"net/http"
	"strings"
	"testing"
)

// TestTakenUpTurnIsNotStoredInPart guards against a conversation that loses events without an
// error: a turn that its caller takes up at another edge is stored with its last events only,
// and the next turn runs without the first ones.
func TestTakenUpTurnIsNotStoredInPart(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	r := clone(history)
	r["Resumable"] = true
	d.route(r)
	var ran runs
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) {
		n := ran.record(req)
		if n == 1 {
			events(w, req, 1, 3)
			cut(w)
		}
		events(w, req, 1, 5)
	})
	d.storages()
	p, other := d.edge("127.0.0.1"), d.edge("127.0.0.2")
	p.ready(t, 1, 3)
	other.ready(t, 1, 3)
	header := map[string]string{"Program-Id": "p", "Token-Budget": "10000", "Token-Count": "10,70"}
	header["Attempt-Id"] = "t1"
	p.call(t, "POST", "/history/1", "A", header)
	header["Attempt-Id"], header["Resumes"], header["Last-Event-Id"] = "t2", "t1", "3"
	runsBefore := ran.count()
	a := other.call(t, "POST", "/history/1", "A", header)
	if a.status != http.StatusServiceUnavailable || ran.count() != runsBefore {
		t.Errorf("taking up a turn after 3 events: status %d, %d runs more, want 503 and none", a.status, ran.count()-runsBefore)
	}
	if a := sendTurn(t, other, "t3", "", "A", 10000); !a.whole() {
		t.Fatalf("the turn from its start: %+v", a)
	}
	if a := sendTurn(t, other, "t4", "t3", "B", 10000); !a.whole() {
		t.Fatalf("the next turn: %+v", a)
	}
	if body, _ := ran.last(); strings.Count(body, "word") != 5 {
		t.Errorf("the next turn ran with %q, want all 5 events of the turn before", body)
	}
}
