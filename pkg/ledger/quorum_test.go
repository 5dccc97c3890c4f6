package ledger

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

// modelMember models a member of the ledger: it follows the rules of Store, Server
// and package storage without disk, network and clock.
type modelMember struct {
	state  *State
	up     bool
	lost   bool         // it lost its disk and has not caught up since
	pulled map[int]bool // members whose records it has read since
}

func (m *modelMember) records() map[uint64]*peerv1.LedgerRecord {
	return Digests(m.state.Records(peerv1.Pull_ALL))
}

// Guards against an acknowledged record that a later read misses, in any order of
// writes, lost disks, outages and catching up, as long as no more disks are lost
// at the same time than the deployment tolerates. Writes also count on members
// that are catching up; reads only count on complete ones.
func TestQuorumInterleavings(t *testing.T) {
	now := time.Unix(0, 0)
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "members")
		tolerated := min(rapid.IntRange(1, 2).Draw(t, "tolerated"), n-1)
		need := max(Majority(n), tolerated+1)
		var members []*modelMember
		for range n {
			m := &modelMember{state: NewState(), up: true, pulled: make(map[int]bool)}
			m.state.complete = true
			members = append(members, m)
		}
		var acknowledged []uint64
		attempt := uint64(0)
		steps := map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				attempt++
				rec := usage(attempt, 10, false)
				copies := 0
				for _, m := range members {
					if m.up && rapid.Bool().Draw(t, "reached") {
						m.state.Apply(rec, now)
						copies++
					}
				}
				if copies >= need {
					acknowledged = append(acknowledged, Digest(rec))
				}
			},
			"lose disk": func(t *rapid.T) {
				lost := 0
				for _, m := range members {
					if m.lost {
						lost++
					}
				}
				m := members[rapid.IntRange(0, n-1).Draw(t, "member")]
				if !m.lost && lost >= tolerated {
					t.Skip("no more disks may be lost")
				}
				*m = modelMember{state: NewState(), up: m.up, lost: true, pulled: make(map[int]bool)}
			},
			"up or down": func(t *rapid.T) {
				m := members[rapid.IntRange(0, n-1).Draw(t, "member")]
				m.up = !m.up
			},
			"pull": func(t *rapid.T) {
				i, j := rapid.IntRange(0, n-1).Draw(t, "to"), rapid.IntRange(0, n-1).Draw(t, "from")
				to, from := members[i], members[j]
				if i == j || to.state.UsageComplete() || !to.up || !from.up {
					t.Skip("nothing to pull")
				}
				for _, rec := range from.state.Records(peerv1.Pull_USAGE) {
					to.state.Apply(rec, now)
				}
				if to.pulled[j] = true; len(to.pulled) == n-1 {
					to.state.usageComplete, to.lost = true, false
				}
			},
			"": func(t *rapid.T) {
				// Every quorum of complete members must have every acknowledged record,
				// so fewer complete members than a quorum may lack it.
				for _, d := range acknowledged {
					without := 0
					for _, m := range members {
						if _, ok := m.records()[d]; !ok && m.state.UsageComplete() {
							without++
						}
					}
					if without >= need {
						t.Fatalf("%d of %d members are complete but lack an acknowledged record, a read needs %d", without, n, need)
					}
				}
			},
		}
		t.Repeat(steps)
	})
}
