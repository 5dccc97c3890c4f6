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

// suspectFilter keeps two crash suspects from sharing an upstream.
type suspectFilter struct{}

func (suspectFilter) name() string { return "suspect" }
func (suspectFilter) allows(x *routing, c *candidate) bool {
	return !x.req.Suspect || c.member.up.suspects == 0
}

// avoidFilter excludes upstreams on which the request failed before, as long as
// there are others.
type avoidFilter struct{}

func (avoidFilter) name() string { return "avoid" }
func (avoidFilter) allows(x *routing, c *candidate) bool {
	return !x.avoid || !avoids(x.req, c.member.up)
}

// breakerFilter excludes upstreams whose breaker is open.
type breakerFilter struct{ d *defaultPolicy }

func (breakerFilter) name() string { return "breaker" }
func (f breakerFilter) allows(x *routing, c *candidate) bool {
	return f.d.breaker == nil || f.d.breaker.allows(x.now, c.member.up)
}

// classHeadroom is the share of the limit that a class may fill. The rest is
// kept for the classes before it.
var classHeadroom = [classCount]float64{1, 1, 0.95}

// limitFilter excludes upstreams that are full. An entry without a call on board
// may send one while there are free slots, so that the calls of the other
// entries never keep it out altogether.
type limitFilter struct{}

func (limitFilter) name() string { return "limit" }
func (limitFilter) allows(x *routing, c *candidate) bool {
	limit := max(1, c.limit*classHeadroom[x.class])
	if c.holder {
		limit += limit * holderOverflow
	}
	u := c.member.up
	return c.used < limit || (u.own() == 0 && c.used < float64(u.slots()))
}

// memoryFilter excludes upstreams whose running calls and pins leave no memory
// for the call: it would take a place in the engine's queue and wait there.
type memoryFilter struct{ d *defaultPolicy }

func (memoryFilter) name() string { return "memory" }
func (f memoryFilter) allows(x *routing, c *candidate) bool {
	u := c.member.up
	if c.need == 0 || u.own() == 0 || u.info.CacheTokens <= 0 {
		return true
	}
	taken := float64(u.reserved+max(0, u.pause.pinned-x.pinnedOn(u))) + float64(u.others)*f.d.meanNeed
	if taken+float64(c.need) > float64(u.info.CacheTokens) {
		x.noMemory = true
		return false
	}
	return true
}

// waitScore is the expected wait and the slower decoding in a fuller batch. The
// emptier batches of another region are no reason to go there.
type waitScore struct{}

func (waitScore) name() string { return "wait" }
func (waitScore) cost(x *routing, c *candidate) float64 {
	u := c.member.up
	return x.latency * (expectedWait(u, c.used, c.limit, x.target.service, c.age) +
		utilizationCost*max(c.used/c.limit, x.homeUse))
}

// prefillScore is the prefill of the missing tokens: as latency, and again as
// waste for those that were computed somewhere before.
type prefillScore struct{}

func (prefillScore) name() string { return "prefill" }
func (prefillScore) cost(x *routing, c *candidate) float64 {
	if x.target.key.kind != core.KindModel {
		return 0
	}
	t := float64(c.missing) / prefillRate(c.member.up)
	back := float64(c.restore) / offloadRate
	return (x.latency+x.waste)*t + x.latency*(back+stallShare*(t+back)*c.used)
}

// stallShare is the part of a prefill by which it delays each call that decodes
// on the same upstream. Engines without chunked prefill are at 1; 0.25 instead
// of 1 cost a fifth more wasted tokens in brackenfield-peak and twice as many in
// lango-peak.
const stallShare = 1.0

// spreadScore drives the calls of a hot shared prefix off an upstream that
// carries more than its group, so that further upstreams come to hold it.
type spreadScore struct{}

func (spreadScore) name() string { return "spread" }
func (spreadScore) cost(x *routing, c *candidate) float64 {
	if c.shared == 0 || c.holder {
		return 0
	}
	excess := (c.used - x.groupUse) / c.limit
	if excess <= 0 {
		return 0
	}
	const weight = 4 // a quarter of the limit above the mean cancels the gain of the prefix
	return (x.latency + x.waste) * weight * excess * float64(c.shared) / prefillRate(c.member.up)
}

// crossingScore is the cost of leaving the region.
type crossingScore struct{}

func (crossingScore) name() string { return "crossing" }
func (crossingScore) cost(x *routing, c *candidate) float64 {
	if c.member.up.info.Region == x.home || x.home == "" {
		return 0
	}
	bytes := float64(x.req.Call.PromptTokens * crossBytesPerToken)
	return x.latency*(crossRoundTrip+bytes/crossLinkRate) + crossBytePrice*bytes
}

// perturbScore spreads the choices of entries that see the same old report.
type perturbScore struct{ rng *rand.Rand }

func (perturbScore) name() string { return "perturb" }
func (p perturbScore) cost(x *routing, c *candidate) float64 {
	calls := min(perturbMax, perturbCalls*c.age)
	luck := p.rng.Float64()
	if c.member.up.info.Region != x.home {
		luck = 1 // no crossing by chance
	}
	return x.latency * utilizationCost * calls / c.limit * luck
}
