package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/attempt"
	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/pkg/membudget"
	"github.com/yuccaspindle/yuccaspindle/pkg/poison"
	"github.com/yuccaspindle/yuccaspindle/pkg/routing"
	"github.com/yuccaspindle/yuccaspindle/pkg/upstream"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	// defaultTimeout applies to requests without a deadline on routes without a
	// timeout.
	defaultTimeout = 30 * time.Second
	// The pauses that refused callers are asked for. A caller honours up to a
	// third of its remaining time.
	retryUnready = 500 * time.Millisecond // no configuration, or no majority of the storage
	retryFull    = 200 * time.Millisecond // no room at the upstreams
	// retrySpread keeps callers that were refused together from returning
	// together.
	retrySpread = 200 * time.Millisecond
)

// call is one request of a caller on its way through the entry.
type call struct {
	e       *Edge
	w       http.ResponseWriter
	r       *http.Request
	req     platform.Request
	route   *routing.Route
	table   *routing.Table
	service string
	body    []byte
	// hold is the memory of an answer, or a part of one, that was read and not
	// yet passed on; nil without one.
	hold  *membudget.Reservation
	began time.Time
	// deadline is the end of the caller's time or of the route's timeout.
	deadline time.Time
	// sleptBefore is how long the machine was suspended before the request began,
	// and since then as far as deadline takes account of it.
	sleptBefore time.Duration
	tracker     *attempt.Tracker
	tried       map[string]bool
	answered    bool      // the head of an answer was sent
	begun       bool      // an earlier turn of the program was served here, or is named
	sent        time.Time // of the present attempt
	hash        uint64    // fingerprint of the request; 0: not computed yet
	alone       bool      // the present attempt must not share its upstream with a suspected request
}

// serve handles one request of a caller.
func (e *Edge) serve(w http.ResponseWriter, r *http.Request) {
	c := &call{e: e, w: w, r: r, req: platform.DecodeRequest(r.Header), began: time.Now(), tried: make(map[string]bool)}
	if e.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	c.boundDelivery(c.began.Add(defaultTimeout))
	if e.transit.UnderPressure() {
		c.refuse(http.StatusServiceUnavailable, retryFull, "no memory for another request")
		return
	}
	c.sleptBefore = e.suspended(c.began)
	e.view.waitUntilKnown(r.Context())
	e.view.waitUntilSure(r.Context())
	e.suspects.waitUntilTold(r.Context())
	c.table = e.view.table.Load()
	if c.table == nil {
		c.refuse(http.StatusServiceUnavailable, retryUnready, "no configuration")
		return
	}
	c.route = c.table.Match(r.Host, r.URL.EscapedPath())
	if c.route == nil {
		c.refuse(http.StatusNotFound, 0, "no route")
		return
	}
	c.deadline = c.began.Add(c.timeAllowed())
	c.boundDelivery(c.deadline)
	// A connection, not an address: all callers may come through one balancer.
	received := e.transit.Reservation("caller "+r.RemoteAddr, membudget.CallerShare)
	defer received.Release()
	if !c.readBody(received) {
		return
	}
	defer c.releaseAnswer()
	c.service = c.route.Pick(rand.Float64())
	c.tracker = attempt.New(attempt.Request{
		Idempotent: c.route.Idempotent(), MaxAttempts: c.route.MaxAttempts, Deadline: c.deadline,
	})
	if c.route.Kind == routing.Stream {
		c.serveStream()
		return
	}
	c.servePlain()
}

func (c *call) timeAllowed() time.Duration {
	d := c.req.TimeLeft
	if t := c.route.Timeout; t > 0 && (d == 0 || t < d) {
		d = t
	}
	if d == 0 {
		d = defaultTimeout
	}
	return d
}

// refuse answers a request that has not run.
func (c *call) refuse(status int, retryAfter time.Duration, why string) {
	if retryAfter > 0 {
		retryAfter += rand.N(retrySpread)
	}
	c.own(status, retryAfter, why)
}

// own answers on behalf of the system.
func (c *call) own(status int, retryAfter time.Duration, why string) {
	platform.OwnAnswerHeader(c.w.Header(), c.req.ID, retryAfter)
	c.w.Header().Set("Content-Length", "0")
	c.w.WriteHeader(status)
	c.answered = true
	c.log("request ended by us", status, "why", why, "retry_after", retryAfter)
	c.e.metrics.ended(c.kind(), why, time.Since(c.began))
}

func (c *call) kind() string {
	if c.route == nil {
		return "none"
	}
	return c.route.Kind.String()
}

func (c *call) log(msg string, status int, more ...any) {
	args := []any{"id", c.req.ID, "status", status, "took_ms", time.Since(c.began).Milliseconds()}
	if c.route != nil {
		args = append(args, "route", c.route.Name, "config", c.table.Version())
	}
	if c.req.Program != "" {
		args = append(args, "program", c.req.Program)
	}
	if c.tracker != nil {
		args = append(args, "attempts", c.tracker.Attempts())
	}
	if c.hash != 0 {
		args = append(args, "fingerprint", hex(c.hash))
	}
	c.e.logger.Info(msg, append(args, more...)...)
}

// finish answers a request for which no answer of an upstream can be
// delivered.
func (c *call) finish(a attempt.Action, why string) {
	if c.answered {
		c.log("answer broken off", http.StatusOK, "why", why)
		c.e.metrics.ended(c.kind(), "broken_off", time.Since(c.began))
		panic(http.ErrAbortHandler)
	}
	switch a {
	case attempt.Refuse:
		c.refuse(http.StatusServiceUnavailable, retryFull, why)
	case attempt.Expire:
		c.own(http.StatusGatewayTimeout, 0, why)
	default:
		c.own(http.StatusBadGateway, 0, why)
	}
}

// pick chooses an upstream and counts the attempt. It returns nil if none is
// left.
func (c *call) pick(now time.Time) *fleet.Member {
	req := fleet.Request{
		Service: c.service, Draw: rand.Float64(), Work: c.route.Objective,
		Excluded: func(id string) bool { return c.tried[id] || c.occupied(id) },
	}
	if key := c.affinityKey(); key != "" {
		req.Affinity, _ = c.e.affinity.Get(key)
	}
	var m *fleet.Member
	c.e.withFleet(func(f *fleet.Fleet) {
		if m = f.Pick(req, now); m != nil {
			f.Started(m)
		}
	})
	if m != nil {
		c.tried[m.ID] = true
		c.sent = now
		c.enter(m.ID)
	}
	return m
}

// mayMove reports whether the silence of a member is a reason to go on at
// another one: the request may run again, the member has a free slot, so that it
// is not the time in its queue, and another member would take the request.
func (c *call) mayMove(m *fleet.Member) (move bool) {
	if !c.tracker.MayRunAgain() {
		return false
	}
	now := time.Now()
	c.e.withFleet(func(f *fleet.Fleet) {
		move = !f.Busy(m, now) && f.HasOther(c.service, func(id string) bool { return c.tried[id] }, now)
	})
	return move
}

// affinityKey names the part of a prompt that only this line of turns has.
func (c *call) affinityKey() string {
	if c.route.Kind != routing.Stream {
		return ""
	}
	if c.req.Program != "" {
		return c.req.Program
	}
	if n := len(c.req.Prefix); n > 0 {
		return c.req.Prefix[n-1].ID
	}
	return ""
}

// request returns the request for an upstream.
func (c *call) request(m *fleet.Member, lastEvent string) *upstream.Request {
	h := platform.ForwardHeader(c.r.Header, platform.Forwarded{
		Upstream: m.ID, TimeLeft: time.Until(c.deadline), Urgency: c.urgency(), LastEvent: lastEvent,
	})
	return &upstream.Request{
		Address: m.Address, MaxConnections: c.connectionLimit(), ID: c.req.ID,
		Method: c.r.Method, URI: c.r.RequestURI, Host: c.r.Host, Header: h, Body: c.body,
	}
}

// send sends the request to a member and reads the head of its answer.
func (c *call) send(ctx context.Context, m *fleet.Member, req *upstream.Request) (*upstream.Response, error) {
	resp, err := c.e.pool.Do(ctx, req)
	if err == nil && resp.Leaving {
		c.e.leaves(m, c.req.ID)
	}
	return resp, err
}

// leaves notes that an upstream says in an answer that it leaves: it gets no new
// work.
func (e *Edge) leaves(m *fleet.Member, id string) {
	first := false
	e.withFleet(func(f *fleet.Fleet) { first = f.Leaves(m, time.Now()) })
	if !first {
		return
	}
	e.pool.CloseIdle(m.Address)
	e.metrics.leaving()
	e.logger.Info("upstream leaves", "upstream", m.ID, "born", m.Born, "address", m.Address, "source", "answer", "id", id)
}

// connectionLimit shares an upstream's connections among the entries.
func (c *call) connectionLimit() int {
	limit := c.table.Service(c.service).MaxConnections
	if limit <= 0 {
		return 0
	}
	return max(limit/c.e.view.entries(), 1)
}

// urgency ranks a request at an engine; negative: not stated.
func (c *call) urgency() int {
	if c.route.Kind != routing.Stream {
		return -1
	}
	left := c.req.ProgramTime - time.Since(c.began)
	return urgencyOf(turnState{
		priority: c.route.Priority, begun: c.begun, timeLeft: left, timed: c.req.HasProgramTime,
	})
}

// ended notes the end of an attempt in the fleet and returns what follows.
func (c *call) ended(m *fleet.Member, o attempt.Outcome, resp *upstream.Response, err error) attempt.Action {
	now := time.Now()
	status, inFlight, planned := 0, 0, false
	c.e.withFleet(func(f *fleet.Fleet) {
		if resp != nil {
			status = resp.Status
			if l := resp.Load; l != nil {
				f.Reported(m, fleet.Load{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots}, now)
			}
		}
		f.Ended(m)
		switch {
		case o == attempt.Answered && status >= http.StatusInternalServerError:
			f.Failed(m, false, now) // it fails fast, so its load would attract more
		case o == attempt.Answered:
			f.Succeeded(m)
		case o == attempt.Rejected:
			if status == http.StatusMisdirectedRequest {
				f.Failed(m, true, now)
			} else {
				f.Full(m, now)
			}
		case o == attempt.NotSent:
			f.Failed(m, !errors.Is(err, upstream.ErrTooManyConnections), now)
		default:
			f.Failed(m, outOfBounds(err), now)
		}
		inFlight = m.InFlight()
		planned = m.State == fleet.Draining || m.Leaving()
	})
	c.leave(m.ID)
	c.noteCrash(m, planned, o, resp, err)
	c.e.metrics.attempt(o.String())
	action := c.tracker.Ended(o, status >= http.StatusInternalServerError, now)
	if o != attempt.Answered {
		c.e.logger.Info("attempt failed", "id", c.req.ID, "upstream", m.ID, "address", m.Address,
			"outcome", o, "status", status, "next", action, "in_flight", inFlight,
			"took_ms", now.Sub(c.began).Milliseconds(), "fingerprint", hex(c.fingerprint()), "err", err)
	}
	return action
}

// canceled notes an attempt that ended because the caller left.
func (c *call) canceled(m *fleet.Member) {
	c.e.withFleet(func(f *fleet.Fleet) { f.Ended(m) })
	c.leave(m.ID)
	c.lost(poison.Run{ID: m.ID, Born: m.Born})
	c.log("caller left", 0)
	c.e.metrics.ended(c.kind(), "caller_left", time.Since(c.began))
}

// gone reports whether the caller has left.
func (c *call) gone() bool { return c.r.Context().Err() != nil }

// failure tells how an exchange without an answer ended.
func failure(err error, stalled bool) attempt.Outcome {
	var ue *upstream.Error
	switch {
	case errors.As(err, &ue) && !ue.Sent:
		return attempt.NotSent
	case stalled && (errors.Is(err, context.DeadlineExceeded) || ue != nil && ue.Timeout()):
		return attempt.Stalled
	}
	return attempt.Broken
}

// rejected reports whether an answer leaves the request free for another
// upstream. Other client errors are the upstream's answer.
func rejected(resp *upstream.Response) bool {
	if !resp.NotRun {
		return false
	}
	switch resp.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest:
		return true
	}
	return resp.Status >= http.StatusInternalServerError
}

// promisesNotRun reports whether callers take a status as the promise that the
// request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// answer passes a complete answer of an upstream on.
func (c *call) answer(resp *upstream.Response, body [][]byte) {
	if promisesNotRun(resp.Status) && !resp.NotRun {
		c.own(http.StatusBadGateway, 0, "upstream failed after it ran the request")
		return
	}
	h := c.w.Header()
	platform.CopyAnswerHeader(h, resp.Header)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // the upstream's headers are passed on as they are
	}
	c.w.WriteHeader(resp.Status)
	c.answered = true
	for _, piece := range body {
		if _, err := c.w.Write(piece); err != nil {
			c.e.logger.Debug("answer not received", "id", c.req.ID, "err", err)
			break
		}
	}
	c.log("request answered", resp.Status)
	c.e.metrics.ended(c.kind(), "answered", time.Since(c.began))
}
