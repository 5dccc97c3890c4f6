package sidecar

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	decide "github.com/yuccaspindle/yuccaspindle/pkg/core/sidecar"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

// closeWait is how long the end of an owner's stream is awaited after Done, to
// know that the outcome has arrived.
const closeWait = 2 * time.Second

// Causes for which an attempt is given up.
var (
	errCanceled = errors.New("the owner canceled the call")
	errGone     = errors.New("the owner's stream has ended")
	errCrashed  = errors.New("the upstream has crashed")
)

// call is an attempt under way.
type call struct {
	d       *peerv1.Dispatch
	arrived time.Time
	cancel  context.CancelCauseFunc
	// crash gives the attempt up because of a crash. Its failure is sent when
	// the channel is closed.
	crash func(reported <-chan struct{})

	mu       sync.Mutex
	passed   bool                  // the upstream may have seen the request
	reported <-chan struct{}       // closed when the peers know of the crash
	veto     *decide.RefuseAttempt // the reason why it was not passed on
	onPass   func()                // called once, when it is passed on
	send     func(*peerv1.Data) error
}

func (c *call) wasPassed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.passed
}

// outcome is how an attempt ended: Done or Failed.
type outcome struct {
	done   *peerv1.Done
	failed *peerv1.Failed
}

func (o outcome) result() decide.Result {
	if o.done == nil {
		return decide.Result{Ran: core.Ran(o.failed.Ran)}
	}
	d := o.done
	return decide.Result{Ran: core.RanYes, Answer: &core.Answer{
		Body: d.Body, Status: int(d.Status), PromptTokens: d.PromptTokens, CachedTokens: d.CachedTokens,
		OutputTokens: d.OutputTokens, FinishReason: d.FinishReason,
	}}
}

func doneOf(a *core.Answer) *peerv1.Done {
	return &peerv1.Done{
		Body: a.Body, Status: int32(a.Status), PromptTokens: a.PromptTokens, CachedTokens: a.CachedTokens,
		OutputTokens: a.OutputTokens, FinishReason: a.FinishReason,
	}
}

// fail describes the end of an attempt without an answer. ran is what is known
// once the request may have reached the upstream; before that it is "no".
func (s *Sidecar) fail(c *call, ran core.Ran, step string, err error) outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := &peerv1.Failed{Ran: string(ran), Step: step, Peer: s.cfg.Upstream.URL, Message: err.Error()}
	if !c.passed {
		f.Ran = string(core.RanNo)
	}
	if v := c.veto; v != nil {
		f.Fenced, f.Draining, f.Step, f.Message = v.Fenced, v.Draining, v.Step, v.Message
	}
	f.Crashed = errors.Is(err, errCrashed)
	return outcome{failed: f}
}

func sendFailed(st *transport.Stream, f *peerv1.Failed) error {
	return st.Send(&peerv1.Envelope{Body: &peerv1.Envelope_Failed{Failed: f}})
}

// serveDispatch runs one attempt.
func (s *Sidecar) serveDispatch(ctx context.Context, p *transport.Session, st *transport.Stream, d *peerv1.Dispatch) {
	if !s.mayCommand(p) {
		_ = sendFailed(st, &peerv1.Failed{Ran: string(core.RanNo), Step: "authorize", Peer: s.cfg.Instance, Message: s.refusePeer(p, "dispatch")})
		return
	}
	if err := s.checkDispatch(d); err != nil {
		_ = sendFailed(st, &peerv1.Failed{Ran: string(core.RanNo), Step: "check", Peer: s.cfg.Instance, Message: err.Error()})
		return
	}
	started := time.Now()
	switch e := s.ask(func(ref decide.Ref) decide.Event {
		return decide.AttemptDispatched{
			At: now(), Ref: ref, Attempt: core.AttemptID(d.Attempt), Slot: core.Slot(d.Slot), Epoch: core.Epoch(d.Epoch),
			NonIdempotent: d.NonIdempotent, Fingerprint: d.Fingerprint, Key: d.Key,
			SidecarIncarnation: d.SidecarIncarnation, UpstreamIncarnation: d.UpstreamIncarnation,
		}
	}).(type) {
	case decide.RefuseAttempt:
		s.met.dispatched("refused")
		s.log.Info("attempt refused", "step", "dispatch", "peer", p.Addr(), "attempt", d.Attempt, "program", d.Program,
			"fenced", e.Fenced, "draining", e.Draining, "ran", e.Ran, "reason", e.Message)
		_ = sendFailed(st, &peerv1.Failed{
			Ran: string(e.Ran), Fenced: e.Fenced, Draining: e.Draining, Step: e.Step, Peer: s.cfg.Instance, Message: e.Message,
		})
		return
	case decide.Answer:
		s.met.dispatched("repeated")
		_ = st.Send(&peerv1.Envelope{Body: &peerv1.Envelope_Done{Done: doneOf(&e.Answer)}})
		return
	}
	c := &call{d: d, arrived: started}
	closed := make(chan error, 1)
	s.runOwned(ctx, st, c, closed)
	s.met.callTime.UpdateDuration(started)
}

func (s *Sidecar) checkDispatch(d *peerv1.Dispatch) error {
	switch {
	case d.Attempt == "":
		return errors.New("dispatch names no attempt")
	case d.Kind != string(s.cfg.Upstream.Kind):
		return fmt.Errorf("dispatch is for kind %q, the upstream is %q", d.Kind, s.cfg.Upstream.Kind)
	case d.Kind == string(core.KindService) && (d.Service != s.cfg.Upstream.Service || d.Operation == ""):
		return fmt.Errorf("dispatch is for operation %q of service %q, the upstream is %q", d.Operation, d.Service, s.cfg.Upstream.Service)
	}
	return nil
}

// runOwned runs an accepted attempt for the owner that reads the stream.
func (s *Sidecar) runOwned(ctx context.Context, st *transport.Stream, c *call, closed chan error) {
	timeout := s.cfg.DefaultTimeout
	if c.d.DeadlineMs > 0 {
		timeout = time.Duration(c.d.DeadlineMs) * time.Millisecond
	}
	deadline := c.arrived.Add(timeout)
	// A non-idempotent call that was passed on goes on without its owner and
	// after its deadline, because its outcome is needed.
	base, limit := ctx, deadline
	if c.d.NonIdempotent {
		base, limit = s.ctx, deadline.Add(s.cfg.LateTerm)
	}
	base, stop := context.WithDeadline(base, limit)
	runCtx, cancel := context.WithCancelCause(base)
	c.cancel = cancel
	c.crash = func(reported <-chan struct{}) {
		c.mu.Lock()
		c.reported = reported
		c.mu.Unlock()
		cancel(errCrashed)
	}
	started := make(chan struct{})
	c.onPass = sync.OnceFunc(func() { close(started) })
	announce := sync.OnceFunc(func() {
		_ = st.Send(&peerv1.Envelope{Body: &peerv1.Envelope_Started{Started: &peerv1.Started{}}})
	})
	c.send = func(m *peerv1.Data) error {
		announce()
		return st.Send(&peerv1.Envelope{Body: &peerv1.Envelope_Data{Data: m}})
	}
	// An owner that does not read must not hold the attempt.
	_ = st.SetDeadline(deadline.Add(closeWait))
	s.mu.Lock()
	s.calls[core.AttemptID(c.d.Attempt)] = c
	s.mu.Unlock()

	go func() { closed <- s.watchOwner(st, c) }()
	if !c.d.NonIdempotent {
		defer stop()
		defer cancel(nil)
		c.onPass = func() { go announce() }
		o := s.run(runCtx, c)
		if c.wasPassed() {
			announce()
		}
		s.deliver(st, c, o, closed)
		return
	}
	result := make(chan outcome, 1)
	go func() {
		defer stop()
		defer cancel(nil)
		result <- s.run(runCtx, c)
	}()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for {
		select {
		case <-started:
			started = nil
			announce()
		case o := <-result:
			if c.wasPassed() {
				announce()
			}
			s.deliver(st, c, o, closed)
			return
		case <-timer.C:
			if !c.wasPassed() {
				cancel(context.DeadlineExceeded)
				continue
			}
			_ = sendFailed(st, s.fail(c, core.RanUnknown, "deadline", context.DeadlineExceeded).failed)
			return
		case <-closed:
			return
		}
	}
}

// watchOwner reads the owner's stream until it ends. A cancel or the loss of
// the owner gives up the attempt, but not a non-idempotent one that the
// upstream may have seen.
func (s *Sidecar) watchOwner(st *transport.Stream, c *call) error {
	for {
		m, err := st.Recv()
		cause := errCanceled
		if err != nil {
			cause = errGone
		} else if m.GetCancel() == nil {
			continue
		}
		if !c.d.NonIdempotent || !c.wasPassed() {
			c.cancel(cause)
		}
		if err != nil {
			return err
		}
	}
}

// run carries an attempt to its end and records the outcome.
func (s *Sidecar) run(ctx context.Context, c *call) outcome {
	var o outcome
	if c.d.Kind == string(core.KindModel) {
		o = s.runModel(ctx, c)
	} else {
		o = s.runService(ctx, c)
	}
	s.mu.Lock()
	delete(s.calls, core.AttemptID(c.d.Attempt))
	s.mu.Unlock()
	s.step(decide.AttemptEnded{At: now(), Attempt: core.AttemptID(c.d.Attempt), Result: o.result()})
	if o.done != nil {
		s.met.dispatched("done")
		return o
	}
	s.met.dispatched("failed")
	s.log.Warn("attempt failed", "step", o.failed.Step, "peer", s.cfg.Upstream.URL, "attempt", c.d.Attempt,
		"program", c.d.Program, "ran", o.failed.Ran, "crashed", o.failed.Crashed, "fenced", o.failed.Fenced, "err", o.failed.Message)
	return o
}

// deliver sends the outcome to the owner.
func (s *Sidecar) deliver(st *transport.Stream, c *call, o outcome, closed chan error) {
	c.mu.Lock()
	reported := c.reported
	c.mu.Unlock()
	if reported != nil {
		select {
		case <-reported:
		case <-s.ctx.Done():
		}
	}
	var err error
	if o.done != nil {
		s.mu.Lock()
		o.done.Load = s.load
		s.mu.Unlock()
		err = st.Send(&peerv1.Envelope{Body: &peerv1.Envelope_Done{Done: o.done}})
	} else {
		err = sendFailed(st, o.failed)
	}
	if err != nil || !c.d.NonIdempotent {
		return
	}
	timer := time.NewTimer(closeWait)
	defer timer.Stop()
	select {
	case err = <-closed:
		if err == io.EOF {
			s.step(decide.ResultDelivered{At: now(), Attempt: core.AttemptID(c.d.Attempt)})
		}
	case <-timer.C:
	}
}

// gate asks the decision part for permission, immediately before the request
// is written.
func (s *Sidecar) gate(ctx context.Context, c *call) error {
	if err := context.Cause(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.passed {
		return errors.New("the attempt was already passed on")
	}
	switch e := s.ask(func(ref decide.Ref) decide.Event {
		return decide.SendRequested{At: now(), Ref: ref, Attempt: core.AttemptID(c.d.Attempt)}
	}).(type) {
	case decide.RefuseAttempt:
		c.veto = &e
		return errors.New(e.Message)
	default:
		c.passed = true
		c.onPass()
		s.met.overhead.UpdateDuration(c.arrived)
		return nil
	}
}
