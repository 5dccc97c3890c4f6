package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/httpcheck"
	"github.com/yuccaspindle/yuccaspindle/pkg/peerreset"
)

const (
	// maxAnswer bounds a whole answer in bytes, so that Done fits into one
	// envelope.
	maxAnswer = 7 << 20
	// maxHeadBytes bounds the head of an answer together with the interim (1xx) ones before
	// it. net/http bounds it at 10 MB, of which the parsing takes many times as much.
	maxHeadBytes = 64 << 10
	// controlTimeout bounds small requests to the upstream.
	controlTimeout = 2 * time.Second
)

// upstream is the HTTP client of one upstream.
type upstream struct {
	base  string
	token string
	// pooled reuses connections; a stale one costs an idempotent repeat.
	pooled *http.Client
	// fresh opens a connection per request: for health checks, which must not
	// use a silent connection, and for non-idempotent calls, whose outcome
	// would be unknown if a stale connection swallowed them.
	fresh *http.Client
}

func newUpstream(cfg Config) *upstream {
	dialer := &net.Dialer{
		Timeout: time.Second,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3,
		},
	}
	dial := peerreset.Dial(dialer.DialContext).Wrap() // net/http writes a request beside reading its answer
	tr := &http.Transport{
		DialContext: dial, DisableCompression: true, MaxIdleConns: cfg.IdleConns,
		MaxIdleConnsPerHost: cfg.IdleConns, IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: maxHeadBytes,
	}
	once := &http.Transport{
		DialContext: dial, DisableCompression: true, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &upstream{
		base: strings.TrimSuffix(cfg.Upstream.URL, "/"), token: cfg.Upstream.OrderToken,
		pooled: &http.Client{Transport: httpcheck.Transport(tr), CheckRedirect: noRedirect},
		fresh:  &http.Client{Transport: httpcheck.Transport(once), CheckRedirect: noRedirect},
	}
}

func (u *upstream) close() {
	u.pooled.CloseIdleConnections()
	u.fresh.CloseIdleConnections()
}

// errSwitch means that the upstream switches protocols, which no request asks for. The body
// is then the open connection, and reading it does not end with the request.
var errSwitch = errors.New("upstream switches protocols (status 101)")

// statusError is an answer with an HTTP error status.
type statusError struct {
	status int
	body   []byte
}

func (e *statusError) Error() string {
	return fmt.Sprintf("upstream answered %d: %s", e.status, bytes.TrimSpace(e.body[:min(len(e.body), 200)]))
}

// getJSON reads a small document. A nil out discards it.
func (u *upstream) getJSON(ctx context.Context, c *http.Client, path string, out any) error {
	return u.doJSON(ctx, c, http.MethodGet, path, nil, out)
}

func (u *upstream) doJSON(ctx context.Context, c *http.Client, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, u.base+path, body)
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	if u.token != "" {
		req.Header.Set("Authorization", "Bearer "+u.token)
	}
	res, err := c.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer+1))
	if err != nil {
		return err
	}
	if res.StatusCode/100 != 2 {
		return &statusError{status: res.StatusCode, body: b}
	}
	if len(b) > maxAnswer {
		return errors.Errorf("answer exceeds %d bytes", maxAnswer)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(b, out)
}

// escape makes a value one path segment.
func escape(s string) string { return url.PathEscape(s) }

// refused reports that nothing listens at the upstream's address.
func refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// post prepares a request that asks for permission immediately before the first byte of its
// head is written. Without permission it closes its connection, and nothing is written.
func (u *upstream) post(ctx context.Context, path string, body []byte, gate func() error) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if gate() != nil {
			_ = i.Conn.Close()
		}
	}})
	// A body that can't be rewound, and isn't http.NoBody even when empty, keeps net/http from
	// repeating a request with an Idempotency-Key on its own.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.base+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}
