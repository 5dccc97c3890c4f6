package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/httpcheck"
)

// Ends of a stream that are no whole answer.
var (
	errCut     = errors.New("the stream ended before the last chunk")
	errForeign = errors.New("the stream belongs to another request")
	errSilent  = errors.New("the connection is silent and the engine does not know the request")
)

// drainTime bounds the reading of the end of a response after its last chunk.
const drainTime = time.Second

// cancelPauses are the pauses between the cancels of a request that the engine
// has not begun to answer. Together they cover controlTimeout, within which an
// engine admits a request that it has received.
var cancelPauses = []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond}

// item is what a reader reports: a chunk, or its end.
type item struct {
	r    *reader
	pos  int64 // tokens before the chunk
	c    *chunk
	data []byte // of the event
	err  error  // the reader has ended
}

// reader reads one HTTP response of a call.
type reader struct {
	resumed bool
	cancel  context.CancelFunc
}

// modelCall follows one call to an engine over one or more connections.
type modelCall struct {
	s       *Sidecar
	c       *call
	items   chan item
	readers []*reader // oldest first
	last    *reader   // read the last chunk
	asm     assembly
	limit   int64 // most tokens; 0: none
	// answered is set when a response has begun: the engine has admitted the
	// request.
	answered atomic.Bool
	cutOnce  bool // a cut stream was resumed
	sent     bool // the first chunk went to the owner
}

// runModel passes one call to an engine. The engine always streams, so that
// tokens can be metered and progress be seen.
func (s *Sidecar) runModel(ctx context.Context, c *call) outcome {
	body, limit, err := engineRequest(c.d)
	if err != nil {
		return s.fail(c, core.RanNo, "check", err)
	}
	m := &modelCall{s: s, c: c, items: make(chan item, 16), limit: limit}
	defer m.stop()
	m.read(ctx, 0, false, func(rctx context.Context) (*http.Response, error) {
		req, err := s.up.post(rctx, "/v1/chat/completions", body, func() error { return s.gate(ctx, c) })
		if err != nil {
			return nil, err
		}
		return s.up.pooled.Do(req)
	})
	o := m.follow(ctx)
	if o.failed != nil && c.wasPassed() && !o.failed.Crashed {
		s.cancelUpstream(c.d.Attempt, m.answered.Load())
	}
	return o
}

// stop ends the readers. The one that saw the last chunk gets the time to read
// the end of the response, so that its connection can be used again.
func (m *modelCall) stop() {
	for _, r := range m.readers {
		if r == m.last {
			time.AfterFunc(drainTime, r.cancel)
		} else {
			r.cancel()
		}
	}
}

// read starts a reader whose first chunk is the token at pos. It ends with
// stop, or with drop.
func (m *modelCall) read(ctx context.Context, pos int64, resumed bool, open func(context.Context) (*http.Response, error)) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r := &reader{resumed: resumed, cancel: cancel}
	m.readers = append(m.readers, r)
	report := func(it item) bool {
		it.r = r
		select {
		case m.items <- it:
			return true
		case <-ctx.Done():
			return false
		}
	}
	go func() {
		defer cancel()
		res, err := open(ctx)
		if err != nil {
			report(item{err: err})
			return
		}
		defer res.Body.Close()
		if res.StatusCode < http.StatusOK {
			report(item{err: errSwitch})
			return
		}
		if res.StatusCode != http.StatusOK {
			b, _ := io.ReadAll(io.LimitReader(res.Body, maxEvent))
			report(item{err: &statusError{status: res.StatusCode, body: b}})
			return
		}
		m.answered.Store(true)
		events := newEventReader(res.Body)
		for {
			data, err := events.next()
			if err == nil && string(data) == string(doneMark) {
				continue
			}
			var c *chunk
			if err == nil {
				c, err = parseChunk(data)
			}
			if err == nil && c.ID != m.c.d.Attempt {
				m.s.met.foreign.Inc()
				err = errForeign
			}
			if err == io.EOF {
				err = errCut // a whole stream is left at its last chunk
			}
			if err != nil {
				report(item{err: err})
				return
			}
			at := pos
			if c.generated() {
				pos++
			}
			last := c.finish() != ""
			if !report(item{pos: at, c: c, data: append([]byte(nil), data...)}) {
				return
			}
			if last {
				// Only the end mark may follow.
				for range 2 {
					if _, err := events.next(); err != nil {
						return
					}
				}
				return
			}
		}
	}()
}

// resume reads the rest of the answer on a new connection.
func (m *modelCall) resume(ctx context.Context) {
	from := m.asm.tokens
	m.s.met.resumes.Inc()
	m.read(ctx, from, true, func(ctx context.Context) (*http.Response, error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet,
			fmt.Sprintf("%s/v1/resume/%s?from=%d", m.s.up.base, escape(m.c.d.Attempt), from), nil)
		if err != nil {
			return nil, err
		}
		return m.s.up.fresh.Do(req)
	})
}

// drop ends a reader and reports whether it was one of the call's.
func (m *modelCall) drop(r *reader) bool {
	for i, have := range m.readers {
		if have == r {
			r.cancel()
			m.readers = append(m.readers[:i], m.readers[i+1:]...)
			return true
		}
	}
	return false
}

// ran is what is known about the execution after the request was passed on.
func (m *modelCall) ran() core.Ran {
	if m.asm.tokens > 0 {
		return core.RanYes
	}
	return core.RanUnknown
}

// follow merges the readers until the answer is whole or cannot be completed.
func (m *modelCall) follow(ctx context.Context) outcome {
	stall := time.NewTimer(m.s.cfg.StallTimeout)
	defer stall.Stop()
	for {
		select {
		case <-ctx.Done():
			cause := context.Cause(ctx)
			return m.s.fail(m.c, m.ran(), stepOf(cause), cause)
		case it := <-m.items:
			if it.err != nil {
				if !m.drop(it.r) {
					continue
				}
				if o, over := m.ended(ctx, it); over {
					return o
				}
				continue
			}
			if it.pos > m.asm.tokens || it.pos < m.asm.tokens && it.c.finish() == "" {
				continue // already read on another connection
			}
			stall.Reset(m.s.cfg.StallTimeout)
			if o, over := m.take(it); over {
				return o
			}
		case <-stall.C:
			stall.Reset(m.s.cfg.StallTimeout)
			m.checkStalled(ctx)
		}
	}
}

// checkStalled continues on a new connection, in case the present one is
// silent. A request that waits or computes just gets another reader.
func (m *modelCall) checkStalled(ctx context.Context) {
	if !m.c.wasPassed() || m.s.cfg.Upstream.NoResume {
		return
	}
	m.s.met.stalls.Inc()
	for len(m.readers) > 1 {
		m.drop(m.readers[0])
	}
	m.resume(ctx)
}

// ended handles the end of a reader without a whole answer.
func (m *modelCall) ended(ctx context.Context, it item) (outcome, bool) {
	s, c := m.s, m.c
	if httpcheck.IsInvalid(it.err) {
		return s.fail(c, core.RanUnknown, "engine", it.err), true
	}
	if !c.wasPassed() {
		return s.fail(c, core.RanNo, "connect", it.err), true
	}
	if cause := context.Cause(ctx); cause != nil {
		return s.fail(c, m.ran(), stepOf(cause), cause), true
	}
	var status *statusError
	if errors.As(it.err, &status) {
		if it.r.resumed {
			return s.fail(c, m.ran(), "resume", errSilent), true
		}
		return m.refused(status), true
	}
	if len(m.readers) > 0 {
		return outcome{}, false
	}
	// A look at the engine tells a crash from a lost connection.
	err := s.verdict(ctx)
	if cause := s.causeAfterVerdict(ctx, c); cause != nil {
		return s.fail(c, m.ran(), stepOf(cause), cause), true
	}
	if err != nil || m.cutOnce || s.cfg.Upstream.NoResume {
		return s.fail(c, m.ran(), "stream", it.err), true
	}
	m.cutOnce = true
	m.resume(ctx)
	return outcome{}, false
}

// refused classifies an HTTP error of the engine.
func (m *modelCall) refused(e *statusError) outcome {
	switch e.status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return outcome{done: &peerv1.Done{Body: e.body, Status: int32(e.status)}}
	case http.StatusNotFound, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return m.s.fail(m.c, core.RanNo, "engine", e)
	default:
		return m.s.fail(m.c, core.RanUnknown, "engine", e)
	}
}

// take adds a chunk of the answer. It returns true when the answer is over.
func (m *modelCall) take(it item) (outcome, bool) {
	s, c := m.s, m.c
	reason := it.c.finish()
	generated := it.c.generated() && it.pos == m.asm.tokens
	if generated && m.limit > 0 && m.asm.tokens >= m.limit {
		s.met.overLimit.Inc()
		s.cancelUpstream(c.d.Attempt, true)
		return m.finished("length"), true
	}
	if generated || it.c.Usage != nil {
		if !generated {
			it.c.Choices = nil // the text was taken from another connection
		}
		m.asm.add(it.c)
	}
	if len(m.asm.content) > maxAnswer {
		return s.fail(c, core.RanYes, "stream", errors.Errorf("answer exceeds %d bytes", maxAnswer)), true
	}
	if generated {
		s.met.tokens.Inc()
		d := &peerv1.Data{Chunk: it.data, Tokens: 1}
		if reason != "" {
			d.Chunk = withoutFinish(it.data)
		}
		if !m.sent {
			m.sent = true
			d.CachedTokens = m.asm.usage.CachedTokens
			s.met.firstToken.UpdateDuration(c.arrived)
		}
		if c.d.Stream || d.CachedTokens > 0 || m.asm.tokens == 1 {
			if !c.d.Stream {
				d.Chunk = nil
			}
			if err := c.send(d); err != nil {
				return s.fail(c, core.RanYes, "send", err), true
			}
		}
	}
	m.last = it.r
	switch reason {
	case "":
		m.last = nil
		return outcome{}, false
	case "cancelled", "canceled", "abort", "error":
		return s.fail(c, m.ran(), "stream", fmt.Errorf("%w: %s", errCut, reason)), true
	}
	return m.finished(reason), true
}

// finished builds the whole answer.
func (m *modelCall) finished(reason string) outcome {
	u := &m.asm.usage
	if u.CompletionTokens != m.asm.tokens && (reason == "length" || u.CompletionTokens == 0) {
		u.CompletionTokens = m.asm.tokens
	}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	body, err := m.asm.whole(m.c.d.Attempt, reason)
	if err != nil {
		return m.s.fail(m.c, core.RanYes, "stream", err)
	}
	return outcome{done: &peerv1.Done{
		Body: body, Status: http.StatusOK, PromptTokens: u.PromptTokens, CachedTokens: u.CachedTokens,
		OutputTokens: u.CompletionTokens, FinishReason: reason,
	}}
}

// withoutFinish removes the finish reason from a chunk that also carries a
// token, because the owner ends the answer only when it is durable.
func withoutFinish(data []byte) []byte {
	var m map[string]any
	if json.Unmarshal(data, &m) != nil {
		return data
	}
	if list, ok := m["choices"].([]any); ok && len(list) > 0 {
		if choice, ok := list[0].(map[string]any); ok {
			choice["finish_reason"] = nil
		}
	}
	b, err := json.Marshal(m)
	if err != nil {
		return data
	}
	return b
}

// cancelUpstream tells the engine to stop a request, without waiting. A request
// that was not admitted yet may be overtaken by its cancel, which an engine that
// does not know the request ignores; the cancel is then repeated.
func (s *Sidecar) cancelUpstream(attempt string, admitted bool) {
	pauses := cancelPauses
	if admitted {
		pauses = nil
	}
	s.background(func() {
		s.sendCancel(attempt)
		for _, pause := range pauses {
			select {
			case <-time.After(pause):
			case <-s.ctx.Done():
				return
			}
			s.sendCancel(attempt)
		}
	})
}

func (s *Sidecar) sendCancel(attempt string) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	if err := s.up.doJSON(ctx, s.up.fresh, http.MethodPost, "/v1/cancel/"+escape(attempt), nil, nil); err != nil {
		s.log.Warn("engine request was not canceled", "step", "cancel", "peer", s.cfg.Upstream.URL, "attempt", attempt, "err", err)
	}
}
