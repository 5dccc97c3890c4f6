// Package replay drives the decision core and the engine model through a
// recorded trace in virtual time. It replays one deployment with one owner of
// programs per owner region; it is no cluster simulator: processes of ours do
// not fail, and messages between them are delayed and cut but not reordered.
//
// The policy never sees ahead: a program's next call is revealed when the
// previous one has been answered and its pause is over. The same trace, policy
// and seed give the same result.
package replay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/core/policy"
	"github.com/yuccaspindle/yuccaspindle/pkg/report"
	"github.com/yuccaspindle/yuccaspindle/pkg/trace"
)

// Options configure one replay.
type Options struct {
	Policy  string
	Without []string // parts of the policy that are switched off
	Seed    uint64
	Events  bool // record outcome events in the result
	Faults  core.Faults
}

// start is the virtual time of the beginning of every trace. It is the beginning
// of a minute, so that refused minutes do not depend on it.
var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// overrun is the time after the last arrival and fault at which a replay is
// stopped, whatever is still under way.
const overrun = 2 * time.Hour

// settle is the time that a replay runs on after the last program has ended,
// longer than the term of a pin.
const settle = 35 * time.Second

// sim is the state of one replay.
type sim struct {
	clock
	opts   Options
	trace  *trace.Trace
	config core.Config
	rand   *rand.Rand
	net    *network
	m      *measures

	owners    []*owner
	upstreams []*upstream
	byID      map[core.UpstreamID]*upstream
	attempts  map[core.AttemptID]*attempt
	crashOn   map[uint64]bool
	gone      map[string]bool // programs that have ended

	active     int // programs under way
	arrivals   int // programs that have arrived
	storeOut   bool
	storeCalls int
	ended      bool
}

// Run replays a trace.
func Run(t *trace.Trace, o Options) (*Result, error) {
	s := &sim{
		opts: o, trace: t, config: t.Header.Deployment.Config, rand: rand.New(rand.NewPCG(o.Seed, 0x7265)),
		byID: map[core.UpstreamID]*upstream{}, attempts: map[core.AttemptID]*attempt{},
		crashOn: map[uint64]bool{}, gone: map[string]bool{},
	}
	s.now = start
	s.m = newMeasures(s)
	s.net = &network{clock: &s.clock, d: &t.Header.Deployment, free: map[[2]string]time.Time{}}
	s.config.Policy, s.config.Without = o.Policy, o.Without
	for _, info := range t.Header.Deployment.Upstreams {
		u := newUpstream(s, info)
		s.upstreams = append(s.upstreams, u)
		s.byID[info.ID] = u
	}
	if err := s.addOwners(); err != nil {
		return nil, err
	}
	for _, u := range s.upstreams {
		s.after(time.Duration(s.rand.Int64N(int64(reportEvery))), u.report)
		u.poll()
	}
	s.after(samplePeriod, s.m.sample)
	s.nextArrival()
	for i := range t.Faults {
		s.at(start.Add(time.Duration(t.Faults[i].AtMs)*time.Millisecond), func() { s.begin(&t.Faults[i]) })
	}
	end, limit := start.Add(t.End()), start.Add(t.End()+overrun)
	var quiet time.Time // since when nothing is under way
	for !s.ended && s.next() {
		switch {
		case s.now.After(limit):
			s.ended = true
		case s.active > 0 || s.arrivals < len(t.Programs) || s.now.Before(end):
			quiet = time.Time{}
		case quiet.IsZero():
			quiet = s.now
		case s.now.Sub(quiet) > settle:
			s.ended = true
		}
	}
	s.m.atEnd()
	return s.result(), nil
}

// addOwners gives each owner region a core and its share of the slots.
func (s *sim) addOwners() error {
	d := &s.trace.Header.Deployment
	for i, region := range d.Owners {
		p, err := policy.New(s.opts.Policy, s.opts.Seed+uint64(i), s.opts.Without)
		if err != nil {
			return errors.Wrap(err, "policy")
		}
		s.owners = append(s.owners, newOwner(s, region, i, p))
	}
	for i, o := range s.owners {
		slots := map[core.Slot]core.Epoch{}
		for n := range s.config.SlotCount {
			if n*len(s.owners)/s.config.SlotCount == i {
				slots[core.Slot(n)] = 1
			}
		}
		o.start(slots)
	}
	return nil
}

// ownerOf returns the owner of the programs of a region's callers.
func (s *sim) ownerOf(region string) *owner {
	for _, o := range s.owners {
		if o.place.region == region {
			return o
		}
	}
	return s.owners[0]
}

// nextArrival schedules the next program only, so that the event heap stays
// small.
func (s *sim) nextArrival() {
	if s.arrivals >= len(s.trace.Programs) {
		return
	}
	p := &s.trace.Programs[s.arrivals]
	s.at(start.Add(time.Duration(p.AtMs)*time.Millisecond), func() {
		s.arrivals++
		s.arrive(p)
		s.nextArrival()
	})
}

// Quantiles are quantiles of one figure, by nearest rank.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P95  float64 `json:"p95"`
	P99  float64 `json:"p99"`
	Mean float64 `json:"mean"`
}

// Result is the outcome of one replay. docs/traces.md describes the fields.
type Result struct {
	Policy   string   `json:"policy"`
	Without  []string `json:"without,omitempty"`
	Trace    string   `json:"trace"`
	Seed     uint64   `json:"seed"`
	Programs int      `json:"programs"`

	Completed     int `json:"completed"`
	Failed        int `json:"failed"`
	GaveUp        int `json:"gave_up"`
	BudgetStopped int `json:"budget_stopped"`
	Quarantined   int `json:"quarantined"`
	Unfinished    int `json:"unfinished"`

	LatencyMs         Quantiles                `json:"latency_ms"`
	LowerBoundMs      Quantiles                `json:"lower_bound_ms"`
	Slowdown          Quantiles                `json:"slowdown"`
	LatencyFirstTryMs Quantiles                `json:"latency_since_first_try_ms"`
	SlowdownFirstTry  Quantiles                `json:"slowdown_since_first_try"`
	SlowdownByClass   map[core.Class]Quantiles `json:"slowdown_by_class"`
	TTFTMs            Quantiles                `json:"ttft_ms"`
	Refusals          int                      `json:"refusals"`
	CallRefusals      int                      `json:"call_refusals"`
	RefusalCodes      map[string]int           `json:"refusal_codes"`
	RefusedMinutes    int                      `json:"refused_minutes"`
	RefusalMs         Quantiles                `json:"refusal_ms"`
	WastedCacheTokens float64                  `json:"wasted_cache_tokens"`
	RecomputedTokens  int64                    `json:"recomputed_tokens"`
	GoneTokenSeconds  float64                  `json:"gone_token_seconds"`
	IdleTokenSeconds  float64                  `json:"evictable_gone_token_seconds"`
	PromptTokens      int64                    `json:"prompt_tokens"`
	CachedTokens      int64                    `json:"cached_tokens"`

	DuplicateEffects int `json:"duplicate_effects"`
	LostEffects      int `json:"lost_effects"`
	UnknownEffects   int `json:"unknown_effects"`
	UntrueRefusals   int `json:"untrue_refusals"`
	OrderViolations  int `json:"order_violations"`
	BudgetOverruns   int `json:"budget_overruns"`
	Unanswered       int `json:"unanswered"`
	LateWork         int `json:"late_work_on_leaving"`
	Crashes          int `json:"crashes"`

	PinnedAtEnd      int64          `json:"pinned_tokens_at_end"`
	CrossRegionBytes int64          `json:"cross_region_bytes"`
	StoreCallsPerS   float64        `json:"store_calls_per_s"`
	Orders           map[string]int `json:"orders"`
	OrdersFailed     int            `json:"orders_failed"`
	VirtualSeconds   float64        `json:"virtual_seconds"`

	Events []report.Event `json:"events,omitempty"`
}

func (s *sim) result() *Result {
	m := s.m
	r := &Result{
		Policy: s.opts.Policy, Without: s.opts.Without, Trace: s.trace.Header.Name, Seed: s.opts.Seed,
		Programs: len(s.trace.Programs), Completed: m.completed,
		Failed: m.outcomes[outcomeFailed] + m.outcomes[outcomeUnknown], GaveUp: m.outcomes[outcomeGaveUp],
		BudgetStopped: m.outcomes[outcomeBudget], Quarantined: m.outcomes[outcomeQuarantined], Unfinished: s.active,
		LatencyMs: quantiles(m.latency), LowerBoundMs: quantiles(m.lower), Slowdown: quantiles(m.slowdown),
		SlowdownFirstTry: quantiles(m.sinceFirst), LatencyFirstTryMs: quantiles(m.latencyFirst), SlowdownByClass: map[core.Class]Quantiles{},
		TTFTMs: quantiles(m.ttft), Refusals: m.refusals, CallRefusals: m.callRefusals, RefusalCodes: m.refusalCodes,
		RefusedMinutes: len(m.refusedMinutes), RefusalMs: quantiles(m.refusalMs),
		WastedCacheTokens: float64(m.recomputed) + m.goneTokenSeconds, RecomputedTokens: m.recomputed,
		GoneTokenSeconds: m.goneTokenSeconds, IdleTokenSeconds: m.idleTokenSeconds,
		PromptTokens: m.promptTokens, CachedTokens: m.cachedTokens,
		OrderViolations: m.orderFaults, BudgetOverruns: m.overruns, Unanswered: len(m.unanswered), LateWork: m.lateWork,
		Crashes: m.crashes, PinnedAtEnd: m.pinnedAtEnd, CrossRegionBytes: s.net.bytes,
		Orders: m.orders, OrdersFailed: m.ordersFailed, VirtualSeconds: s.now.Sub(start).Seconds(), Events: m.events,
	}
	for c, v := range m.byClass {
		r.SlowdownByClass[c] = quantiles(v)
	}
	var untrue int
	r.DuplicateEffects, r.LostEffects, r.UnknownEffects, untrue = m.effectCounts()
	r.UntrueRefusals = m.untrue + untrue
	r.StoreCallsPerS = float64(s.storeCalls) / r.VirtualSeconds
	return r
}

// Name returns the policy with the parts that were switched off.
func (r *Result) Name() string {
	if len(r.Without) == 0 {
		return r.Policy
	}
	return fmt.Sprintf("%s without %v", r.Policy, r.Without)
}
