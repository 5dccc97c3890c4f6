package edge

import (
	"container/list"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/headlimit"
	"github.com/yuccaspindle/yuccaspindle/pkg/membudget"
)

const (
	// requestWait is how long a stopping edge waits for the first request of a new
	// connection, or for the rest of a request's head. The platform's callers need at most
	// 3 s for a head.
	requestWait = 3 * time.Second
	// acceptQuietTime without a new connection ends the listening of a stopping edge, and
	// maxAcceptTime in any case.
	acceptQuietTime = 10 * time.Millisecond
	maxAcceptTime   = 250 * time.Millisecond
	// lingerTime is how long a connection is read after its last answer. Callers need a
	// part of it to send the rest of a body of the maximum size.
	lingerTime = 2 * time.Second
	// maxLingering limits the descriptors that such connections hold. Further ones are
	// closed at once.
	maxLingering = 256
)

// connEnd says why reading from a caller's connection ended.
type connEnd int32

const (
	connOpen     connEnd = iota
	connFinished         // the caller closed the connection, or its sending half: a server can't tell these apart
	connReset
	connTimedOut   // our read deadline, or the keep-alive of the kernel
	connClosedHere // this edge closed it
	connFailed
)

// String implements fmt.Stringer.
func (e connEnd) String() string {
	switch e {
	case connOpen:
		return "open"
	case connFinished:
		return "closed or half-closed"
	case connReset:
		return "reset"
	case connTimedOut:
		return "timed out"
	case connClosedHere:
		return "closed by this edge"
	}
	return "failed"
}

// answerState says whether the end of a connection would end an answer.
type answerState int32

const (
	answerFramed answerState = iota // it has a length or chunks
	answerOpen                      // to HTTP/1.0, which has no chunks; not complete
	answerWhole                     // to HTTP/1.0, complete
	answerBroken                    // to HTTP/1.0, a write failed
)

// callerConn is the connection of a caller. It records what tells the causes of lost
// answers apart.
type callerConn struct {
	*net.TCPConn
	requests atomic.Int64 // requests begun
	written  atomic.Int64 // bytes
	lastRead atomic.Int32 // connEnd of the last read
	owner    *callerConns
	closed   atomic.Bool
	answer   atomic.Int32 // answerState of the last request

	mu sync.Mutex
	// expectedSince is when the connection was accepted, or the first byte of the next
	// request came; zero: it is idle.
	expectedSince time.Time
	busy          bool // the head of a request was received and its answer is not complete
	early         bool // a byte of the next request came before that
	expired       bool // no further request is waited for
	evicted       bool // expired because of a limit
	head          headlimit.Scanner
	hold          *membudget.Reservation // for the head, until its request is answered

	// place is where the connection waits in the queue of its owner; nil: it does not. Both are
	// guarded by the owner.
	queue *list.List
	place *list.Element
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	if !c.mayRead() {
		if c.isEvicted() {
			return 0, c.refuseEvicted()
		}
		return 0, io.EOF
	}
	n, err := c.TCPConn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.isEvicted() {
		return 0, c.refuseEvicted()
	}
	if n > 0 && c.received(len(p)) {
		if err := c.checkHead(p[:n]); err != nil {
			return 0, err
		}
	}
	c.lastRead.Store(int32(classifyRead(err)))
	return n, err
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.written.Add(int64(n))
	if err != nil && answerState(c.answer.Load()) != answerFramed {
		c.answer.Store(int32(answerBroken))
	}
	return n, err
}

// Close implements net.Conn. A close with unread bytes resets the connection, and the reset
// may overtake the answer. After an answer the connection therefore is closed for sending
// only and read until the caller closes it, at most for lingerTime. An idle one is closed
// at once: a request that crosses the close must be seen as not read, so that its caller
// may repeat it. A second call closes the connection at once.
// An unframed answer that is broken off is reset: a close would end it as complete.
func (c *callerConn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return c.TCPConn.Close()
	}
	c.owner.remove(c)
	c.releaseHead()
	if s := answerState(c.answer.Load()); s == answerOpen || s == answerBroken {
		_ = c.SetLinger(0)
		return c.TCPConn.Close()
	}
	if !c.lingers() || !c.owner.startLingering() {
		return c.TCPConn.Close()
	}
	if err := c.CloseWrite(); err != nil {
		c.owner.endLingering()
		return c.TCPConn.Close()
	}
	go func() {
		defer c.owner.endLingering()
		defer c.TCPConn.Close()
		_ = c.SetDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, c.TCPConn) // the caller's bytes belong to no request
	}()
	return nil
}

// lingers reports whether an answer was just sent that a reset could overtake. A request
// whose head can't be read (400, 431) is answered by net/http.
func (c *callerConn) lingers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return (c.busy || !c.expectedSince.IsZero() && !c.expired) && c.end() != connFinished && c.end() != connReset
}

// beginAnswer must be called before an answer is written.
func (c *callerConn) beginAnswer(r *http.Request) {
	if r.ProtoAtLeast(1, 1) {
		c.answer.Store(int32(answerFramed))
	} else {
		c.answer.Store(int32(answerOpen))
	}
}

// endAnswer must be called after an answer was written that is complete.
func (c *callerConn) endAnswer() {
	c.answer.CompareAndSwap(int32(answerOpen), int32(answerWhole))
}

// mayRead reports whether a read makes sense: a connection that expired while it was idle
// takes no further request.
func (c *callerConn) mayRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.expired || c.busy
}

// received records that a read into a buffer returned data, and reports whether it belongs
// to a head. net/http reads a single byte to detect a disconnect; it belongs to the next
// request.
func (c *callerConn) received(buffer int) (head bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.busy:
		c.early = c.early || buffer == 1
	case c.expectedSince.IsZero():
		c.expectedSince = time.Now()
	}
	return !c.busy
}

// setState follows the state that net/http gives a connection.
func (c *callerConn) setState(s http.ConnState) {
	switch s {
	case http.StateActive:
		c.mu.Lock()
		c.busy, c.early, c.expectedSince = true, false, time.Time{}
		c.hold.Transfer(ownerRequests)
		c.mu.Unlock()
		c.owner.dequeue(c)
	case http.StateIdle:
		c.mu.Lock()
		if c.early {
			c.expectedSince = time.Now()
		}
		c.busy = false
		early := c.early
		c.mu.Unlock()
		c.releaseHead()
		c.owner.enqueue(c, early)
	}
}

// expire ends the wait for a request, unless one is being answered or may be on its way.
func (c *callerConn) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || now.Sub(c.expectedSince) < requestWait || c.hasUnread() {
		return
	}
	c.expired = true
	_ = c.SetReadDeadline(now) // wakes a waiting read
}

// hasUnread reports whether the caller has sent something that was not read yet.
func (c *callerConn) hasUnread() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	var buf [1]byte
	// Control, unlike Read, does not wait for the read that is under way.
	err = raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

func (c *callerConn) end() connEnd { return connEnd(c.lastRead.Load()) }

func classifyRead(err error) connEnd {
	switch {
	case err == nil:
		return connOpen
	case err == io.EOF:
		return connFinished
	case errors.Is(err, syscall.ECONNRESET):
		return connReset
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT):
		return connTimedOut
	case errors.Is(err, net.ErrClosed):
		return connClosedHere
	}
	return connFailed
}

// callerListener accepts the connections of callers.
type callerListener struct {
	*net.TCPListener
	conns    *callerConns
	stopping atomic.Bool
	closing  sync.Once
	accepted int // connections since the last deadline of a stopping listener
	done     chan struct{}
}

// Accept implements net.Listener. After stopAccepting it returns http.ErrServerClosed once
// no connection waits to be accepted: the kernel resets those that wait when the listener
// closes.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.AcceptTCP()
		switch {
		case err == nil:
			l.accepted++
			if c := l.conns.add(c); c != nil {
				return c, nil
			}
			continue
		case !l.stopping.Load() || !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		case l.accepted == 0:
			return nil, http.ErrServerClosed
		}
		l.accepted = 0
		_ = l.SetDeadline(time.Now().Add(acceptQuietTime))
	}
}

// Close implements net.Listener. net/http calls it when Accept has failed.
func (l *callerListener) Close() error {
	var err error
	l.closing.Do(func() {
		err = l.TCPListener.Close()
		close(l.done)
	})
	return err
}

// stopAccepting closes the listener once no connection waits to be accepted, but within
// maxAcceptTime.
func (l *callerListener) stopAccepting() {
	l.stopping.Store(true)
	_ = l.SetDeadline(time.Now())
	select {
	case <-l.done:
	case <-time.After(maxAcceptTime):
		_ = l.Close()
	}
}

// startLingering reports whether one more connection may stay open for reading.
func (l *callerConns) startLingering() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lingering >= maxLingering || l.limits.open > 0 && l.lingering >= l.limits.open/lingeringDivisor {
		return false
	}
	l.lingering++
	return true
}

func (l *callerConns) endLingering() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lingering--
}

// waitLingering waits until no connection lingers, or until a time.
func (l *callerConns) waitLingering(until time.Time) {
	for time.Now().Before(until) {
		l.mu.Lock()
		n := l.lingering
		l.mu.Unlock()
		if n == 0 {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// expireIdle ends the wait for further requests on idle connections and returns the number
// of open ones.
func (l *callerConns) expireIdle(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.expire(now)
	}
	return len(l.open)
}

// trackState is a hook of http.Server.
func trackState(nc net.Conn, s http.ConnState) {
	if c, ok := nc.(*callerConn); ok {
		c.setState(s)
	}
}

type callerConnKey struct{}

// withCallerConn makes a connection available to the handler of its requests.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerConnOf returns the connection of a request; nil: it is not from a caller's
// listener.
func callerConnOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return c
}
