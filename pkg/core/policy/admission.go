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
	// admissionInterval is the shortest time between two updates of the
	// expected waits.
	admissionInterval = 250 * time.Millisecond
	// waitTimeConstant is the time constant in s of the low-pass filter on the
	// expected wait. Without smoothing a short burst would cause refusals.
	waitTimeConstant = 2.0
	// usageHalfLife is the half-life in s of a caller's usage.
	usageHalfLife = 60.0
	// refusalWindow is the number of past minutes in which refusals of a caller
	// are remembered. They make it less likely to be refused again.
	refusalWindow = 5
	// maxExtraRetryAfter limits the time that is added to Retry-After beyond
	// the end of the current minute.
	maxExtraRetryAfter = 2 * time.Minute
	// minRetryAfter is the shortest Retry-After if the profile sets none.
	minRetryAfter = 2 * time.Second
)

// normalWaitBound is the expected wait in s above which new programs of a class
// are refused, indexed by class rank. Lower classes tolerate longer waits, and
// their expected wait includes the requests of the higher classes.
var normalWaitBound = [classCount]float64{0.5, 0.7, 1}

// A proportional-integral controller sets the share of a profile's new programs
// that is refused from the profile's expected wait. It is critically damped for
// loads of up to twice the capacity.
const (
	shedProportionalGain = 0.30
	shedIntegralGain     = 0.02 // per s
	maxShedShare         = 0.95
	shedErrorScale       = 1.5 // s of wait above the bound that give an error of 1
	maxShedError         = 2.0 // limits the overshoot when an overload begins
	// shedShareLifetime is how long the refused share of a class applies to the
	// lower classes after the last arrival of a program of that class.
	shedShareLifetime = 5 * time.Second
	// newCallerWeight is the weight of one program in the moving average of the
	// share of new callers.
	newCallerWeight = 0.02
	// refuseAllExcess is the wait in s above the bound from which every new
	// program is refused, because the controller reacts too slowly.
	refuseAllExcess = 8.0
)

// callerUsage holds the recent usage and refusals of one caller.
type callerUsage struct {
	name           string
	usage          float64 // tokens, with a half-life of usageHalfLife
	updated        time.Time
	active         int     // admitted root programs
	minute         int64   // last minute with a refusal
	refusedMinutes int     // number of recent minutes with a refusal
	rank           int64   // minute for which isNew and position are valid
	isNew          bool    // had no recent usage when position was set
	position       float64 // in the order of refusal of the minute, from 0 (first) to 1
}

// profileState holds the distribution of a profile's calls over targets and the
// state of the controller that sets the refused share of its programs.
type profileState struct {
	targets  []*target
	weights  []float64
	integral float64
	updated  time.Time
}

// admission decides on new programs. When the expected wait of a class exceeds
// its bound, it refuses the same few callers for the rest of the minute instead
// of spreading refusals over all callers: the regulator counts the minutes in
// which a customer was refused.
type admission struct {
	d          *defaultPolicy
	callers    map[string]*callerUsage
	callerList []*callerUsage // in order of appearance
	profiles   map[string]*profileState
	updated    time.Time
	minute     int64
	// newCallerShare is the moving average of the share of programs that come
	// from callers without recent usage.
	newCallerShare float64
	shares         [classCount]shedShare // last refused share of each class
	ranked         int64                 // minute of the current order of refusal
}

// shedShare is the refused share of a class and the time at which it was set.
type shedShare struct {
	share float64
	setAt time.Time
}

// valueAt returns the share, or 0 if it was set too long ago.
func (s shedShare) valueAt(now time.Time) float64 {
	if now.Sub(s.setAt) > shedShareLifetime {
		return 0
	}
	return s.share
}

func newAdmission(d *defaultPolicy) *admission {
	return &admission{d: d, callers: map[string]*callerUsage{}, profiles: map[string]*profileState{}, newCallerShare: 1}
}

// caller returns the usage of a caller and creates it if necessary.
func (a *admission) caller(now time.Time, name string) *callerUsage {
	c := a.callers[name]
	if c == nil {
		c = &callerUsage{name: name, updated: now, minute: -1, rank: -1}
		a.callers[name] = c
		a.callerList = append(a.callerList, c)
	}
	return c
}

// decayedUsage returns the usage with the decay since the last update.
func (c *callerUsage) decayedUsage(now time.Time) float64 {
	return c.usage * math.Exp2(-max(0, now.Sub(c.updated).Seconds())/usageHalfLife)
}

// profile returns the state of a profile and creates it if necessary.
func (a *admission) profile(now time.Time, name string) *profileState {
	p := a.profiles[name]
	if p == nil {
		p = &profileState{updated: now}
		a.profiles[name] = p
	}
	return p
}

// charge adds a call to the usage of its caller and to its profile's
// distribution over targets.
func (a *admission) charge(now time.Time, r *core.Request, t *target) {
	c := a.caller(now, r.Call.Caller)
	c.usage = c.decayedUsage(now) + float64(demandTokens(&r.Call))
	c.updated = now

	if !t.usable() {
		return // unroutable or waiting for its model to load; admission has no influence
	}
	state := a.profile(now, r.Program.Profile.Name)
	const decay = 0.99
	i := slices.Index(state.targets, t)
	if i < 0 {
		i = len(state.targets)
		state.targets, state.weights = append(state.targets, t), append(state.weights, 0)
	}
	for k := range state.weights {
		state.weights[k] *= decay
	}
	state.weights[i] += 1 - decay
}

// update updates the capacity and the expected waits of the targets, at most
// once per admissionInterval, and prunes the callers once per minute.
func (a *admission) update(now time.Time) {
	elapsed := now.Sub(a.updated)
	if elapsed < admissionInterval {
		return
	}
	gain := 1 - math.Exp(-elapsed.Seconds()/waitTimeConstant)
	if a.updated.IsZero() {
		gain = 1
	}
	a.updated = now
	for _, t := range a.d.fleet.targetList {
		if len(t.lanes) == 0 {
			continue
		}
		t.capacity.update(t.reportedSlots(), elapsed)
		w := &t.expectedWaits
		var waiting [classCount]int
		for _, l := range t.lanes {
			for c, n := range l.waitingByRank {
				waiting[c] += n
			}
		}
		slots := a.slots(now, t)
		ahead := 0
		for c := range waiting {
			ahead += waiting[c]
			wait := 0.0
			if ahead > 0 {
				wait = float64(ahead) * t.meanServiceTime / max(1, slots)
			}
			w[c] += gain * (wait - w[c])
		}
	}
	if m := now.Unix() / 60; m != a.minute {
		a.minute = m
		a.prune(now)
	}
}

// slots returns the number of calls that a target can serve concurrently for
// this entry process.
func (a *admission) slots(now time.Time, t *target) float64 {
	n := 0.0
	for _, g := range t.groups {
		for _, m := range g.heap {
			n += max(1, a.d.effectiveLimit(now, m.up)-float64(m.up.otherCalls))
		}
	}
	return n
}

// expectedWait returns the expected wait in s of a profile's calls, and the
// largest loss of capacity among its targets. For a profile without calls these
// are the maxima over all targets.
func (a *admission) expectedWait(state *profileState, class int) (expectedWait, loss float64) {
	sum, total := 0.0, 0.0
	for i, t := range state.targets {
		sum += state.weights[i] * t.expectedWaits[class]
		total += state.weights[i]
		loss = max(loss, t.capacity.loss)
	}
	if total > 0 {
		return sum / total, loss
	}
	for _, t := range a.d.fleet.targetList {
		expectedWait, loss = max(expectedWait, t.expectedWaits[class]), max(loss, t.capacity.loss)
	}
	return expectedWait, loss
}

// refusedShare updates the controller and returns the share of a profile's
// programs to refuse.
func (p *profileState) refusedShare(now time.Time, wait, bound float64) float64 {
	waitError := wait/bound - 1
	if waitError > 0 {
		waitError = min(maxShedError, (wait-bound)/shedErrorScale)
	}
	elapsed := min(5, now.Sub(p.updated).Seconds())
	p.updated = now
	p.integral = min(maxShedShare, max(0, p.integral+shedIntegralGain*waitError*elapsed))
	return min(maxShedShare, p.integral+shedProportionalGain*waitError)
}

// admit decides on a new root program without delay: a refusal is returned
// immediately.
func (a *admission) admit(now time.Time, p core.ProgramView) core.Admission {
	a.update(now)
	class := classRank(p.Profile.Class)
	state := a.profile(now, p.Profile.Name)
	expectedWait, loss := a.expectedWait(state, class)
	waitBound := waitBound(class, loss)
	refusedShare := state.refusedShare(now, expectedWait, waitBound)
	// Don't admit programs of this class while a higher class is refused.
	for c := range class {
		refusedShare = max(refusedShare, a.shares[c].valueAt(now))
	}
	a.shares[class] = shedShare{refusedShare, now}
	c := a.caller(now, p.Caller)
	isNew := 0.0
	if c.decayedUsage(now) < 1 {
		isNew = 1
	}
	a.newCallerShare += newCallerWeight * (isNew - a.newCallerShare)
	if refusedShare > 0 && a.ranked != a.minute {
		a.rank(now)
	}
	if expectedWait < waitBound+refuseAllExcess && a.positionOf(now, c) >= refusedShare {
		c.active++
		return core.Admission{OK: true}
	}
	if c.minute != a.minute {
		c.minute = a.minute
		c.refusedMinutes = min(refusalWindow, c.refusedMinutes+1)
	}
	return core.Admission{RetryAfter: a.retryAfter(now, &p, expectedWait-waitBound, refusedShare), Reason: "overloaded"}
}

// retryAfter returns the time in which the excess wait drains, but at least the
// rest of the current minute, which already counts as a minute with a refusal.
// While a share of the callers is refused in each minute, a caller that retried
// immediately would be refused in share/(1-share) further minutes on average,
// each of which counts. That time is added, up to maxExtraRetryAfter. A random
// delay of up to 5 s keeps the callers from returning simultaneously.
func (a *admission) retryAfter(now time.Time, p *core.ProgramView, excess, share float64) time.Duration {
	shortest := p.Profile.RefusalRetry
	if shortest <= 0 {
		shortest = minRetryAfter
	}
	minuteEnd := time.Unix((a.minute+1)*60, 0).Sub(now)
	if share > 0 {
		minuteEnd += min(maxExtraRetryAfter, time.Duration(share/(1-share)*float64(time.Minute)))
	}
	spread := time.Duration(a.d.fleet.rng.Int64N(int64(5 * time.Second)))
	return max(shortest, time.Duration(excess*float64(time.Second)), minuteEnd) + spread
}

// rank sets the order of refusal for the rest of the minute. Callers with the
// largest usage come first, so that few callers are refused. Each recent minute
// with a refusal moves a caller back by a factor of two in usage, so that the
// refusals rotate among callers.
func (a *admission) rank(now time.Time) {
	a.ranked = a.minute
	total := 0.0
	for _, c := range a.callerList {
		if c.minute < a.minute-refusalWindow {
			c.refusedMinutes = 0
		}
		total += c.decayedUsage(now) + 1
	}
	mean := total / max(1, float64(len(a.callerList)))
	step := func(c *callerUsage) int {
		return max(0, int(math.Ceil(math.Log2((c.decayedUsage(now)+1)/mean)))) - c.refusedMinutes
	}
	order := slices.Clone(a.callerList)
	slices.SortFunc(order, func(x, y *callerUsage) int {
		if d := cmp.Compare(step(y), step(x)); d != 0 {
			return d
		}
		return cmp.Compare(x.tieBreaker(a.minute), y.tieBreaker(a.minute))
	})
	sum := 0.0
	for _, c := range order {
		usage := c.decayedUsage(now)
		// The position is the middle of the caller's share of the usage: the
		// caller is refused if at least half of its share has to be refused.
		c.rank, c.position = a.minute, (sum+(usage+1)/2)/total
		if c.isNew = usage < 1; c.isNew {
			c.position = float64(c.tieBreaker(a.minute)>>11) / (1 << 53)
		}
		sum += usage + 1
	}
}

// positionOf returns the caller's position in the order of refusal, from 0 to 1.
// Callers without recent usage come last. They occupy a range as large as their
// share of the arrivals and are ordered by tieBreaker.
func (a *admission) positionOf(now time.Time, c *callerUsage) float64 {
	if c.rank != a.minute {
		c.rank, c.isNew = a.minute, c.decayedUsage(now) < 1
		c.position = float64(c.tieBreaker(a.minute)>>11) / (1 << 53)
	}
	if c.isNew {
		return 1 - a.newCallerShare + a.newCallerShare*c.position
	}
	return (1 - a.newCallerShare) * c.position
}

// tieBreaker returns a hash that orders callers of equal usage. The order
// differs from minute to minute but is the same in every entry process, so that
// all of them refuse the same callers.
func (c *callerUsage) tieBreaker(minute int64) uint64 {
	h := (xxhash.Sum64String(c.name) ^ uint64(minute)) * 0x9e3779b97f4a7c15
	return h ^ h>>32
}

// prune removes callers without active programs, recent usage or refusals.
func (a *admission) prune(now time.Time) {
	a.callerList = slices.DeleteFunc(a.callerList, func(c *callerUsage) bool {
		unused := c.active == 0 && c.decayedUsage(now) < 1 && now.Sub(c.updated) > 10*time.Minute && c.minute < a.minute-refusalWindow
		if unused {
			delete(a.callers, c.name)
		}
		return unused
	})
}

// programEnded counts the end of an admitted program.
func (a *admission) programEnded(now time.Time, caller string) {
	if c := a.callers[caller]; c != nil && c.active > 0 {
		c.active--
	}
}

// programRecovered counts a program that was admitted by an earlier owner.
func (a *admission) programRecovered(now time.Time, caller string) { a.caller(now, caller).active++ }
