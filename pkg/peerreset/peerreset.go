// Package peerreset keeps a connection that was reset by its peer from looking as if the peer
// had ended it in good order.
//
// A socket reports an error, such as a reset, to one call only. If a write receives it, a read
// on another goroutine gets io.EOF, which is the end of a message without a length.
package peerreset

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// ErrPeerEnded is returned by a write during which the peer ended its side of the connection.
var ErrPeerEnded = errors.New("the peer ended the connection during a write")

// errNoDescriptor means that the wrapped connection is no socket.
var errNoDescriptor = errors.New("connection without a file descriptor")

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Wrap returns a function that opens connections of the type Conn.
func (d Dial) Wrap() Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// Conn is a connection whose reads return io.EOF only if the peer ended its side in good order.
// It is for protocols that don't write to a peer after it has ended its side.
type Conn struct {
	net.Conn
	ended atomic.Bool // a read has returned the end of the peer's side

	mu       sync.Mutex // held during a write
	writeErr error      // of the first write that failed
}

// NewConn returns a connection on top of c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Read implements net.Conn. At the end of the peer's side it ends a write that is under way,
// since that one may have received the error of the socket.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != io.EOF {
		return n, err
	}
	if werr := c.endWrite(); brokeConnection(werr) {
		return n, errors.Wrap(werr, "reset during a write")
	}
	return n, io.EOF
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.ended.Load() {
		err = ErrPeerEnded
	}
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// endWrite ends the write that is under way and returns the error of the first one that failed.
// It doesn't wait for the peer: a write that has received an error of the socket is about to
// return, and any other one returns at its deadline.
func (c *Conn) endWrite() error {
	c.ended.Store(true)
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only if the connection is closed, which ends a write too
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeErr
}

// brokeConnection reports whether the error of a write shows that the connection broke before
// the peer ended its side. After that end, a reset makes writes fail with EPIPE.
func brokeConnection(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoDescriptor
	}
	return s.SyscallConn()
}
