package core

import (
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core/quarantine"
)

const (
	// defaultQuarantineTime applies if the profile sets none.
	defaultQuarantineTime = 10 * time.Minute
	// crashReportWait limits the time for which the retry of a suspect waits for
	// the report of its upstream's crash: four heartbeats of 500 ms.
	crashReportWait = 2 * time.Second
)

func (c *Core) quarantineEnd(profile string) time.Time {
	t := c.profile(profile).QuarantineTime
	if t <= 0 {
		t = defaultQuarantineTime
	}
	return c.now.Add(t)
}

func (c *Core) shareQuarantine(e quarantine.Entry) {
	c.emit(ShareQuarantine{
		Fingerprint: e.Fingerprint, Count: e.Count, Until: e.Until, Released: e.Released,
		Upstream: UpstreamID(e.Upstream), Incarnation: e.Incarnation,
	})
}

// awaitsCrashReport marks the request of an attempt that ended in a crash as a
// suspect. It reports whether the retry must wait for the crash report, which
// decides on a quarantine: the request was a suspect already at this attempt
// and the report has not arrived.
func (c *Core) awaitsCrashReport(cl *call) bool {
	if cl.Fingerprint == 0 {
		return false
	}
	reported := c.lastCrashStep[cl.upstream] > cl.dispatchStep
	if !cl.suspect && !reported {
		if e, ok := c.crashSuspects.MarkSuspect(cl.Fingerprint, string(cl.upstream), c.quarantineEnd(cl.member.Profile)); ok {
			c.shareQuarantine(e)
		}
	}
	return cl.suspect && !reported
}

// holdRetry delays the retry of a suspect until the crash report arrives or
// crashReportWait has passed.
func (c *Core) holdRetry(cl *call) {
	cl.state = stateHeld
	c.armCallTimer(cl, timerCrashReport, c.now.Add(crashReportWait))
}

// quarantineHeld quarantines a suspect whose second crash was not reported in
// time. The sidecar may have died together with its upstream.
func (c *Core) quarantineHeld(cl *call) {
	c.shareQuarantine(c.crashSuspects.Quarantine(cl.Fingerprint, c.quarantineEnd(cl.member.Profile)))
	c.refuseQuarantined()
}

// upstreamCrashed counts a reported crash against the requests that the
// upstream was running.
func (c *Core) upstreamCrashed(e UpstreamCrashed) {
	c.lastCrashStep[e.Upstream] = c.stepCount
	changed := c.crashSuspects.RecordCrash(string(e.Upstream), e.Incarnation, e.Fingerprints, c.now, c.quarantineEnd(""))
	for _, entry := range changed {
		c.shareQuarantine(entry)
	}
	c.refuseQuarantined()
	held := c.sortedCalls(func(cl *call) bool { return cl.state == stateHeld && cl.upstream == e.Upstream })
	for _, cl := range held {
		if cl.state == stateHeld {
			c.backoff(cl, 0)
		}
	}
}

// clearSuspicion removes a request from the suspects after it ran to
// completion.
func (c *Core) clearSuspicion(fp uint64) {
	if fp != 0 && c.crashSuspects.Clear(fp) {
		c.shareQuarantine(quarantine.Entry{Fingerprint: fp, Count: quarantine.CountSuspect, Released: true})
	}
}

// refuseQuarantined refuses the quarantined calls that are not at an upstream.
func (c *Core) refuseQuarantined() {
	calls := c.sortedCalls(func(cl *call) bool {
		_, ok := c.crashSuspects.QuarantinedUntil(cl.Fingerprint)
		return ok && cl.state != stateRunning && cl.state != stateResolving && cl.state != stateFinishing
	})
	for _, cl := range calls {
		if until, ok := c.crashSuspects.QuarantinedUntil(cl.Fingerprint); ok && cl.state != stateDone {
			c.refuse(cl, c.quarantineRefusal(cl, until))
		}
	}
}

func (c *Core) quarantineRefusal(cl *call, until time.Time) Refusal {
	ref := c.newRefusal(cl, CodeQuarantined, "quarantine", "the request has crashed the upstreams that ran it")
	ref.RetryAfter = max(until.Sub(c.now), minRetryAfter)
	return ref
}

func (c *Core) rejectQuarantined(cl *call, until time.Time) {
	c.emit(Refuse{Call: cl.ID, Refusal: c.quarantineRefusal(cl, until)})
}
