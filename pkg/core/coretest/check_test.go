package coretest

import (
	"fmt"
	"slices"
	"strings"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/core/program"
)

// callerStep makes a random caller open or end a program, make a call or resend
// one.
func (s *sim) callerStep() {
	switch k := s.pick(20); {
	case k < 2 && len(s.programs) > 0:
		// A child program; the core chooses its id.
		if parent := s.programs[s.pick(len(s.programs))]; parent.opened && s.livePrograms() < 6 {
			p := &simProgram{caller: parent.caller, parent: parent, root: parent.root, name: fmt.Sprintf("child%d", len(s.programs))}
			s.programs = append(s.programs, p)
			s.sendOpen(p)
		}
	case k < 4 && s.livePrograms() < 4:
		p := &simProgram{
			id:      core.NewProgramID(core.Slot(s.pick(simSlots)), fmt.Sprintf("prog%d", len(s.programs))),
			caller:  fmt.Sprintf("caller%d", s.pick(2)),
			profile: []string{"", "tight", "wide", "wide"}[s.pick(4)],
		}
		p.name, p.root = string(p.id), p
		s.programs = append(s.programs, p)
		s.sendOpen(p)
	case len(s.programs) == 0:
	case k < 5:
		p := s.programs[s.pick(len(s.programs))]
		if p.opened && s.pick(10) == 0 {
			p.ended = true
			s.sendEnd(p)
		} else {
			s.sendOpen(p)
		}
	case k < 13:
		s.newRequest()
	default:
		if r := s.requests[s.pick(max(1, len(s.requests))):]; len(r) > 0 && r[0].call.Key != "" {
			s.sendCall(r[0])
		}
	}
}

func (s *sim) livePrograms() (n int) {
	for _, p := range s.programs {
		if !p.ended {
			n++
		}
	}
	return n
}

func (s *sim) newRequest() {
	p := s.programs[max(0, len(s.programs)-8+s.pick(8))]
	if p.id == "" {
		return // a child whose open is not yet acknowledged
	}
	p.next++
	r := &request{program: p}
	r.call = core.Call{
		Program: p.id, Caller: p.caller, Kind: core.KindModel, MaxTokens: []int64{30, 30, 600}[s.pick(3)], PromptTokens: 10,
		Request:     fmt.Appendf(nil, "%s#%d", p.name, p.next),
		Fingerprint: uint64(len(s.requests) + 1),
	}
	if s.poison && s.pick(8) == 0 {
		r.call.Fingerprint = poisonous
	}
	r.call.Digest = uint64(len(s.requests) + 1)
	kind := s.pick(4)
	if r.call.Fingerprint == poisonous {
		kind = 3 // a model call
	}
	switch kind {
	case 0, 1:
		r.call.Kind, r.call.Service, r.call.Operation = core.KindService, "booking", "charge"
		r.call.MaxTokens, r.call.PromptTokens, r.nonIdempotent = 0, 0, true
	case 2:
		r.call.Kind, r.call.Service, r.call.Operation = core.KindService, "booking", "lookup"
		r.call.MaxTokens, r.call.PromptTokens = 0, 0
	}
	if s.pick(4) > 0 {
		r.call.Key = fmt.Sprintf("key%d", len(s.requests))
	}
	if r.call.Key != "" && s.pick(6) == 0 {
		r.call.Program = "" // the core derives the program
		own := *p
		own.id, own.profile, own.root = core.ProgramIDForCall(p.caller, r.call.Key), "", &own
		r.program = &own
	}
	s.requests = append(s.requests, r)
	s.sendCall(r)
}

// targetNode returns the node to which a caller sends: nearly always the owner.
func (s *sim) targetNode(id core.ProgramID) *node {
	n := s.owner[core.SlotOf(id, simSlots)]
	if s.pick(15) == 0 {
		n = s.nodes[s.pick(len(s.nodes))]
	}
	return n
}

func (s *sim) newCall(n *node, c *sentCall) core.CallID {
	s.lastCall++
	c.node, c.number = n, s.lastCall
	id := core.CallID(fmt.Sprintf("c%d", s.lastCall))
	s.calls[id] = c
	return id
}

func (s *sim) sendOpen(p *simProgram) {
	n := s.targetNode(p.root.id)
	open := core.ProgramOpened{At: s.at(), ID: p.id, Caller: p.caller, Profile: p.profile}
	if p.parent != nil {
		open.Parent, open.ID, open.Key = p.parent.id, "", p.name
	}
	open.Call = s.newCall(n, &sentCall{prog: p, opens: true})
	s.send(n, "callers", open)
}

func (s *sim) sendEnd(p *simProgram) {
	n := s.targetNode(p.id)
	id := s.newCall(n, &sentCall{prog: p})
	s.send(n, "callers", core.ProgramEnded{At: s.at(), Call: id, ID: p.id, Caller: p.caller})
}

func (s *sim) sendCall(r *request) {
	n := s.targetNode(r.program.id)
	call := r.call
	call.ID = s.newCall(n, &sentCall{req: r, prog: r.program})
	call.Arrived = s.now
	r.sent++
	s.send(n, "callers", core.CallArrived{At: s.at(), Call: call})
	if s.pick(20) == 0 {
		s.send(n, "callers", core.CallCanceled{At: s.at(), Call: call.ID})
	}
}

// complete checks that a call gets one final effect, from the node that
// received it.
func (s *sim) complete(n *node, id core.CallID) *sentCall {
	c := s.calls[id]
	if c == nil || c.node != n {
		s.fail("reply", "%s completes call %q, which it never received", n.inc, id)
		return &sentCall{}
	}
	if c.final {
		s.fail("reply", "call %s got two final effects", id)
	}
	c.final = true
	return c
}

// dispatch checks a dispatch against the journal and sends it to the sidecar.
func (s *sim) dispatch(n *node, d core.Dispatch) {
	if s.attempts[d.Attempt] != nil {
		s.fail("attempt", "attempt %s was dispatched twice", d.Attempt)
		return
	}
	c := s.calls[d.Call]
	if c == nil || c.req == nil {
		s.fail("attempt", "dispatch for the unknown call %q", d.Call)
		return
	}
	if s.poison && n.quarantined && c.req.call.Fingerprint == poisonous {
		s.fail("quarantine", "%s dispatches a quarantined request", n.inc)
	}
	a := &attempt{d: d, node: n, call: c, req: c.req, state: "sent", sent: s.clock}
	s.attempts[d.Attempt] = a
	for _, other := range s.attempts {
		same := other != a && other.node == n && other.req.program.id == a.req.program.id
		if same && other.call.number > c.number && !n.inheritedClaim(other.req) {
			s.fail("order", "%s: call %d of %s starts after call %d", n.inc, c.number, d.Program, other.call.number)
		}
	}
	if a.req.nonIdempotent {
		claimed := false
		for _, b := range n.log.batches[:n.log.stored] {
			for _, r := range b.Records {
				claimed = claimed || r.Kind == core.RecordClaim && r.Attempt == d.Attempt
			}
		}
		if !claimed {
			s.fail("claim", "attempt %s of %s has no claim in the store", d.Attempt, c.req.call.Request)
		}
	}
	sc := s.sidecar(d.Upstream)
	sc.inbox = append(sc.inbox, a)
}

// inheritedClaim reports whether a node took over a claim of the request. A
// resend then takes the claim's place in the order, ahead of calls that arrived
// before the resend.
func (n *node) inheritedClaim(r *request) bool {
	for _, e := range n.events {
		if acq, ok := e.(core.SlotsAcquired); ok && slices.ContainsFunc(acq.Records, func(rec core.Record) bool {
			return rec.Kind == core.RecordClaim && rec.Digest == r.call.Digest
		}) {
			return true
		}
	}
	return false
}

// recordRun counts a run of an attempt at an upstream and checks that it is
// allowed.
func (s *sim) recordRun(a *attempt) {
	r := a.req
	r.runs++
	r.program.root.runs++
	r.program.root.tokens += r.call.PromptTokens
	if r.nonIdempotent && r.runs > 1 {
		s.fail("twice", "%s ran %d times", r.call.Request, r.runs)
	}
	if a.call.notRun {
		s.fail("not-run", "%s ran after its refusal as not run", r.call.Request)
	}
	if epoch := s.sidecar(a.d.Upstream).highest[a.d.Slot]; a.d.Epoch < epoch {
		s.fail("fence", "%s ran in epoch %d after epoch %d", r.call.Request, a.d.Epoch, epoch)
	}
}

// checkReply checks that an answer belongs to its request, is the same for
// every resend and is durable.
func (s *sim) checkReply(n *node, f core.Reply) {
	c := s.complete(n, f.Call)
	if c.req == nil {
		return
	}
	body := string(f.Answer.Body)
	if !strings.HasPrefix(body, fmt.Sprintf("ans:%s:", c.req.call.Request)) {
		s.fail("answer", "%s got the answer %q", c.req.call.Request, body)
	}
	if c.req.call.Key != "" && len(c.req.answers) > 0 && !slices.Contains(c.req.answers, body) {
		s.fail("answer", "%s got a second answer", c.req.call.Request)
	}
	c.req.answers = append(c.req.answers, body)
	durable := slices.ContainsFunc(s.journals, func(j *journal) bool {
		return slices.ContainsFunc(j.durable(), func(r core.Record) bool { return statesAnswer(r, f.Attempt) })
	})
	if !durable {
		s.fail("durable", "%s was answered before its turn was durable", c.req.call.Request)
	}
	if !f.Stored {
		s.registers.acknowledged(s, n, c.req.program.id, f.Attempt)
	}
}

// statesAnswer reports whether a record contains the answer of an attempt.
func statesAnswer(r core.Record, a core.AttemptID) bool {
	if r.Kind != core.RecordProgram || r.Turn == 0 {
		return r.Attempt == a && r.Answer != nil
	}
	turns, err := program.DecodeTurns(r.State)
	return err == nil && slices.ContainsFunc(turns, func(t program.Turn) bool { return t.Attempt == string(a) })
}

// checkPinsReleased checks at the acknowledged end of a program that its owner
// has released every pin that it had ordered. Pins of earlier owners expire by
// themselves.
func (s *sim) checkPinsReleased(n *node, p *simProgram) {
	for _, sc := range s.sidecars {
		if pin, ok := sc.pins[p.id]; ok && pin.epoch == s.epoch[core.SlotOf(p.id, simSlots)] {
			s.fail("pins", "%s: %s ended and %s still pins its cache", n.inc, p.id, sc.id)
		}
	}
}

// checkRefusal checks the retry time of a refusal and whether "not run" is
// true.
func (s *sim) checkRefusal(n *node, f core.Refuse) {
	c := s.complete(n, f.Call)
	if c.req == nil {
		return
	}
	ref := f.Refusal
	switch ref.Code {
	case core.CodeOverloaded, core.CodeNoUpstream, core.CodeNotOwner, core.CodeJournalUnavailable, core.CodeShuttingDown, core.CodeQuarantined:
		if ref.RetryAfter <= 0 {
			s.fail("retry-after", "refusal %s of %s has no retry time", ref.Code, c.req.call.Request)
		}
	}
	if s.poison && ref.Code == core.CodeQuarantined && c.req.call.Fingerprint != poisonous {
		s.fail("quarantine", "%s: %s was quarantined but crashes no upstream", n.inc, c.req.call.Request)
	}
	if ref.Ran != core.RanNo {
		return
	}
	c.notRun = true
	// "Not run" refers to this sentCall only, unless the owner gives the answer:
	// it knows of all earlier ones. An entry that has lost the slot and cannot
	// reach the store does not, and one that hands over the slot refers the
	// caller to the next owner.
	isOwner := s.owner[core.SlotOf(c.req.program.id, simSlots)] == n && !n.log.sealed
	if c.req.nonIdempotent && c.req.call.Key != "" && isOwner && c.req.runs > 0 && ref.Code != core.CodeNotOwner {
		s.fail("not-run", "%s was refused as not run (%s) but ran", c.req.call.Request, ref.Code)
	}
	for _, a := range s.attempts {
		if a.call == c && (a.state == "running" || a.state == "done" || a.state == "crashed" || a.state == "broken") {
			s.fail("not-run", "%s was refused as not run (%s) but its attempt is %s", c.req.call.Request, ref.Code, a.state)
		}
	}
}

// checkFinalState compares the settled simulation with the answers that callers
// got.
func (s *sim) checkFinalState() {
	for _, id := range sortedKeys(s.calls) {
		c := s.calls[id]
		if !c.final && !c.node.dead {
			s.fail("silent", "call %s at %s got no final effect", id, c.node.inc)
		}
	}
	for _, n := range s.nodes {
		if p, ok := n.policy.Policy.(*fifoPolicy); ok && !n.dead && len(p.running)+len(p.queue) > 0 {
			s.fail("policy", "the policy of %s still holds %d attempts and %d requests that have ended", n.inc, len(p.running), len(p.queue))
		}
	}
	programs := slices.Clone(s.programs)
	for _, r := range s.requests {
		if !slices.Contains(programs, r.program) {
			programs = append(programs, r.program)
		}
	}
	for _, p := range programs {
		if p.id == "" {
			continue
		}
		s.checkHistory(p)
		b := s.configs[0].Profiles[p.profile].Budget
		if b.Tokens > 0 && p.tokens > b.Tokens || b.Calls > 0 && p.runs > b.Calls {
			s.fail("budget", "%s used %d tokens and %d calls", p.id, p.tokens, p.runs)
		}
	}
	// Every program has been idle for its timeout: no engine may hold its cache.
	for _, sc := range s.sidecars {
		for id, pin := range sc.pins {
			if pin.until.After(s.now) {
				s.fail("pins", "%s still pins the cache of %s", sc.id, id)
			}
		}
	}
}

func (s *sim) checkHistory(p *simProgram) {
	owner := s.owner[core.SlotOf(p.id, simSlots)]
	if owner.dead || owner.sealed {
		return // there was no successor
	}
	seen := map[string]int{}
	for i, t := range owner.core.History(p.id) {
		if t.Number != i+1 {
			s.fail("history", "%s: turn %d has number %d", p.id, i+1, t.Number)
		}
		seen[string(t.Answer)]++
		want := p.name + "#"
		if len(t.Key) > 0 && p.id == core.ProgramIDForCall(p.caller, t.Key) {
			want = "" // the request has the name of the program from which it was copied
		}
		if !strings.HasPrefix(string(t.Request), want) {
			s.fail("history", "the history of %s holds the turn %s of another program", p.id, t.Request)
		}
	}
	for _, r := range s.requests {
		if r.program != p {
			continue
		}
		for _, a := range r.answers {
			if seen[a] != 1 {
				s.fail("history", "%s: the history holds the acknowledged answer %s %d times", p.id, a, seen[a])
			}
		}
	}
}
