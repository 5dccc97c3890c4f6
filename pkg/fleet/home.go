package fleet

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// homeBelief is the share of a conversation that its home is believed to have cached if
	// another process served the turn before. That process sent it there unless the home was
	// much busier than others.
	homeBelief = 0.9
	// unknownRoaming is the share of later turns that come through another process than the
	// turn before, until that was seen minSamples times.
	unknownRoaming = 0.5
)

// homeShare returns the share of the conversation that its home is believed to have cached.
// For a first turn, or if this process served one before, it stands for the turns that come
// through other processes: they will look for it there, or have sent it there.
func (md *model) homeShare(r *Request) float64 {
	if r.LaterTurn && r.Affinity == "" {
		return homeBelief
	}
	if md.roaming.known() {
		return homeBelief * md.roaming.value
	}
	return homeBelief * unknownRoaming
}

// recordRoaming records whether a later turn came through the same process as one before.
func (md *model) recordRoaming(r *Request) {
	switch {
	case !r.LaterTurn:
	case r.Affinity == "":
		md.roaming.add(1, modelWeight)
	default:
		md.roaming.add(0, modelWeight)
	}
}

// addHash keeps the hashes of a service's members beside the list of members, in its order:
// looking for a home reads them all.
func (f *Fleet) addHash(m *Member, i int) {
	f.hashes[m.Service] = slices.Insert(f.hashes[m.Service], i, xxhash.Sum64String(m.ID))
}

func (f *Fleet) dropHash(m *Member, i int) {
	f.hashes[m.Service] = slices.Delete(f.hashes[m.Service], i, i+1)
}

// homes returns the two members at which all processes look for a conversation of which
// they know nothing: those with the highest hashes of the conversation and the member. A
// change of the list moves only the conversations of the members that came or went.
func (f *Fleet) homes(r *Request) [2]*Member {
	var best [2]*Member
	if r.Conversation == 0 {
		return best
	}
	key := r.Conversation
	first, second := -1, -1
	var firstHash, secondHash uint64
	for i, h := range f.hashes[r.Service] {
		switch v := mix(h ^ key); {
		case first < 0 || v > firstHash:
			second, secondHash = first, firstHash
			first, firstHash = i, v
		case second < 0 || v > secondHash:
			second, secondHash = i, v
		}
	}
	for i, at := range [2]int{first, second} {
		if at >= 0 {
			best[i] = f.byService[r.Service][at]
		}
	}
	return best
}
