package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	// runCheckTimeout limits the question which run of an upstream a connection leads to:
	// a few round trips between regions.
	runCheckTimeout = 300 * time.Millisecond
	// maxStateBytes limits the description of an upstream's state, which lists its requests.
	maxStateBytes = 256 << 10
)

// OtherRunError means that an address leads to another run of an upstream than the expected
// one. The request was not sent.
type OtherRunError struct {
	Want, Got int64 // starts in Unix ms
}

// Error implements error.
func (e *OtherRunError) Error() string {
	return fmt.Sprintf("the upstream started at %d, not at %d", e.Got, e.Want)
}

// checkedRun is what a connection knows of the run that it leads to. A connection does not
// outlive a run, so it is asked once.
type checkedRun struct {
	asked bool
	start int64 // in Unix ms; 0: the upstream does not say
}

// checkRun asks the upstream for the start of its run, unless the connection knows it, and
// compares it with the expected one, in Unix ms. It reports whether the connection can carry
// a request afterwards.
func (c *conn) checkRun(want int64, deadline time.Time) (usable bool, err error) {
	usable = true
	if !c.run.asked {
		if by := time.Now().Add(runCheckTimeout); deadline.IsZero() || by.Before(deadline) {
			deadline = by
		}
		_ = c.SetDeadline(deadline)
		if usable, err = c.askRun(); err != nil {
			return false, err
		}
	}
	if c.run.start != 0 && c.run.start != want {
		return false, &OtherRunError{Want: want, Got: c.run.start}
	}
	return usable, nil
}

// askRun reads the upstream's state on the connection.
func (c *conn) askRun() (usable bool, err error) {
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", platform.UpstreamStatePath, c.address); err != nil {
		return false, err
	}
	resp, err := c.readHead(http.MethodGet)
	if err != nil {
		return false, err
	}
	meta := platform.DecodeResponse(resp.StatusCode, resp.Header)
	if meta.ID != "" { // the late response to another request
		return false, ErrResponseMismatch
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxStateBytes+1))
	if err != nil {
		return false, err
	}
	if len(body) > maxStateBytes {
		return false, ErrStateTooLarge
	}
	c.run.asked = true
	if resp.StatusCode == http.StatusOK {
		c.run.start = platform.DecodeUpstreamStart(body)
	}
	return !resp.Close && !meta.Close && c.br.Buffered() == 0, nil
}

// getRun returns a connection for a request, as get does, that leads to the run which the
// request is for.
func (p *Pool) getRun(ctx context.Context, r *Request) (*conn, error) {
	c, err := p.get(ctx, r.Address, r.ID, r.MaxConnections)
	if err != nil || r.Run == 0 {
		return c, err
	}
	if !c.run.asked {
		p.inheritRun(c)
	}
	deadline, _ := ctx.Deadline()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	usable, err := c.checkRun(r.Run, deadline)
	if stopped := stop(); err == nil && !stopped {
		err = ctx.Err()
	}
	if err == nil {
		p.recordRun(c)
	}
	if err == nil && usable {
		return c, nil
	}
	known := c.run
	p.discard(c)
	if err != nil {
		return nil, &Error{Step: "check run", Addr: r.Address, Err: err}
	}
	// The upstream closes the connection after its answer, for example because it leaves. A
	// connection that is made at once leads to the same run.
	next, err := p.dial(ctx, r.Address, r.MaxConnections)
	if err == nil {
		next.run = known
	}
	return next, err
}

// AskRun asks an upstream which run it is, on an idle connection if there is one, and returns
// the start of the run in Unix ms; 0: the upstream does not say.
func (p *Pool) AskRun(ctx context.Context, address string, limit int) (int64, error) {
	c := p.takeIdle(address, time.Now(), func(*conn) bool { return true })
	if c == nil {
		var err error
		if c, err = p.dial(ctx, address, limit); err != nil {
			return 0, err
		}
	}
	_ = c.SetDeadline(time.Now().Add(runCheckTimeout))
	usable, err := c.askRun()
	start := c.run.start
	if err != nil || !usable {
		p.discard(c)
	} else {
		_ = c.SetDeadline(time.Time{})
		p.put(c)
	}
	if err != nil {
		return 0, &Error{Step: "ask for the run", Addr: address, Err: err}
	}
	return start, nil
}
