package edge

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/attempt"
	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/pkg/membudget"
	"github.com/yuccaspindle/yuccaspindle/pkg/upstream"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	// firstEventStallFactor times the route's latency objective is the silence after
	// which a stream that has not begun moves to another upstream.
	firstEventStallFactor = 2
	// gapStallFactor times the route's maximum gap between events, but at least
	// minGapStall, is the silence after which a stream that has begun moves to
	// another upstream.
	gapStallFactor = 3
	minGapStall    = 300 * time.Millisecond
)

// whyNotDurable is the reason for breaking off a stream whose turn is not stored.
const whyNotDurable = "turn not durable"

// whyBudgetSpent is the reason for refusing a turn that exceeds the budget of its program.
const whyBudgetSpent = "budget spent"

// whyUnconfirmed is the reason for breaking off a stream whose tokens are not accounted for.
const whyUnconfirmed = "passing on not recorded"

var (
	errEventOrder = errors.New("events are missing or out of order")
	errCallerLeft = errors.New("the caller closed its connection")
	errNoEvents   = errors.New("the stream ends without an event")
)

// stream is the state of one event stream over all its attempts.
type stream struct {
	c      *call
	turn   *turn
	lastID string // of the last event that the caller has, or is about to get; empty: it has none
	events int
	// recorder delivers the events of a turn that may be taken up; nil: they are delivered
	// at once.
	recorder *eventRecorder
	resp     *upstream.Response // of the current attempt
	// continues is set if the current attempt continues after a numbered event.
	continues bool
	// runLastID is the number of the last event of the current attempt; 0: none.
	runLastID uint64
	// unnumbered is set once an event without a number was delivered: no other upstream can
	// continue the stream after it.
	unnumbered bool
	// stalled is the upstream that the stream left because of a silence; empty: none.
	stalled string
}

// serveStream serves a request whose response is an event stream.
func (c *call) serveStream() {
	if c.endAtStop() {
		return // before it reserves tokens
	}
	c.programStarted = c.continuesProgram()
	t, ok := c.beginTurn()
	if !ok {
		return
	}
	s := &stream{c: c, turn: t}
	if c.recordsEvents() {
		s.recorder = newEventRecorder(c, s.deliver)
	}
	if c.route.Resumable {
		s.lastID = c.req.LastEventID
	}
	defer t.settle()
	defer c.leaveLine()
	c.programStarted = c.continuesProgram() // the reservation tells of other edges' turns
	for {
		if c.endBeforeAttempt() || c.awaitRoom() || !t.ensureLease() {
			return
		}
		m, why := s.place()
		if m == nil {
			c.fail(c.tracker.NoUpstreamLeft(), why)
			return
		}
		if key := c.affinityKey(); key != "" {
			c.e.affinity.Add(key, m.ID)
		}
		resp, body, o, err := s.runAttempt(m)
		if c.endUnwritten(m, err) {
			return
		}
		if errors.Is(err, errCallerLeft) || o != attempt.Answered && c.callerGone() {
			c.cancelAttempt(m)
			return
		}
		if errors.Is(err, errUnconfirmed) {
			c.releaseAttempt(m)
			c.fail(attempt.GiveUp, whyUnconfirmed)
			return
		}
		if o == attempt.Stalled {
			s.stalled = m.ID
		}
		switch a := c.recordEnd(m, o, resp, err); a {
		case attempt.Deliver:
			if !c.headSent {
				c.deliver(resp, body)
				return
			}
			s.end(m)
			return
		case attempt.Retry:
			if s.unnumbered {
				c.fail(attempt.GiveUp, "stream without ids can't be continued")
				return
			}
		default:
			c.fail(a, o.String())
			return
		}
	}
}

// end ends the response to a complete stream once its turn is durable, and breaks it off
// if the turn cannot be made durable.
func (s *stream) end(m *fleet.Member) {
	c, t := s.c, s.turn
	switch {
	case t.commit():
	case c.callerGone():
		c.abandon()
	default:
		c.fail(attempt.GiveUp, whyNotDurable)
	}
	c.recordTime()
	c.log("stream answered", http.StatusOK, "upstream", m.ID, "version", m.SoftwareVersion, "events", s.events,
		"begin_ms", t.beginDuration.Milliseconds(), "commit_ms", t.commitDuration.Milliseconds(),
		"durable", string(t.durability), "stored_by", strings.Join(t.storedBy, ","), "placed_by", c.placed.by(),
		"expected_ms", c.placed.expected.Milliseconds(), "read_tokens", c.placed.read)
	c.e.metrics.recordEnd(c.kind(), "answered", time.Since(c.began))
}

// place chooses an upstream of the version that the stream is bound to. While the stream
// has not begun, it may move to another version if none of its own is left.
func (s *stream) place() (*fleet.Member, string) {
	c := s.c
	if c.keepsOrigin() && !c.binding.Bound() && !c.moveOrigin() {
		return nil, whyNoUpstream
	}
	m, why := c.place()
	if m == nil && c.moveOrigin() {
		return c.place()
	}
	if m == nil && c.headSent && s.stalled != "" {
		// All others refuse. The upstream was only silent: a stream that has begun waits
		// for it rather than break off.
		c.e.logger.Info("stream returns to a silent upstream", "id", c.req.ID, "upstream", s.stalled)
		delete(c.triedUpstreams, s.stalled)
		s.stalled = ""
		return c.place()
	}
	return m, why
}

// runAttempt makes one attempt and relays its events. It returns a body if the
// response is not an event stream but can be delivered.
func (s *stream) runAttempt(m *fleet.Member) (*upstream.Response, [][]byte, attempt.Outcome, error) {
	c := s.c
	detectStall := c.canFailOver(m)
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	req := c.request(m, s.lastID)
	req.BeforeWrite = s.turn.passOn
	if detectStall {
		req.HeadDeadline = earlier(c.deadline, time.Now().Add(firstEventStallFactor*c.route.LatencyObjective))
	}
	resp, err := c.send(ctx, m, req)
	if err != nil {
		return nil, nil, classifyError(err, detectStall), err
	}
	defer resp.Finish()
	if isRejection(resp) {
		discard(resp)
		return resp, nil, attempt.Rejected, nil
	}
	if resp.Status != http.StatusOK || !resp.Stream {
		return s.plainResponse(resp, m, detectStall)
	}
	if !resp.Signed {
		return resp, nil, attempt.Broken, errUnsigned
	}
	if err := s.relay(resp, detectStall, c.holdResponse(m)); err != nil {
		return resp, nil, classifyError(err, detectStall), err
	}
	return resp, nil, attempt.Answered, nil
}

// plainResponse reads a response that is no event stream, such as an error. It can only be
// delivered whole, as the first response to a request. Where a success would count as a
// part of a stream or as a turn it is none.
func (s *stream) plainResponse(resp *upstream.Response, m *fleet.Member, detectStall bool) (*upstream.Response, [][]byte, attempt.Outcome, error) {
	c := s.c
	success := resp.Status < http.StatusMultipleChoices
	switch {
	case c.headSent, success && (c.takesUp() || c.route.KeepsHistory):
		discard(resp)
		return resp, nil, attempt.Broken, errors.Errorf("status %d with type %q where an event stream is expected", resp.Status, resp.Header.Get("Content-Type"))
	case success && !resp.Signed:
		return resp, nil, attempt.Broken, errUnsigned
	}
	body, err := c.readResponse(resp, m, 0)
	if err != nil {
		return resp, nil, classifyError(err, detectStall), err
	}
	return resp, body, attempt.Answered, nil
}

// relay sends the events of a response to the caller as they arrive.
func (s *stream) relay(resp *upstream.Response, detectStall bool, hold *membudget.Reservation) error {
	events := newEventReader(resp, hold)
	defer events.close()
	defer s.awaitDelivery() // also if the reading of events panics
	s.resp = resp
	rest, err := s.relayEvents(events, resp, detectStall)
	if derr := s.awaitDelivery(); derr != nil {
		return derr
	}
	if err == io.EOF {
		return s.endStream(resp, rest)
	}
	return err
}

// awaitDelivery waits until all events that were received are delivered.
func (s *stream) awaitDelivery() error {
	if s.recorder == nil {
		return nil
	}
	return s.recorder.drain()
}

// relayEvents relays events until the reader returns an error, which is io.EOF with the bytes
// after the last event at the end of the response. Only data counts as progress: comments and
// empty events do not keep a stalled stream alive.
func (s *stream) relayEvents(events *eventReader, resp *upstream.Response, detectStall bool) (rest event, err error) {
	c := s.c
	_, err = strconv.ParseUint(s.lastID, 10, 64)
	s.continues, s.runLastID = err == nil, 0
	progressBy := time.Now().Add(firstEventStallFactor * c.route.LatencyObjective)
	for {
		by := c.deadline
		if detectStall && !s.unnumbered {
			by = earlier(by, progressBy)
		}
		resp.SetReadDeadline(by)
		ev, err := events.next()
		if err != nil {
			return ev, err
		}
		if err := s.event(ev); err != nil {
			return event{}, err
		}
		if ev.hasData {
			progressBy = time.Now().Add(max(gapStallFactor*c.route.MaxEventGap, minGapStall))
		}
	}
}

// endStream ends a stream whose response ended as its framing announced.
func (s *stream) endStream(resp *upstream.Response, rest event) error {
	if len(rest.raw) > 0 {
		return &upstream.Error{Step: "read body", Addr: "upstream", Sent: true, Err: io.ErrUnexpectedEOF}
	}
	// A continuation may have no event: its caller may lack only the end of the stream.
	if s.events == 0 && !s.c.takesUp() {
		return errNoEvents
	}
	if !s.c.headSent {
		s.writeHead(resp)
	}
	return nil
}

// writeHead sends the header of the first upstream's response.
func (s *stream) writeHead(resp *upstream.Response) {
	c := s.c
	platform.CopyResponseHeader(c.w.Header(), resp.Header)
	c.w.Header().Del("Content-Length")
	c.prepareAnswer()
	c.w.WriteHeader(resp.Status)
	c.headSent = true
	c.binding.Begin()
	c.e.metrics.firstEvent(time.Since(c.began))
	c.e.startup.end(stepFirstEvent)
}

// event relays one event. It skips events that the caller already has, from an
// upstream that resumed at an earlier one.
func (s *stream) event(ev event) error {
	if ev.malformed {
		return errMalformedEvent
	}
	if ev.hasData {
		s.c.recordEvent()
	}
	follows, err := s.follows(ev)
	if err != nil || !follows {
		return err
	}
	if ev.id != "" {
		s.lastID = ev.id
	}
	if ev.hasData {
		_, err := strconv.ParseUint(ev.id, 10, 64)
		s.unnumbered = s.unnumbered || err != nil
	}
	if s.recorder != nil {
		return s.recorder.add(ev)
	}
	return s.deliver(ev)
}

// deliver writes an event to the caller.
func (s *stream) deliver(ev event) error {
	c := s.c
	if err := s.turn.awaitConfirmation(); err != nil {
		return err
	}
	if !c.headSent {
		s.writeHead(s.resp)
	}
	if _, err := c.w.Write(ev.raw); err != nil {
		return errors.Wrap(errCallerLeft, err.Error())
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		return errors.Wrap(errCallerLeft, err.Error())
	}
	if !ev.hasData {
		return nil
	}
	s.events++
	return s.turn.event(ev)
}

// follows reports whether an event is to be delivered: it follows the last one that the
// caller has. IDs increase by one. Events without a number are delivered in the order of
// arrival, but not in a continuation: they may be any.
func (s *stream) follows(ev event) (bool, error) {
	id, err := strconv.ParseUint(ev.id, 10, 64)
	if err != nil {
		if ev.hasData && s.continues {
			return false, errEventOrder
		}
		return true, nil
	}
	if ev.hasData {
		if s.runLastID > 0 && id <= s.runLastID {
			return false, errEventOrder
		}
		s.runLastID = id
	}
	last, err := strconv.ParseUint(s.lastID, 10, 64)
	switch {
	case err != nil:
		return true, nil
	case id <= last:
		return false, nil
	case id > last+1:
		return false, errEventOrder
	}
	return true, nil
}
