package policy

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// Guards against a thundering herd: entry processes that have the same load
// reports, one of which is old and shows an idle upstream, must not all send their
// next calls to that upstream.
func TestOldestReportDoesNotAttractAllCalls(t *testing.T) {
	const entries, engines, calls = 12, 6, 4
	got := map[core.UpstreamID]int{}
	for e := range entries {
		p := mustNew(t, NameDefault, uint64(100+e))
		addEngines(p, engines)
		for i := range engines {
			l := core.Load{Upstream: engineInfo(i).ID, Measured: at(10), Running: 3}
			if i == 0 {
				l.Measured, l.Running = at(2), 0 // the oldest report looks best
			}
			p.OnLoad(l.Measured, l)
		}
		for i := range calls {
			v := view(fmt.Sprintf("p%03x-%d", e, i), "c", core.ClassStandard)
			p.Enqueue(at(10.1), modelCall(v, i, 200))
		}
		for _, a := range drain(p, at(10.1)) {
			got[a.Upstream]++
		}
	}
	// An even distribution is 8 calls per upstream. The one that was idle 8 s ago
	// may get more, but at most twice its 8 slots.
	if n := got[engineInfo(0).ID]; n > 16 {
		t.Errorf("%d of %d calls went to the upstream with the oldest report", n, entries*calls)
	}
}

// Guards against own calls that are counted twice or not at all because they
// began or ended while a load report was on its way.
func TestLoadReportIsCorrectedByOwnCalls(t *testing.T) {
	d := newParts(t, 1)
	addEngines(d, 1)
	u := d.fleet.byID[engineInfo(0).ID]
	var sent []core.Assignment
	for i := range 4 {
		d.Enqueue(at(float64(i)), modelCall(view(fmt.Sprintf("p000-%d", i), "c", core.ClassInteractive), i, 100))
		sent = append(sent, drain(d, at(float64(i)))...)
	}
	if len(sent) != 4 {
		t.Fatalf("%d calls were sent, want 4", len(sent))
	}
	finish(d, at(4), sent[0], 0) // after the measurement
	// At 2.5 s, the calls sent at 0, 1 and 2 s and 2 of other entry processes ran.
	d.OnLoad(at(5), core.Load{Upstream: u.info.ID, Measured: at(2.5), Running: 5})
	if u.otherCalls != 2 || u.ownCalls() != 3 {
		t.Errorf("others = %d, own = %d, want 2 and 3", u.otherCalls, u.ownCalls())
	}
	d.OnLoad(at(6), core.Load{Upstream: u.info.ID, Measured: at(1), Running: 50})
	if u.otherCalls != 2 {
		t.Errorf("an older report changed the estimate to %d", u.otherCalls)
	}
}

// Guards against a popular shared prefix whose calls all go to the upstream that
// computed it first, while others are idle.
func TestHotSharedPrefixSpreads(t *testing.T) {
	p := mustNew(t, NameDefault, 4)
	addEngines(p, 6)
	on := map[core.UpstreamID]int{}
	for i := range 36 {
		r := modelCall(view(fmt.Sprintf("p000-%d", i), "c", core.ClassInteractive), i, 2200)
		r.Call.SharedPrefix, r.Call.SharedTokens = "sys", 2000
		p.Enqueue(at(float64(i)*0.3), r)
		for _, a := range drain(p, at(float64(i)*0.3)) {
			p.OnFirstToken(at(float64(i)*0.3+0.2), a.Request.Attempt, 0)
			on[a.Upstream]++
		}
	}
	for i := range 6 {
		if n := on[engineInfo(i).ID]; n < 3 {
			t.Errorf("%s got %d of 36 calls with a shared prefix", engineInfo(i).ID, n)
		}
	}
}

// Guards against a program that moves away from its cached history although its
// upstream has room.
func TestProgramReturnsToItsCache(t *testing.T) {
	p := mustNew(t, NameDefault, 2)
	addEngines(p, 8)
	home := map[core.ProgramID]core.UpstreamID{}
	for turn := range 6 {
		for i := range 16 {
			now := at(float64(turn) + float64(i)*0.02)
			v := view(fmt.Sprintf("p000-%d", i), "c", core.ClassStandard)
			p.Enqueue(now, modelCall(v, turn, int64(3000+400*turn)))
			for _, a := range drain(p, now) {
				if turn > 0 && home[v.ID] != a.Upstream {
					t.Errorf("turn %d of %s moved from %s to %s", turn, v.ID, home[v.ID], a.Upstream)
				}
				home[v.ID] = a.Upstream
				finish(p, now.Add(300*time.Millisecond), a, 2900)
			}
		}
	}
}

// Guards against calls that go to another region while their own has room, and
// against calls that wait in their region although another one is faster.
func TestOtherRegionIsUsedOnlyIfFaster(t *testing.T) {
	p := mustNew(t, NameDefault, 2)
	for i := range 4 {
		info := engineInfo(i)
		if i >= 2 {
			info.Region = "north"
		}
		p.SetUpstream(epoch, info)
	}
	remote := 0
	for i := range 10 {
		now := at(1 + float64(i)*0.05)
		p.Enqueue(now, modelCall(view(fmt.Sprintf("p000-%d", i), "c", core.ClassInteractive), i, 200))
		for _, a := range drain(p, now) {
			if a.Upstream >= engineInfo(2).ID {
				remote++
			}
			p.OnFirstToken(now.Add(25*time.Millisecond), a.Request.Attempt, 0)
		}
	}
	if remote > 0 {
		t.Errorf("%d calls went to the other region while 6 slots of their own were free", remote)
	}
	for i := range 20 {
		p.Enqueue(at(2), modelCall(view(fmt.Sprintf("p001-%d", i), "c", core.ClassInteractive), i, 200))
	}
	for _, a := range drain(p, at(2)) {
		if a.Upstream >= engineInfo(2).ID {
			remote++
		}
	}
	if remote < 10 {
		t.Errorf("%d calls went to the other region while their own was full, want at least 10 of 14", remote)
	}
}

// Guards against an index that is inconsistent with the state of the upstreams:
// whatever the order of events, calls go only to usable upstreams with the right
// model, within their limits, and all of them are dispatched in the end.
func TestDispatchInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		name := rapid.SampledFrom(Names()).Draw(rt, "policy")
		var without []string
		if name == NameDefault {
			without = rapid.SliceOfNDistinct(rapid.SampledFrom(Parts()), 0, 3, rapid.ID).Draw(rt, "without")
		}
		p, err := New(name, rapid.Uint64().Draw(rt, "seed"), without)
		if err != nil {
			rt.Fatal(err)
		}
		const engines = 5
		type state struct {
			present, reachable, leaving bool
			running, suspects           int
			inc                         uint64
		}
		var ups [engines]state
		index := map[core.UpstreamID]int{}
		var running []core.Assignment
		now, n := epoch, 0
		set := func(i int) {
			info := engineInfo(i)
			info.Incarnation = ups[i].inc
			if i%2 == 0 {
				info.Models = []string{"m", "other"}
			}
			index[info.ID] = i
			p.SetUpstream(now, info)
			p.SetUpstreamState(now, info.ID, true, false)
			ups[i].present, ups[i].reachable, ups[i].leaving = true, true, false
		}
		for i := range engines {
			set(i)
		}
		take := func() {
			for _, a := range drain(p, now) {
				i := index[a.Upstream]
				u := &ups[i]
				if !u.present || !u.reachable || u.leaving {
					rt.Fatalf("%s was sent to %s, which is not usable", a.Request.Call.ID, a.Upstream)
				}
				if a.Request.Call.Model == "other" && i%2 == 1 {
					rt.Fatalf("%s was sent to an upstream without its model", a.Request.Call.ID)
				}
				u.running++
				if a.Request.Suspect {
					if u.suspects++; u.suspects > 1 {
						rt.Fatalf("two suspects on %s", a.Upstream)
					}
				}
				// Only upstreams with a cached history may exceed their slots.
				if limit := int(float64(engineInfo(i).Slots) * (1 + holderOverflow)); u.running > limit {
					rt.Fatalf("%d calls on %s, limit %d", u.running, a.Upstream, limit)
				}
				running = append(running, a)
			}
		}
		end := func(k int, ok bool) {
			a := running[k]
			running = append(running[:k], running[k+1:]...)
			u := &ups[index[a.Upstream]]
			u.running--
			if a.Request.Suspect {
				u.suspects--
			}
			if ok {
				finish(p, now, a, 50)
			} else {
				p.OnFailed(now, core.Failure{Attempt: a.Request.Attempt, Ran: core.RanUnknown})
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"enqueue": func(rt *rapid.T) {
				n++
				v := view(fmt.Sprintf("p000-%d", n%17), fmt.Sprintf("c%d", n%4), rapid.SampledFrom([]core.Class{
					core.ClassInteractive, core.ClassStandard, core.ClassBatch}).Draw(rt, "class"))
				r := modelCall(v, n, rapid.Int64Range(10, 9000).Draw(rt, "prompt"))
				r.Suspect = rapid.IntRange(0, 9).Draw(rt, "suspect") == 0
				if rapid.Bool().Draw(rt, "model") {
					r.Call.Model = "other"
				}
				p.Enqueue(now, r)
				take()
			},
			"done": func(rt *rapid.T) {
				if len(running) > 0 {
					end(rapid.IntRange(0, len(running)-1).Draw(rt, "k"), rapid.IntRange(0, 4).Draw(rt, "ok") > 0)
					take()
				}
			},
			"state": func(rt *rapid.T) {
				i := rapid.IntRange(0, engines-1).Draw(rt, "i")
				if ups[i].present {
					ups[i].reachable, ups[i].leaving = rapid.Bool().Draw(rt, "reachable"), rapid.Bool().Draw(rt, "leaving")
					p.SetUpstreamState(now, engineInfo(i).ID, ups[i].reachable, ups[i].leaving)
				}
				take()
			},
			"replace": func(rt *rapid.T) {
				i := rapid.IntRange(0, engines-1).Draw(rt, "i")
				if ups[i].running > 0 {
					return
				}
				if rapid.Bool().Draw(rt, "remove") {
					p.RemoveUpstream(now, engineInfo(i).ID)
					ups[i].present = false
				} else {
					ups[i].inc++
					set(i)
				}
				take()
			},
			"load": func(rt *rapid.T) {
				p.OnLoad(now, core.Load{
					Upstream: engineInfo(rapid.IntRange(0, engines-1).Draw(rt, "i")).ID, Measured: now,
					Running: rapid.IntRange(0, 12).Draw(rt, "running"),
				})
			},
			"time": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond)
				p.Unroutable(now)
				p.Orders(now)
				take()
			},
		})
		// With all upstreams usable again, all waiting requests must be dispatched.
		for i := range engines {
			ups[i].inc++
			set(i)
			p.OnLoad(now, core.Load{Upstream: engineInfo(i).ID, Measured: now})
		}
		for range 400 {
			now = now.Add(time.Second)
			for i := range engines {
				p.OnLoad(now, core.Load{Upstream: engineInfo(i).ID, Measured: now, Running: ups[i].running})
			}
			take()
			for len(running) > 0 {
				end(0, true)
			}
		}
		if _, ok := p.Next(now.Add(time.Hour)); ok || len(running) > 0 {
			rt.Fatal("calls are left after 400 s with idle upstreams")
		}
		if left := queueLen(p); left > 0 {
			rt.Fatalf("%d requests are still waiting although the upstreams are idle", left)
		}
	})
}

func queueLen(p core.Policy) int {
	if d, ok := p.(*defaultPolicy); ok {
		return d.queue.len()
	}
	return p.(*baseline).queue.len()
}

// Guards against routing decisions whose work or memory grows with the number of
// upstreams: a call must not allocate more with 3,000 upstreams than with 10, and
// the number of scored candidates must be bounded.
func TestDecisionDoesNotGrowWithTheFleet(t *testing.T) {
	measure := func(n int) (allocs float64, scored int) {
		d := newParts(t, 1)
		for i := range n {
			info := engineInfo(i)
			info.Slots, info.CacheTokens = 64, 4_000_000
			info.Region = fmt.Sprintf("r%d", i%3)
			d.SetUpstream(epoch, info)
		}
		counter := &countingScore{}
		d.router.scores = append(d.router.scores, counter)
		v := view("p000-a", "c", core.ClassStandard)
		v.Region = "r0"
		r := modelCall(v, 1, 8000)
		r.Call.SharedPrefix, r.Call.SharedTokens = "sys", 2000
		s := 0.0
		cycle := func() {
			s += 0.3
			d.Enqueue(at(s), r)
			a, ok := d.Next(at(s))
			if !ok {
				t.Fatal("no upstream for the call")
			}
			finish(d, at(s+0.2), a, 100)
		}
		for range 100 {
			cycle()
		}
		counter.n = 0
		allocs = testing.AllocsPerRun(100, cycle)
		return allocs, counter.n / 101
	}
	small, _ := measure(10)
	large, scored := measure(3000)
	if large > small {
		t.Errorf("%.1f allocations per call with 3,000 upstreams, %.1f with 10", large, small)
	}
	// Three regions, the upstreams with the history, and those with the prefix.
	if limit := 3*maxGroupCandidates + 10 + maxSharedPrefixCandidates; scored > limit {
		t.Errorf("%d candidates were scored, want at most %d", scored, limit)
	}
}

type countingScore struct{ n int }

func (*countingScore) name() string { return "counting" }
func (c *countingScore) cost(*routing, *candidate) float64 {
	c.n++
	return 0
}
