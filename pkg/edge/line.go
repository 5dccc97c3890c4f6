package edge

import (
	"maps"
	"net/http"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/attempt"
	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/pkg/retrybudget"
	"github.com/yuccaspindle/yuccaspindle/pkg/routing"
	"github.com/yuccaspindle/yuccaspindle/pkg/upstream"
	"github.com/yuccaspindle/yuccaspindle/pkg/waitline"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// Reasons for refusing a request for which no upstream has room.
const (
	whyLineFull    = "no room at the upstreams, and the line is full"
	whyLineExpired = "no room at the upstreams in time"
)

// lineState is the state of a request with regard to the line of its service.
type lineState struct {
	counted   bool          // the request counts in the retry budget and in the usual traffic
	usualTime time.Duration // time that callers of the route have for a request at first
	since     time.Time     // when it first had to wait; zero: never
	// rejectedBy holds when upstreams rejected the request for lack of room. It may go there
	// again once they have room, since it has not run.
	rejectedBy map[string]time.Time
	// avoidFull is set if upstreams without room must not be chosen while others have room.
	avoidFull bool
	passing   bool             // it was let through and has not been placed
	shedNow   bool             // the last attempt was rejected for lack of room
	served    *waitline.Ticket // of the last time that it was let through after a wait
}

// awaitRoom waits while all upstreams that may get the request are known to be full. It
// reports whether it ended the request. A stream that has begun does not wait, nor does any
// request while the edge stops.
func (c *call) awaitRoom() (ended bool) {
	c.leaveLine()
	if c.headSent || c.e.stopping.Load() != nil {
		return false
	}
	for again := false; ; again = true {
		now := time.Now()
		w, v := c.e.lines.enter(c, now)
		if v == pass && w == nil {
			return again && c.endAfterWait()
		}
		if c.inLine.since.IsZero() {
			c.inLine.since = now
		}
		if v == wait {
			v = c.wait(w)
		}
		switch {
		case c.callerGone():
			c.endWait(w, "left", now)
			c.endGone()
			return true
		case v == pass:
			c.endWait(w, v.String(), now)
			return c.endAfterWait()
		case v == wait:
			if c.endAfterWait() {
				c.endWait(w, "ended", now)
				return true
			}
		default:
			c.endWait(w, v.String(), now)
			c.refuseInLine(w, v)
			return true
		}
	}
}

// wait waits for the verdict on a request in the line. It returns wait if the request must
// be checked again first, or if its caller has left: it is not in the line then.
func (c *call) wait(w *waiter) (v verdict) {
	select {
	case v = <-w.verdict:
	case <-c.r.Context().Done():
		v = wait
	case <-w.changed:
		v = wait
	}
	if v == wait && !c.e.lines.leave(c.service, w) {
		v = <-w.verdict
	}
	if v == pass {
		c.inLine.passing, c.inLine.served = true, w.ticket
	}
	return v
}

// endAfterWait ends a request that must not be passed on any more after a wait. It reports
// whether it did.
func (c *call) endAfterWait() bool {
	if c.callerGone() {
		c.endGone()
		return true
	}
	if c.e.stopping.Load() != nil {
		c.endWaitAtStop()
		return true
	}
	if c.endBeforeAttempt() {
		return true
	}
	table := c.e.view.table.Load()
	if c.tracker.MayHaveRun() || table.Match(c.r.Host, c.r.URL.EscapedPath()) != nil {
		return false
	}
	c.refuse(http.StatusNotFound, 0, "no route")
	return true
}

// endWaitAtStop ends a waiting request of a stopping edge: it can wait longer at another edge.
func (c *call) endWaitAtStop() {
	if action := c.tracker.NoUpstreamLeft(); action != attempt.Refuse {
		c.e.metrics.endedForStop(action)
		c.fail(action, whyStop)
		return
	}
	c.refuseAtStop()
}

// endGone ends a waiting request whose caller has left, or that waits at the end of a stop.
func (c *call) endGone() {
	if c.cutByStop() && c.tracker.NoUpstreamLeft() == attempt.Refuse {
		c.refuseAtStop()
		return
	}
	c.abandon()
}

// refuseInLine ends a request that has waited as long as it may, or that may not wait.
func (c *call) refuseInLine(w *waiter, v verdict) {
	why := whyLineFull
	if v == expired {
		why = whyLineExpired
	}
	if action := c.tracker.NoUpstreamLeft(); action != attempt.Refuse {
		c.fail(action, why)
		return
	}
	c.respond(http.StatusServiceUnavailable, w.after, why)
}

// endWait records the end of a wait.
func (c *call) endWait(w *waiter, end string, began time.Time) {
	waited := time.Since(began)
	c.e.metrics.lineEnded(end, waited)
	c.e.logger.Info("wait for room ended", "id", c.req.ID, "service", c.service, "workspace", w.ticket.Workspace, "route", c.route.Name,
		"end", end, "waited_ms", waited.Milliseconds(), "ahead", w.position, "priority", w.ticket.Priority, "new_program", w.ticket.NewProgram,
		"attempts", c.tracker.Attempts(), "retry_after", w.after)
}

// leaveLine records that a request that was let through was placed, or ended before.
func (c *call) leaveLine() {
	if c.inLine.passing {
		c.inLine.passing = false
		c.e.lines.placed(c.service)
	}
}

// newWaiter returns the request as it waits in the line.
func (c *call) newWaiter() *waiter {
	w := &waiter{verdict: make(chan verdict, 1), deadline: c.deadline}
	w.ticket = &waitline.Ticket{Request: c.waitRequest(time.Now()), JoinedAt: c.inLine.since, Value: w}
	w.rejectedBy = maps.Clone(c.inLine.rejectedBy)
	if len(c.triedUpstreams) > len(w.rejectedBy) {
		w.excluded = maps.Clone(c.triedUpstreams)
		for id := range w.rejectedBy {
			delete(w.excluded, id)
		}
	}
	return w
}

// waitRequest returns what the place of the request in the line depends on.
func (c *call) waitRequest(now time.Time) waitline.Request {
	work, lost, since := c.expectedTime(), c.lostTime(), c.inLine.since
	if since.IsZero() {
		since = now
	}
	s, objective := c.turnState(), c.route.LatencyObjective
	r := waitline.Request{
		Workspace: c.workspaceName(), Class: c.route.Name, Priority: s.priority, NewProgram: !s.programStarted,
		Due: c.began.Add(objective - lost - work), LeaveBy: waitline.LeaveBy(since, c.deadline, lost, work, objective),
		Work: work, Bytes: int64(c.bodySize()),
	}
	if s.hasDeadline {
		r.Due = c.began.Add(c.req.ProgramTimeLeft - work)
	}
	// A late program is worth a fraction of one in time; so is a request past its objective.
	r.Late = r.Due.Before(now)
	return r
}

// lostTime estimates the time that the caller lost before this request, for example by a refusal:
// how much less time it has left than other callers of the route.
func (c *call) lostTime() time.Duration {
	if !c.req.HasTimeLeft {
		return 0
	}
	return max(c.inLine.usualTime-c.req.TimeLeft, 0)
}

// expectedTime returns how long an upstream takes to answer, or to begin a stream.
func (c *call) expectedTime() time.Duration {
	objective := c.route.LatencyObjective
	usual := c.e.times.estimate(c.route.Name)
	if c.route.Kind == routing.Stream || usual.Requests == 0 {
		return objective / 2
	}
	if objective <= 0 {
		return usual.Usual
	}
	return min(usual.Usual, objective)
}

// pickWithRoom chooses a member that has room, as far as known, if any has.
func (c *call) pickWithRoom(f *fleet.Fleet, r *fleet.Request, now time.Time) *fleet.Member {
	if !c.inLine.avoidFull {
		return f.Select(r, now)
	}
	excluded := r.Excluded
	r.Excluded = func(id string) bool {
		rejectedAt := c.inLine.rejectedBy[id]
		return f.Full(id, rejectedAt, now) || c.occupied(id) || c.tried(id) && rejectedAt.IsZero()
	}
	m := f.Select(r, now)
	r.Excluded = excluded
	if m == nil {
		m = f.Select(r, now)
	}
	if m != nil {
		f.RecordTried(m, now)
	}
	return m
}

// recordRoom records what the end of an attempt shows about the member's room.
func (c *call) recordRoom(f *fleet.Fleet, m *fleet.Member, o attempt.Outcome, resp *upstream.Response, now time.Time) {
	delete(c.inLine.rejectedBy, m.ID) // an upstream that failed since is not tried again
	switch {
	case o == attempt.Answered:
		f.RecordAccepted(m, now)
		c.inLine.served = nil
	case shed(o, resp):
		held := 0
		if l := resp.Load; l != nil {
			held = l.Running + l.Waiting
		}
		f.RecordRejectedFull(m, held, now)
		if c.inLine.rejectedBy == nil {
			c.inLine.rejectedBy = make(map[string]time.Time)
		}
		c.inLine.rejectedBy[m.ID] = now
		c.inLine.shedNow = true
	}
}

// shed reports whether an upstream rejected a request because it has no room: not because it
// shuts down, or because of a rate limit.
func shed(o attempt.Outcome, resp *upstream.Response) bool {
	return o == attempt.Rejected && resp != nil && resp.Status == http.StatusServiceUnavailable && !resp.Leaving &&
		resp.RateLimit.State != platform.RateLimitNamed
}

// applyRetryBudget returns the next action after an attempt, given the one that the request
// alone allows. While requests of a service wait for room, only a share of them gets further
// attempts. An attempt that was not sent does not count, since it cost the service nothing, and a
// stream that has begun goes on.
func (c *call) applyRetryBudget(o attempt.Outcome, next attempt.Action, now time.Time) attempt.Action {
	allowed := c.e.lines.recordAttempt(c, o, next, now)
	if allowed {
		return next
	}
	cause := retryCause(o)
	c.e.metrics.retryDenied(cause)
	c.e.logger.Info("no further attempt while the service is short of room", "id", c.req.ID, "service", c.service, "cause", cause,
		"attempts", c.tracker.Attempts())
	if o == attempt.Answered {
		return attempt.Deliver
	}
	return c.tracker.NoUpstreamLeft()
}

// retryCause returns the budget that an attempt after one with this outcome counts in.
func retryCause(o attempt.Outcome) retrybudget.Cause {
	if o == attempt.Rejected {
		return retrybudget.Rejection
	}
	return retrybudget.Failure
}

// recordAttempt records the end of an attempt, lets waiting requests take its place, and
// reports whether the budget of the service allows the next attempt, if there is to be one.
func (l *lines) recordAttempt(c *call, o attempt.Outcome, next attempt.Action, now time.Time) (allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.service(c.service)
	if c.inLine.shedNow {
		c.inLine.shedNow, s.shedAt = false, now
	}
	if s.line.Len() > 0 {
		l.pump(c.service, s, now)
	}
	if next != attempt.Retry || o == attempt.NotSent || !s.busy(now) {
		return true
	}
	cause := retryCause(o)
	if c.headSent {
		s.budget.Count(cause, now)
		return true
	}
	return s.budget.Allow(cause, now)
}
