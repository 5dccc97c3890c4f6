package quota

import (
	"testing"
	"time"
)

// BenchmarkAdmit measures the check of a request while the workspace has 1,000 others.
func BenchmarkAdmit(b *testing.B) {
	for _, c := range []struct {
		name string
		rate float64
	}{{"admitted", 1e12}, {"without tokens", 1e-6}} {
		b.Run(c.name, func(b *testing.B) {
			n := NewNode(simBounds, "a")
			n.SetMembers([]Member{{Address: "a"}}, 0)
			quotas := make(map[uint64]Quota)
			for id := range uint64(1000) {
				quotas[id] = Quota{Rate: c.rate}
			}
			n.SetQuotas(1, quotas, 0)
			now := time.Minute
			for i := 0; b.Loop(); i++ {
				now += time.Microsecond
				if id := uint64(i % 1000); n.Admit(id, false, now).Outcome == Waiting {
					n.Leave(id)
				}
			}
		})
	}
}

// BenchmarkDue measures a round of requests of an edge with 1,000 active workspaces among 410
// edges.
func BenchmarkDue(b *testing.B) {
	n := NewNode(simBounds, "a")
	members := []Member{{Address: "a"}}
	for i := range 409 {
		members = append(members, Member{Address: string(rune('b' + i))})
	}
	n.SetMembers(members, 0)
	quotas := make(map[uint64]Quota)
	for id := range uint64(1000) {
		quotas[id] = Quota{Rate: 20}
	}
	n.SetQuotas(1, quotas, 0)
	for id := range quotas {
		if n.Admit(id, false, time.Minute).Outcome == Waiting {
			n.Resume(id, true, time.Minute)
		}
	}
	now := time.Minute
	for b.Loop() {
		now += 50 * time.Millisecond
		for _, a := range n.Due(false, now) {
			n.Fail(a, now)
		}
	}
}
