package entry

import (
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/frontend"
	"github.com/yuccaspindle/yuccaspindle/pkg/trace"
)

const (
	traceFile = "recorded.trace.jsonl"
	// bytesPerToken is the assumed size of a token when the length of a recorded
	// turn is estimated.
	bytesPerToken = 4
)

// traceRecorder records the programs of this entry as a trace without message
// content. It keeps a limited number of programs in memory and writes them when the
// entry stops, because a trace is sorted by arrival and begins with its duration.
type traceRecorder struct {
	mu          sync.Mutex
	started     time.Time
	maxPrograms int
	programs    map[core.ProgramID]*recordedProgram // by root program
}

// recordedProgram is a root program with the agents of its children.
type recordedProgram struct {
	trace.Program
	agents map[core.ProgramID]*recordedAgent
}

// recordedAgent collects the steps of one program, which is an agent in the trace.
type recordedAgent struct {
	agent   *trace.Agent
	lastEnd time.Time
	// openStep is the step to which new children are added. Children that are
	// opened between two calls of the agent count as running in parallel.
	openStep *trace.Step
}

func newTraceRecorder(maxPrograms int, now time.Time) *traceRecorder {
	return &traceRecorder{started: now, maxPrograms: maxPrograms, programs: make(map[core.ProgramID]*recordedProgram)}
}

// agentFor returns the recorded agent of a program and adds it if necessary. It
// returns nil if the program is not recorded.
func (t *traceRecorder) agentFor(id core.ProgramID, caller, profile, region string, now time.Time) *recordedAgent {
	root := core.RootOf(id)
	p := t.programs[root]
	if p == nil {
		if len(t.programs) >= t.maxPrograms {
			return nil
		}
		p = &recordedProgram{agents: make(map[core.ProgramID]*recordedAgent)}
		p.Program = trace.Program{
			Kind: trace.KindProgram, ID: string(root), AtMs: now.Sub(t.started).Milliseconds(),
			Caller: caller, Region: region, Profile: profile,
		}
		p.agents[root] = &recordedAgent{agent: &p.Agent, lastEnd: now}
		t.programs[root] = p
	}
	if a := p.agents[id]; a != nil {
		return a
	}
	return t.addChild(p, id, now)
}

// addChild adds a sub-agent to the open step of its parent and opens a step if there
// is none.
func (t *traceRecorder) addChild(p *recordedProgram, id core.ProgramID, now time.Time) *recordedAgent {
	parent := p.agents[parentOf(id)]
	if parent == nil {
		return nil // the parent was opened before the recording began or exceeded a limit
	}
	if parent.openStep == nil {
		parent.agent.Steps = append(parent.agent.Steps, trace.Step{PauseMs: now.Sub(parent.lastEnd).Milliseconds()})
		parent.openStep = &parent.agent.Steps[len(parent.agent.Steps)-1]
		// The full capacity is allocated at once: recorded agents point to the
		// elements, which must not move.
		parent.openStep.Agents = make([]trace.Agent, 0, maxParallelAgents)
	}
	if len(parent.openStep.Agents) == maxParallelAgents {
		return nil
	}
	parent.openStep.Agents = append(parent.openStep.Agents, trace.Agent{})
	child := &recordedAgent{agent: &parent.openStep.Agents[len(parent.openStep.Agents)-1], lastEnd: now}
	p.agents[id] = child
	return child
}

// maxParallelAgents limits the number of sub-agents in one step.
const maxParallelAgents = 64

// parentOf returns the parent of a program, or the program itself if it is a root.
func parentOf(id core.ProgramID) core.ProgramID {
	i := strings.LastIndexByte(string(id), '~')
	if i < 0 {
		return id
	}
	return id[:i]
}

// recordCall adds a finished call to the trace, unless its result was already
// stored.
func (t *traceRecorder) recordCall(r *frontend.CallRequest, profile, region string, start time.Time, res frontend.Result) {
	if res.Stored {
		return
	}
	end := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.agentFor(r.Target, r.Call.Caller, profile, region, start)
	if a == nil {
		return
	}
	step := trace.Step{PauseMs: max(start.Sub(a.lastEnd).Milliseconds(), 0)}
	if r.Call.Kind == core.KindModel {
		a.agent.Model, a.agent.Adapter = r.Call.Model, r.Call.Adapter
		step.New = int64(len(r.Call.Request) / bytesPerToken)
		step.Out = max(res.Answer.OutputTokens, 1)
	} else {
		step.Service, step.Op = r.Call.Service, r.Call.Operation
		step.WorkMs = end.Sub(start).Milliseconds()
		if !strings.HasPrefix(r.Call.Key, "auto-") {
			step.Key = r.Call.Key
		}
	}
	a.agent.Steps = append(a.agent.Steps, step)
	a.openStep = nil
	a.lastEnd = end
}

// trace returns the recorded programs as a trace that ends now.
func (t *traceRecorder) trace(d trace.Deployment, now time.Time) *trace.Trace {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := &trace.Trace{Header: trace.Header{
		Kind: trace.KindHeader, Format: trace.FormatVersion, Name: "recorded", Scenario: "recorded",
		DurationMs: max(now.Sub(t.started).Milliseconds(), 1), Deployment: d,
	}}
	for _, p := range t.programs {
		removeEmptyAgents(&p.Agent)
		if len(p.Steps) > 0 {
			out.Programs = append(out.Programs, p.Program)
		}
	}
	sort.Slice(out.Programs, func(i, j int) bool {
		a, b := &out.Programs[i], &out.Programs[j]
		if a.AtMs != b.AtMs {
			return a.AtMs < b.AtMs
		}
		return a.ID < b.ID
	})
	return out
}

// removeEmptyAgents removes sub-agents without calls, and steps that are empty then.
func removeEmptyAgents(a *trace.Agent) {
	steps := a.Steps[:0]
	for _, s := range a.Steps {
		agents := s.Agents[:0]
		for i := range s.Agents {
			removeEmptyAgents(&s.Agents[i])
			if len(s.Agents[i].Steps) > 0 {
				agents = append(agents, s.Agents[i])
			}
		}
		s.Agents = agents
		if s.Service == "" && s.Out == 0 && len(s.Agents) == 0 {
			continue
		}
		steps = append(steps, s)
	}
	a.Steps = steps
}

// writeTrace writes the recorded trace to the data folder.
func (n *Entry) writeTrace() error {
	if n.trace == nil {
		return nil
	}
	f, err := os.Create(filepath.Join(n.cfg.DataFolder, traceFile))
	if err != nil {
		return errors.Wrap(err, "create recorded trace")
	}
	err = trace.Encode(f, n.trace.trace(n.recordedDeployment(), time.Now()))
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "write recorded trace")
}

// recordedDeployment returns the known upstreams and the configuration for the
// trace. The network delays and the bandwidth are the assumptions of docs/design.md,
// section 2.
func (n *Entry) recordedDeployment() trace.Deployment {
	cfg, _ := n.config.distributor.Config()
	return trace.Deployment{
		Name:      "recorded",
		Regions:   cfg.Regions,
		Owners:    []string{n.cfg.Region},
		Link:      trace.Link{OneWayMs: 30, BitsPerS: 30e6},
		DomainMs:  0.5,
		ClientMs:  1,
		Upstreams: n.peers.upstreamInfos(),
		Config:    cfg,
	}
}
