package edge

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/attempt"
	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/pkg/upstream"
)

const (
	// maxAnswer bounds the body of an answer that is read whole.
	maxAnswer = 32 << 20
	// minStall is the shortest silence after which a request that may run again
	// goes to another upstream.
	minStall = 250 * time.Millisecond
)

var errAnswerTooLarge = errors.New("answer exceeds the size limit")

// servePlain serves a request whose answer is read whole before it is passed
// on, so that a broken one is never seen by the caller.
func (c *call) servePlain() {
	for {
		if c.quarantined() {
			return
		}
		m := c.place()
		if m == nil {
			c.finish(c.tracker.Unplaced(), "no upstream left")
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
func (c *call) exchange(m *fleet.Member) (*upstream.Response, []byte, attempt.Outcome, error) {
	until, stalls := c.deadline, c.tracker.MayRunAgain() && !c.busy(m)
	if stalls {
		until = earlier(until, time.Now().Add(c.stallTime()))
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), until)
	defer cancel()
	resp, err := c.e.pool.Do(ctx, c.request(m, ""))
	if err != nil {
		return nil, nil, failure(err, stalls), err
	}
	defer resp.Finish()
	body, err := io.ReadAll(io.LimitReader(resp, maxAnswer))
	if err == nil && len(body) == maxAnswer {
		err = errAnswerTooLarge
	}
	if err != nil {
		return resp, nil, failure(err, stalls), err
	}
	if rejected(resp) {
		return resp, nil, attempt.Rejected, nil
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
