package edge

import (
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/membudget"
)

const (
	// defaultBody applies while the configuration states no limit of a body.
	defaultBody = 4 << 20
	// deliveryMargin is how long after a request's deadline its caller may still
	// read the answer: answers that are ready are delivered, also late.
	deliveryMargin = 10 * time.Second
)

// boundDelivery ends the connection of a caller that does not read its answer.
func (c *call) boundDelivery(deadline time.Time) {
	if err := http.NewResponseController(c.w).SetWriteDeadline(deadline.Add(deliveryMargin)); err != nil {
		c.e.logger.Debug("delivery not bounded", "id", c.req.ID, "err", err)
	}
}

// readBody reads the whole body, so that a caller that breaks off in it has
// started nothing. A caller that sends it slowly is refused at its deadline.
func (c *call) readBody(hold *membudget.Reservation) bool {
	if c.r.ContentLength == 0 {
		return true
	}
	limit := c.table.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	rc := http.NewResponseController(c.w)
	if err := rc.SetReadDeadline(c.deadline); err != nil {
		c.e.logger.Debug("body not bounded in time", "id", c.req.ID, "err", err)
	}
	pieces, err := membudget.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit), c.r.ContentLength, limit, hold)
	if err == nil {
		c.body = membudget.Join(pieces)
		// A deadline that stays would end the watch for a caller that leaves.
		err = rc.SetReadDeadline(time.Time{})
	}
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return true
	case errors.As(err, &large) || errors.Is(err, membudget.ErrTooLarge):
		c.refuse(http.StatusRequestEntityTooLarge, 0, "body too large")
	case errors.Is(err, membudget.ErrShareExceeded) || errors.Is(err, membudget.ErrExhausted):
		c.refuse(http.StatusServiceUnavailable, retryFull, "no memory for the body")
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.refuse(http.StatusRequestTimeout, 0, "body not received in time")
	default:
		c.e.logger.Info("request body not received", "id", c.req.ID, "err", err)
		panic(http.ErrAbortHandler)
	}
	return false
}
