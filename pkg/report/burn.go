package report

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/pkg/errors"
)

// Options set the objectives of a burn report.
type Options struct {
	// Objective is the share of caller-minutes without a refusal.
	Objective float64
	// Window is the period of the error budget; it ends at End.
	Window time.Duration
	// End is the end of the report; zero means the last event.
	End time.Time
	// LatencyTargets gives the target of a program's latency per class, and
	// LatencyObjective the share of programs that must meet it.
	LatencyTargets   map[string]time.Duration
	LatencyObjective float64
	// Worst is the number of worst minutes listed.
	Worst int
}

// DefaultOptions returns the objectives used when the operator names none.
func DefaultOptions() Options {
	return Options{
		Objective: 0.999, Window: 30 * 24 * time.Hour, LatencyObjective: 0.95, Worst: 10,
		LatencyTargets: map[string]time.Duration{
			"interactive": time.Minute, "standard": 5 * time.Minute, "batch": 30 * time.Minute,
		},
	}
}

// BurnWindow is one of the windows over which the burn rate is stated.
type BurnWindow struct {
	Name   string
	Length time.Duration
}

// BurnWindows returns the windows from the shortest to the longest.
func BurnWindows() []BurnWindow {
	return []BurnWindow{{"5m", 5 * time.Minute}, {"1h", time.Hour}, {"6h", 6 * time.Hour}, {"3d", 72 * time.Hour}}
}

// Rate is the burn rate of one window: the share of refused caller-minutes
// divided by the share that the objective allows. At 1 the budget lasts exactly
// for its period.
type Rate struct {
	Window string  `json:"window"`
	Now    float64 `json:"now"` // in the window that ends at the report's end
	Max    float64 `json:"max"` // highest over all windows of this length
}

// Row is the state of the objective for a profile, a caller or the whole.
type Row struct {
	Name           string  `json:"name"`
	Minutes        int     `json:"caller_minutes"`         // distinct caller-minutes with any outcome
	RefusedMinutes int     `json:"refused_caller_minutes"` // distinct caller-minutes with a refusal
	Refusals       int     `json:"refusals"`
	BudgetMinutes  float64 `json:"budget_minutes"` // refused caller-minutes that the objective allows
	BudgetSpent    float64 `json:"budget_spent"`   // share of the budget; above 1 when overdrawn
	BudgetLeft     float64 `json:"budget_left"`
	Burn           []Rate  `json:"burn"`
	Unknown        int     `json:"unknown_effects"`
	Failed         int     `json:"failed"`
	Programs       int     `json:"programs"`    // programs that ended well
	LatencyP95Ms   float64 `json:"p95_ms"`      // of these programs
	LatencyMet     float64 `json:"latency_met"` // share of these programs within their class's target
	LatencyOK      bool    `json:"latency_objective_met"`
}

// Minute is one of the worst minutes.
type Minute struct {
	Time    time.Time `json:"time"`
	Refused int       `json:"refused_callers"`
	Active  int       `json:"active_callers"`
	Causes  []Cause   `json:"causes"` // most frequent first
}

// Cause is a cause of refusals with their number.
type Cause struct {
	Cause string `json:"cause"`
	Count int    `json:"count"`
}

// Burn is the whole report.
type Burn struct {
	From             time.Time `json:"from"`
	To               time.Time `json:"to"`
	Objective        float64   `json:"objective"`
	LatencyObjective float64   `json:"latency_objective"`
	Events           int       `json:"events"`
	Total            Row       `json:"total"`
	Profiles         []Row     `json:"profiles"`
	Callers          []Row     `json:"callers"` // most refused minutes first
	Worst            []Minute  `json:"worst_minutes"`

	series    *group // of the total, for the plots
	latencies map[string][]float64
}

// callerMinute is one minute of one caller.
type callerMinute struct {
	caller string
	minute int64
}

// group collects the events of one row.
type group struct {
	minutes   map[callerMinute]bool // true if refused
	refusals  int
	unknown   int
	failed    int
	met       int
	latencies []float64

	first        int64 // minute of active[0]
	active, bad  []int // caller-minutes per minute
	sumAct, sumB []int // prefix sums, one longer
}

func minuteOf(t time.Time) int64 { return t.Unix() / 60 }

func (g *group) add(e *Event, target time.Duration, hasTarget bool) {
	k := callerMinute{e.Caller, minuteOf(e.Time)}
	g.minutes[k] = g.minutes[k] || e.Result == ResultRefused
	switch {
	case e.Result == ResultRefused:
		g.refusals++
	case e.Result == ResultUnknown:
		g.unknown++
	case e.Result == ResultFailed:
		g.failed++
	case e.Scope == ScopeProgram:
		g.latencies = append(g.latencies, e.LatencyMs)
		if !hasTarget || e.LatencyMs <= float64(target)/float64(time.Millisecond) {
			g.met++
		}
	}
}

// index lays the caller-minutes out along time.
func (g *group) index(first, last int64) {
	n := int(last-first) + 1
	g.first, g.active, g.bad = first, make([]int, n), make([]int, n)
	for k, refused := range g.minutes {
		g.active[k.minute-first]++
		if refused {
			g.bad[k.minute-first]++
		}
	}
	g.sumAct, g.sumB = make([]int, n+1), make([]int, n+1)
	for i := range n {
		g.sumAct[i+1] = g.sumAct[i] + g.active[i]
		g.sumB[i+1] = g.sumB[i] + g.bad[i]
	}
}

// rate returns the burn rate of the window that ends with minute i.
func (g *group) rate(i int, w time.Duration, objective float64) float64 {
	from := max(i+1-int(w/time.Minute), 0)
	active, bad := g.sumAct[i+1]-g.sumAct[from], g.sumB[i+1]-g.sumB[from]
	if active == 0 {
		return 0
	}
	return float64(bad) / float64(active) / (1 - objective)
}

func (g *group) row(name string, o Options) Row {
	r := Row{Name: name, Minutes: len(g.minutes), Refusals: g.refusals, Unknown: g.unknown, Failed: g.failed, Programs: len(g.latencies), LatencyMet: 1}
	for _, refused := range g.minutes {
		if refused {
			r.RefusedMinutes++
		}
	}
	r.BudgetMinutes = (1 - o.Objective) * float64(r.Minutes)
	if r.BudgetMinutes > 0 {
		r.BudgetSpent = float64(r.RefusedMinutes) / r.BudgetMinutes
	}
	r.BudgetLeft = 1 - r.BudgetSpent
	for _, w := range BurnWindows() {
		rate := Rate{Window: w.Name, Now: g.rate(len(g.active)-1, w.Length, o.Objective)}
		for i := range g.active {
			rate.Max = max(rate.Max, g.rate(i, w.Length, o.Objective))
		}
		r.Burn = append(r.Burn, rate)
	}
	if r.Programs > 0 {
		sort.Float64s(g.latencies)
		r.LatencyP95Ms = Quantile(g.latencies, 0.95)
		r.LatencyMet = float64(g.met) / float64(r.Programs)
	}
	r.LatencyOK = r.LatencyMet >= o.LatencyObjective
	return r
}

// Quantile returns the nearest-rank quantile of sorted values, 0 if there are
// none.
func Quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	i := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[min(max(i, 0), len(sorted)-1)]
}

// maxSpan bounds the window, and so the memory of the per-minute series.
const maxSpan = 366 * 24 * time.Hour

// Compute builds the report of the events inside the window.
func Compute(events []Event, o Options) (*Burn, error) {
	if o.Objective <= 0 || o.Objective >= 1 || o.LatencyObjective <= 0 || o.LatencyObjective > 1 {
		return nil, errors.New("objectives must lie between 0 and 1")
	}
	if o.Window < time.Minute || o.Window > maxSpan {
		return nil, errors.Errorf("window %v is outside %v..%v", o.Window, time.Minute, maxSpan)
	}
	end := o.End
	if end.IsZero() {
		for i := range events {
			if events[i].Time.After(end) {
				end = events[i].Time
			}
		}
	}
	from := end.Add(-o.Window)
	newGroup := func() *group { return &group{minutes: map[callerMinute]bool{}} }
	total, profiles, callers := newGroup(), map[string]*group{}, map[string]*group{}
	causes := map[int64]map[string]int{}
	b := &Burn{To: end.UTC(), Objective: o.Objective, LatencyObjective: o.LatencyObjective, latencies: map[string][]float64{}}
	first, last := minuteOf(end), minuteOf(end)
	for i := range events {
		e := &events[i]
		if !e.Time.After(from) || e.Time.After(end) {
			continue
		}
		b.Events++
		if b.From.IsZero() || e.Time.Before(b.From) {
			b.From = e.Time.UTC()
		}
		first = min(first, minuteOf(e.Time))
		target, has := o.LatencyTargets[e.Class]
		for _, g := range []*group{total, at(profiles, e.Profile, newGroup), at(callers, e.Caller, newGroup)} {
			g.add(e, target, has)
		}
		if e.Result == ResultRefused {
			at(causes, minuteOf(e.Time), func() map[string]int { return map[string]int{} })[e.Cause]++
		}
		if e.Scope == ScopeProgram && e.Result == ResultOK {
			b.latencies[e.Class] = append(b.latencies[e.Class], e.LatencyMs)
		}
	}
	total.index(first, last)
	b.series = total
	b.Total = total.row("all", o)
	b.Profiles = rows(profiles, first, last, o)
	b.Callers = rows(callers, first, last, o)
	b.Worst = worst(total, causes, o.Worst)
	return b, nil
}

func at[K comparable, V any](m map[K]V, k K, create func() V) V {
	v, ok := m[k]
	if !ok {
		v = create()
		m[k] = v
	}
	return v
}

// rows returns the rows of groups, those with the most refused minutes first.
func rows(groups map[string]*group, first, last int64, o Options) []Row {
	out := make([]Row, 0, len(groups))
	for name, g := range groups {
		g.index(first, last)
		out = append(out, g.row(name, o))
	}
	slices.SortFunc(out, func(a, b Row) int {
		if a.RefusedMinutes != b.RefusedMinutes {
			return b.RefusedMinutes - a.RefusedMinutes
		}
		if a.Minutes != b.Minutes {
			return b.Minutes - a.Minutes
		}
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

func worst(g *group, causes map[int64]map[string]int, n int) []Minute {
	out := []Minute{}
	for m, byCause := range causes {
		i := m - g.first
		w := Minute{Time: time.Unix(m*60, 0).UTC(), Refused: g.bad[i], Active: g.active[i]}
		for c, k := range byCause {
			w.Causes = append(w.Causes, Cause{c, k})
		}
		sort.Slice(w.Causes, func(a, b int) bool {
			if w.Causes[a].Count != w.Causes[b].Count {
				return w.Causes[a].Count > w.Causes[b].Count
			}
			return w.Causes[a].Cause < w.Causes[b].Cause
		})
		out = append(out, w)
	}
	sort.Slice(out, func(a, b int) bool {
		if out[a].Refused != out[b].Refused {
			return out[a].Refused > out[b].Refused
		}
		return out[a].Time.Before(out[b].Time)
	})
	return out[:min(n, len(out))]
}
