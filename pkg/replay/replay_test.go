package replay

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/core/policy"
	"github.com/yuccaspindle/yuccaspindle/pkg/report"
	"github.com/yuccaspindle/yuccaspindle/pkg/trace"
)

// short returns the first part of a generated trace, so that tests stay fast.
// The first fault is moved to the end of its first minute.
func short(t *testing.T, deployment, scenario string, seconds int64) *trace.Trace {
	t.Helper()
	s, err := trace.ScenarioByName(scenario)
	if err != nil {
		t.Fatal(err)
	}
	tr, err := trace.Generate(deployment, s, 1)
	if err != nil {
		t.Fatal(err)
	}
	for i := range tr.Programs {
		if tr.Programs[i].AtMs >= seconds*1000 {
			tr.Programs = tr.Programs[:i]
			break
		}
	}
	tr.Header.DurationMs = seconds * 1000
	if len(tr.Faults) > 0 {
		shift := tr.Faults[0].AtMs - 60_000
		for i := range tr.Faults {
			tr.Faults[i].AtMs -= shift
		}
	}
	return tr
}

func mustRun(t *testing.T, tr *trace.Trace, o Options) *Result {
	t.Helper()
	r, err := Run(tr, o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against results that depend on map order, the wall clock or an
// unseeded source.
func TestSameSeedSameBytes(t *testing.T) {
	for _, name := range policy.Names() {
		tr := short(t, trace.Brackenfield, "region-split", 180)
		var texts [2][]byte
		for i := range texts {
			text, err := json.Marshal(mustRun(t, tr, Options{Policy: name, Seed: 5, Events: true}))
			if err != nil {
				t.Fatal(err)
			}
			texts[i] = text
		}
		if !bytes.Equal(texts[0], texts[1]) {
			t.Errorf("policy %s: two replays with one seed differ", name)
		}
	}
}

// Guards against a broken invariant under each fault: every call is answered,
// in order, effects happen once, and nothing stays pinned.
func TestInvariantsUnderFaults(t *testing.T) {
	for _, s := range []string{"domain-lost", "rolling-replace", "store-outage", "crash-request", "region-split", "endless"} {
		tr := short(t, trace.Lango, s, 300)
		r := mustRun(t, tr, Options{Policy: policy.Default, Seed: 2})
		if r.Unfinished != 0 || r.Unanswered != 0 || r.OrderViolations != 0 || r.BudgetOverruns != 0 ||
			r.DuplicateEffects != 0 || r.LostEffects != 0 || r.UntrueRefusals != 0 || r.PinnedAtEnd != 0 || r.LateWork != 0 {
			t.Errorf("%s: %+v", s, r)
		}
		if r.Completed < len(tr.Programs)*9/10 {
			t.Errorf("%s: %d of %d programs completed", s, r.Completed, len(tr.Programs))
		}
	}
}

// Guards against a count of effects that misses a duplicate, a loss, an unknown
// outcome or an untrue refusal, or calls that were never answered.
func TestDuplicateAndLostEffectsAreCounted(t *testing.T) {
	s := &sim{config: core.Config{Services: map[string]core.ServiceSpec{"booking": {NonIdempotent: []string{"book"}}}}}
	m := newMeasures(s)
	book := func(request string) *pending {
		return &pending{request: request, step: &trace.Step{Service: "booking", Op: "book"}}
	}
	twice, never, unknown, denied := book("a"), book("b"), book("c"), book("d")
	for _, p := range []*pending{twice, never, unknown, denied} {
		m.issued(p)
	}
	m.effect(twice)
	m.effect(twice)
	m.effectOf(twice).acked = true
	m.effectOf(never).acked = true
	m.effectOf(unknown).unknown = true
	m.effectOf(denied).refused = true
	m.effect(denied)
	if d, l, u, f := m.effectCounts(); d != 1 || l != 1 || u != 1 || f != 1 {
		t.Errorf("duplicate %d, lost %d, unknown %d, untrue %d; want 1 of each", d, l, u, f)
	}
	if n := len(m.unanswered); n != 4 {
		t.Errorf("%d calls without an answer, want 4", n)
	}
}

// Guards against a checker of stated outcomes that lets a missed bound, a
// missing figure or a missing baseline pass.
func TestCheckFailsOnPlantedMiss(t *testing.T) {
	limit := func(v float64) *float64 { return &v }
	var results []*Result
	for i, name := range policy.Names() {
		r := &Result{Policy: name, Trace: "x", RefusedMinutes: 10 * (i + 1)}
		r.Slowdown.P95 = 1.2
		results = append(results, r)
	}
	ratio := trace.Bound{Metric: "refused_minutes", Policy: policy.Default, MaxRatio: limit(0.5), Goal: "g"}
	for _, c := range []struct {
		name   string
		bound  trace.Bound
		misses int
	}{
		{"met", trace.Bound{Metric: "slowdown.p95", Policy: policy.Default, Max: limit(1.3), Goal: "g"}, 0},
		{"planted miss", trace.Bound{Metric: "slowdown.p95", Policy: policy.Default, Max: limit(1.1), Goal: "g"}, 1},
		{"any policy", trace.Bound{Metric: "refused_minutes", Policy: "any", Max: limit(25), Goal: "g"}, 3},
		{"minimum", trace.Bound{Metric: "completed", Policy: policy.Default, Min: limit(1), Goal: "g"}, 1},
		{"ratio met", ratio, 0},
	} {
		misses, err := Check(&trace.Outcomes{Trace: "x", Bounds: []trace.Bound{c.bound}}, results)
		if err != nil || len(misses) != c.misses {
			t.Errorf("%s: %d misses, error %v; want %d", c.name, len(misses), err, c.misses)
		}
	}
	results[0].RefusedMinutes = 11 // the best baseline has 20
	misses, err := Check(&trace.Outcomes{Trace: "x", Bounds: []trace.Bound{ratio}}, results)
	if err != nil || len(misses) != 1 || !strings.Contains(misses[0].String(), "refused_minutes is 11, the limit is 10") {
		t.Errorf("ratio above the limit: %v, %v", misses, err)
	}
	if _, err := Check(&trace.Outcomes{Trace: "x", Bounds: []trace.Bound{ratio}}, results[:3]); err == nil {
		t.Error("a missing baseline is not reported")
	}
	ratio.Metric = "refused_hours"
	if _, err := Check(&trace.Outcomes{Trace: "x", Bounds: []trace.Bound{ratio}}, results); err == nil {
		t.Error("an unknown figure is not reported")
	}
}

// Guards against refused minutes in the result that differ from those that the
// burn report computes from the events of the same replay.
func TestRefusedMinutesAgreeWithBurnReport(t *testing.T) {
	r := mustRun(t, short(t, trace.Lango, "overload", 420), Options{Policy: policy.NameRoundRobin, Seed: 1, Events: true})
	b, err := report.Compute(r.Events, report.DefaultOptions())
	if err != nil {
		t.Fatal(err)
	}
	if r.RefusedMinutes == 0 || b.Total.RefusedMinutes != r.RefusedMinutes || b.Total.Refusals != r.Refusals {
		t.Errorf("replay: %d refused minutes, %d refusals; report: %d, %d", r.RefusedMinutes, r.Refusals, b.Total.RefusedMinutes, b.Total.Refusals)
	}
}

// Guards against a request that keeps crashing upstreams after its second
// crash, which must put it into quarantine (section 5 of docs/design.md). The
// trace has one such request and no other crash.
func TestCrashRequestStopsAfterTwoCrashes(t *testing.T) {
	tr := short(t, trace.Lango, "crash-request", 240)
	tr.Faults = tr.Faults[:1]
	r := mustRun(t, tr, Options{Policy: policy.Default, Seed: 1})
	if r.Crashes > 2 || r.Quarantined != 1 {
		t.Errorf("%d crashes, %d programs quarantined; want at most 2 and 1", r.Crashes, r.Quarantined)
	}
}

// Guards against a policy that is told of calls before they are made: changing
// the end of a program must not change anything that happened before.
func TestPolicyDoesNotSeeAhead(t *testing.T) {
	tr := short(t, trace.Lango, "peak", 120)
	before := mustRun(t, tr, Options{Policy: policy.Default, Seed: 1, Events: true}).Events
	// The program whose last call starts latest; its earlier calls end before.
	last := tr.Programs[len(tr.Programs)/2]
	steps := last.Steps
	answered, until := 0, 0
	for i, e := range before {
		if e.Program == last.ID && e.Scope == report.ScopeCall {
			if answered++; answered == len(steps)-1 {
				until = i
			}
		}
	}
	if until == 0 {
		t.Fatalf("program %s made %d of %d calls", last.ID, answered, len(steps))
	}
	changed := &steps[len(steps)-1]
	changed.New, changed.Out = changed.New+5000, changed.Out+900
	after := mustRun(t, tr, Options{Policy: policy.Default, Seed: 1, Events: true}).Events
	for i := range until + 1 {
		if before[i] != after[i] {
			t.Fatalf("event %d of %d differs after a change of the future: %+v, %+v", i, until, before[i], after[i])
		}
	}
	if len(after) > until && len(before) == len(after) && before[len(before)-1] == after[len(after)-1] {
		t.Error("the change of the last call has no effect, so the test compares nothing")
	}
}

// Guards against a history check that accepts lost, swapped or foreign turns.
func TestHistoryCheck(t *testing.T) {
	for _, c := range []struct {
		name              string
		history, answered string
		ok                bool
	}{
		{"same", "a b c", "a b c", true},
		{"one more under way", "a b c", "a b", true},
		{"lost turn", "a c", "a b c", false},
		{"lost last turn", "a b", "a b c", false},
		{"swapped", "b a c", "a b c", false},
		{"foreign", "a x b", "a b", false},
	} {
		if got := startsWith(strings.Fields(c.history), strings.Fields(c.answered)); got != c.ok {
			t.Errorf("%s: %v, want %v", c.name, got, c.ok)
		}
	}
}
