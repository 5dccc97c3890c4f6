package policy

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// newSingleSlotPolicy returns a policy with a single upstream with one slot, so
// that the order of dispatch is the order of the queue.
func newSingleSlotPolicy(t testing.TB, without ...string) *defaultPolicy {
	d := newParts(t, 1, without...)
	info := engineInfo(0)
	info.Slots = 1
	d.SetUpstream(epoch, info)
	return d
}

// Guards against new programs that wait behind programs with much attained
// service, and against children whose service doesn't count for their root.
func TestQueueOrder(t *testing.T) {
	d := newSingleSlotPolicy(t)
	busy := modelCall(view("p000-busy", "c", core.ClassInteractive), 0, 10)
	d.Enqueue(at(0), busy)
	running := drain(d, at(0))
	add := func(id string, class core.Class, attained int64) {
		v := view(id, "c", class)
		v.Attained = attained
		d.Enqueue(at(1), modelCall(v, 1, 100))
	}
	add("p000-batch", core.ClassBatch, 0)
	add("p000-standard", core.ClassStandard, 0)
	add("p000-long", core.ClassInteractive, 200_000)
	add("p000-short", core.ClassInteractive, 0)
	child := view("p000-long~1", "c", core.ClassInteractive)
	child.Attained = 200_000 // the core sets the attained service of the root
	d.Enqueue(at(1), modelCall(child, 1, 100))
	want := []core.ProgramID{"p000-short", "p000-long", "p000-long~1", "p000-standard", "p000-batch"}
	last := -1
	for _, id := range want {
		finish(d, at(2), running[0], 0)
		running = drain(d, at(2))
		if len(running) != 1 || running[0].Request.Program.ID != id {
			t.Fatalf("dispatched %v, want %s", running, id)
		}
		if running[0].Priority < last {
			t.Errorf("engine priority %d of %s is before that of the previous one, %d", running[0].Priority, id, last)
		}
		last = running[0].Priority
	}
}

// Guards against starvation: a batch program with much attained service must be
// served although interactive requests never stop arriving.
func TestBatchProgramIsNotStarved(t *testing.T) {
	d := newSingleSlotPolicy(t, PartAdmission)
	v := view("p000-long", "patient", core.ClassBatch)
	v.Attained = 290_000
	d.Enqueue(at(0), modelCall(v, 1, 100))
	// Requests that arrive within the sum of its handicaps are served first. They
	// arrive at twice the rate at which they are served.
	const bound = 2 * (batchHandicap + levelHandicap*levelCount + maxCallerHandicap)
	now, n := 0.0, 0
	for now < bound {
		now++
		for range 2 { // twice what the upstream serves
			n++
			d.Enqueue(at(now), modelCall(view(fmt.Sprintf("p001-%d", n), "c", core.ClassInteractive), n, 100))
		}
		for _, a := range drain(d, at(now)) {
			if a.Request.Program.ID == v.ID {
				return
			}
			finish(d, at(now+0.9), a, 0)
		}
	}
	t.Errorf("the program is still waiting after %.0f s", now)
}

// Guards against unbounded overtaking: no request is overtaken by one that
// arrives later than the sum of its handicaps, whatever the requests are.
func TestOvertakingIsBounded(t *testing.T) {
	const bound = batchHandicap + levelHandicap*levelCount + maxCallerHandicap + 9*priorityHeadStart
	rapid.Check(t, func(rt *rapid.T) {
		o := newQueueRanker()
		draw := func(label string, at0 float64) float64 {
			v := view("p000-"+label, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, label+"caller"),
				rapid.SampledFrom([]core.Class{core.ClassInteractive, core.ClassStandard, core.ClassBatch}).Draw(rt, label+"class"))
			v.Attained = rapid.Int64Range(0, 1<<40).Draw(rt, label+"attained")
			v.Profile.Priority = rapid.IntRange(0, 9).Draw(rt, label+"priority")
			r := modelCall(v, 1, rapid.Int64Range(0, 290_000).Draw(rt, label+"prompt"))
			o.charge(&r)
			return o.key(at(at0), &r)
		}
		first := draw("first", 0)
		later := draw("later", bound+rapid.Float64Range(0.001, 100).Draw(rt, "gap"))
		if later <= first {
			rt.Fatalf("a request that arrived more than %.0f s later is served first", bound)
		}
	})
}

// Guards against a caller that delays the programs of all others by opening many
// simultaneously.
func TestRunawayCallerQueuesBehindOthers(t *testing.T) {
	d := newSingleSlotPolicy(t, PartAdmission)
	for i := range 400 {
		d.Enqueue(at(0), modelCall(view(fmt.Sprintf("p000-%d", i), "runaway", core.ClassStandard), i, 100))
	}
	for i := range 8 {
		d.Enqueue(at(0), modelCall(view(fmt.Sprintf("p001-%d", i), fmt.Sprintf("c%d", i), core.ClassStandard), i, 100))
	}
	running := drain(d, at(0))
	// One call of the runaway caller is running already, and its first waiting
	// calls have a small handicap.
	served := 0
	for i := range 40 {
		finish(d, at(1+float64(i)), running[0], 0)
		running = drain(d, at(1+float64(i)))
		if running[0].Request.Program.Caller != "runaway" {
			served++
		}
	}
	if served != 8 {
		t.Errorf("%d of 8 programs of other callers were served among the first 40", served)
	}
}
