package fleet

import (
	"math"
	"time"
)

const (
	// sampleSize is how many usable members of the region of this process are compared. Other
	// processes that decide at the same moment by the same reports compare other members, so
	// they do not all choose the same one.
	sampleSize = 4
	// farSampleSize is how many members of other regions are compared besides, in case the
	// region of this process has no slots left.
	farSampleSize = 2
	// maxProbes bounds the members that are examined to find the sample.
	maxProbes = 64
	// sampleShare bounds the sample to a share of a small service's members, for the same
	// reason.
	sampleShare = 0.6
)

// choice holds the best members so far: near in the region of this process, far in others.
type choice struct {
	near, far         *Member
	nearCost, farCost float64
	// nearAlone is the cost of near without the parts that requests which run at the same time
	// cause to each other.
	nearAlone float64
}

// add compares a member.
func (c *choice) add(f *Fleet, md *model, m *Member, r *Request, tie uint64, now time.Time) {
	s := f.score(md, m, r, now)
	cost := s.Total() + jitterCost*float64(tie>>32)/(1<<32)
	switch {
	case m.inRegion():
		if c.near == nil || cost < c.nearCost {
			c.near, c.nearCost, c.nearAlone = m, cost, cost-s.Ahead-s.Batch-s.Delay
		}
	case c.far == nil || cost < c.farCost:
		c.far, c.farCost = m, cost
	}
}

// best returns the member to choose. A request leaves the region only if it would have to
// wait there for a slot or memory, or if the members there fail or are slow, but not in order to
// share a member with fewer requests: the link between regions has little bandwidth and is billed.
func (c *choice) best() *Member {
	if c.near == nil || c.far != nil && c.farCost < c.nearAlone {
		return c.far
	}
	return c.near
}

// bestOfSample returns the best of some random members, the one that served the program before
// and the home of the conversation. It returns
// nil if a rate limit is in force, since permits are counted over all members, or if it finds no
// usable member in the region of this process.
func (f *Fleet) bestOfSample(md *model, r *Request, now time.Time) *Member {
	g := f.groups[r.Service]
	if f.limits.Active() > 0 || g == nil {
		return nil
	}
	var c choice
	f.sample(md, &c, g.near.members, sampleOf(len(g.near.members)), r, now)
	if c.near == nil {
		return nil
	}
	f.sample(md, &c, g.far.members, farSampleSize, r, now)
	if m := f.members[r.Affinity]; m != nil && m.Service == r.Service && f.filter(m, r, nil, now) == usable {
		c.add(f, md, m, r, 0, now)
	}
	for _, m := range g.near.homes(r.Conversation) {
		if m != nil && f.filter(m, r, nil, now) == usable {
			r.home = m
			c.add(f, md, m, r, 0, now)
			break
		}
	}
	return c.best()
}

// sample compares a number of random usable members of a list.
func (f *Fleet) sample(md *model, c *choice, list []*Member, size int, r *Request, now time.Time) {
	if len(list) == 0 {
		return
	}
	seed := math.Float64bits(r.Draw)
	for i := range uint64(maxProbes) {
		tie := mix(seed + i)
		m := list[tie%uint64(len(list))]
		if f.filter(m, r, nil, now) != usable {
			continue
		}
		c.add(f, md, m, r, mix(tie), now)
		if size--; size <= 0 {
			return
		}
	}
}

// sampleOf returns how many of n members are compared.
func sampleOf(n int) int { return min(sampleSize, int(math.Ceil(sampleShare*float64(n)))) }

// bestByTime filters all members, for a service with rate limits or if the sample has no usable
// member. It returns the best of a random part of the usable ones, and the last resorts.
func (f *Fleet) bestByTime(md *model, r *Request, offered *supply, now time.Time) (*Member, lastResorts) {
	var others lastResorts
	var c choice
	list := f.byService[r.Service]
	seed := math.Float64bits(r.Draw)
	near := 0
	for i, m := range list {
		v := f.filter(m, r, offered, now)
		if v != usable {
			others.add(f, m, v, now)
			continue
		}
		if m.inRegion() {
			near++
		}
		if tie := mix(seed + uint64(i)); m.ID == r.Affinity || tie%uint64(len(list)) < sampleSize {
			c.add(f, md, m, r, mix(tie), now)
		}
	}
	if c.near != nil || near == 0 && c.far != nil {
		return c.best(), others
	}
	// No usable near member was in the random part: all usable members are compared.
	for i, m := range list {
		if f.filter(m, r, nil, now) == usable {
			c.add(f, md, m, r, mix(seed+uint64(i)), now)
		}
	}
	return c.best(), others
}
