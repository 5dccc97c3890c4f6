package edge

import (
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/attempt"
	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/pkg/identity"
	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
	"github.com/yuccaspindle/yuccaspindle/pkg/membudget"
	"github.com/yuccaspindle/yuccaspindle/pkg/origin"
	"github.com/yuccaspindle/yuccaspindle/pkg/routing"
	"github.com/yuccaspindle/yuccaspindle/pkg/upstream"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	// defaultTimeout applies to requests without a deadline on routes without a
	// timeout.
	defaultTimeout = 30 * time.Second
	// Retry-After values of refusals. A caller waits at most a third of its remaining
	// time.
	retryAfterUnready = 500 * time.Millisecond // no configuration, or no majority of the storage processes
	retryAfterBusy    = 200 * time.Millisecond // no capacity at the upstreams
	retryAfterStop    = 50 * time.Millisecond  // another edge takes the request at once
	// retryJitter keeps callers that were refused together from returning together.
	retryJitter = 200 * time.Millisecond
)

// call is the state of one caller's request.
type call struct {
	e     *Edge
	w     http.ResponseWriter
	r     *http.Request
	conn  *callerConn // nil in tests that call the handler directly
	req   platform.Request
	route *routing.Route
	table *routing.Table
	// workspace is the workspace whose key the request carries; nil: none is needed.
	workspace *routing.Workspace
	// checked is the table against which the key was checked last; nil: none was needed yet.
	checked *routing.Table
	// hideKey is set once a table with workspaces applied to the request.
	hideKey    bool
	keyRefused bool // the answer is a refusal of the key
	service    string
	history    [][]byte // inputs and outputs of the earlier turns, sent before body
	body       []byte
	// responseHold accounts for the memory of a response, or a part of one, that was
	// read and not yet delivered; nil: none.
	responseHold *membudget.Reservation
	began        time.Time
	receivedAt   time.Time // when the body was complete; zero: it is not yet
	// onConn is the number of this request on its connection, from 1; writtenBefore is
	// how many bytes were written there before it.
	onConn, writtenBefore int64
	// deadline is the earlier of the caller's deadline and the end of the route's
	// timeout.
	deadline  time.Time
	deliverBy time.Time // write deadline of the caller's connection
	// suspendedBefore is how long the machine had been suspended in total when
	// deadline was last adjusted.
	suspendedBefore time.Duration
	tracker         *attempt.Tracker
	work            fleet.Work   // of the current attempt
	parts           []fleet.Part // leading parts of the prompt; nil: none, or not computed yet
	placed          placement    // what was expected of the current attempt
	writtenAt       time.Time    // when its request was written; zero: it was not
	triedUpstreams  map[string]bool
	binding         origin.Binding   // of the stream to the version that began it
	headSent        bool             // the response header was sent
	programStarted  bool             // an earlier turn of the program was served here, or the request names one
	sentAt          time.Time        // start of the current attempt
	given, left     time.Duration    // that the upstream was given, and that was left when the request was written; 0: not written
	reservation     ledger.Receipt   // of the tokens of a turn
	passedOn        bool             // the turn was passed on to an upstream, or is about to be
	budgetUse       ledger.BudgetUse // by the other turns of the program, when the tokens were reserved
	id              identity.Request // unknown: not computed yet
	isolated        bool             // the current attempt must not share its upstream with a suspected request
	// limited is set if the last placement failed because of rate limits; limitWait is
	// the time after which the caller should retry.
	limited   bool
	limitWait time.Duration
	inLine    lineState
}

// serve handles one request of a caller.
func (e *Edge) serve(w http.ResponseWriter, r *http.Request) {
	c := &call{e: e, w: w, r: r, req: platform.DecodeRequest(r.Header), began: time.Now(), triedUpstreams: make(map[string]bool)}
	defer c.recoverPanic()
	c.beginOnConn()
	e.inFlight.add(c)
	defer e.inFlight.remove(c)
	c.setDeliveryDeadline(c.began.Add(defaultTimeout))
	if e.transit.UnderPressure() {
		c.refuse(http.StatusServiceUnavailable, retryAfterBusy, "no memory for another request")
		return
	}
	c.suspendedBefore = e.checkSuspension(c.began)
	e.view.waitUntilLoaded(r.Context())
	e.view.waitUntilRefreshed(r.Context())
	e.suspects.waitForExchange(r.Context())
	c.table = e.view.table.Load()
	if c.table == nil {
		c.refuse(http.StatusServiceUnavailable, retryAfterUnready, "no configuration")
		return
	}
	c.route = c.table.Match(r.Host, r.URL.EscapedPath())
	if c.route == nil {
		c.refuse(http.StatusNotFound, 0, "no route")
		return
	}
	if c.refuseKey(c.checkKey(c.table)) {
		return
	}
	c.deadline = c.began.Add(c.timeout())
	c.setDeliveryDeadline(c.deadline)
	if !c.admitQuota() {
		return
	}
	// Memory is accounted for by connection, not by address: all callers may come
	// through one load balancer.
	bodyHold := e.transit.Reservation("caller "+r.RemoteAddr, membudget.CallerShare)
	defer bodyHold.Release()
	if !c.readBody(bodyHold) {
		return
	}
	c.receivedAt = time.Now()
	defer c.releaseResponse()
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

// timeout returns the time that the request has: until the caller's deadline, which may
// have passed, and at most the timeout of its route.
func (c *call) timeout() time.Duration {
	d := c.req.TimeLeft
	if !c.req.HasTimeLeft {
		d = defaultTimeout
	}
	if t := c.route.Timeout; t > 0 && (!c.req.HasTimeLeft || t < d) {
		d = t
	}
	return d
}

// refuse answers a request that has not run.
func (c *call) refuse(status int, retryAfter time.Duration, why string) {
	if retryAfter > 0 {
		retryAfter += rand.N(retryJitter)
	}
	c.respond(status, retryAfter, why)
}

// respond sends a response of the edge itself, without a body.
func (c *call) respond(status int, retryAfter time.Duration, why string) {
	platform.SetLocalResponseHeader(c.w.Header(), c.req.ID, retryAfter)
	c.w.Header().Set("Content-Length", "0")
	c.prepareAnswer()
	c.w.WriteHeader(status)
	c.headSent = true
	c.log("request ended by us", status, "why", why, "retry_after", retryAfter)
	c.e.metrics.recordEnd(c.kind(), why, time.Since(c.began))
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
	if c.workspace != nil {
		args = append(args, "workspace", c.workspace.Name)
	}
	if c.keyRefused {
		args = append(args, "key", c.e.keyDigests.text(c.req.Key))
	}
	if c.req.Program != "" {
		args = append(args, "program", c.req.Program)
	}
	if c.req.ParentTurnID != "" {
		args = append(args, "parent", c.req.ParentTurnID)
	}
	if c.req.LastEventID != "" {
		args = append(args, "resumes", c.req.ResumedID, "after_event", c.req.LastEventID)
	}
	if c.tracker != nil {
		args = append(args, "attempts", c.tracker.Attempts())
	}
	if r := c.reservation; r.Asked > 0 {
		args = append(args, "reserved_by", strings.Join(r.Acknowledged, ","), "reserved_of", r.Asked,
			"budget", c.req.TokenBudget, "most", c.req.MaxTokens, "spent", c.budgetUse.Spent, "open", c.budgetUse.Open, "leased", c.budgetUse.Leased, "open_turns", c.budgetUse.OpenTurns)
	}
	if c.id.Known() {
		args = append(args, "fingerprint", c.id.Content, "caller", c.id.Caller)
	}
	c.e.logger.Info(msg, append(args, more...)...)
}

// fail ends a request for which no upstream response can be delivered.
func (c *call) fail(a attempt.Action, why string) {
	if c.headSent {
		c.log("answer broken off", http.StatusOK, append([]any{"why", why}, c.connAttrs()...)...)
		c.e.metrics.recordEnd(c.kind(), "broken_off", time.Since(c.began))
		panic(http.ErrAbortHandler)
	}
	switch a {
	case attempt.Refuse:
		c.refuse(http.StatusServiceUnavailable, c.retryAfter(), why)
	case attempt.Expire:
		c.recordTime()
		c.respond(http.StatusGatewayTimeout, 0, why)
	default:
		c.respond(http.StatusBadGateway, 0, why)
	}
}

// recoverPanic ends the answer on its connection. It answers a request whose handling failed
// because of a fault of the edge: net/http would close the connection without an answer.
// Streams that have begun break off.
func (c *call) recoverPanic() {
	v := recover()
	if v == nil {
		c.endOnConn()
		return
	}
	if v == http.ErrAbortHandler {
		panic(v)
	}
	c.e.logger.Error("request failed because of a fault of the edge", "id", c.req.ID, "panic", v, "stack", string(debug.Stack()))
	c.e.metrics.handlerPanic()
	if c.headSent {
		panic(http.ErrAbortHandler)
	}
	c.respond(http.StatusBadGateway, 0, "fault of the edge")
	c.endOnConn()
}

// callerGone reports whether the caller has disconnected.
func (c *call) callerGone() bool { return c.r.Context().Err() != nil }

// deliver sends a complete upstream response to the caller.
func (c *call) deliver(resp *upstream.Response, body [][]byte) {
	if promisesNotRun(resp.Status) && !resp.NotRun {
		c.respond(http.StatusBadGateway, 0, "upstream failed after it ran the request")
		return
	}
	h := c.w.Header()
	platform.CopyResponseHeader(h, resp.Header)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from adding one: the upstream's headers are passed on unchanged
	}
	c.prepareAnswer()
	c.w.WriteHeader(resp.Status)
	c.headSent = true
	for _, piece := range body {
		if _, err := c.w.Write(piece); err != nil {
			c.log("response not delivered", resp.Status, append([]any{"err", err}, c.connAttrs()...)...)
			break
		}
	}
	if resp.Status < http.StatusInternalServerError && !resp.NotRun {
		c.recordTime()
	}
	c.log("request answered", resp.Status)
	c.e.metrics.recordEnd(c.kind(), "answered", time.Since(c.began))
}
