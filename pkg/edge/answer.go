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
	// maxAnswer bounds the body of an answer that is read whole.
	maxAnswer = 32 << 20
	// maxDiscard and discardTime bound the rest of an answer that is read only to
	// keep its connection.
	maxDiscard  = 64 << 10
	discardTime = 50 * time.Millisecond
)

// holdFor begins to account for the memory of an answer of a member and gives
// back that of an earlier attempt.
func (c *call) holdFor(m *fleet.Member) *membudget.Reservation {
	c.releaseAnswer()
	c.hold = c.e.transit.Reservation("upstream "+m.Address, membudget.UpstreamShare).ReuseBuffers()
	return c.hold
}

func (c *call) releaseAnswer() {
	if c.hold != nil {
		c.hold.Release()
	}
}

// readAnswer reads the whole body of an answer. With a silence above 0 the
// upstream may not pause for longer.
func (c *call) readAnswer(resp *upstream.Response, m *fleet.Member, silence time.Duration) ([][]byte, error) {
	r := &patientReader{resp: resp, silence: silence, deadline: c.deadline}
	return membudget.ReadAll(r, resp.Length, maxAnswer, c.holdFor(m))
}

// patientReader reads an answer as long as it makes progress: a body that comes
// slowly is no reason to run the request elsewhere.
type patientReader struct {
	resp     *upstream.Response
	silence  time.Duration // 0: only the deadline counts
	deadline time.Time
}

// Read implements io.Reader.
func (r *patientReader) Read(b []byte) (int, error) {
	by := r.deadline
	if r.silence > 0 {
		by = earlier(by, time.Now().Add(r.silence))
	}
	r.resp.SetReadDeadline(by)
	return r.resp.Read(b)
}

// discard reads the rest of an answer whose head says enough. A long one is
// left, which ends its connection.
func discard(resp *upstream.Response) {
	resp.SetReadDeadline(time.Now().Add(discardTime))
	_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxDiscard))
}

// outOfBounds reports whether an upstream sent more than it may, or something
// else than an answer.
func outOfBounds(err error) bool {
	return upstream.IsInvalidResponse(err) || errors.Is(err, membudget.ErrTooLarge) || errors.Is(err, membudget.ErrShareExceeded) ||
		errors.Is(err, errEventTooLarge)
}
