package policy

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

const (
	// maxGroupCandidates is the number of heap entries of a group that are scored.
	// The heap is ordered by expected wait, so that the other scores choose among
	// the shortest waits.
	maxGroupCandidates = 15
	// maxSharedPrefixCandidates is the number of upstreams with a cached shared
	// prefix that are scored.
	maxSharedPrefixCandidates = 4
	// holderOverflow is the share by which the calls of a program may exceed the
	// limit of an upstream that has the program's history cached: a short wait
	// there costs less than prefilling the history again. Without it, the trace
	// brackenfield-peak recomputed 25 times as many tokens and became overloaded.
	holderOverflow = 1.0
	// reportHalfLife is the age in s at which a load report and the mean of the
	// group have equal weight.
	reportHalfLife = 3.0
	// perturbRate is the range of the random perturbation, in calls per second of
	// age of the load report. It makes entry processes that have the same old
	// report choose different upstreams.
	perturbRate = 3.0
	// maxPerturbation is the largest range of the perturbation, in calls.
	maxPerturbation = 3.0
	// utilizationCost is the cost in s of joining a full batch instead of an empty
	// one.
	utilizationCost = 0.4

	crossRegionRoundTrip     = 0.060       // s
	crossRegionLinkRate      = 3.75e6 / 3  // bytes/s of the link between regions that calls may use
	crossRegionBytesPerToken = 4           // request bytes per prompt token
	crossRegionBytePrice     = 0.05 / 1e6  // s per byte, the price of billed traffic converted to time
	defaultPrefillRate       = 5000        // tokens/s, if the upstream reports none
	defaultDecodeRate        = 40          // tokens/s; not used
	refreshPerRoute          = 2           // heap keys updated per group and decision
	minCrossRegionGain       = 0.020       // s, smallest advantage for which another region is used
	maxReportAge             = time.Minute // age assumed for missing and for older reports
)

// routing is the state of one routing decision. It is reused between decisions.
type routing struct {
	now             time.Time
	req             *core.Request
	target          *target
	class           int
	homeRegion      string
	program         *program
	avoid           bool
	noMemory        bool    // a candidate was excluded only for lack of memory
	latency         float64 // weights of the profile, with a mean of 1
	waste           float64
	groupMeanCalls  float64 // mean calls of the group members with the shortest waits
	homeUtilization float64 // utilization in the home region; see waitScore
}

// pinnedOn returns the tokens that an upstream has pinned for the program of the
// request.
func (x *routing) pinnedOn(u *upstream) int64 {
	if x.program != nil && x.program.pin.counted && x.program.pin.up == u {
		return x.program.pin.tokens
	}
	return 0
}

// candidate is an upstream that is considered for a request.
type candidate struct {
	member         *member
	age            float64 // age of the load report, s
	calls          float64 // estimated running calls
	limit          float64
	uncachedTokens int64 // prompt tokens to prefill
	memoryTokens   int64 // cache memory that the call takes while it runs, in tokens
	restoreTokens  int64 // tokens to restore from host memory
	holdsHistory   bool  // has more of the history cached than the shared prefix
	sharedTokens   int64 // expected cached tokens of the shared prefix
}

// filterPlugin excludes candidates.
type filterPlugin interface {
	name() string
	allows(x *routing, c *candidate) bool
}

// scorePlugin adds a cost in s to a candidate.
type scorePlugin interface {
	name() string
	cost(x *routing, c *candidate) float64
}

// router chooses the upstream of a request: the one with the lowest cost among
// those that pass all filters.
type router struct {
	rng     *rand.Rand
	d       *defaultPolicy
	filters []filterPlugin
	scores  []scorePlugin
	x       routing   // current decision
	c       candidate // current candidate; a field to avoid an allocation
}

func newRouter(d *defaultPolicy, rng *rand.Rand) *router {
	return &router{
		rng: rng, d: d,
		filters: []filterPlugin{usableFilter{}, suspectFilter{}, avoidFilter{}, breakerFilter{d}, limitFilter{}, memoryFilter{d}},
		scores:  []scorePlugin{waitScore{}, prefillScore{}, spreadScore{}, crossingScore{}, perturbScore{rng}},
	}
}

// occupancy estimates the running calls of an upstream: the own calls, which are
// known, and those of other entry processes. The latter are a weighted mean of the
// last report and the mean of the group, which gains weight as the report ages.
func (d *defaultPolicy) occupancy(m *member, age float64) float64 {
	u := m.up
	w := 1 / (1 + age/reportHalfLife)
	return float64(u.ownCalls()) + w*float64(u.otherCalls) + (1-w)*m.group.meanOtherCalls()
}

// reportAge returns the age in s of the measurement in the last load report.
func reportAge(now time.Time, u *upstream) float64 {
	if u.loadReceived.IsZero() {
		return maxReportAge.Seconds()
	}
	from := u.loadReceived
	if u.load.Measured.Before(from) {
		from = u.load.Measured
	}
	return min(max(0, now.Sub(from).Seconds()), maxReportAge.Seconds())
}

// effectiveLimit returns the number of calls that may run on the upstream.
func (d *defaultPolicy) effectiveLimit(now time.Time, u *upstream) float64 {
	lim := float64(u.slots())
	if d.limiter != nil {
		lim = d.limiter.limit(u)
	}
	if d.breaker != nil {
		lim *= d.breaker.limitShare(now, u)
	}
	return max(1, lim)
}

// expectedWait returns the time in s until a call that is sent now begins its
// prefill.
func expectedWait(u *upstream, calls, limit, serviceTime, age float64) float64 {
	queuedTokens := float64(u.queuedTokens) + float64(u.otherQueuedTokens)/(1+age/reportHalfLife)
	wait := queuedTokens / prefillRate(u)
	if calls >= limit {
		wait += (calls - limit + 1) / limit * serviceTime
	}
	return wait
}

func prefillRate(u *upstream) float64 {
	if u.info.PrefillRate > 0 {
		return u.info.PrefillRate
	}
	return defaultPrefillRate
}

// rankKey returns the heap key of a member: the part of the cost that does not
// depend on the request, which is expected wait and utilization.
func (d *defaultPolicy) rankKey(m *member) float64 {
	u := m.up
	age := reportAge(d.now, u)
	calls, limit := d.occupancy(m, age), d.effectiveLimit(d.now, u)
	jitter := d.fleet.rng.Float64() / limit
	return expectedWait(u, calls, limit, m.group.target.meanServiceTime, age) +
		utilizationCost*(calls/limit+jitter)
}

// refreshNext updates the keys of the next refreshPerRoute members of a group,
// because keys change with the age of load reports.
func (r *router) refreshNext(g *group) {
	for range min(refreshPerRoute, len(g.heap)) {
		g.next++
		m := g.heap[g.next%len(g.heap)]
		m.key = r.d.fleet.keyOf(m)
		g.fix(m)
	}
}

// route chooses the upstream for the first request of a lane. It returns false if
// the request should wait.
func (r *router) route(now time.Time, l *lane, it *item) (best candidate, ok bool) {
	x := &r.x
	req := &it.req
	*x = routing{now: now, req: req, target: l.target, class: it.rank, homeRegion: l.region, avoid: len(req.Avoid) > 0}
	x.latency, x.waste = profileWeights(&req.Program.Profile)
	x.program = r.d.programs[req.Program.ID]
	if best, ok = r.selectBest(x, l); ok || !x.avoid {
		return best, ok
	}
	// No other upstream is available: one on which the request failed before is
	// better than none.
	x.avoid = false
	return r.selectBest(x, l)
}

// selectBest returns the best candidate of all groups.
func (r *router) selectBest(x *routing, l *lane) (candidate, bool) {
	var best candidate
	var local *group
	bestCost := -1.0
	for _, g := range l.target.groups {
		if g.region == x.homeRegion {
			local = g
			r.refreshNext(g)
			r.scoreGroup(x, g, &best, &bestCost)
			if n := len(g.heap); n > 0 {
				m := g.heap[0]
				x.homeUtilization = min(1, r.d.occupancy(m, reportAge(x.now, m.up))/r.d.effectiveLimit(x.now, m.up))
			}
		}
	}
	if local != nil && len(local.heap) > 0 {
		// Other regions are considered only if they can be better than the best
		// upstream of the home region, or than waiting for one.
		if bestCost < 0 {
			bestCost = r.localWaitCost(x, l, local)
		}
		if bestCost < crossRegionRoundTrip+minCrossRegionGain {
			return best, best.member != nil
		}
		bestCost -= minCrossRegionGain
	}
	for _, g := range l.target.groups {
		if g.region != x.homeRegion {
			r.refreshNext(g)
			r.scoreGroup(x, g, &best, &bestCost)
		}
	}
	return best, best.member != nil
}

// localWaitCost returns the cost of leaving the request in the queue until an
// upstream of its region is free: the time that the lane needs to drain.
func (r *router) localWaitCost(x *routing, l *lane, g *group) float64 {
	slots := 0.0
	for _, m := range g.heap[:min(maxGroupCandidates, len(g.heap))] {
		slots += r.d.effectiveLimit(x.now, m.up)
	}
	slots *= float64(len(g.heap)) / float64(min(maxGroupCandidates, len(g.heap)))
	return x.latency * l.target.meanServiceTime * float64(l.len()) / max(1, slots)
}

// scoreGroup scores the members of a group that have the history or the shared
// prefix cached, and those with the shortest waits.
func (r *router) scoreGroup(x *routing, g *group, best *candidate, bestCost *float64) {
	x.groupMeanCalls = 0
	if n := min(maxGroupCandidates, len(g.heap)); n > 0 {
		for _, m := range g.heap[:n] {
			x.groupMeanCalls += float64(m.up.ownCalls() + m.up.otherCalls)
		}
		x.groupMeanCalls /= float64(n)
	}
	if c := r.d.cache; c != nil && x.req.Call.Kind == core.KindModel {
		for _, u := range c.holders[string(x.req.Call.Program)] {
			r.scoreMember(x, u.memberIn(g), best, bestCost)
		}
		if hs := c.holders[x.req.Call.SharedPrefix]; len(hs) > 0 && x.req.Call.SharedPrefix != "" {
			start := r.rng.IntN(len(hs))
			for i := range min(maxSharedPrefixCandidates, len(hs)) {
				r.scoreMember(x, hs[(start+i)%len(hs)].memberIn(g), best, bestCost)
			}
		}
	}
	for _, m := range g.heap[:min(maxGroupCandidates, len(g.heap))] {
		r.scoreMember(x, m, best, bestCost)
	}
}

// memberIn returns the upstream's member in a group, or nil if it is not in it.
func (u *upstream) memberIn(g *group) *member {
	for _, m := range u.members {
		if m.group == g {
			return m
		}
	}
	return nil
}

// scoreMember replaces best if the member passes all filters at a lower cost.
func (r *router) scoreMember(x *routing, m *member, best *candidate, bestCost *float64) {
	if m == nil || m.pos < 0 {
		return
	}
	c := &r.c
	*c = candidate{member: m, uncachedTokens: x.req.Call.PromptTokens}
	c.age = reportAge(x.now, m.up)
	c.calls, c.limit = r.d.occupancy(m, c.age), r.d.effectiveLimit(x.now, m.up)
	call := &x.req.Call
	if call.Kind == core.KindModel {
		outputTokens := x.target.meanOutputTokens
		if call.MaxTokens > 0 {
			outputTokens = min(outputTokens, float64(call.MaxTokens))
		}
		c.memoryTokens = call.PromptTokens - min(call.SharedTokens, call.PromptTokens) + int64(outputTokens)
	}
	if cm := r.d.cache; cm != nil && call.Kind == core.KindModel {
		historyTokens := cm.prefix(x.now, m.up, string(call.Program), call.PromptTokens)
		if call.SharedPrefix != "" {
			c.sharedTokens = cm.prefix(x.now, m.up, call.SharedPrefix, min(call.SharedTokens, call.PromptTokens))
		}
		c.uncachedTokens -= max(historyTokens, c.sharedTokens)
		c.holdsHistory = historyTokens > c.sharedTokens
		if c.holdsHistory && m.up.cache.prefixes[string(call.Program)].inHostMemory {
			c.restoreTokens = historyTokens
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

// profileWeights returns the profile's weights for latency and wasted computation,
// scaled to a mean of 1.
func profileWeights(p *core.Profile) (latency, waste float64) {
	l, w := p.LatencyWeight, p.CacheWeight
	if l <= 0 && w <= 0 {
		return 1, 1
	}
	l, w = max(l, 0), max(w, 0)
	return 2 * l / (l + w), 2 * w / (l + w)
}

func avoidsUpstream(req *core.Request, u *upstream) bool {
	return slices.Contains(req.Avoid, u.info.ID)
}
