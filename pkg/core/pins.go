package core

import (
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core/program"
)

const (
	// pinTerm is the term for which an engine keeps a pin without renewal.
	pinTerm = 30 * time.Second
	// pinRenewal leaves room for two lost renewals within a term.
	pinRenewal = 10 * time.Second
)

// orders carries out the cache and placement orders of the policy.
func (c *Core) orders() {
	for _, o := range c.opt.Policy.Orders(c.now) {
		if o.Order == OrderResyncCache {
			c.emit(o) // every entry has its own cache map
			continue
		}
		// An order that concerns no program is fenced by the slot to which
		// the upstream's id hashes, so that one entry gives such orders.
		o.Slot = SlotOf(ProgramID(o.Upstream), c.slotCount())
		if o.Program != "" {
			o.Slot = SlotOf(o.Program, c.slotCount())
		}
		s := c.slots[o.Slot]
		if s == nil {
			continue
		}
		o.Epoch = s.epoch
		if o.Program != "" && !c.programOrder(&o) {
			continue
		}
		c.emit(o)
	}
}

// programOrder keeps account of the pins of a program. It reports false for an
// order that must not be carried out.
func (c *Core) programOrder(o *EngineOrder) bool {
	r := c.roots[RootOf(o.Program)]
	if r == nil {
		return o.Order == OrderRelease
	}
	m := r.Members[string(o.Program)]
	if m == nil || !m.Alive() {
		return o.Order == OrderRelease
	}
	switch o.Order {
	case OrderPin:
		if most := c.profile(m.Profile).CacheRetention; most > 0 {
			o.Term = min(o.Term, most)
		}
		if o.Term <= 0 {
			return false
		}
		if m.Pins == nil {
			m.Pins = make(map[string]time.Time, 1)
		}
		m.Pins[string(o.Upstream)] = c.now.Add(o.Term)
		o.Term = min(o.Term, pinTerm)
		c.watchPins(r)
	case OrderRelease, OrderOffload:
		delete(m.Pins, string(o.Upstream))
	}
	return true
}

func (c *Core) watchPins(r *root) {
	if !r.pinning {
		r.pinning = true
		c.push(timer{at: c.now.Add(pinRenewal), kind: timerPins, root: r})
	}
}

// renewPins extends the pins of a root program and its children, and releases
// those whose retention is over.
func (c *Core) renewPins(r *root) {
	r.pinning = false
	held := false
	for _, id := range sortedKeys(r.Members) {
		m := r.Members[id]
		for _, u := range sortedKeys(m.Pins) {
			left := m.Pins[u].Sub(c.now)
			if left <= 0 {
				c.unpin(r, ProgramID(id), UpstreamID(u))
				delete(m.Pins, u)
				continue
			}
			held = true
			c.emit(EngineOrder{
				Upstream: UpstreamID(u), Order: OrderPin, Program: ProgramID(id), Term: min(left, pinTerm),
				Slot: r.slot, Epoch: c.slots[r.slot].epoch,
			})
		}
	}
	if held {
		c.watchPins(r)
	}
}

func (c *Core) unpin(r *root, id ProgramID, u UpstreamID) {
	c.emit(EngineOrder{Upstream: u, Order: OrderRelease, Program: id, Slot: r.slot, Epoch: c.slots[r.slot].epoch})
}

// releasePins gives back the cache of a program that has ended.
func (c *Core) releasePins(r *root, m *program.Member) {
	for _, u := range sortedKeys(m.Pins) {
		c.unpin(r, ProgramID(m.ID), UpstreamID(u))
	}
	m.Pins = nil
}

// dropPins forgets the pins on an upstream that holds nothing any more.
func (c *Core) dropPins(id UpstreamID) {
	for _, r := range c.roots {
		for _, m := range r.Members {
			delete(m.Pins, string(id))
		}
	}
}
