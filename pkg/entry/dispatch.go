package entry

import (
	"context"
	stderrors "errors"
	"io"
	"sync"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/frontend"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

// attemptTable holds the running attempts with their cancel functions.
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

// startAttempt sends an attempt to a sidecar. The history is read here, in the
// loop's goroutine, since all earlier calls of the program have ended.
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
	partial := p.begin(d.Attempt)
	ctx, cancel := context.WithDeadline(n.ctx, d.Deadline)
	n.attempts.add(d.Attempt, cancel)
	n.work.Add(1)
	go func() {
		defer n.work.Done()
		defer cancel()
		defer n.attempts.remove(d.Attempt)
		n.loop.post(n.runAttempt(ctx, d, p, turns, partial))
	}()
}

// runAttempt carries one attempt to its end and returns the event that ends it.
func (n *Entry) runAttempt(ctx context.Context, d core.Dispatch, p *pendingCall, turns []core.Turn, partial partialAnswer) core.Event {
	if d.MaxTokens > 0 && partial.tokens > 0 {
		d.MaxTokens = max(d.MaxTokens-partial.tokens, 1)
	}
	body, err := n.histories.DispatchBody(p.req, turns, partial.text, d.MaxTokens)
	if err != nil {
		return failedAttempt(d, "build request", core.RanNo, err)
	}
	session, err := n.peers.sidecar(ctx, d.Upstream)
	if err != nil {
		return failedAttempt(d, "connect to sidecar", core.RanNo, err)
	}
	st, err := session.Open(ctx, &peerv1.Envelope{Body: &peerv1.Envelope_Dispatch{Dispatch: n.dispatchMessage(d, p.req, body)}})
	if err != nil {
		return failedAttempt(d, "send to sidecar", ranOf(err), err)
	}
	defer st.Close()
	stop := context.AfterFunc(ctx, func() {
		_ = st.Send(&peerv1.Envelope{Body: &peerv1.Envelope_Cancel{Cancel: &peerv1.Cancel{}}})
		// The sidecar answers a cancel at once; after the grace period the
		// connection counts as silent.
		_ = st.SetDeadline(time.Now().Add(cancelGrace))
	})
	defer stop()
	return n.receive(d, p, st, partial)
}

// cancelGrace is how long a sidecar may take to confirm a cancel.
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

// serviceKey is the idempotency key that the service sees. A program has one
// caller, so the root program and the key give the scope of the caller's key.
func serviceKey(id core.ProgramID, key string) string {
	return string(core.RootOf(id)) + ":" + key
}

// receive reads the sidecar's messages until the attempt ends.
func (n *Entry) receive(d core.Dispatch, p *pendingCall, st *transport.Stream, partial partialAnswer) core.Event {
	first := true
	for {
		env, err := st.Recv()
		if err != nil {
			if stderrors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return failedAttempt(d, "receive from sidecar", core.RanUnknown, err)
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
			return core.AttemptDone{At: now(), Attempt: d.Attempt, Answer: answerOf(m.Done, partial)}
		case *peerv1.Envelope_Failed:
			return core.AttemptFailed{
				At: now(), Attempt: d.Attempt, Ran: core.Ran(m.Failed.GetRan()),
				Crashed: m.Failed.GetCrashed(), Fenced: m.Failed.GetFenced(), Draining: m.Failed.GetDraining(),
				Step: m.Failed.GetStep(), Peer: m.Failed.GetPeer(), Message: m.Failed.GetMessage(),
			}
		}
	}
}

// answerOf returns the answer with the text that earlier attempts delivered put
// before it.
func answerOf(m *peerv1.Done, partial partialAnswer) core.Answer {
	return core.Answer{
		Body:         frontend.PrependText(m.GetBody(), partial.text),
		Status:       int(m.GetStatus()),
		PromptTokens: m.GetPromptTokens(),
		CachedTokens: m.GetCachedTokens(),
		OutputTokens: m.GetOutputTokens() + partial.tokens,
		FinishReason: m.GetFinishReason(),
	}
}

// ranOf tells from a transport error whether the request may have run.
func ranOf(err error) core.Ran {
	var te *transport.Error
	if stderrors.As(err, &te) && !te.Sent {
		return core.RanNo
	}
	return core.RanUnknown
}

func failedAttempt(d core.Dispatch, step string, ran core.Ran, err error) core.Event {
	return core.AttemptFailed{
		At: now(), Attempt: d.Attempt, Ran: ran,
		Step: step, Peer: string(d.Upstream), Message: err.Error(),
	}
}

// resolve asks the sidecar for the outcome of a dispatch whose answer was lost.
func (n *Entry) resolve(e core.ResolveClaim) {
	ctx, cancel := context.WithTimeout(n.ctx, resolveTimeout)
	defer cancel()
	outcome := core.OutcomeResolved{Attempt: e.Attempt, Ran: core.RanUnknown}
	if m, err := n.askOutcome(ctx, e); err != nil {
		outcome.Unreachable = true
		n.log.Warn("outcome not resolved", "attempt", e.Attempt, "program", e.Program, "peer", e.Upstream, "error", err)
	} else {
		outcome.Ran = core.Ran(m.GetRan())
		if m.GetDone() != nil {
			outcome.Answer = answerOf(m.GetDone(), partialAnswer{})
		}
	}
	outcome.At = now()
	n.loop.post(outcome)
}

// resolveTimeout bounds one question for an outcome.
const resolveTimeout = 5 * time.Second

func (n *Entry) askOutcome(ctx context.Context, e core.ResolveClaim) (*peerv1.Outcome, error) {
	ask := &peerv1.Envelope{Body: &peerv1.Envelope_Resolve{Resolve: &peerv1.Resolve{
		Attempt: string(e.Attempt), Service: e.Service, Key: serviceKey(e.Program, e.Key),
		Slot: uint32(e.Slot), Epoch: uint64(e.Epoch), SidecarIncarnation: string(e.SidecarIncarnation),
	}}}
	for {
		session, err := n.peers.sidecar(ctx, e.Upstream)
		if err != nil {
			return nil, err
		}
		reply, err := roundTrip(ctx, session, ask)
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

// roundTrip sends one message and returns the first reply.
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

// order sends an engine order through the upstream's sidecar.
func (n *Entry) order(e core.EngineOrder) {
	ctx, cancel := context.WithTimeout(n.ctx, resolveTimeout)
	defer cancel()
	session, err := n.peers.sidecar(ctx, e.Upstream)
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
