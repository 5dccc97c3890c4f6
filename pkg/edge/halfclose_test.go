package edge

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/membudget"
)

// TestHalfClosedCallerGetsFalseSuccess guards against an empty 200, or a stream that ends
// as complete, for a caller that closes only its sending half. Its request ends, since a
// closed connection looks the same, but it gets an answer that says so.
func TestHalfClosedCallerGetsFalseSuccess(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, method, path, body string
		first                    int // events before the close
		status                   int
	}{
		{"safe", "GET", "/safe/1", "", 0, http.StatusBadGateway},
		{"unsafe", "POST", "/unsafe/1", "in", 0, http.StatusBadGateway},
		{"stream before its first event", "POST", "/resumable/1", "in", 0, http.StatusBadGateway},
		{"stream midway", "POST", "/resumable/1", "in", 2, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDeployment(t)
			d.route(clone(safeRoute))
			d.route(clone(unsafeRoute))
			d.route(clone(resumable))
			started := make(chan struct{}, 1)
			h := func(w http.ResponseWriter, req *http.Request) {
				_, _ = io.Copy(io.Discard, req.Body) // the server sees a close only after the body
				if c.first > 0 {
					events(w, req, 1, c.first)
				}
				started <- struct{}{}
				<-req.Context().Done()
			}
			d.upstream("u1", "app", h)
			d.upstream("u2", "llm", h)
			p := d.edge("127.0.0.1")
			p.ready(t, 2, 0)
			caller := p.raw(t)
			caller.send(rawRequest(c.method, c.path, "a", c.body))
			<-started
			if c.first > 0 {
				if _, err := caller.br.Peek(1); err != nil {
					t.Fatal(err)
				}
			}
			if err := caller.c.CloseWrite(); err != nil {
				t.Fatal(err)
			}
			a := caller.receive(c.method)
			if a.status != c.status {
				t.Errorf("%+v", a)
			}
			if c.first > 0 && a.err == nil {
				t.Errorf("a stream that was broken off ends as complete: %+v", a)
			}
			if c.first == 0 && a.err != nil {
				t.Errorf("no whole answer: %+v", a)
			}
		})
	}
}

// TestPanicLeavesNoAnswer guards against a fault in the handling of one request that
// closes the caller's connection without an answer and without a line in the log.
func TestPanicLeavesNoAnswer(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	// Without a view the handler dereferences a nil pointer.
	e := &Edge{logger: d.logger(), metrics: newMetrics(), transit: membudget.New(1 << 20), inFlight: newInFlight(),
		suspendedTime: func(time.Time) time.Duration { return 0 }}
	srv := httptest.NewServer(http.HandlerFunc(e.serve))
	defer srv.Close()
	resp, err := http.Get(srv.URL + "/x")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusBadGateway {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// TestHalfClosedCallerOfTurnNotDurable guards against a turn that ends as complete before it
// is durable, because its caller closes the sending half of its connection meanwhile.
func TestHalfClosedCallerOfTurnNotDurable(t *testing.T) {
	d := newTurnDeployment(t)
	stopped := make(chan struct{})
	d.failNext(func() {
		d.stopStores(len(d.stores))
		close(stopped)
	})
	caller := d.p.raw(t)
	caller.send(rawRequest("POST", "/history/1", "t1", "in"))
	<-stopped
	time.Sleep(100 * time.Millisecond) // until the edge has the end of the stream
	if err := caller.c.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if a := caller.receive("POST"); a.err == nil {
		t.Errorf("a turn that is not durable ends as complete: %+v", a)
	}
}
