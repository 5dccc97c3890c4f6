package httpcheck

import (
	"net/http"

	"github.com/pkg/errors"
)

// Transport returns a transport that fails with ErrStatus instead of returning a response
// whose status is not HTTP.
func Transport(rt http.RoundTripper) http.RoundTripper { return transport{rt} }

type transport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	if err == nil && !ValidStatus(resp.StatusCode) {
		_ = resp.Body.Close()
		return nil, errors.Wrapf(ErrStatus, "%d", resp.StatusCode)
	}
	return resp, err
}

// CloseIdleConnections closes the idle connections of the wrapped transport. http.Client calls it.
func (t transport) CloseIdleConnections() {
	if c, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
