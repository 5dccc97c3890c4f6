// Package httpstatus checks whether a number is an HTTP status.
package httpstatus

import (
	"net/http"

	"github.com/pkg/errors"
)

// ErrInvalid means that the status of a response is not an HTTP status. It does not show whether
// the request was run, so it may have run.
var ErrInvalid = errors.New("status of the response is not HTTP")

const (
	lowest  = 100
	highest = 599
)

// Valid reports whether a number is an HTTP status (RFC 9110, section 15).
func Valid(status int) bool { return status >= lowest && status <= highest }

// ValidFinal reports whether a number is the HTTP status of a final response.
func ValidFinal(status int) bool { return Valid(status) && status >= http.StatusOK }

// Checked returns a transport that fails with ErrInvalid instead of returning a response
// whose status is not HTTP.
func Checked(rt http.RoundTripper) http.RoundTripper { return checked{rt} }

type checked struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (c checked) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := c.RoundTripper.RoundTrip(r)
	if err == nil && !Valid(resp.StatusCode) {
		_ = resp.Body.Close()
		return nil, errors.Wrapf(ErrInvalid, "%d", resp.StatusCode)
	}
	return resp, err
}

// CloseIdleConnections closes the idle connections of the wrapped transport. http.Client calls it.
func (c checked) CloseIdleConnections() {
	if t, ok := c.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		t.CloseIdleConnections()
	}
}
