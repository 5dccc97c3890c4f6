package edge

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/poison"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/faultnet"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// TestAttemptOfLeftCaller guards against missing the crash of an upstream whose caller had
// left, because nothing asks the upstream afterwards and its registration is removed late;
// and against suspecting a request because its upstream, which went on, left as planned
// soon afterwards (issue 35).
func TestAttemptOfLeftCaller(t *testing.T) {
	t.Parallel()
	const crashAfter, leaveAfter, checkTime = 250 * time.Millisecond, 100 * time.Millisecond, 1500 * time.Millisecond
	for name, c := range map[string]struct {
		crash, restart bool
		want           []poison.Grade
	}{
		"crash":             {crash: true, want: []poison.Grade{poison.Confirmed}},
		"crash and restart": {crash: true, restart: true, want: []poison.Grade{poison.Confirmed}},
		"planned end":       {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.route(clone(resumable))
			var born atomic.Int64
			born.Store(1)
			done := make(chan struct{})
			srv := faultnet.New(withState(born.Load, func(_ http.ResponseWriter, req *http.Request) {
				_, _ = io.Copy(io.Discard, req.Body)
				<-done
			}))
			t.Cleanup(func() { close(done); _ = srv.Close() })
			if err := srv.Listen("127.0.0.1:0"); err != nil {
				t.Fatal(err)
			}
			d.register("u1", "llm", srv.Addr(), "ready")
			p := d.edge("127.0.0.1")
			p.ready(t, 1, 0)
			ctx, cancel := context.WithTimeout(t.Context(), leaveAfter)
			defer cancel()
			p.callContext(t, ctx, "POST", "/resumable/1", "in", map[string]string{"Attempt-Id": "a"})
			if c.crash {
				time.Sleep(crashAfter - leaveAfter)
				srv.Drop()
				born.Store(2)
			}
			if c.restart {
				if err := srv.Listen(""); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(checkTime)
			if !c.restart {
				d.store.Delete(platform.KindUpstreams, "u1")
				eventually(t, "the upstream is still known", func() bool { return p.edge.fleetLen() == 0 })
			}
			var grades []poison.Grade
			for _, e := range p.evidence() {
				grades = append(grades, e.Grade)
			}
			if fmt.Sprint(grades) != fmt.Sprint(c.want) {
				t.Errorf("evidence %v, want %v", grades, c.want)
			}
		})
	}
}

// evidence returns all evidence of an edge.
func (p *process) evidence() []poison.Evidence {
	s := p.edge.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Evidence()
}
