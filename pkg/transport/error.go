package transport

import (
	"fmt"

	"github.com/pkg/errors"
)

// Errors wrapped by Error.
var (
	ErrClosed        = errors.New("transport is closed")
	ErrSessionClosed = errors.New("session is closed")
	ErrTooLarge      = fmt.Errorf("message exceeds %d bytes", MaxMessage)
	ErrPlainText     = errors.New("plain TCP is allowed between loopback addresses only")
	ErrNoHello       = errors.New("peer did not introduce itself")
	ErrHelloTooLarge = errors.New("peer sent too many bytes before its Hello")
	// ErrTooManySessions means that all connections that may be open belong to known peers.
	ErrTooManySessions = errors.New("too many connections of peers")
)

// Error is a failure of the transport. Sent is true when the request may have
// reached the peer; when it is false, the peer has certainly not seen it.
type Error struct {
	Step string // what failed: listen, dial, hello, open, send, receive
	Peer string // address of the peer
	Sent bool
	Err  error
}

func (e *Error) Error() string {
	return fmt.Sprintf("transport: %s %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Timeout reports whether a deadline caused the failure.
func (e *Error) Timeout() bool {
	var t interface{ Timeout() bool }
	return errors.As(e.Err, &t) && t.Timeout()
}
