package policy

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

const (
	// admissionEvery is the interval at which the expected waits and the set
	// of refused callers are brought up to date.
	admissionEvery = 250 * time.Millisecond
	// waitSmoothing is the time constant in s of the expected wait, so that a
	// short burst refuses nobody.
	waitSmoothing = 2.0
	// usageHalf is the time in s after which a caller's use counts half.
	usageHalf = 60.0
	// refusalMemory is the number of past minutes with a refusal that lower a
	// caller's place among those to be refused.
	refusalMemory = 5
	// minRefusalRetry is the shortest Retry-After if the profile states none.
	minRefusalRetry = 2 * time.Second
)

// waitBound is the expected wait in s, per class, above which new programs are
// refused. The later classes can wait, so that they are queued longer, but they
// see the waits of the earlier classes on top of their own.
var waitBound = [classCount]float64{2, 6, 20}

// callerUse is the recent use of one caller.
type callerUse struct {
	name    string
	use     float64 // tokens, halved every usageHalf
	at      time.Time
	active  int   // admitted root programs
	minute  int64 // last minute with a refusal
	refused int   // minutes with a refusal, fading
	shed    bool
}

// profileUse is how the programs of a profile spread over targets.
type profileUse struct {
	targets []*target
	weights []float64
}

// admission decides on new programs. When the expected wait of a class exceeds
// its bound, it refuses whole callers for the rest of the minute, the ones with
// the largest use of their fair share first, instead of every caller now and
// then: the regulator counts the minutes in which a customer was refused.
type admission struct {
	d        *defaultPolicy
	callers  map[string]*callerUse
	list     []*callerUse // in order of appearance
	profiles map[string]*profileUse
	waits    map[*target]*[classCount]float64
	updated  time.Time
	minute   int64
	shedTo   float64 // share of the use that is refused in this minute
}

func newAdmission(d *defaultPolicy) *admission {
	return &admission{
		d: d, callers: map[string]*callerUse{}, profiles: map[string]*profileUse{},
		waits: map[*target]*[classCount]float64{},
	}
}

func (a *admission) caller(now time.Time, name string) *callerUse {
	c := a.callers[name]
	if c == nil {
		c = &callerUse{name: name, at: now, minute: -1}
		a.callers[name] = c
		a.list = append(a.list, c)
	}
	return c
}

func (c *callerUse) decayed(now time.Time) float64 {
	return c.use * math.Exp2(-max(0, now.Sub(c.at).Seconds())/usageHalf)
}

// charge counts the demand of a call against its caller and its profile's mix of
// targets.
func (a *admission) charge(now time.Time, r *core.Request, t *target) {
	c := a.caller(now, r.Call.Caller)
	c.use = c.decayed(now) + float64(demand(&r.Call))
	c.at = now

	p := a.profiles[r.Program.Profile.Name]
	if p == nil {
		p = &profileUse{}
		a.profiles[r.Program.Profile.Name] = p
	}
	const fade = 0.99
	i := slices.Index(p.targets, t)
	if i < 0 {
		i = len(p.targets)
		p.targets, p.weights = append(p.targets, t), append(p.weights, 0)
	}
	for k := range p.weights {
		p.weights[k] *= fade
	}
	p.weights[i] += 1 - fade
}

// update brings the expected waits up to date.
func (a *admission) update(now time.Time) {
	past := now.Sub(a.updated)
	if past < admissionEvery {
		return
	}
	gain := 1 - math.Exp(-past.Seconds()/waitSmoothing)
	if a.updated.IsZero() {
		gain = 1
	}
	a.updated = now
	for _, t := range a.d.fleet.order {
		w := a.waits[t]
		if w == nil {
			w = &[classCount]float64{}
			a.waits[t] = w
		}
		var waiting [classCount]int
		for _, l := range t.lanes {
			for c, n := range l.ranks {
				waiting[c] += n
			}
		}
		slots := a.slots(now, t)
		ahead := 0
		for c := range waiting {
			ahead += waiting[c]
			wait := 0.0
			if ahead > 0 {
				wait = float64(ahead) * t.service / max(1, slots)
			}
			w[c] += gain * (wait - w[c])
		}
	}
	if m := now.Unix() / 60; m != a.minute {
		a.minute, a.shedTo = m, 0
		for _, c := range a.list {
			c.shed = false
			if c.minute < m-refusalMemory {
				c.refused = 0
			}
		}
	}
}

// slots is the number of calls that a target serves at the same time for this
// entry.
func (a *admission) slots(now time.Time, t *target) float64 {
	n := 0.0
	for _, g := range t.groups {
		for _, m := range g.heap {
			n += max(1, a.d.effectiveLimit(now, m.up)-float64(m.up.others))
		}
	}
	return n
}

// wait is the expected wait of a profile's calls.
func (a *admission) wait(p *core.Profile) float64 {
	rank := rankOf(p.Class)
	use := a.profiles[p.Name]
	if use == nil {
		return a.worst(rank)
	}
	sum, total := 0.0, 0.0
	for i, t := range use.targets {
		if w := a.waits[t]; w != nil {
			sum += use.weights[i] * w[rank]
			total += use.weights[i]
		}
	}
	if total == 0 {
		return 0
	}
	return sum / total
}

func (a *admission) worst(rank int) float64 {
	worst := 0.0
	for _, t := range a.d.fleet.order {
		if w := a.waits[t]; w != nil {
			worst = max(worst, w[rank])
		}
	}
	return worst
}

// admit decides on a new root program. The decision takes no waiting: a refusal
// is returned at once.
func (a *admission) admit(now time.Time, p core.ProgramView) core.Admission {
	a.update(now)
	bound := waitBound[rankOf(p.Profile.Class)]
	wait := a.wait(&p.Profile)
	c := a.caller(now, p.Caller)
	if wait <= bound {
		c.active++
		return core.Admission{OK: true}
	}
	// The share of the use that has to go grows to all at twice the bound.
	a.shed(now, min(1, wait/bound-1))
	if !c.shed && wait < 2*bound {
		c.active++
		return core.Admission{OK: true}
	}
	if c.minute != a.minute {
		c.minute = a.minute
		c.refused = min(refusalMemory, c.refused+1)
	}
	c.shed = true
	return core.Admission{RetryAfter: a.retryAfter(now, &p, wait-bound), Reason: "overloaded"}
}

// retryAfter is the time for the excess to drain, and not before the minute that
// is already counted ends.
func (a *admission) retryAfter(now time.Time, p *core.ProgramView, excess float64) time.Duration {
	least := p.Profile.RefusalRetry
	if least <= 0 {
		least = minRefusalRetry
	}
	minuteEnd := time.Unix((a.minute+1)*60, 0).Sub(now)
	spread := time.Duration(a.d.fleet.rng.Int64N(int64(5 * time.Second)))
	return max(least, time.Duration(excess*float64(time.Second)), minuteEnd) + spread
}

// shed marks callers until they make up the share of the recent use. Marks are
// kept until the minute ends, so that the set grows only as far as it must.
func (a *admission) shed(now time.Time, share float64) {
	if share <= a.shedTo {
		return
	}
	a.shedTo = share
	a.prune(now)
	total := 0.0
	for _, c := range a.list {
		total += c.decayed(now) + 1
	}
	mean := total / float64(len(a.list))
	order := slices.Clone(a.list)
	slices.SortFunc(order, func(x, y *callerUse) int {
		if d := cmp.Compare(a.place(now, y, mean), a.place(now, x, mean)); d != 0 {
			return d
		}
		return cmp.Compare(x.turn(a.minute), y.turn(a.minute))
	})
	sum := 0.0
	for _, c := range order {
		if sum >= share*total {
			break
		}
		sum += c.decayed(now) + 1
		c.shed = true
	}
}

// place is the rank of a caller among those to be refused, highest first: the
// use relative to the mean in powers of two, less one for each recent minute
// with a refusal.
func (a *admission) place(now time.Time, c *callerUse, mean float64) int {
	use := (c.decayed(now) + 1) / mean
	p := max(0, int(math.Ceil(math.Log2(use))))
	if c.minute == a.minute {
		return p + refusalMemory // counted already: further refusals cost nothing
	}
	return p - c.refused
}

// turn orders callers of equal place differently in each minute, and alike in
// every entry, so that the entries refuse the same callers.
func (c *callerUse) turn(minute int64) uint64 {
	return xxhash.Sum64String(c.name) ^ uint64(minute)*0x9e3779b97f4a7c15
}

// prune forgets callers without recent use.
func (a *admission) prune(now time.Time) {
	a.list = slices.DeleteFunc(a.list, func(c *callerUse) bool {
		old := c.active == 0 && c.decayed(now) < 1 && now.Sub(c.at) > 10*time.Minute && c.minute < a.minute-refusalMemory
		if old {
			delete(a.callers, c.name)
		}
		return old
	})
}

func (a *admission) ended(now time.Time, caller string) {
	if c := a.callers[caller]; c != nil && c.active > 0 {
		c.active--
	}
}

func (a *admission) recovered(now time.Time, caller string) { a.caller(now, caller).active++ }
