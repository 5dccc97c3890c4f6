package edge

import (
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/identity"
)

// identity returns what identifies the request over its retries. It must be called after
// the body was read.
func (c *call) identity() identity.Request {
	if !c.id.Known() {
		c.id = identity.Request{Content: c.content(), Caller: c.caller()}
	}
	return c.id
}

// content returns what the request asks for. The earlier turns of a conversation are a
// part of the body.
func (c *call) content() identity.Content {
	body := append(slices.Clone(c.history), c.body)
	return identity.NewContentOf(body, []byte(c.r.Host), []byte(c.r.Method), []byte(c.r.URL.EscapedPath()), []byte(c.req.ParentTurnID))
}

// caller returns who sends the request: its program, or whoever is behind its address.
func (c *call) caller() identity.Caller {
	if c.req.Program != "" {
		return identity.SingleCaller([]byte(c.req.Program))
	}
	address, _, err := net.SplitHostPort(c.r.RemoteAddr)
	if err != nil {
		address = c.r.RemoteAddr
	}
	return identity.SharedCaller(address)
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
