package quota

import "time"

const (
	// usageSlot is the resolution of usage, and usageSlots how many of these it counts.
	usageSlot  = 100 * time.Millisecond
	usageSlots = 30
	// recentSlots is the number of newest slots that show a rise of the demand.
	recentSlots = 2
)

// usage counts events in short slots of the last 3 s.
type usage struct {
	counts [usageSlots]uint32
	slot   int64 // of the newest count
	sum    uint32
}

// advance drops slots that are over.
func (u *usage) advance(now Time) {
	slot := int64(now / usageSlot)
	if slot-u.slot >= usageSlots {
		u.counts, u.sum, u.slot = [usageSlots]uint32{}, 0, slot
		return
	}
	for u.slot < slot {
		u.slot++
		c := &u.counts[u.slot%usageSlots]
		u.sum -= *c
		*c = 0
	}
}

// add counts an event.
func (u *usage) add(now Time) {
	u.advance(now)
	u.counts[u.slot%usageSlots]++
	u.sum++
}

// rate returns the events a second over all slots.
func (u *usage) rate(now Time) float64 {
	u.advance(now)
	return float64(u.sum) / (usageSlots * usageSlot).Seconds()
}

// peak returns the larger of rate and the rate in the newest slots.
func (u *usage) peak(now Time) float64 {
	rate := u.rate(now)
	recent := uint32(0)
	for i := range int64(recentSlots) {
		if u.slot >= i {
			recent += u.counts[(u.slot-i)%usageSlots]
		}
	}
	// A single request is no rise.
	if recent < 2*recentSlots {
		return rate
	}
	return max(rate, float64(recent)/(recentSlots*usageSlot).Seconds())
}
