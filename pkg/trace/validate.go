package trace

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/pkg/errors"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// Limits of a trace. They bound the memory of a replay of a damaged file.
const (
	maxDurationMs = 7 * 24 * 3600 * 1000
	maxTokens     = 4 << 20
	maxAgentDepth = 8
)

// validator checks lines as they are decoded.
type validator struct {
	t          *Trace
	headerSeen bool
	models     map[string]bool
	services   map[string]bool
	upstreams  map[string]bool
	domains    map[string]bool
	programs   map[string]int // number of steps
	keys       map[string]bool
	lineNo     int
	crashes    []crashLine
}

// crashLine is a crash_request fault, whose program may come later in the file.
type crashLine struct {
	Fault
	line int
}

func newValidator(t *Trace) *validator {
	return &validator{
		t: t, models: map[string]bool{}, services: map[string]bool{}, upstreams: map[string]bool{},
		domains: map[string]bool{}, programs: map[string]int{}, keys: map[string]bool{},
	}
}

func (v *validator) line(text []byte) error {
	var kind struct {
		Kind string `json:"kind"`
	}
	if err := json.Unmarshal(text, &kind); err != nil {
		return err
	}
	if !v.headerSeen && kind.Kind != KindHeader {
		return fmt.Errorf("first line has kind %q, want %q", kind.Kind, KindHeader)
	}
	switch kind.Kind {
	case KindHeader:
		if v.headerSeen {
			return errors.New("second header line")
		}
		if err := strict(text, &v.t.Header); err != nil {
			return err
		}
		v.headerSeen = true
		return v.header()
	case KindProgram:
		var p Program
		if err := strict(text, &p); err != nil {
			return err
		}
		if err := v.program(&p); err != nil {
			return errors.Wrapf(err, "program %q", p.ID)
		}
		v.t.Programs = append(v.t.Programs, p)
		return nil
	case KindFault:
		var f Fault
		if err := strict(text, &f); err != nil {
			return err
		}
		if err := v.fault(&f); err != nil {
			return errors.Wrapf(err, "fault %q", f.Fault)
		}
		v.t.Faults = append(v.t.Faults, f)
		return nil
	}
	return fmt.Errorf("unknown kind %q", kind.Kind)
}

func (v *validator) header() error {
	h := &v.t.Header
	d := &h.Deployment
	switch {
	case h.Format != FormatVersion:
		return fmt.Errorf("format %d is not supported, want %d", h.Format, FormatVersion)
	case h.DurationMs <= 0 || h.DurationMs > maxDurationMs:
		return fmt.Errorf("duration_ms %d is outside 1..%d", h.DurationMs, maxDurationMs)
	case len(d.Regions) == 0:
		return errors.New("no regions")
	case len(d.Owners) == 0:
		return errors.New("no region with an owner")
	case d.Config.SlotCount <= 0 || d.Config.SlotCount > 4096:
		return fmt.Errorf("slot_count %d is outside 1..4096", d.Config.SlotCount)
	case len(d.Config.Profiles) == 0:
		return errors.New("no profiles")
	case d.Link.BitsPerS < 0 || d.Link.OneWayMs < 0 || d.DomainMs < 0 || d.ClientMs < 0:
		return errors.New("negative link rate or delay")
	}
	for _, o := range d.Owners {
		if !slices.Contains(d.Regions, o) {
			return fmt.Errorf("owner region %q is not a region", o)
		}
	}
	for i, u := range d.Upstreams {
		if err := v.upstream(u); err != nil {
			return errors.Wrapf(err, "upstream %d %q", i+1, u.ID)
		}
	}
	for name, n := range d.Prefixes {
		if n < 0 || n > maxTokens {
			return fmt.Errorf("prefix %q has %d tokens, outside 0..%d", name, n, maxTokens)
		}
	}
	return nil
}

func (v *validator) upstream(u core.UpstreamInfo) error {
	switch {
	case u.ID == "":
		return errors.New("no id")
	case v.upstreams[string(u.ID)]:
		return errors.New("id is used twice")
	case !slices.Contains(v.t.Header.Deployment.Regions, u.Region):
		return fmt.Errorf("region %q is not a region of the deployment", u.Region)
	case u.FailureDomain == "":
		return errors.New("no failure domain")
	case u.Slots <= 0 || u.Slots > 4096:
		return fmt.Errorf("slots %d is outside 1..4096", u.Slots)
	}
	v.upstreams[string(u.ID)] = true
	v.domains[u.FailureDomain] = true
	switch u.Kind {
	case core.KindModel:
		if u.PrefillRate <= 0 || u.DecodeRate <= 0 || u.CacheTokens <= 0 {
			return errors.New("a model engine needs prefill_rate, decode_rate and cache_tokens")
		}
		for _, m := range u.Models {
			v.models[m] = true
		}
	case core.KindService:
		v.services[u.Service] = true
	default:
		return fmt.Errorf("unknown kind %q", u.Kind)
	}
	return nil
}

func (v *validator) program(p *Program) error {
	h := &v.t.Header
	switch {
	case p.ID == "":
		return errors.New("no id")
	case p.AtMs < 0 || p.AtMs > h.DurationMs:
		return fmt.Errorf("at_ms %d is outside 0..%d", p.AtMs, h.DurationMs)
	case p.Caller == "":
		return errors.New("no caller")
	case !slices.Contains(h.Deployment.Regions, p.Region):
		return fmt.Errorf("unknown region %q", p.Region)
	}
	if _, ok := h.Deployment.Config.Profiles[p.Profile]; !ok {
		return fmt.Errorf("unknown profile %q", p.Profile)
	}
	if _, dup := v.programs[p.ID]; dup {
		return errors.New("id is used twice")
	}
	if n := len(v.t.Programs); n > 0 && v.t.Programs[n-1].AtMs > p.AtMs {
		return fmt.Errorf("at_ms %d is before the previous program's %d", p.AtMs, v.t.Programs[n-1].AtMs)
	}
	v.programs[p.ID] = len(p.Steps)
	return v.agent(&p.Agent, p.ID, 0)
}

func (v *validator) agent(a *Agent, id string, depth int) error {
	if depth > maxAgentDepth {
		return fmt.Errorf("sub-agents are nested deeper than %d", maxAgentDepth)
	}
	if len(a.Steps) == 0 {
		return errors.New("no steps")
	}
	if a.Prefix != "" {
		if _, ok := v.t.Header.Deployment.Prefixes[a.Prefix]; !ok {
			return fmt.Errorf("unknown prefix %q", a.Prefix)
		}
	}
	for i := range a.Steps {
		if err := v.step(a, &a.Steps[i], id, depth); err != nil {
			return errors.Wrapf(err, "step %d", i)
		}
	}
	return nil
}

func (v *validator) step(a *Agent, s *Step, id string, depth int) error {
	kinds := 0
	if s.Out != 0 || s.New != 0 {
		kinds++
	}
	if s.Service != "" {
		kinds++
	}
	if len(s.Agents) > 0 {
		kinds++
	}
	switch {
	case kinds != 1:
		return errors.New("want exactly one of a model call, a service call and sub-agents")
	case s.PauseMs < 0 || s.PauseMs > maxDurationMs:
		return fmt.Errorf("pause %d is outside 0..%d", s.PauseMs, maxDurationMs)
	case s.WorkMs < 0 || s.WorkMs > maxDurationMs || s.ResendMs < 0 || s.ResendMs > maxDurationMs:
		return errors.New("ms or resend is out of range")
	case s.Service == "" && (s.Key != "" || s.Op != "" || s.WorkMs != 0 || s.ResendMs != 0):
		return errors.New("op, key, ms and resend belong to service calls")
	}
	if s.Service != "" {
		if !v.services[s.Service] {
			return fmt.Errorf("no upstream offers service %q", s.Service)
		}
		if s.Key != "" {
			k := id + "/" + s.Key
			if v.keys[k] {
				return fmt.Errorf("key %q is used twice in the program", s.Key)
			}
			v.keys[k] = true
		}
		return nil
	}
	if len(s.Agents) > 0 {
		for i := range s.Agents {
			if err := v.agent(&s.Agents[i], id, depth+1); err != nil {
				return errors.Wrapf(err, "sub-agent %d", i)
			}
		}
		return nil
	}
	if s.Out <= 0 || s.Out > maxTokens || s.New < 0 || s.New > maxTokens {
		return fmt.Errorf("new %d or out %d is outside 0..%d, or out is 0", s.New, s.Out, maxTokens)
	}
	if !v.models[a.Model] {
		return fmt.Errorf("no upstream has model %q", a.Model)
	}
	return nil
}

func (v *validator) fault(f *Fault) error {
	if f.AtMs < 0 || f.AtMs > maxDurationMs || f.ForMs < 0 || f.ForMs > maxDurationMs || f.EveryMs < 0 || f.EveryMs > maxDurationMs {
		return errors.New("at_ms, for_ms or every_ms is out of range")
	}
	switch f.Fault {
	case FaultUpstreamCrash, FaultHang:
		if !v.upstreams[f.Upstream] {
			return fmt.Errorf("unknown upstream %q", f.Upstream)
		}
	case FaultDomainLost:
		if !v.domains[f.Domain] {
			return fmt.Errorf("unknown failure domain %q", f.Domain)
		}
	case FaultStoreOutage, FaultRegionSplit, FaultRollingReplace:
	case FaultCrashRequest:
		v.crashes = append(v.crashes, crashLine{*f, v.lineNo})
		return nil
	default:
		return fmt.Errorf("unknown fault %q", f.Fault)
	}
	if f.ForMs == 0 {
		return errors.New("for_ms is missing")
	}
	return nil
}

// finish checks references to programs that may follow the fault's line.
func (v *validator) finish() error {
	for _, f := range v.crashes {
		steps, ok := v.programs[f.Program]
		if !ok {
			return &LineError{f.line, fmt.Errorf("fault %s names unknown program %q", f.Fault.Fault, f.Program)}
		}
		if f.Step < 0 || f.Step >= steps {
			return &LineError{f.line, fmt.Errorf("fault %s names step %d of program %q, which has %d", f.Fault.Fault, f.Step, f.Program, steps)}
		}
	}
	return nil
}
