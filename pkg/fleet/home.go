package fleet

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// The home of a conversation is the member at which all processes of a region expect its cached
// prompt. They find the same one without a message, by hashing (see group.homes).

const (
	// homeBelief is the expected share of a conversation that is cached at its home if another
	// process served the previous turn. That process sent it there unless the home was much
	// busier than other members.
	homeBelief = 0.9
	// unknownRoaming is the share of later turns that come through another process than the
	// previous turn. It is assumed until minSamples later turns were counted.
	unknownRoaming = 0.5
)

// homeShare returns the expected share of the conversation that is cached at its home. For a
// first turn, or if this process served an earlier one, it stands for the turns that come through
// other processes: these will choose the home, or have chosen it.
func (md *model) homeShare(r *Request) float64 {
	if r.LaterTurn && r.Affinity == "" {
		return homeBelief
	}
	if md.roaming.known() {
		return homeBelief * md.roaming.value
	}
	return homeBelief * unknownRoaming
}

// recordRoaming records whether a later turn came through the same process as an earlier one.
func (md *model) recordRoaming(r *Request) {
	switch {
	case !r.LaterTurn:
	case r.Affinity == "":
		md.roaming.add(1, modelWeight)
	default:
		md.roaming.add(0, modelWeight)
	}
}

// group holds the members of a service that are all in the region of this process, or all in
// other regions, in any order. The hashes of their ids are kept because the search for a home
// reads all of them.
type group struct {
	members []*Member
	hashes  []uint64
}

// groups holds the members of a service, near: in the region of this process, far: in others.
type groups struct{ near, far group }

func (g *group) add(m *Member) {
	g.members = append(g.members, m)
	g.hashes = append(g.hashes, xxhash.Sum64String(m.ID))
}

func (g *group) drop(m *Member) {
	i := slices.Index(g.members, m)
	if i < 0 {
		return
	}
	last := len(g.members) - 1
	g.members[i], g.hashes[i] = g.members[last], g.hashes[last]
	g.members[last] = nil
	g.members, g.hashes = g.members[:last], g.hashes[:last]
}

// inRegion reports whether the member is in the region of this process.
func (m *Member) inRegion() bool { return m.distance < otherRegionCost }

// groupOf returns the group of a member.
func (f *Fleet) groupOf(m *Member) *group {
	g := f.groups[m.Service]
	if g == nil {
		g = &groups{}
		f.groups[m.Service] = g
	}
	if m.inRegion() {
		return &g.near
	}
	return &g.far
}

// setDomain sets the failure domain of a member.
func (f *Fleet) setDomain(m *Member, domain string) {
	listed := f.members[m.ID] == m
	if listed {
		f.groupOf(m).drop(m)
	}
	m.FailureDomain, m.distance = domain, f.distanceTo(domain)
	if listed {
		f.groupOf(m).add(m)
	}
}

// homes returns the home of a conversation and the member that replaces it if it is not usable:
// those with the highest hashes of conversation and member (rendezvous hashing). A change of the
// members moves only the conversations of those that were added or removed.
func (g *group) homes(conversation uint64) [2]*Member {
	var best [2]*Member
	if conversation == 0 || len(g.members) == 0 {
		return best
	}
	first, second := -1, -1
	var firstHash, secondHash uint64
	for i, h := range g.hashes {
		switch v := mix(h ^ conversation); {
		case first < 0 || v > firstHash:
			second, secondHash = first, firstHash
			first, firstHash = i, v
		case second < 0 || v > secondHash:
			second, secondHash = i, v
		}
	}
	best[0] = g.members[first]
	if second >= 0 {
		best[1] = g.members[second]
	}
	return best
}
