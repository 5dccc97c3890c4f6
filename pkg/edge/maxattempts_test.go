package edge

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

// attemptRuns records at which upstreams each request ran.
type attemptRuns struct {
	mu  sync.Mutex
	at  map[string]map[string]bool // by id of the request
	all map[string]int             // runs, also those at one upstream
}

func (a *attemptRuns) add(id, upstream string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.at[id] == nil {
		a.at[id] = make(map[string]bool)
	}
	a.at[id][upstream] = true
	a.all[id]++
}

// runs returns how often a request ran, and at how many upstreams.
func (a *attemptRuns) runs(id string) (all, upstreams int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.all[id], len(a.at[id])
}

// failures are the ways in which an upstream ends a request. ran tells whether the request
// counts as run then.
var failures = []struct {
	name string
	ran  bool
	end  func(w http.ResponseWriter, req *http.Request)
}{
	{"reset before the body is read", false, func(w http.ResponseWriter, _ *http.Request) { reset(w) }},
	{"reset", true, func(w http.ResponseWriter, _ *http.Request) { reset(w) }},
	{"cut head", true, func(w http.ResponseWriter, req *http.Request) {
		rawAnswer(w, "HTTP/1.1 200 OK\r\nAttempt-Id: "+req.Header.Get("Attempt-Id")+"\r\n")
	}},
	{"cut body", true, func(w http.ResponseWriter, req *http.Request) {
		rawAnswer(w, "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Length: 9\r\nAttempt-Id: "+req.Header.Get("Attempt-Id")+"\r\n\r\nin")
	}},
	{"not HTTP", true, func(w http.ResponseWriter, _ *http.Request) { rawAnswer(w, "\x16\x03\x01 no answer") }},
	{"500", true, status(http.StatusInternalServerError, false)},
	{"503 that does not say that it has not run", true, status(http.StatusServiceUnavailable, false)},
	{"429 that does not say that it has not run", true, status(http.StatusTooManyRequests, false)},
	{"503 that has not run", false, status(http.StatusServiceUnavailable, true)},
	{"429 that has not run", false, status(http.StatusTooManyRequests, true)},
	{"421", false, status(http.StatusMisdirectedRequest, false)},
	{"success without a signature", true, func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Attempt-Id", req.Header.Get("Attempt-Id"))
	}},
	{"answer to another request", true, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Attempt-Id", "other") }},
	{"silence", true, func(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() }},
	{"closed after the answer without saying so", true, func(w http.ResponseWriter, req *http.Request) {
		rawAnswer(w, "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\nAttempt-Id: "+req.Header.Get("Attempt-Id")+"\r\n\r\n")
	}},
	{"stream cut in an event", true, func(w http.ResponseWriter, req *http.Request) {
		next := 1
		if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
			next = last + 1
		}
		events(w, req, next, next)
		_, _ = io.WriteString(w, "id: 9\nda")
		cut(w)
	}},
	{"stream with a gap", true, func(w http.ResponseWriter, req *http.Request) { events(w, req, 50, 51) }},
}

func status(code int, notRun bool) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, req *http.Request) {
		sign(w, req)
		if notRun {
			w.Header().Set("Not-Executed", "1")
		}
		w.WriteHeader(code)
	}
}

// TestNoMoreThanMaxAttempts guards against a request that more upstreams run than its route
// allows (issue 35), however their attempts end: on kept connections, with bodies that are
// written while the answer is read, in streams that move, and while a configuration lowers
// the number.
func TestNoMoreThanMaxAttempts(t *testing.T) {
	t.Parallel()
	const upstreams, callers, perCaller, seed = 8, 8, 24, 35
	d := newDeployment(t)
	limits := map[string]int{"/safe/": 3, "/unsafe/": 3, "/resumable/": 3, "/once/": 1}
	retried := map[string]bool{"/safe/": true, "/resumable/": true}
	d.route(limited(safeRoute, 3))
	d.route(limited(unsafeRoute, 3))
	d.route(limited(resumable, 3))
	once := limited(safeRoute, 1)
	once["Name"], once["PathPrefix"] = "once", "/once/"
	d.route(once)
	ran := &attemptRuns{at: make(map[string]map[string]bool), all: make(map[string]int)}
	for i := range upstreams {
		var mu sync.Mutex
		draw := rand.New(rand.NewPCG(seed, uint64(i)))
		id := fmt.Sprint("u", i)
		h := func(w http.ResponseWriter, req *http.Request) {
			mu.Lock()
			f, good := failures[draw.IntN(len(failures))], draw.IntN(8) == 0
			mu.Unlock()
			if good {
				_, _ = io.Copy(io.Discard, req.Body)
				ran.add(req.Header.Get("Attempt-Id"), id)
				serveAny(w, req)
				return
			}
			if f.ran {
				_, _ = io.Copy(io.Discard, req.Body)
				ran.add(req.Header.Get("Attempt-Id"), id)
			}
			f.end(w, req)
		}
		service := "app"
		if i%2 == 1 {
			service = "llm"
		}
		d.upstream(id, service, h)
	}
	p := d.edge("127.0.0.1")
	p.ready(t, upstreams, 0)
	send := func(round int, path string) {
		var wg sync.WaitGroup
		for i := range callers {
			wg.Go(func() {
				for n := range perCaller / len(limits) {
					body := fmt.Sprint("body ", round, path, i, n)
					if n%2 == 1 {
						body += string(make([]byte, 20<<10)) // written while the answer is read
					}
					id := fmt.Sprintf("r%d-%s-%d-%d", round, path, i, n)
					p.call(t, "POST", path+id, body, map[string]string{"Attempt-Id": id, "Deadline-Ms": "1500"})
				}
			})
		}
		wg.Wait()
	}
	check := func(round int, path string, limit int) {
		used := 0
		for i := range callers {
			for n := range perCaller / len(limits) {
				id := fmt.Sprintf("r%d-%s-%d-%d", round, path, i, n)
				all, at := ran.runs(id)
				if all > limit {
					t.Errorf("%s ran %d times at %d upstreams, %d are allowed", id, all, at, limit)
				}
				if all == limit {
					used++
				}
			}
		}
		if used == 0 {
			t.Errorf("round %d, %s: no request used all attempts, the test shows nothing", round, path)
		}
	}
	both := func(round int, limits map[string]int) {
		var wg sync.WaitGroup
		for path := range limits {
			wg.Go(func() { send(round, path) })
		}
		wg.Wait()
		for path, limit := range limits {
			if path == "/unsafe/" {
				limit = 1
			}
			check(round, path, limit)
		}
	}
	both(1, limits)
	// The number is lowered while requests run: those that began before may use the old one.
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		time.Sleep(300 * time.Millisecond)
		for _, r := range d.routes {
			if retried[r["PathPrefix"].(string)] {
				r["MaxAttempts"] = 2
			}
		}
		d.route(limited(map[string]any{"Name": "new", "PathPrefix": "/new/", "Kind": "safe", "Service": "app"}, 1))
	}()
	both(2, limits)
	<-changed
	eventually(t, "the configuration is not in force", func() bool { return p.edge.view.table.Load().Version() == uint64(d.version) })
	both(3, map[string]int{"/safe/": 2, "/unsafe/": 1, "/resumable/": 2, "/once/": 1})
	for _, bound := range []string{"attempts", "time", "no_deadline"} {
		if n := p.edge.metrics.set.GetOrCreateCounter(fmt.Sprintf(`yucca_edge_attempts_beyond_bounds_total{bound=%q}`, bound)).Get(); n > 0 {
			t.Errorf("%d attempts beyond their bound of %s", n, bound)
		}
	}
}

func limited(route map[string]any, attempts int) map[string]any {
	r := clone(route)
	r["MaxAttempts"] = attempts
	return r
}
