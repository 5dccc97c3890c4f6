package httpcheck

import (
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport returns a transport whose responses are checked by Response. It closes the
// connection of an invalid one, which net/http keeps if there seems to be no body: what follows
// may be a part of the response. Interim responses are not checked, since net/http doesn't limit
// their number if a hook sees them; they have no body and are not passed on.
func Transport(rt http.RoundTripper) http.RoundTripper { return transport{rt} }

type transport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn net.Conn // of the last try
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { conn = i.Conn }}
	resp, err := t.RoundTripper.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := Response(resp); err != nil {
		_ = resp.Body.Close()
		if conn != nil {
			_ = conn.Close()
		}
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the wrapped transport. http.Client calls it.
func (t transport) CloseIdleConnections() {
	if c, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
