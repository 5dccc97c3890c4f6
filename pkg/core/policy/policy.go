// Package policy implements the scheduling policies of the decision core: the
// policy "default", whose parts can be switched off individually, and four
// baseline load balancers for comparison.
//
// Policies are part of the reducer and must be deterministic: they read no
// clock, perform no I/O, start no goroutine and take random numbers from a
// seeded generator. No decision depends on the iteration order of a map.
package policy

import (
	"fmt"
	"slices"
	"strings"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// The names of the policies.
const (
	NameDefault          = "default"
	NameRoundRobin       = "round-robin"
	NameLeastOutstanding = "least-outstanding"
	NameSessionAffinity  = "session-affinity"
	NamePowerOfTwo       = "power-of-two"
)

// Default is the policy used until a configuration is applied.
const Default = NameDefault

// The parts of the default policy that --without accepts.
const (
	PartQueue     = "queue"
	PartRouter    = "router"
	PartCacheMap  = "cache-map"
	PartPauses    = "tool-pauses"
	PartAdmission = "admission"
	PartLimiter   = "limiter"
	PartRetry     = "retry"
	PartBreaker   = "breaker"
	PartPlacement = "placement"
)

// Names returns the names that New accepts.
func Names() []string {
	return []string{NameDefault, NameRoundRobin, NameLeastOutstanding, NameSessionAffinity, NamePowerOfTwo}
}

// Parts returns the names of the parts of the default policy that can be
// switched off.
func Parts() []string {
	return []string{
		PartQueue, PartRouter, PartCacheMap, PartPauses, PartAdmission,
		PartLimiter, PartRetry, PartBreaker, PartPlacement,
	}
}

// New returns the policy with the given name. It switches off the parts listed
// in without, which must be empty for policies other than the default one.
func New(name string, seed uint64, without []string) (core.Policy, error) {
	if !slices.Contains(Names(), name) {
		return nil, fmt.Errorf("unknown policy %q; valid names: %s", name, strings.Join(Names(), ", "))
	}
	off := make(map[string]bool, len(without))
	for _, part := range without {
		if name != NameDefault {
			return nil, fmt.Errorf("policy %q has no part %q; only policy %q has parts", name, part, NameDefault)
		}
		if !slices.Contains(Parts(), part) {
			return nil, fmt.Errorf("unknown part %q; valid parts: %s", part, strings.Join(Parts(), ", "))
		}
		off[part] = true
	}
	if name == NameDefault {
		return newDefault(seed, off), nil
	}
	return newBaseline(name, seed), nil
}
