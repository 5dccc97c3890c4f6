package core

import (
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core/quarantine"
)

const (
	// defaultQuarantineTime holds where the profile states none.
	defaultQuarantineTime = 10 * time.Minute
	// crashReportWait is how long the retry of a suspect waits for the report
	// of its upstream's crash: four heartbeats of 500 ms.
	crashReportWait = 2 * time.Second
)

func (c *Core) quarantineEnd(profile string) time.Time {
	t := c.profile(profile).QuarantineTime
	if t <= 0 {
		t = defaultQuarantineTime
	}
	return c.now.Add(t)
}

func (c *Core) share(e quarantine.Entry) {
	c.emit(ShareQuarantine{
		Fingerprint: e.Fingerprint, Count: e.Count, Until: e.Until, Released: e.Released,
		Upstream: UpstreamID(e.Upstream), Incarnation: e.Incarnation,
	})
}

// broken marks the request of an attempt that broke in a crash as a suspect.
// It reports true if the request was attempted as a suspect and the report of
// the crash, which decides on a quarantine, has not come.
func (c *Core) broken(cl *call) bool {
	if cl.Fingerprint == 0 {
		return false
	}
	reported := c.crashes[cl.upstream] > cl.sent
	if !cl.suspect && !reported {
		if e, ok := c.quarant.MarkSuspect(cl.Fingerprint, string(cl.upstream), c.quarantineEnd(cl.member.Profile)); ok {
			c.share(e)
		}
	}
	return cl.suspect && !reported
}

// hold keeps the retry of a suspect until the crash report decides.
func (c *Core) hold(cl *call) {
	cl.state = stateHeld
	c.watchCall(cl, timerHeld, c.now.Add(crashReportWait))
}

// quarantineHeld quarantines a suspect whose second crash was not reported in time:
// the sidecar may have died with its upstream.
func (c *Core) quarantineHeld(cl *call) {
	c.share(c.quarant.Quarantine(cl.Fingerprint, c.quarantineEnd(cl.member.Profile)))
	c.refuseQuarantined()
}

// crashed counts the report of a crash.
func (c *Core) crashed(e UpstreamCrashed) {
	c.crashes[e.Upstream] = c.steps
	changed := c.quarant.RecordCrash(string(e.Upstream), e.Incarnation, e.Fingerprints, c.now, c.quarantineEnd(""))
	for _, entry := range changed {
		c.share(entry)
	}
	c.refuseQuarantined()
	held := c.sortedCalls(func(cl *call) bool { return cl.state == stateHeld && cl.upstream == e.Upstream })
	for _, cl := range held {
		if cl.state == stateHeld {
			c.backoff(cl, 0)
		}
	}
}

// cleared removes the suspicion of a request that ran to its end.
func (c *Core) cleared(fp uint64) {
	if fp != 0 && c.quarant.Clear(fp) {
		c.share(quarantine.Entry{Fingerprint: fp, Count: quarantine.CountSuspect, Released: true})
	}
}

// refuseQuarantined refuses the calls under way that are quarantined and not
// at an upstream.
func (c *Core) refuseQuarantined() {
	calls := c.sortedCalls(func(cl *call) bool {
		_, ok := c.quarant.QuarantinedUntil(cl.Fingerprint)
		return ok && cl.state != stateRunning && cl.state != stateResolving && cl.state != stateFinishing
	})
	for _, cl := range calls {
		if until, ok := c.quarant.QuarantinedUntil(cl.Fingerprint); ok && cl.state != stateDone {
			c.refuse(cl, c.quarantineRefusal(cl, until))
		}
	}
}

func (c *Core) quarantineRefusal(cl *call, until time.Time) Refusal {
	ref := c.refusal(cl, CodeQuarantined, "quarantine", "the request has crashed the upstreams that ran it")
	ref.RetryAfter = max(until.Sub(c.now), minRetryAfter)
	return ref
}

func (c *Core) rejectQuarantined(cl *call, until time.Time) {
	c.emit(Refuse{Call: cl.ID, Refusal: c.quarantineRefusal(cl, until)})
}
