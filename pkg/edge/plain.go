package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/attempt"
	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/pkg/upstream"
)

// minStallTimeout is the shortest silence after which a request that may run again
// moves to another upstream.
const minStallTimeout = 250 * time.Millisecond

// servePlain serves a request whose response is read completely before it is
// delivered, so that the caller never sees a truncated one.
func (c *call) servePlain() {
	defer c.leaveLine()
	for {
		if c.endBeforeAttempt() || c.awaitRoom() {
			return
		}
		m, why := c.place()
		if m == nil {
			c.fail(c.tracker.NoUpstreamLeft(), why)
			return
		}
		resp, body, o, err := c.runAttempt(m)
		if c.endUnwritten(m, err) {
			return
		}
		if o != attempt.Answered && c.callerGone() {
			c.cancelAttempt(m)
			return
		}
		switch a := c.recordEnd(m, o, resp, err); a {
		case attempt.Deliver:
			c.deliver(resp, body)
			return
		case attempt.Retry:
		default:
			c.fail(a, o.String())
			return
		}
	}
}

// runAttempt makes one attempt and reads the complete response.
func (c *call) runAttempt(m *fleet.Member) (*upstream.Response, [][]byte, attempt.Outcome, error) {
	detectStall := c.canFailOver(m)
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	req := c.request(m, "")
	maxIdle := time.Duration(0)
	if detectStall {
		maxIdle = c.stallTimeout()
		req.HeadDeadline = earlier(c.deadline, time.Now().Add(maxIdle))
	}
	resp, err := c.send(ctx, m, req)
	if err != nil {
		return nil, nil, classifyError(err, detectStall), err
	}
	defer resp.Finish()
	if isRejection(resp) {
		discard(resp)
		return resp, nil, attempt.Rejected, nil
	}
	body, err := c.readResponse(resp, m, maxIdle)
	if err != nil {
		return resp, nil, classifyError(err, detectStall), err
	}
	if resp.Status < http.StatusMultipleChoices && !resp.Signed {
		return resp, nil, attempt.Broken, errUnsigned
	}
	return resp, body, attempt.Answered, nil
}

var errUnsigned = errors.New("response has no signature")

// stallTimeout is how long an upstream may be silent before a request that may run
// again moves to another one.
func (c *call) stallTimeout() time.Duration {
	return max(c.route.LatencyObjective*3/4, minStallTimeout)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
