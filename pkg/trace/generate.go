package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
)

// The loads of the scenarios, as the busy fraction of the engines with perfect
// prefix reuse.
const (
	peakBusy     = 0.80 // the definition of the peak in docs/traces.md
	overloadBusy = 1.5 * peakBusy
	ordinaryBusy = 0.30
)

// Scenario describes one kind of trace.
type Scenario struct {
	Name     string
	Minutes  int
	Busy     float64
	About    string
	burst    float64 // factor of the arrival rate in bursts of 60 s every 5 min
	pause    float64 // factor of the tool pauses; 1 if zero
	only     string  // at Brackenfield, the profile that makes up 80% of the arrivals
	endless  float64 // share of programs whose steps repeat without end
	regional bool    // every region has an owner
	faults   func(t *Trace, r *rand.Rand)
}

// Scenarios returns the scenarios in the order of docs/traces.md.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "ordinary", Minutes: 60, Busy: ordinaryBusy, About: "an ordinary day hour"},
		{Name: "peak", Minutes: 15, Busy: peakBusy, About: "the peak: engines 80% busy"},
		{Name: "overload", Minutes: 15, Busy: overloadBusy, About: "half as much again as the peak"},
		{Name: "bursty", Minutes: 30, Busy: 0.30, burst: 4, About: "an evening with bursts of a minute every five minutes"},
		{Name: "long-pauses", Minutes: 30, Busy: 0.45, pause: 12, only: "consult", About: "long consultations with long tool pauses"},
		{Name: "endless", Minutes: 20, Busy: 0.35, endless: 0.02, About: "loops without end"},
		{Name: "domain-lost-peak", Minutes: 15, Busy: peakBusy, About: "a failure domain lost at the peak", faults: func(t *Trace, _ *rand.Rand) {
			t.Faults = []Fault{{AtMs: 300_000, Fault: FaultDomainLost, ForMs: 240_000, Domain: t.Header.Deployment.Engines()[3].FailureDomain}}
		}},
		{Name: "domain-lost", Minutes: 30, Busy: ordinaryBusy, About: "a failure domain lost in the ordinary hour", faults: func(t *Trace, _ *rand.Rand) {
			t.Faults = []Fault{{AtMs: 600_000, Fault: FaultDomainLost, ForMs: 600_000, Domain: t.Header.Deployment.Engines()[3].FailureDomain}}
		}},
		{Name: "rolling-replace", Minutes: 20, Busy: 0.40, About: "every upstream replaced in turn", faults: func(t *Trace, _ *rand.Rand) {
			t.Faults = []Fault{{AtMs: 120_000, Fault: FaultRollingReplace, EveryMs: 35_000, ForMs: 10_000}}
		}},
		{Name: "store-outage", Minutes: 20, Busy: 0.35, About: "the store is down for five minutes", faults: func(t *Trace, _ *rand.Rand) {
			t.Faults = []Fault{{AtMs: 420_000, Fault: FaultStoreOutage, ForMs: 300_000}}
		}},
		{Name: "crash-request", Minutes: 15, Busy: 0.35, About: "requests that crash each upstream that runs them, and a hang", faults: crashFaults},
		{Name: "region-split", Minutes: 20, Busy: 0.35, regional: true, About: "the regions lose contact for four minutes", faults: func(t *Trace, _ *rand.Rand) {
			t.Faults = []Fault{{AtMs: 420_000, Fault: FaultRegionSplit, ForMs: 240_000}}
		}},
	}
}

// ScenarioByName returns a scenario.
func ScenarioByName(name string) (Scenario, error) {
	var names []string
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, nil
		}
		names = append(names, s.Name)
	}
	return Scenario{}, fmt.Errorf("unknown scenario %q, want one of %v", name, names)
}

// crashFaults marks two programs whose second step crashes upstreams and lets
// one engine hang for 30 s.
func crashFaults(t *Trace, r *rand.Rand) {
	for _, at := range []int64{180_000, 480_000} {
		i, _ := slices.BinarySearchFunc(t.Programs, at, func(p Program, at int64) int { return int(p.AtMs - at) })
		for i < len(t.Programs)-1 && (len(t.Programs[i].Steps) < 2 || t.Programs[i].Steps[1].Out == 0) {
			i++
		}
		t.Faults = append(t.Faults, Fault{AtMs: at, Fault: FaultCrashRequest, Program: t.Programs[i].ID, Step: 1})
	}
	e := t.Header.Deployment.Engines()
	t.Faults = append(t.Faults,
		Fault{AtMs: 330_000, Fault: FaultUpstreamCrash, ForMs: 20_000, Upstream: string(e[r.IntN(len(e))].ID)},
		Fault{AtMs: 660_000, Fault: FaultHang, ForMs: 30_000, Upstream: string(e[r.IntN(len(e))].ID)})
}

// callers is the number of distinct callers of a deployment. Their shares of
// the arrivals follow Zipf's law with exponent callerSkew.
const (
	callers    = 300
	callerSkew = 0.8
)

// Generate returns a trace. The same arguments yield the same trace.
func Generate(deployment string, s Scenario, seed uint64) (*Trace, error) {
	d, err := NewDeployment(deployment)
	if err != nil {
		return nil, err
	}
	if s.regional {
		d.Owners = d.Regions
	}
	t := &Trace{Header: Header{
		Kind: KindHeader, Format: FormatVersion, Name: deployment + "-" + s.Name, Scenario: s.Name,
		Seed: seed, DurationMs: int64(s.Minutes) * 60_000, Busy: s.Busy, Deployment: d,
	}}
	if s.pause == 0 {
		s.pause = 1
	}
	list := shapes(deployment)
	if s.only != "" {
		emphasize(list, s.only)
	}
	g := &generator{
		t: t, s: s, shapes: list, callers: zipf(callers, callerSkew),
		rand: rand.New(rand.NewPCG(seed, 2)), times: rand.New(rand.NewPCG(seed, 3)),
	}
	g.fit(rand.New(rand.NewPCG(seed, 1)))
	if s.faults != nil {
		s.faults(t, rand.New(rand.NewPCG(seed, 4)))
		for i := range t.Faults {
			t.Faults[i].Kind = KindFault
		}
	}
	return t, nil
}

// emphasize gives the profile 80% of the arrivals if the deployment has it, and
// the profile with the longest histories otherwise.
func emphasize(list []shape, profile string) {
	pick := 1
	for i := range list {
		if list[i].profile == profile {
			pick = i
		}
	}
	for i := range list {
		list[i].weight = 0.2 / float64(len(list)-1)
	}
	list[pick].weight = 0.8
}

// Fitting of the arrival rate to the requested busy fraction.
const (
	fitRounds    = 40
	fitTolerance = 0.01
)

// fit takes as many programs as arrive at the rate at which their work is within
// fitTolerance of the requested busy fraction. A few long programs carry much of
// the work, so the rate computed from the mean work alone misses it by up to
// 9%. The programs and the unit-rate arrivals depend on the seed alone, so the
// work grows with the rate and bisection finds it.
func (g *generator) fit(r *rand.Rand) {
	want := g.s.Busy
	if g.s.burst > 1 {
		want *= 1 + (g.s.burst-1)*burstMs/burstEveryMs
	}
	capacity := float64(len(g.t.Header.Deployment.Engines())) * float64(g.t.Header.DurationMs) / 1000
	perMs := g.s.Busy * float64(len(g.t.Header.Deployment.Engines())) / g.meanWork(r) / 1000
	low, high := perMs/2, perMs*2
	n := 0
	for range fitRounds {
		n = g.arrivals(perMs)
		got := 0.0
		if n > 0 {
			got = g.drawn[n-1].work / capacity
		}
		if math.Abs(got/want-1) <= fitTolerance {
			break
		}
		if got < want {
			low = perMs
		} else {
			high = perMs
		}
		perMs = (low + high) / 2
	}
	for i := range n {
		p := g.drawn[i].program
		p.AtMs = g.when(g.drawn[i].unit / perMs)
		g.t.Programs = append(g.t.Programs, p)
	}
}

// drawn is a program with its arrival time at unit rate and the work of all
// programs up to it.
type drawn struct {
	program Program
	unit    float64
	work    float64
}

type generator struct {
	t       *Trace
	s       Scenario
	shapes  []shape
	rand    *rand.Rand
	times   *rand.Rand
	callers []float64 // cumulative shares
	drawn   []drawn
}

func (g *generator) pick(r *rand.Rand) *shape {
	x := r.Float64()
	for i := range g.shapes {
		if x -= g.shapes[i].weight; x < 0 {
			return &g.shapes[i]
		}
	}
	return &g.shapes[len(g.shapes)-1]
}

// meanWork estimates the engine time of a program from 4,000 samples, which
// keeps the error of the mean below 2%.
func (g *generator) meanWork(r *rand.Rand) float64 {
	const samples = 4000
	var sum float64
	for range samples {
		a := g.pick(r).sample(r, g.s.pause)
		sum += g.t.Header.Deployment.WorkSeconds(&a)
	}
	return sum / samples
}

// Bursts of the bursty scenario.
const (
	burstEveryMs = 300_000
	burstMs      = 60_000
)

// arrivals returns the number of programs that arrive within the trace in a
// Poisson process with the given rate outside of bursts.
func (g *generator) arrivals(perMs float64) int {
	for i := 0; ; i++ {
		if i == len(g.drawn) {
			g.draw()
		}
		if g.when(g.drawn[i].unit/perMs) >= g.t.Header.DurationMs {
			return i
		}
	}
}

// when maps time at an even rate to the time at which the bursty process has
// seen as many arrivals.
func (g *generator) when(even float64) int64 {
	if g.s.burst <= 1 {
		return int64(even)
	}
	const calm = burstEveryMs - burstMs
	cycle := calm + burstMs*g.s.burst
	n := math.Floor(even / cycle)
	rest := even - n*cycle
	if rest > calm {
		rest = calm + (rest-calm)/g.s.burst
	}
	return int64(n*burstEveryMs + rest)
}

// draw adds the next program and its arrival.
func (g *generator) draw() {
	d := &g.t.Header.Deployment
	var unit, work float64
	if n := len(g.drawn); n > 0 {
		unit, work = g.drawn[n-1].unit, g.drawn[n-1].work
	}
	sh := g.pick(g.rand)
	p := Program{Kind: KindProgram, ID: "g" + strconv.Itoa(len(g.drawn)), Profile: sh.profile, Agent: sh.sample(g.rand, g.s.pause)}
	c, _ := slices.BinarySearch(g.callers, g.rand.Float64())
	p.Caller = "c" + strconv.Itoa(c)
	// A caller always calls from the same region; one in four is in the second.
	p.Region = d.Regions[0]
	if c%4 == 3 {
		p.Region = d.Regions[1]
	}
	if g.s.endless > 0 && g.rand.Float64() < g.s.endless {
		p.Endless = true
		p.Steps = slices.DeleteFunc(p.Steps, func(s Step) bool { return s.Service != "" || len(s.Agents) > 0 })
	}
	g.drawn = append(g.drawn, drawn{program: p, unit: unit + g.times.ExpFloat64(), work: work + d.WorkSeconds(&p.Agent)})
}

// zipf returns the cumulative shares of n ranks.
func zipf(n int, s float64) []float64 {
	out := make([]float64, n)
	var sum float64
	for i := range out {
		sum += 1 / math.Pow(float64(i+1), s)
		out[i] = sum
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}
