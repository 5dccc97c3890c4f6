package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

const (
	placementEvery = time.Second
	// placementTime is the time constant in s of the demand.
	placementTime = 10.0
	// loadHigh and loadLow are the uses of a model's slots between which
	// nothing changes; the distance keeps copies from being loaded and
	// unloaded in turn.
	loadHigh = 0.85
	loadLow  = 0.30
	// loadHold is how long the use must stay above or below before an order.
	loadHold = 10 * time.Second
	// unloadHold is longer, as a load costs more than an idle copy.
	unloadHold = 5 * time.Minute
	// placementSpacing is the time between two loads of one entry. With
	// about ten entries and a copy of tens of GB it keeps the weight store
	// within its rate.
	placementSpacing = 15 * time.Second
	// placementTerm is how long an ordered load is awaited before the next one.
	// The order is lost if another entry owns the upstream's slot or the
	// upstream has no room.
	placementTerm = 45 * time.Second
	// placementAgain is the time before an upstream is tried again.
	placementAgain = 5 * time.Minute
	// minCopies of a model stay loaded, in different failure domains.
	minCopies = 2
)

// modelUse is the demand for one target over time.
type modelUse struct {
	use       float64
	since     time.Time // when it last was within the bounds
	loadingTo time.Time // no further load before
	tried     map[core.UpstreamID]time.Time
}

// placement loads models and adapters where the demand is.
type placement struct {
	rng    *rand.Rand
	next   time.Time
	orders time.Time // no load before
	// unloaded keeps an upstream from losing two models before its
	// description tells of the first one.
	unloaded map[core.UpstreamID]time.Time
}

func newPlacement(rng *rand.Rand) *placement {
	return &placement{rng: rng, unloaded: map[core.UpstreamID]time.Time{}}
}

// plan appends the orders that are due.
func (p *placement) plan(d *defaultPolicy, now time.Time) {
	if now.Before(p.next) {
		return
	}
	first := p.next.IsZero()
	p.next = now.Add(placementEvery)
	gain := 1 - math.Exp(-placementEvery.Seconds()/placementTime)
	for _, t := range d.fleet.order {
		if t.key.kind != core.KindModel || (!t.seen && !d.loadable(t)) {
			continue
		}
		m := &t.demand
		calls, slots, copies := demandOf(t)
		level := 1.0
		if slots > 0 {
			level = calls / slots
		} else if calls == 0 {
			level = 0
		}
		m.use += gain * (level - m.use)
		// A target without a copy is loaded if there is demand, at once.
		missing := copies == 0 && (calls > 0 || m.use > 0.05)
		if first || (!missing && m.use >= loadLow && m.use <= loadHigh) {
			m.since = now
		}
		if m.use > loadHigh || missing {
			p.load(d, now, t, m, copies)
		} else if t.key.adapter == "" && m.use < loadLow && copies > minCopies && now.Sub(m.since) >= unloadHold {
			p.unload(d, now, t, m)
		}
	}
}

// demandOf returns the calls that wait for or run on a target, its slots and
// its copies.
func demandOf(t *target) (calls, slots float64, copies int) {
	for _, l := range t.lanes {
		calls += float64(l.len())
	}
	for _, g := range t.groups {
		for _, m := range g.heap {
			calls += float64(m.up.own() + m.up.others)
			slots += float64(m.up.slots())
			copies++
		}
	}
	return calls, slots, copies
}

func (p *placement) load(d *defaultPolicy, now time.Time, t *target, m *modelUse, copies int) {
	if copies > 0 && now.Sub(m.since) < loadHold {
		return
	}
	if now.Before(p.orders) || now.Before(m.loadingTo) {
		return
	}
	u := p.choose(d, now, t, m)
	if u == nil {
		return
	}
	m.loadingTo, m.since = now.Add(placementTerm), now
	if m.tried == nil {
		m.tried = map[core.UpstreamID]time.Time{}
	}
	m.tried[u.info.ID] = now
	p.orders = now.Add(placementSpacing + time.Duration(p.rng.Int64N(int64(placementSpacing/2))))
	d.orders = append(d.orders, loadOrder(t, u))
}

func loadOrder(t *target, u *upstream) core.EngineOrder {
	o := core.EngineOrder{Upstream: u.info.ID, Order: core.OrderLoadModel, Argument: t.key.name}
	if t.key.adapter != "" {
		o.Order, o.Argument = core.OrderLoadAdapter, t.key.adapter
	}
	return o
}

// choose returns the least used upstream that could take the model, nil if none
// has room. Failure domains without a copy are preferred.
func (p *placement) choose(d *defaultPolicy, now time.Time, t *target, m *modelUse) *upstream {
	var best *upstream
	bestCost := math.Inf(1)
	for _, u := range d.fleet.list {
		if u.info.Kind != core.KindModel || !u.reachable || u.leaving || u.breaker.phase != breakerClosed {
			continue
		}
		if slices.Contains(u.info.Models, t.key.name) != (t.key.adapter != "") {
			continue // an adapter needs its model, a model is loaded once
		}
		if last, ok := m.tried[u.info.ID]; ok && now.Sub(last) < placementAgain {
			continue
		}
		if t.key.adapter != "" && slices.Contains(u.info.Adapters, t.key.adapter) {
			continue
		}
		use := float64(u.own()+u.others) / float64(u.slots())
		if use > loadHigh-0.25 {
			continue // would only move the shortage
		}
		cost := use + 0.01*p.rng.Float64()
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

func (p *placement) unload(d *defaultPolicy, now time.Time, t *target, m *modelUse) {
	var best *upstream
	for _, g := range t.groups {
		for _, x := range g.heap {
			u := x.up
			// An upstream that would be left without a model stays as it is.
			if len(u.info.Models) < 2 || u.own()+u.others > 0 {
				continue
			}
			if last, ok := p.unloaded[u.info.ID]; ok && now.Sub(last) < placementAgain {
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
	m.since = now
	p.unloaded[best.info.ID] = now
	d.orders = append(d.orders, core.EngineOrder{Upstream: best.info.ID, Order: core.OrderUnloadModel, Argument: t.key.name})
}
