package edge

import (
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestStalledStreamIsLeftForRefusal guards against breaking off a stream of a slow but sound
// upstream because every other upstream, to which it would move, refuses it.
func TestStalledStreamIsLeftForRefusal(t *testing.T) {
	t.Parallel()
	const pause = 900 * time.Millisecond // the stall limit of the route is 450 ms
	d := newDeployment(t)
	d.route(clone(resumable))
	var mu sync.Mutex
	sound := ""
	h := func(w http.ResponseWriter, req *http.Request) {
		id := req.Header.Get("Target-Instance")
		mu.Lock()
		if sound == "" {
			sound = id
		}
		refuses := sound != id
		mu.Unlock()
		if refuses {
			rejectWith(http.StatusServiceUnavailable, "Not-Executed")(w, req)
			return
		}
		if req.Header.Get("Last-Event-Id") == "" {
			events(w, req, 1, 2)
		}
		time.Sleep(pause)
		events(w, req, 3, 4)
	}
	for _, id := range []string{"u1", "u2", "u3"} {
		d.upstream(id, "llm", h)
	}
	p := d.edge("127.0.0.1")
	p.ready(t, 3, 0)
	caller := p.raw(t)
	caller.send(rawRequest("POST", "/resumable/1", "a", "in"))
	if a := caller.receive("POST"); !a.signedSuccess() || eventIDs(a.body) != "1 2 3 4" {
		t.Errorf("%+v", a)
	}
}
