package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

// maxSequentialWrite is the largest request in bytes that is written before the
// response is read. A larger one is written concurrently, since an upstream may
// respond before it has read the complete request.
const maxSequentialWrite = 8 << 10

// writeBufferSize joins the short pieces of a long body, in bytes.
const writeBufferSize = 32 << 10

// Request is one request to an upstream.
type Request struct {
	Address        string
	MaxConnections int // open connections to the address; 0: unlimited
	ID             string
	Method         string
	URI            string // path and query as sent by the caller
	Host           string
	Header         http.Header
	BodyPrefix     [][]byte // pieces of the body before Body
	Body           []byte
	HeadDeadline   time.Time // for the response head; zero: none
	// Run is the start of the upstream's run, in Unix ms. If the upstream says that it is
	// another run, the request is not sent; 0: any run.
	Run int64
	// BeforeWrite, if set, is called right before the request is written. If it fails, the
	// request is not sent.
	BeforeWrite func() error

	written time.Time // when writing began
}

// WrittenAt returns when writing the request began; zero: it was not written.
func (r *Request) WrittenAt() time.Time { return r.written }

// bodySize returns the length of the whole body.
func (r *Request) bodySize() int {
	n := len(r.Body)
	for _, p := range r.BodyPrefix {
		n += len(p)
	}
	return n
}

// writeLong writes a request with the given head. Long pieces of the body are not copied.
func (r *Request) writeLong(w io.Writer, head []byte) error {
	b := bufio.NewWriterSize(w, writeBufferSize)
	_, err := b.Write(head)
	for _, p := range r.BodyPrefix {
		if err == nil {
			_, err = b.Write(p)
		}
	}
	if err == nil {
		_, err = b.Write(r.Body)
	}
	if err == nil {
		err = b.Flush()
	}
	return err
}

// head returns the encoded request line and headers.
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
	if n := r.bodySize(); n > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(n))
	}
	_ = h.Write(&b) // a Buffer does not fail
	b.WriteString("\r\n")
	return b.Bytes()
}

// Response is the response to a request. Its head has been read, its body has
// not. Finish must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the announced length of the body in bytes, or -1 if there is none.
	Length int64
	platform.ResponseMetadata
	ConnectedAt time.Time // when the connection was made

	p        *Pool
	c        *conn
	body     io.ReadCloser
	stop     func() bool
	written  chan error // result of the concurrent write; nil if there was none
	complete bool       // the body was read until EOF
}

// Do sends a request and reads the response head. Canceling the context aborts
// the exchange, also while the body is read. The upstream is given what is left until the
// deadline of the context when the request is written: connecting takes a part of it.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.getRun(ctx, r)
	if err != nil {
		return nil, err
	}
	c.carried.add(r.ID)
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
		return nil, &Error{Step: step, Addr: r.Address, Sent: sent, Err: err}
	}
	resp := &Response{ConnectedAt: c.opened, p: p, c: c, stop: stop}
	began := time.Now()
	if d, ok := ctx.Deadline(); ok {
		left := d.Sub(began)
		if left <= 0 {
			return fail("write", false, context.DeadlineExceeded)
		}
		platform.SetTimeGiven(r.Header, left)
	}
	head := r.head()
	if r.BeforeWrite != nil {
		if err := r.BeforeWrite(); err != nil {
			return fail("reserve", false, err)
		}
	}
	if size := len(head) + r.bodySize(); size <= maxSequentialWrite {
		data := slices.Concat(head, slices.Concat(r.BodyPrefix...), r.Body)
		n, err := c.Write(data)
		if n > 0 {
			r.written = began
		}
		if err != nil {
			return fail("write", n > 0, err)
		}
	} else {
		r.written = began
		resp.written = make(chan error, 1)
		go func() {
			resp.written <- r.writeLong(c, head)
		}()
	}
	if !r.HeadDeadline.IsZero() {
		_ = c.SetReadDeadline(r.HeadDeadline)
	}
	hr, err := c.readHead(r.Method)
	if err != nil {
		return fail("read head", true, err)
	}
	resp.Status, resp.Header, resp.body, resp.Length = hr.StatusCode, hr.Header, hr.Body, hr.ContentLength
	if r.Method == http.MethodHead {
		resp.Length = 0 // the length of the answer to a GET, no body follows
	}
	resp.ResponseMetadata = platform.DecodeResponse(hr.StatusCode, hr.Header)
	resp.Close = resp.Close || hr.Close
	if !resp.matches(r) {
		return fail("read head", true, ErrResponseMismatch)
	}
	return resp, nil
}

// matches reports whether the response belongs to a request. A response without
// an id is only trusted on a new connection: on a reused one it may be a late
// copy of an earlier response.
func (r *Response) matches(req *Request) bool {
	if req.ID == "" || r.ID == "" {
		return req.ID == "" || !r.c.reused
	}
	return r.ID == req.ID
}

// SetReadDeadline sets the deadline of the following reads of the body.
func (r *Response) SetReadDeadline(t time.Time) { _ = r.c.SetReadDeadline(t) }

// Read reads the body. It returns io.EOF only if the body is complete according
// to its framing.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err == io.EOF {
		r.complete = true
		return n, err
	}
	if err != nil {
		err = &Error{Step: "read body", Addr: r.c.address, Sent: true, Err: err}
	}
	return n, err
}

// Finish ends the exchange. The connection returns to the pool if the response
// was read completely and no data follows it; otherwise it is closed.
func (r *Response) Finish() {
	stopped := r.stop()
	if !r.complete || r.Close || r.Leaving || !stopped || r.c.br.Buffered() > 0 || !r.requestWritten() {
		r.p.discard(r.c)
		return
	}
	_ = r.c.SetDeadline(time.Time{})
	if r.IdleTimeout > 0 {
		r.c.idleTime = max(r.IdleTimeout-idleMargin, r.IdleTimeout/2)
	}
	r.p.put(r.c)
}

// requestWritten reports whether the complete request was written. Otherwise an
// upstream that responded early would read the next request as the rest of this
// one.
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
