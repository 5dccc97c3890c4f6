package edge

import (
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/pkg/membudget"
	"github.com/yuccaspindle/yuccaspindle/pkg/upstream"
)

const (
	// maxResponseBody limits a response body that is read completely, in bytes.
	maxResponseBody = 32 << 20
	// maxDiscardBytes and discardTimeout limit how much of an unwanted response is
	// read so that its connection can be reused.
	maxDiscardBytes = 64 << 10
	discardTimeout  = 50 * time.Millisecond
)

// holdResponse starts memory accounting for a response of a member and releases the
// memory of an earlier attempt.
func (c *call) holdResponse(m *fleet.Member) *membudget.Reservation {
	c.releaseResponse()
	c.responseHold = c.e.transit.Reservation("upstream "+m.Address, membudget.UpstreamShare).ReuseBuffers()
	return c.responseHold
}

func (c *call) releaseResponse() {
	if c.responseHold != nil {
		c.responseHold.Release()
	}
}

// readResponse reads the complete response body. If maxIdle is not 0, the upstream
// must not pause for longer than that.
func (c *call) readResponse(resp *upstream.Response, m *fleet.Member, maxIdle time.Duration) ([][]byte, error) {
	r := &progressReader{resp: resp, maxIdle: maxIdle, deadline: c.deadline}
	return membudget.ReadAll(r, resp.Length, maxResponseBody, c.holdResponse(m))
}

// progressReader reads a response as long as it makes progress: a slow body is no
// reason to retry the request on another upstream.
type progressReader struct {
	resp     *upstream.Response
	maxIdle  time.Duration // 0: only the deadline applies
	deadline time.Time
}

// Read implements io.Reader.
func (r *progressReader) Read(b []byte) (int, error) {
	by := r.deadline
	if r.maxIdle > 0 {
		by = earlier(by, time.Now().Add(r.maxIdle))
	}
	r.resp.SetReadDeadline(by)
	return r.resp.Read(b)
}

// discard reads the rest of a response whose body is not needed, so that its
// connection can be reused. A long rest is left unread, which closes the connection.
func discard(resp *upstream.Response) {
	resp.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxDiscardBytes))
}

// violatesProtocol reports whether an upstream exceeded a size limit or sent
// something that is not a valid response.
func violatesProtocol(err error) bool {
	return upstream.IsInvalidResponse(err) || errors.Is(err, membudget.ErrTooLarge) || errors.Is(err, membudget.ErrShareExceeded) ||
		errors.Is(err, errEventTooLarge)
}
