package edge

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/identity"
	"github.com/yuccaspindle/yuccaspindle/pkg/poison"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	// retryPause is the time after which a caller retries.
	retryPause = 300 * time.Millisecond
	// learnTimeout limits how long a restarted process may lack evidence that others
	// have.
	learnTimeout = 4 * time.Second
)

// hasSuspects reports whether an edge has evidence against any request.
func (p *process) hasSuspects() bool { return len(p.edge.Status().Suspects) > 0 }

// TestCrashingRequestAfterRestart guards against restarted edges that lack the
// evidence of the others, so that a request crashed two more upstreams after each
// restart (issue 19).
func TestCrashingRequestAfterRestart(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	f := newCrashers(d)
	f.deregisterAfter = 100 * time.Millisecond
	f.start(16)
	const ips = 3
	edges := make([]*process, ips)
	for i := range edges {
		edges[i] = d.edge(fmt.Sprintf("127.0.0.%d", i+1))
	}
	for _, p := range edges {
		p.ready(t, 16, 0)
		eventually(t, "the edges do not know each other", func() bool { return len(p.edge.view.otherEdges()) == ips-1 })
	}
	for i := range 2 * ips {
		edges[i%ips].send(t, "poison")
		time.Sleep(retryPause)
	}
	for round := range 2 {
		for i := range edges {
			edges[i].stop()
			edges[i] = d.edge(fmt.Sprintf("127.0.0.%d", i+1))
			eventually(t, "the edge is not ready", func() bool { return edges[i].edge.view.ready() && edges[i].listens() })
			within(t, learnTimeout, "the edge has the others' evidence", edges[i].hasSuspects)
			if a := edges[i].send(t, "poison"); a.status != http.StatusServiceUnavailable {
				t.Errorf("round %d, edge %d after its restart: status %d, %v", round, i, a.status, a.err)
			}
		}
	}
	if n := f.crashCount("poison"); n > maxCrashes {
		t.Errorf("%d upstreams ended, want at most %d", n, maxCrashes)
	}
}

// TestCrashingRequestAfterRestartOfAll guards against losing a quarantine when all
// edges restart at the same time while the storage processes keep running (issue 19).
func TestCrashingRequestAfterRestartOfAll(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	f := newCrashers(d)
	f.deregisterAfter = 100 * time.Millisecond
	f.start(10)
	d.storages()
	p := d.edge("127.0.0.1")
	p.ready(t, 10, 3)
	for range 4 {
		p.send(t, "poison")
		time.Sleep(retryPause)
	}
	p.stop()
	p = d.edge("127.0.0.1")
	eventually(t, "the edge is not ready", func() bool { return p.edge.view.ready() && p.listens() })
	within(t, learnTimeout, "the edge knows what the storage processes keep", p.hasSuspects)
	for range 4 {
		p.send(t, "poison")
		time.Sleep(retryPause)
	}
	if n := f.crashCount("poison"); n > maxCrashes {
		t.Errorf("%d upstreams ended, want at most %d", n, maxCrashes)
	}
}

// TestCrashingRequestsTogether guards against requests that always crash upstreams
// together, so that none of them is ever the only one in flight (issue 19).
func TestCrashingRequestsTogether(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	f := newCrashers(d)
	f.crashDelay, f.deregisterAfter, f.replace = 100*time.Millisecond, 50*time.Millisecond, true
	f.start(1)
	p := d.edge("127.0.0.1")
	p.ready(t, 1, 0)
	bodies := []string{"poison 1", "poison 2", "poison 3"}
	for range 8 {
		var callers sync.WaitGroup
		for _, b := range bodies {
			callers.Go(func() { p.send(t, b) })
		}
		callers.Wait()
		time.Sleep(retryPause)
	}
	for _, b := range bodies {
		if n := f.crashCount(b); n > maxCrashes {
			t.Errorf("%q was in flight in %d crashes, want at most %d", b, n, maxCrashes)
		}
	}
}

// TestCrashingRequestBesideSoundOne guards against a harmless request that is
// repeated at the same time as one that crashes upstreams: it kept the crashing one
// from being the only suspect, or was refused in its place (issue 19).
func TestCrashingRequestBesideSoundOne(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	f := newCrashers(d)
	f.crashDelay, f.deregisterAfter, f.replace = 100*time.Millisecond, 50*time.Millisecond, true
	f.start(1)
	p := d.edge("127.0.0.1")
	p.ready(t, 1, 0)
	served := false
	for range 8 {
		var callers sync.WaitGroup
		callers.Go(func() { p.send(t, "poison") })
		callers.Go(func() {
			for range 3 {
				if a := p.send(t, "sound"); a.status == http.StatusOK {
					served = true
				} else if a.status != http.StatusServiceUnavailable {
					return
				}
				time.Sleep(retryPause / 3)
			}
		})
		callers.Wait()
		time.Sleep(retryPause)
	}
	if n := f.crashCount("poison"); n > maxCrashes {
		t.Errorf("%d upstreams ended, want at most %d", n, maxCrashes)
	}
	if !served {
		t.Error("the harmless request never succeeded")
	}
	if a := p.send(t, "sound"); a.status != http.StatusOK {
		t.Errorf("harmless request after all crashes: %+v", a)
	}
}

// TestSilentCrash guards against crashes that are not counted because the upstream's
// connections only become silent, or because the caller has disconnected (issue 19).
func TestSilentCrash(t *testing.T) {
	t.Parallel()
	for name, timeout := range map[string]time.Duration{"until the deadline": 0, "until the caller leaves": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			route := clone(unsafeRoute)
			route["TimeoutMs"] = 600
			d.route(route)
			f := newCrashers(d)
			f.silent, f.deregisterAfter = true, 100*time.Millisecond
			f.start(10)
			p := d.edge("127.0.0.1")
			p.ready(t, 10, 0)
			for i := range 8 {
				ctx, cancel := context.Background(), context.CancelFunc(func() {})
				if timeout > 0 {
					ctx, cancel = context.WithTimeout(ctx, timeout)
				}
				p.callContext(t, ctx, "POST", "/unsafe/1", "poison", map[string]string{"Attempt-Id": fmt.Sprint("s", i)})
				cancel()
				time.Sleep(retryPause)
			}
			if n := f.crashCount("poison"); n > maxCrashes {
				t.Errorf("%d upstreams ended, want at most %d", n, maxCrashes)
			}
		})
	}
}

// TestCrashBehindAbsentStore guards against crashes that are not counted because the
// upstream is back under its ID before the next connection is made, and before the
// store reports anything (issue 19).
func TestCrashBehindAbsentStore(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	f := newCrashers(d)
	f.restartAfter = 200 * time.Millisecond
	f.start(2)
	p := d.edge("127.0.0.1")
	p.ready(t, 2, 0)
	d.store.SetDown(true)
	for range 8 {
		p.send(t, "poison")
		time.Sleep(2 * retryPause)
	}
	if n := f.crashCount("poison"); n > maxCrashes {
		t.Errorf("%d upstreams ended, want at most %d", n, maxCrashes)
	}
	if a := p.send(t, "sound"); a.status != http.StatusOK {
		t.Errorf("harmless request: %+v", a)
	}
}

// TestLapsedRegistrationIsNoCrash guards against refusing a harmless request because
// its upstreams lost its responses and their registrations expired while the store
// was unreachable (issue 19).
func TestLapsedRegistrationIsNoCrash(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	for i := range 2 {
		d.upstream(fmt.Sprint("u", i), "app", func(w http.ResponseWriter, _ *http.Request) { reset(w) })
	}
	unreachable := d.gate()
	p := d.edge("127.0.0.1")
	p.ready(t, 2, 0)
	for range 20 {
		if a := p.send(t, "sound"); a.status != http.StatusBadGateway {
			t.Fatalf("lost responses: %+v", a)
		}
	}
	unreachable.Store(true)
	time.Sleep(checkInterval + 200*time.Millisecond) // a check fails
	for i := range 2 {
		d.store.Delete(platform.KindUpstreams, fmt.Sprint("u", i))
	}
	time.Sleep(retryPause)
	if a := p.send(t, "sound"); a.status != http.StatusBadGateway {
		t.Errorf("after the registrations expired: %+v, want 502", a)
	}
}

// TestCrashBehindReusedAddress guards against a crash that is not counted because
// another upstream has taken over the address by the next request (issue 19).
func TestCrashBehindReusedAddress(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	var crashed atomic.Bool
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		switch {
		case crashed.Load():
			w.Header().Set("Attempt-Id", req.Header.Get("Attempt-Id"))
			w.WriteHeader(http.StatusMisdirectedRequest)
		case crashed.CompareAndSwap(false, true):
			reset(w) // another upstream listens there immediately
		}
	}))
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	d.register("u1", "app", strings.TrimPrefix(srv.URL, "http://"), "ready")
	p := d.edge("127.0.0.1")
	p.ready(t, 1, 0)
	d.store.SetDown(true)
	p.send(t, "poison")
	p.send(t, "sound")
	if list := p.edge.Status().Suspects; len(list) != 1 || list[0].Crashes != 1 {
		t.Errorf("suspects: %+v", list)
	}
}

// TestMissedReportIsLearnt guards against an edge that was paused or disconnected
// when findings were sent, and never asks for them (issue 19).
func TestMissedReportIsLearnt(t *testing.T) {
	t.Parallel()
	for name, storages := range map[string]int{"from an edge": 0, "from a storage process": 3} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.route(clone(unsafeRoute))
			d.upstream("u1", "app", func(w http.ResponseWriter, req *http.Request) { sign(w, req) })
			if storages > 0 {
				d.storages()
			}
			a, b := d.edge("127.0.0.1"), d.edge("127.0.0.2")
			for _, p := range []*process{a, b} {
				p.ready(t, 1, storages)
				eventually(t, "the edges do not know each other", func() bool { return len(p.edge.view.otherEdges()) == 1 })
			}
			s := a.edge.suspects
			s.mu.Lock()
			for _, id := range []string{"x", "y"} { // the findings are not sent
				s.tracker.RecordLost(poison.Run{ID: id}, identity.Request{Content: 7}, time.Now(), time.Now())
				s.tracker.RecordEnd(poison.Run{ID: id}, poison.End{}, time.Now())
			}
			s.mu.Unlock()
			within(t, 3*exchangeInterval, "the other edge has the evidence", func() bool {
				list := b.edge.Status().Suspects
				return len(list) == 1 && list[0].Crashes == 2 && !list[0].Until.IsZero()
			})
		})
	}
}

// TestFirstRequestAfterRestart guards against a restarted edge that serves its first
// requests before it has asked any other process (seeds 1 and 3 of TestCrashingSoak,
// issue 19).
func TestFirstRequestAfterRestart(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	f := newCrashers(d)
	f.deregisterAfter = 100 * time.Millisecond
	f.start(12)
	d.storages()
	p := d.edge("127.0.0.1")
	p.ready(t, 12, 3)
	for range 4 {
		p.send(t, "poison")
		time.Sleep(retryPause)
	}
	before := f.crashCount("poison")
	for round := range 5 {
		p.stop()
		again := *p.settings
		again.FirstStart = false
		p = d.edgeWith(&again)
		var a response
		eventually(t, "the edge does not listen", func() bool { a = p.send(t, "poison"); return a.err == nil })
		if a.status != http.StatusServiceUnavailable {
			t.Errorf("round %d: first request: %+v", round, a)
		}
	}
	if n := f.crashCount("poison") - before; n > 0 {
		t.Errorf("%d more upstreams ended", n)
	}
}

// TestFirstRequestAfterFreeze guards against an edge that was paused and serves a
// quarantined request before it asks the others for their findings (issue 19).
func TestFirstRequestAfterFreeze(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	f := newCrashers(d)
	f.start(4)
	d.storages()
	a, b := d.edge("127.0.0.1"), d.edge("127.0.0.2")
	for _, p := range []*process{a, b} {
		p.ready(t, 4, 3)
	}
	for range 2 {
		a.send(t, "poison")
		time.Sleep(retryPause)
	}
	s := b.edge.suspects
	s.mu.Lock()
	s.tracker = poison.Tracker{} // removes the findings, as if they had been sent during the pause
	s.updateFlagsLocked()
	s.mu.Unlock()
	s.exchanger.due.Store(0) // as if a round had been due during the pause
	if a := b.send(t, "poison"); a.status != http.StatusServiceUnavailable {
		t.Errorf("first request after the pause: %+v", a)
	}
}

// TestCrashingRequestAfterPowerLoss guards against losing a quarantine when all
// processes lose power (issue 19).
func TestCrashingRequestAfterPowerLoss(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	f := newCrashers(d)
	f.deregisterAfter = 100 * time.Millisecond
	f.start(10)
	storages := d.storages()
	p := d.edge("127.0.0.1")
	p.ready(t, 10, 3)
	for range 4 {
		p.send(t, "poison")
		time.Sleep(retryPause)
	}
	time.Sleep(time.Second) // the storage processes write once a second
	for _, s := range append(storages, p) {
		s.stop()
	}
	for _, s := range storages {
		again := *s.settings
		again.FirstStart = false
		d.storageWith(&again)
	}
	p = d.edge("127.0.0.1")
	eventually(t, "the edge is not ready", func() bool { return p.edge.view.ready() && p.listens() })
	within(t, learnTimeout, "the edge knows what the storage processes keep", p.hasSuspects)
	if a := p.send(t, "poison"); a.status != http.StatusServiceUnavailable {
		t.Errorf("request after the power loss: %+v", a)
	}
	if n := f.crashCount("poison"); n > maxCrashes {
		t.Errorf("%d upstreams ended, want at most %d", n, maxCrashes)
	}
}

// TestRelease guards against a request that some processes still refuse after an
// operator has released it.
func TestRelease(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	f := newCrashers(d)
	f.deregisterAfter = 100 * time.Millisecond
	f.start(6)
	a, b := d.edge("127.0.0.1"), d.edge("127.0.0.2")
	for _, p := range []*process{a, b} {
		p.ready(t, 6, 0)
		eventually(t, "the edges do not know each other", func() bool { return len(p.edge.view.otherEdges()) == 1 })
	}
	for range 3 {
		a.send(t, "poison")
		time.Sleep(retryPause)
	}
	list := b.edge.Status().Suspects
	if len(list) != 1 || list[0].Until.IsZero() {
		t.Fatalf("suspects of the other edge: %+v", list)
	}
	rec := httptest.NewRecorder()
	a.edge.serveRelease(rec, httptest.NewRequest(http.MethodPost, ReleasePath+"?fingerprint="+list[0].Fingerprint.String(), nil))
	if rec.Code != http.StatusNoContent {
		t.Fatalf("release: %d %s", rec.Code, rec.Body)
	}
	for _, p := range []*process{a, b} {
		within(t, 3*exchangeInterval, "the request is released", func() bool { return len(p.edge.Status().Suspects) == 0 })
	}
	again := httptest.NewRecorder()
	a.edge.serveRelease(again, httptest.NewRequest(http.MethodPost, ReleasePath+"?fingerprint="+list[0].Fingerprint.String(), nil))
	if again.Code != http.StatusNotFound {
		t.Errorf("second release: status %d, want 404", again.Code)
	}
}

// TestExchangePartners guards against edges that all ask the same process, ask
// themselves, or never ask a process in another region or another edge.
func TestExchangePartners(t *testing.T) {
	all := []string{"a", "b", "c", "d"}
	asked := make(map[string]int)
	for i, own := range all {
		others := slices.Delete(slices.Clone(all), i, i+1)
		for _, p := range successors(own, others) {
			if p == own {
				t.Errorf("%s asks itself", own)
			}
			asked[p]++
		}
	}
	for _, a := range all {
		if asked[a] != 2 {
			t.Errorf("%s is asked by %d edges, want 2", a, asked[a])
		}
	}
	if list := successors("x", nil); len(list) != 0 {
		t.Errorf("partners of a single edge: %v", list)
	}
	first := make(map[string]bool)
	for round := range 3 {
		first[rotate([]string{"t", "s", "u"}, round)[0]] = true
	}
	if len(first) != 3 {
		t.Errorf("three rounds start with %v, want three different processes", first)
	}
}

// TestMismatchedExchanges guards against an edge that stops exchanges for a long time
// after a single mismatch, and against endless complete exchanges.
func TestMismatchedExchanges(t *testing.T) {
	x := newExchanger()
	for i := range maxMismatches - 1 {
		if got := x.nextInterval(false); got != exchangeInterval {
			t.Errorf("interval after %d mismatches: %v", i+1, got)
		}
	}
	if got := x.nextInterval(false); got != mismatchInterval {
		t.Errorf("interval after %d mismatches: %v", maxMismatches, got)
	}
	if got := x.nextInterval(true); got != exchangeInterval {
		t.Errorf("interval after a match: %v", got)
	}
	if got := x.nextInterval(false); got != exchangeInterval {
		t.Errorf("interval after a mismatch that follows a match: %v", got)
	}
}
