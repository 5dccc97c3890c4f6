package edge

import (
	"context"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
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

// callerConn is the connection of a caller. It records what tells the causes of lost
// answers apart.
type callerConn struct {
	*net.TCPConn
	requests atomic.Int64 // requests begun
	written  atomic.Int64 // bytes
	lastRead atomic.Int32 // connEnd of the last read
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.lastRead.Store(int32(classifyRead(err)))
	return n, err
}

// Write implements net.Conn.
func (c *callerConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.written.Add(int64(n))
	return n, err
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
type callerListener struct{ *net.TCPListener }

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &callerConn{TCPConn: c}, nil
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
