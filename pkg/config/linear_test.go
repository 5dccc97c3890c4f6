package config

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

// change is an operation on the configuration. An empty who reads it.
type change struct {
	base uint64
	who  string
}

// result is what the caller learnt.
type result struct {
	version  uint64 // that the change made, or that was read
	who      string // who made the version that was read
	conflict uint64 // version in force instead
	unknown  bool
}

type inForce struct {
	version uint64
	who     string
}

// register is the model: a register with a version and a conditional write.
var register = porcupine.NondeterministicModel{
	Init: func() []any { return []any{inForce{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(inForce), input.(change), output.(result)
		next := inForce{in.base + 1, in.who}
		switch {
		case in.who == "":
			if s == (inForce{out.version, out.who}) {
				return []any{s}
			}
		case out.unknown && s.version == in.base:
			return []any{s, next}
		case out.unknown:
			return []any{s}
		case out.conflict > 0:
			if s.version == out.conflict && s.version != in.base {
				return []any{s}
			}
		case s.version == in.base && out.version == next.version:
			return []any{next}
		}
		return nil
	},
}

// Guards against a change that is reported as refused although it took effect,
// as made although another overwrote its base, or a read of an older version.
func TestStoreIsLinearizable(t *testing.T) {
	made := 0
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			mem := objectapi.NewMemory(objectapi.MemoryOptions{})
			var mu sync.Mutex
			var ops []porcupine.Operation
			var wg sync.WaitGroup
			for client := range 4 {
				wg.Go(func() {
					rnd := rand.New(rand.NewPCG(seed, uint64(client)))
					name := fmt.Sprint("c", client)
					s := NewStore(mem.Client(name))
					var known uint64
					for i := range 12 {
						mem.SetFaults(name, objectapi.Faults{
							Delay:       []time.Duration{time.Millisecond, 2 * time.Millisecond, 60 * time.Millisecond}[rnd.IntN(3)],
							LoseAnswers: 2, LoseWrites: rnd.IntN(8) / 7, Outage: rnd.IntN(10) == 0,
						})
						in, out := change{}, result{}
						call := time.Now().UnixNano()
						if rnd.IntN(3) == 0 {
							v, err := s.Current(t.Context())
							if err != nil {
								continue
							}
							out, known = result{version: v.Version, who: v.Who}, v.Version
						} else {
							in = change{known, fmt.Sprintf("%s.%d", name, i)}
							v, err := s.Apply(t.Context(), in.base, sample(1), in.who, "trial")
							var c *ConflictError
							switch {
							case err == nil:
								out.version, known = v.Version, v.Version
							case errors.As(err, &c):
								out.conflict, known = c.Other.Version, c.Other.Version
							default:
								out.unknown = true
							}
						}
						end := time.Now().UnixNano()
						if out.unknown {
							end = math.MaxInt64
						}
						mu.Lock()
						ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: in, Output: out, Call: call, Return: end})
						if out.version > 0 && in.who != "" {
							made++
						}
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			model := register.ToModel()
			if !porcupine.CheckOperations(model, ops) {
				t.Errorf("seed %d: %d operations are not linearizable", seed, len(ops))
			}
		})
	}
	if made < 100 {
		t.Errorf("only %d changes were made", made)
	}
}
