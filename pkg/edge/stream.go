package edge

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/attempt"
	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/pkg/membudget"
	"github.com/yuccaspindle/yuccaspindle/pkg/upstream"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	// stallObjectives is the silence, in objectives, after which a stream that
	// has not begun goes to another upstream.
	stallObjectives = 2
	// stallGaps is the silence between events, in the route's longest pause.
	stallGaps   = 3
	minStallGap = 300 * time.Millisecond
)

var (
	errEventOrder = errors.New("events are missing or out of order")
	errCallerLeft = errors.New("the caller closed its connection")
)

// stream is the state of one answer in events, over all its attempts.
type stream struct {
	c      *call
	turn   *turn
	lastID string
	events int
}

// serveStream serves a request whose answer is a series of events.
func (c *call) serveStream() {
	t, ok := c.beginTurn()
	if !ok {
		return
	}
	s := &stream{c: c, turn: t}
	defer t.settle()
	c.begun = c.req.ParentTurn != "" || c.req.Program != "" && c.e.affinity.Contains(c.req.Program)
	for {
		if c.quarantined() {
			return
		}
		m, why := c.place()
		if m == nil {
			c.finish(c.tracker.Unplaced(), why)
			return
		}
		if key := c.affinityKey(); key != "" {
			c.e.affinity.Add(key, m.ID)
		}
		resp, body, o, err := s.exchange(m)
		if c.gone() || errors.Is(err, errCallerLeft) {
			c.canceled(m)
			return
		}
		switch a := c.ended(m, o, resp, err); a {
		case attempt.Deliver:
			if !c.answered {
				c.answer(resp, body)
				return
			}
			t.commit()
			c.log("stream answered", http.StatusOK, "upstream", m.ID, "events", s.events,
				"begin_ms", t.beginTook.Milliseconds(), "commit_ms", t.commitTook.Milliseconds())
			c.e.metrics.ended(c.kind(), "answered", time.Since(c.began))
			return
		case attempt.Retry:
		default:
			c.finish(a, o.String())
			return
		}
	}
}

// exchange makes one attempt and passes its events on. A body is returned for
// an answer that is no stream.
func (s *stream) exchange(m *fleet.Member) (*upstream.Response, [][]byte, attempt.Outcome, error) {
	c := s.c
	stalls := c.mayMove(m)
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	req := c.request(m, s.lastID)
	if stalls {
		req.HeadDeadline = earlier(c.deadline, time.Now().Add(stallObjectives*c.route.Objective))
	}
	resp, err := c.send(ctx, m, req)
	if err != nil {
		return nil, nil, failure(err, stalls), err
	}
	defer resp.Finish()
	if rejected(resp) {
		discard(resp)
		return resp, nil, attempt.Rejected, nil
	}
	if resp.Status != http.StatusOK {
		body, err := c.readAnswer(resp, m, 0)
		if err != nil {
			return resp, nil, failure(err, stalls), err
		}
		if c.answered { // the stream can not end with another status
			return resp, nil, attempt.Broken, errors.Errorf("status %d for the rest of a stream", resp.Status)
		}
		return resp, body, attempt.Answered, nil
	}
	if !resp.Signed {
		return resp, nil, attempt.Broken, errUnsigned
	}
	if err := s.pass(resp, stalls, c.holdFor(m)); err != nil {
		return resp, nil, failure(err, stalls), err
	}
	return resp, nil, attempt.Answered, nil
}

// pass hands the events of an answer to the caller as they come. Only data is
// progress: comments and empty events do not keep a stalled stream alive.
func (s *stream) pass(resp *upstream.Response, stalls bool, hold *membudget.Reservation) error {
	c := s.c
	progressBy := time.Now().Add(stallObjectives * c.route.Objective)
	events := newEventReader(resp, hold)
	defer events.close()
	for {
		by := c.deadline
		if stalls {
			by = earlier(by, progressBy)
		}
		resp.SetReadDeadline(by)
		ev, err := events.next()
		if err == io.EOF {
			return s.finish(resp, ev)
		}
		if err != nil {
			return err
		}
		if err := s.event(resp, ev); err != nil {
			return err
		}
		if ev.has {
			progressBy = time.Now().Add(max(stallGaps*c.route.MaxEventGap, minStallGap))
		}
	}
}

// finish ends a stream whose answer ended as its framing says.
func (s *stream) finish(resp *upstream.Response, rest event) error {
	if len(rest.raw) > 0 {
		return &upstream.Error{Step: "read body", Addr: "upstream", Sent: true, Err: io.ErrUnexpectedEOF}
	}
	if !s.c.answered {
		s.head(resp)
	}
	return nil
}

// head sends the head of the first upstream's answer.
func (s *stream) head(resp *upstream.Response) {
	c := s.c
	platform.CopyAnswerHeader(c.w.Header(), resp.Header)
	c.w.Header().Del("Content-Length")
	c.w.WriteHeader(resp.Status)
	c.answered = true
	c.e.metrics.firstEvent(time.Since(c.began))
}

// event passes one event on. Events that the caller already has, from an
// upstream that went further back, are left out.
func (s *stream) event(resp *upstream.Response, ev event) error {
	c := s.c
	follows, err := inOrder(s.lastID, ev.id)
	if err != nil || !follows {
		return err
	}
	if !c.answered {
		s.head(resp)
	}
	if _, err := c.w.Write(ev.raw); err != nil {
		return errors.Wrap(errCallerLeft, err.Error())
	}
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		return errors.Wrap(errCallerLeft, err.Error())
	}
	if ev.id != "" {
		s.lastID = ev.id
	}
	if !ev.has {
		return nil
	}
	s.events++
	return s.turn.event(ev)
}

// inOrder reports whether an event follows the last one. Ids count up by one;
// ids of another form are passed as they come.
func inOrder(last, id string) (bool, error) {
	a, errA := strconv.ParseUint(last, 10, 64)
	b, errB := strconv.ParseUint(id, 10, 64)
	if errA != nil || errB != nil {
		return true, nil
	}
	if b <= a {
		return false, nil
	}
	if b > a+1 {
		return false, errEventOrder
	}
	return true, nil
}
