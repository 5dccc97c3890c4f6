package sidecar

import (
	"context"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	decide "github.com/yuccaspindle/yuccaspindle/pkg/core/sidecar"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

// serveResolve answers with the outcome of an attempt. A running attempt gets
// a first Outcome with running set and a second one at its end.
func (s *Sidecar) serveResolve(ctx context.Context, p *transport.Session, st *transport.Stream, r *peerv1.Resolve) {
	if !s.mayCommand(p) {
		sendAck(st, s.refusePeer(p, "resolve"))
		return
	}
	ref, ch, done := s.await()
	defer done()
	id := core.AttemptID(r.Attempt)
	s.step(decide.Resolve{
		At: now(), Ref: ref, Attempt: id, Slot: core.Slot(r.Slot), Epoch: core.Epoch(r.Epoch),
		Key: r.Key, SidecarIncarnation: r.SidecarIncarnation,
	})
	gone := make(chan struct{})
	go func() {
		for {
			if _, err := st.Recv(); err != nil {
				close(gone)
				return
			}
		}
	}()
	for {
		select {
		case e := <-ch:
			switch e := e.(type) {
			case decide.LookUpOutcome:
				res := decide.Result{Ran: core.RanUnknown}
				if d := s.lookUp(ctx, e.Key); d != nil {
					res = outcome{done: d}.result()
				}
				s.step(decide.OutcomeLookedUp{At: now(), Ref: ref, Attempt: id, Result: res})
			case decide.Outcome:
				o := &peerv1.Outcome{Ran: string(e.Result.Ran), Running: e.Running}
				if a := e.Result.Answer; a != nil {
					o.Done = doneOf(a)
				}
				err := st.Send(&peerv1.Envelope{Body: &peerv1.Envelope_Outcome{Outcome: o}})
				if !e.Running {
					if err == nil {
						s.step(decide.ResultDelivered{At: now(), Attempt: id})
					}
					s.log.Info("outcome resolved", "step", "resolve", "peer", p.Addr(), "attempt", r.Attempt, "ran", o.Ran)
					return
				}
			}
		case <-gone:
			return
		case <-ctx.Done():
			return
		}
	}
}
