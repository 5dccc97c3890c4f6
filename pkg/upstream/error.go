package upstream

import (
	"fmt"
	"net"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/httpcheck"
)

// Causes of a failed exchange, wrapped by Error.
var (
	ErrTooManyConnections = errors.New("connection limit of the upstream reached")
	ErrResponseMismatch   = errors.New("response does not belong to the request")
	// ErrHeadTooLarge means that the data before the body of a response exceeds a
	// limit. It may be an endless stream that is not HTTP at all.
	ErrHeadTooLarge = errors.New("response head exceeds the size limit")
	// ErrStateTooLarge means that the description of an upstream's state exceeds the size
	// limit, so that its run is not known.
	ErrStateTooLarge  = errors.New("state of the upstream exceeds the size limit")
	ErrProtocolSwitch = errors.New("upstream switches protocols (status 101)")
)

// StepDial is the step of an Error without a connection.
const StepDial = "dial"

// Error describes a failed exchange with an upstream.
type Error struct {
	Step string // StepDial, write, read head, read body
	Addr string // of the upstream
	Sent bool   // whether the upstream may have received the request
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

// IsInvalidResponse reports whether an exchange failed because the upstream sent
// a response or state that is too large, belongs to another request, switches the
// protocol or has a status or a field that is not HTTP. Such an upstream has not crashed.
func IsInvalidResponse(err error) bool {
	return errors.Is(err, ErrHeadTooLarge) || errors.Is(err, ErrStateTooLarge) || errors.Is(err, ErrResponseMismatch) || errors.Is(err, ErrProtocolSwitch) ||
		httpcheck.IsInvalid(err)
}
