package policy

import (
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// housekeepingInterval is the shortest time between two checks for changes that
// only the passage of time causes: open breakers, slow starts, expired pins.
const housekeepingInterval = 20 * time.Millisecond

// program is the policy's state of a program.
type program struct {
	id       core.ProgramID
	caller   string
	profile  core.Profile
	admitted bool

	pausedAt   time.Time // start of the pause between two model calls; zero if none
	at         *upstream // upstream that served the last model call
	tokens     int64     // of the history after that call
	profileKey pauseKey
	toolKey    pauseKey
	live       bool // tokens are included in pauseState.live of the upstream
	pin        pin
}

// pin describes the pinned cache of a program.
type pin struct {
	up      *upstream
	tokens  int64
	until   time.Time
	counted bool // tokens are included in pauseState.pinned of the upstream
}

// defaultPolicy combines the parts. A part that is switched off is nil and is
// replaced by what the baselines do.
type defaultPolicy struct {
	base
	now time.Time // time of the current method call

	queueOrder *queueRanker
	router     *router
	cache      *cacheMap
	pauses     *pauses
	admission  *admission
	limiter    *limiter
	retry      *retrier
	breaker    *breakers
	placement  *placement

	programs         map[core.ProgramID]*program
	watched          []*upstream // upstreams with an open breaker or in slow start
	pins             pinTimers
	orders           []core.EngineOrder
	lastHousekeeping time.Time
	lastPrune        time.Time
	meanMemoryTokens float64       // moving average of the memory of a call
	sweep            int           // selects the upstream whose cache estimates are swept
	lastFailed       failedAttempt // the last failure, for the decision on its retry
}

// failedAttempt is an attempt that failed and its upstream.
type failedAttempt struct {
	attempt core.AttemptID
	up      *upstream
}

func newDefault(seed uint64, off map[string]bool) *defaultPolicy {
	d := &defaultPolicy{base: newBase(seed), programs: map[core.ProgramID]*program{}}
	rng := d.fleet.rng
	if !off[PartQueue] {
		d.queueOrder = newQueueRanker()
	}
	if !off[PartCacheMap] {
		d.cache = newCacheMap(d.fleet)
	}
	if !off[PartPauses] {
		d.pauses = newPauses()
	}
	if !off[PartAdmission] {
		d.admission = newAdmission(d)
	}
	if !off[PartLimiter] {
		d.limiter = &limiter{}
	}
	if !off[PartRetry] {
		d.retry = newRetrier(rng)
	}
	if !off[PartBreaker] {
		d.breaker = &breakers{rng: rng}
	}
	if !off[PartPlacement] {
		d.placement = newPlacement(rng)
		d.queue.loadable = d.loadable
	}
	if !off[PartRouter] {
		d.router = newRouter(d, rng)
		d.fleet.keyOf = d.rankKey
	}
	if d.breaker != nil {
		d.fleet.available = func(u *upstream) bool { return d.breaker.allows(d.now, u) }
	}
	return d
}

// loadable reports whether placement can load a target that no upstream serves:
// an adapter of a model that is loaded.
func (d *defaultPolicy) loadable(t *target) bool {
	if t.key.adapter == "" {
		return false
	}
	m := d.fleet.targets[targetKey{kind: t.key.kind, name: t.key.name}]
	return m != nil && m.usable()
}

// Name returns the name of the policy.
func (d *defaultPolicy) Name() string { return NameDefault }

// Admit decides on a new root program.
func (d *defaultPolicy) Admit(now time.Time, p core.ProgramView) core.Admission {
	d.now = now
	var a core.Admission
	if d.admission != nil {
		a = d.admission.admit(now, p)
	} else {
		a = d.admitByQueueLength(p)
	}
	if a.OK {
		d.program(&p).admitted = true
	}
	return a
}

// ProgramRecovered registers a program that was admitted by an earlier owner.
func (d *defaultPolicy) ProgramRecovered(now time.Time, p core.ProgramView) {
	d.now = now
	g := d.program(&p)
	if p.ID == p.Root && !g.admitted {
		g.admitted = true
		if d.admission != nil {
			d.admission.programRecovered(now, p.Caller)
		}
	}
}

// program returns the state of a program and creates it if necessary.
func (d *defaultPolicy) program(p *core.ProgramView) *program {
	g := d.programs[p.ID]
	if g == nil {
		g = &program{id: p.ID, caller: p.Caller, profile: p.Profile}
		d.programs[p.ID] = g
	}
	return g
}

// ProgramEnded releases the cache and the state of a program.
func (d *defaultPolicy) ProgramEnded(now time.Time, id core.ProgramID) {
	d.now = now
	g := d.programs[id]
	if g == nil {
		return
	}
	delete(d.programs, id)
	if d.pauses != nil {
		d.pauses.programEnded(d, now, g)
	}
	if d.cache != nil {
		d.cache.dropPrefix(string(id))
	}
	if g.admitted && d.admission != nil {
		d.admission.programEnded(now, g.caller)
	}
}

// SetUpstream adds an upstream or replaces its description.
func (d *defaultPolicy) SetUpstream(now time.Time, info core.UpstreamInfo) {
	d.now = now
	restarted := d.fleet.byID[info.ID] != nil
	u, isNew := d.fleet.set(now, info)
	if d.retry != nil {
		d.retry.resize(u)
	}
	if !isNew {
		return
	}
	// The state of the previous process no longer applies.
	if d.cache != nil {
		d.cache.reset(u)
	}
	d.dropPins(u)
	if d.breaker != nil {
		d.breaker.initialize(now, u, restarted)
		d.watch(u)
	}
	if d.limiter != nil {
		d.limiter.reset(u)
	}
	d.fleet.refresh(now, u)
}

// SetUpstreamState sets whether an upstream is reachable and whether it is
// leaving.
func (d *defaultPolicy) SetUpstreamState(now time.Time, id core.UpstreamID, reachable, leaving bool) {
	d.now = now
	u := d.fleet.byID[id]
	if u == nil {
		return
	}
	back := !u.reachable && reachable
	u.reachable, u.leaving = reachable, leaving
	if back && d.breaker != nil {
		u.breaker.rampStart = now
		d.watch(u)
	}
	d.fleet.refresh(now, u)
}

// RemoveUpstream removes an upstream.
func (d *defaultPolicy) RemoveUpstream(now time.Time, id core.UpstreamID) {
	d.now = now
	u := d.fleet.remove(now, id)
	if u == nil {
		return
	}
	if d.cache != nil {
		d.cache.reset(u)
	}
	d.dropPins(u)
}

// OnLoad processes a load report, which may be delayed.
func (d *defaultPolicy) OnLoad(now time.Time, l core.Load) {
	d.now = now
	d.fleet.onLoad(now, l)
}

// OnCache processes a cache event, which may be delayed.
func (d *defaultPolicy) OnCache(now time.Time, e core.CacheEvent) {
	d.now = now
	if u := d.fleet.byID[e.Upstream]; u != nil && d.cache != nil {
		d.cache.onEvent(u, e)
		if d.cache.resyncDue(now, u) {
			d.orders = append(d.orders, core.EngineOrder{Upstream: u.info.ID, Order: core.OrderResyncCache})
		}
	}
}

// Enqueue adds a request to the waiting queue.
func (d *defaultPolicy) Enqueue(now time.Time, r core.Request) {
	d.now = now
	key := 0.0
	if d.queueOrder != nil {
		key = d.queueOrder.key(now, &r)
		d.queueOrder.charge(&r)
	}
	it := d.queue.push(now, r, key)
	if d.admission != nil && r.Tries == 0 {
		d.admission.charge(now, &r, it.lane.target)
	}
	if d.pauses != nil {
		g := d.program(&r.Program)
		if r.Call.Kind == core.KindModel {
			d.pauses.resume(now, g)
		} else {
			d.pauses.tool(d, now, g, r.Call.Service)
		}
	}
}

// Remove removes a request from the waiting queue.
func (d *defaultPolicy) Remove(id core.CallID) bool {
	r, ok := d.queue.remove(id)
	if ok && d.queueOrder != nil {
		d.queueOrder.release(&r)
	}
	return ok
}

// Unroutable removes the requests that no upstream can serve from the queue and
// returns them.
func (d *defaultPolicy) Unroutable(now time.Time) []core.Request {
	d.now = now
	d.housekeeping(now)
	rs := d.queue.unroutable(now)
	if d.queueOrder != nil {
		for i := range rs {
			d.queueOrder.release(&rs[i])
		}
	}
	return rs
}

// Next removes the next request that can be dispatched now from the queue and
// assigns it to an upstream.
func (d *defaultPolicy) Next(now time.Time) (core.Assignment, bool) {
	d.now = now
	d.housekeeping(now)
	for {
		l := d.queue.first(now)
		if l == nil {
			return core.Assignment{}, false
		}
		it := l.items[0]
		c, ok := d.selectUpstream(now, l, it)
		if !ok {
			if it.req.Suspect || d.mayBypass(now, l, it) {
				l.deferFirst()
			} else {
				l.block(now)
			}
			continue
		}
		priority := it.rank
		if d.queueOrder != nil {
			priority = d.queueOrder.priority(now, it)
		}
		r := d.queue.take(it)
		d.recordDispatch(now, &r, l.target, &c)
		return core.Assignment{Request: r, Upstream: c.member.up.info.ID, Priority: priority}, true
	}
}

const (
	// maxBypassed is the number of requests of a lane that may wait for memory
	// while smaller requests behind them are dispatched.
	maxBypassed = 4
	// maxBypassTime is how long other requests may bypass a request. After that
	// it blocks its lane until enough memory is free, so that it is not starved.
	maxBypassTime = 2 * time.Second
)

// mayBypass reports whether the requests behind one that found no upstream may
// be tried: it needs more memory than is free and has not waited long.
func (d *defaultPolicy) mayBypass(now time.Time, l *lane, it *item) bool {
	return d.router != nil && d.router.x.noMemory && len(l.deferred) < maxBypassed && now.Sub(it.enqueuedAt) < maxBypassTime
}

// selectUpstream chooses the upstream of a request. Without the router it takes
// the one with the fewest outstanding calls.
func (d *defaultPolicy) selectUpstream(now time.Time, l *lane, it *item) (candidate, bool) {
	if d.router != nil {
		return d.router.route(now, l, it)
	}
	for _, inRegion := range [2]bool{true, false} {
		for _, g := range l.target.groups {
			if (g.region == l.region) != inRegion {
				continue
			}
			if m := pickLeastOutstanding(g, &it.req); m != nil && float64(m.up.ownCalls()) < d.effectiveLimit(now, m.up) {
				return candidate{member: m, uncachedTokens: it.req.Call.PromptTokens}, true
			}
		}
	}
	return candidate{}, false
}

// recordDispatch registers a dispatched request with the parts.
func (d *defaultPolicy) recordDispatch(now time.Time, r *core.Request, t *target, c *candidate) {
	u := c.member.up
	att := d.fleet.dispatch(now, r, u, t)
	att.calls = c.calls + 1
	if r.Call.Kind == core.KindModel {
		att.uncachedTokens, att.reservation = c.uncachedTokens, c.memoryTokens
		d.meanMemoryTokens += serviceTimeWeight * (float64(c.memoryTokens) - d.meanMemoryTokens)
		att.wait = expectedWait(u, c.calls, max(1, c.limit), t.meanServiceTime, c.age)
		u.queuedTokens += c.uncachedTokens
		u.reservedTokens += c.memoryTokens
	}
	if d.breaker != nil {
		if d.breaker.recordDispatch(att); att.probe {
			d.fleet.rerank(now, u, false)
		}
	}
	if d.pauses != nil && r.Call.Kind == core.KindModel {
		d.pauses.programDispatched(d, d.program(&r.Program), u)
	}
}

// OnStarted has no effect.
func (d *defaultPolicy) OnStarted(time.Time, core.AttemptID) {}

// OnFirstToken records the time of the first token and the number of prompt
// tokens that were cached.
func (d *defaultPolicy) OnFirstToken(now time.Time, id core.AttemptID, cached int64) {
	d.now = now
	att := d.fleet.firstToken(now, id)
	if att == nil || att.req.Call.Kind != core.KindModel {
		return
	}
	if d.limiter != nil {
		expected := att.wait + float64(att.req.Call.PromptTokens-cached)/prefillRate(att.up)
		d.limiter.observe(now, att, now.Sub(att.sentAt), time.Duration(expected*float64(time.Second)))
	}
	if d.cache != nil {
		d.cache.onFirstToken(att, cached)
	}
}

// serviceTimeWeight is the weight of one call in the moving averages of service
// time, output and memory.
const serviceTimeWeight = 0.02

// OnDone ends an attempt that was answered.
func (d *defaultPolicy) OnDone(now time.Time, id core.AttemptID, a core.Answer) {
	d.now = now
	result := outcomeOK
	if a.Status >= 500 {
		result = outcomeFailed
	}
	att := d.end(now, id, result)
	if att == nil {
		return
	}
	took := now.Sub(att.sentAt)
	if d.queueOrder != nil {
		d.queueOrder.recordServed(now, &att.req)
	}
	if a.Status < 500 {
		att.target.meanServiceTime += serviceTimeWeight * (took.Seconds() - att.target.meanServiceTime)
		if d.retry != nil {
			d.retry.recordSuccess(att.req.Call.Caller, att.up)
		}
	}
	if att.req.Call.Kind == core.KindService {
		if d.limiter != nil {
			d.limiter.observe(now, att, took, time.Duration(att.target.meanServiceTime*float64(time.Second)))
		}
		return
	}
	if a.Status < 500 {
		att.target.meanOutputTokens += serviceTimeWeight * (float64(a.OutputTokens) - att.target.meanOutputTokens)
	}
	if d.cache != nil {
		d.cache.onDone(att, &a)
	}
	if g := d.programs[att.req.Program.ID]; g != nil && d.pauses != nil && d.fleet.byID[att.up.info.ID] == att.up {
		d.pauses.beginPause(d, now, g, att.up, a.PromptTokens+a.OutputTokens, a.FinishReason)
	}
}

// OnFailed ends an attempt that failed.
func (d *defaultPolicy) OnFailed(now time.Time, f core.Failure) {
	d.now = now
	result := outcomeFailed
	if f.Draining || f.Canceled {
		result = outcomeIgnored
	}
	if att := d.end(now, f.Attempt, result); att != nil {
		d.lastFailed = failedAttempt{f.Attempt, att.up}
	}
}

// end removes an attempt from its upstream and reports its outcome to the breaker.
func (d *defaultPolicy) end(now time.Time, id core.AttemptID, result outcome) *attempt {
	att := d.fleet.end(now, id)
	if att == nil {
		return nil
	}
	if d.queueOrder != nil {
		d.queueOrder.release(&att.req)
	}
	if d.breaker != nil && !att.sentAt.Before(att.up.knownSince) && d.breaker.recordOutcome(now, att, result) {
		d.watch(att.up)
		d.fleet.refresh(now, att.up)
	}
	return att
}

// Retry decides whether a failed idempotent request may be attempted again.
func (d *defaultPolicy) Retry(now time.Time, r core.Request, f core.Failure) (time.Duration, bool) {
	d.now = now
	if d.retry == nil {
		return retryWithFixedDelay(now, r, f)
	}
	var up *upstream
	if d.lastFailed.attempt == f.Attempt {
		up = d.lastFailed.up
	}
	return d.retry.decide(now, &r, f, up)
}

// Orders returns the cache and placement orders that are due and clears them.
func (d *defaultPolicy) Orders(now time.Time) []core.EngineOrder {
	d.now = now
	d.housekeeping(now)
	if d.placement != nil {
		d.placement.plan(d, now)
	}
	out := d.orders
	d.orders = nil
	return out
}
