package edge

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestStatus guards against a status that does not show why an upstream is not used.
func TestStatus(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(safeRoute))
	d.upstream("u1", "app", func(w http.ResponseWriter, req *http.Request) { sign(w, req) })
	d.register("u2", "app", "127.0.0.1:1", "draining")
	p := d.edge("127.0.0.1")
	p.ready(t, 2, 0)
	within(t, maxChangeDelay, "all kinds are listed", p.edge.view.live)
	rec := httptest.NewRecorder()
	p.edge.serveStatus(rec, nil)
	var s Status
	if err := json.Unmarshal(rec.Body.Bytes(), &s); err != nil {
		t.Fatal(err)
	}
	if int(s.Configuration) != d.version || !s.Live || !s.WatchesStore || len(s.Upstreams) != 2 {
		t.Fatalf("%+v", s)
	}
	if a, b := s.Upstreams[0], s.Upstreams[1]; a.ID != "u1" || a.UnavailableReason != "" || b.ID != "u2" || b.UnavailableReason != "draining" {
		t.Errorf("upstreams %+v", s.Upstreams)
	}
}
