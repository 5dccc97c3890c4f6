package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

const (
	// placementInterval is the shortest time between two plans.
	placementInterval = time.Second
	// demandTimeConstant is the time constant in s of the moving average of the
	// utilization.
	demandTimeConstant = 10.0
	// highUtilization and lowUtilization are the limits of a model's slot
	// utilization between which nothing is loaded or unloaded. The distance keeps
	// copies from being loaded and unloaded alternately.
	highUtilization = 0.85
	lowUtilization  = 0.30
	// loadHold is how long the utilization must stay high before a load.
	loadHold = 10 * time.Second
	// unloadHold is how long the utilization must stay low before an unload. It is
	// longer because a load costs more than an idle copy.
	unloadHold = 5 * time.Minute
	// minLoadInterval is the shortest time between two loads that one entry process
	// orders. With about ten entry processes and tens of GB per copy, this keeps the
	// weight store within its rate.
	minLoadInterval = 15 * time.Second
	// loadTimeout is the time after which another load of the same target may be
	// ordered. An order is lost if another entry process owns the upstream's slot
	// or the upstream has no room.
	loadTimeout = 45 * time.Second
	// upstreamRetryInterval is the shortest time between two loads of a target, or
	// between two unloads, on the same upstream.
	upstreamRetryInterval = 5 * time.Minute
	// minCopies is the number of copies of a model that stay loaded. Loads prefer
	// failure domains without a copy.
	minCopies = 2
)

// modelDemand is the demand for one target and the state of its loads.
type modelDemand struct {
	utilization  float64
	lastInRange  time.Time // when the utilization was last within its limits
	noLoadBefore time.Time // time of the next possible load
	triedAt      map[core.UpstreamID]time.Time
}

// placement loads models and adapters that are in demand and unloads copies of
// models that are not.
type placement struct {
	rng      *rand.Rand
	nextPlan time.Time
	orders   time.Time // time of the next possible load order
	// unloadedAt is the time of the last unload per upstream. It keeps an upstream
	// from losing a second model before its description shows the first unload.
	unloadedAt map[core.UpstreamID]time.Time
}

func newPlacement(rng *rand.Rand) *placement {
	return &placement{rng: rng, unloadedAt: map[core.UpstreamID]time.Time{}}
}

// plan updates the utilization of the targets and appends the orders that are due.
func (p *placement) plan(d *defaultPolicy, now time.Time) {
	if now.Before(p.nextPlan) {
		return
	}
	first := p.nextPlan.IsZero()
	p.nextPlan = now.Add(placementInterval)
	gain := 1 - math.Exp(-placementInterval.Seconds()/demandTimeConstant)
	for _, t := range d.fleet.targetList {
		if t.key.kind != core.KindModel || (!t.everUsable && !d.loadable(t)) {
			continue
		}
		m := &t.demand
		calls, slots, copies := demandOf(t)
		current := 1.0
		if slots > 0 {
			current = calls / slots
		} else if calls == 0 {
			current = 0
		}
		m.utilization += gain * (current - m.utilization)
		// A target without a copy is loaded immediately if there is demand.
		missing := copies == 0 && (calls > 0 || m.utilization > 0.05)
		if first || (!missing && m.utilization >= lowUtilization && m.utilization <= highUtilization) {
			m.lastInRange = now
		}
		if m.utilization > highUtilization || missing {
			p.load(d, now, t, m, copies)
		} else if t.key.adapter == "" && m.utilization < lowUtilization && copies > minCopies && now.Sub(m.lastInRange) >= unloadHold {
			p.unload(d, now, t, m)
		}
	}
}

// demandOf returns the number of calls that wait for a target or run on it, its
// slots and its copies.
func demandOf(t *target) (calls, slots float64, copies int) {
	for _, l := range t.lanes {
		calls += float64(l.len())
	}
	for _, g := range t.groups {
		for _, m := range g.heap {
			calls += float64(m.up.ownCalls() + m.up.otherCalls)
			slots += float64(m.up.slots())
			copies++
		}
	}
	return calls, slots, copies
}

// load orders a load of a target if one is due and an upstream has room.
func (p *placement) load(d *defaultPolicy, now time.Time, t *target, m *modelDemand, copies int) {
	if copies > 0 && now.Sub(m.lastInRange) < loadHold {
		return
	}
	if now.Before(p.orders) || now.Before(m.noLoadBefore) {
		return
	}
	u := p.chooseUpstream(d, now, t, m)
	if u == nil {
		return
	}
	m.noLoadBefore, m.lastInRange = now.Add(loadTimeout), now
	if m.triedAt == nil {
		m.triedAt = map[core.UpstreamID]time.Time{}
	}
	m.triedAt[u.info.ID] = now
	p.orders = now.Add(minLoadInterval + time.Duration(p.rng.Int64N(int64(minLoadInterval/2))))
	d.orders = append(d.orders, loadOrder(t, u))
}

func loadOrder(t *target, u *upstream) core.EngineOrder {
	o := core.EngineOrder{Upstream: u.info.ID, Order: core.OrderLoadModel, Argument: t.key.name}
	if t.key.adapter != "" {
		o.Order, o.Argument = core.OrderLoadAdapter, t.key.adapter
	}
	return o
}

// chooseUpstream returns the upstream with the lowest utilization that can load
// the target, or nil if none has room. Failure domains without a copy are
// preferred.
func (p *placement) chooseUpstream(d *defaultPolicy, now time.Time, t *target, m *modelDemand) *upstream {
	var best *upstream
	bestCost := math.Inf(1)
	for _, u := range d.fleet.upstreams {
		if u.info.Kind != core.KindModel || !u.reachable || u.leaving || u.breaker.phase != breakerClosed {
			continue
		}
		if slices.Contains(u.info.Models, t.key.name) != (t.key.adapter != "") {
			continue // an adapter needs its model; a model is loaded only once
		}
		if last, ok := m.triedAt[u.info.ID]; ok && now.Sub(last) < upstreamRetryInterval {
			continue
		}
		if t.key.adapter != "" && slices.Contains(u.info.Adapters, t.key.adapter) {
			continue
		}
		utilization := float64(u.ownCalls()+u.otherCalls) / float64(u.slots())
		if utilization > highUtilization-0.25 {
			continue // its own models would become short of slots
		}
		cost := utilization + 0.01*p.rng.Float64()
		for _, g := range t.groups {
			for _, m := range g.heap {
				if m.up.info.FailureDomain == u.info.FailureDomain {
					cost += 0.1
					break
				}
			}
		}
		if cost < bestCost {
			best, bestCost = u, cost
		}
	}
	return best
}

// unload orders an unload of a model on an idle upstream that serves another
// model as well.
func (p *placement) unload(d *defaultPolicy, now time.Time, t *target, m *modelDemand) {
	var best *upstream
	for _, g := range t.groups {
		for _, x := range g.heap {
			u := x.up
			// Every upstream keeps at least one model.
			if len(u.info.Models) < 2 || u.ownCalls()+u.otherCalls > 0 {
				continue
			}
			if last, ok := p.unloadedAt[u.info.ID]; ok && now.Sub(last) < upstreamRetryInterval {
				continue
			}
			if best == nil {
				best = u
			}
		}
	}
	if best == nil {
		return
	}
	m.lastInRange = now
	p.unloadedAt[best.info.ID] = now
	d.orders = append(d.orders, core.EngineOrder{Upstream: best.info.ID, Order: core.OrderUnloadModel, Argument: t.key.name})
}
