package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// boundedUpstream has a number of places and rejects requests that find none.
type boundedUpstream struct {
	places chan struct{}
	hold   func() // how long a request runs
	ran    *attemptRuns
}

func (u *boundedUpstream) serve(w http.ResponseWriter, req *http.Request) {
	select {
	case u.places <- struct{}{}:
	default:
		rejectWith(http.StatusServiceUnavailable, "Not-Executed")(w, req)
		return
	}
	u.ran.add(req.Header.Get("Attempt-Id"), req.Header.Get("Target-Instance"))
	u.hold()
	<-u.places
	serveAny(w, req)
}

// boundedUpstreams starts upstreams of both services with a number of places each.
func (d *deployment) boundedUpstreams(n, places int, hold func()) *attemptRuns {
	ran := &attemptRuns{at: make(map[string]map[string]bool), all: make(map[string]int)}
	for i := range n {
		for _, service := range []string{"app", "llm"} {
			u := &boundedUpstream{places: make(chan struct{}, places), hold: hold, ran: ran}
			d.upstream(fmt.Sprint(service, i), service, u.serve)
		}
	}
	return ran
}

// slowRoute returns a route whose requests may wait for seconds.
func slowRoute(route map[string]any) map[string]any {
	r := clone(route)
	r["TimeoutMs"], r["TargetLatencyMs"] = 10000, 8000
	return r
}

// fullEdge starts an edge whose two upstreams of each service have one place, which a request
// holds until release is called, and a request "waits" that waits.
func fullEdge(t *testing.T, ctx context.Context, path string) (d *deployment, p *process, ran *attemptRuns, release func(), waits chan response) {
	d = newDeployment(t)
	for _, r := range []map[string]any{safeRoute, unsafeRoute, resumable} {
		d.route(slowRoute(r))
	}
	held := make(chan struct{})
	release = sync.OnceFunc(func() { close(held) })
	ran = d.boundedUpstreams(2, 1, func() { <-held })
	p = d.edge("127.0.0.1")
	t.Cleanup(release) // before the upstreams end
	p.ready(t, 4, 0)
	for i := range 2 {
		id := fmt.Sprint("holds", i)
		go p.call(t, "POST", path, "x", map[string]string{"Attempt-Id": id})
		eventually(t, "no request runs", func() bool { n, _ := ran.runs(id); return n == 1 })
	}
	waits = make(chan response, 1)
	go func() {
		waits <- p.callContext(t, ctx, "POST", path, "x", map[string]string{"Attempt-Id": "waits"})
	}()
	eventually(t, "the request does not wait", func() bool { return p.edge.lines.waiting() == 1 })
	return d, p, ran, release, waits
}

// TestWaitingRequestIsServed guards against refusing a request that finds all upstreams full
// although room appears in time.
func TestWaitingRequestIsServed(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/safe/1", "/unsafe/1", "/resumable/1"} {
		t.Run(path, func(t *testing.T) {
			_, p, ran, release, waits := fullEdge(t, context.Background(), path)
			release()
			if a := <-waits; a.status != http.StatusOK || a.err != nil {
				t.Errorf("%+v", a)
			}
			if n, _ := ran.runs("waits"); n != 1 || p.edge.lines.waiting() != 0 || p.edge.lines.held() != 0 {
				t.Errorf("ran %d times, %d wait", n, p.edge.lines.waiting())
			}
		})
	}
}

// TestRunningRequestTakesNoFurtherPlace guards against a request that is let through and counts
// twice until its end, at its upstream and as one on its way: others wait although there is
// room.
func TestRunningRequestTakesNoFurtherPlace(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	route := slowRoute(unsafeRoute)
	route["TimeoutMs"] = 60000 // longer than the checks take
	d.route(route)
	hold := make(chan struct{})
	ran := d.boundedUpstreams(1, 1, func() { <-hold })
	p := d.edge("127.0.0.1")
	release := sync.OnceFunc(func() { close(hold) })
	t.Cleanup(release)
	p.ready(t, 2, 0)
	var wg sync.WaitGroup
	send := func(id string) {
		wg.Go(func() { p.call(t, "POST", "/unsafe/1", "x", map[string]string{"Attempt-Id": id}) })
	}
	runs := func(id string) func() bool {
		return func() bool { n, _ := ran.runs(id); return n == 1 }
	}
	send("first")
	eventually(t, "no request runs", runs("first"))
	send("waits")
	eventually(t, "the request does not wait", func() bool { return p.edge.lines.waiting() == 1 })
	hold <- struct{}{}
	eventually(t, "the waiting request does not run", runs("waits"))
	eventually(t, "the running request counts as on its way", func() bool {
		p.edge.lines.mu.Lock()
		defer p.edge.lines.mu.Unlock()
		return p.edge.lines.service("app").passing == 0
	})
	release()
	wg.Wait()
}

// TestWaitEnds guards against a request that stays in the line, or runs, after its caller has
// left, its route is gone, its time is over or the edge stops, and against a wrong answer.
func TestWaitEnds(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		end  func(d *deployment, p *process, leave func())
		want int // status; 0: the caller gets none
	}{
		"caller left": {func(_ *deployment, _ *process, leave func()) { leave() }, 0},
		"route gone": {func(d *deployment, _ *process, _ func()) {
			d.routes = nil
			d.route(clone(safeRoute))
		}, http.StatusNotFound},
		"stop":        {func(_ *deployment, p *process, _ func()) { p.cancel() }, http.StatusServiceUnavailable},
		"time passed": {func(*deployment, *process, func()) {}, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			d, p, ran, _, waits := fullEdge(t, ctx, "/unsafe/1")
			c.end(d, p, leave)
			eventually(t, "the request still waits", func() bool { return p.edge.lines.waiting() == 0 })
			a := <-waits
			if c.want == 0 && a.err == nil || c.want != 0 && a.status != c.want {
				t.Errorf("%+v", a)
			}
			if a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") == "" {
				t.Errorf("no time to return: %+v", a)
			}
			if n, _ := ran.runs("waits"); n != 0 {
				t.Errorf("ran %d times", n)
			}
		})
	}
}

// TestRequestsRunOnceUnderShedding guards against a request that runs twice, or runs although
// its caller is told that it has not, while upstreams reject requests and others wait.
func TestRequestsRunOnceUnderShedding(t *testing.T) {
	t.Parallel()
	const callers, perCaller, seed = 24, 12, 5
	d := newDeployment(t)
	d.route(slowRoute(unsafeRoute))
	d.route(slowRoute(resumable))
	var mu sync.Mutex
	draw := rand.New(rand.NewPCG(seed, 0))
	ran := d.boundedUpstreams(2, 2, func() {
		mu.Lock()
		pause := time.Duration(5+draw.IntN(20)) * time.Millisecond
		mu.Unlock()
		time.Sleep(pause)
	})
	p := d.edge("127.0.0.1")
	p.ready(t, 4, 0)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			path := []string{"/unsafe/1", "/resumable/1"}[i%2]
			for n := range perCaller {
				id := fmt.Sprintf("%d-%d", i, n)
				a := p.call(t, "POST", path, "x", map[string]string{"Attempt-Id": id})
				runs, _ := ran.runs(id)
				if a.status == http.StatusOK && runs != 1 || a.status == http.StatusServiceUnavailable && runs != 0 || runs > 1 {
					t.Errorf("%s ran %d times: %+v", id, runs, a)
				}
			}
		})
	}
	wg.Wait()
	if !strings.Contains(d.log.text(), "end=served") {
		t.Error("no request was served after a wait, the test shows nothing")
	}
}
