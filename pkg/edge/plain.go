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

// minStall is the shortest silence after which a request that may run again
// goes to another upstream.
const minStall = 250 * time.Millisecond

// servePlain serves a request whose answer is read whole before it is passed
// on, so that a broken one is never seen by the caller.
func (c *call) servePlain() {
	for {
		if c.quarantined() {
			return
		}
		m, why := c.place()
		if m == nil {
			c.finish(c.tracker.Unplaced(), why)
			return
		}
		resp, body, o, err := c.exchange(m)
		if c.gone() {
			c.canceled(m)
			return
		}
		switch a := c.ended(m, o, resp, err); a {
		case attempt.Deliver:
			c.answer(resp, body)
			return
		case attempt.Retry:
		default:
			c.finish(a, o.String())
			return
		}
	}
}

// exchange makes one attempt and reads the whole answer.
func (c *call) exchange(m *fleet.Member) (*upstream.Response, [][]byte, attempt.Outcome, error) {
	stalls := c.mayMove(m)
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	req := c.request(m, "")
	silence := time.Duration(0)
	if stalls {
		silence = c.stallTime()
		req.HeadDeadline = earlier(c.deadline, time.Now().Add(silence))
	}
	resp, err := c.send(ctx, m, req)
	if err != nil {
		return nil, nil, failure(err, stalls), err
	}
	defer resp.Finish()
	if rejected(resp) {
		discard(resp)
		return resp, nil, attempt.Rejected, nil
	}
	body, err := c.readAnswer(resp, m, silence)
	if err != nil {
		return resp, nil, failure(err, stalls), err
	}
	if resp.Status < http.StatusMultipleChoices && !resp.Signed {
		return resp, nil, attempt.Broken, errUnsigned
	}
	return resp, body, attempt.Answered, nil
}

var errUnsigned = errors.New("answer has no signature")

// stallTime is how long an upstream may be silent before a request that may
// run again goes to another one.
func (c *call) stallTime() time.Duration { return max(c.route.Objective*3/4, minStall) }

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
