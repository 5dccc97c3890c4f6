package edge

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
)

// hex writes a fingerprint as logs and the status show it.
func hex(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }

// fingerprint is the same for requests that make upstreams do the same. The
// caller is part of it where there is no body. It is computed once the body is
// complete.
func (c *call) fingerprint() uint64 {
	if c.hash != 0 {
		return c.hash
	}
	h := xxhash.New()
	for _, part := range []string{c.r.Host, c.r.Method, c.r.RequestURI, c.req.ParentTurn} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	if len(c.body) == 0 {
		_, _ = h.WriteString(c.req.Program)
	}
	_, _ = h.Write(c.body)
	c.hash = max(h.Sum64(), 1)
	return c.hash
}

// quarantined refuses a request that has crashed upstreams before, and one that
// may be such a request while another copy of it runs.
func (c *call) quarantined() bool {
	c.alone = false
	s := c.e.suspects
	if !s.some.Load() {
		return false
	}
	now := time.Now()
	s.mu.Lock()
	v := s.tracker.Restriction(c.fingerprint(), now)
	s.mu.Unlock()
	c.alone = v.Isolate
	runs := v.Isolate && s.isolation.runs(c.fingerprint())
	why, wait := "request crashes upstreams", v.Until.Sub(now)
	switch {
	case runs:
		why, wait = "a suspected request runs alone", retryFull
	case v.Until.IsZero():
		return false
	}
	if c.tracker.MayHaveRun() || c.answered {
		c.finish(c.tracker.NoUpstreamLeft(), why)
		return true
	}
	c.refuse(http.StatusServiceUnavailable, wait, why)
	return true
}
