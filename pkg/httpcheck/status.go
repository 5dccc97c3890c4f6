// Package httpcheck checks HTTP responses for what the parser of net/http lets pass.
package httpcheck

import (
	"net/http"

	"github.com/pkg/errors"
)

// ErrStatus means that the status of a response is not an HTTP status. It does not show whether
// the request was run, so it may have run.
var ErrStatus = errors.New("status of the response is not HTTP")

const (
	lowestStatus  = 100
	highestStatus = 599
)

// ValidStatus reports whether a number is an HTTP status (RFC 9110, section 15).
func ValidStatus(status int) bool { return status >= lowestStatus && status <= highestStatus }

// ValidFinalStatus reports whether a number is the HTTP status of a final response.
func ValidFinalStatus(status int) bool { return ValidStatus(status) && status >= http.StatusOK }
