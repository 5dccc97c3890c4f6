package edge

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/pkg/identity"
	"github.com/yuccaspindle/yuccaspindle/pkg/poison"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/faultnet"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// TestAttemptOfLeftCaller guards against missing the crash of an upstream whose caller had
// left, because nothing asks the upstream afterwards and its registration is removed late;
// and against suspecting a request because its upstream, which went on, left as planned
// soon afterwards, or taking that for a proven crash (issue 35).
func TestAttemptOfLeftCaller(t *testing.T) {
	t.Parallel()
	const crashAfter, checkTime = 150 * time.Millisecond, 1500 * time.Millisecond // after the caller has left
	for name, c := range map[string]struct {
		crash, restart, announce bool
		want                     []poison.Grade
	}{
		"crash":                        {crash: true, want: []poison.Grade{poison.Confirmed}},
		"crash and restart":            {crash: true, restart: true, want: []poison.Grade{poison.Confirmed}},
		"planned end":                  {},
		"planned end before the check": {crash: true, announce: true, want: []poison.Grade{poison.Presumed}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			d.route(clone(resumable))
			var born atomic.Int64
			born.Store(1)
			done, received := make(chan struct{}), make(chan struct{})
			srv := faultnet.New(withState(born.Load, func(_ http.ResponseWriter, req *http.Request) {
				_, _ = io.Copy(io.Discard, req.Body)
				close(received)
				<-done
			}))
			t.Cleanup(func() { close(done); _ = srv.Close() })
			if err := srv.Listen("127.0.0.1:0"); err != nil {
				t.Fatal(err)
			}
			d.register("u1", "llm", srv.Addr(), "ready")
			p := d.edge("127.0.0.1")
			p.ready(t, 1, 0)
			p.callAndLeave(t, received, "/resumable/1", "in")
			if c.announce {
				d.register("u1", "llm", srv.Addr(), "draining")
				eventually(t, "the edge does not know of the shutdown", func() bool { return p.isShuttingDown("u1") })
			}
			if c.crash {
				time.Sleep(crashAfter)
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

// isShuttingDown reports whether an edge knows that an upstream announced its shutdown.
func (p *process) isShuttingDown(id string) (leaving bool) {
	p.edge.withFleet(func(f *fleet.Fleet) {
		m := f.Member(id)
		leaving = m != nil && m.ShuttingDown()
	})
	return leaving
}

// evidence returns all evidence of an edge.
func (p *process) evidence() []poison.Evidence {
	s := p.edge.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Evidence()
}

// Guards against an attempt that is given up just as the watch of its upstream ends, so that
// neither that watch nor another one asks what became of the upstream (issue 35).
func TestWatchEndsOnlyWithoutLostAttempts(t *testing.T) {
	t.Parallel()
	e, err := New(newDeployment(t).settings("127.0.0.1"), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	s, run, now := e.suspects, poison.Run{ID: "u1"}, time.Now()
	if !s.addWatched(run) {
		t.Fatal("the run is watched already")
	}
	s.tracker.RecordAbandoned(run, identity.Request{Content: 1}, now, now)
	if s.addWatched(run) {
		t.Error("the run is watched twice")
	}
	if s.endWatch(run, now) {
		t.Error("the watch ends although an attempt is lost")
	}
	if !s.endWatch(run, now.Add(time.Minute)) || !s.addWatched(run) {
		t.Error("the watch does not end, or does not begin again")
	}
}
