package engine

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

var epoch = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// testOptions: prefill 1000 tokens/s, decode 10 tokens/s, no lags.
func testOptions() Options {
	return Options{Slots: 2, CacheTokens: 10_000, PrefillRate: 1000, DecodeRate: 10, RestoreRate: 10_000}
}

func submit(t *testing.T, e *Engine, now time.Time, r Request) {
	t.Helper()
	if err := e.Submit(now, r); err != nil {
		t.Fatalf("submit %s: %v", r.ID, err)
	}
}

// run advances to the end of all work and returns the outputs of a kind by id.
func run(e *Engine, until time.Time, kind OutputKind) map[string]Output {
	m := make(map[string]Output)
	for _, o := range e.Advance(until) {
		if o.Kind == kind {
			m[o.ID] = o
		}
	}
	return m
}

func near(t *testing.T, what string, got time.Time, want float64) {
	t.Helper()
	if d := got.Sub(at(want)); d < -time.Millisecond || d > time.Millisecond {
		t.Errorf("%s at %.3f s, want %.3f s", what, got.Sub(epoch).Seconds(), want)
	}
}

// Guards against decoding that goes on during another request's prefill, and
// against a batch that runs its sequences one after the other.
func TestPrefillBeforeDecode(t *testing.T) {
	e := New(testOptions())
	submit(t, e, at(0), Request{ID: "a", PromptTokens: 1000, OutputTokens: 11})
	submit(t, e, at(1.5), Request{ID: "b", PromptTokens: 1000, OutputTokens: 11})
	submit(t, e, at(1.5), Request{ID: "c", PromptTokens: 1000, OutputTokens: 1})
	out := e.Advance(at(60))
	times := map[string]time.Time{}
	for _, o := range out {
		times[fmt.Sprint(o.ID, o.Kind)] = o.Time
	}
	near(t, "first token of a", times["a0"], 1)
	near(t, "first token of b", times["b0"], 2.5)
	near(t, "end of a", times["a2"], 3) // 0.5 s, stalled 1 s, 0.5 s
	near(t, "first token of c", times["c0"], 4)
	near(t, "end of b", times["b2"], 4.5) // stalled from 3 to 4 by c
}

// Guards against a prefix cache that does not serve the next turn, and against
// eviction of a pinned prefix before an unpinned one.
func TestPrefixCacheAndPins(t *testing.T) {
	e := New(testOptions())
	submit(t, e, at(0), Request{ID: "p1", Program: "p", PromptTokens: 3000, OutputTokens: 10})
	submit(t, e, at(10), Request{ID: "q1", Program: "q", PromptTokens: 3000, OutputTokens: 10})
	if err := e.Order(at(20), Order{Order: core.OrderPin, Program: "p", Term: 30 * time.Second}); err != nil {
		t.Fatal(err)
	}
	submit(t, e, at(20), Request{ID: "r1", Program: "r", PromptTokens: 5000, OutputTokens: 10})
	e.Advance(at(30))
	submit(t, e, at(30), Request{ID: "p2", Program: "p", PromptTokens: 3100, OutputTokens: 10})
	submit(t, e, at(40), Request{ID: "q2", Program: "q", PromptTokens: 3100, OutputTokens: 10})
	done := run(e, at(80), Done)
	if got := done["p2"].Cached; got != 3010 {
		t.Errorf("pinned program: %d tokens cached, want 3010", got)
	}
	if got := done["q2"].Cached; got != 0 {
		t.Errorf("evicted program: %d tokens cached, want 0", got)
	}
}

// Guards against a shared prefix that is counted once per program or evicted
// under the programs that need it.
func TestSharedPrefix(t *testing.T) {
	e := New(testOptions())
	for i, id := range []string{"a", "b"} {
		submit(t, e, at(float64(10*i)), Request{ID: id, Program: id, SharedPrefix: "sys", SharedTokens: 2000, PromptTokens: 2500, OutputTokens: 10})
	}
	done := run(e, at(30), Done)
	if got := done["b"].Cached; got != 2000 {
		t.Errorf("second program: %d tokens cached, want 2000", got)
	}
	if got := e.Load(at(40)).CacheUsed; got != 2000+2*510 {
		t.Errorf("%d tokens used, want 3020", got)
	}
}

// Guards against a priority that has no effect, with and without preemption.
func TestPriority(t *testing.T) {
	for _, preempt := range []bool{false, true} {
		o := testOptions()
		o.Slots, o.Preempt = 1, preempt
		e := New(o)
		submit(t, e, at(0), Request{ID: "low", Program: "l", PromptTokens: 1000, OutputTokens: 101, Priority: 5})
		submit(t, e, at(2), Request{ID: "mid", Program: "m", PromptTokens: 1000, OutputTokens: 1, Priority: 3})
		submit(t, e, at(2), Request{ID: "high", Program: "h", PromptTokens: 1000, OutputTokens: 1, Priority: 0})
		done := run(e, at(100), Done)
		if preempt {
			near(t, "high", done["high"].Time, 3)
			near(t, "mid", done["mid"].Time, 4)
		} else {
			near(t, "high", done["high"].Time, 12)
			near(t, "mid", done["mid"].Time, 13)
		}
		if n := done["low"].Tokens; n != 101 {
			t.Errorf("preempt %v: interrupted request generated %d tokens, want 101", preempt, n)
		}
	}
}

// Guards against cancelled requests that keep their slot, and against results
// that cannot be resumed or are kept for ever.
func TestCancelAndResume(t *testing.T) {
	o := testOptions()
	o.Slots = 1
	e := New(o)
	submit(t, e, at(0), Request{ID: "a", PromptTokens: 1000, OutputTokens: 1000})
	submit(t, e, at(0), Request{ID: "b", PromptTokens: 1000, OutputTokens: 1})
	e.Cancel(at(2), "a")
	near(t, "b", run(e, at(10), Done)["b"].Time, 3)
	if r, ok := e.Lookup(at(10), "a"); !ok || r.Running || r.Tokens != 11 || r.Reason != ReasonCancelled {
		t.Errorf("cancelled request: %+v, %v", r, ok)
	}
	if err := e.Submit(at(10), Request{ID: "a", PromptTokens: 1}); err != ErrDuplicate {
		t.Errorf("reused id: %v", err)
	}
	if _, ok := e.Lookup(at(60), "a"); ok {
		t.Error("result kept beyond its term")
	}
}

// Guards against orders of a paused owner, and against an engine that ignores
// the number behaving as if it checked it.
func TestFencing(t *testing.T) {
	for _, checks := range []bool{false, true} {
		o := testOptions()
		o.Fencing = checks
		e := New(o)
		if err := e.Order(at(0), Order{Order: core.OrderPin, Program: "p", Term: time.Second, Fencing: 7}); err != nil {
			t.Fatal(err)
		}
		err := e.Order(at(0), Order{Order: core.OrderRelease, Program: "p", Fencing: 6})
		if (err == ErrFenced) != checks {
			t.Errorf("checks %v: old number gives %v", checks, err)
		}
	}
}

// Guards against models usable before they are loaded, and against an export
// that loses the length of the prefix.
func TestModelsAndKV(t *testing.T) {
	o := testOptions()
	o.Models, o.ModelDelay = []string{"m1"}, 20*time.Second
	e := New(o)
	if err := e.Order(at(0), Order{Order: core.OrderLoadModel, Argument: "m2"}); err != nil {
		t.Fatal(err)
	}
	if err := e.Submit(at(19), Request{ID: "x", Model: "m2", PromptTokens: 10}); err != ErrModel {
		t.Errorf("before the load: %v", err)
	}
	submit(t, e, at(21), Request{ID: "a", Program: "p", Model: "m2", PromptTokens: 1000, OutputTokens: 10})
	e.Advance(at(30))
	kv, err := e.Export(at(30), "p")
	if err != nil {
		t.Fatal(err)
	}
	other := New(testOptions())
	if err := other.Import(at(30), kv); err != nil {
		t.Fatal(err)
	}
	submit(t, other, at(30), Request{ID: "b", Program: "p", Model: "m2", PromptTokens: 1100, OutputTokens: 1})
	if got := run(other, at(40), Done)["b"].Cached; got != 1010 {
		t.Errorf("%d tokens cached after the import, want 1010", got)
	}
}

// Guards against a crash that keeps memory or forgets a request on board.
func TestCrash(t *testing.T) {
	o := testOptions()
	o.RestartDelay = 5 * time.Second
	e := New(o)
	e.CrashOn(99, true)
	submit(t, e, at(0), Request{ID: "a", Program: "p", PromptTokens: 1000, OutputTokens: 10})
	submit(t, e, at(5), Request{ID: "b", PromptTokens: 1000, OutputTokens: 100})
	submit(t, e, at(7), Request{ID: "bad", PromptTokens: 1000, Fingerprint: 99})
	if failed := run(e, at(9), Failed); len(failed) != 2 {
		t.Errorf("%d requests lost, want b and bad", len(failed))
	}
	if err := e.Submit(at(10), Request{ID: "c", PromptTokens: 1}); err != ErrDown {
		t.Errorf("during the restart: %v", err)
	}
	if e.Incarnation() != 2 || len(e.Held(at(14))) != 0 {
		t.Errorf("incarnation %d, held %v", e.Incarnation(), e.Held(at(14)))
	}
	submit(t, e, at(14), Request{ID: "d", PromptTokens: 1})
}

// Guards against load reports and cache events that come at once and without
// gaps, since a scheduler that relies on that fails in production.
func TestLagAndGaps(t *testing.T) {
	o := testOptions()
	o.LoadLag, o.EventDelay, o.EventLoss, o.Seed = 2*time.Second, 3*time.Second, 0.5, 1
	e := New(o)
	submit(t, e, at(10), Request{ID: "a", PromptTokens: 1000, OutputTokens: 1000})
	if l := e.Load(at(11)); l.Running != 0 {
		t.Errorf("load after 1 s shows %d running", l.Running)
	}
	if l := e.Load(at(12.5)); l.Running != 1 {
		t.Errorf("load after 2.5 s shows %d running", l.Running)
	}
	for i := range 40 {
		kv := KV{Program: fmt.Sprint("p", i), Tokens: 10}
		if err := e.Import(at(20), kv); err != nil {
			t.Fatal(err)
		}
	}
	n := 0
	for _, out := range e.Advance(at(30)) {
		if out.Kind == Cache {
			n++
			if out.Time.Before(at(23)) {
				t.Errorf("event %d delivered at %v", out.Event.Number, out.Time)
			}
		}
	}
	if n == 0 || n == 40 {
		t.Errorf("%d of 40 events delivered, want gaps", n)
	}
}

// Guards against lost or doubled completions, memory that leaks, and a result
// that depends on anything but the seed, under random use.
func TestRandomUse(t *testing.T) {
	for seed := uint64(0); seed < 60; seed++ {
		first := randomRun(t, seed)
		if second := randomRun(t, seed); !reflect.DeepEqual(first, second) {
			t.Fatalf("seed %d: two runs differ", seed)
		}
	}
}

func randomRun(t *testing.T, seed uint64) []Output {
	rng := rand.New(rand.NewPCG(seed, 0))
	o := testOptions()
	o.Slots, o.Seed, o.Preempt, o.EventLoss = 1+rng.IntN(5), seed, seed%2 == 0, 0.2
	o.EventLag, o.RestartDelay, o.HostTokens = time.Second, time.Second, 4000
	o.DecodeShare, o.BatchSlowdown = float64(seed%3)/4, 0.1
	e := New(o)
	now := epoch
	open := map[string]bool{}
	var all []Output
	collect := func() {
		for _, out := range e.Advance(now) {
			if out.Kind == Done || out.Kind == Failed {
				if !open[out.ID] {
					t.Fatalf("seed %d: %s ended twice or was never accepted", seed, out.ID)
				}
				delete(open, out.ID)
			}
			all = append(all, out)
		}
		checkMemory(t, seed, e)
	}
	for i := range 300 {
		now = now.Add(time.Duration(rng.Int64N(int64(time.Second))))
		program := fmt.Sprint("p", rng.IntN(8))
		switch rng.IntN(12) {
		case 0:
			e.Cancel(now, fmt.Sprint("r", rng.IntN(i+1)))
		case 1:
			_ = e.Order(now, Order{Order: core.OrderPin, Program: program, Term: time.Duration(rng.IntN(20)) * time.Second})
		case 2:
			_ = e.Order(now, Order{Order: core.OrderRelease, Program: program})
		case 3:
			_ = e.Order(now, Order{Order: core.OrderOffload, Program: program})
		case 4:
			if rng.IntN(10) == 0 {
				e.Crash(now)
			}
		case 5:
			_ = e.Import(now, KV{Program: program, Model: "/", Tokens: rng.Int64N(2000)})
		default:
			r := Request{
				ID: fmt.Sprint("r", i), Program: program, PromptTokens: 600 + rng.Int64N(2500),
				OutputTokens: 1 + rng.Int64N(60), MaxTokens: 50, Priority: rng.IntN(3),
			}
			if rng.IntN(2) == 0 {
				r.SharedPrefix, r.SharedTokens = "shared", 500
			}
			if e.Submit(now, r) == nil {
				open[r.ID] = true
			}
		}
		collect()
	}
	for range 10_000 {
		next := e.NextEvent()
		if next.IsZero() {
			break
		}
		now = next
		collect()
	}
	if len(open) != 0 {
		t.Fatalf("seed %d: never ended: %v", seed, open)
	}
	return all
}

func checkMemory(t *testing.T, seed uint64, e *Engine) {
	t.Helper()
	var used, host int64
	for _, p := range e.cache.entries {
		if p.offloaded {
			host += p.memory()
		} else {
			used += p.memory()
		}
	}
	for _, s := range e.running {
		used += s.private
	}
	if used != e.cache.used || host != e.cache.host {
		t.Fatalf("seed %d: used %d and host %d, accounted %d and %d", seed, used, host, e.cache.used, e.cache.host)
	}
	if used > e.cache.capacity || host > e.cache.hostCapacity || used < 0 {
		t.Fatalf("seed %d: used %d of %d, host %d of %d", seed, used, e.cache.capacity, host, e.cache.hostCapacity)
	}
	if len(e.running) > e.o.Slots {
		t.Fatalf("seed %d: %d running in %d slots", seed, len(e.running), e.o.Slots)
	}
}

// BenchmarkRequest measures the cost of one simulated request at a full batch.
func BenchmarkRequest(b *testing.B) {
	o := Defaults()
	o.Slots = 64
	e := New(o)
	now := epoch
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(50 * time.Millisecond)
		r := Request{ID: fmt.Sprint(i), Program: fmt.Sprint("p", i%100), PromptTokens: 2000, OutputTokens: 150}
		if err := e.Submit(now, r); err != nil {
			b.Fatal(err)
		}
		e.Advance(now)
	}
}
