package edge

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

// registerCrashing registers an upstream that stops listening and loses its
// registration when it receives a body that contains "poison".
func (d *deployment) registerCrashing(id string, crashes *atomic.Int32) {
	d.t.Helper()
	var srv *httptest.Server
	srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body) // the edge sends complete bodies
		if strings.Contains(string(body), "poison") {
			crashes.Add(1)
			_ = srv.Listener.Close()
			d.store.Delete(platform.KindUpstreams, id)
			reset(w)
			return
		}
		sign(w, req)
		_, _ = w.Write([]byte("done"))
	}))
	d.t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	d.register(id, "app", strings.TrimPrefix(srv.URL, "http://"), "ready")
}

// TestPoisonRequest guards against a request that is retried at any edge and crashes
// all upstreams one after the other.
func TestPoisonRequest(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	var crashes atomic.Int32
	for i := range 8 {
		d.registerCrashing(fmt.Sprintf("u%d", i), &crashes)
	}
	edges := []*process{d.edge("127.0.0.1"), d.edge("127.0.0.2")}
	for _, p := range edges {
		p.ready(t, 8, 0)
		eventually(t, "the edges do not know each other", func() bool { return len(p.edge.view.otherEdges()) == 1 })
	}
	var last response
	for i := range 8 {
		last = edges[i%2].call(t, "POST", "/unsafe/1", "poison", map[string]string{"Attempt-Id": fmt.Sprint("p", i)})
		time.Sleep(300 * time.Millisecond) // the caller retries
	}
	if n := crashes.Load(); n > 2 {
		t.Errorf("%d upstreams crashed, want at most 2", n)
	}
	if last.status != http.StatusServiceUnavailable || last.header.Get("Retry-After") == "" {
		t.Errorf("last response: %+v, want 503 with Retry-After", last)
	}
	for _, p := range edges {
		if a := p.call(t, "POST", "/unsafe/1", "harmless", map[string]string{"Attempt-Id": "h"}); a.status != http.StatusOK {
			t.Errorf("harmless request: %+v", a)
		}
	}
}
