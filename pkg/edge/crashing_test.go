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

	"github.com/yuccaspindle/yuccaspindle/pkg/poison"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	// pause is the time after which a caller comes back.
	pause = 300 * time.Millisecond
	// contactTime is how long a process may not know yet what it has missed.
	contactTime = 4 * time.Second
)

// suspectsAny reports whether an entry knows of a request on board of a crash.
func (p *process) suspectsAny() bool { return len(p.edge.Status().Suspects) > 0 }

// Guards against entries that start again and know nothing of what the others
// have found (issue 19): the request crashed two more upstreams with each restart.
func TestCrashingRequestAfterRestart(t *testing.T) {
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	f := newCrashers(d)
	f.lapse = 100 * time.Millisecond
	f.start(16)
	const ips = 3
	entries := make([]*process, ips)
	for i := range entries {
		entries[i] = d.edge(fmt.Sprintf("127.0.0.%d", i+1))
	}
	for _, p := range entries {
		p.ready(t, 16, 0)
		eventually(t, "the entries do not know each other", func() bool { return len(p.edge.view.otherEdges()) == ips-1 })
	}
	for i := range 2 * ips {
		entries[i%ips].send(t, "poison")
		time.Sleep(pause)
	}
	for round := range 2 {
		for i := range entries {
			entries[i].stop()
			entries[i] = d.edge(fmt.Sprintf("127.0.0.%d", i+1))
			eventually(t, "the entry is not ready", func() bool { return entries[i].edge.view.ready() && entries[i].listens() })
			within(t, contactTime, "the entry knows what the others found", entries[i].suspectsAny)
			if a := entries[i].send(t, "poison"); a.status != http.StatusServiceUnavailable {
				t.Errorf("round %d, entry %d after its restart: %d %v", round, i, a.status, a.err)
			}
		}
	}
	if n := f.by("poison"); n > maxCrashes {
		t.Errorf("%d upstreams ended, want at most %d", n, maxCrashes)
	}
}

// Guards against the quarantine that is forgotten when all entries start again at
// the same time, though storage processes go on (issue 19).
func TestCrashingRequestAfterRestartOfAll(t *testing.T) {
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	f := newCrashers(d)
	f.lapse = 100 * time.Millisecond
	f.start(10)
	d.storages()
	p := d.edge("127.0.0.1")
	p.ready(t, 10, 3)
	for range 4 {
		p.send(t, "poison")
		time.Sleep(pause)
	}
	p.stop()
	p = d.edge("127.0.0.1")
	eventually(t, "the entry is not ready", func() bool { return p.edge.view.ready() && p.listens() })
	within(t, contactTime, "the entry knows what the storage processes keep", p.suspectsAny)
	for range 4 {
		p.send(t, "poison")
		time.Sleep(pause)
	}
	if n := f.by("poison"); n > maxCrashes {
		t.Errorf("%d upstreams ended, want at most %d", n, maxCrashes)
	}
}

// Guards against requests that crash upstreams together, so that none of them is
// the only suspect on board (issue 19).
func TestCrashingRequestsTogether(t *testing.T) {
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	f := newCrashers(d)
	f.boarding, f.lapse, f.replaced = 100*time.Millisecond, 50*time.Millisecond, true
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
		time.Sleep(pause)
	}
	for _, b := range bodies {
		if n := f.by(b); n > maxCrashes {
			t.Errorf("%q was on board of %d crashes, want at most %d", b, n, maxCrashes)
		}
	}
}

// Guards against a sound request that is repeated beside one that crashes
// upstreams: it kept the other one from being the only suspect, or was refused
// in its place (issue 19).
func TestCrashingRequestBesideSoundOne(t *testing.T) {
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	f := newCrashers(d)
	f.boarding, f.lapse, f.replaced = 100*time.Millisecond, 50*time.Millisecond, true
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
				time.Sleep(pause / 3)
			}
		})
		callers.Wait()
		time.Sleep(pause)
	}
	if n := f.by("poison"); n > maxCrashes {
		t.Errorf("%d upstreams ended, want at most %d", n, maxCrashes)
	}
	if !served {
		t.Error("the sound request was never answered")
	}
	if a := p.send(t, "sound"); a.status != http.StatusOK {
		t.Errorf("the sound request in the end: %+v", a)
	}
}

// Guards against crashes that nobody counts because the connections of the
// upstream only fall silent, or because the caller has left (issue 19).
func TestSilentCrash(t *testing.T) {
	for name, timeout := range map[string]time.Duration{"until the deadline": 0, "until the caller leaves": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			route := clone(unsafeRoute)
			route["TimeoutMs"] = 600
			d.route(route)
			f := newCrashers(d)
			f.silent, f.lapse = true, 100*time.Millisecond
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
				time.Sleep(pause)
			}
			if n := f.by("poison"); n > maxCrashes {
				t.Errorf("%d upstreams ended, want at most %d", n, maxCrashes)
			}
		})
	}
}

// Guards against crashes that nobody counts because the upstream is back under
// its id before another connection is made and before the store tells of it
// (issue 19).
func TestCrashBehindAbsentStore(t *testing.T) {
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	f := newCrashers(d)
	f.back = 200 * time.Millisecond
	f.start(2)
	p := d.edge("127.0.0.1")
	p.ready(t, 2, 0)
	d.store.SetDown(true)
	for range 8 {
		p.send(t, "poison")
		time.Sleep(2 * pause)
	}
	if n := f.by("poison"); n > maxCrashes {
		t.Errorf("%d upstreams ended, want at most %d", n, maxCrashes)
	}
	if a := p.send(t, "sound"); a.status != http.StatusOK {
		t.Errorf("another request: %+v", a)
	}
}

// Guards against a sound request that is refused because its upstreams lost its
// answers and their registrations lapsed while the store was away (issue 19).
func TestLapsedRegistrationIsNoCrash(t *testing.T) {
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	for i := range 2 {
		d.upstream(fmt.Sprint("u", i), "app", func(w http.ResponseWriter, _ *http.Request) { reset(w) })
	}
	away := d.gate()
	p := d.edge("127.0.0.1")
	p.ready(t, 2, 0)
	for range 20 {
		if a := p.send(t, "sound"); a.status != http.StatusBadGateway {
			t.Fatalf("lost answers: %+v", a)
		}
	}
	away.Store(true)
	time.Sleep(checkInterval + 200*time.Millisecond) // a check fails
	for i := range 2 {
		d.store.Delete(platform.KindUpstreams, fmt.Sprint("u", i))
	}
	time.Sleep(pause)
	if a := p.send(t, "sound"); a.status != http.StatusBadGateway {
		t.Errorf("refused although the upstreams may live: %+v", a)
	}
}

// Guards against a crash that nobody counts because another upstream has the
// address when the next request comes (issue 19).
func TestCrashBehindReusedAddress(t *testing.T) {
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	var crashed atomic.Bool
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		switch {
		case crashed.Load():
			w.Header().Set("Attempt-Id", req.Header.Get("Attempt-Id"))
			w.WriteHeader(http.StatusMisdirectedRequest)
		case crashed.CompareAndSwap(false, true):
			reset(w) // and another one listens there at once
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

// Guards against an entry that was frozen or cut off when the others were told, and
// never asks (issue 19).
func TestMissedReportIsLearnt(t *testing.T) {
	for name, storages := range map[string]int{"from an entry": 0, "from a storage process": 3} {
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
				eventually(t, "the entries do not know each other", func() bool { return len(p.edge.view.otherEdges()) == 1 })
			}
			s := a.edge.suspects
			s.mu.Lock()
			for _, id := range []string{"x", "y"} { // nobody is told
				s.tracker.RecordLost(poison.Run{ID: id}, 7, time.Now(), time.Now())
				s.tracker.RecordEnd(poison.Run{ID: id}, time.Now())
			}
			s.mu.Unlock()
			within(t, 3*exchangeInterval, "the other entry knows", func() bool {
				list := b.edge.Status().Suspects
				return len(list) == 1 && list[0].Crashes == 2 && !list[0].Until.IsZero()
			})
		})
	}
}

// Guards against the first requests of an entry that starts again: they were served
// before it had asked anybody (seeds 1 and 3 of TestCrashingSoak, issue 19).
func TestFirstRequestAfterRestart(t *testing.T) {
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	f := newCrashers(d)
	f.lapse = 100 * time.Millisecond
	f.start(12)
	d.storages()
	p := d.edge("127.0.0.1")
	p.ready(t, 12, 3)
	for range 4 {
		p.send(t, "poison")
		time.Sleep(pause)
	}
	before := f.by("poison")
	for round := range 5 {
		p.stop()
		again := *p.settings
		again.FirstStart = false
		p = d.edgeWith(&again)
		var a answer
		eventually(t, "nobody listens", func() bool { a = p.send(t, "poison"); return a.err == nil })
		if a.status != http.StatusServiceUnavailable {
			t.Errorf("round %d: the first request: %+v", round, a)
		}
	}
	if n := f.by("poison") - before; n > 0 {
		t.Errorf("%d more upstreams ended", n)
	}
}

// Guards against an entry that was frozen and serves the request that the others
// have found before it asks them (issue 19).
func TestFirstRequestAfterFreeze(t *testing.T) {
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
		time.Sleep(pause)
	}
	s := b.edge.suspects
	s.mu.Lock()
	s.tracker = poison.Tracker{} // what it missed while it was frozen
	s.noteLocked()
	s.mu.Unlock()
	s.exchange.due.Store(0) // the time of the freeze
	if a := b.send(t, "poison"); a.status != http.StatusServiceUnavailable {
		t.Errorf("the first request after the freeze: %+v", a)
	}
}

// Guards against the quarantine that is forgotten when everything loses power
// (issue 19).
func TestCrashingRequestAfterPowerLoss(t *testing.T) {
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	f := newCrashers(d)
	f.lapse = 100 * time.Millisecond
	f.start(10)
	storages := d.storages()
	p := d.edge("127.0.0.1")
	p.ready(t, 10, 3)
	for range 4 {
		p.send(t, "poison")
		time.Sleep(pause)
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
	eventually(t, "the entry is not ready", func() bool { return p.edge.view.ready() && p.listens() })
	within(t, contactTime, "the entry knows what the storage processes keep", p.suspectsAny)
	if a := p.send(t, "poison"); a.status != http.StatusServiceUnavailable {
		t.Errorf("after the power loss: %+v", a)
	}
	if n := f.by("poison"); n > maxCrashes {
		t.Errorf("%d upstreams ended, want at most %d", n, maxCrashes)
	}
}

// Guards against a request that stays refused at some processes after an operator
// has released it.
func TestRelease(t *testing.T) {
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	f := newCrashers(d)
	f.lapse = 100 * time.Millisecond
	f.start(6)
	a, b := d.edge("127.0.0.1"), d.edge("127.0.0.2")
	for _, p := range []*process{a, b} {
		p.ready(t, 6, 0)
		eventually(t, "the entries do not know each other", func() bool { return len(p.edge.view.otherEdges()) == 1 })
	}
	for range 3 {
		a.send(t, "poison")
		time.Sleep(pause)
	}
	list := b.edge.Status().Suspects
	if len(list) != 1 || list[0].Until.IsZero() {
		t.Fatalf("suspects of the other entry: %+v", list)
	}
	rec := httptest.NewRecorder()
	a.edge.serveRelease(rec, httptest.NewRequest(http.MethodPost, ReleasePath+"?fingerprint="+hex(list[0].Fingerprint), nil))
	if rec.Code != http.StatusNoContent {
		t.Fatalf("release: %d %s", rec.Code, rec.Body)
	}
	for _, p := range []*process{a, b} {
		within(t, 3*exchangeInterval, "the request is released", func() bool { return len(p.edge.Status().Suspects) == 0 })
	}
	again := httptest.NewRecorder()
	a.edge.serveRelease(again, httptest.NewRequest(http.MethodPost, ReleasePath+"?fingerprint="+hex(list[0].Fingerprint), nil))
	if again.Code != http.StatusNotFound {
		t.Errorf("a second release: %d", again.Code)
	}
}

// Guards against entries that all ask the same process, ask themselves, or never
// ask one in another region or another entry.
func TestPartnersOfEntries(t *testing.T) {
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
			t.Errorf("%s is asked by %d entries", a, asked[a])
		}
	}
	if list := successors("x", nil); len(list) != 0 {
		t.Errorf("partners of a single entry: %v", list)
	}
	first := make(map[string]bool)
	for round := range 3 {
		first[rotate([]string{"t", "s", "u"}, round)[0]] = true
	}
	if len(first) != 3 {
		t.Errorf("three rounds begin with %v", first)
	}
}

// Guards against an entry that asks nobody for a long time because it has met
// something new in one exchange, and against full exchanges without end.
func TestDifferingExchanges(t *testing.T) {
	x := newExchange()
	for i := range maxDiffering - 1 {
		if got := x.next(false); got != exchangeInterval {
			t.Errorf("after %d exchanges that differ: %v", i+1, got)
		}
	}
	if got := x.next(false); got != differPause {
		t.Errorf("after %d exchanges that differ: %v", maxDiffering, got)
	}
	if got := x.next(true); got != exchangeInterval {
		t.Errorf("after one that does not: %v", got)
	}
	if got := x.next(false); got != exchangeInterval {
		t.Errorf("after one more that does: %v", got)
	}
}
