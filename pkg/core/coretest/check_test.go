package coretest

import (
	"fmt"
	"slices"
	"strings"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/core/program"
)

// callers lets a random caller open or end a program, make a call or send one
// again.
func (s *sim) callers() {
	switch k := s.pick(20); {
	case k < 2 && len(s.programs) > 0:
		// A sub-agent; the core chooses its id.
		if parent := s.programs[s.pick(len(s.programs))]; parent.opened && s.alive() < 6 {
			p := &simProgram{caller: parent.caller, parent: parent, root: parent.root, name: fmt.Sprintf("child%d", len(s.programs))}
			s.programs = append(s.programs, p)
			s.sendOpen(p)
		}
	case k < 4 && s.alive() < 4:
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

func (s *sim) alive() (n int) {
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
		return // a child whose open is not acknowledged
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
		r.call.MaxTokens, r.call.PromptTokens, r.nonIdem = 0, 0, true
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

// target returns the node that a caller reaches: nearly always the owner.
func (s *sim) target(id core.ProgramID) *node {
	n := s.owner[core.SlotOf(id, simSlots)]
	if s.pick(15) == 0 {
		n = s.nodes[s.pick(len(s.nodes))]
	}
	return n
}

func (s *sim) newCall(n *node, c *attemptedCall) core.CallID {
	s.lastCall++
	c.node, c.number = n, s.lastCall
	id := core.CallID(fmt.Sprintf("c%d", s.lastCall))
	s.calls[id] = c
	return id
}

func (s *sim) sendOpen(p *simProgram) {
	n := s.target(p.root.id)
	open := core.ProgramOpened{At: s.at(), ID: p.id, Caller: p.caller, Profile: p.profile}
	if p.parent != nil {
		open.Parent, open.ID, open.Key = p.parent.id, "", p.name
	}
	open.Call = s.newCall(n, &attemptedCall{prog: p, opens: true})
	s.send(n, "callers", open)
}

func (s *sim) sendEnd(p *simProgram) {
	n := s.target(p.id)
	id := s.newCall(n, &attemptedCall{prog: p})
	s.send(n, "callers", core.ProgramEnded{At: s.at(), Call: id, ID: p.id, Caller: p.caller})
}

func (s *sim) sendCall(r *request) {
	n := s.target(r.program.id)
	call := r.call
	call.ID = s.newCall(n, &attemptedCall{req: r, prog: r.program})
	call.Arrived = s.now
	r.sent++
	s.send(n, "callers", core.CallArrived{At: s.at(), Call: call})
	if s.pick(20) == 0 {
		s.send(n, "callers", core.CallCanceled{At: s.at(), Call: call.ID})
	}
}

// complete notes that a call got its final effect.
func (s *sim) complete(n *node, id core.CallID) *attemptedCall {
	c := s.calls[id]
	if c == nil || c.node != n {
		s.fail("reply", "%s completes call %q, which it never received", n.inc, id)
		return &attemptedCall{}
	}
	if c.final {
		s.fail("reply", "call %s got two final effects", id)
	}
	c.final = true
	return c
}

// dispatched checks a dispatch against the journal and sends it.
func (s *sim) dispatched(n *node, d core.Dispatch) {
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
		if same && other.call.number > c.number && !n.inherited(other.req) {
			s.fail("order", "%s: call %d of %s starts after call %d", n.inc, c.number, d.Program, other.call.number)
		}
	}
	if a.req.nonIdem {
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

// inherited reports whether a node took over a claim of the request. A resend
// then takes the claim's place in the order, before calls that arrived earlier
// than the resend.
func (n *node) inherited(r *request) bool {
	for _, e := range n.events {
		if acq, ok := e.(core.SlotsAcquired); ok && slices.ContainsFunc(acq.Records, func(rec core.Record) bool {
			return rec.Kind == core.RecordClaim && rec.Digest == r.call.Digest
		}) {
			return true
		}
	}
	return false
}

// ran notes that an upstream runs an attempt.
func (s *sim) ran(a *attempt) {
	r := a.req
	r.runs++
	r.program.root.runs++
	r.program.root.tokens += r.call.PromptTokens
	if r.nonIdem && r.runs > 1 {
		s.fail("twice", "%s ran %d times", r.call.Request, r.runs)
	}
	if a.call.notRun {
		s.fail("not-run", "%s ran after its refusal as not run", r.call.Request)
	}
	if epoch := s.sidecar(a.d.Upstream).highest[a.d.Slot]; a.d.Epoch < epoch {
		s.fail("fence", "%s ran in epoch %d after epoch %d", r.call.Request, a.d.Epoch, epoch)
	}
}

func (s *sim) replied(n *node, f core.Reply) {
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
		return slices.ContainsFunc(j.durable(), func(r core.Record) bool { return holds(r, f.Attempt) })
	})
	if !durable {
		s.fail("durable", "%s was answered before its turn was durable", c.req.call.Request)
	}
	if !f.Stored {
		s.registers.acknowledged(s, n, c.req.program.id, f.Attempt)
	}
}

// holds reports whether a record states the answer of an attempt.
func holds(r core.Record, a core.AttemptID) bool {
	if r.Kind != core.RecordProgram || r.Turn == 0 {
		return r.Attempt == a && r.Answer != nil
	}
	turns, err := program.DecodeTurns(r.State)
	return err == nil && slices.ContainsFunc(turns, func(t program.Turn) bool { return t.Attempt == string(a) })
}

// ended notes the acknowledged end of a program. Its owner must have released
// every pin that it had ordered; those of an earlier owner lapse.
func (s *sim) ended(n *node, p *simProgram) {
	for _, sc := range s.sidecars {
		if pin, ok := sc.pins[p.id]; ok && pin.epoch == s.epoch[core.SlotOf(p.id, simSlots)] {
			s.fail("pins", "%s: %s ended and %s still holds its cache", n.inc, p.id, sc.id)
		}
	}
}

func (s *sim) refused(n *node, f core.Refuse) {
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
		s.fail("quarantine", "%s: %s is innocent", n.inc, c.req.call.Request)
	}
	if ref.Ran != core.RanNo {
		return
	}
	c.notRun = true
	// "Not run" speaks of this sending. The owner also knows of every earlier
	// one; an entry that has lost the slot and cannot reach the store does not,
	// and one that hands the slot over sends the caller to the next owner.
	isOwner := s.owner[core.SlotOf(c.req.program.id, simSlots)] == n && !n.log.sealed
	if c.req.nonIdem && c.req.call.Key != "" && isOwner && c.req.runs > 0 && ref.Code != core.CodeNotOwner {
		s.fail("not-run", "%s was refused as not run (%s) but ran", c.req.call.Request, ref.Code)
	}
	for _, a := range s.attempts {
		if a.call == c && (a.state == "running" || a.state == "done" || a.state == "crashed" || a.state == "broken") {
			s.fail("not-run", "%s was refused as not run (%s) but its attempt is %s", c.req.call.Request, ref.Code, a.state)
		}
	}
}

// check compares the settled world with what callers were told.
func (s *sim) check() {
	for _, id := range sortedKeys(s.calls) {
		c := s.calls[id]
		if !c.final && !c.node.dead {
			s.fail("silent", "call %s at %s got no final effect", id, c.node.inc)
		}
	}
	for _, n := range s.nodes {
		if p, ok := n.policy.Policy.(*fifoPolicy); ok && !n.dead && len(p.running)+len(p.queue) > 0 {
			s.fail("policy", "%s counts %d attempts and %d requests that are over", n.inc, len(p.running), len(p.queue))
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
	// Every program is idle by now; no engine may hold its cache.
	for _, sc := range s.sidecars {
		for id, pin := range sc.pins {
			if pin.until.After(s.now) {
				s.fail("pins", "%s still holds %s", sc.id, id)
			}
		}
	}
}

func (s *sim) checkHistory(p *simProgram) {
	owner := s.owner[core.SlotOf(p.id, simSlots)]
	if owner.dead || owner.sealed {
		return // no successor was left
	}
	seen := map[string]int{}
	for i, t := range owner.core.History(p.id) {
		if t.Number != i+1 {
			s.fail("history", "%s: turn %d has number %d", p.id, i+1, t.Number)
		}
		seen[string(t.Answer)]++
		want := p.name + "#"
		if len(t.Key) > 0 && p.id == core.ProgramIDForCall(p.caller, t.Key) {
			want = "" // the request names the program that its caller thinks of
		}
		if !strings.HasPrefix(string(t.Request), want) {
			s.fail("history", "%s holds the turn %s", p.id, t.Request)
		}
	}
	for _, r := range s.requests {
		if r.program != p {
			continue
		}
		for _, a := range r.answers {
			if seen[a] != 1 {
				s.fail("history", "%s: the acknowledged answer %s is there %d times", p.id, a, seen[a])
			}
		}
	}
}
