package fleet

import (
	"cmp"
	"math"
	"time"
)

// Request is what the choice of a member depends on.
type Request struct {
	Service string
	// Affinity is the id of the member that served the program before and is
	// likely to hold its prompt in its cache; may be empty.
	Affinity string
	Excluded func(id string) bool // members that were tried; may be nil
	Draw     float64              // uniform in [0, 1), breaks ties
	// ServiceTime is the expected time of the request at an idle member.
	ServiceTime time.Duration
}

// The parts of the expected cost of a member, in ms.
const (
	otherDomainCost = 1.0  // round trip between failure domains
	otherRegionCost = 60.0 // round trip between regions; the link is narrow and billed
	affinityGain    = 12.0 // reading a prompt again that the member has in its cache
	failureCost     = 900.0
	coldCost        = 30.0
	jitterCost      = 1.5 // spreads entries that see equal members
	// loadCost is the cost of a member with all slots taken and no queue: steps
	// take longer the more requests share them.
	loadCost = 20.0
)

// Pick returns the member with the lowest expected cost, or nil if none may be
// used. Members that leave are used only when no other is left, and only for a
// time; suspended ones after these, the one whose suspension ends first.
func (f *Fleet) Pick(r Request, now time.Time) *Member {
	var best, leaves, fallback *Member
	bestCost := math.Inf(1)
	i := 0
	for _, m := range f.byService[r.Service] {
		if m.State != Ready || r.Excluded != nil && r.Excluded(m.ID) {
			continue
		}
		i++
		if m.Leaving() {
			if f.usable(m, now) && !m.Suspended(now) && (leaves == nil || m.leavingSince.After(leaves.leavingSince)) {
				leaves = m
			}
			continue
		}
		if m.Suspended(now) {
			if fallback == nil || m.suspendedUntil.Before(fallback.suspendedUntil) {
				fallback = m
			}
			continue
		}
		cost := f.cost(m, r, now) + jitterCost*spread(r.Draw, i)
		if cost < bestCost {
			best, bestCost = m, cost
		}
	}
	return cmp.Or(best, leaves, fallback)
}

// HasAlternative reports whether a service has a member that is not excluded and would
// take an attempt now.
func (f *Fleet) HasAlternative(service string, excluded func(id string) bool, now time.Time) bool {
	for _, m := range f.byService[service] {
		if m.State == Ready && !m.Leaving() && !m.Suspended(now) && !excluded(m.ID) {
			return true
		}
	}
	return false
}

// spread maps a draw to a different value in [0, 1) for each candidate.
func spread(draw float64, i int) float64 {
	_, frac := math.Modf(draw*float64(31+i*7) + draw)
	return frac
}

func (f *Fleet) cost(m *Member, r Request, now time.Time) float64 {
	cost := failureCost * m.failing(now)
	if m.FailureDomain != f.domain {
		cost += otherDomainCost
		if f.regionOf[m.FailureDomain] != f.regionOf[f.domain] {
			cost += otherRegionCost
		}
	}
	if m.ID == r.Affinity {
		cost -= affinityGain
	}
	if m.WarmupRemaining > 0 {
		cost += coldCost
	}
	slots := float64(max(m.Slots, 1))
	load := f.load(m, now)
	cost += loadCost * math.Min(load/slots, 1)
	if queued := load + 1 - slots; queued > 0 {
		cost += queued / slots * max(float64(r.ServiceTime.Milliseconds()), 1)
	}
	return cost
}

// load estimates the requests at a member: those of this process, and those
// of others as reported, which count less with age.
func (f *Fleet) load(m *Member, now time.Time) float64 {
	load := float64(m.inFlight)
	if !m.reportedAt.IsZero() {
		age := now.Sub(m.reportedAt)
		load += m.others * math.Exp2(-float64(age)/float64(loadHalfLife))
	}
	return load
}

// Busy reports whether a member has no free slot, this process's attempts
// included.
func (f *Fleet) Busy(m *Member, now time.Time) bool {
	return f.load(m, now) > float64(max(m.Slots, 1))
}
