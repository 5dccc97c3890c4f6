package upstream

import (
	"fmt"
	"net"

	"github.com/pkg/errors"
)

// Errors wrapped by Error.
var (
	ErrTooManyConnections = errors.New("all connections to the upstream are in use")
	ErrResponseMismatch   = errors.New("the answer belongs to another request")
	// ErrHeadTooLarge means that the bytes before the body of an answer exceed a
	// bound: they may be no answer at all, and have no end.
	ErrHeadTooLarge   = errors.New("the head of the answer exceeds the size limit")
	ErrProtocolSwitch = errors.New("the upstream changes the protocol")
)

// Error is a failed exchange.
type Error struct {
	Step string // dial, write, read head, read body
	Addr string
	Sent bool // the request may have reached the upstream
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("upstream %s: %s: %v", e.Addr, e.Step, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Timeout reports whether a deadline caused the failure.
func (e *Error) Timeout() bool {
	var t net.Error
	return errors.As(e.Err, &t) && t.Timeout()
}

// IsInvalidResponse reports whether an exchange failed because the upstream sent more
// than an answer may have, or something else than an answer to the request. The
// upstream lives then.
func IsInvalidResponse(err error) bool {
	return errors.Is(err, ErrHeadTooLarge) || errors.Is(err, ErrResponseMismatch) || errors.Is(err, ErrProtocolSwitch)
}
