package edge

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

// suspendableClock simulates the clocks of a machine that can be suspended.
type suspendableClock struct{ total atomic.Int64 }

func (s *suspendableClock) suspend(d time.Duration) { s.total.Add(int64(d)) }

func (s *suspendableClock) suspendedTime(time.Time) time.Duration {
	return time.Duration(s.total.Load())
}

// suspendableEdge starts an edge on a simulated machine that can be suspended.
func (d *deployment) suspendableEdge(ip string) (*process, *suspendableClock) {
	d.t.Helper()
	s := &suspendableClock{}
	e, err := New(d.settings(ip), d.logger())
	if err != nil {
		d.t.Fatal(err)
	}
	e.suspendedTime = s.suspendedTime
	return d.run(e.settings, e, e.Run), s
}

// TestSuspensionEndsRequests guards against retrying a request whose time ran out
// while the machine was suspended.
func TestSuspensionEndsRequests(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(safeRoute))
	var r runs
	var s *suspendableClock
	h := func(w http.ResponseWriter, req *http.Request) {
		r.record(req)
		s.suspend(5 * time.Second)
		reset(w)
	}
	d.upstream("u1", "app", h)
	d.upstream("u2", "app", h)
	p, sl := d.suspendableEdge("127.0.0.1")
	s = sl
	p.ready(t, 2, 0)
	a := p.call(t, "GET", "/safe/1", "", map[string]string{"Attempt-Id": "1", "Deadline-Ms": "2000"})
	if a.status != http.StatusBadGateway || r.count() != 1 {
		t.Errorf("%+v after %d runs", a, r.count())
	}
}

// TestSuspensionInvalidatesView guards against serving a request with state from
// before a suspension of the machine.
func TestSuspensionInvalidatesView(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(safeRoute))
	named := func(name string) http.HandlerFunc {
		return func(w http.ResponseWriter, req *http.Request) {
			sign(w, req)
			_, _ = w.Write([]byte(name))
		}
	}
	d.upstream("u1", "app", named("before"))
	d.upstream("u2", "llm", named("after"))
	p, s := d.suspendableEdge("127.0.0.1")
	p.ready(t, 2, 0)
	call := func() string { return p.call(t, "GET", "/safe/1", "", map[string]string{"Attempt-Id": "1"}).body }
	if got := call(); got != "before" {
		t.Fatalf("answered %q", got)
	}
	d.store.SetDeaf(true) // the watches receive no changes
	d.routes[0]["Service"] = "llm"
	d.version += 3
	d.store.Put(platform.KindConfig, platform.ConfigName, map[string]any{"Version": d.version, "Routes": d.routes})
	s.suspend(5 * time.Second)
	if got := call(); got != "after" {
		t.Errorf("answered %q right after the suspension", got)
	}
}
