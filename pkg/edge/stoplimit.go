package edge

import (
	"context"
	"net/http"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/yuccaspindle/yuccaspindle/pkg/attempt"
	"github.com/yuccaspindle/yuccaspindle/pkg/drain"
	"github.com/yuccaspindle/yuccaspindle/pkg/routing"
)

const (
	// lateAfter is how long after the begin of a stop a request is late. The platform
	// accepts a cut of requests that were sent up to 3 s after its signal, which may take
	// a part of a second to arrive.
	lateAfter = 2800 * time.Millisecond
	// maxTimedRoutes limits the routes whose recent times are kept.
	maxTimedRoutes = 1024
)

// whyStop is the reason for ending a request that may be cut at the end of a stop.
const whyStop = "the rest of the stop is too short"

// routeTimes holds how long recent requests took at this edge, by the name of their route.
type routeTimes struct {
	mu     sync.Mutex
	routes *lru.Cache[string, *drain.Times]
}

func newRouteTimes() (*routeTimes, error) {
	routes, err := lru.New[string, *drain.Times](maxTimedRoutes)
	return &routeTimes{routes: routes}, err
}

func (r *routeTimes) add(route string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.routes.Get(route)
	if !ok {
		t = new(drain.Times)
		r.routes.Add(route, t)
	}
	t.Add(d)
}

func (r *routeTimes) estimate(route string) drain.Estimate {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.routes.Get(route)
	if !ok {
		return drain.Estimate{}
	}
	return t.Estimate()
}

// recordTime records how long the request took. One that ended without an answer, because
// its time was over or its caller left, would have taken longer.
func (c *call) recordTime() {
	if c.tracker != nil && !c.receivedAt.IsZero() {
		c.e.times.add(c.route.Name, time.Since(c.receivedAt))
	}
}

// cutTime returns when a stopping edge cuts the requests under way; zero: it does not stop.
func (e *Edge) cutTime() time.Time {
	if e.stopping.Load() == nil {
		return time.Time{}
	}
	return e.stopDeadline().Add(-cutAnswerTime)
}

// stopAttempt returns an attempt of the request that begins now in a stop.
func (c *call) stopAttempt(now time.Time) drain.Attempt {
	return drain.Attempt{
		Rest: c.e.cutTime().Sub(now), Allowed: c.deadline.Sub(now), Recent: c.e.times.estimate(c.route.Name),
		Late: c.receivedAt.Sub(*c.e.stopping.Load()) > lateAfter, Stream: c.route.Kind == routing.Stream,
	}
}

// endAtStop ends a request before an attempt that the rest of a stop can't hold. A stream
// that has begun goes on. It reports whether it ended the request.
func (c *call) endAtStop() bool {
	if c.e.stopping.Load() == nil || c.headSent {
		return false
	}
	a := c.stopAttempt(time.Now())
	if a.Fits() {
		return false
	}
	c.e.logger.Info("request not passed on since the edge stops", "id", c.req.ID, "rest_ms", a.Rest.Milliseconds(), "allowed_ms", a.Allowed.Milliseconds(),
		"late", a.Late, "recent", a.Recent.Requests, "usual_ms", a.Recent.Usual.Milliseconds(), "longest_ms", a.Recent.Longest.Milliseconds())
	if action := c.tracker.NoUpstreamLeft(); action != attempt.Refuse {
		c.e.metrics.endedForStop(action)
		c.fail(action, whyStop)
		return true
	}
	c.refuseAtStop()
	return true
}

// cutByStop reports whether the request was under way at the end of a stop.
func (c *call) cutByStop() bool { return context.Cause(c.r.Context()) == errStopped }

// refuseAtStop refuses a request that has not run and sends its caller to another edge.
func (c *call) refuseAtStop() {
	c.e.metrics.endedForStop(attempt.Refuse)
	c.refuse(http.StatusServiceUnavailable, retryAfterStop, whyStop)
}
