package edge

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/ratelimit"
)

const (
	// limitWindow, limitFactor and limitSlack define the most requests that a limited
	// upstream may get: limitFactor times its limit, plus limitSlack, in each
	// limitWindow.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitKnown is how long after an edge forwarded a response with a limit its
	// requests count.
	limitKnown = 500 * time.Millisecond
)

// limitedUpstream is an upstream that names a rate limit in each response.
type limitedUpstream struct {
	mu       sync.Mutex
	limit    float64 // requests a second; negative: none is named
	named    time.Time
	arrivals []time.Time
}

func (l *limitedUpstream) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	now := time.Now()
	l.mu.Lock()
	l.arrivals = append(l.arrivals, now)
	if l.limit >= 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(l.limit, 'f', -1, 64))
		if l.named.IsZero() {
			l.named = now
		}
	}
	l.mu.Unlock()
	serveAny(w, req)
}

// setLimit changes the limit; a negative one ends it.
func (l *limitedUpstream) setLimit(perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = perSecond
}

// since returns the number of requests since a time.
func (l *limitedUpstream) since(from time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, at := range l.arrivals {
		if at.After(from) {
			n++
		}
	}
	return n
}

// most returns the most requests in any window after all edges knew the limit.
func (l *limitedUpstream) most() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	first := 0
	for i, at := range l.arrivals {
		for l.arrivals[first].Before(l.named.Add(limitKnown)) && first < i || at.Sub(l.arrivals[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// callAll sends requests to all edges in turn, at the given interval, for a time. It
// returns the responses.
func callAll(t *testing.T, edges []*process, path string, interval, length time.Duration) []response {
	t.Helper()
	var mu sync.Mutex
	var list []response
	var wg sync.WaitGroup
	tick := time.NewTicker(interval)
	defer tick.Stop()
	end := time.Now().Add(length)
	for i := 0; time.Now().Before(end); i++ {
		<-tick.C
		wg.Go(func() {
			a := edges[i%len(edges)].call(t, "POST", path, "x", map[string]string{"Attempt-Id": fmt.Sprint(path, i)})
			mu.Lock()
			defer mu.Unlock()
			list = append(list, a)
		})
	}
	wg.Wait()
	return list
}

// startEdges starts edges that know each other and the upstreams.
func startEdges(t *testing.T, d *deployment, count, upstreams int) []*process {
	t.Helper()
	edges := make([]*process, count)
	for i := range edges {
		edges[i] = d.edge(fmt.Sprintf("127.0.0.%d", i+1), "127.0.0.1")
	}
	for _, p := range edges {
		p.ready(t, upstreams, 0)
		eventually(t, "the edges do not know each other", func() bool { return len(p.edge.view.otherEdges()) == count-1 })
	}
	return edges
}

// TestRequestsBeyondRateLimit guards against sending an upstream more requests than the
// rate limit that it names to all edges together, while another upstream has capacity
// (issue 26).
func TestRequestsBeyondRateLimit(t *testing.T) {
	t.Parallel()
	for name, path := range map[string]string{"plain": "/unsafe/1", "stream": "/resumable/1"} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.route(clone(unsafeRoute))
			d.route(clone(resumable))
			limited := &limitedUpstream{limit: 2}
			for _, service := range []string{"app", "llm"} {
				d.upstream("limited-"+service, service, limited.ServeHTTP)
				d.upstream("other-"+service, service, serveAny)
			}
			edges := startEdges(t, d, 3, 4)
			for _, a := range callAll(t, edges, path, 15*time.Millisecond, limitWindow+2*time.Second) {
				if a.status != http.StatusOK {
					t.Fatalf("%+v although another upstream has capacity", a)
				}
			}
			if most, bound := limited.most(), int(limitFactor*2*limitWindow.Seconds())+limitSlack; most > bound {
				t.Errorf("%d requests in %v reached the upstream, want at most %d", most, limitWindow, bound)
			}
		})
	}
}

// TestAllUpstreamsAtRateLimit guards against exceeding rate limits when all upstreams
// of a service have one, and against holding a request that none of them may take
// (issue 26).
func TestAllUpstreamsAtRateLimit(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	upstreams := []*limitedUpstream{{limit: 3}, {limit: 0.5}}
	for i, u := range upstreams {
		d.upstream(fmt.Sprint("u", i), "app", u.ServeHTTP)
	}
	edges := startEdges(t, d, 3, 2)
	served := 0
	for _, a := range callAll(t, edges, "/unsafe/1", 15*time.Millisecond, limitWindow+2*time.Second) {
		wait, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		switch {
		case a.status == http.StatusOK:
			served++
		case a.status != http.StatusServiceUnavailable || err != nil || wait <= 0:
			t.Fatalf("%+v, Retry-After %q", a, a.header.Get("Retry-After"))
		}
	}
	if served < int(limitWindow.Seconds()*upstreams[0].limit/2) {
		t.Errorf("%d requests were served", served)
	}
	for i, u := range upstreams {
		if most, bound := u.most(), int(limitFactor*u.limit*limitWindow.Seconds())+limitSlack; most > bound {
			t.Errorf("upstream %d: %d requests in %v, want at most %d", i, most, limitWindow, bound)
		}
	}
}

// TestRateLimitEnds guards against refusing requests after the only upstream of a
// service has stopped naming a limit, and against missing a limit that is lowered.
func TestRateLimitEnds(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	u := &limitedUpstream{limit: 50}
	d.upstream("u", "app", u.ServeHTTP)
	edges := startEdges(t, d, 2, 1)
	callAll(t, edges, "/unsafe/1", 20*time.Millisecond, time.Second)
	u.setLimit(1)
	time.Sleep(limitKnown)
	callAll(t, edges, "/unsafe/2", 20*time.Millisecond, limitKnown)
	lowered := time.Now()
	callAll(t, edges, "/unsafe/3", 20*time.Millisecond, limitWindow)
	if n, bound := u.since(lowered), int(limitFactor*limitWindow.Seconds())+limitSlack; n > bound {
		t.Errorf("%d requests in %v after the limit was lowered, want at most %d", n, limitWindow, bound)
	}
	u.setLimit(-1)
	eventually(t, "the edges do not learn that the limit has ended", func() bool {
		for _, a := range callAll(t, edges, "/unsafe/4", 20*time.Millisecond, 200*time.Millisecond) {
			if a.status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// TestRateLimitIsToldToOthers guards against an edge that sends requests to an upstream
// whose limit only another edge has heard of, and against an edge that starts without
// the limits that the others know (issue 26).
func TestRateLimitIsToldToOthers(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	u := &limitedUpstream{limit: 0.5}
	d.upstream("u", "app", u.ServeHTTP)
	edges := startEdges(t, d, 2, 1)
	edges[1].call(t, "POST", "/unsafe/1", "x", map[string]string{"Attempt-Id": "a"})
	knows := func(p *process) func() bool { return func() bool { return p.edge.limitedCount() == 1 } }
	within(t, 3*limitReportInterval, "the coordinator knows the limit", knows(edges[0]))
	s := d.settings("127.0.0.3")
	s.FirstStart = false
	added := d.edgeWith(s)
	added.ready(t, 1, 0)
	within(t, 3*limitReportInterval, "an edge that has started knows the limit", knows(added))
	if n := u.since(time.Time{}); n != 1 {
		t.Errorf("%d requests", n)
	}
	health := added.edge.Status().Upstreams[0]
	if health.RateLimit == nil || *health.RateLimit != 0.5 {
		t.Errorf("status %+v", health)
	}
}

// BenchmarkLimitReportSize reports the bytes of one report and its reply, while nothing
// changes and when all limits are told.
func BenchmarkLimitReportSize(b *testing.B) {
	now := time.Now()
	for _, limits := range []int{0, 9, 300, 3000} {
		b.Run(fmt.Sprintf("changes=%d", limits), func(b *testing.B) {
			var list []ratelimit.Observation
			for i := range limits {
				list = append(list, ratelimit.Observation{
					Run: ratelimit.Run{ID: fmt.Sprintf("i-%010x", i), StartedUnixMs: now.UnixMilli()}, Reading: ratelimit.Reading{Limited: true, PerSecond: 6.1}, At: now,
				})
			}
			report := &peerv1.LimitReport{Entry: "10.1.0.38:7380", Region: "dar-coast", Demand: 8.8, Active: true, Epoch: 1 << 60, Version: 300}
			reply := &peerv1.LimitShares{Epoch: 1 << 60, Version: 300, Changes: encodeLimits(list, now)}
			encodeShares(reply, ratelimit.Shares{
				Base:   ratelimit.Span{From: 0.1, To: 0.2},
				Grants: map[string]ratelimit.Span{"a": {From: 0.3, To: 0.4}, "b": {From: 0.3, To: 0.4}, "c": {From: 0.3, To: 0.4}},
			})
			for b.Loop() {
				_ = proto.Size(report)
			}
			b.ReportMetric(float64(proto.Size(report)), "B/report")
			b.ReportMetric(float64(proto.Size(reply)), "B/reply")
		})
	}
}
