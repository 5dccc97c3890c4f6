package edge

import (
	"bytes"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/headlimit"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// Owners of the memory of heads in the budget: while they arrive, and while their requests are
// answered.
const (
	ownerHeads    = "heads"
	ownerRequests = "requests"
)

// Limits that connections meet, as named in metrics and logs.
const (
	limitOpen       = "open connections"
	limitRefused    = "open connections, all in use"
	limitHeadless   = "connections without a head"
	limitMemory     = "memory of heads"
	limitHeadSize   = "size of a head"
	limitHeadLines  = "lines of a head"
	limitEmptyLines = "empty lines"
)

const (
	// refusalWriteTime limits the write of a refusal of some 100 bytes. It blocks only if the
	// caller has not read earlier answers.
	refusalWriteTime = 50 * time.Millisecond
	// maxMemoryEvictions limits the connections that are closed for one read.
	maxMemoryEvictions = 4
	// limitLogInterval is the time between two log lines about one limit.
	limitLogInterval = time.Second
)

// errHeadRefused ends a connection whose head was refused.
var errHeadRefused = errors.New("request head was refused")

// checkHead counts data of a head that has arrived. On an error it has answered the request,
// which net/http has not begun, and the connection must be closed.
func (c *callerConn) checkHead(p []byte) error {
	err := c.countHead(p)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errHeadRefused): // the connection was evicted meanwhile
		return c.refuseEvicted()
	case errors.Is(err, headlimit.ErrTooLarge):
		c.refuseHead(http.StatusRequestHeaderFieldsTooLarge, 0, limitHeadSize)
	case errors.Is(err, headlimit.ErrTooManyLines):
		c.refuseHead(http.StatusRequestHeaderFieldsTooLarge, 0, limitHeadLines)
	case errors.Is(err, headlimit.ErrEmptyLines):
		c.refuseHead(http.StatusBadRequest, 0, limitEmptyLines)
	default:
		c.refuseHead(http.StatusServiceUnavailable, retryAfterBusy+rand.N(retryJitter), limitMemory)
	}
	return c.refusedError()
}

// refusedError returns an error of reading after which net/http answers nothing.
func (c *callerConn) refusedError() error {
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errHeadRefused}
}

// refuseEvicted answers a request whose head was not complete when its connection was closed
// for others, and returns the error that ends the connection.
func (c *callerConn) refuseEvicted() error {
	c.mu.Lock()
	begun := c.head.Begun() && !c.busy
	c.mu.Unlock()
	if begun {
		c.writeRefusal(http.StatusServiceUnavailable, retryAfterBusy+rand.N(retryJitter))
	}
	return c.refusedError()
}

// countHead adds data to the head and reserves memory for it. If there is none, connections
// that have waited longer for the rest of a head are closed.
func (c *callerConn) countHead(p []byte) error {
	wasWaiting, err := c.scanHead(p)
	if err != nil {
		return err
	}
	err = c.reserveHead()
	for range maxMemoryEvictions {
		if err == nil || errors.Is(err, errHeadRefused) || !c.owner.evictHead(c) {
			break
		}
		err = c.reserveHead()
	}
	if err == nil && wasWaiting {
		c.owner.enqueue(c, true)
	}
	return err
}

// scanHead adds data to the head. It reports whether a kept connection now waits for the rest
// of a head.
func (c *callerConn) scanHead(p []byte) (begun bool, err error) {
	limits := c.owner.headLimits()
	c.mu.Lock()
	defer c.mu.Unlock()
	first := !c.head.Begun()
	if err := c.head.Scan(p, limits); err != nil {
		return false, err
	}
	return first && c.requests.Load() > 0 && !c.head.Complete(), nil
}

// reserveHead reserves the memory of the part of the head that has arrived.
func (c *callerConn) reserveHead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return errHeadRefused
	}
	return c.hold.GrowTo(c.head.Memory())
}

// releaseHead returns the memory of the last head and expects the next one.
func (c *callerConn) releaseHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hold.Release()
	c.hold.Transfer(ownerHeads)
	c.head = headlimit.Scanner{}
}

// refuseHead counts and answers a request whose head meets a limit.
func (c *callerConn) refuseHead(status int, retryAfter time.Duration, reason string) {
	c.owner.onLimit(reason, c.RemoteAddr())
	c.writeRefusal(status, retryAfter)
}

// writeRefusal answers a request whose head is not complete. It has not run.
func (c *callerConn) writeRefusal(status int, retryAfter time.Duration) {
	h := http.Header{"Content-Length": {"0"}, "Connection": {"close"}}
	platform.SetLocalResponseHeader(h, "", retryAfter)
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = h.Write(&b) // a Buffer does not fail
	b.WriteString("\r\n")
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTime))
	_, _ = c.Write(b.Bytes()) // the connection is closed in any case
}

// limitLog counts connections that meet a limit and logs some of them.
type limitLog struct {
	logger   *slog.Logger
	metrics  *metrics
	listener string

	mu      sync.Mutex
	lines   map[string]time.Time // time of the last line, by limit
	skipped map[string]int       // connections since that line, by limit
}

func newLimitLog(logger *slog.Logger, m *metrics, listener string) *limitLog {
	return &limitLog{logger: logger, metrics: m, listener: listener, lines: make(map[string]time.Time), skipped: make(map[string]int)}
}

// record counts a connection that meets a limit.
func (l *limitLog) record(limit string, remote net.Addr) {
	l.metrics.connLimit(l.listener, limit)
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.lines[limit]) < limitLogInterval {
		l.skipped[limit]++
		return
	}
	l.logger.Warn("connection met a limit", "listener", l.listener, "limit", limit, "peer", remote.String(), "others", l.skipped[limit])
	l.lines[limit], l.skipped[limit] = now, 0
}
