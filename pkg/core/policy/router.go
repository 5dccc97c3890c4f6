package policy

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

const (
	// candidateTop is the number of entries of a group's heap that are scored.
	// The heap's order is the expected wait; the other scores choose among
	// the shortest waits.
	candidateTop = 15
	// candidateShared is the number of holders of a shared prefix that are scored.
	candidateShared = 4
	// holderOverflow is the share of the limit by which the calls of a program
	// may exceed it on an upstream that holds its history: a short wait there
	// costs less than to prefill the history anew. Without it brackenfield-peak
	// recomputed 25 times as many tokens and went into overload.
	holderOverflow = 1.0
	// reportHalfLife is the age at which a load report counts half and the
	// mean of the group the other half.
	reportHalfLife = 3.0
	// perturbCalls is the spread, in calls, of the perturbation per second of
	// age of the report. Entries that see the same old report
	// then choose different upstreams.
	perturbCalls = 3.0
	// perturbMax bounds the perturbation, in calls.
	perturbMax = 3.0
	// utilizationCost is the cost in seconds of joining a full batch instead of
	// an empty one.
	utilizationCost = 0.4

	crossRoundTrip     = 0.060       // s, between regions
	crossLinkRate      = 3.75e6 / 3  // bytes/s of the link that calls may use
	crossBytesPerToken = 4           // of a prompt sent in full
	crossBytePrice     = 0.05 / 1e6  // s per byte, the price of billed traffic as time
	defaultPrefillRate = 5000        // tokens/s, if the upstream states none
	defaultDecodeRate  = 40          // tokens/s, if the upstream states none
	refreshPerRoute    = 2           // heap entries brought up to date per decision
	minCrossGain       = 0.020       // s, least advantage for which a call crosses
	maxReportAge       = time.Minute // older reports count as none
)

// routing is the state of one decision, reused between decisions.
type routing struct {
	now      time.Time
	req      *core.Request
	target   *target
	class    int
	home     string
	program  *program
	avoid    bool
	noMemory bool    // a candidate lacked nothing but memory
	latency  float64 // weights, 1 in the mean
	waste    float64
	groupUse float64 // mean calls on the shortest waits of the group
	homeUse  float64 // share of the slots used in the home region, lowest that counts elsewhere
}

// pinnedOn is the memory that an upstream keeps for the program of the request.
func (x *routing) pinnedOn(u *upstream) int64 {
	if x.program != nil && x.program.pin.counted && x.program.pin.up == u {
		return x.program.pin.tokens
	}
	return 0
}

// candidate is an upstream under consideration.
type candidate struct {
	member  *member
	age     float64 // of the load report, s
	used    float64 // estimated calls on board
	limit   float64
	missing int64 // prompt tokens to prefill
	need    int64 // tokens of memory while the call runs
	restore int64 // tokens to bring back from host memory
	holder  bool  // holds a part of the program's own history
	shared  int64 // expected tokens of the shared prefix alone
}

// filterPlugin excludes candidates.
type filterPlugin interface {
	name() string
	allows(x *routing, c *candidate) bool
}

// scorePlugin adds a cost in seconds.
type scorePlugin interface {
	name() string
	cost(x *routing, c *candidate) float64
}

// router chooses the upstream of a request by filters and scores.
type router struct {
	rng     *rand.Rand
	d       *defaultPolicy
	filters []filterPlugin
	scores  []scorePlugin
	x       routing
	c       candidate // under consideration; a field, so that it is not allocated
}

func newRouter(d *defaultPolicy, rng *rand.Rand) *router {
	return &router{
		rng: rng, d: d,
		filters: []filterPlugin{usableFilter{}, suspectFilter{}, avoidFilter{}, breakerFilter{d}, limitFilter{}, memoryFilter{d}},
		scores:  []scorePlugin{waitScore{}, prefillScore{}, spreadScore{}, crossingScore{}, perturbScore{rng}},
	}
}

// occupancy estimates the calls on board: the own ones, which are known, and
// those of other entries from the last report, drawn towards the mean of the
// group as the report ages.
func (d *defaultPolicy) occupancy(m *member, age float64) float64 {
	u := m.up
	w := 1 / (1 + age/reportHalfLife)
	return float64(u.own()) + w*float64(u.others) + (1-w)*m.group.mean()
}

// reportAge is the age in seconds of what the last report measured.
func reportAge(now time.Time, u *upstream) float64 {
	if u.loadAt.IsZero() {
		return maxReportAge.Seconds()
	}
	from := u.loadAt
	if u.load.Measured.Before(from) {
		from = u.load.Measured
	}
	return min(max(0, now.Sub(from).Seconds()), maxReportAge.Seconds())
}

// effectiveLimit is the number of calls that the upstream may have on board.
func (d *defaultPolicy) effectiveLimit(now time.Time, u *upstream) float64 {
	lim := float64(u.slots())
	if d.limiter != nil {
		lim = d.limiter.limit(u)
	}
	if d.breaker != nil {
		lim *= d.breaker.share(now, u)
	}
	return max(1, lim)
}

// expectedWait is the time in seconds until a call that is sent now begins its
// prefill.
func expectedWait(u *upstream, used, limit, service, age float64) float64 {
	queued := float64(u.queued) + float64(u.otherTok)/(1+age/reportHalfLife)
	wait := queued / prefillRate(u)
	if used >= limit {
		wait += (used - limit + 1) / limit * service
	}
	return wait
}

func prefillRate(u *upstream) float64 {
	if u.info.PrefillRate > 0 {
		return u.info.PrefillRate
	}
	return defaultPrefillRate
}

// rankKey orders the heap of a group: expected wait and use, without what
// depends on the request.
func (d *defaultPolicy) rankKey(m *member) float64 {
	u := m.up
	age := reportAge(d.now, u)
	used, limit := d.occupancy(m, age), d.effectiveLimit(d.now, u)
	jitter := d.fleet.rng.Float64() / limit
	return expectedWait(u, used, limit, m.group.target.service, age) +
		utilizationCost*(used/limit+jitter)
}

// refreshSome re-ranks a few entries, as ranks change with the age of reports.
func (r *router) refreshSome(g *group) {
	for range min(refreshPerRoute, len(g.heap)) {
		g.next++
		m := g.heap[g.next%len(g.heap)]
		m.key = r.d.fleet.keyOf(m)
		g.fix(m)
	}
}

// route returns the member that the head of a lane should run on, or nil if it
// should wait.
func (r *router) route(now time.Time, l *lane, it *item) (best candidate, ok bool) {
	x := &r.x
	req := &it.req
	*x = routing{now: now, req: req, target: l.target, class: it.rank, home: l.region, avoid: len(req.Avoid) > 0}
	x.latency, x.waste = weights(&req.Program.Profile)
	x.program = r.d.programs[req.Program.ID]
	if best, ok = r.pass(x, l); ok || !x.avoid {
		return best, ok
	}
	// Every other upstream is excluded: an earlier failure is no reason to
	// give up.
	x.avoid = false
	return r.pass(x, l)
}

func (r *router) pass(x *routing, l *lane) (candidate, bool) {
	var best candidate
	var local *group
	bestCost := -1.0
	for _, g := range l.target.groups {
		if g.region == x.home {
			local = g
			r.refreshSome(g)
			r.search(x, g, &best, &bestCost)
			if n := len(g.heap); n > 0 {
				m := g.heap[0]
				x.homeUse = min(1, r.d.occupancy(m, reportAge(x.now, m.up))/r.d.effectiveLimit(x.now, m.up))
			}
		}
	}
	if local != nil && len(local.heap) > 0 {
		// Remote upstreams are considered only if they can be better than
		// the best local one or than to wait for one.
		if bestCost < 0 {
			bestCost = r.waitHere(x, l, local)
		}
		if bestCost < crossRoundTrip+minCrossGain {
			return best, best.member != nil
		}
		bestCost -= minCrossGain
	}
	for _, g := range l.target.groups {
		if g.region != x.home {
			r.refreshSome(g)
			r.search(x, g, &best, &bestCost)
		}
	}
	return best, best.member != nil
}

// waitHere is the cost of leaving the request in the queue until an upstream of
// its region is free: the time that the lane needs to drain.
func (r *router) waitHere(x *routing, l *lane, g *group) float64 {
	slots := 0.0
	for _, m := range g.heap[:min(candidateTop, len(g.heap))] {
		slots += r.d.effectiveLimit(x.now, m.up)
	}
	slots *= float64(len(g.heap)) / float64(min(candidateTop, len(g.heap)))
	return x.latency * l.target.service * float64(l.len()) / max(1, slots)
}

// search scores the holders of the prefix and the shortest waits of a group.
func (r *router) search(x *routing, g *group, best *candidate, bestCost *float64) {
	x.groupUse = 0
	if n := min(candidateTop, len(g.heap)); n > 0 {
		for _, m := range g.heap[:n] {
			x.groupUse += float64(m.up.own() + m.up.others)
		}
		x.groupUse /= float64(n)
	}
	if c := r.d.cache; c != nil && x.req.Call.Kind == core.KindModel {
		for _, u := range c.holders[string(x.req.Call.Program)] {
			r.consider(x, u.memberOf(g), best, bestCost)
		}
		if hs := c.holders[x.req.Call.SharedPrefix]; len(hs) > 0 && x.req.Call.SharedPrefix != "" {
			at := r.rng.IntN(len(hs))
			for i := range min(candidateShared, len(hs)) {
				r.consider(x, hs[(at+i)%len(hs)].memberOf(g), best, bestCost)
			}
		}
	}
	for _, m := range g.heap[:min(candidateTop, len(g.heap))] {
		r.consider(x, m, best, bestCost)
	}
}

func (u *upstream) memberOf(g *group) *member {
	for _, m := range u.members {
		if m.group == g {
			return m
		}
	}
	return nil
}

func (r *router) consider(x *routing, m *member, best *candidate, bestCost *float64) {
	if m == nil || m.pos < 0 {
		return
	}
	c := &r.c
	*c = candidate{member: m, missing: x.req.Call.PromptTokens}
	c.age = reportAge(x.now, m.up)
	c.used, c.limit = r.d.occupancy(m, c.age), r.d.effectiveLimit(x.now, m.up)
	call := &x.req.Call
	if call.Kind == core.KindModel {
		out := x.target.output
		if call.MaxTokens > 0 {
			out = min(out, float64(call.MaxTokens))
		}
		c.need = call.PromptTokens - min(call.SharedTokens, call.PromptTokens) + int64(out)
	}
	if cm := r.d.cache; cm != nil && call.Kind == core.KindModel {
		own := cm.prefix(x.now, m.up, string(call.Program), call.PromptTokens)
		if call.SharedPrefix != "" {
			c.shared = cm.prefix(x.now, m.up, call.SharedPrefix, min(call.SharedTokens, call.PromptTokens))
		}
		c.missing -= max(own, c.shared)
		c.holder = own > c.shared
		if c.holder && m.up.cache.held[string(call.Program)].host {
			c.restore = own
		}
	}
	for _, f := range r.filters {
		if !f.allows(x, c) {
			return
		}
	}
	cost := 0.0
	for _, s := range r.scores {
		cost += s.cost(x, c)
		if *bestCost >= 0 && cost >= *bestCost {
			return
		}
	}
	*best, *bestCost = *c, cost
}

// weights returns the profile's weights for latency and wasted cache, scaled to
// a mean of 1.
func weights(p *core.Profile) (latency, waste float64) {
	l, w := p.LatencyWeight, p.CacheWeight
	if l <= 0 && w <= 0 {
		return 1, 1
	}
	l, w = max(l, 0), max(w, 0)
	return 2 * l / (l + w), 2 * w / (l + w)
}

func avoids(req *core.Request, u *upstream) bool { return slices.Contains(req.Avoid, u.info.ID) }
