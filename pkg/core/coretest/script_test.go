package coretest

import (
	"encoding/json"
	"fmt"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// baseConfig returns a configuration with one service, which has a
// non-idempotent operation.
func baseConfig() core.Config {
	return core.Config{
		Version: 1, SlotCount: 16, Regions: []string{"dar"}, DefaultProfileName: "std",
		Profiles: map[string]core.Profile{
			"std": {
				Name: "std", CallTimeout: 30 * time.Second, RefusalRetry: 2 * time.Second,
				HistoryRetention: time.Hour, IdleTimeout: 10 * time.Minute,
			},
		},
		Services: map[string]core.ServiceSpec{
			"booking": {Name: "booking", NonIdempotent: []string{"charge"}, SpendMicroPerCall: 100},
		},
	}
}

// script runs one core with the commands of a datadriven file. Attempt ids are
// random; the output shows them as a1, a2 and so on in order of appearance.
type script struct {
	c         *core.Core
	policy    *fifoPolicy
	cfg       core.Config
	now       time.Time
	names     map[string]string
	ids       map[string]string
	appended  []core.Record // records appended by the present core, for a takeover
	takeovers int
}

func newScript() *script {
	s := &script{now: startTime, names: map[string]string{}, ids: map[string]string{}, cfg: baseConfig()}
	s.restart("e1.1")
	return s
}

func (s *script) restart(self string) {
	s.policy = newPolicy()
	s.c = core.New(core.Options{Self: core.Incarnation(self), Seed: 1, Policy: s.policy})
}

var attemptID = regexp.MustCompile(`\b[0-9a-f]{32}\b`)

func (s *script) alias(text string) string {
	return attemptID.ReplaceAllStringFunc(text, func(id string) string {
		if s.names[id] == "" {
			s.names[id] = fmt.Sprintf("a%d", len(s.names)+1)
			s.ids[s.names[id]] = id
		}
		return s.names[id]
	})
}

// render prints an effect with its nonzero fields.
func (s *script) render(e core.Effect) string {
	var b strings.Builder
	name := reflect.TypeOf(e).Name()
	if a, ok := e.(core.AppendJournal); ok {
		for _, r := range a.Records {
			s.appended = append(s.appended, r)
			size := len(r.State)
			if r.Kind != core.RecordOpened {
				r.State = nil
			}
			fmt.Fprintf(&b, "Append %s", s.fields(r))
			if size > 0 && r.State == nil {
				b.WriteString(" state=...")
			}
			b.WriteByte('\n')
		}
		return b.String()
	}
	return name + " " + s.fields(e) + "\n"
}

func (s *script) fields(v any) string {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	dec := json.NewDecoder(strings.NewReader(string(raw)))
	dec.UseNumber()
	m := map[string]any{}
	if err := dec.Decode(&m); err != nil {
		panic(err)
	}
	var parts []string
	flatten("", m, &parts)
	return s.alias(strings.Join(parts, " "))
}

func flatten(prefix string, m map[string]any, out *[]string) {
	for _, k := range sortedKeys(m) {
		switch v := m[k].(type) {
		case map[string]any:
			flatten(prefix+k+".", v, out)
		case json.Number:
			if v != "0" {
				*out = append(*out, fmt.Sprintf("%s%s=%s", prefix, k, v))
			}
		case bool:
			if v {
				*out = append(*out, prefix+k)
			}
		case string:
			if t, err := time.Parse(time.RFC3339Nano, v); err == nil {
				if !t.IsZero() && k != "at" {
					*out = append(*out, fmt.Sprintf("%s%s=+%s", prefix, k, t.Sub(startTime)))
				}
			} else if v != "" && k != "message" {
				*out = append(*out, fmt.Sprintf("%s%s=%s", prefix, k, v))
			}
		}
	}
}

// events maps the commands of the scripts to events.
var events = map[string]func() core.Event{
	"tick":       func() core.Event { return &core.Tick{} },
	"open":       func() core.Event { return &core.ProgramOpened{} },
	"end":        func() core.Event { return &core.ProgramEnded{} },
	"cancel":     func() core.Event { return &core.CallCanceled{} },
	"committed":  func() core.Event { return &core.JournalCommitted{} },
	"retained":   func() core.Event { return &core.JournalRetained{} },
	"sealed":     func() core.Event { return &core.JournalSealed{} },
	"started":    func() core.Event { return &core.AttemptStarted{} },
	"done":       func() core.Event { return &core.AttemptDone{} },
	"failed":     func() core.Event { return &core.AttemptFailed{} },
	"resolved":   func() core.Event { return &core.OutcomeResolved{} },
	"upstream":   func() core.Event { return &core.UpstreamChanged{} },
	"state":      func() core.Event { return &core.UpstreamState{} },
	"gone":       func() core.Event { return &core.UpstreamGone{} },
	"crashed":    func() core.Event { return &core.UpstreamCrashed{} },
	"quarantine": func() core.Event { return &core.QuarantineChanged{} },
	"acquired":   func() core.Event { return &core.SlotsAcquired{} },
	"released":   func() core.Event { return &core.SlotsReleased{} },
	"drain":      func() core.Event { return &core.DrainStarted{} },
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "wait":
		dur, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			d.Fatalf(t, "wait: %v", err)
		}
		s.now = s.now.Add(dur)
		return s.step(core.Tick{At: core.At{Time: s.now}})
	case "policy":
		if err := json.Unmarshal([]byte(d.Input), &struct {
			Max     *int           `json:"max_active"`
			Retries *int           `json:"retries"`
			Delay   *time.Duration `json:"delay"`
			Pin     *time.Duration `json:"pin"`
			Blind   *bool          `json:"blind"`
		}{&s.policy.maxActive, &s.policy.retries, &s.policy.delay, &s.policy.pin, &s.policy.ignoresLeaving}); err != nil {
			d.Fatalf(t, "policy: %v", err)
		}
		return ""
	case "config":
		// The input changes only the fields that it names, also in profile std.
		std := s.cfg.Profiles["std"]
		in := struct {
			*core.Config
			Std *core.Profile `json:"std"`
		}{&s.cfg, &std}
		if err := json.Unmarshal([]byte(d.Input), &in); err != nil {
			d.Fatalf(t, "config: %v", err)
		}
		s.cfg.Profiles = map[string]core.Profile{"std": std}
		return s.step(core.ConfigApplied{At: core.At{Time: s.now}, Config: s.cfg})
	case "start":
		// All slots in epoch 1, one model and one booking upstream.
		out := s.step(core.ConfigApplied{At: core.At{Time: s.now}, Config: s.cfg})
		out += s.step(core.UpstreamChanged{At: core.At{Time: s.now}, Info: core.UpstreamInfo{ID: "m1", Kind: core.KindModel}})
		out += s.step(core.UpstreamChanged{At: core.At{Time: s.now}, Info: core.UpstreamInfo{ID: "b1", Kind: core.KindService, Service: "booking", SidecarIncarnation: "b1.1"}})
		return out + s.step(core.SlotsAcquired{At: core.At{Time: s.now}, Slots: allSlots(16, 1)})
	case "takeover":
		// A new core acquires all slots with the records that the present core
		// has appended, or with a snapshot of it if the takeover is planned.
		planned := d.HasArg("planned")
		records := s.appended
		if planned {
			records = s.c.Snapshot(nil)
		}
		s.takeovers++
		ep := core.Epoch(s.takeovers + 1)
		s.appended = nil
		s.restart("e2.1")
		out := s.step(core.ConfigApplied{At: core.At{Time: s.now}, Config: s.cfg})
		out += s.step(core.UpstreamChanged{At: core.At{Time: s.now}, Info: core.UpstreamInfo{ID: "m1", Kind: core.KindModel}})
		out += s.step(core.UpstreamChanged{At: core.At{Time: s.now}, Info: core.UpstreamInfo{ID: "b1", Kind: core.KindService, Service: "booking", SidecarIncarnation: "b1.1"}})
		return out + s.step(core.SlotsAcquired{At: core.At{Time: s.now}, Slots: allSlots(16, ep), Records: records, Planned: planned})
	case "history":
		var b strings.Builder
		for _, turn := range s.c.History(core.ProgramID(d.CmdArgs[0].Key)) {
			fmt.Fprintf(&b, "%d request=%s answer=%s\n", turn.Number, turn.Request, turn.Answer)
		}
		return b.String()
	case "program":
		st, ok := s.c.Program(core.ProgramID(d.CmdArgs[0].Key))
		if !ok {
			return "unknown\n"
		}
		return s.fields(st) + "\n"
	case "call":
		var in core.Call
		s.parse(t, d, &in)
		if in.Kind == "" {
			in.Kind = core.KindModel
		}
		return s.step(core.CallArrived{At: core.At{Time: s.now}, Call: in})
	}
	mk, ok := events[d.Cmd]
	if !ok {
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
	e := mk()
	s.parse(t, d, e)
	v := reflect.ValueOf(e).Elem()
	v.FieldByName("At").Set(reflect.ValueOf(core.At{Time: s.now}))
	return s.step(v.Interface().(core.Event))
}

// parse fills an event from the arguments of a command and its JSON input.
func (s *script) parse(t *testing.T, d *datadriven.TestData, into any) {
	m := map[string]json.RawMessage{}
	if d.Input != "" {
		if err := json.Unmarshal([]byte(d.Input), &m); err != nil {
			d.Fatalf(t, "%s: %v", d.Cmd, err)
		}
	}
	for _, a := range d.CmdArgs {
		val := "true"
		if len(a.Vals) > 0 {
			val = a.Vals[0]
		}
		if id, ok := s.ids[val]; ok && a.Key == "attempt" {
			val = id
		}
		if !json.Valid([]byte(val)) || a.Key == "id" || a.Key == "key" {
			q, _ := json.Marshal(val)
			val = string(q)
		}
		m[a.Key] = json.RawMessage(val)
	}
	if b, ok := m["body"]; ok { // an answer
		var text string
		if json.Unmarshal(b, &text) != nil {
			text = string(b)
		}
		answer, _ := json.Marshal(core.Answer{Body: []byte(text), Status: 200, PromptTokens: 10, OutputTokens: 5})
		m["answer"] = answer
	}
	if b, ok := m["request"]; ok {
		var text string
		_ = json.Unmarshal(b, &text)
		m["request"], _ = json.Marshal([]byte(text))
	}
	raw, _ := json.Marshal(m)
	if err := json.Unmarshal(raw, into); err != nil {
		d.Fatalf(t, "%s: %v", d.Cmd, err)
	}
}

func (s *script) step(e core.Event) string {
	var b strings.Builder
	for _, f := range s.c.Step(e) {
		b.WriteString(s.render(f))
	}
	return b.String()
}

func allSlots(n int, ep core.Epoch) map[core.Slot]core.Epoch {
	m := make(map[core.Slot]core.Epoch, n)
	for i := range n {
		m[core.Slot(i)] = ep
	}
	return m
}

// Guards against unintended changes of the effects of a sequence of events.
// Each file in testdata describes its case.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "../testdata", func(t *testing.T, path string) {
		s := newScript()
		datadriven.RunTest(t, path, s.run)
	})
}
