package coretest

import (
	"flag"
	"math/rand/v2"
	"os"
	"reflect"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/core/policy"
)

const (
	simSteps = 1000
	// simInterleavings is the default number of interleavings. The environment
	// variable YUCCA_INTERLEAVINGS overrides it.
	simInterleavings = 400
	simSeed          = 20260101
)

func interleavings(t testing.TB) int {
	if v := os.Getenv("YUCCA_INTERLEAVINGS"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil {
			t.Fatalf("YUCCA_INTERLEAVINGS: %v", err)
		}
		return n
	}
	return simInterleavings
}

// setRapid sets the seed and the number of checks, unless flags set them.
func setRapid(t *testing.T, checks int) {
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed": strconv.Itoa(simSeed), "rapid.checks": strconv.Itoa(checks), "rapid.nofailfile": "true",
	} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

func runSim(pick func(int) int, policy func(uint64) core.Policy, faults core.Faults, steps int) *sim {
	s := newSim(pick, policy, faults)
	s.run(steps)
	return s
}

func (s *sim) run(steps int) {
	for range steps {
		s.randomStep()
	}
	s.settle()
	s.checkFinalState()
	s.checkRegisters()
}

// Guards against an interleaving of calls, resends, crashes, pauses, lost
// answers, store outages, takeovers, hand-overs and configuration changes in
// which a caller gets a false answer, a non-idempotent call runs twice, a
// budget is exceeded, history is lost or engine memory leaks.
func TestInterleavings(t *testing.T) {
	n := interleavings(t)
	setRapid(t, n)
	ran := 0
	rapid.Check(t, func(rt *rapid.T) {
		ran++
		gens := map[int]*rapid.Generator[int]{}
		pick := func(n int) int {
			if n <= 1 {
				return 0
			}
			if gens[n] == nil {
				gens[n] = rapid.IntRange(0, n-1)
			}
			return gens[n].Draw(rt, "")
		}
		if s := runSim(pick, pinningPolicy, core.Faults{}, simSteps); len(s.violations) > 0 {
			rt.Fatalf("%s", s.report())
		}
	})
	t.Logf("%d interleavings of %d steps", ran, simSteps)
}

// seededPick returns a source of choices that depends only on the seed. Unlike
// rapid's generators it does not prefer small numbers.
func seededPick(seed uint64) func(int) int {
	rng := rand.New(rand.NewPCG(simSeed, seed))
	return func(n int) int {
		if n <= 1 {
			return 0
		}
		return rng.IntN(n)
	}
}

// Guards against the same failures as TestInterleavings, with uniformly
// distributed choices.
func TestUniformInterleavings(t *testing.T) {
	n := interleavings(t)
	for seed := uint64(0); seed < uint64(n); seed++ {
		if s := runSim(seededPick(seed), pinningPolicy, core.Faults{}, simSteps); len(s.violations) > 0 {
			t.Fatalf("seed %d:\n%s", seed, s.report())
		}
	}
	t.Logf("%d interleavings of %d steps", n, simSteps)
}

// Guards against a checker that does not detect a missing protection.
func TestCheckerDetectsInjectedFaults(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults core.Faults
		checks []string // each must detect the fault in at least one interleaving
	}{
		{"no fence check", core.Faults{NoFenceCheck: true}, []string{"sealed", "fence"}},
		{"dispatch before claim", core.Faults{DispatchBeforeClaim: true}, []string{"claim", "twice"}},
		{"accept older configuration", core.Faults{AcceptOlderConfig: true}, []string{"config", "config-register"}},
		{"acknowledge before durable", core.Faults{AckBeforeDurable: true}, []string{"durable", "history"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			missing := map[string]bool{}
			for _, c := range tc.checks {
				missing[c] = true
			}
			seed := uint64(0)
			for ; seed < 400 && len(missing) > 0; seed++ {
				for _, v := range runSim(seededPick(seed), pinningPolicy, tc.faults, simSteps).violations {
					delete(missing, v.check)
				}
			}
			if len(missing) > 0 {
				t.Errorf("checks that found nothing in %d interleavings: %v", seed, sortedKeys(missing))
			}
			t.Logf("found after %d interleavings", seed)
		})
	}
}

// Guards against effects that depend on more than the events: a new core that
// replays the recorded events must produce the same effects.
func TestReplayGivesSameEffects(t *testing.T) {
	for seed := range uint64(20) {
		s := runSim(seededPick(seed), pinningPolicy, core.Faults{}, simSteps)
		for _, n := range s.nodes {
			s.replay(t, n)
		}
	}
}

// replay gives the recorded events of a node to a new core and compares the
// effects.
func (s *sim) replay(t *testing.T, n *node) {
	t.Helper()
	again := core.New(core.Options{Self: n.inc, Seed: n.seed, Policy: s.newPolicy(n.seed)})
	for i, e := range n.events {
		if got := again.Step(e); !reflect.DeepEqual(got, n.effects[i]) {
			t.Fatalf("%s, event %d %T:\ngot  %+v\nwant %+v", n.inc, i, e, got, n.effects[i])
		}
	}
}

// Guards against a policy of package policy that violates the contract of
// core.Policy, for example by losing a request, and against decisions of it
// that the recorded events do not determine.
func TestInterleavingsOfPolicies(t *testing.T) {
	n := max(1, interleavings(t)/10)
	for _, name := range policy.Names() {
		t.Run(name, func(t *testing.T) {
			mk := func(seed uint64) core.Policy {
				p, err := policy.New(name, seed, nil)
				if err != nil {
					t.Fatal(err)
				}
				return p
			}
			for seed := range uint64(n) {
				s := runSim(seededPick(seed), mk, core.Faults{}, simSteps)
				if len(s.violations) > 0 {
					t.Fatalf("seed %d:\n%s", seed, s.report())
				}
				for _, node := range s.nodes {
					s.replay(t, node)
				}
			}
			t.Logf("%d interleavings of %d steps", n, simSteps)
		})
	}
}

// Guards against the quarantine of a request that merely ran beside one that
// crashes upstreams, and against a crashing request that is not stopped.
func TestPoisonousRequests(t *testing.T) {
	n, requests, crashes := interleavings(t)/4, 0, 0
	for seed := range uint64(n) {
		s := newSim(seededPick(seed), pinningPolicy, core.Faults{})
		s.poison = true
		s.run(simSteps)
		if len(s.violations) > 0 {
			t.Fatalf("seed %d:\n%s", seed, s.report())
		}
		for _, r := range s.requests {
			if r.call.Fingerprint == poisonous {
				requests += r.sent
			}
		}
		crashes += s.crashes
	}
	t.Logf("%d interleavings of %d steps: %d crashes by a request sent %d times", n, simSteps, crashes, requests)
}
