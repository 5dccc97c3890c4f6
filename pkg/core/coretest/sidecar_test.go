package coretest

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// poisonous is the fingerprint of the requests that crash every upstream.
const poisonous = 1 << 40

// sidecar simulates a sidecar together with its upstream.
type sidecar struct {
	id          core.UpstreamID
	service     string
	incarnation uint64 // of the upstream
	restarts    int    // number of restarts, each of which loses the sidecar's state
	leaving     bool
	highest     map[core.Slot]core.Epoch
	inbox       []*attempt
	running     []*attempt
	queries     []query
	rejected    map[core.AttemptID]bool
	pins        map[core.ProgramID]pin
}

type pin struct {
	until time.Time
	epoch core.Epoch
}

type query struct {
	node  *node
	claim core.ResolveClaim
}

// attempt is the state of a dispatched attempt in the simulation.
type attempt struct {
	d      core.Dispatch
	node   *node
	call   *sentCall
	req    *request
	state  string
	sent   int64 // logical time of the event that caused the dispatch
	answer core.Answer
}

func newSidecar(id core.UpstreamID) *sidecar {
	sc := &sidecar{
		id: id, incarnation: 1, highest: map[core.Slot]core.Epoch{},
		rejected: map[core.AttemptID]bool{}, pins: map[core.ProgramID]pin{},
	}
	if strings.HasPrefix(string(id), "b") {
		sc.service = "booking"
	}
	return sc
}

func (sc *sidecar) info() core.UpstreamInfo {
	kind := core.KindModel
	if sc.service != "" {
		kind = core.KindService
	}
	return core.UpstreamInfo{ID: sc.id, Kind: kind, Service: sc.service, Incarnation: sc.incarnation, Slots: 4, SidecarIncarnation: sc.processIncarnation()}
}

// processIncarnation returns the incarnation of the sidecar process.
func (sc *sidecar) processIncarnation() core.Incarnation {
	return core.Incarnation(fmt.Sprintf("%s.%d", sc.id, sc.restarts))
}

func (sc *sidecar) lane() string { return "sidecar " + string(sc.id) }

func (sc *sidecar) order(now time.Time, o core.EngineOrder) {
	if o.Epoch < sc.highest[o.Slot] {
		return
	}
	sc.highest[o.Slot] = o.Epoch
	switch o.Order {
	case core.OrderPin:
		sc.pins[o.Program] = pin{now.Add(o.Term), o.Epoch}
	case core.OrderRelease:
		delete(sc.pins, o.Program)
	}
}

func (sc *sidecar) cancel(id core.AttemptID) {
	sc.rejected[id] = true
	sc.running = slices.DeleteFunc(sc.running, func(a *attempt) bool { return a.d.Attempt == id })
}

// randomStep delivers a dispatch, ends an attempt or answers a query.
func (sc *sidecar) randomStep(s *sim) {
	switch k := s.pick(10); {
	case k < 4:
		sc.receiveDispatch(s, s.pick(12) == 0)
	case k < 9:
		sc.endAttempt(s, s.pick(8) == 0)
	default:
		sc.answer(s, s.pick(4) == 0)
	}
}

// finishOne does one outstanding action without a failure. It returns false if
// there is none.
func (sc *sidecar) finishOne(s *sim) bool {
	return sc.receiveDispatch(s, false) || sc.endAttempt(s, false) || sc.answer(s, false)
}

func (sc *sidecar) failed(s *sim, a *attempt, f core.AttemptFailed) {
	f.At, f.Attempt, f.Step, f.Peer = s.at(), a.d.Attempt, "dispatch", string(sc.id)
	s.send(a.node, sc.lane(), f)
}

// receiveDispatch handles the next dispatch, or loses it if lost is set.
func (sc *sidecar) receiveDispatch(s *sim, lost bool) bool {
	if len(sc.inbox) == 0 {
		return false
	}
	a := sc.inbox[0]
	sc.inbox = sc.inbox[1:]
	switch {
	case lost:
		a.state = "lost"
		sc.failed(s, a, core.AttemptFailed{Ran: core.RanUnknown})
	case a.d.SidecarIncarnation != sc.processIncarnation():
		sc.rejected[a.d.Attempt] = true
		sc.failed(s, a, core.AttemptFailed{Ran: core.RanNo})
	case a.d.Epoch < sc.highest[a.d.Slot] && !s.faults.NoFenceCheck:
		sc.rejected[a.d.Attempt] = true
		sc.failed(s, a, core.AttemptFailed{Ran: core.RanNo, Fenced: true})
	case sc.rejected[a.d.Attempt]:
		sc.failed(s, a, core.AttemptFailed{Ran: core.RanNo})
	case sc.leaving:
		sc.rejected[a.d.Attempt] = true
		sc.failed(s, a, core.AttemptFailed{Ran: core.RanNo, Draining: true})
	default:
		sc.highest[a.d.Slot] = max(sc.highest[a.d.Slot], a.d.Epoch)
		a.state = "running"
		sc.running = append(sc.running, a)
		s.recordRun(a)
		if a.req.call.Fingerprint == poisonous {
			s.crashes++
			sc.failRunning(s, core.AttemptFailed{Ran: core.RanUnknown, Crashed: true}, "crashed")
			clear(sc.pins)
			break
		}
		s.send(a.node, sc.lane(), core.AttemptStarted{At: s.at(), Attempt: a.d.Attempt})
	}
	return true
}

// endAttempt ends a running attempt; if lost is set, its answer does not
// arrive.
func (sc *sidecar) endAttempt(s *sim, lost bool) bool {
	if len(sc.running) == 0 {
		return false
	}
	i := s.pick(len(sc.running))
	a := sc.running[i]
	sc.running = slices.Delete(sc.running, i, i+1)
	a.state = "done"
	out := int64(1000)
	if a.d.MaxTokens > 0 {
		out = min(out, a.d.MaxTokens)
	}
	if sc.service != "" {
		out = 0
	}
	a.answer = core.Answer{
		Body:   fmt.Appendf(nil, "ans:%s:%s", a.req.call.Request, a.d.Attempt),
		Status: 200, PromptTokens: a.req.call.PromptTokens, OutputTokens: out,
	}
	a.req.program.root.tokens += out
	if lost {
		sc.failed(s, a, core.AttemptFailed{Ran: core.RanUnknown})
	} else {
		s.send(a.node, sc.lane(), core.AttemptDone{At: s.at(), Attempt: a.d.Attempt, Answer: a.answer})
	}
	return true
}

// answer handles the oldest query for the outcome of a claim.
func (sc *sidecar) answer(s *sim, unreachable bool) bool {
	if len(sc.queries) == 0 {
		return false
	}
	q := sc.queries[0]
	sc.queries = sc.queries[1:]
	if unreachable {
		s.send(q.node, sc.lane(), core.OutcomeResolved{At: s.at(), Attempt: q.claim.Attempt, Ran: core.RanUnknown, Unreachable: true})
		return true
	}
	a := s.attempts[q.claim.Attempt]
	r := core.OutcomeResolved{At: s.at(), Attempt: q.claim.Attempt, Ran: core.RanUnknown}
	remembers := q.claim.SidecarIncarnation == sc.processIncarnation()
	switch {
	case remembers && (a == nil || a.state == "sent" || a.state == "lost" || sc.rejected[a.d.Attempt]):
		// It did not run. Rejecting it from now on keeps that true.
		sc.rejected[q.claim.Attempt] = true
		r.Ran = core.RanNo
	case a == nil:
	case a.state == "running" && remembers:
		sc.queries = append(sc.queries, q) // answered when the attempt ends
		return len(sc.running) == 0
	case a.state == "done" && (remembers || q.claim.Key != ""):
		r.Ran, r.Answer = core.RanYes, a.answer
	}
	s.send(q.node, sc.lane(), r)
	return true
}

// injectFault crashes the upstream, restarts the sidecar or toggles whether the
// upstream is leaving.
func (sc *sidecar) injectFault(s *sim) {
	switch s.pick(4) {
	case 0:
		if s.poison {
			return
		}
		sc.failRunning(s, core.AttemptFailed{Ran: core.RanUnknown, Crashed: true}, "crashed")
		clear(sc.pins)
	case 1:
		for _, a := range sc.inbox {
			a.state = "lost"
			sc.failed(s, a, core.AttemptFailed{Ran: core.RanUnknown})
		}
		sc.inbox = nil
		sc.restarts++
		sc.failRunning(s, core.AttemptFailed{Ran: core.RanUnknown}, "broken")
		clear(sc.rejected)
		clear(sc.highest)
		clear(sc.pins)
	default:
		sc.leaving = !sc.leaving
		for _, n := range s.nodes {
			s.send(n, sc.lane(), core.UpstreamState{At: s.at(), Upstream: sc.id, Reachable: true, Leaving: sc.leaving})
		}
	}
}

func (sc *sidecar) failRunning(s *sim, f core.AttemptFailed, state string) {
	var fps []uint64
	for _, a := range sc.running {
		a.state = state
		fps = append(fps, a.req.call.Fingerprint)
		sc.failed(s, a, f)
	}
	sc.running = nil
	if f.Crashed {
		sc.incarnation++
	}
	for _, n := range s.nodes {
		if f.Crashed {
			s.send(n, "crashes", core.UpstreamCrashed{ // a lane of its own, so it may arrive before or after the failed attempts
				At: s.at(), Upstream: sc.id, Incarnation: sc.incarnation, Fingerprints: fps,
			})
		}
		s.send(n, sc.lane(), core.UpstreamChanged{At: s.at(), Info: sc.info()})
		if sc.leaving {
			s.send(n, sc.lane(), core.UpstreamState{At: s.at(), Upstream: sc.id, Reachable: true, Leaving: true})
		}
	}
}
