package replay

import (
	"maps"
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/report"
	engine "github.com/yuccaspindle/yuccaspindle/pkg/standin/engine/model"
	"github.com/yuccaspindle/yuccaspindle/pkg/trace"
)

// How a program ended, other than by completing.
const (
	outcomeGaveUp      = "gave_up" // refused until the caller's patience ended
	outcomeBudget      = "budget_stopped"
	outcomeQuarantined = "quarantined"
	outcomeUnknown     = "unknown" // it cannot be known whether a call ran
	outcomeFailed      = "failed"
)

// samplePeriod is the interval at which the engines' memory is looked at.
const samplePeriod = 5 * time.Second

// effectState is what is known about one non-idempotent call.
type effectState struct {
	runs    int
	acked   bool
	refused bool // the last answer says that it did not run
	unknown bool
}

// measures collects the figures of a replay.
type measures struct {
	s *sim

	latency, lower, slowdown []float64
	sinceFirst, latencyFirst []float64
	byClass                  map[core.Class][]float64
	ttft, refusalMs          []float64
	outcomes                 map[string]int
	completed                int

	refusals, callRefusals, claimWaits int
	refusalCodes                       map[string]int
	refusedMinutes                     map[callerMinute]bool

	promptTokens, cachedTokens int64
	recomputed                 int64
	goneTokenSeconds           float64 // pinned for programs that are gone
	idleTokenSeconds           float64 // unpinned remains of programs that are gone

	effects      map[string]*effectState
	untrue       int
	orderFaults  int
	overruns     int
	lateWork     int
	crashes      int
	orders       map[string]int
	ordersFailed int
	unanswered   map[string]bool
	events       []report.Event
	pinnedAtEnd  int64
}

type callerMinute struct {
	caller string
	minute int64
}

func newMeasures(s *sim) *measures {
	return &measures{
		s: s, byClass: map[core.Class][]float64{}, outcomes: map[string]int{}, refusalCodes: map[string]int{},
		refusedMinutes: map[callerMinute]bool{}, effects: map[string]*effectState{}, orders: map[string]int{},
		unanswered: map[string]bool{},
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (m *measures) record(r *run, scope report.Scope, result report.Result, cause string, latency time.Duration) {
	if !m.s.opts.Events {
		return
	}
	m.events = append(m.events, report.Event{
		Time: m.s.now.UTC(), Scope: scope, Caller: r.p.Caller, Profile: r.p.Profile,
		Class: string(m.s.class(r.p.Profile)), Result: result, LatencyMs: ms(latency), Cause: cause, Program: r.p.ID,
	})
}

// finished notes the end of a program.
func (m *measures) finished(r *run, outcome string) {
	took := m.s.now.Sub(r.opened)
	b := m.s.config.Profiles[r.p.Profile].Budget
	if b.Tokens > 0 && r.tokens > b.Tokens || b.Calls > 0 && r.calls > b.Calls {
		m.overruns++
	}
	if outcome != "" {
		m.outcomes[outcome]++
		switch outcome {
		case outcomeUnknown:
			m.record(r, report.ScopeProgram, report.ResultUnknown, outcome, took)
		case outcomeGaveUp: // its refusals are recorded
		default:
			m.record(r, report.ScopeProgram, report.ResultFailed, outcome, took)
		}
		return
	}
	m.completed++
	m.record(r, report.ScopeProgram, report.ResultOK, "", took)
	lower := m.s.trace.Header.Deployment.LowerBoundMs(&r.p.Agent)
	m.latency = append(m.latency, ms(took))
	m.lower = append(m.lower, lower)
	m.slowdown = append(m.slowdown, ms(took)/lower)
	m.latencyFirst = append(m.latencyFirst, ms(m.s.now.Sub(r.firstTry)))
	m.sinceFirst = append(m.sinceFirst, ms(m.s.now.Sub(r.firstTry))/lower)
	c := m.s.class(r.p.Profile)
	m.byClass[c] = append(m.byClass[c], ms(took)/lower)
}

// refusal notes an error towards a caller. Refused minutes count refusals of
// service; a program that used up its budget, crashes upstreams or was ended is
// answered truthfully and not refused service.
func (m *measures) refusal(r *run, ref core.Refusal, took time.Duration, scope report.Scope) {
	m.refusalCodes[ref.Code]++
	switch ref.Code {
	case core.CodeBudgetExceeded, core.CodeQuarantined, core.CodeProgramEnded, core.CodeOutcomeUnknown:
		return
	}
	m.refusals++
	if scope == report.ScopeCall {
		m.callRefusals++
	}
	m.refusedMinutes[callerMinute{r.p.Caller, m.s.now.Unix() / 60}] = true
	m.record(r, scope, report.ResultRefused, ref.Code+" "+ref.Step, took)
	switch ref.Code {
	case core.CodeJournalUnavailable, core.CodeDeadlineExceeded, core.CodeUpstreamFailed:
		m.claimWaits++ // until then the call could still run or was running
	default:
		m.refusalMs = append(m.refusalMs, ms(took))
	}
}

func (m *measures) issued(p *pending) {
	m.unanswered[p.request] = true
	m.effectOf(p) // a call that is never run is known, too
}

// effectOf returns the state of a non-idempotent call, nil for other calls.
func (m *measures) effectOf(p *pending) *effectState {
	if p.step.Service == "" || !m.s.nonIdempotent(p.step) {
		return nil
	}
	e := m.effects[p.request]
	if e == nil {
		e = &effectState{}
		m.effects[p.request] = e
	}
	return e
}

// effect notes that a service carried out a call.
func (m *measures) effect(p *pending) {
	if e := m.effectOf(p); e != nil {
		e.runs++
	}
}

// prefill notes the prompt tokens that an engine computed.
func (m *measures) prefill(p *pending, out engine.Output) {
	m.promptTokens += out.Prompt
	m.cachedTokens += out.Cached
	a := p.agent
	m.recomputed += max(0, min(a.held, out.Prompt)-out.Cached)
	a.held = max(a.held, out.Prompt)
}

func (m *measures) answered(p *pending, a core.Answer) {
	if p.step.Out > 0 {
		p.agent.held = max(p.agent.held, a.PromptTokens+a.OutputTokens)
	}
	if e := m.effectOf(p); e != nil {
		e.acked, e.refused, e.unknown = true, false, false
	}
	m.record(p.agent.run, report.ScopeCall, report.ResultOK, "", m.s.now.Sub(p.sentAt))
}

// callRefused checks a refusal against what the upstreams did.
func (m *measures) callRefused(p *pending, ref core.Refusal) {
	e := m.effectOf(p)
	if ref.Ran == core.RanNo && (p.ran || e != nil && e.runs > 0) {
		m.untrue++
	}
	if e != nil {
		e.refused, e.unknown = ref.Ran == core.RanNo, ref.Ran != core.RanNo
		if e.unknown {
			m.record(p.agent.run, report.ScopeCall, report.ResultUnknown, ref.Code, m.s.now.Sub(p.sentAt))
		}
	}
}

// settle notes that the caller has an answer.
func (m *measures) settle(p *pending) { delete(m.unanswered, p.request) }

// checkHistory compares the durable histories of a program with what its caller
// sent and saw answered.
func (m *measures) checkHistory(r *run) {
	m.checkAgent(r.root)
}

func (m *measures) checkAgent(a *agent) {
	turns := a.run.owner.core.History(a.id)
	requests := make([]string, len(turns))
	for i := range turns {
		requests[i] = string(turns[i].Request)
	}
	if !startsWith(requests, a.turns) {
		m.orderFaults++
	}
}

// startsWith reports whether a history begins with the answered requests in
// their order. Turns beyond them belong to calls whose answer the caller has not
// seen.
func startsWith(history, answered []string) bool {
	return len(history) >= len(answered) && slices.Equal(history[:len(answered)], answered)
}

// sample looks at the engines' memory.
func (m *measures) sample() {
	if m.s.ended {
		return
	}
	gone := m.s.gone
	for _, u := range m.s.upstreams {
		if u.engine == nil || u.down || u.hung {
			continue
		}
		for _, h := range u.engine.Held(m.s.now) {
			if !gone[h.Prefix] {
				continue
			}
			if h.Pinned {
				m.goneTokenSeconds += float64(h.Tokens) * samplePeriod.Seconds()
			} else if !h.Offloaded {
				m.idleTokenSeconds += float64(h.Tokens) * samplePeriod.Seconds()
			}
		}
	}
	m.s.after(samplePeriod, m.sample)
}

// atEnd looks at the memory that is still pinned for programs that are gone.
func (m *measures) atEnd() {
	gone := m.s.gone
	for _, u := range m.s.upstreams {
		if u.engine == nil {
			continue
		}
		for _, h := range u.engine.Held(m.s.now) {
			if h.Pinned && gone[h.Prefix] {
				m.pinnedAtEnd += h.Tokens
			}
		}
	}
}

// effectCounts returns the duplicate, lost and unknown effects, and the
// refusals as not run that turned out untrue later.
func (m *measures) effectCounts() (duplicate, lost, unknown, untrue int) {
	for _, k := range slices.Sorted(maps.Keys(m.effects)) {
		e := m.effects[k]
		if e.runs > 1 {
			duplicate += e.runs - 1
		}
		switch {
		case e.acked && e.runs == 0:
			lost++
		case e.unknown:
			unknown++
		case e.refused && e.runs > 0:
			untrue++
		}
	}
	return duplicate, lost, unknown, untrue
}

// class returns the latency class of a profile.
func (s *sim) class(profile string) core.Class { return s.config.Profiles[profile].Class }

// nonIdempotent reports whether a step's operation must run at most once.
func (s *sim) nonIdempotent(st *trace.Step) bool {
	return slices.Contains(s.config.Services[st.Service].NonIdempotent, st.Op)
}
