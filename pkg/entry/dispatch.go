package entry

import (
	"context"
	stderrors "errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/frontend"
	"github.com/yuccaspindle/yuccaspindle/pkg/httpcheck"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

// attemptTable holds the cancel functions of the running attempts.
type attemptTable struct {
	mu      sync.Mutex
	running map[core.AttemptID]context.CancelFunc
}

func newAttemptTable() *attemptTable {
	return &attemptTable{running: make(map[core.AttemptID]context.CancelFunc)}
}

func (t *attemptTable) add(id core.AttemptID, cancel context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running[id] = cancel
}

func (t *attemptTable) remove(id core.AttemptID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, id)
}

func (t *attemptTable) cancel(id core.AttemptID) {
	t.mu.Lock()
	cancel := t.running[id]
	t.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (t *attemptTable) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.running)
}

// startAttempt starts the dispatch of an attempt to a sidecar. It runs in the
// loop's goroutine and reads the history before it returns: at this point all
// previous calls of the program have ended.
func (n *Entry) startAttempt(d core.Dispatch) {
	p := n.calls.get(d.Call)
	if p == nil || p.req == nil {
		n.loop.postLater(core.AttemptFailed{
			At: now(), Attempt: d.Attempt, Ran: core.RanNo,
			Step: "dispatch", Peer: string(d.Upstream), Message: "the request is no longer held",
		})
		return
	}
	var turns []core.Turn
	if p.req.Append {
		turns = n.loop.core.History(d.Program)
	}
	partial := p.beginAttempt(d.Attempt)
	ctx, cancel := context.WithDeadline(n.ctx, d.Deadline)
	n.attempts.add(d.Attempt, cancel)
	n.inFlight.Add(1)
	go func() {
		defer n.inFlight.Done()
		defer cancel()
		defer n.attempts.remove(d.Attempt)
		n.loop.post(n.runAttempt(ctx, d, p, turns, partial))
	}()
}

// runAttempt executes one attempt and returns the event with its result.
func (n *Entry) runAttempt(ctx context.Context, d core.Dispatch, p *pendingCall, turns []core.Turn, partial partialAnswer) core.Event {
	if d.MaxTokens > 0 && partial.tokens > 0 {
		d.MaxTokens = max(d.MaxTokens-partial.tokens, 1)
	}
	body, err := n.histories.DispatchBody(p.req, turns, partial.text, d.MaxTokens)
	if err != nil {
		return attemptFailed(d, "build request", core.RanNo, err)
	}
	session, err := n.peers.sidecarSession(ctx, d.Upstream)
	if err != nil {
		return attemptFailed(d, "connect to sidecar", core.RanNo, err)
	}
	stream, err := session.Open(ctx, &peerv1.Envelope{Body: &peerv1.Envelope_Dispatch{Dispatch: n.dispatchMessage(d, p.req, body)}})
	if err != nil {
		return attemptFailed(d, "send to sidecar", ranFromError(err), err)
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() {
		_ = stream.Send(&peerv1.Envelope{Body: &peerv1.Envelope_Cancel{Cancel: &peerv1.Cancel{}}})
		// A sidecar confirms a cancel at once. If no confirmation arrives within
		// the grace period, the stream fails with a timeout.
		_ = stream.SetDeadline(time.Now().Add(cancelGrace))
	})
	defer stop()
	return n.receiveMessages(d, p, stream, partial)
}

// cancelGrace is how long an attempt waits for the sidecar to confirm a cancel.
const cancelGrace = 2 * time.Second

func (n *Entry) dispatchMessage(d core.Dispatch, req *frontend.CallRequest, body []byte) *peerv1.Dispatch {
	call := req.Call
	return &peerv1.Dispatch{
		Attempt:       string(d.Attempt),
		Program:       string(d.Program),
		Slot:          uint32(d.Slot),
		Epoch:         uint64(d.Epoch),
		Owner:         string(n.cfg.Incarnation),
		Kind:          string(call.Kind),
		Service:       call.Service,
		Operation:     call.Operation,
		Key:           serviceKey(d.Program, call.Key),
		NonIdempotent: call.Kind == core.KindService && n.NonIdempotent(call.Service, call.Operation),
		Priority:      int64(d.Priority),
		MaxTokens:     d.MaxTokens,
		DeadlineMs:    max(time.Until(d.Deadline).Milliseconds(), 1),
		Fingerprint:   call.Fingerprint,
		Stream:        call.Stream,
		Body:          body,

		SidecarIncarnation: string(d.SidecarIncarnation),
	}
}

// serviceKey returns the idempotency key that is sent to the service. The root
// program is part of it, so that equal keys of different callers do not collide:
// every program belongs to exactly one caller.
func serviceKey(id core.ProgramID, key string) string {
	return string(core.RootOf(id)) + ":" + key
}

// receiveMessages reads the sidecar's messages until the attempt ends and returns
// the event with its result.
func (n *Entry) receiveMessages(d core.Dispatch, p *pendingCall, st *transport.Stream, partial partialAnswer) core.Event {
	first := true
	for {
		env, err := st.Recv()
		if err != nil {
			if stderrors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return attemptFailed(d, "receive from sidecar", core.RanUnknown, err)
		}
		switch m := env.GetBody().(type) {
		case *peerv1.Envelope_Started:
			n.loop.post(core.AttemptStarted{At: now(), Attempt: d.Attempt})
		case *peerv1.Envelope_Data:
			if first {
				first = false
				n.loop.post(core.FirstToken{At: now(), Attempt: d.Attempt, CachedTokens: m.Data.GetCachedTokens()})
			}
			p.chunk(d.Attempt, m.Data.GetChunk(), m.Data.GetTokens())
		case *peerv1.Envelope_Done:
			return attemptDone(d, p.req.Call.Kind, m.Done, partial)
		case *peerv1.Envelope_Failed:
			return core.AttemptFailed{
				At: now(), Attempt: d.Attempt, Ran: core.Ran(m.Failed.GetRan()),
				Crashed: m.Failed.GetCrashed(), Fenced: m.Failed.GetFenced(), Draining: m.Failed.GetDraining(),
				Step: m.Failed.GetStep(), Peer: m.Failed.GetPeer(), Message: m.Failed.GetMessage(),
			}
		}
	}
}

// attemptDone returns the event of a whole answer. An answer of an engine that is complete has
// the status 0, an answer of a service has the status of its response.
func attemptDone(d core.Dispatch, kind core.CallKind, m *peerv1.Done, partial partialAnswer) core.Event {
	status := int(m.GetStatus())
	if !httpcheck.ValidFinalStatus(status) && (status != 0 || kind == core.KindService) {
		return attemptFailed(d, "receive from sidecar", core.RanUnknown, fmt.Errorf("%w: %d", httpcheck.ErrStatus, status))
	}
	return core.AttemptDone{At: now(), Attempt: d.Attempt, Answer: answerFromDone(m, partial)}
}

// answerFromDone returns the complete answer: the output that previous attempts
// have already streamed, followed by the output of this attempt.
func answerFromDone(m *peerv1.Done, partial partialAnswer) core.Answer {
	return core.Answer{
		Body:         frontend.PrependText(m.GetBody(), partial.text),
		Status:       int(m.GetStatus()),
		PromptTokens: m.GetPromptTokens(),
		CachedTokens: m.GetCachedTokens(),
		OutputTokens: m.GetOutputTokens() + partial.tokens,
		FinishReason: m.GetFinishReason(),
	}
}

// ranFromError returns RanNo if a transport error shows that the request was not
// sent, and RanUnknown otherwise.
func ranFromError(err error) core.Ran {
	var te *transport.Error
	if stderrors.As(err, &te) && !te.Sent {
		return core.RanNo
	}
	return core.RanUnknown
}

func attemptFailed(d core.Dispatch, step string, ran core.Ran, err error) core.Event {
	return core.AttemptFailed{
		At: now(), Attempt: d.Attempt, Ran: ran,
		Step: step, Peer: string(d.Upstream), Message: err.Error(),
	}
}

// resolveOutcome asks the sidecar for the outcome of a dispatch whose response was
// lost.
func (n *Entry) resolveOutcome(e core.ResolveClaim) {
	ctx, cancel := context.WithTimeout(n.ctx, peerRequestTimeout)
	defer cancel()
	outcome := core.OutcomeResolved{Attempt: e.Attempt, Ran: core.RanUnknown}
	m, err := n.queryOutcome(ctx, e)
	if err != nil {
		outcome.Unreachable = true
	} else {
		outcome.Ran, outcome.Answer, err = decodeOutcome(m)
	}
	if err != nil {
		n.log.Warn("outcome not resolved", "attempt", e.Attempt, "program", e.Program, "peer", e.Upstream, "error", err)
	}
	outcome.At = now()
	n.loop.post(outcome)
}

// errNoAnswer means that a call ran and that its sidecar doesn't have the answer: it was broken
// or too long.
var errNoAnswer = stderrors.New("the call ran, but its answer is lost")

// decodeOutcome returns whether a claimed call of a service ran, and its answer if it did. It
// returns an error and RanUnknown if the answer is lost or its status is not HTTP.
func decodeOutcome(m *peerv1.Outcome) (core.Ran, core.Answer, error) {
	ran, done := core.Ran(m.GetRan()), m.GetDone()
	switch {
	case done == nil && ran == core.RanYes:
		return core.RanUnknown, core.Answer{}, errNoAnswer
	case done == nil:
		return ran, core.Answer{}, nil
	}
	if status := int(done.GetStatus()); !httpcheck.ValidFinalStatus(status) {
		return core.RanUnknown, core.Answer{}, fmt.Errorf("%w: %d", httpcheck.ErrStatus, status)
	}
	return ran, answerFromDone(done, partialAnswer{}), nil
}

// peerRequestTimeout limits one request to a peer, including the time for which an
// outcome is polled while the attempt is still running.
const peerRequestTimeout = 5 * time.Second

// queryOutcome asks the sidecar for the outcome of an attempt and repeats the
// request while the attempt is still running.
func (n *Entry) queryOutcome(ctx context.Context, e core.ResolveClaim) (*peerv1.Outcome, error) {
	query := &peerv1.Envelope{Body: &peerv1.Envelope_Resolve{Resolve: &peerv1.Resolve{
		Attempt: string(e.Attempt), Service: e.Service, Key: serviceKey(e.Program, e.Key),
		Slot: uint32(e.Slot), Epoch: uint64(e.Epoch), SidecarIncarnation: string(e.SidecarIncarnation),
	}}}
	for {
		session, err := n.peers.sidecarSession(ctx, e.Upstream)
		if err != nil {
			return nil, err
		}
		reply, err := roundTrip(ctx, session, query)
		if err != nil {
			return nil, err
		}
		if o := reply.GetOutcome(); o != nil && !o.GetRunning() {
			return o, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// roundTrip sends one message on a new stream and returns the first reply.
func roundTrip(ctx context.Context, s *transport.Session, m *peerv1.Envelope) (*peerv1.Envelope, error) {
	st, err := s.Open(ctx, m)
	if err != nil {
		return nil, err
	}
	defer st.Close()
	if deadline, ok := ctx.Deadline(); ok {
		if err := st.SetDeadline(deadline); err != nil {
			return nil, err
		}
	}
	return st.Recv()
}

// order sends an order of the policy to the engine, through the sidecar of the
// upstream.
func (n *Entry) order(e core.EngineOrder) {
	ctx, cancel := context.WithTimeout(n.ctx, peerRequestTimeout)
	defer cancel()
	session, err := n.peers.sidecarSession(ctx, e.Upstream)
	if err != nil {
		n.log.Warn("engine order not sent", "order", e.Order, "peer", e.Upstream, "error", err)
		return
	}
	reply, err := roundTrip(ctx, session, &peerv1.Envelope{Body: &peerv1.Envelope_Order{Order: &peerv1.Order{
		Order: e.Order, Program: string(e.Program), Argument: e.Argument, TermMs: e.Term.Milliseconds(),
		Slot: uint32(e.Slot), Epoch: uint64(e.Epoch), Owner: string(n.cfg.Incarnation),
	}}})
	switch {
	case err != nil:
		n.log.Warn("engine order failed", "order", e.Order, "peer", e.Upstream, "error", err)
	case reply.GetOrderResult().GetError() != "":
		n.log.Warn("engine order refused", "order", e.Order, "peer", e.Upstream, "error", reply.GetOrderResult().GetError())
	}
}
