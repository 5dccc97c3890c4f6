//go:build review3

package harness3

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"
)

// worker is a model worker: it answers each turn with events of up to chunkTokens tokens.
type worker struct {
	w      *world
	id     string
	born   int64
	events int           // of an answer
	pause  time.Duration // before each event
	// endless is set if the worker goes on after its last event until its caller closes.
	endless atomic.Bool
	running atomic.Int32
}

// addWorker starts a worker and registers it in the platform's store.
func (w *world) addWorker(id, zone string, events int, pause time.Duration) *worker {
	u := &worker{w: w, id: id, born: time.Now().UnixMilli(), events: events, pause: pause}
	srv := httptest.NewServer(u)
	w.t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	w.store.Put("servers", id, map[string]any{
		"Service": "models", "Address": strings.TrimPrefix(srv.URL, "http://"), "Zone": zone, "Version": "v1", "Slots": 8, "State": "ready",
		"ColdRemainingMs": 0, "Sequence": 1, "born": u.born,
	})
	return u
}

// ServeHTTP implements http.Handler.
func (u *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	switch {
	case r.URL.Path == "/report":
		h.Set("Content-Type", "application/json")
		fmt.Fprintf(rw, `{"Stage":"dual","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Busy":false,"Sequence":1,"Queued":0,"Active":%d,"KvUsed":0,"KvTotal":97943,"Handles":0,"born":%d}`, u.running.Load(), u.born)
		return
	case r.URL.Path == "/healthz":
		h.Set("Instance-Id", u.id)
		return
	}
	id := r.Header.Get("Attempt-Id")
	h.Set("Attempt-Id", id)
	if target := r.Header.Get("Target-Instance"); target != "" && target != u.id {
		h.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	running := u.running.Add(1)
	defer u.running.Add(-1)
	u.w.say("%s runs %s of program %s", u.id, id, r.Header.Get("Program-Id"))
	h.Set("Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1")
	h.Set("Content-Type", "text/event-stream")
	h.Set("Weight-Versions", "1")
	h.Set("Server-Load", fmt.Sprintf("%d,0,8", running))
	for n := 1; n <= u.events || u.endless.Load(); n++ {
		select {
		case <-time.After(u.pause):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s-%d\n\n", n, id, n); err != nil {
			return
		}
		rw.(http.Flusher).Flush()
	}
}
