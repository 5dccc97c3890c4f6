package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/edge"
	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/pkg/poison"
)

// Guards against an output that lacks why an upstream is unavailable, or from where the
// edge receives changes.
func TestStatusCommand(t *testing.T) {
	limit := 6.1
	sent := edge.Status{
		Node: "edge-1", Configuration: 22, Live: true, WatchesStore: true, CheckedAgo: 700 * time.Millisecond,
		Limits:    edge.LimitStatus{Known: 1, Coordinator: "10.0.0.2:7380", Shares: map[string]float64{"coast": 0.25}},
		Upstreams: []fleet.Health{{ID: "u1", Version: "v1.2", RateLimit: &limit, RecentRequests: 7, Service: "app", Load: 2.5, Slots: 6, UnavailableReason: "suspended after failures"}},
		Suspects:  []poison.Suspect{{Fingerprint: 0xabc, Upstreams: []string{"u1", "u2"}, Crashes: 2, Until: time.Unix(1_800_000_000, 0).UTC()}},
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != edge.StatusPath {
			http.NotFound(w, r)
			return
		}
		if err := json.NewEncoder(w).Encode(sent); err != nil {
			t.Error(err)
		}
	}))
	defer srv.Close()
	s, err := fetchStatus(t.Context(), strings.TrimPrefix(srv.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := writeStatus(&out, s); err != nil {
		t.Fatal(err)
	}
	sent.WatchesStore, sent.Follows, sent.Hops, sent.Followers = false, "10.0.0.1:7380", 1, []string{"10.0.0.9:7380"}
	if s, err = fetchStatus(t.Context(), strings.TrimPrefix(srv.URL, "http://")); err != nil {
		t.Fatal(err)
	}
	if err := writeStatus(&out, s); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"follows 10.0.0.1:7380, 1 entries from the store", "1 [10.0.0.9:7380]", "edge-1", "v1.2", "6.1/s, 7 sent", "1, divided by 10.0.0.2:7380", "25.0%", "22, watches the store, sure of 700ms ago", "suspended after failures", "2.5", "request 0000000000000abc", "2 crashes [u1 u2], refused until 2027-01-15T08:00:00Z"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in:\n%s", want, out.String())
		}
	}
}
