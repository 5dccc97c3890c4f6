package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/ratelimit"
)

// turn returns a turn of a conversation whose first tokens are a shared part.
func turn(conversation uint64, prompt int) Request {
	return Request{
		Service: "s", PromptTokens: prompt, OutputTokens: 75, EventTokens: engineEvent, CacheTokens: 120_000, Conversation: conversation,
		Prompt: []Part{{Key: 1, Tokens: 512}, {Key: conversation, Tokens: prompt - 512}},
	}
}

// serve lets a member serve a turn as an idle engine of the given pace does.
func serve(f *Fleet, m *Member, r Request, pace float64, now time.Time) time.Time {
	ms := func(v float64) time.Duration { return time.Duration(v * pace * float64(time.Millisecond)) }
	w := f.StartWork(m, &r, now)
	f.RecordStart(m, ratelimit.First, now)
	first := now.Add(ms(float64(w.read)/engineReadRate + engineEvent*engineStepMs))
	w.Event(first)
	f.FirstEvent(&w, now)
	end := first
	for range 4 {
		end = end.Add(ms(engineEvent * engineStepMs))
		w.Event(end)
	}
	f.EndWork(&w, true, now, end)
	f.RecordEnd(m)
	return end
}

// pacedFleet returns a fleet that has learnt the speed of its members, and the time then.
// Each has reported that it is idle.
func pacedFleet(n int) (*Fleet, time.Time) {
	f := New("a1", regions, start)
	now := start
	for i := range n {
		f.Put(upstream(fmt.Sprintf("u%04d", i), "a1"), now)
	}
	reportAll(f, Load{Running: 1, Slots: 8, Pace: 1}, now)
	for i := range 40 {
		now = serve(f, f.byService["s"][i%n], turn(uint64(1000+i), 600+i*50), 1, now)
	}
	now = now.Add(10 * time.Second) // measured paces and loads are old
	reportAll(f, Load{Running: 1, Slots: 8, Pace: 1}, now)
	return f, now
}

func reportAll(f *Fleet, l Load, now time.Time) {
	for _, m := range f.byService["s"] {
		f.RecordLoad(m, l, now)
	}
}

// shares returns how often each member is chosen for first turns of other conversations.
func shares(f *Fleet, n int, now time.Time) map[string]int {
	count := make(map[string]int)
	for i := range n {
		r := turn(uint64(50_000+i), 900)
		r.Draw = float64(i) / float64(n)
		count[f.Pick(r, now).ID]++
	}
	return count
}

// Guards against speeds that are constants of one model, or that are not found.
func TestLearnsSpeeds(t *testing.T) {
	f, _ := pacedFleet(10)
	md := f.models["s"]
	if got := 1 / md.readTime; got < 0.9*engineReadRate || got > 1.1*engineReadRate {
		t.Errorf("reads %.1f tokens a ms, want about %v", got, engineReadRate)
	}
	if got := md.step.value; got < 0.9*engineStepMs || got > 1.1*engineStepMs {
		t.Errorf("a token takes %.2f ms, want about %v", got, engineStepMs)
	}
}

// Guards against another cost for services whose upstreams report no pace, also if a single
// one does: the values are those that the release before (20596bf) had, to the digit.
func TestCountCostUnchanged(t *testing.T) {
	f := newFleet(upstream("x", "a1"), upstream("y", "b1"), upstream("z", "a2"))
	r := Request{Service: "s", Affinity: "x", ServiceTime: 275 * time.Millisecond, PromptTokens: 900, OutputTokens: 75}
	f.RecordLoad(f.Member("x"), Load{Running: 8, Waiting: 5, Slots: 8}, start)
	f.RecordFailure(f.Member("y"), false, start)
	f.RecordStart(f.Member("z"), ratelimit.First, start)
	now := start.Add(300 * time.Millisecond)
	check := func(when string) {
		t.Helper()
		if f.timeModel(&r) != nil {
			t.Errorf("%s: the expected time is in force", when)
		}
		for id, want := range map[string]float64{"x": 32.41308037721469, "y": 164.60052488712853, "z": 3.5} {
			if got := f.cost(f.Member(id), r, now); got != want {
				t.Errorf("%s: the cost of %s is %v, want %v", when, id, got, want)
			}
		}
	}
	check("counts")
	f.Put(upstream("w", "a1"), now)
	f.RecordLoad(f.Member("z"), Load{Slots: 8}, start)
	f.RecordLoad(f.Member("w"), Load{Running: 1, Slots: 8, Pace: 1}, now)
	check("one of three reports a pace")
	w := f.StartWork(f.Member("x"), &r, now)
	if w.model != nil {
		t.Error("work is recorded")
	}
}

// Guards against moving a conversation away from the upstream that holds its long prompt
// because a few requests run there, and against keeping it there whatever the load.
func TestPrefixAgainstLoad(t *testing.T) {
	f, now := pacedFleet(10)
	home := f.byService["s"][3]
	r := turn(7, 5000)
	now = serve(f, home, r, 1, now)
	r.LaterTurn, r.Affinity, r.Draw = true, home.ID, 0.37
	reportAll(f, Load{Running: 1, Slots: 8, Pace: 1}, now)
	f.RecordLoad(home, Load{Running: 3, Slots: 8, Pace: 1}, now)
	if m := f.Pick(r, now); m != home {
		t.Errorf("picked %s, want %s, which has the prompt", m.ID, home.ID)
	}
	f.RecordLoad(home, Load{Running: 8, Waiting: 16, Slots: 8, Pace: 1}, now)
	if m := f.Pick(r, now); m == home {
		t.Error("picked the upstream with the prompt although 16 requests wait there")
	}
}

// Guards against placing requests where their prompts do not fit: another one is preempted
// and read again.
func TestMemoryFit(t *testing.T) {
	f, now := pacedFleet(10)
	full := f.byService["s"][4]
	r := turn(8, 5000)
	r.CacheTokens = 9_000
	f.RecordLoad(full, Load{Running: 4, Slots: 8, Pace: 1}, now)
	md := f.models["s"]
	tight := f.score(md, full, &r, now)
	r.CacheTokens = 120_000
	if roomy := f.score(md, full, &r, now); roomy.Memory != 0 || tight.Memory <= 0 {
		t.Errorf("memory costs %.1f ms where the prompt fits, %.1f ms where it does not", roomy.Memory, tight.Memory)
	}
}

// Guards against a single implausible report that leaves an upstream without requests or
// sends it too many of them.
func TestSingleImplausibleReport(t *testing.T) {
	for _, l := range []Load{
		{Running: 1, Slots: 8, Pace: 20}, {Running: 1, Slots: 8, Pace: 0.1}, {Running: 0, Slots: 1000, Pace: 1}, {Running: 1000, Waiting: 1000, Slots: 8, Pace: 1},
	} {
		f, now := pacedFleet(20)
		m := f.byService["s"][5]
		reportAll(f, Load{Running: 3, Slots: 8, Pace: 1}, now)
		const requests = 400
		before := shares(f, requests, now)
		f.RecordLoad(m, l, now)
		// No more than the share of the sample in which it is.
		if got := shares(f, requests, now)[m.ID]; got > requests*(sampleSize+2)/20 {
			t.Errorf("%+v: %d of %d requests", l, got, requests)
		}
		now = now.Add(time.Second)
		if got := shares(f, requests, now)[m.ID]; got < before[m.ID]/2 {
			t.Errorf("%+v: %d of %d requests a second later, %d before", l, got, requests, before[m.ID])
		}
	}
}

// Guards against a reported pace that counts more than what this process measured, and
// against either counting long after it was true.
func TestMeasuredPaceFirst(t *testing.T) {
	var p pace
	now := start
	for range 40 {
		p.report(1, now)
		p.measure(1, now)
		now = now.Add(time.Second)
	}
	for range 6 {
		p.measure(1, now)
	}
	p.report(2.5, now)
	if got := p.now(now); got > 1.75 {
		t.Errorf("pace %.2f although this process measures 1", got)
	}
	if got := p.now(now.Add(3 * time.Second)); got < 0.9 || got > 1.1 {
		t.Errorf("pace %.2f three seconds later, want about 1", got)
	}
}

// Guards against all processes choosing the same upstream because they decide at the same
// moment by the same old reports: it has slots for a few of them only.
func TestManyProcessesSpread(t *testing.T) {
	const processes, upstreams, slots = 26, 40, 8
	for _, c := range []struct {
		name  string
		paced bool
		idle  int
	}{{"one idle, counts", false, 1}, {"one idle", true, 1}, {"five idle", true, 5}, {"all equal", true, upstreams}} {
		most := 0
		for seed := range 20 {
			count := make(map[string]int)
			for i := range processes {
				f, now := pacedFleet(upstreams)
				reportAll(f, Load{Running: 7, Waiting: 1, Slots: slots, Pace: 1}, now)
				for _, m := range f.byService["s"][:c.idle] {
					f.RecordLoad(m, Load{Running: 1, Slots: slots, Pace: 0.7}, now)
				}
				if !c.paced {
					reportAll(f, Load{Running: 7, Waiting: 1, Slots: slots}, now)
					f.RecordLoad(f.byService["s"][0], Load{Running: 1, Slots: slots}, now)
				}
				r := turn(uint64(9000+100*seed+i), 900)
				r.Draw = float64(mix(uint64(100*seed+i))>>11) / (1 << 53)
				count[f.Pick(r, now.Add(200*time.Millisecond)).ID]++
			}
			for _, n := range count {
				most = max(most, n)
			}
		}
		t.Logf("%s: at most %d of %d at one upstream", c.name, most, processes)
		if most > slots && c.paced {
			t.Errorf("%s: %d of %d processes choose the same upstream, which has %d slots", c.name, most, processes, slots)
		}
	}
}

// BenchmarkPick compares the cost by counts with the expected time.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{40, 3000} {
		for _, by := range []string{"counts", "time"} {
			b.Run(fmt.Sprintf("by=%s/upstreams=%d", by, n), func(b *testing.B) {
				f, now := pacedFleet(n)
				if by == "counts" {
					reportAll(f, Load{Running: 1, Slots: 8}, now)
				}
				r := turn(7, 3000)
				i := uint64(0)
				b.ReportAllocs()
				for b.Loop() {
					i++
					r.Draw, r.Conversation = float64(mix(i)>>11)/(1<<53), mix(i)
					now = now.Add(100 * time.Microsecond)
					f.Pick(r, now)
				}
			})
		}
	}
}

// Guards against filters that hold for the cost by counts only: rate limits, suspensions,
// excluded members and the last resorts.
func TestFiltersHoldByTime(t *testing.T) {
	f, now := pacedFleet(4)
	r := turn(7, 900)
	list := f.byService["s"]
	for _, m := range list[:3] {
		f.RecordFailure(m, true, now)
	}
	if m := f.Pick(r, now); m != list[3] {
		t.Errorf("picked %+v, want the only member that is not suspended", m)
	}
	r.Excluded = func(id string) bool { return id == list[3].ID }
	if m := f.Pick(r, now); m == nil || m == list[3] {
		t.Errorf("picked %+v, want a suspended one as the last resort", m)
	}
	r.Excluded = nil
	f.Limits().SetShares(ratelimit.EqualShares(0, 1), now)
	f.RecordLimit(list[3], limitTo(0), now, now)
	if m := f.Pick(r, now); m == list[3] {
		t.Error("picked a member without a permit")
	}
}

// Guards against traffic between regions while the own one has room, and against refusing
// requests or waiting for long while the other one has.
func TestTimeStaysInRegion(t *testing.T) {
	f, now := pacedFleet(10)
	for i := range 10 {
		f.Put(upstream(fmt.Sprintf("far%d", i), "b1"), now)
	}
	picked := func(l Load) (far int) {
		for _, m := range f.byService["s"] {
			f.RecordLoad(m, Load{Running: 1, Slots: 8, Pace: 1}, now)
			if m.distance < otherRegionCost {
				f.RecordLoad(m, l, now)
			}
		}
		for i := range 100 {
			r := turn(uint64(600+i), 900)
			r.Draw = float64(i) / 100
			if f.Pick(r, now).distance >= otherRegionCost {
				far++
			}
		}
		return far
	}
	if n := picked(Load{Running: 4, Slots: 8, Pace: 1}); n > 0 {
		t.Errorf("%d of 100 requests leave the region, which has room", n)
	}
	if n := picked(Load{Running: 8, Waiting: 24, Slots: 8, Pace: 1}); n < 90 {
		t.Errorf("%d of 100 requests leave the region, which has queues of 24", n)
	}
}

// Guards against a new run of an upstream that inherits the cached prompts and the pace of
// the one before, and against attempts of the old one that count for the new one.
func TestNewRunStartsAnew(t *testing.T) {
	f, now := pacedFleet(4)
	old := f.byService["s"][0]
	r := turn(7, 900)
	w := f.StartWork(old, &r, now)
	u := old.Upstream
	u.StartedUnixMs++
	f.Put(u, now)
	f.EndWork(&w, true, now, now.Add(time.Second))
	f.RecordLoad(old, Load{Running: 8, Waiting: 8, Slots: 8, Pace: 4}, now)
	if m := f.Member(old.ID); m.est != nil || f.RunningWork(m) != 0 {
		t.Errorf("the new run has the estimate of the old one: %+v", m.est)
	}
	if n := f.models["s"].members[reportsPace]; n != 3 {
		t.Errorf("%d members report a pace, want 3", n)
	}
}

// Guards against sending plain requests to slow or full upstreams of a service whose
// requests have no tokens.
func TestPlainRequestsByTime(t *testing.T) {
	f := newFleet(upstream("fast", "a1"), upstream("slow", "a1"), upstream("full", "a1"))
	now := start
	plain := Request{Service: "s"}
	reportAll(f, Load{Running: 1, Slots: 8, Pace: 1}, now)
	for i := range 60 {
		id := []string{"fast", "slow", "full"}[i%3]
		m := f.Member(id)
		w := f.StartWork(m, &plain, now)
		end := now.Add(40 * time.Millisecond)
		if id == "slow" {
			end = now.Add(90 * time.Millisecond)
		}
		f.EndWork(&w, true, now, end)
		now = end
	}
	reportAll(f, Load{Running: 1, Slots: 8, Pace: 1}, now)
	f.RecordLoad(f.Member("full"), Load{Running: 8, Waiting: 12, Slots: 8, Pace: 1}, now)
	md := f.timeModel(&plain)
	if md == nil {
		t.Fatal("the expected time is not in force")
	}
	total := func(id string) float64 { s := f.score(md, f.Member(id), &plain, now); return s.Total() }
	if fast, slow, full := total("fast"), total("slow"), total("full"); fast >= slow || fast >= full {
		t.Errorf("fast %.1f ms, slow %.1f ms, full %.1f ms", fast, slow, full)
	}
}
