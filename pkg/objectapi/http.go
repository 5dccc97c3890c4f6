package objectapi

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/yuccaspindle/yuccaspindle/pkg/httpcheck"
)

// ClientConfig describes the connection to the store. Zero fields take the
// defaults in parentheses.
type ClientConfig struct {
	Address   string        // base URL or host:port
	Name      string        // sent as X-Client, for the store's logs and the stand-in's faults
	Rate      float64       // calls per second this process may make (100)
	Burst     int           // calls that may be made at once (50)
	Timeout   time.Duration // of one call (2 s)
	WatchWait time.Duration // longest wait of one long poll (25 s)
	ReadTries uint          // calls made for one read (3)
	TLS       *tls.Config
}

// HTTPClient is a Client that speaks JSON over HTTP.
type HTTPClient struct {
	*client
	backend *httpBackend
}

var _ Client = (*HTTPClient)(nil)

// Dial returns a client of the store. It makes no call.
func Dial(cfg ClientConfig) (*HTTPClient, error) {
	base := cfg.Address
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	u, err := url.Parse(base)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, fmt.Errorf("objectapi: store address %q: want host:port or an http(s) URL", cfg.Address)
	}
	def := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	def(&cfg.Timeout, 2*time.Second)
	def(&cfg.WatchWait, 25*time.Second)
	if cfg.Rate <= 0 {
		cfg.Rate = 100
	}
	if cfg.Burst <= 0 {
		cfg.Burst = 50
	}
	if cfg.ReadTries == 0 {
		cfg.ReadTries = 3
	}
	b := &httpBackend{
		base: strings.TrimSuffix(u.Scheme+"://"+u.Host+u.Path, "/"),
		name: cfg.Name,
		hc: &http.Client{Transport: httpcheck.Transport(&http.Transport{
			TLSClientConfig:     cfg.TLS,
			MaxIdleConnsPerHost: 16,
			IdleConnTimeout:     90 * time.Second,
		})},
	}
	return &HTTPClient{backend: b, client: &client{
		b: b, peer: u.Host, limiter: rate.NewLimiter(rate.Limit(cfg.Rate), cfg.Burst),
		timeout: cfg.Timeout, watchWait: cfg.WatchWait, staleDelay: time.Second,
		readTries: cfg.ReadTries, writeTries: 2,
		firstDelay: 50 * time.Millisecond, maxDelay: time.Second,
	}}, nil
}

// Close drops the idle connections.
func (c *HTTPClient) Close() { c.backend.hc.CloseIdleConnections() }

type httpBackend struct {
	base string
	name string
	hc   *http.Client
}

func objectPath(key string) string { return "/v1/objects/" + key }

// errNoContent tells that a call with an answer got a 204.
var errNoContent = fmt.Errorf("%w: answer without content", ErrUnavailable)

// errNoVersion tells that an answer misses the version of the object.
var errNoVersion = fmt.Errorf("%w: answer without a version", ErrUnavailable)

// do sends one request and decodes the answer into out, if out is not nil. It
// returns an error for every status other than 2xx.
func (b *httpBackend) do(ctx context.Context, method, path string, header http.Header, body, out any) error {
	var rd *bytes.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrInvalid, err)
		}
		rd = bytes.NewReader(data)
	} else {
		rd = bytes.NewReader(nil)
	}
	req, err := http.NewRequestWithContext(ctx, method, b.base+path, rd)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	for k, v := range header {
		req.Header[k] = v
	}
	if b.name != "" {
		req.Header.Set(ClientHeader, b.name)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := b.hc.Do(req)
	if err != nil {
		return unavailable(ctx, err)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode < 200 || resp.StatusCode >= 300:
		return statusError(resp)
	case out == nil:
		return nil
	case resp.StatusCode == http.StatusNoContent:
		return errNoContent
	}
	if err := DecodeBody(resp.Body, out); err != nil {
		// A broken body loses the answer, whatever the status says.
		return unavailable(ctx, err)
	}
	return nil
}

func unavailable(ctx context.Context, err error) error {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), ErrUnavailable) {
		return ctx.Err()
	}
	return fmt.Errorf("%w: %v", ErrUnavailable, err)
}

func statusError(resp *http.Response) error {
	var we WireError
	msg := resp.Status
	if DecodeBody(resp.Body, &we) == nil && we.Error.Message != "" {
		msg += ": " + we.Error.Message
	}
	switch resp.StatusCode {
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusTooManyRequests:
		return fmt.Errorf("%w: %s", ErrRateLimited, msg)
	}
	if resp.StatusCode < 500 {
		return fmt.Errorf("%w: %s", ErrInvalid, msg)
	}
	return fmt.Errorf("%w: %s", ErrUnavailable, msg)
}

func (b *httpBackend) Get(ctx context.Context, key string) (Object, error) {
	var w WireObject
	err := b.do(ctx, http.MethodGet, objectPath(key), nil, nil, &w)
	if err == nil && w.Version == 0 {
		err = errNoVersion
	}
	return Object{Key: key, Version: w.Version, Value: w.Value}, err
}

func (b *httpBackend) Put(ctx context.Context, key string, cond Condition, value []byte) (uint64, error) {
	h := http.Header{}
	if cond.Absent {
		h.Set("If-None-Match", "*")
	} else {
		h.Set("If-Match", strconv.Quote(strconv.FormatUint(cond.Version, 10)))
	}
	var w WireVersion
	err := b.do(ctx, http.MethodPut, objectPath(key), h, WirePut{Value: value}, &w)
	if err == nil && w.Version == 0 {
		err = errNoVersion
	}
	return w.Version, err
}

func (b *httpBackend) Delete(ctx context.Context, key string) error {
	err := b.do(ctx, http.MethodDelete, objectPath(key), nil, nil, nil)
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	return err
}

func (b *httpBackend) List(ctx context.Context, prefix, after string) ([]Object, string, error) {
	q := url.Values{"prefix": {prefix}}
	if after != "" {
		q.Set("after", after)
	}
	var w WireList
	if err := b.do(ctx, http.MethodGet, "/v1/objects?"+q.Encode(), nil, nil, &w); err != nil {
		return nil, "", err
	}
	objs := make([]Object, len(w.Objects))
	for i, o := range w.Objects {
		if o.Version == 0 {
			return nil, "", errNoVersion
		}
		objs[i] = Object(o)
	}
	return objs, w.Next, nil
}

func (b *httpBackend) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Object, bool, error) {
	q := url.Values{
		"watch":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var w WireObject
	err := b.do(ctx, http.MethodGet, objectPath(key)+"?"+q.Encode(), nil, nil, &w)
	if errors.Is(err, errNoContent) {
		return Object{}, false, nil
	}
	if err != nil {
		return Object{}, false, err
	}
	return Object{Key: key, Version: w.Version, Value: w.Value}, true, nil
}

func (b *httpBackend) Instances(ctx context.Context) ([]Instance, error) {
	var w WireInstances
	err := b.do(ctx, http.MethodGet, "/v1/instances", nil, nil, &w)
	return w.Instances, err
}
