package core

import (
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core/program"
)

const (
	// pinTerm is the time after which an engine drops a pin that is not renewed.
	pinTerm = 30 * time.Second
	// pinRenewalInterval allows for two lost renewals within pinTerm.
	pinRenewalInterval = 10 * time.Second
)

// emitOrders issues the cache and placement orders of the policy.
func (c *Core) emitOrders() {
	for _, o := range c.opt.Policy.Orders(c.now) {
		if o.Order == OrderResyncCache {
			c.emit(o) // not fenced: every entry keeps its own map of the caches
			continue
		}
		// An order without a program is fenced by the slot to which the
		// upstream's id hashes, so that only one entry issues such orders.
		o.Slot = SlotOf(ProgramID(o.Upstream), c.slotCount())
		if o.Program != "" {
			o.Slot = SlotOf(o.Program, c.slotCount())
		}
		s := c.slots[o.Slot]
		if s == nil {
			continue
		}
		o.Epoch = s.epoch
		if o.Program != "" && !c.trackOrder(&o) {
			continue
		}
		c.emit(o)
	}
}

// trackOrder updates the recorded pins of a program for an order. It returns
// false if the order must not be issued.
func (c *Core) trackOrder(o *EngineOrder) bool {
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
		c.armPinRenewal(r)
	case OrderRelease, OrderOffload:
		delete(m.Pins, string(o.Upstream))
	}
	return true
}

func (c *Core) armPinRenewal(r *root) {
	if !r.renewalArmed {
		r.renewalArmed = true
		c.addTimer(timer{at: c.now.Add(pinRenewalInterval), kind: timerPinRenewal, root: r})
	}
}

// renewPins renews the pins of a root program and its children and releases
// those whose retention time has passed.
func (c *Core) renewPins(r *root) {
	r.renewalArmed = false
	held := false
	for _, id := range sortedKeys(r.Members) {
		m := r.Members[id]
		for _, u := range sortedKeys(m.Pins) {
			left := m.Pins[u].Sub(c.now)
			if left <= 0 {
				c.releasePin(r, ProgramID(id), UpstreamID(u))
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
		c.armPinRenewal(r)
	}
}

// releasePin orders an engine to release the pinned cache of a program.
func (c *Core) releasePin(r *root, id ProgramID, u UpstreamID) {
	c.emit(EngineOrder{Upstream: u, Order: OrderRelease, Program: id, Slot: r.slot, Epoch: c.slots[r.slot].epoch})
}

// releasePins releases the pinned cache of a program that has ended.
func (c *Core) releasePins(r *root, m *program.Member) {
	for _, u := range sortedKeys(m.Pins) {
		c.releasePin(r, ProgramID(m.ID), UpstreamID(u))
	}
	m.Pins = nil
}

// forgetPins removes the recorded pins on an upstream that is gone.
func (c *Core) forgetPins(id UpstreamID) {
	for _, r := range c.roots {
		for _, m := range r.Members {
			delete(m.Pins, string(id))
		}
	}
}
