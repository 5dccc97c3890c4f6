package config

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/core/policy"
)

const (
	profilePrefix = "profile "
	servicePrefix = "service "
	clusterName   = "cluster"
)

var clusterSpecs = []spec[core.Config]{
	{name: "policy", def: "default", example: "default", help: "Scheduling policy.",
		value: oneOf(func(c *core.Config) *string { return &c.Policy }, policy.Names()...)},
	{name: "without", example: "placement", help: "Parts of the policy that are switched off.",
		value: list("parts ("+strings.Join(policy.Parts(), ", ")+")", isPart, func(c *core.Config) *[]string { return &c.Without })},
	{name: "slot_count", def: "256", unit: "slots", example: "256", help: "Units of ownership. It must not change while programs are in progress.",
		value: integer(1, 4096, func(c *core.Config) *int { return &c.SlotCount })},
	{name: "regions", required: true, example: "dar-coast, arusha-north", help: "Regions that divide the slots, in this order.",
		value: list("region names", plainName, func(c *core.Config) *[]string { return &c.Regions })},
	{name: "default_profile", required: true, example: "diagnose", help: "Profile of callers that name none and use no service with a default.",
		value: nameOf(func(c *core.Config) *string { return &c.DefaultProfileName })},
}

func isPart(v string) bool { return slices.Contains(policy.Parts(), v) }

const day = 24 * time.Hour

var profileSpecs = []spec[core.Profile]{
	{name: "class", required: true, example: "interactive", help: "Latency class; a higher class is served first.",
		value: oneOf(func(p *core.Profile) *core.Class { return &p.Class }, core.ClassInteractive, core.ClassStandard, core.ClassBatch)},
	{name: "priority", def: "5", example: "7", help: "Precedence within the class, 9 is the highest.",
		value: integer(0, 9, func(p *core.Profile) *int { return &p.Priority })},
	{name: "latency_weight", def: "1", example: "3", help: "Weight of latency against cache_weight in routing and cache decisions.",
		value: number(0, 1000, func(p *core.Profile) *float64 { return &p.LatencyWeight })},
	{name: "cache_weight", def: "1", example: "1", help: "Weight of wasted cache against latency_weight.",
		value: number(0, 1000, func(p *core.Profile) *float64 { return &p.CacheWeight })},
	{name: "budget_tokens", def: "0", unit: "tokens", example: "2000000", help: "Prompt and generated tokens of a program with its children. 0: no limit.",
		value: integer(0, 1<<50, func(p *core.Profile) *int64 { return &p.Budget.Tokens })},
	{name: "budget_calls", def: "0", unit: "calls", example: "300", help: "Calls of a program with its children. 0: no limit.",
		value: integer(0, 1<<40, func(p *core.Profile) *int64 { return &p.Budget.Calls })},
	{name: "budget_spend", def: "0", unit: "millionths of the currency unit", example: "5000000", help: "Charges of service calls. 0: no limit.",
		value: integer(0, 1<<50, func(p *core.Profile) *int64 { return &p.Budget.SpendMicro })},
	{name: "budget_wall", def: "0s", unit: "duration", example: "4h", help: "Time since the program was opened. 0s: no limit.",
		value: duration(0, 366*day, func(p *core.Profile) *time.Duration { return &p.Budget.WallTime })},
	{name: "budget_depth", def: "3", unit: "levels", example: "2", help: "Levels of sub-agents below the root. 0: no limit.",
		value: integer(0, 100, func(p *core.Profile) *int { return &p.Budget.Depth })},
	{name: "budget_width", def: "8", unit: "programs", example: "4", help: "Sub-agents that run at the same time. 0: no limit.",
		value: integer(0, 10000, func(p *core.Profile) *int { return &p.Budget.Width })},
	{name: "history_retention", def: "24h", unit: "duration", example: "720h", help: "Time for which the history of an ended program is kept.",
		value: duration(0, 3660*day, func(p *core.Profile) *time.Duration { return &p.HistoryRetention })},
	{name: "idle_timeout", def: "1h", unit: "duration", example: "2h", help: "A program without calls for this long is ended.",
		value: duration(time.Second, 366*day, func(p *core.Profile) *time.Duration { return &p.IdleTimeout })},
	{name: "cache_retention", def: "1m", unit: "duration", example: "10m", help: "Longest time for which an engine keeps the cache over a tool pause.",
		value: duration(0, day, func(p *core.Profile) *time.Duration { return &p.CacheRetention })},
	{name: "retry_limit", def: "3", unit: "attempts", example: "3", help: "Repeated attempts of an idempotent call.",
		value: integer(0, 100, func(p *core.Profile) *int { return &p.RetryLimit })},
	{name: "call_timeout", def: "60s", unit: "duration", example: "45s", help: "Deadline of a call that brings none.",
		value: duration(100*time.Millisecond, day, func(p *core.Profile) *time.Duration { return &p.CallTimeout })},
	{name: "claim_wait", def: "0s", unit: "duration", example: "10s", help: "Longest wait of a non-idempotent call for its claim to become durable; the call is then refused without having run. 0s: until its deadline.",
		value: duration(0, day, func(p *core.Profile) *time.Duration { return &p.ClaimWait })},
	{name: "refusal_retry", def: "5s", unit: "duration", example: "10s", help: "Shortest Retry-After of a refusal.",
		value: duration(time.Second, time.Hour, func(p *core.Profile) *time.Duration { return &p.RefusalRetry })},
	{name: "quarantine_time", def: "1h", unit: "duration", example: "1h", help: "Time for which a request that crashed upstreams stays refused.",
		value: duration(time.Second, 366*day, func(p *core.Profile) *time.Duration { return &p.QuarantineTime })},
}

var serviceSpecs = []spec[core.ServiceSpec]{
	{name: "non_idempotent", example: "book, cancel", help: "Operations that must run at most once.",
		value: list("operation names", plainName, func(s *core.ServiceSpec) *[]string { return &s.NonIdempotent })},
	{name: "outcome_by_key", def: "false", example: "true", help: "The service answers GET /outcomes/{key}.",
		value: boolean(func(s *core.ServiceSpec) *bool { return &s.OutcomeByKey })},
	{name: "spend", def: "0", unit: "millionths of the currency unit", example: "250000", help: "Charge of one call to the budget of the program.",
		value: integer(0, 1<<50, func(s *core.ServiceSpec) *int64 { return &s.SpendMicroPerCall })},
	{name: "default_profile", example: "booking", help: "Profile of callers that name none.",
		value: nameOf(func(s *core.ServiceSpec) *string { return &s.DefaultProfile })},
}

// SharedKeys documents the shared configuration.
func SharedKeys() []Key {
	out := describe(clusterName, clusterSpecs)
	out = append(out, describe("profile NAME", profileSpecs)...)
	return append(out, describe("service NAME", serviceSpecs)...)
}

// ParseShared reads the shared configuration. The version is left to the
// caller. Its errors hold one *Error for each fault, see Errors.
func ParseShared(name string, data []byte) (core.Config, error) {
	d := parse(name, data)
	if err := d.err(); err != nil {
		return core.Config{}, err
	}
	cfg := core.Config{Profiles: map[string]core.Profile{}, Services: map[string]core.ServiceSpec{}}
	apply(d, clusterName, d.find(clusterName), clusterSpecs, &cfg)
	for _, s := range d.sections {
		switch n := s.name; {
		case n == clusterName:
		case strings.HasPrefix(n, profilePrefix) && plainName(n[len(profilePrefix):]):
			p := core.Profile{Name: n[len(profilePrefix):]}
			apply(d, n, s, profileSpecs, &p)
			if p.LatencyWeight == 0 && p.CacheWeight == 0 {
				d.fault(d.line(n, "latency_weight"), n+".latency_weight", "latency_weight or cache_weight above 0", "0")
			}
			cfg.Profiles[p.Name] = p
		case strings.HasPrefix(n, servicePrefix) && plainName(n[len(servicePrefix):]):
			sp := core.ServiceSpec{Name: n[len(servicePrefix):]}
			apply(d, n, s, serviceSpecs, &sp)
			cfg.Services[sp.Name] = sp
		default:
			d.fault(s.line, n, "one of the sections [cluster], [profile NAME] and [service NAME]", "")
		}
	}
	checkShared(d, &cfg)
	if err := d.err(); err != nil {
		return core.Config{}, err
	}
	return cfg, nil
}

func checkShared(d *document, cfg *core.Config) {
	names := make([]string, 0, len(cfg.Profiles))
	for n := range cfg.Profiles {
		names = append(names, n)
	}
	slices.Sort(names)
	known := "one of the profiles " + strings.Join(names, ", ")
	if _, ok := cfg.Profiles[cfg.DefaultProfileName]; cfg.DefaultProfileName != "" && !ok {
		d.fault(d.line(clusterName, "default_profile"), clusterName+".default_profile", known, cfg.DefaultProfileName)
	}
	for _, s := range d.sections {
		sp, ok := cfg.Services[strings.TrimPrefix(s.name, servicePrefix)]
		if !ok || !strings.HasPrefix(s.name, servicePrefix) || sp.DefaultProfile == "" {
			continue
		}
		if _, ok := cfg.Profiles[sp.DefaultProfile]; !ok {
			d.fault(d.line(s.name, "default_profile"), s.name+".default_profile", known, sp.DefaultProfile)
		}
	}
	if len(cfg.Regions) > cfg.SlotCount && cfg.SlotCount > 0 {
		d.fault(d.line(clusterName, "regions"), clusterName+".regions", "at most slot_count regions", "")
	}
}

// FormatProfile returns a profile with all its keys as a section of the shared
// configuration.
func FormatProfile(p core.Profile) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[%s%s]\n", profilePrefix, p.Name)
	for _, kv := range []struct {
		key   string
		value any
	}{
		{"class", p.Class}, {"priority", p.Priority},
		{"latency_weight", p.LatencyWeight}, {"cache_weight", p.CacheWeight},
		{"budget_tokens", p.Budget.Tokens}, {"budget_calls", p.Budget.Calls}, {"budget_spend", p.Budget.SpendMicro},
		{"budget_wall", short(p.Budget.WallTime)}, {"budget_depth", p.Budget.Depth}, {"budget_width", p.Budget.Width},
		{"history_retention", short(p.HistoryRetention)}, {"idle_timeout", short(p.IdleTimeout)},
		{"cache_retention", short(p.CacheRetention)}, {"retry_limit", p.RetryLimit},
		{"call_timeout", short(p.CallTimeout)}, {"claim_wait", short(p.ClaimWait)}, {"refusal_retry", short(p.RefusalRetry)},
		{"quarantine_time", short(p.QuarantineTime)},
	} {
		fmt.Fprintf(&b, "%s = %v\n", kv.key, kv.value)
	}
	return b.String()
}
