package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/attempt"
	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/pkg/upstream"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// request returns the request to send to an upstream.
func (c *call) request(m *fleet.Member, lastEvent string) *upstream.Request {
	h := platform.ForwardHeader(c.r.Header, platform.ForwardOptions{
		UpstreamID: m.ID, Priority: c.urgency(), LastEventID: lastEvent,
		HideKey: c.hideKey, Workspace: c.workspaceName(),
	})
	return &upstream.Request{
		Address: m.Address, MaxConnections: c.connectionLimit(), ID: c.req.ID,
		Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host, Header: h, BodyPrefix: c.history, Body: c.body, Run: c.expectedRun(m),
		BeforeWrite: c.mayWrite,
	}
}

// send sends the request to a member and reads the response header.
func (c *call) send(ctx context.Context, m *fleet.Member, req *upstream.Request) (*upstream.Response, error) {
	resp, err := c.e.pool.Do(ctx, req)
	c.writtenAt = req.WrittenAt()
	c.checkBounds(m, req)
	if other := (*upstream.OtherRunError)(nil); errors.As(err, &other) {
		c.e.recordOtherRun(m, other.Got, c.req.ID)
	}
	if err != nil {
		return resp, err
	}
	if resp.Leaving {
		c.e.markLeaving(m, c.req.ID)
	}
	c.recordLimit(m, resp.RateLimit)
	c.recordPace(m, resp)
	return resp, nil
}

// overlongBy is how much more time than is left an upstream may be given: the users' rules
// count what is beyond it.
const overlongBy = 500 * time.Millisecond

// checkBounds counts an attempt that was sent beyond the bounds of its request: after as
// many attempts as may run it, or with more time than was left. None of it should happen.
func (c *call) checkBounds(m *fleet.Member, req *upstream.Request) {
	c.given, c.left = 0, 0
	if req.WrittenAt().IsZero() {
		return
	}
	given, named := platform.TimeGiven(req.Header)
	c.given, c.left = given, c.deadline.Sub(req.WrittenAt())
	c.e.metrics.timeGiven(given)
	exceeded := ""
	switch {
	case c.tracker.Exhausted():
		exceeded = "attempts"
	case !named:
		exceeded = "no_deadline"
	case given > c.left+overlongBy, c.req.HasTimeLeft && given > c.req.TimeLeft+overlongBy:
		exceeded = "time"
	default:
		return
	}
	c.e.metrics.boundExceeded(exceeded)
	c.e.logger.Error("attempt beyond the bounds of its request", "id", c.req.ID, "upstream", m.ID, "bound", exceeded,
		"attempts", c.tracker.Attempts(), "max_attempts", c.route.MaxAttempts,
		"given_ms", given.Milliseconds(), "left_ms", c.left.Milliseconds(), "caller_ms", c.req.TimeLeft.Milliseconds())
}

// markLeaving records that an upstream announced its shutdown in a response: it gets
// no new work.
func (e *Edge) markLeaving(m *fleet.Member, id string) {
	first := false
	e.withFleet(func(f *fleet.Fleet) { first = f.RecordLeaving(m, time.Now()) })
	if !first {
		return
	}
	e.pool.CloseIdle(m.Address)
	e.metrics.upstreamLeaving()
	e.logger.Info("upstream leaves", "upstream", m.ID, "born", m.StartedUnixMs, "address", m.Address, "source", "answer", "id", id)
}

// connectionLimit returns this edge's share of an upstream's connection limit; 0: no
// limit.
func (c *call) connectionLimit() int {
	limit := c.table.Service(c.service).MaxConnections
	if limit <= 0 {
		return 0
	}
	return max(limit/c.e.view.edgeCount(), 1)
}

// endBeforeAttempt ends a request that must not be passed on, or not again. It reports
// whether it did.
func (c *call) endBeforeAttempt() bool {
	return c.endAtStop() || c.refuseKey(c.recheckKey()) || c.refuseQuarantined()
}

// recordEnd records the end of an attempt and returns the next action.
func (c *call) recordEnd(m *fleet.Member, o attempt.Outcome, resp *upstream.Response, err error) attempt.Action {
	now := time.Now()
	status, inFlight, leaving := 0, 0, false
	c.e.withFleet(func(f *fleet.Fleet) {
		if resp != nil {
			status = resp.Status
			if l := resp.Load; l != nil && l.Pace == 0 {
				f.RecordLoad(m, fleet.Load{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots}, now)
			}
		}
		f.EndWork(&c.work, o == attempt.Answered && status < http.StatusBadRequest, c.writtenAt, now)
		f.RecordEnd(m)
		switch {
		case o == attempt.Answered && status >= http.StatusInternalServerError:
			f.RecordFailure(m, false, now) // an upstream that fails fast has little load and would attract more requests
		case o == attempt.Answered:
			f.RecordSuccess(m)
		case o == attempt.Rejected:
			if status == http.StatusMisdirectedRequest {
				f.RecordFailure(m, true, now)
			} else {
				f.RecordFull(m, now)
			}
		case o == attempt.NotSent:
			f.RecordFailure(m, !errors.Is(err, upstream.ErrTooManyConnections), now)
		default:
			f.RecordFailure(m, violatesProtocol(err), now)
		}
		c.recordRoom(f, m, o, resp, now)
		inFlight = m.InFlight()
		leaving = m.ShuttingDown()
	})
	c.trackAttempt(m, leaving, o, resp, err)
	c.removeIsolated(m.ID)
	c.e.metrics.attempt(o.String())
	action := c.applyRetryBudget(o, c.tracker.RecordEnd(o, status >= http.StatusInternalServerError, now), now)
	if o != attempt.Answered {
		c.e.logger.Info("attempt failed", "id", c.req.ID, "upstream", m.ID, "address", m.Address, "version", m.SoftwareVersion,
			"outcome", o, "status", status, "next", action, "in_flight", inFlight, "leaving", leaving,
			"took_ms", now.Sub(c.began).Milliseconds(), "given_ms", c.given.Milliseconds(), "left_ms", c.left.Milliseconds(),
			"caller_ms", c.req.TimeLeft.Milliseconds(), "fingerprint", c.identity().Content, "caller", c.identity().Caller, "err", err)
	}
	return action
}

// cancelAttempt ends a request and its attempt because the caller disconnected.
func (c *call) cancelAttempt(m *fleet.Member) {
	c.releaseAttempt(m)
	if !c.cutByStop() {
		c.recordTime()
	}
	c.abandon()
}

// releaseAttempt ends an attempt that this edge gives up although the upstream works on it.
func (c *call) releaseAttempt(m *fleet.Member) {
	leaving := false
	c.e.withFleet(func(f *fleet.Fleet) {
		f.EndWork(&c.work, false, c.writtenAt, time.Now())
		f.RecordEnd(m)
		leaving = m.ShuttingDown()
	})
	c.removeIsolated(m.ID)
	c.trackAbandoned(m, leaving)
}

// classifyError returns the outcome of an attempt without a response. detectStall is
// set if the attempt had a time limit for stalls.
func classifyError(err error, detectStall bool) attempt.Outcome {
	var ue *upstream.Error
	switch {
	case errors.As(err, &ue) && !ue.Sent:
		return attempt.NotSent
	case detectStall && (errors.Is(err, context.DeadlineExceeded) || ue != nil && ue.Timeout()):
		return attempt.Stalled
	}
	return attempt.Broken
}

// isRejection reports whether a response allows another upstream to run the request.
// Other client errors are the upstream's final response.
func isRejection(resp *upstream.Response) bool {
	if !resp.NotRun {
		return false
	}
	switch resp.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest:
		return true
	}
	return resp.Status >= http.StatusInternalServerError
}

// promisesNotRun reports whether callers understand a status as the guarantee that
// the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
