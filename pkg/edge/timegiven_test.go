package edge

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

// givenTimes records how long upstreams were given, in the order of the attempts.
type givenTimes struct {
	mu   sync.Mutex
	list []time.Duration // 0: no deadline was named
}

func (g *givenTimes) record(req *http.Request) int {
	given, _ := platform.TimeGiven(req.Header)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.list = append(g.list, given)
	return len(g.list)
}

// check checks that there was one attempt after each wait, and that no attempt was given
// the time of the waits before it. The waits are the shortest ones that the test allows
// for, so that a busy machine doesn't matter.
func (g *givenTimes) check(t *testing.T, deadline time.Duration, waits ...time.Duration) {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.list) != len(waits) {
		t.Errorf("%d attempts, want %d: the test shows nothing", len(g.list), len(waits))
	}
	for i, given := range g.list {
		if i < len(waits) {
			deadline -= waits[i]
		}
		if given <= 0 || given > deadline {
			t.Errorf("attempt %d was given %v, want %v at most", i+1, given, deadline)
		}
	}
}

// awaitRequest waits until an edge handles a request, so that its time counts.
func (p *process) awaitRequest(t *testing.T) {
	t.Helper()
	eventually(t, "the edge does not handle the request", func() bool {
		n, _ := p.edge.inFlight.ids()
		return n > 0
	})
}

// TestWaitsAreTakenFromTheDeadline guards against an upstream that is given the time for
// which an edge held the request before (issue 35), in each place where one may wait.
func TestWaitsAreTakenFromTheDeadline(t *testing.T) {
	t.Parallel()
	const deadline = 10 * time.Second
	headers := []string{fmt.Sprintf("Deadline-Ms: %d", deadline.Milliseconds())}
	// failFirst fails the first attempt after it did something.
	failFirst := func(g *givenTimes, do func(req *http.Request)) http.HandlerFunc {
		return func(w http.ResponseWriter, req *http.Request) {
			if g.record(req) == 1 {
				do(req)
				reset(w)
				return
			}
			serveAny(w, req)
		}
	}
	nothing := func(*http.Request) {}
	safe := func(t *testing.T, latency time.Duration, h http.HandlerFunc) *deployment {
		d := newDeployment(t)
		r := clone(safeRoute)
		r["TargetLatencyMs"], r["TimeoutMs"] = latency.Milliseconds(), 2*deadline.Milliseconds()
		d.route(r)
		d.upstream("u1", "app", h)
		d.upstream("u2", "app", h)
		return d
	}
	get := rawRequest("GET", "/safe/1", "w", "", headers...)
	ask := func(t *testing.T, p *process, request string) {
		t.Helper()
		c := p.raw(t)
		c.send(request)
		if a := c.receive("GET"); !a.signedSuccess() {
			t.Errorf("%+v", a)
		}
	}

	t.Run("an attempt that breaks late", func(t *testing.T) {
		t.Parallel()
		var g givenTimes
		p := safe(t, deadline, failFirst(&g, func(*http.Request) { time.Sleep(time.Second) })).edge("127.0.0.1")
		p.ready(t, 2, 0)
		ask(t, p, get)
		g.check(t, deadline, 0, time.Second)
	})
	t.Run("an attempt that stalls", func(t *testing.T) {
		t.Parallel()
		const latency = 1200 * time.Millisecond
		var g givenTimes
		p := safe(t, latency, failFirst(&g, func(req *http.Request) { <-req.Context().Done() })).edge("127.0.0.1")
		p.ready(t, 2, 0)
		ask(t, p, get)
		g.check(t, deadline, 0, latency*3/4)
	})
	t.Run("a body that is sent slowly", func(t *testing.T) {
		t.Parallel()
		var g givenTimes
		p := safe(t, deadline, failFirst(&g, nothing)).edge("127.0.0.1")
		p.ready(t, 2, 0)
		c := p.raw(t)
		request := rawRequest("POST", "/safe/1", "w", "slow body", headers...)
		c.send(request[:len(request)-4])
		p.awaitRequest(t)
		time.Sleep(time.Second)
		c.send(request[len(request)-4:])
		if a := c.receive("POST"); !a.signedSuccess() {
			t.Errorf("%+v", a)
		}
		g.check(t, deadline, time.Second, 0)
	})
	t.Run("an edge that does not know the deployment yet", func(t *testing.T) {
		t.Parallel()
		const wait = 100 * time.Millisecond
		var g givenTimes
		d := safe(t, deadline, failFirst(&g, nothing))
		d.store.SetDown(true)
		p := d.edge("127.0.0.1")
		eventually(t, "the edge does not listen", p.listens)
		held := time.Duration(0)
		for i := 0; ; i++ { // the edge holds a request for half a second and then refuses it
			c := p.raw(t)
			c.send(get)
			if i == 0 {
				p.awaitRequest(t)
				time.Sleep(wait)
				d.store.SetDown(false)
				held = wait
			}
			if a := c.receive("GET"); a.signedSuccess() {
				break
			} else if a.status != http.StatusServiceUnavailable || i > 50 {
				t.Fatalf("%+v", a)
			}
			held = 0 // it was refused; a later one may not wait
		}
		g.check(t, deadline, held, 0)
	})
	t.Run("a machine that was suspended", func(t *testing.T) {
		t.Parallel()
		const suspended = time.Second
		var g givenTimes
		var clock *suspendableClock
		d := safe(t, deadline, failFirst(&g, func(*http.Request) { clock.suspend(suspended) }))
		p, c := d.suspendableEdge("127.0.0.1")
		clock = c
		p.ready(t, 2, 0)
		ask(t, p, get)
		g.check(t, deadline, 0, suspended)
	})
	t.Run("storage processes that answer late", func(t *testing.T) {
		t.Parallel()
		const wait = 300 * time.Millisecond
		var g givenTimes
		d := newDeployment(t)
		r := clone(resumable)
		r["TimeoutMs"] = 2 * deadline.Milliseconds()
		d.route(r)
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
		stores := d.storages()
		for _, s := range stores {
			dirs = append(dirs, s.settings.DataDir)
		}
		p := d.edge("127.0.0.1")
		p.ready(t, 2, 3)
		for i := 0; ; i++ {
			var wg sync.WaitGroup
			for _, s := range stores {
				wg.Go(s.stop)
			}
			wg.Wait()
			c := p.raw(t)
			c.send(rawRequest("POST", "/resumable/1", fmt.Sprint("w", i), "in", append(headers, "Program-Id: p", "Token-Budget: 1000", "Token-Count: 10,70")...))
			p.awaitRequest(t)
			time.Sleep(wait)
			for i := range stores {
				s := d.settings(fmt.Sprintf("127.0.0.%d", 11+i))
				s.DataDir, s.FirstStart = dirs[i], false
				stores[i] = d.storageWith(s)
			}
			if a := c.receive("POST"); a.signedSuccess() {
				break
			} else if a.status != http.StatusServiceUnavailable || i > 5 {
				t.Fatalf("%+v", a)
			}
		}
		g.check(t, deadline, wait, 0)
	})
}

// TestDeadlineThatHasPassed guards against a request whose caller has no time left and that
// reaches an upstream with the whole timeout of its route (issue 35), and against a large
// value that is taken for one that has passed.
func TestDeadlineThatHasPassed(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(safeRoute))
	d.route(clone(unsafeRoute))
	var r runs
	d.upstream("u1", "app", func(w http.ResponseWriter, req *http.Request) {
		r.record(req)
		sign(w, req)
	})
	p := d.edge("127.0.0.1")
	p.ready(t, 1, 0)
	for _, c := range []struct {
		deadline string
		status   int
		given    time.Duration // at most, and at least half of it; 0: not sent
	}{
		{"0", 503, 0}, {"-5", 503, 0}, {"0.0", 503, 0},
		{"", 200, 3 * time.Second}, {"abc", 200, 3 * time.Second}, {"NaN", 200, 3 * time.Second},
		{"1e30", 200, 3 * time.Second}, {"+Inf", 200, 3 * time.Second}, {"99999999999999", 200, 3 * time.Second},
	} {
		for _, path := range []string{"/safe/1", "/unsafe/1"} {
			before := r.count()
			header := map[string]string{"Attempt-Id": "a" + c.deadline + path}
			if c.deadline != "" {
				header["Deadline-Ms"] = c.deadline
			}
			a := p.call(t, "GET", path, "", header)
			if a.status != c.status || a.err != nil {
				t.Errorf("%s, %q: status %d, %v, want %d", path, c.deadline, a.status, a.err, c.status)
			}
			if ran := r.count() > before; ran != (c.given > 0) {
				t.Errorf("%s, %q: ran is %v", path, c.deadline, ran)
				continue
			}
			if c.given == 0 {
				continue
			}
			_, head := r.last()
			least := c.given / 2
			if given, _ := platform.TimeGiven(head); given > c.given || given < least {
				t.Errorf("%s, %q: the upstream was given %v, want %v to %v", path, c.deadline, given, least, c.given)
			}
		}
	}
}
