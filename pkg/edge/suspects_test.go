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

// crashing registers an upstream that ends, with its address and its
// registration, when it is sent a body that contains "poison".
func (d *deployment) crashing(id string, crashes *atomic.Int32) {
	d.t.Helper()
	var srv *httptest.Server
	srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body) // the entry sends whole bodies
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

// Guards against a request that comes again and again, at any entry, and
// crashes all upstreams one after the other.
func TestPoisonRequest(t *testing.T) {
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	var crashes atomic.Int32
	for i := range 8 {
		d.crashing(fmt.Sprintf("u%d", i), &crashes)
	}
	entries := []*process{d.edge("127.0.0.1"), d.edge("127.0.0.2")}
	for _, p := range entries {
		p.ready(t, 8, 0)
		eventually(t, "the entries do not know each other", func() bool { return len(p.edge.view.otherEdges()) == 1 })
	}
	var last answer
	for i := range 8 {
		last = entries[i%2].call(t, "POST", "/unsafe/1", "poison", map[string]string{"Attempt-Id": fmt.Sprint("p", i)})
		time.Sleep(300 * time.Millisecond) // the caller comes back
	}
	if n := crashes.Load(); n > 2 {
		t.Errorf("%d upstreams crashed, want at most 2", n)
	}
	if last.status != http.StatusServiceUnavailable || last.header.Get("Retry-After") == "" {
		t.Errorf("refused with %+v", last)
	}
	for _, p := range entries {
		if a := p.call(t, "POST", "/unsafe/1", "harmless", map[string]string{"Attempt-Id": "h"}); a.status != http.StatusOK {
			t.Errorf("another request: %+v", a)
		}
	}
}
