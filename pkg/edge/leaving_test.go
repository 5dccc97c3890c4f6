package edge

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// leaver is an upstream that says in each answer that it leaves, once it does.
type leaver struct {
	leaves atomic.Bool
	answer http.HandlerFunc // while it leaves

	mu   sync.Mutex
	sent []string // ids of requests
}

func (l *leaver) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	l.mu.Lock()
	l.sent = append(l.sent, req.Header.Get("Attempt-Id"))
	l.mu.Unlock()
	if l.leaves.Load() {
		w.Header().Set("Server-Leaving", "1")
		l.answer(w, req)
		return
	}
	serveAny(w, req)
}

func (l *leaver) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.sent)
}

// serveAny answers plain requests and streams.
func serveAny(w http.ResponseWriter, req *http.Request) {
	if strings.HasPrefix(req.URL.Path, "/resumable/") {
		events(w, req, 1, 2)
		return
	}
	sign(w, req)
	_, _ = w.Write([]byte("ok"))
}

// refuseAs answers with a status as an upstream that did not run the request.
func refuseAs(status int, header string) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Attempt-Id", req.Header.Get("Attempt-Id"))
		if header != "" {
			w.Header().Set(header, "1")
		}
		w.WriteHeader(status)
	}
}

// Guards against new work for an upstream that says in its answers that it leaves,
// whatever kind of answer it was and although its registration says "ready", with
// the store and without it.
func TestNoWorkForLeavingUpstream(t *testing.T) {
	kinds := map[string]struct {
		path   string
		answer http.HandlerFunc
	}{
		"answer":           {"/unsafe/1", serveAny},
		"stream":           {"/resumable/1", serveAny},
		"rejection":        {"/unsafe/1", refuseAs(http.StatusServiceUnavailable, "Not-Executed")},
		"bad request":      {"/unsafe/1", refuseAs(http.StatusBadRequest, "Not-Executed")},
		"error of its own": {"/unsafe/1", refuseAs(http.StatusInternalServerError, "")},
	}
	for name, kind := range kinds {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.route(clone(unsafeRoute))
			d.route(clone(resumable))
			l := &leaver{answer: kind.answer}
			for _, service := range []string{"app", "llm"} {
				d.upstream("leaver-"+service, service, l.ServeHTTP)
				d.upstream("other-"+service, service, serveAny)
			}
			p := d.edge("127.0.0.1")
			p.ready(t, 4, 0)
			l.leaves.Store(true)
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
				t.Errorf("%d requests reached the upstream that leaves", n)
			}
		})
	}
}

// Guards against streams that are cut because their upstream leaves, and against
// refusals while an upstream that leaves is the last of its service.
func TestLastUpstreamLeaves(t *testing.T) {
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
	long := make(chan answer, 1)
	began := time.Now()
	go func() { long <- p.call(t, "POST", "/resumable/long", "x", map[string]string{"Attempt-Id": "l"}) }()
	time.Sleep(100 * time.Millisecond)
	if a := p.call(t, "POST", "/resumable/1", "x", map[string]string{"Attempt-Id": "m"}); a.status != http.StatusOK {
		t.Errorf("while the last upstream may still be used: %+v", a)
	}
	time.Sleep(time.Until(began.Add(s.DrainTime/leavingShare + 200*time.Millisecond)))
	if a := p.call(t, "POST", "/resumable/1", "x", map[string]string{"Attempt-Id": "n"}); a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
		t.Errorf("later: %+v", a)
	}
	close(release)
	if a := <-long; a.status != http.StatusOK || a.err != nil || ids(a.body) != "1 2" {
		t.Errorf("the stream on board: %+v", a)
	}
}
