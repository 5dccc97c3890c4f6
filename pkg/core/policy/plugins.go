package policy

import (
	"math/rand/v2"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// usableFilter excludes upstreams that are leaving or unreachable.
type usableFilter struct{}

func (usableFilter) name() string { return "usable" }
func (usableFilter) allows(_ *routing, c *candidate) bool {
	return c.member.up.reachable && !c.member.up.leaving
}

// suspectFilter keeps two crash suspects from running on the same upstream.
type suspectFilter struct{}

func (suspectFilter) name() string { return "suspect" }
func (suspectFilter) allows(x *routing, c *candidate) bool {
	return !x.req.Suspect || c.member.up.suspects == 0
}

// avoidFilter excludes upstreams on which the request failed before. The router
// tries without it if no other upstream is left.
type avoidFilter struct{}

func (avoidFilter) name() string { return "avoid" }
func (avoidFilter) allows(x *routing, c *candidate) bool {
	return !x.avoid || !avoidsUpstream(x.req, c.member.up)
}

// breakerFilter excludes upstreams whose circuit breaker is open.
type breakerFilter struct{ d *defaultPolicy }

func (breakerFilter) name() string { return "breaker" }
func (f breakerFilter) allows(x *routing, c *candidate) bool {
	return f.d.breaker == nil || f.d.breaker.allows(x.now, c.member.up)
}

// classLimitShare is the share of the limit that a class may fill, indexed by
// class rank. The rest is reserved for higher classes.
var classLimitShare = [classCount]float64{1, 1, 0.95}

// limitFilter excludes upstreams that are full. An entry process without a call on
// an upstream may send one while there are free slots, so that the calls of other
// entry processes never exclude it completely.
type limitFilter struct{}

func (limitFilter) name() string { return "limit" }
func (limitFilter) allows(x *routing, c *candidate) bool {
	limit := max(1, c.limit*classLimitShare[x.class])
	if c.holdsHistory {
		limit += limit * holderOverflow
	}
	u := c.member.up
	return c.calls < limit || (u.ownCalls() == 0 && c.calls < float64(u.slots()))
}

// memoryFilter excludes upstreams whose running calls and pins leave no memory for
// the call: it would wait in the engine's queue.
type memoryFilter struct{ d *defaultPolicy }

func (memoryFilter) name() string { return "memory" }
func (f memoryFilter) allows(x *routing, c *candidate) bool {
	u := c.member.up
	if c.memoryTokens == 0 || u.ownCalls() == 0 || u.info.CacheTokens <= 0 {
		return true
	}
	used := float64(u.reservedTokens+max(0, u.pause.pinned-x.pinnedOn(u))) + float64(u.otherCalls)*f.d.meanMemoryTokens
	if used+float64(c.memoryTokens) > float64(u.info.CacheTokens) {
		x.noMemory = true
		return false
	}
	return true
}

// waitScore is the cost of the expected wait and of slower decoding in a fuller
// batch. A lower utilization than in the home region is no advantage.
type waitScore struct{}

func (waitScore) name() string { return "wait" }
func (waitScore) cost(x *routing, c *candidate) float64 {
	u := c.member.up
	return x.latency * (expectedWait(u, c.calls, c.limit, x.target.meanServiceTime, c.age) +
		utilizationCost*max(c.calls/c.limit, x.homeUtilization))
}

// prefillScore is the cost of prefilling the uncached tokens, once as latency and
// once as wasted computation, of restoring tokens from host memory, and of the
// delay that both cause to calls that decode on the same upstream.
type prefillScore struct{}

func (prefillScore) name() string { return "prefill" }
func (prefillScore) cost(x *routing, c *candidate) float64 {
	if x.target.key.kind != core.KindModel {
		return 0
	}
	prefill := float64(c.uncachedTokens) / prefillRate(c.member.up)
	transfer := float64(c.restoreTokens) / hostTransferRate
	return (x.latency+x.waste)*prefill + x.latency*(transfer+prefillStallShare*(prefill+transfer)*c.calls)
}

// prefillStallShare is the share of a prefill's duration by which it delays each
// call that decodes on the same upstream. It is 1 for engines without chunked
// prefill. With 0.25, the trace brackenfield-peak wasted 20% more tokens and
// lango-peak twice as many.
const prefillStallShare = 1.0

// spreadScore moves calls with a popular shared prefix away from an upstream with
// more calls than the mean of its group, so that more upstreams cache the prefix.
type spreadScore struct{}

func (spreadScore) name() string { return "spread" }
func (spreadScore) cost(x *routing, c *candidate) float64 {
	if c.sharedTokens == 0 || c.holdsHistory {
		return 0
	}
	excess := (c.calls - x.groupMeanCalls) / c.limit
	if excess <= 0 {
		return 0
	}
	const weight = 4 // an excess of a quarter of the limit cancels the gain of the prefix
	return (x.latency + x.waste) * weight * excess * float64(c.sharedTokens) / prefillRate(c.member.up)
}

// crossingScore is the cost of using an upstream in another region.
type crossingScore struct{}

func (crossingScore) name() string { return "crossing" }
func (crossingScore) cost(x *routing, c *candidate) float64 {
	if c.member.up.info.Region == x.homeRegion || x.homeRegion == "" {
		return 0
	}
	bytes := float64(x.req.Call.PromptTokens * crossRegionBytesPerToken)
	return x.latency*(crossRegionRoundTrip+bytes/crossRegionLinkRate) + crossRegionBytePrice*bytes
}

// perturbScore adds a random cost, so that entry processes that have the same old
// load report choose different upstreams.
type perturbScore struct{ rng *rand.Rand }

func (perturbScore) name() string { return "perturb" }
func (p perturbScore) cost(x *routing, c *candidate) float64 {
	calls := min(maxPerturbation, perturbRate*c.age)
	factor := p.rng.Float64()
	if c.member.up.info.Region != x.homeRegion {
		factor = 1 // never choose another region by chance
	}
	return x.latency * utilizationCost * calls / c.limit * factor
}
