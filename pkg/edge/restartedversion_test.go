package edge

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

// TestUpstreamRestartsAtOtherVersion guards against a stream that goes on at an upstream
// which started again under its id and address with another version, at an edge that has
// not heard of the new registration (issue 32).
func TestUpstreamRestartsAtOtherVersion(t *testing.T) {
	for name, c := range map[string]struct {
		old       string // version that the first registrations name
		restarted int    // upstreams that start again
	}{
		"version named":             {"v1", oldUpstreams},
		"version not named":         {"", oldUpstreams},
		"two of the version go on":  {"v1", oldUpstreams - 2},
		"two without version go on": {"", oldUpstreams - 2},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			route := clone(resumable)
			route["MaxAttempts"] = 1
			d.route(route)
			v := &versionedUpstreams{d: d}
			v.breaks.Store(true)
			var restarted atomic.Bool
			var servers []*httptest.Server
			addresses := make([]string, oldUpstreams)
			for i := range addresses {
				before, after := v.handler("v1"), v.handler("v2")
				isNew := func() bool { return i < c.restarted && restarted.Load() }
				born := func() int64 {
					if isNew() {
						return 2
					}
					return 1
				}
				srv := httptest.NewServer(withState(born, func(w http.ResponseWriter, req *http.Request) {
					if isNew() {
						after(w, req)
						return
					}
					before(w, req)
				}))
				servers = append(servers, srv)
				t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
				addresses[i] = strings.TrimPrefix(srv.URL, "http://")
				d.registerVersion(fmt.Sprint("u", i), "llm", addresses[i], c.old, "ready")
			}
			d.storages()
			behind, gate := d.gatedEdge("127.0.0.2")
			first := d.edge("127.0.0.1")
			behind.ready(t, oldUpstreams, 3)
			first.ready(t, oldUpstreams, 3)
			begun := make([]string, outOfStepStreams)
			for i := range begun {
				a := first.call(t, "POST", "/resumable/1", "in", streamHeader(fmt.Sprint("s", i), false))
				if a.err == nil || eventIDs(a.body) != "1 2 3" {
					t.Fatalf("stream %d: %+v", i, a)
				}
				begun[i] = a.body
			}
			first.stop()
			gate.refusing.Store(true)
			restarted.Store(true)
			for _, srv := range servers {
				srv.CloseClientConnections() // they end with the process
			}
			for i, address := range addresses[:c.restarted] {
				d.store.Put(platform.KindUpstreams, fmt.Sprint("u", i), map[string]any{
					"Service": "llm", "Address": address, "Zone": "a1", "Slots": 8, "State": "ready", "born": 2, "Version": "v2",
				})
			}
			joined, wentOn := 0, 0
			for i := range begun {
				body := (takeUpCase{noBudget: true}).takeUp(t, v, behind, fmt.Sprint("s", i), begun[i])
				if len(versionsOf(body)) > 1 {
					joined++
				}
				if body != begun[i] {
					wentOn++
				}
			}
			if oldUpstreams-c.restarted >= 2 && wentOn < outOfStepStreams/2 {
				t.Errorf("%d of %d streams go on, although two upstreams of their version serve", wentOn, outOfStepStreams)
			}
			if joined > 0 {
				t.Errorf("%d of %d streams join events of two versions", joined, outOfStepStreams)
			}
		})
	}
}
