// Package upstream makes HTTP/1.1 exchanges with upstreams over kept
// connections. Unlike the client of net/http it never sends a request a second
// time by itself, and it tells whether a failed request may have run.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	// dialTimeout covers two lost opening packets within a region and a round
	// trip between regions.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleTime applies to upstreams that do not state how long they keep
	// an idle connection.
	defaultIdleTime = 4 * time.Second
	// idleMargin ends the use of a kept connection before its upstream does.
	idleMargin = time.Second
	// sweepInterval is how often idle connections are checked for a close by
	// their upstream.
	sweepInterval = time.Second
	// inlineBody is the largest body written before the answer is read; a larger
	// one is written beside it, since an upstream may answer early.
	inlineBody = 8 << 10
	readBuffer = 4 << 10
	// keepAliveIdle and keepAliveCount find a peer that went silent.
	keepAliveIdle  = time.Second
	keepAliveCount = 3
)

// Errors wrapped by Error.
var (
	ErrTooMany  = errors.New("all connections to the upstream are in use")
	ErrMismatch = errors.New("the answer belongs to another request")
)

// Error is a failed exchange.
type Error struct {
	Step string // dial, write, read head, read body
	Peer string
	Sent bool // the request may have reached the upstream
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("upstream %s: %s: %v", e.Peer, e.Step, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Timeout reports whether a deadline caused the failure.
func (e *Error) Timeout() bool {
	var t net.Error
	return errors.As(e.Err, &t) && t.Timeout()
}

// Pool keeps connections by address. It is safe for concurrent use.
type Pool struct {
	mu     sync.Mutex
	idle   map[string][]*conn // most recently used last
	open   map[string]int     // all connections by address
	dialed uint64
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{idle: make(map[string][]*conn), open: make(map[string]int)}
}

type conn struct {
	net.Conn
	address  string
	br       *bufio.Reader
	lastUsed time.Time
	idleTime time.Duration
}

// Dialed returns the number of connections made so far.
func (p *Pool) Dialed() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// Run closes idle connections that are old or closed by their upstream, until
// the context ends; then it closes all of them.
func (p *Pool) Run(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			p.sweep(time.Now(), false)
		case <-ctx.Done():
			p.sweep(time.Now(), true)
			return
		}
	}
}

func (p *Pool) sweep(now time.Time, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if !all && c.reusable(now) {
				kept = append(kept, c)
				continue
			}
			p.discardLocked(c)
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

func (p *Pool) discardLocked(c *conn) {
	_ = c.Close()
	if p.open[c.address]--; p.open[c.address] <= 0 {
		delete(p.open, c.address)
	}
}

func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	p.discardLocked(c)
	p.mu.Unlock()
}

// reusable reports whether an idle connection is young, open and silent.
func (c *conn) reusable(now time.Time) bool {
	if now.Sub(c.lastUsed) >= c.idleTime || c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, rerr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = rerr == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// get returns a kept connection or makes one. limit bounds the connections to
// the address; 0 sets no bound.
func (p *Pool) get(ctx context.Context, address string, limit int) (*conn, error) {
	now := time.Now()
	p.mu.Lock()
	for list := p.idle[address]; len(list) > 0; list = p.idle[address] {
		c := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		if c.reusable(now) {
			p.mu.Unlock()
			return c, nil
		}
		p.discardLocked(c)
	}
	if limit > 0 && p.open[address] >= limit {
		p.mu.Unlock()
		return nil, &Error{Step: "dial", Peer: address, Err: ErrTooMany}
	}
	p.open[address]++
	p.dialed++
	p.mu.Unlock()
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveCount,
	}}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		p.mu.Lock()
		p.open[address]--
		p.mu.Unlock()
		return nil, &Error{Step: "dial", Peer: address, Err: err}
	}
	return &conn{Conn: nc, address: address, br: bufio.NewReaderSize(nc, readBuffer), idleTime: defaultIdleTime}, nil
}

func (p *Pool) put(c *conn) {
	c.lastUsed = time.Now()
	p.mu.Lock()
	p.idle[c.address] = append(p.idle[c.address], c)
	p.mu.Unlock()
}

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
	platform.Answer

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
	hr, err := readHead(c.br, r.Method)
	if err != nil {
		return fail("read head", true, err)
	}
	resp.Status, resp.Header, resp.body = hr.StatusCode, hr.Header, hr.Body
	resp.Answer = platform.DecodeAnswer(hr.StatusCode, hr.Header)
	resp.Close = resp.Close || hr.Close
	if resp.ID != "" && r.ID != "" && resp.ID != r.ID {
		return fail("read head", true, ErrMismatch)
	}
	return resp, nil
}

// readHead reads the head of the final answer.
func readHead(br *bufio.Reader, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 200 {
			return resp, nil
		}
	}
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
	if !r.whole || r.Close || !stopped || r.c.br.Buffered() > 0 || !r.requestWritten() {
		r.p.discard(r.c)
		return
	}
	_ = r.c.SetDeadline(time.Time{})
	if r.IdleTime > 0 {
		r.c.idleTime = max(r.IdleTime-idleMargin, r.IdleTime/2)
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
