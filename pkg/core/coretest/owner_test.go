package coretest

import (
	"slices"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// slotsOf returns the slots that a node owns, in order.
func (s *sim) slotsOf(n *node) []core.Slot {
	var out []core.Slot
	for _, slot := range sortedKeys(s.owner) {
		if s.owner[slot] == n {
			out = append(out, slot)
		}
	}
	return out
}

// transferSlots makes a node the owner of slots.
func (s *sim) transferSlots(to *node, slots []core.Slot, records []core.Record, planned bool) {
	acquired := map[core.Slot]core.Epoch{}
	for _, slot := range slots {
		s.registers.moved(s, slot, to.inc)
		s.owner[slot] = to
		s.epoch[slot]++
		acquired[slot] = s.epoch[slot]
	}
	s.step(to, core.SlotsAcquired{At: s.at(), Slots: acquired, Records: records, Planned: planned})
}

// takeover seals the journal of a node and gives its slots to another one. It
// returns false if that is impossible at present.
func (s *sim) takeover(lost *node) bool {
	slots := s.slotsOf(lost)
	live := slices.DeleteFunc(s.live(), func(n *node) bool { return n == lost || n.log.sealed })
	if !s.storeUp || lost.log.sealed || len(live) == 0 {
		return false
	}
	to := live[s.pick(len(live))]
	lost.log.sealed = true
	lost.releasing, lost.releaseTo = nil, nil
	var records []core.Record
	for _, j := range s.journals {
		for _, r := range j.durable() {
			if slices.Contains(slots, r.Slot) {
				records = append(records, r)
			}
		}
	}
	s.transferSlots(to, slots, records, false)
	s.start()
	return true
}

// advanceHandOver starts a planned hand-over of a node or carries on with the
// started one. It returns false if nothing could be done.
func (s *sim) advanceHandOver(n *node) bool {
	if n.releasing == nil {
		slots := s.slotsOf(n)
		live := slices.DeleteFunc(s.live(), func(m *node) bool { return m == n || m.log.sealed })
		if len(slots) == 0 || len(live) == 0 || n.log.sealed {
			return false
		}
		n.releasing, n.releaseTo = slots[:1], live[s.pick(len(live))]
		s.step(n, core.SlotsReleased{At: s.at(), Slots: n.releasing})
		return true
	}
	to := n.releaseTo
	if n.core.InFlight(n.releasing) > 0 || !s.storeUp || n.log.sealed || n.log.stored < len(n.log.batches) {
		return false
	}
	if to.dead || to.paused || to.sealed || to.log.sealed {
		if others := slices.DeleteFunc(s.live(), func(m *node) bool { return m == n || m.log.sealed }); len(others) > 0 {
			n.releaseTo = others[0]
		}
		return false
	}
	slots := n.releasing
	records := n.core.Snapshot(slots)
	n.log.extra = append(n.log.extra, records...)
	n.releasing, n.releaseTo = nil, nil
	s.step(n, core.SlotsReleased{At: s.at(), Slots: slots, Done: true})
	s.transferSlots(to, slots, records, true)
	return true
}
