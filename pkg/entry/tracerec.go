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
	// bytesPerToken turns the size of a recorded turn into tokens.
	bytesPerToken = 4
)

// traceRecorder records the programs of this entry in the trace format, without
// any content. It holds a bounded number of programs and writes them at the end,
// since a trace is sorted by arrival and states its duration first.
type traceRecorder struct {
	mu       sync.Mutex
	started  time.Time
	limit    int
	programs map[core.ProgramID]*recordedProgram // by root
}

// recordedProgram is a root program with its children.
type recordedProgram struct {
	trace.Program
	agents map[core.ProgramID]*recordedAgent
}

// recordedAgent collects the steps of one program.
type recordedAgent struct {
	agent   *trace.Agent
	lastEnd time.Time
	// children run in parallel as one step until the agent makes a call.
	children *trace.Step
}

func newTraceRecorder(limit int, now time.Time) *traceRecorder {
	return &traceRecorder{started: now, limit: limit, programs: make(map[core.ProgramID]*recordedProgram)}
}

// agentOf returns the recorded agent of a program, or nil if it is not recorded.
func (t *traceRecorder) agentOf(id core.ProgramID, caller, profile, region string, now time.Time) *recordedAgent {
	root := core.RootOf(id)
	p := t.programs[root]
	if p == nil {
		if len(t.programs) >= t.limit {
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

// addChild adds a sub-agent to the open step of its parent.
func (t *traceRecorder) addChild(p *recordedProgram, id core.ProgramID, now time.Time) *recordedAgent {
	parent := p.agents[parentOf(id)]
	if parent == nil {
		return nil // opened before the recording began
	}
	if parent.children == nil {
		parent.agent.Steps = append(parent.agent.Steps, trace.Step{PauseMs: now.Sub(parent.lastEnd).Milliseconds()})
		parent.children = &parent.agent.Steps[len(parent.agent.Steps)-1]
		// Room for siblings: their agents must not move once children point
		// to them.
		parent.children.Agents = make([]trace.Agent, 0, maxSiblings)
	}
	if len(parent.children.Agents) == maxSiblings {
		return nil
	}
	parent.children.Agents = append(parent.children.Agents, trace.Agent{})
	child := &recordedAgent{agent: &parent.children.Agents[len(parent.children.Agents)-1], lastEnd: now}
	p.agents[id] = child
	return child
}

// maxSiblings bounds the sub-agents of one step.
const maxSiblings = 64

func parentOf(id core.ProgramID) core.ProgramID {
	i := strings.LastIndexByte(string(id), '~')
	if i < 0 {
		return id
	}
	return id[:i]
}

// call records a finished call.
func (t *traceRecorder) call(r *frontend.CallRequest, profile, region string, start time.Time, res frontend.Result) {
	if res.Stored {
		return
	}
	end := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.agentOf(r.Target, r.Call.Caller, profile, region, start)
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
	a.children = nil
	a.lastEnd = end
}

// trace returns what was recorded.
func (t *traceRecorder) trace(d trace.Deployment, now time.Time) *trace.Trace {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := &trace.Trace{Header: trace.Header{
		Kind: trace.KindHeader, Format: trace.FormatVersion, Name: "recorded", Scenario: "recorded",
		DurationMs: max(now.Sub(t.started).Milliseconds(), 1), Deployment: d,
	}}
	for _, p := range t.programs {
		dropEmpty(&p.Agent)
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

// dropEmpty removes sub-agents that made no call.
func dropEmpty(a *trace.Agent) {
	steps := a.Steps[:0]
	for _, s := range a.Steps {
		agents := s.Agents[:0]
		for i := range s.Agents {
			dropEmpty(&s.Agents[i])
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

// writeTrace writes the recorded trace into the data folder.
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

// recordedDeployment describes the known upstreams and the configuration. Delays
// between places are not measured; they are those of docs/design.md, section 2.
func (n *Entry) recordedDeployment() trace.Deployment {
	cfg, _ := n.config.dist.Config()
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
