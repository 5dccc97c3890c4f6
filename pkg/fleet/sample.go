package fleet

import (
	"math"
	"time"
)

const (
	// sampleSize is how many usable members of the own region are compared. Other processes
	// that decide at the same moment by the same reports compare others, so they do not all
	// choose the same one.
	sampleSize = 5
	// maxProbes bounds the members that are looked at to find them.
	maxProbes = 64
	// sampleShare bounds the sample to a share of a small service's members, for the same
	// reason.
	sampleShare = 0.6
)

// choice is the best of the members that were compared.
type choice struct {
	best *Member
	cost float64
}

// add compares a member.
func (c *choice) add(f *Fleet, md *model, m *Member, r *Request, tie uint64, now time.Time) {
	s := f.score(md, m, r, now)
	cost := s.Total() + jitterCost*float64(tie>>32)/(1<<32)
	if c.best == nil || cost < c.cost {
		c.best, c.cost = m, cost
	}
}

// bestOfSample returns the best of some random members, of the one that served the program
// before and of the one at which all processes would look for the conversation. It returns
// nil if a limit is in force, which has to be counted over all members, or if it finds none.
func (f *Fleet) bestOfSample(md *model, r *Request, now time.Time) *Member {
	list := f.byService[r.Service]
	if f.limits.Active() > 0 || len(list) == 0 {
		return nil
	}
	c := choice{cost: math.Inf(1)}
	near, want := 0, sampleOf(len(list))
	seed := math.Float64bits(r.Draw)
	for i := range uint64(maxProbes) {
		tie := mix(seed + i)
		m := list[tie%uint64(len(list))]
		if f.filter(m, r, nil, now) != usable {
			continue
		}
		c.add(f, md, m, r, mix(tie), now)
		if m.distance < otherRegionCost {
			near++
		}
		if near >= want {
			break
		}
	}
	if near == 0 {
		return nil
	}
	if m := f.members[r.Affinity]; m != nil && m.Service == r.Service && f.filter(m, r, nil, now) == usable {
		c.add(f, md, m, r, seed, now)
	}
	for _, m := range f.homes(r) {
		if m != nil && f.filter(m, r, nil, now) == usable {
			r.home = m
			c.add(f, md, m, r, seed, now)
			break
		}
	}
	return c.best
}

func sampleOf(n int) int { return min(sampleSize, int(math.Ceil(sampleShare*float64(n)))) }

// bestByTime looks at all members, for a service with limits or whose sample has no usable
// one. It returns the best of some of the usable ones, and the last resorts.
func (f *Fleet) bestByTime(md *model, r *Request, offered *supply, now time.Time) (*Member, lastResorts) {
	var others lastResorts
	c := choice{cost: math.Inf(1)}
	list := f.byService[r.Service]
	seed := math.Float64bits(r.Draw)
	near := 0
	for i, m := range list {
		v := f.filter(m, r, offered, now)
		if v != usable {
			others.add(f, m, v, now)
			continue
		}
		if m.distance < otherRegionCost {
			near++
		}
		if tie := mix(seed + uint64(i)); m.ID == r.Affinity || tie%uint64(len(list)) < sampleSize {
			c.add(f, md, m, r, mix(tie), now)
		}
	}
	if c.best != nil && (near == 0 || c.best.distance < otherRegionCost) {
		return c.best, others
	}
	// Few of many are usable: they are all compared.
	for i, m := range list {
		if f.filter(m, r, nil, now) == usable {
			c.add(f, md, m, r, mix(seed+uint64(i)), now)
		}
	}
	return c.best, others
}
