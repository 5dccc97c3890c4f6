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
	// maxComeBack bounds the minutes that are added to Retry-After.
	maxComeBack = 2 * time.Minute
	// minRefusalRetry is the shortest Retry-After if the profile states none.
	minRefusalRetry = 2 * time.Second
)

// waitBound is the expected wait in s, per class, at which new programs are
// refused. The later classes can wait, so that they are queued longer, but they
// see the waits of the earlier classes on top of their own.
var waitBound = [classCount]float64{0.5, 0.7, 1}

// The refused share of a profile follows its expected wait by a
// proportional-integral controller. With a load of up to twice the capacity it
// is critically damped.
const (
	shedProportional = 0.30
	shedIntegral     = 0.02 // per s
	shedMax          = 0.95
	shedScale        = 1.5 // s of wait beyond the bound that count as 1
	shedError        = 2.0 // largest error, against overshoot at the start
	// shedTerm is how long the share of a class holds for the later ones if no
	// program of the class arrives.
	shedTerm = 5 * time.Second
	// newcomerWeight is the weight of one program in the share of newcomers.
	newcomerWeight = 0.02
	// refuseAll is the wait in s beyond the bound at which every new program
	// is refused, since the controller is outrun.
	refuseAll = 8.0
)

// callerUse is the recent use of one caller.
type callerUse struct {
	name    string
	use     float64 // tokens, halved every usageHalf
	at      time.Time
	active  int     // admitted root programs
	minute  int64   // last minute with a refusal
	refused int     // recent minutes with a refusal
	rank    int64   // minute for which place is valid
	fresh   bool    // had no recent use when place was set
	place   float64 // in the order of refusal of this minute, from 0 to 1
}

// profileUse is how the programs of a profile spread over targets, and the
// controller of the share of them that is refused.
type profileUse struct {
	targets  []*target
	weights  []float64
	integral float64
	updated  time.Time
}

// admission decides on new programs. When the expected wait of a class exceeds
// its bound, it refuses whole callers within the minute instead of every caller
// now and then: the regulator counts the minutes in which a customer was
// refused.
type admission struct {
	d        *defaultPolicy
	callers  map[string]*callerUse
	list     []*callerUse // in order of appearance
	profiles map[string]*profileUse
	updated  time.Time
	minute   int64
	// newcomers is the running share of programs of callers without recent use.
	newcomers float64
	shares    [classCount]shedShare // last refused share of each class
	ranked    int64                 // minute of the order of refusal in force
}

// shedShare is a refused share and when it was set.
type shedShare struct {
	share float64
	set   time.Time
}

// at is the share as long as it is recent.
func (s shedShare) at(now time.Time) float64 {
	if now.Sub(s.set) > shedTerm {
		return 0
	}
	return s.share
}

func newAdmission(d *defaultPolicy) *admission {
	return &admission{d: d, callers: map[string]*callerUse{}, profiles: map[string]*profileUse{}, newcomers: 1}
}

func (a *admission) caller(now time.Time, name string) *callerUse {
	c := a.callers[name]
	if c == nil {
		c = &callerUse{name: name, at: now, minute: -1, rank: -1}
		a.callers[name] = c
		a.list = append(a.list, c)
	}
	return c
}

func (c *callerUse) decayed(now time.Time) float64 {
	return c.use * math.Exp2(-max(0, now.Sub(c.at).Seconds())/usageHalf)
}

func (a *admission) profile(now time.Time, name string) *profileUse {
	p := a.profiles[name]
	if p == nil {
		p = &profileUse{updated: now}
		a.profiles[name] = p
	}
	return p
}

// charge counts the demand of a call against its caller and its profile's mix of
// targets.
func (a *admission) charge(now time.Time, r *core.Request, t *target) {
	c := a.caller(now, r.Call.Caller)
	c.use = c.decayed(now) + float64(demand(&r.Call))
	c.at = now

	if !t.usable() {
		return // refused or waiting for a load, whatever the admission decides
	}
	p := a.profile(now, r.Program.Profile.Name)
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
		if len(t.lanes) == 0 {
			continue
		}
		t.capacity.update(t.statedSlots(), past)
		w := &t.waits
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
		a.minute = m
		a.prune(now)
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

// wait is the expected wait of a profile's calls, and the largest loss of
// capacity among its targets.
func (a *admission) wait(use *profileUse, rank int) (wait, loss float64) {
	sum, total := 0.0, 0.0
	for i, t := range use.targets {
		sum += use.weights[i] * t.waits[rank]
		total += use.weights[i]
		loss = max(loss, t.capacity.loss)
	}
	if total > 0 {
		return sum / total, loss
	}
	for _, t := range a.d.fleet.order {
		wait, loss = max(wait, t.waits[rank]), max(loss, t.capacity.loss)
	}
	return wait, loss
}

// share is the part of a profile's programs that is refused now.
func (p *profileUse) share(now time.Time, wait, bound float64) float64 {
	e := wait/bound - 1
	if e > 0 {
		e = min(shedError, (wait-bound)/shedScale)
	}
	past := min(5, now.Sub(p.updated).Seconds())
	p.updated = now
	p.integral = min(shedMax, max(0, p.integral+shedIntegral*e*past))
	return min(shedMax, p.integral+shedProportional*e)
}

// admit decides on a new root program. The decision takes no waiting: a refusal
// is returned at once.
func (a *admission) admit(now time.Time, p core.ProgramView) core.Admission {
	a.update(now)
	class := rankOf(p.Profile.Class)
	use := a.profile(now, p.Profile.Name)
	wait, loss := a.wait(use, class)
	bound := bound(class, loss)
	share := use.share(now, wait, bound)
	// It makes no sense to refuse a class and admit the ones that come after.
	for c := range class {
		share = max(share, a.shares[c].at(now))
	}
	a.shares[class] = shedShare{share, now}
	c := a.caller(now, p.Caller)
	fresh := 0.0
	if c.decayed(now) < 1 {
		fresh = 1
	}
	a.newcomers += newcomerWeight * (fresh - a.newcomers)
	if share > 0 && a.ranked != a.minute {
		a.rank(now)
	}
	if wait < bound+refuseAll && a.placeOf(now, c) >= share {
		c.active++
		return core.Admission{OK: true}
	}
	if c.minute != a.minute {
		c.minute = a.minute
		c.refused = min(refusalMemory, c.refused+1)
	}
	return core.Admission{RetryAfter: a.retryAfter(now, &p, wait-bound, share), Reason: "overloaded"}
}

// retryAfter is the time for the excess to drain, and not before the minute that
// is already counted ends. While a share of the callers is refused in each
// minute, a caller that came back at once would be refused in share/(1-share)
// further minutes on average, each of which counts; it is told that time.
func (a *admission) retryAfter(now time.Time, p *core.ProgramView, excess, share float64) time.Duration {
	least := p.Profile.RefusalRetry
	if least <= 0 {
		least = minRefusalRetry
	}
	minuteEnd := time.Unix((a.minute+1)*60, 0).Sub(now)
	if share > 0 {
		minuteEnd += min(maxComeBack, time.Duration(share/(1-share)*float64(time.Minute)))
	}
	spread := time.Duration(a.d.fleet.rng.Int64N(int64(5 * time.Second)))
	return max(least, time.Duration(excess*float64(time.Second)), minuteEnd) + spread
}

// rank puts the callers in the order of refusal for the rest of the minute:
// those with the largest use first, so that few are refused, less one step for
// each recent minute with a refusal, so that it is not always the same ones.
func (a *admission) rank(now time.Time) {
	a.ranked = a.minute
	total := 0.0
	for _, c := range a.list {
		if c.minute < a.minute-refusalMemory {
			c.refused = 0
		}
		total += c.decayed(now) + 1
	}
	mean := total / max(1, float64(len(a.list)))
	step := func(c *callerUse) int {
		return max(0, int(math.Ceil(math.Log2((c.decayed(now)+1)/mean)))) - c.refused
	}
	order := slices.Clone(a.list)
	slices.SortFunc(order, func(x, y *callerUse) int {
		if d := cmp.Compare(step(y), step(x)); d != 0 {
			return d
		}
		return cmp.Compare(x.turn(a.minute), y.turn(a.minute))
	})
	sum := 0.0
	for _, c := range order {
		use := c.decayed(now)
		// The middle of the caller's part: it is refused if at least half of it
		// has to go.
		c.rank, c.place = a.minute, (sum+(use+1)/2)/total
		if c.fresh = use < 1; c.fresh {
			c.place = float64(c.turn(a.minute)>>11) / (1 << 53)
		}
		sum += use + 1
	}
}

// placeOf is the caller's place in the order of refusal. Callers without recent
// use come after those with, in the room that their share of the arrivals takes,
// and in the order of their turn.
func (a *admission) placeOf(now time.Time, c *callerUse) float64 {
	if c.rank != a.minute {
		c.rank, c.fresh = a.minute, c.decayed(now) < 1
		c.place = float64(c.turn(a.minute)>>11) / (1 << 53)
	}
	if c.fresh {
		return 1 - a.newcomers + a.newcomers*c.place
	}
	return (1 - a.newcomers) * c.place
}

// turn orders callers of equal place differently in each minute, and alike in
// every entry, so that the entries refuse the same callers.
func (c *callerUse) turn(minute int64) uint64 {
	h := (xxhash.Sum64String(c.name) ^ uint64(minute)) * 0x9e3779b97f4a7c15
	return h ^ h>>32
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
