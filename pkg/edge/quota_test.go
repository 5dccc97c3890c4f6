package edge

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/quota"
	"github.com/yuccaspindle/yuccaspindle/pkg/routing"
	"github.com/yuccaspindle/yuccaspindle/pkg/suspend"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// tenants puts a configuration with workspaces in force.
func (d *deployment) tenants(list ...map[string]any) {
	d.version += 3
	d.store.Put(platform.KindConfig, platform.ConfigName, map[string]any{
		"Version": d.version, "Routes": d.routes, "Services": []map[string]any{{"Name": "app"}},
		"Limits": map[string]any{"MaxBodyBytes": 4 << 20}, "Tenants": list,
	})
}

// quotaCall checks one request of a workspace at an edge and returns the response if it was
// refused.
func quotaCall(e *Edge, workspace string) (admitted bool, refusal *httptest.ResponseRecorder) {
	rec := httptest.NewRecorder()
	c := &call{e: e, w: rec, r: httptest.NewRequest(http.MethodGet, "/", nil), began: time.Now(), table: e.view.table.Load(), route: &routing.Route{}}
	c.deadline = c.began.Add(time.Second)
	c.workspace = c.table.WorkspaceByName(workspace)
	return c.admitQuota(), rec
}

// TestQuotaOfTwoEdges guards against edges that each allow the whole quota, a refusal without
// a time, a workspace that stays refused, and one that no operator can find.
func TestQuotaOfTwoEdges(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(safeRoute))
	d.tenants(map[string]any{"Name": "acme", "ApiKeys": []string{"k1"}, "RatePerS": 20, "Burst": 10}, map[string]any{"Name": "free", "ApiKeys": []string{"k2"}})
	d.upstream("u1", "app", serveAny)
	edges := []*process{d.edge("127.0.0.1"), d.edge("127.0.0.2")}
	for _, p := range edges {
		p.ready(t, 1, 0)
		eventually(t, "the edge does not grant tokens", func() bool { s := p.edge.Status().Quotas; return s.Begun && s.Current && s.Edges == 2 })
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	admitted := 0
	var refusal *httptest.ResponseRecorder
	began := time.Now()
	for i := range 400 {
		wg.Go(func() {
			ok, rec := quotaCall(edges[i%2].edge, "acme")
			mu.Lock()
			defer mu.Unlock()
			if ok {
				admitted++
				return
			}
			refusal = rec
		})
	}
	wg.Wait()
	limit := quota.Bounds{Window: time.Since(began), Overrun: defaultQuotaBounds.Overrun, Slack: defaultQuotaBounds.Slack}.Limit(quota.Quota{Rate: 20, Burst: 10})
	if admitted == 0 || float64(admitted) > limit {
		t.Errorf("%d of 400 requests admitted in %v, want at most %g", admitted, time.Since(began), limit)
	}
	if refusal == nil || refusal.Code != http.StatusTooManyRequests {
		t.Fatalf("refusal %+v", refusal)
	}
	if after, err := strconv.ParseFloat(refusal.Header().Get("Retry-After"), 64); err != nil || after <= 0 || after > 15 {
		t.Errorf("Retry-After %q", refusal.Header().Get("Retry-After"))
	}
	over := append(edges[0].edge.Status().Quotas.Over, edges[1].edge.Status().Quotas.Over...)
	if len(over) == 0 || over[0].Name != "acme" || over[0].PerSecond != 20 || over[0].Refused == 0 {
		t.Errorf("status lists %+v", over)
	}
	eventually(t, "the log does not name the workspace", func() bool {
		return strings.Contains(d.log.text(), `msg="workspace over its quota" workspace=acme`)
	})
	for _, p := range edges {
		eventually(t, "the workspace stays refused", func() bool { ok, _ := quotaCall(p.edge, "acme"); return ok })
		if ok, _ := quotaCall(p.edge, "free"); !ok {
			t.Error("a workspace without a quota is refused")
		}
	}
	var out bytes.Buffer
	edges[0].edge.metrics.set.WritePrometheus(&out)
	if !strings.Contains(out.String(), `yucca_edge_quota_requests_total{result="refused"}`) || strings.Contains(out.String(), "acme") {
		t.Errorf("metrics:\n%s", out.String())
	}
}

// TestNoQuotaNoMessages guards against messages in deployments without quotas.
func TestNoQuotaNoMessages(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(safeRoute))
	d.tenants(map[string]any{"Name": "free", "ApiKeys": []string{"k2"}})
	d.upstream("u1", "app", serveAny)
	edges := []*process{d.edge("127.0.0.1"), d.edge("127.0.0.2")}
	for _, p := range edges {
		p.ready(t, 1, 0)
		within(t, maxChangeDelay, "the other edge is known", func() bool { return p.edge.view.edgeCount() == 2 })
	}
	time.Sleep(3 * quotaIdleTick)
	for _, p := range edges {
		if n := p.edge.quotas.metrics.asks.Get(); n != 0 {
			t.Errorf("%d requests for tokens", n)
		}
		if r := p.call(t, http.MethodGet, "/safe/1", "", nil); r.status == http.StatusTooManyRequests {
			t.Errorf("a request without a workspace: %d", r.status)
		}
	}
}

// TestQuotaClockCountsSuspension guards against tokens that expired during a suspension and
// are used after it.
func TestQuotaClockCountsSuspension(t *testing.T) {
	q := &quotas{began: time.Now(), e: &Edge{suspendedTime: func(time.Time) time.Duration { return time.Hour }}}
	if now := q.now(); now < time.Hour {
		t.Errorf("an hour of suspension counts as %v", now)
	}
}

// BenchmarkAdmitQuota measures the check of a request: clock, lock and decision.
func BenchmarkAdmitQuota(b *testing.B) {
	q := &quotas{began: time.Now(), e: &Edge{suspendedTime: suspend.New().Total, view: &view{}}, metrics: newQuotaMetrics(newMetrics())}
	q.node = quota.NewNode(defaultQuotaBounds, "a")
	q.node.SetMembers([]quota.Member{{Address: "a"}}, q.now())
	id := workspaceID("acme")
	q.node.SetQuotas(1, map[uint64]quota.Quota{id: {Rate: 1e12, Burst: 1e12}}, q.now())
	time.Sleep(time.Millisecond)
	for b.Loop() {
		if d := q.admit(b.Context(), quota.MaxWait, id, false); d.Outcome != quota.Admitted {
			b.Fatal(d)
		}
	}
}
