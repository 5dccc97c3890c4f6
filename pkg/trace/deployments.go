package trace

import (
	"fmt"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// The names of the two deployments.
const (
	Lango        = "lango"
	Brackenfield = "brackenfield"
)

// Deployments returns the names of the deployments in order.
func Deployments() []string { return []string{Lango, Brackenfield} }

// engineSpec is the size of one kind of engine.
type engineSpec struct {
	models, adapters []string
	slots            int
	cache            int64
	prefill, decode  float64
}

func engines(spec engineSpec, region, domain string, first, n int) []core.UpstreamInfo {
	var out []core.UpstreamInfo
	for i := range n {
		out = append(out, core.UpstreamInfo{
			ID: core.UpstreamID(fmt.Sprintf("engine-%02d", first+i)), Kind: core.KindModel,
			Models: spec.models, Adapters: spec.adapters, Region: region, FailureDomain: domain,
			Incarnation: 1, Slots: spec.slots, CacheTokens: spec.cache,
			PrefillRate: spec.prefill, DecodeRate: spec.decode, ChecksFencing: i%2 == 0, ChecksOrders: i%2 == 0,
		})
	}
	return out
}

// serviceSlots is the concurrency of one application worker.
const serviceSlots = 16

func workers(service, region, domain string, first, n int) []core.UpstreamInfo {
	var out []core.UpstreamInfo
	for i := range n {
		out = append(out, core.UpstreamInfo{
			ID: core.UpstreamID(fmt.Sprintf("%s-%d", service, first+i)), Kind: core.KindService, Service: service,
			Region: region, FailureDomain: domain, Incarnation: 1, Slots: serviceSlots,
		})
	}
	return out
}

// Token budgets of a program. They are above the use of the longest generated
// program (0.12 and 0.57 million) and end an endless one before its history
// outgrows the memory of an engine.
const (
	langoTokens        = 500_000
	brackenfieldTokens = 1_200_000
)

func profile(name string, class core.Class, priority int, latency, cache float64, tokens int64) core.Profile {
	return core.Profile{
		Name: name, Class: class, Priority: priority,
		Budget:           core.Budget{Tokens: tokens, Calls: 120, WallTime: 2 * time.Hour, Depth: 3, Width: 8},
		HistoryRetention: 10 * time.Minute, IdleTimeout: 30 * time.Minute, CacheRetention: 5 * time.Minute,
		RetryLimit: 3, CallTimeout: 5 * time.Minute, LatencyWeight: latency, CacheWeight: cache,
		RefusalRetry: 5 * time.Second, QuarantineTime: 10 * time.Minute,
	}
}

func profiles(list ...core.Profile) map[string]core.Profile {
	m := map[string]core.Profile{}
	for _, p := range list {
		m[p.Name] = p
	}
	return m
}

func services(list ...core.ServiceSpec) map[string]core.ServiceSpec {
	m := map[string]core.ServiceSpec{}
	for _, s := range list {
		m[s.Name] = s
	}
	return m
}

// NewDeployment returns a deployment of section 2 of docs/design.md.
func NewDeployment(name string) (Deployment, error) {
	d := Deployment{Name: name, Link: Link{OneWayMs: 30, BitsPerS: 30e6, CostPerGB: 0.08}, DomainMs: 0.5, ClientMs: 1}
	switch name {
	case Lango:
		d.Regions = []string{"dar-coast", "arusha-north"}
		spec := engineSpec{models: []string{"gate-9b"}, slots: 8, cache: 64_000, prefill: 6000, decode: 30}
		d.Upstreams = append(d.Upstreams, engines(spec, "dar-coast", "dar-coast-a", 1, 3)...)
		d.Upstreams = append(d.Upstreams, engines(spec, "dar-coast", "dar-coast-b", 4, 3)...)
		d.Upstreams = append(d.Upstreams, engines(spec, "arusha-north", "arusha-north-a", 7, 2)...)
		for _, s := range []string{"parts", "booking", "deposit"} {
			d.Upstreams = append(d.Upstreams, workers(s, "dar-coast", "dar-coast-a", 1, 2)...)
			d.Upstreams = append(d.Upstreams, workers(s, "dar-coast", "dar-coast-b", 3, 2)...)
			d.Upstreams = append(d.Upstreams, workers(s, "arusha-north", "arusha-north-a", 5, 1)...)
		}
		d.Prefixes = map[string]int64{"sys-diagnose": 1500, "sys-case": 900, "sys-office": 1200}
		d.Config = core.Config{
			Version: 1, Policy: "default", SlotCount: 256, Regions: d.Regions, DefaultProfileName: "diagnose",
			Profiles: profiles(
				profile("diagnose", core.ClassInteractive, 7, 1, 0.4, langoTokens),
				profile("case-history", core.ClassStandard, 5, 1, 0.5, langoTokens),
				profile("head-office", core.ClassBatch, 2, 0.6, 0.6, langoTokens)),
			Services: services(
				core.ServiceSpec{Name: "parts"},
				core.ServiceSpec{Name: "booking", NonIdempotent: []string{"book"}, OutcomeByKey: true},
				core.ServiceSpec{Name: "deposit", NonIdempotent: []string{"charge"}, OutcomeByKey: false}),
		}
	case Brackenfield:
		d.Regions = []string{"munster", "leinster"}
		spec := engineSpec{models: []string{"kerf-14b"}, adapters: []string{"orders"}, slots: 8, cache: 128_000, prefill: 5000, decode: 28}
		d.Upstreams = append(d.Upstreams, engines(spec, "munster", "munster-a", 1, 3)...)
		d.Upstreams = append(d.Upstreams, engines(spec, "munster", "munster-b", 4, 3)...)
		d.Upstreams = append(d.Upstreams, engines(spec, "leinster", "leinster-a", 7, 3)...)
		d.Upstreams = append(d.Upstreams, workers("catalog", "munster", "munster-a", 1, 1)...)
		d.Upstreams = append(d.Upstreams, workers("catalog", "munster", "munster-b", 2, 1)...)
		d.Upstreams = append(d.Upstreams, workers("catalog", "leinster", "leinster-a", 3, 1)...)
		for _, s := range []string{"orders", "dispatch"} {
			d.Upstreams = append(d.Upstreams, workers(s, "munster", "munster-a", 1, 2)...)
			d.Upstreams = append(d.Upstreams, workers(s, "munster", "munster-b", 3, 1)...)
			d.Upstreams = append(d.Upstreams, workers(s, "leinster", "leinster-a", 4, 1)...)
		}
		d.Prefixes = map[string]int64{"sys-quick": 800, "sys-consult": 2400, "sys-orders": 1000}
		d.Config = core.Config{
			Version: 1, Policy: "default", SlotCount: 256, Regions: d.Regions, DefaultProfileName: "quick",
			Profiles: profiles(
				profile("quick", core.ClassInteractive, 7, 1, 0.4, brackenfieldTokens),
				profile("consult", core.ClassStandard, 5, 0.5, 1, brackenfieldTokens),
				profile("orders", core.ClassBatch, 2, 0.4, 0.8, brackenfieldTokens)),
			Services: services(
				core.ServiceSpec{Name: "catalog"},
				core.ServiceSpec{Name: "orders", NonIdempotent: []string{"order", "invoice"}, OutcomeByKey: true},
				core.ServiceSpec{Name: "dispatch", NonIdempotent: []string{"send"}, OutcomeByKey: false}),
		}
	default:
		return Deployment{}, fmt.Errorf("unknown deployment %q, want one of %v", name, Deployments())
	}
	d.Owners = d.Regions[:1]
	return d, nil
}
