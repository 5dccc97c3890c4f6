package edge

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/membudget"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	// defaultMaxBody is the limit of a request body in bytes if the configuration has
	// none.
	defaultMaxBody = 4 << 20
	// deliveryMargin is how long after the request's deadline the caller may still
	// read the response: a response that is ready is delivered even if it is late.
	deliveryMargin = 10 * time.Second
)

// setDeliveryDeadline closes the connection of a caller that does not read its
// response.
func (c *call) setDeliveryDeadline(deadline time.Time) {
	c.deliverBy = deadline.Add(deliveryMargin)
	if err := http.NewResponseController(c.w).SetWriteDeadline(c.deliverBy); err != nil {
		c.e.logger.Debug("write deadline not set", "id", c.req.ID, "err", err)
	}
}

// readBody reads the complete body, so that a caller that disconnects while sending
// it has started no work. A caller that sends it too slowly is refused at its
// deadline.
func (c *call) readBody(hold *membudget.Reservation) bool {
	if c.r.ContentLength == 0 {
		return true
	}
	limit := c.table.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	rc := http.NewResponseController(c.w)
	if err := rc.SetReadDeadline(c.deadline); err != nil {
		c.e.logger.Debug("read deadline not set", "id", c.req.ID, "err", err)
	}
	// The end of a stop ends the wait for a body, so that its caller gets an answer.
	unwatch := context.AfterFunc(c.r.Context(), func() {
		if c.cutByStop() {
			_ = rc.SetReadDeadline(time.Now())
		}
	})
	defer unwatch()
	pieces, err := membudget.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit), c.r.ContentLength, limit, hold)
	if err == nil && !unwatch() && c.cutByStop() {
		err = os.ErrDeadlineExceeded
	}
	if err == nil {
		c.body = membudget.Join(pieces)
		// A remaining read deadline would end the detection of a disconnecting
		// caller.
		err = rc.SetReadDeadline(time.Time{})
	}
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return true
	case errors.As(err, &large) || errors.Is(err, membudget.ErrTooLarge):
		c.refuse(http.StatusRequestEntityTooLarge, 0, "body too large")
	case errors.Is(err, membudget.ErrShareExceeded) || errors.Is(err, membudget.ErrExhausted):
		c.refuse(http.StatusServiceUnavailable, retryAfterBusy, "no memory for the body")
	case errors.Is(err, os.ErrDeadlineExceeded) && c.cutByStop():
		c.refuseAtStop()
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.refuse(http.StatusRequestTimeout, 0, "body not received in time")
	default:
		c.e.logger.Info("request body not received", "id", c.req.ID, "err", err)
		panic(http.ErrAbortHandler)
	}
	return false
}

// beginOnConn counts the request on its connection and begins its answer there.
func (c *call) beginOnConn() {
	c.conn = callerConnOf(c.r.Context())
	if c.conn == nil {
		return
	}
	c.onConn = c.conn.requests.Add(1)
	c.writtenBefore = c.conn.written.Load()
	c.conn.beginAnswer(c.r)
}

// endOnConn records that the answer is complete.
func (c *call) endOnConn() {
	if c.conn != nil {
		c.conn.endAnswer()
	}
}

// connAttrs returns the state of the caller's connection for a log line: how reading from
// it ended, which request on it this is, and the bytes of this answer that were sent.
func (c *call) connAttrs() []any {
	if c.conn == nil {
		return nil
	}
	return []any{"conn", c.conn.end().String(), "on_conn", c.onConn, "sent_bytes", c.conn.written.Load() - c.writtenBefore}
}

// prepareAnswer must be called before the head of an answer is written. It tells the caller
// of a stopping edge not to use the connection again. After a pause of the process it
// extends the time to deliver, which has passed or is short.
func (c *call) prepareAnswer() {
	if now := time.Now(); c.deliverBy.Sub(now) < deliveryMargin/2 {
		c.setDeliveryDeadline(now)
	}
	if c.e.draining.Load() {
		c.w.Header().Set("Connection", "close")
	}
}

// abandon ends a request whose caller has closed its connection, or only its sending half,
// or that is still under way at the end of a stop.
// In the second case it still reads: if the handler returned without an answer, net/http
// would write an empty success, or end a stream as if it were complete.
func (c *call) abandon() {
	c.logCallerLeft()
	if c.headSent {
		panic(http.ErrAbortHandler)
	}
	c.prepareAnswer()
	platform.SetLocalResponseHeader(c.w.Header(), c.req.ID, 0)
	c.w.Header().Set("Content-Length", "0")
	c.w.Header().Set("Connection", "close")
	c.w.WriteHeader(http.StatusBadGateway)
}

// logCallerLeft records a request whose caller has disconnected.
func (c *call) logCallerLeft() {
	if c.cutByStop() {
		c.log("request cut at the end of a stop", 0, c.connAttrs()...)
		c.e.metrics.recordEnd(c.kind(), "cut_at_stop", time.Since(c.began))
		return
	}
	c.log("caller left", 0, c.connAttrs()...)
	c.e.metrics.recordEnd(c.kind(), "caller_left", time.Since(c.began))
	if c.conn != nil {
		c.e.metrics.callerLeft(c.conn.end().String())
	}
}
