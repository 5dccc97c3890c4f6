package sidecar

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/engine"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/service"
)

// Guards against a booking that runs twice, or whose final outcome is untrue,
// when answers are lost, connections go silent, owners disappear and calls are
// dispatched again. The truth is the service's own count of runs.
func TestOutcomesAreTrueUnderFaults(t *testing.T) {
	for _, lookup := range []bool{true, false} {
		v := startService(t, !lookup)
		s := startSidecar(t, serviceUpstream(v, lookup), nil)
		var wg sync.WaitGroup
		for i := range 60 {
			rng := rand.New(rand.NewPCG(uint64(i), 7))
			time.Sleep(time.Duration(rng.IntN(10)) * time.Millisecond)
			switch rng.IntN(4) {
			case 0:
				v.SetFaults(service.Faults{Lost: 1})
			case 1:
				v.SetFaults(service.Faults{HangAfter: 1})
			case 2:
				v.SetFaults(service.Faults{Silence: true})
			default:
				v.SetFaults(service.Faults{SlowMS: rng.IntN(100)})
			}
			wg.Go(func() {
				id := fmt.Sprint("a", i)
				owner := connect(t, s, roleEntry)
				d := book(id, id)
				d.DeadlineMs = 400
				st := owner.dispatch(d)
				ran := core.RanUnknown
				if rng.IntN(2) == 0 {
					time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
					owner.drop()
				} else if r := receive(st); r.done != nil {
					ran = core.RanYes
				} else if r.failed != nil {
					ran = core.Ran(r.failed.Ran)
				}
				successor := connect(t, s, roleEntry)
				for tries := 0; ran == core.RanUnknown && tries < 20; tries++ {
					ran = core.Ran(successor.resolve(id, id).Ran)
					time.Sleep(50 * time.Millisecond)
				}
				receive(successor.dispatch(d)) // must not run it again
				n := v.Runs()[id]
				if n > 1 || ran == core.RanNo && n != 0 || ran == core.RanYes && n != 1 {
					t.Errorf("lookup %v, call %d: outcome %q, the service ran it %d times", lookup, i, ran, n)
				}
			})
		}
		wg.Wait()
	}
}

// Guards against answers that are damaged or mixed up when streams break,
// cross and go silent under load. A call ends with its own whole answer or
// with a failure.
func TestAnswersAreWholeUnderFaults(t *testing.T) {
	o := fastEngine
	o.Slots = 8
	e := startEngine(t, o)
	s := startSidecar(t, engineUpstream(e), nil)
	p := connect(t, s, roleEntry)
	want := make([]string, 5)
	for i := range want {
		want[i] = receive(p.dispatch(chat(fmt.Sprint("ref", i), fmt.Sprint("content", i), 30))).whole(t)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	whole := 0
	for i := range 60 {
		rng := rand.New(rand.NewPCG(uint64(i), 8))
		time.Sleep(time.Duration(rng.IntN(10)) * time.Millisecond)
		f := engine.Faults{CutAfter: int64(rng.IntN(30))}
		*[]*int{&f.Cut, &f.Truncate, &f.WrongID, &f.Twice, &f.Silent}[rng.IntN(5)] = 1
		e.SetFaults(f)
		wg.Go(func() {
			n := rng.IntN(len(want))
			r := receive(p.dispatch(chat(fmt.Sprint("a", i), fmt.Sprint("content", n), 30)))
			if r.done == nil {
				if r.failed == nil {
					t.Errorf("call %d: %v", i, r.err)
				}
				return
			}
			if got := r.whole(t); got != want[n] {
				t.Errorf("call %d: got %q, want %q", i, got, want[n])
			}
			mu.Lock()
			whole++
			mu.Unlock()
		})
	}
	wg.Wait()
	if whole < 30 {
		t.Errorf("%d of 60 calls got an answer; single faults must be survived", whole)
	}
	t.Logf("%d of 60 calls got an answer", whole)
}
