package edge

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// leavingUpstream is an upstream that announces its shutdown in each response once
// leaving is set.
type leavingUpstream struct {
	leaving atomic.Bool
	handler http.HandlerFunc // while leaving is set

	mu         sync.Mutex
	requestIDs []string
}

func (l *leavingUpstream) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	l.mu.Lock()
	l.requestIDs = append(l.requestIDs, req.Header.Get("Attempt-Id"))
	l.mu.Unlock()
	if l.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
		l.handler(w, req)
		return
	}
	serveAny(w, req)
}

func (l *leavingUpstream) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.requestIDs)
}

// serveAny serves plain requests and streams.
func serveAny(w http.ResponseWriter, req *http.Request) {
	if strings.HasPrefix(req.URL.Path, "/resumable/") {
		events(w, req, 1, 2)
		return
	}
	sign(w, req)
	_, _ = w.Write([]byte("ok"))
}

// rejectWith responds with a status like an upstream that did not run the request.
func rejectWith(status int, header string) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Attempt-Id", req.Header.Get("Attempt-Id"))
		if header != "" {
			w.Header().Set(header, "1")
		}
		w.WriteHeader(status)
	}
}

// TestNoWorkForLeavingUpstream guards against sending new work to an upstream that
// has announced its shutdown in any kind of response, although its registration still
// says "ready", with and without the store.
func TestNoWorkForLeavingUpstream(t *testing.T) {
	t.Parallel()
	kinds := map[string]struct {
		path    string
		handler http.HandlerFunc
	}{
		"response":     {"/unsafe/1", serveAny},
		"stream":       {"/resumable/1", serveAny},
		"rejection":    {"/unsafe/1", rejectWith(http.StatusServiceUnavailable, "Not-Executed")},
		"bad request":  {"/unsafe/1", rejectWith(http.StatusBadRequest, "Not-Executed")},
		"server error": {"/unsafe/1", rejectWith(http.StatusInternalServerError, "")},
	}
	for name, kind := range kinds {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.route(clone(unsafeRoute))
			d.route(clone(resumable))
			l := &leavingUpstream{handler: kind.handler}
			for _, service := range []string{"app", "llm"} {
				d.upstream("leaver-"+service, service, l.ServeHTTP)
				d.upstream("other-"+service, service, serveAny)
			}
			p := d.edge("127.0.0.1")
			p.ready(t, 4, 0)
			l.leaving.Store(true)
			for i := 0; l.count() == 0; i++ {
				if i > 200 {
					t.Fatal("no request reaches the upstream")
				}
				p.call(t, "POST", kind.path, "x", map[string]string{"Attempt-Id": "a"})
			}
			before := l.count()
			for i := range 40 {
				if i == 20 {
					d.store.SetDown(true)
				}
				if a := p.call(t, "POST", kind.path, "x", map[string]string{"Attempt-Id": "b"}); a.status != http.StatusOK {
					t.Errorf("%+v", a)
				}
			}
			if n := l.count() - before; n > 0 {
				t.Errorf("%d requests reached the leaving upstream", n)
			}
		})
	}
}

// TestLastUpstreamLeaves guards against interrupting streams because their upstream
// is shutting down, and against refusing requests while the last upstream of a
// service may still be used.
func TestLastUpstreamLeaves(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(resumable))
	release := make(chan struct{})
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Server-Leaving", "1")
		events(w, req, 1, 1)
		if strings.HasSuffix(req.URL.Path, "long") {
			<-release
		}
		events(w, req, 2, 2)
	})
	s := d.settings("127.0.0.1")
	s.DrainTime = 2 * time.Second
	p := d.edgeWith(s)
	p.ready(t, 1, 0)
	long := make(chan response, 1)
	began := time.Now()
	go func() { long <- p.call(t, "POST", "/resumable/long", "x", map[string]string{"Attempt-Id": "l"}) }()
	time.Sleep(100 * time.Millisecond)
	if a := p.call(t, "POST", "/resumable/1", "x", map[string]string{"Attempt-Id": "m"}); a.status != http.StatusOK {
		t.Errorf("request while the last upstream may still be used: %+v", a)
	}
	time.Sleep(time.Until(began.Add(s.DrainTime/leavingTimeDivisor + 200*time.Millisecond)))
	if a := p.call(t, "POST", "/resumable/1", "x", map[string]string{"Attempt-Id": "n"}); a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
		t.Errorf("request after the last upstream may be used: %+v", a)
	}
	close(release)
	if a := <-long; a.status != http.StatusOK || a.err != nil || eventIDs(a.body) != "1 2" {
		t.Errorf("stream in progress: %+v", a)
	}
}
