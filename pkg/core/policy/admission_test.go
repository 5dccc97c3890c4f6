package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// overload holds the results of a run in which callers open programs of one call
// each: among others the refusals per caller and the distinct pairs of caller and
// minute with a refusal.
type overload struct {
	policy            core.Policy
	minutes           map[string]bool
	refused           map[string]int
	opened            map[string]int
	finished          int
	withoutRetryAfter int               // refusals without Retry-After
	unfinished        []core.Assignment // calls still running at the end
}

func runOverload(p core.Policy, seconds int, rate map[string]float64, callers []string) *overload {
	o := &overload{policy: p, minutes: map[string]bool{}, refused: map[string]int{}, opened: map[string]int{}}
	addEngines(p, 4) // 32 slots, calls of 2 s: 16 programs/s
	type run struct {
		a   core.Assignment
		end time.Time
	}
	var running []run
	due := map[string]float64{}
	n := 0
	for ms := 0; ms < seconds*1000; ms += 50 {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		for len(running) > 0 && !now.Before(running[0].end) {
			finish(p, now, running[0].a, 0)
			running = running[1:]
			o.finished++
		}
		for _, c := range callers {
			for due[c] += rate[c] * 0.05; due[c] >= 1; due[c]-- {
				n++
				v := view(fmt.Sprintf("p000-%d", n), c, core.ClassInteractive)
				o.opened[c]++
				if a := p.Admit(now, v); !a.OK {
					o.refused[c]++
					o.minutes[fmt.Sprint(c, now.Unix()/60)] = true
					if a.RetryAfter <= 0 {
						o.withoutRetryAfter++
					}
					continue
				}
				p.Enqueue(now, modelCall(v, n, 100))
			}
		}
		for _, a := range drain(p, now) {
			p.OnFirstToken(now, a.Request.Attempt, 0)
			running = append(running, run{a, now.Add(2 * time.Second)})
		}
	}
	for _, r := range running {
		o.unfinished = append(o.unfinished, r.a)
	}
	return o
}

func evenCallers(n int, total float64) (map[string]float64, []string) {
	rate, names := map[string]float64{}, make([]string, n)
	for i := range n {
		names[i] = fmt.Sprintf("caller-%02d", i)
		rate[names[i]] = total / float64(n)
	}
	return rate, names
}

// Guards against refusals that are spread over all callers: the regulator counts
// each minute in which a customer was refused.
func TestRefusalsAreConcentratedInFewCustomerMinutes(t *testing.T) {
	rate, callers := evenCallers(40, 24) // 1.5 times the capacity
	best := 0
	for _, name := range Names()[1:] {
		o := runOverload(mustNew(t, name, 1), 300, rate, callers)
		t.Logf("%s: %d customer-minutes, %d finished", name, len(o.minutes), o.finished)
		if best == 0 || len(o.minutes) < best {
			best = len(o.minutes)
		}
	}
	o := runOverload(mustNew(t, NameDefault, 1), 300, rate, callers)
	t.Logf("default: %d customer-minutes, %d finished", len(o.minutes), o.finished)
	if got := len(o.minutes); float64(got) > 0.5*float64(best) {
		t.Errorf("%d customer-minutes with a refusal, the best baseline has %d", got, best)
	}
	if o.withoutRetryAfter > 0 {
		t.Errorf("%d refusals without Retry-After", o.withoutRetryAfter)
	}
	// Fairness: no caller is refused every time in five minutes.
	for _, c := range callers {
		if o.refused[c] == o.opened[c] {
			t.Errorf("%s was refused every time", c)
		}
	}
	if limit := 16 * 300 * 8 / 10; o.finished < limit {
		t.Errorf("%d programs finished, less than 80%% of the capacity (%d)", o.finished, limit)
	}
}

// Guards against a caller that causes an overload and gets others refused.
func TestRunawayCallerIsRefusedFirst(t *testing.T) {
	rate, callers := evenCallers(20, 8)
	rate["runaway"] = 30
	o := runOverload(mustNew(t, NameDefault, 1), 180, rate, append(callers, "runaway"))
	others := 0
	for _, c := range callers {
		others += o.refused[c]
	}
	// The others ask for half of the capacity.
	if o.refused["runaway"] == 0 || others > 0 {
		t.Errorf("refused: runaway %d of %d, others %d of %d", o.refused["runaway"], o.opened["runaway"], others, 8*180)
	}
}

// Guards against refusals without overload, at 80% of the capacity.
func TestNoRefusalBelowCapacity(t *testing.T) {
	rate, callers := evenCallers(20, 12.8)
	if o := runOverload(mustNew(t, NameDefault, 1), 300, rate, callers); len(o.minutes) > 0 {
		t.Errorf("%v refused", o.refused)
	}
}

// Guards against calls of admitted programs that are lost: all of them must be
// dispatched once the load has ended.
func TestAdmittedProgramsComplete(t *testing.T) {
	rate, callers := evenCallers(10, 40)
	p := mustNew(t, NameDefault, 1)
	o := runOverload(p, 60, rate, callers)
	now := at(61)
	for _, a := range o.unfinished {
		finish(p, now, a, 0)
	}
	for range 200 {
		now = now.Add(time.Second)
		for _, a := range drain(p, now) {
			finish(p, now, a, 0)
		}
	}
	if unfinished := queueLen(p); unfinished > 0 {
		t.Errorf("%d calls of admitted programs are still waiting", unfinished)
	}
}

// Guards against interactive programs that are refused because batch programs
// wait.
func TestBatchLoadDoesNotRefuseInteractive(t *testing.T) {
	d := newParts(t, 1)
	addEngines(d, 1)
	for i := range 200 {
		d.Enqueue(at(0), modelCall(view(fmt.Sprintf("p000-%d", i), "c", core.ClassBatch), i, 100))
	}
	for s := range 20 {
		drain(d, at(float64(s)))
		d.Admit(at(float64(s)), view("p001-x", "c", core.ClassBatch))
	}
	if a := d.Admit(at(20), view("p001-b", "c", core.ClassBatch)); a.OK {
		t.Error("a batch program was admitted behind 200 waiting calls")
	}
	if a := d.Admit(at(20), view("p001-i", "c2", core.ClassInteractive)); !a.OK {
		t.Errorf("an interactive program was refused (%s) because of batch programs", a.Reason)
	}
}

// Guards against a Retry-After that ends within the current minute, whose
// refusal already counts, or so early that the caller is refused in the following
// minutes too; and against one that is much longer than a short overload.
func TestRetryAfterExceedsCurrentMinute(t *testing.T) {
	a := newParts(t, 1).admission
	p := view("p000-a", "c", core.ClassInteractive)
	a.minute = at(20).Unix() / 60 // 40 s of the minute are left
	for _, tc := range []struct {
		share    float64
		from, to time.Duration
	}{
		{0.01, 40 * time.Second, 46 * time.Second},
		{0.5, 100 * time.Second, 105 * time.Second},
		{maxShedShare, 40*time.Second + maxExtraRetryAfter, 45*time.Second + maxExtraRetryAfter},
	} {
		if got := a.retryAfter(at(20), &p, 1, tc.share); got < tc.from || got > tc.to {
			t.Errorf("with %.0f%% refused: Retry-After %v, want %v to %v", 100*tc.share, got, tc.from, tc.to)
		}
	}
}
