package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

// inlineBody is the largest body in bytes that is written before the answer is
// read; a larger one is written beside it, since an upstream may answer early.
const inlineBody = 8 << 10

// Request is one request to an upstream.
type Request struct {
	Address string
	Limit   int // connections to the address; 0: no bound
	ID      string
	Method  string
	URI     string // path and query as the caller sent them
	Host    string
	Header  http.Header
	Body    []byte
	HeadBy  time.Time // the head of the answer has to come before; zero: no bound
}

// head returns the request line and the headers.
func (r *Request) head() []byte {
	var b bytes.Buffer
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	h := r.Header
	h.Del("Content-Length")
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	_ = h.Write(&b) // a Buffer does not fail
	b.WriteString("\r\n")
	return b.Bytes()
}

// Response is an answer whose body is still to be read. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the announced length of the body in bytes, -1 without one.
	Length int64
	platform.ResponseMetadata

	p       *Pool
	c       *conn
	body    io.ReadCloser
	stop    func() bool
	written chan error // nil when the request was written before the answer came
	whole   bool
}

// Do sends a request and reads the head of its answer. The context ends the
// whole exchange, also while the body is read.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.get(ctx, r.Address, r.Limit)
	if err != nil {
		return nil, err
	}
	if d, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(d)
	} else {
		_ = c.SetDeadline(time.Time{})
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	fail := func(step string, sent bool, err error) (*Response, error) {
		stop()
		p.discard(c)
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{Step: step, Peer: r.Address, Sent: sent, Err: err}
	}
	resp := &Response{p: p, c: c, stop: stop}
	data := append(r.head(), r.Body...)
	if len(data) <= inlineBody {
		if n, err := c.Write(data); err != nil {
			return fail("write", n > 0, err)
		}
	} else {
		resp.written = make(chan error, 1)
		go func() {
			_, err := c.Write(data)
			resp.written <- err
		}()
	}
	if !r.HeadBy.IsZero() {
		_ = c.SetReadDeadline(r.HeadBy)
	}
	hr, err := c.readHead(r.Method)
	if err != nil {
		return fail("read head", true, err)
	}
	resp.Status, resp.Header, resp.body, resp.Length = hr.StatusCode, hr.Header, hr.Body, hr.ContentLength
	resp.ResponseMetadata = platform.DecodeResponse(hr.StatusCode, hr.Header)
	resp.Close = resp.Close || hr.Close
	if !resp.answers(r) {
		return fail("read head", true, ErrMismatch)
	}
	return resp, nil
}

// answers reports whether an answer belongs to a request. On a connection that
// was used before, an answer without an id may be a late copy of an earlier one.
func (r *Response) answers(req *Request) bool {
	if req.ID == "" || r.ID == "" {
		return req.ID == "" || !r.c.reused
	}
	return r.ID == req.ID
}

// SetReadDeadline bounds the following reads of the body.
func (r *Response) SetReadDeadline(t time.Time) { _ = r.c.SetReadDeadline(t) }

// Read reads the body. It returns io.EOF only if the answer ended as its
// framing says.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err == io.EOF {
		r.whole = true
		return n, err
	}
	if err != nil {
		err = &Error{Step: "read body", Peer: r.c.address, Sent: true, Err: err}
	}
	return n, err
}

// Finish ends the exchange: the connection is kept if the answer was read to
// its end and nothing follows, otherwise it is closed.
func (r *Response) Finish() {
	stopped := r.stop()
	if !r.whole || r.Close || r.Leaving || !stopped || r.c.br.Buffered() > 0 || !r.requestWritten() {
		r.p.discard(r.c)
		return
	}
	_ = r.c.SetDeadline(time.Time{})
	if r.IdleTimeout > 0 {
		r.c.idleTime = max(r.IdleTimeout-idleMargin, r.IdleTimeout/2)
	}
	r.p.put(r.c)
}

// requestWritten reports whether the upstream has the whole request. One that
// answered early still expects the rest on the connection.
func (r *Response) requestWritten() bool {
	if r.written == nil {
		return true
	}
	select {
	case err := <-r.written:
		return err == nil
	default:
		return false
	}
}
