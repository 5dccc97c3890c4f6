package soak

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
)

var budgetPlants = []plantedFault{
	{
		"pass on what crashes upstreams", "../pkg/edge/quarantine.go",
		"if !s.hasSuspects.Load() {", "if s != nil {",
		"RUNS", nil,
	},
	{
		"one attempt too many", "../pkg/attempt/attempt.go",
		"r.MaxAttempts = max(r.MaxAttempts, 1)", "r.MaxAttempts = max(r.MaxAttempts, 1) + 1",
		"MAXATTEMPTS", nil,
	},
	{
		"give upstreams more time than is left", "../pkg/upstream/exchange.go",
		"left := d.Sub(began)", "left := d.Sub(began) + time.Second",
		"DEADLINE", nil,
	},
}

// Guards against a budget soak that misses faults: it must detect each planted fault.
func TestPlantedBudgetFaults(t *testing.T) {
	if os.Getenv("SOAK_PLANTS") == "" {
		t.Skip("SOAK_PLANTS is not set")
	}
	for _, p := range budgetPlants {
		t.Run(strings.ReplaceAll(p.name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			bin, caught := build(t, p.overlay(t)...), false
			for seed := uint64(1); seed <= plantSeeds && !caught; seed++ {
				t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
					faults := newBudgetSoak(t, bin, seed).play()
					caught = slices.ContainsFunc(faults, func(fault string) bool { return strings.HasPrefix(fault, p.caught) })
				})
			}
			if !caught {
				t.Errorf("not detected in %d seeds", plantSeeds)
			}
		})
	}
}
