package edge

import (
	"math/rand/v2"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/pkg/ratelimit"
	"github.com/yuccaspindle/yuccaspindle/pkg/routing"
)

// place chooses an upstream and registers the attempt there. It returns nil and the
// reason if there is none.
func (c *call) place() (*fleet.Member, string) {
	now := time.Now()
	if !c.applySuspension(now) {
		return nil, "time is over"
	}
	if m := c.pick(now); m != nil {
		return m, ""
	}
	if c.limited {
		return nil, whyLimited
	}
	if c.binding.Begun() {
		return nil, whyVersionGone
	}
	return nil, whyNoUpstream
}

// retryAfter returns when the caller of a request without an upstream should retry.
func (c *call) retryAfter() time.Duration {
	if c.limited {
		return max(c.limitWait, time.Millisecond)
	}
	if after, ok := c.e.lines.retryAfter(c); ok {
		return after
	}
	return retryAfterBusy
}

// pick chooses an upstream and registers the attempt there. It returns nil if none is
// left.
func (c *call) pick(now time.Time) *fleet.Member {
	req := c.fleetRequest(func(id string) bool { return c.tried(id) || c.occupied(id) })
	c.describeWork(&req)
	req.Draw, req.Rank, req.TimeLeft, req.ServiceTime = rand.Float64(), c.rank(), c.deadline.Sub(now), c.route.LatencyObjective
	if key := c.affinityKey(); key != "" {
		req.Affinity, _ = c.e.affinity.Get(key)
	}
	var m *fleet.Member
	var cause ratelimit.Cause
	limited := false
	c.limited = false
	c.e.withFleet(func(f *fleet.Fleet) {
		if m = c.pickWithRoom(f, &req, now); m != nil {
			cause, limited = c.cause(m, req.Affinity), m.Limited()
			c.work = f.StartWork(m, &req, now)
			f.RecordStart(m, cause, now)
			c.addIsolated(m.ID) // before another suspected request is placed
			return
		}
		c.limitWait, c.limited = f.RefuseLimited(req, now)
	})
	c.leaveLine() // the attempt counts at the member now
	if m != nil {
		if limited {
			c.e.metrics.limitedAttempt(cause.String())
		}
		c.triedUpstreams[m.ID] = true
		c.sentAt = now
		c.recordPlacement()
	}
	return m
}

// canFailOver reports whether a request may move to another upstream if a member
// stalls: the request may run again, the member has a free slot, so that the delay is
// not queueing, and another member can take the request.
func (c *call) canFailOver(m *fleet.Member) (allowed bool) {
	if !c.tracker.MayRetry() {
		return false
	}
	now := time.Now()
	c.e.withFleet(func(f *fleet.Fleet) {
		allowed = !f.Busy(m, now) && f.HasAlternative(c.fleetRequest(c.tried), now)
	})
	return allowed
}

// affinityKey identifies the conversation whose prompt prefix an upstream may have
// cached.
func (c *call) affinityKey() string {
	if c.route.Kind != routing.Stream {
		return ""
	}
	if c.req.Program != "" {
		return c.req.Program
	}
	if n := len(c.req.PromptPrefix); n > 0 {
		return c.req.PromptPrefix[n-1].ID
	}
	return ""
}

// urgency ranks a request in the engine's queue; negative: no rank.
func (c *call) urgency() int {
	if c.route.Kind != routing.Stream {
		return -1
	}
	return urgencyOf(c.turnState())
}

// turnState returns what the urgency of the request depends on. A plain request of a
// program comes from a turn that was served.
func (c *call) turnState() turnState {
	return turnState{
		priority:       c.priority(),
		programStarted: c.programStarted || c.route.Kind != routing.Stream && c.req.Program != "",
		timeLeft:       c.req.ProgramTimeLeft - time.Since(c.began),
		hasDeadline:    c.req.HasProgramTimeLeft,
	}
}

// cause says why this call sends a request to a member.
func (c *call) cause(m *fleet.Member, affinity string) ratelimit.Cause {
	switch {
	case c.tracker.Attempts() > 0:
		return ratelimit.Retry
	case m.ID == affinity:
		return ratelimit.Cached
	}
	return ratelimit.First
}

// rank returns the place of the request among others while upstreams of its service are
// limited.
func (c *call) rank() ratelimit.Rank {
	rank := ratelimit.Rank(max(c.priority(), 0))
	if !c.turnState().programStarted {
		rank += ratelimit.NewProgram
	}
	return rank
}
