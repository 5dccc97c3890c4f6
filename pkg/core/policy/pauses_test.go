package policy

import (
	"fmt"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

func ordersOf(d *defaultPolicy, s float64, kind string) (out []core.EngineOrder) {
	for _, o := range d.Orders(at(s)) {
		if o.Order == kind {
			out = append(out, o)
		}
	}
	return out
}

// pausedProgram runs one call of a program and leaves it in a pause.
func pausedProgram(t *testing.T, d *defaultPolicy, s float64, id string, turn int, prompt int64) {
	t.Helper()
	d.Enqueue(at(s), modelCall(view(id, "c", core.ClassStandard), turn, prompt))
	got := drain(d, at(s))
	if len(got) != 1 {
		t.Fatalf("%d calls were dispatched for %s", len(got), id)
	}
	finish(d, at(s+0.1), got[0], 0)
}

// Guards against cache orders while the cache has room.
func TestNoOrdersWithoutMemoryPressure(t *testing.T) {
	d := newParts(t, 1)
	addEngines(d, 1)
	for i := range 5 {
		pausedProgram(t, d, float64(i), fmt.Sprintf("p000-%d", i), 1, 10_000)
	}
	if got := d.Orders(at(10)); len(got) > 0 {
		t.Errorf("orders %v with an eighth of the cache in use", got)
	}
}

// Guards against eviction of a paused program's history under memory pressure.
// In a short pause it is pinned in device memory, in a long one it is moved to
// host memory.
func TestCacheActionUnderMemoryPressure(t *testing.T) {
	for _, tc := range []struct {
		name  string
		pause float64
		want  string
	}{
		{"short", 1, core.OrderPin},
		{"long", 100, core.OrderOffload},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := newParts(t, 1)
			addEngines(d, 1)
			v := "p000-a"
			for turn := range 20 { // trains the estimate of the pause
				pausedProgram(t, d, float64(turn)*tc.pause, v, turn, 20_000)
			}
			now := 20 * tc.pause
			d.Orders(at(now))
			u := d.fleet.byID[engineInfo(0).ID]
			u.pause.live = u.info.CacheTokens * 9 / 10
			pausedProgram(t, d, now, v, 20, 20_000)
			if got := ordersOf(d, now+0.2, tc.want); len(got) != 1 || got[0].Program != core.ProgramID(v) {
				t.Errorf("orders %v, want one %s", got, tc.want)
			}
		})
	}
}

// Guards against pins that fill the cache, so that running calls find no memory.
func TestPinsAreBounded(t *testing.T) {
	d := newParts(t, 1)
	addEngines(d, 1)
	u := d.fleet.byID[engineInfo(0).ID]
	d.pauses.estimate(pauseKey{profile: "consult", finish: "tool_calls"}).observe(0.5)
	for i := range 60 {
		pausedProgram(t, d, float64(i)*0.01, fmt.Sprintf("p000-%d", i), 1, 15_000)
	}
	if limit := maxPinnedShare * float64(u.info.CacheTokens); float64(u.pause.pinned) > limit || u.pause.pinned == 0 {
		t.Errorf("%d tokens are pinned, limit %.0f", u.pause.pinned, limit)
	}
	// Expired pins are no longer counted.
	d.Orders(at(3600))
	if u.pause.pinned != 0 {
		t.Errorf("%d tokens are pinned after an hour", u.pause.pinned)
	}
}

// Guards against engine memory that stays allocated to an ended program
// (invariant 4), and against counters that still include it.
func TestEndedProgramReleasesItsCache(t *testing.T) {
	d := newParts(t, 1)
	addEngines(d, 1)
	u := d.fleet.byID[engineInfo(0).ID]
	pausedProgram(t, d, 1, "p000-a", 1, 10_000)
	pausedProgram(t, d, 2, "p000-a~1", 1, 5_000)
	d.ProgramEnded(at(3), "p000-a~1")
	d.ProgramEnded(at(3), "p000-a")
	if got := ordersOf(d, 3, core.OrderRelease); len(got) != 2 {
		t.Errorf("release orders %v, want one each for the program and its child", got)
	}
	if u.pause != (pauseState{}) || u.reservedTokens != 0 || u.queuedTokens != 0 || len(d.programs) != 0 {
		t.Errorf("counters after the end: %+v, reserved %d, queued %d, %d programs", u.pause, u.reservedTokens, u.queuedTokens, len(d.programs))
	}
}

// Guards against a pin that stays on the previous upstream when a program moves
// to another one.
func TestMovedProgramReleasesPin(t *testing.T) {
	d := newParts(t, 1)
	addEngines(d, 2)
	pausedProgram(t, d, 1, "p000-a", 1, 10_000)
	g := d.programs["p000-a"]
	from := g.at
	d.pauses.uncount(g)
	d.addPin(g, pin{up: from, tokens: 10_100, until: at(60)})
	d.SetUpstreamState(at(2), from.info.ID, true, true)
	pausedProgram(t, d, 3, "p000-a", 2, 10_200)
	if got := ordersOf(d, 4, core.OrderRelease); len(got) != 1 || got[0].Upstream != from.info.ID {
		t.Errorf("release orders %v, want one on %s", got, from.info.ID)
	}
	if from.pause.pinned != 0 {
		t.Errorf("%d tokens are counted as pinned on the previous upstream", from.pause.pinned)
	}
}

// Guards against estimates that mix tools: the pause for a quick lookup says
// nothing about the pause for a tool that runs for minutes.
func TestPausesAreEstimatedPerTool(t *testing.T) {
	d := newParts(t, 1)
	addEngines(d, 1)
	d.SetUpstream(epoch, core.UpstreamInfo{ID: "s", Kind: core.KindService, Service: "slow", Region: "coast", Slots: 4})
	d.SetUpstream(epoch, core.UpstreamInfo{ID: "q", Kind: core.KindService, Service: "quick", Region: "coast", Slots: 4})
	now := 0.0
	for i := range 20 {
		service, pause := "quick", 1.0
		if i%2 == 0 {
			service, pause = "slow", 90.0
		}
		pausedProgram(t, d, now, "p000-a", 2*i, 5000)
		r := modelCall(view("p000-a", "c", core.ClassStandard), 2*i+1, 0)
		r.Call.Kind, r.Call.Service = core.KindService, service
		d.Enqueue(at(now+0.2), r)
		for _, a := range drain(d, at(now+0.2)) {
			d.OnDone(at(now+pause), a.Request.Attempt, core.Answer{Status: 200})
		}
		now += pause
	}
	quick := d.pauses.estimate(pauseKey{tool: "quick", profile: "consult"}).upperBound()
	slow := d.pauses.estimate(pauseKey{tool: "slow", profile: "consult"}).expected()
	if quick > 5 || slow < 60 {
		t.Errorf("expected pauses: quick at most %.1f s, slow %.1f s", quick, slow)
	}
}

// Guards against a call that is sent to an upstream without free memory, where it
// waits in the engine, while another upstream has room.
func TestCallsAvoidUpstreamsWithoutMemory(t *testing.T) {
	d := newParts(t, 1)
	addEngines(d, 2)
	full := d.fleet.byID[engineInfo(0).ID]
	d.OnLoad(at(0), core.Load{Upstream: engineInfo(1).ID, Measured: at(0), Running: 6})
	d.OnLoad(at(0), core.Load{Upstream: engineInfo(0).ID, Measured: at(0)})
	d.Enqueue(at(0), modelCall(view("p000-big", "c", core.ClassStandard), 1, 200_000))
	first := drain(d, at(0))
	if len(first) != 1 || first[0].Upstream != full.info.ID {
		t.Fatalf("the first call went to %v", first)
	}
	full.pause.pinned = 150_000
	d.Enqueue(at(0.1), modelCall(view("p000-next", "c", core.ClassStandard), 1, 100_000))
	if got := drain(d, at(0.1)); len(got) != 1 || got[0].Upstream == full.info.ID {
		t.Errorf("the next call went to %v", got)
	}
}

// Guards against a call with a long history that never gets memory because
// shorter calls behind it take all that is freed, and against one that blocks all
// others while it waits.
func TestLargeCallIsNotStarved(t *testing.T) {
	d := newParts(t, 1, PartAdmission)
	info := engineInfo(0)
	info.CacheTokens = 100_000
	d.SetUpstream(epoch, info)
	type run struct {
		a    core.Assignment
		step int
	}
	var running []run
	n, passed := 0, 0
	for step := range 100 { // a call of 20,000 tokens every 0.1 s; each takes 0.4 s
		now := at(float64(step) * 0.1)
		for len(running) > 0 && step-running[0].step >= 4 {
			finish(d, now, running[0].a, 0)
			running = running[1:]
		}
		n++
		d.Enqueue(now, modelCall(view(fmt.Sprintf("p000-%d", n), "c", core.ClassStandard), n, 20_000))
		if step == 10 {
			d.Enqueue(now, modelCall(view("p000-big", "c", core.ClassInteractive), 0, 90_000))
		}
		for _, a := range drain(d, now) {
			if a.Request.Program.ID == "p000-big" {
				if passed == 0 {
					t.Error("the shorter calls were blocked although there was memory for them")
				}
				return
			}
			running = append(running, run{a, step})
			if step >= 10 {
				passed++
			}
		}
	}
	t.Error("the call with 90,000 tokens is still waiting after 9 s")
}
