package edge

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

// givenTimes records when upstreams got a request, and how long they were given.
type givenTimes struct {
	mu   sync.Mutex
	list []givenTime
}

type givenTime struct {
	at    time.Time
	given time.Duration
	named bool
}

func (g *givenTimes) record(req *http.Request) int {
	given, named := platform.TimeGiven(req.Header)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.list = append(g.list, givenTime{time.Now(), given, named})
	return len(g.list)
}

// check checks that all attempts end within half a second of the caller's deadline, which
// counts from when the caller sent the head of the request.
func (g *givenTimes) check(t *testing.T, sent time.Time, deadline time.Duration, attempts int) {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.list) != attempts {
		t.Errorf("%d attempts, want %d: the test shows nothing", len(g.list), attempts)
	}
	for i, a := range g.list {
		late := a.at.Add(a.given).Sub(sent.Add(deadline))
		if !a.named || a.given <= 0 || a.given > deadline || late > overlongBy {
			t.Errorf("attempt %d, %v after the request was sent, was given %v (named: %v) of %v: %v too late",
				i+1, a.at.Sub(sent), a.given, a.named, deadline, late)
		}
	}
}

// TestWaitsAreTakenFromTheDeadline guards against an upstream that is given the time for
// which an edge held the request before (issue 35), in each place where one may wait.
func TestWaitsAreTakenFromTheDeadline(t *testing.T) {
	t.Parallel()
	const deadline = 2500 * time.Millisecond
	headers := []string{fmt.Sprintf("Deadline-Ms: %d", deadline.Milliseconds())}
	// failFirst fails the first attempt after a while.
	failFirst := func(g *givenTimes, wait time.Duration) http.HandlerFunc {
		return func(w http.ResponseWriter, req *http.Request) {
			if g.record(req) == 1 {
				time.Sleep(wait)
				reset(w)
				return
			}
			serveAny(w, req)
		}
	}
	safe := func(t *testing.T, latencyMs int, h http.HandlerFunc) *deployment {
		d := newDeployment(t)
		r := clone(safeRoute)
		r["TargetLatencyMs"] = latencyMs
		d.route(r)
		d.upstream("u1", "app", h)
		d.upstream("u2", "app", h)
		return d
	}
	get := rawRequest("GET", "/safe/1", "w", "", headers...)
	ask := func(t *testing.T, p *process, request string) time.Time {
		t.Helper()
		c := p.raw(t)
		sent := time.Now()
		c.send(request)
		if a := c.receive("GET"); !a.signedSuccess() {
			t.Errorf("%+v", a)
		}
		return sent
	}

	t.Run("an attempt that breaks late", func(t *testing.T) {
		t.Parallel()
		var g givenTimes
		p := safe(t, 2000, failFirst(&g, time.Second)).edge("127.0.0.1")
		p.ready(t, 2, 0)
		g.check(t, ask(t, p, get), deadline, 2)
	})
	t.Run("an attempt that stalls", func(t *testing.T) {
		t.Parallel()
		var g givenTimes
		p := safe(t, 1200, failFirst(&g, deadline)).edge("127.0.0.1")
		p.ready(t, 2, 0)
		g.check(t, ask(t, p, get), deadline, 2)
	})
	t.Run("a body that is sent slowly", func(t *testing.T) {
		t.Parallel()
		var g givenTimes
		p := safe(t, 2000, failFirst(&g, 200*time.Millisecond)).edge("127.0.0.1")
		p.ready(t, 2, 0)
		c := p.raw(t)
		sent := time.Now()
		request := rawRequest("POST", "/safe/1", "w", "slow body", headers...)
		c.send(request[:len(request)-4])
		time.Sleep(time.Second)
		c.send(request[len(request)-4:])
		if a := c.receive("POST"); !a.signedSuccess() {
			t.Errorf("%+v", a)
		}
		g.check(t, sent, deadline, 2)
	})
	t.Run("an edge that does not know the deployment yet", func(t *testing.T) {
		t.Parallel()
		var g givenTimes
		d := safe(t, 2000, failFirst(&g, 0))
		d.store.SetDown(true)
		p := d.edge("127.0.0.1")
		eventually(t, "the edge does not listen", p.listens)
		var sent time.Time
		for i := 0; ; i++ { // the edge holds each one for half a second and then refuses it
			c := p.raw(t)
			sent = time.Now()
			c.send(get)
			if i == 1 {
				time.AfterFunc(100*time.Millisecond, func() { d.store.SetDown(false) })
			}
			if a := c.receive("GET"); a.signedSuccess() {
				break
			} else if a.status != http.StatusServiceUnavailable || i > 20 {
				t.Fatalf("%+v", a)
			}
		}
		g.check(t, sent, deadline, 2)
	})
	t.Run("a machine that was suspended", func(t *testing.T) {
		t.Parallel()
		var g givenTimes
		var clock *suspendableClock
		const suspended = time.Second
		d := safe(t, 2000, func(w http.ResponseWriter, req *http.Request) {
			if g.record(req) == 1 {
				clock.suspend(suspended)
				reset(w)
				return
			}
			serveAny(w, req)
		})
		p, c := d.suspendableEdge("127.0.0.1")
		clock = c
		p.ready(t, 2, 0)
		sent := ask(t, p, get)
		g.mu.Lock()
		if len(g.list) == 2 { // the clock of the test was not suspended
			g.list[1].at = g.list[1].at.Add(suspended)
		}
		g.mu.Unlock()
		g.check(t, sent, deadline, 2)
	})
	t.Run("storage processes that answer late", func(t *testing.T) {
		t.Parallel()
		var g givenTimes
		d := newDeployment(t)
		r := clone(resumable)
		d.route(r)
		// The first attempt breaks off after its first event.
		h := func(w http.ResponseWriter, req *http.Request) {
			if g.record(req) == 1 {
				events(w, req, 1, 1)
				cut(w)
			}
			events(w, req, 2, 2)
		}
		d.upstream("u1", "llm", h)
		d.upstream("u2", "llm", h)
		var dirs []string
		var stores []*process
		for i := range 3 {
			dirs = append(dirs, t.TempDir())
			stores = append(stores, d.storage(fmt.Sprintf("127.0.0.%d", 11+i), dirs[i]))
		}
		p := d.edge("127.0.0.1")
		p.ready(t, 2, 3)
		var wg sync.WaitGroup
		for _, s := range stores {
			wg.Go(s.stop)
		}
		wg.Wait()
		time.AfterFunc(300*time.Millisecond, func() {
			for i := range stores {
				s := d.settings(fmt.Sprintf("127.0.0.%d", 11+i))
				s.DataDir, s.FirstStart = dirs[i], false
				stores[i] = d.storageWith(s)
			}
		})
		request := rawRequest("POST", "/resumable/1", "w", "in", append(headers, "Program-Id: p", "Token-Budget: 1000", "Token-Count: 10,70")...)
		g.check(t, ask(t, p, request), deadline, 2)
	})
}
