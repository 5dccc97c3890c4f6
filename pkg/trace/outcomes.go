package trace

import (
	"encoding/json"
	"os"
	"strings"

	"github.com/pkg/errors"
)

// Outcomes are the bounds that a replay of a trace has to keep.
type Outcomes struct {
	Trace  string  `json:"trace"`
	Bounds []Bound `json:"bounds"`
}

// Bound limits one figure of a replay result. Metric is the path of the figure
// in the result object, such as "slowdown.p95".
type Bound struct {
	Metric string `json:"metric"`
	Policy string `json:"policy"` // "default", or "any" for every policy
	// Max and Min limit the figure itself. MaxRatio limits its ratio to the
	// smallest figure among the baselines on the same trace.
	Max      *float64 `json:"max,omitempty"`
	Min      *float64 `json:"min,omitempty"`
	MaxRatio *float64 `json:"max_ratio_to_best_baseline,omitempty"`
	Goal     string   `json:"goal"` // the goal or invariant of docs/design.md, section 2
}

// OutcomesPath returns the path of the stated outcomes of a trace file.
func OutcomesPath(tracePath string) string {
	return strings.TrimSuffix(tracePath, ".jsonl") + ".outcomes.json"
}

// LoadOutcomes reads stated outcomes.
func LoadOutcomes(path string) (*Outcomes, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read outcomes")
	}
	var o Outcomes
	if err := strict(text, &o); err != nil {
		return nil, errors.Wrapf(err, "outcomes %s", path)
	}
	for i, b := range o.Bounds {
		if b.Metric == "" || b.Policy == "" || b.Goal == "" || (b.Max == nil && b.Min == nil && b.MaxRatio == nil) {
			return nil, errors.Errorf("outcomes %s: bound %d needs metric, policy, goal and a limit", path, i+1)
		}
	}
	return &o, nil
}

// StatedOutcomes returns the bounds of a generated trace. They come from the
// goals and the invariants of docs/design.md and never from a measurement.
func StatedOutcomes(deployment string, s Scenario) Outcomes {
	lim := func(v float64) *float64 { return &v }
	o := Outcomes{Trace: deployment + "-" + s.Name}
	add := func(b Bound) { o.Bounds = append(o.Bounds, b) }

	add(Bound{Metric: "duplicate_effects", Policy: "any", Max: lim(0), Goal: "invariant 7: at most once; goal: duplicate effects 0"})
	add(Bound{Metric: "lost_effects", Policy: "any", Max: lim(0), Goal: "goal: lost effects 0"})
	add(Bound{Metric: "untrue_refusals", Policy: "any", Max: lim(0), Goal: "invariant 6: a refusal that says not run means that the request did not run"})
	add(Bound{Metric: "order_violations", Policy: "any", Max: lim(0), Goal: "invariant 1: calls run in the order in which the program made them"})
	add(Bound{Metric: "budget_overruns", Policy: "any", Max: lim(0), Goal: "invariant 3: a program never exceeds its budget"})
	add(Bound{Metric: "pinned_tokens_at_end", Policy: "any", Max: lim(0), Goal: "invariant 4: no engine memory stays allocated to programs that no longer exist"})
	add(Bound{Metric: "unanswered", Policy: "any", Max: lim(0), Goal: "invariant 5: a caller receives the answer to its request"})
	add(Bound{Metric: "refusal_ms.p99", Policy: "default", Max: lim(10), Goal: "goal: a refusal is returned within 10 ms"})

	switch s.Name {
	case "ordinary", "domain-lost":
		add(Bound{Metric: "refusals", Policy: "default", Max: lim(0), Goal: "goal: no refusals in the ordinary hour, including with one of three failure domains lost"})
	case "rolling-replace":
		add(Bound{Metric: "failed", Policy: "default", Max: lim(0), Goal: "invariant 9: a planned stop interrupts no request"})
		add(Bound{Metric: "late_work_on_leaving", Policy: "default", Max: lim(0), Goal: "invariant 8: a leaving upstream receives no new work 2 s after it announces that it is leaving"})
	case "crash-request":
		add(Bound{Metric: "crashes", Policy: "any", Max: lim(5), Goal: "section 5: a request that was running in two crashes is quarantined; the trace has two such requests and one crash of its own"})
	case "peak":
		add(Bound{Metric: "slowdown.p95", Policy: "default", Max: lim(1.3), Goal: "goal: p95 slowdown at most 1.3 on the peak trace"})
	case "overload":
		add(Bound{Metric: "slowdown_by_class.interactive.p95", Policy: "default", Max: lim(2.0), Goal: "goal: p95 slowdown of the interactive class at most 2.0 at 1.5 times the peak"})
		add(Bound{Metric: "refused_minutes", Policy: "default", MaxRatio: lim(0.5), Goal: "goal: refused customer-minutes under overload at most 0.5 of the best baseline"})
	}
	if s.Name == "peak" || s.Name == "overload" {
		add(Bound{Metric: "latency_ms.p95", Policy: "default", MaxRatio: lim(0.6), Goal: "goal: p95 program latency at most 0.6 of the best baseline on the same trace"})
	}
	if s.Name == "peak" || s.Name == "overload" || s.Name == "long-pauses" {
		add(Bound{Metric: "wasted_cache_tokens", Policy: "default", MaxRatio: lim(0.3), Goal: "goal: wasted cache at most 0.3 of the best baseline on the same trace"})
	}
	return o
}

// Encode returns the file form of the outcomes.
func (o Outcomes) Encode() ([]byte, error) {
	text, err := json.MarshalIndent(o, "", "  ")
	return append(text, '\n'), errors.Wrap(err, "encode outcomes")
}
