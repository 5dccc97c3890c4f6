package edge

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccaspindle/yuccaspindle/pkg/identity"
)

// identity returns what identifies the request over its retries. Without a body the
// program is part of it, so that requests of different callers differ. It must be called
// after the body was read.
func (c *call) identity() identity.Request {
	if c.id.Known() {
		return c.id
	}
	h := xxhash.New()
	for _, part := range []string{c.r.Host, c.r.Method, c.r.RequestURI, c.req.ParentTurnID} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	if len(c.body) == 0 {
		_, _ = h.WriteString(c.req.Program)
	}
	_, _ = h.Write(c.body)
	c.id = identity.Request{Content: identity.Content(max(h.Sum64(), 1))}
	return c.id
}

// refuseQuarantined refuses a request that has crashed upstreams, and a suspected one
// while another copy of it runs. It reports whether it did.
func (c *call) refuseQuarantined() bool {
	c.isolated = false
	s := c.e.suspects
	if !s.hasSuspects.Load() {
		return false
	}
	now := time.Now()
	s.mu.Lock()
	v := s.tracker.Restriction(c.identity(), now)
	s.mu.Unlock()
	c.isolated = v.Isolate
	isRunning := v.Isolate && s.isolation.isRunning(c.identity())
	why, wait := "request crashes upstreams", v.Until.Sub(now)
	switch {
	case isRunning:
		why, wait = "a suspected request runs alone", retryAfterBusy
	case v.Until.IsZero():
		return false
	}
	if c.tracker.MayHaveRun() || c.headSent {
		c.fail(c.tracker.NoUpstreamLeft(), why)
		return true
	}
	c.refuse(http.StatusServiceUnavailable, wait, why)
	return true
}
