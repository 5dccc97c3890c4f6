package replay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/report"
	"github.com/yuccaspindle/yuccaspindle/pkg/trace"
)

// The behaviour of callers, as stated in docs/traces.md.
const (
	// patience is the time after its first try for which a caller comes back
	// with a refused program.
	patience = 10 * time.Minute
	// comeBackSpread is the largest delay beyond Retry-After, as a share of it.
	comeBackSpread = 0.2
	// shortestComeBack holds if a refusal states no time.
	shortestComeBack = time.Second
	// callTries is the number of times that a caller sends a refused call of a
	// running program again.
	callTries = 5
	// maxTokens is the limit that callers put on each answer. It tells nothing
	// about the length of the answer to come.
	maxTokens = 1024
)

// run is a root program under way.
type run struct {
	s        *sim
	p        *trace.Program
	owner    *owner
	place    place // of the caller
	rand     *rand.Rand
	firstTry time.Time
	opened   time.Time // when the accepted open was sent
	tries    int
	agents   int
	calls    int64 // answered
	tokens   int64 // prompt and output of answered calls
	ended    bool
	root     *agent
}

// agent is a root program or a sub-agent: one chain of calls with its history.
type agent struct {
	run     *run
	spec    *trace.Agent
	id      core.ProgramID
	number  int
	step    int
	issued  int
	history int64 // tokens of prompt and answers so far
	held    int64 // longest prefix of the history that an engine has computed
	turns   []string
	running int // sub-agents of the current step
	done    func()
}

// pending is a call that waits for its answer.
type pending struct {
	agent       *agent
	step        *trace.Step
	id          core.CallID
	key         string
	request     string
	prompt      int64
	fingerprint uint64
	arrived     time.Time // at the owner
	sentAt      time.Time // by the caller, of the first try
	tries       int
	resends     int
	joined      []core.CallID
	ran         bool // an upstream worked on one of its attempts
	seenToken   bool
	closed      bool // superseded by a resend or answered
}

func (s *sim) arrive(p *trace.Program) {
	r := &run{
		s: s, p: p, owner: s.ownerOf(p.Region), place: place{region: p.Region}, firstTry: s.now,
		rand: rand.New(rand.NewPCG(s.opts.Seed, xxhash.Sum64String(p.ID))),
	}
	s.active++
	r.open()
}

// toOwner is the time of a message from the caller to the owner.
func (r *run) toOwner(bytes int64) time.Duration {
	client := trace.Ms(r.s.trace.Header.Deployment.ClientMs)
	if r.place.region == r.owner.place.region {
		return client
	}
	return client + r.s.net.delay(r.place, r.owner.place, bytes)
}

// fromOwner is the time of the end of an answer from the owner to the caller.
func (r *run) fromOwner(bytes int64) time.Duration {
	client := trace.Ms(r.s.trace.Header.Deployment.ClientMs)
	if r.place.region == r.owner.place.region {
		return client
	}
	return client + r.s.net.stream(r.owner.place, r.place, bytes)
}

// open asks for the root program, and comes back when it is refused.
func (r *run) open() {
	r.tries++
	r.opened = r.s.now
	id := core.CallID(fmt.Sprintf("%s/open%d", r.p.ID, r.tries))
	r.s.after(r.toOwner(bytesPerMessage), func() {
		arrived := r.s.now
		r.owner.opens[id] = func(pid core.ProgramID, ref *core.Refusal) {
			if ref != nil {
				r.s.m.refusal(r, *ref, r.s.now.Sub(arrived), report.ScopeProgram)
			}
			r.s.after(r.fromOwner(bytesPerMessage), func() { r.openAnswered(pid, ref) })
		}
		r.owner.step(core.ProgramOpened{At: r.owner.at(), Call: id, Caller: r.p.Caller, Profile: r.p.Profile})
	})
}

func (r *run) openAnswered(id core.ProgramID, ref *core.Refusal) {
	if ref == nil {
		r.root = r.newAgent(&r.p.Agent, id, func() { r.finish("") })
		r.root.next()
		return
	}
	wait := r.comeBack(ref.RetryAfter)
	if r.s.now.Add(wait).Sub(r.firstTry) > patience {
		r.finish(outcomeGaveUp)
		return
	}
	r.s.after(wait, r.open)
}

// comeBack is the time after which a refused caller tries again.
func (r *run) comeBack(after time.Duration) time.Duration {
	after = max(after, shortestComeBack)
	return after + time.Duration(comeBackSpread*r.rand.Float64()*float64(after))
}

// finish ends a program. An empty outcome means that it completed.
func (r *run) finish(outcome string) {
	if r.ended {
		return
	}
	r.ended = true
	r.s.active--
	if r.root != nil {
		r.s.m.checkHistory(r)
		id := core.CallID(r.p.ID + "/end")
		r.s.after(r.toOwner(bytesPerMessage), func() {
			r.owner.step(core.ProgramEnded{At: r.owner.at(), Call: id, ID: r.root.id, Caller: r.p.Caller})
		})
		r.s.gone[string(r.root.id)] = true
	}
	r.s.m.finished(r, outcome)
}

func (r *run) newAgent(spec *trace.Agent, id core.ProgramID, done func()) *agent {
	a := &agent{run: r, spec: spec, id: id, number: r.agents, done: done}
	a.history = a.shared()
	r.agents++
	return a
}

// shared returns the tokens of the agent's shared prefix.
func (a *agent) shared() int64 { return a.run.s.trace.Header.Deployment.Prefixes[a.spec.Prefix] }

// next goes on with the next step once its pause is over.
func (a *agent) next() {
	if a.run.ended {
		return
	}
	if a.step == len(a.spec.Steps) {
		if !a.run.p.Endless || a.number != 0 {
			a.done()
			return
		}
		a.step = 0
	}
	st := &a.spec.Steps[a.step]
	a.run.s.after(time.Duration(st.PauseMs)*time.Millisecond, func() { a.start(st) })
}

func (a *agent) start(st *trace.Step) {
	if a.run.ended {
		return
	}
	if len(st.Agents) > 0 {
		a.running = len(st.Agents)
		for i := range st.Agents {
			a.spawn(&st.Agents[i], i, 0)
		}
		return
	}
	a.issued++
	p := &pending{
		agent: a, step: st, sentAt: a.run.s.now,
		request:     fmt.Sprintf("%s#%d.%d", a.run.p.ID, a.number, a.issued),
		fingerprint: xxhash.Sum64String(fmt.Sprintf("%s#%d.%d", a.run.p.ID, a.number, a.step)),
	}
	if st.Key != "" {
		p.key = fmt.Sprintf("%s.%d", st.Key, a.number)
	}
	if st.Out > 0 {
		p.prompt = a.history + st.New
	}
	a.run.s.m.issued(p)
	p.send()
}

// spawn opens a sub-agent.
func (a *agent) spawn(spec *trace.Agent, i, tries int) {
	r := a.run
	id := core.CallID(fmt.Sprintf("%s/%d.%d/spawn%d.%d", r.p.ID, a.number, a.step, i, tries))
	r.s.after(r.toOwner(bytesPerMessage), func() {
		arrived := r.s.now
		r.owner.opens[id] = func(pid core.ProgramID, ref *core.Refusal) {
			if ref != nil {
				r.s.m.refusal(r, *ref, r.s.now.Sub(arrived), report.ScopeCall)
			}
			r.s.after(r.fromOwner(bytesPerMessage), func() {
				switch {
				case ref == nil:
					child := r.newAgent(spec, pid, nil)
					child.done = func() { a.childDone(child) }
					child.next()
				case ref.Code == core.CodeBudgetExceeded:
					r.finish(outcomeBudget)
				case tries+1 < callTries:
					r.s.after(r.comeBack(ref.RetryAfter), func() { a.spawn(spec, i, tries+1) })
				default:
					r.finish(outcomeFailed)
				}
			})
		}
		r.owner.step(core.ProgramOpened{At: r.owner.at(), Call: id, Parent: a.id, Caller: r.p.Caller})
	})
}

func (a *agent) childDone(child *agent) {
	r := a.run
	if r.ended {
		return
	}
	r.s.m.checkAgent(child)
	r.s.after(r.toOwner(bytesPerMessage), func() {
		r.owner.step(core.ProgramEnded{At: r.owner.at(), Call: core.CallID(string(child.id) + "/end"), ID: child.id, Caller: r.p.Caller})
	})
	r.s.gone[string(child.id)] = true
	if a.running--; a.running == 0 {
		a.step++
		a.next()
	}
}

// send sends the call to the owner. Each try and each resend is a request of its
// own with the same key.
func (p *pending) send() {
	a, r := p.agent, p.agent.run
	p.tries++
	p.ran = false
	p.id = core.CallID(fmt.Sprintf("%s/%d", p.request, p.tries+p.resends))
	id := p.id
	c := core.Call{
		ID: id, Program: a.id, Caller: r.p.Caller, Kind: core.KindModel, Key: p.key,
		Digest: xxhash.Sum64String(p.request), Fingerprint: p.fingerprint, Stream: true, Request: []byte(p.request),
	}
	bytes := int64(bytesPerMessage)
	if p.step.Service != "" {
		c.Kind, c.Service, c.Operation, c.Fingerprint, c.Stream = core.KindService, p.step.Service, p.step.Op, 0, false
		p.fingerprint = 0
	} else {
		c.Model, c.Adapter = a.spec.Model, a.spec.Adapter
		c.SharedPrefix, c.SharedTokens = a.spec.Prefix, a.shared()
		c.PromptTokens, c.MaxTokens = p.prompt, maxTokens
		bytes += p.step.New * bytesPerPromptToken
	}
	r.s.after(r.toOwner(bytes), func() {
		p.arrived = r.s.now
		r.owner.calls[id] = p
		r.owner.step(core.CallArrived{At: r.owner.at(), Call: c})
	})
	if p.step.ResendMs > 0 && p.tries == 1 && p.resends == 0 {
		r.s.after(time.Duration(p.step.ResendMs)*time.Millisecond, func() { p.resend(id) })
	}
}

// resend stands for a caller that lost its connection and sends the call again
// with the same key. Whatever the first connection carried is lost.
func (p *pending) resend(old core.CallID) {
	r := p.agent.run
	if r.ended || p.closed {
		return
	}
	again := *p
	again.resends, again.joined = 1, nil
	p.closed = true
	r.s.after(r.toOwner(bytesPerMessage), func() {
		r.owner.step(core.CallCanceled{At: r.owner.at(), Call: old})
	})
	again.tries--
	again.send()
}

// lostFirst reports whether the answer falls on a connection that is lost later,
// so that the caller never sees it.
func (p *pending) lostFirst() bool { return p.step.ResendMs > 0 && p.resends == 0 }

// firstToken notes the arrival of the first token at the caller.
func (p *pending) firstToken() {
	if !p.seenToken {
		p.seenToken = true
		r := p.agent.run
		r.s.m.ttft = append(r.s.m.ttft, ms(r.s.now.Sub(p.sentAt)+r.fromOwner(0)))
	}
}

// answered gives the answer to the caller, who then goes on with the program.
func (p *pending) answered(answer core.Answer) {
	a, r := p.agent, p.agent.run
	if p.closed || p.lostFirst() {
		return
	}
	p.closed = true
	r.s.m.settle(p)
	r.s.after(r.fromOwner(bytesPerMessage+answer.OutputTokens*bytesPerOutputToken), func() {
		if r.ended {
			return
		}
		r.s.m.answered(p, answer)
		r.calls++
		r.tokens += answer.PromptTokens + answer.OutputTokens
		a.turns = append(a.turns, p.request)
		if p.step.Out > 0 {
			a.history = p.prompt + answer.OutputTokens
		}
		a.step++
		a.next()
	})
}

// refused gives a refusal to the caller, who sends the call again where that
// makes sense.
func (p *pending) refused(ref core.Refusal) {
	r := p.agent.run
	if p.closed {
		return
	}
	if !p.lostFirst() {
		r.s.m.settle(p)
	}
	if r.ended {
		return
	}
	r.s.m.refusal(r, ref, r.s.now.Sub(p.arrived), report.ScopeCall)
	r.s.m.callRefused(p, ref)
	if p.lostFirst() {
		return
	}
	r.s.after(r.fromOwner(bytesPerMessage), func() {
		if r.ended {
			return
		}
		unsafe := p.step.Service != "" && ref.Ran != core.RanNo && r.s.nonIdempotent(p.step)
		switch {
		case ref.Code == core.CodeBudgetExceeded:
			r.finish(outcomeBudget)
		case ref.Code == core.CodeQuarantined:
			r.finish(outcomeQuarantined)
		case unsafe:
			r.finish(outcomeUnknown)
		case p.tries < callTries:
			r.s.after(r.comeBack(ref.RetryAfter), func() {
				if !r.ended {
					p.send()
				}
			})
		default:
			r.finish(outcomeFailed)
		}
	})
}
