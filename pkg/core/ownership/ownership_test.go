package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

var start = time.Unix(1000, 0)

func peer(name, region string) Peer {
	return Peer{Instance: name, Incarnation: core.Incarnation(name + ".1"), Region: region}
}

func ownedBy(n int, owners ...string) Map {
	m := Map{Version: 1, Slots: make([]Owner, n)}
	for i := range m.Slots {
		m.Slots[i] = Owner{Incarnation: core.Incarnation(owners[i*len(owners)/n] + ".1"), Epoch: 1}
	}
	return m
}

// A lost owner must have exactly one successor.
func TestExactlyOneSuccessor(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	successors := 0
	for _, self := range names[:3] {
		m := New(peer(self, "east"), start)
		m.SetRegions([]string{"east"})
		m.OnSlotMap(start, ownedBy(8, "a", "b", "c", "d"))
		for _, other := range names[:3] {
			m.OnContact(start.Add(4*time.Second), peer(other, "east"))
		}
		if a, ok := m.Tick(start.Add(4 * time.Second)).(TakeOver); ok {
			successors++
			if a.Lost != "d.1" || len(a.Slots) != 2 {
				t.Errorf("%s proposes %+v, want the two slots of d.1", self, a)
			}
		}
	}
	if successors != 1 {
		t.Errorf("%d entries propose to take over from d, want 1", successors)
	}
}

// A region must not take over the slots of another while the link between them is
// down, until the platform reports the other region's entries gone.
func TestSplitRegionKeepsItsSlots(t *testing.T) {
	m := New(peer("a", "east"), start)
	m.SetRegions([]string{"east", "west"})
	m.OnSlotMap(start, ownedBy(8, "a", "w"))
	west := peer("w", "west")
	m.OnContact(start, west)
	m.OnInstanceList(start, []Peer{peer("a", "east"), west})
	for s := range 300 {
		if a := m.Tick(start.Add(time.Duration(s) * time.Second)); a != nil {
			t.Fatalf("after %d s without contact the other region proposes %+v", s, a)
		}
	}
	// The platform reports the region's entries gone, so a takeover is due after
	// regionLossTimeout.
	m.OnInstanceList(start.Add(300*time.Second), []Peer{peer("a", "east")})
	if a := m.Tick(start.Add(301 * time.Second)); a != nil {
		t.Fatalf("1 s after the list reported the region gone: %+v", a)
	}
	if _, ok := m.Tick(start.Add(361 * time.Second)).(TakeOver); !ok {
		t.Error("no takeover 61 s after the list reported the region gone")
	}
}

// A restarted entry must take over from its earlier start without waiting for
// contactTimeout.
func TestRestartTakesOverFromEarlierStart(t *testing.T) {
	self := Peer{Instance: "a", Incarnation: "a.2", Region: "east"}
	m := New(self, start)
	m.SetRegions([]string{"east"})
	m.OnSlotMap(start, ownedBy(4, "a"))
	if _, ok := m.Tick(start).(TakeOver); !ok {
		t.Error("the restarted entry does not take over from its earlier start")
	}
}

// Rebalancing must end with equal shares, without moving slots back and forth.
func TestHandOverConverges(t *testing.T) {
	names := []string{"a", "b", "c"}
	slots := ownedBy(32, "a")
	managers := make(map[string]*Manager)
	for _, n := range names {
		managers[n] = New(peer(n, "east"), start)
		managers[n].SetRegions([]string{"east"})
	}
	now := start.Add(4 * time.Second)
	moves := 0
	for range 50 {
		for _, n := range names {
			m := managers[n]
			for _, o := range names {
				m.OnContact(now, peer(o, "east"))
			}
			m.OnSlotMap(now, slots)
			if a, ok := m.Tick(now).(HandOver); ok {
				moves++
				slots = Map{Version: slots.Version + 1, Slots: append([]Owner(nil), slots.Slots...)}
				for _, s := range a.Slots {
					slots.Slots[s] = Owner{Incarnation: a.To.Incarnation, Epoch: slots.Slots[s].Epoch + 1}
				}
				m.OnActionDone(now, true)
			}
			now = now.Add(time.Second)
		}
	}
	counts := make(map[core.Incarnation]int)
	for _, o := range slots.Slots {
		counts[o.Incarnation]++
	}
	for inc, n := range counts {
		if n < 10 || n > 11 {
			t.Errorf("%s holds %d of 32 slots, want 10 or 11", inc, n)
		}
	}
	if moves > 8 {
		t.Errorf("%d hand-overs to rebalance 32 slots, want at most 8", moves)
	}
}

// Slots must not be handed over to a peer that started at the same time and has not
// claimed its own share yet.
func TestRebalancingWaitsForClaims(t *testing.T) {
	m := New(peer("a", "east"), start)
	m.SetRegions([]string{"east"})
	half := Map{Version: 2, Slots: make([]Owner, 8)}
	for s := range 4 {
		half.Slots[s] = Owner{Incarnation: "a.1", Epoch: 1}
	}
	now := start.Add(2 * time.Second)
	m.OnSlotMap(now, half)
	m.OnContact(now, peer("b", "east"))
	for range 4 {
		if a, ok := m.Tick(now).(HandOver); ok {
			t.Fatalf("hand-over of %d slots to a peer that has not claimed its share yet", len(a.Slots))
		}
		m.OnActionDone(now, true)
		now = now.Add(500 * time.Millisecond)
	}
}

// Entries that start together must claim every free slot, and none twice.
func TestFreeSlotsAreDivided(t *testing.T) {
	claimed := make(map[core.Slot]string)
	for _, self := range []string{"a", "b", "c"} {
		m := New(peer(self, "east"), start)
		m.SetRegions([]string{"east"})
		m.OnSlotMap(start, Map{Version: 1, Slots: make([]Owner, 64)})
		now := start.Add(2 * time.Second)
		for _, o := range []string{"a", "b", "c"} {
			m.OnContact(now, peer(o, "east"))
		}
		a, ok := m.Tick(now).(ClaimFree)
		if !ok {
			t.Fatalf("%s claims nothing", self)
		}
		for _, s := range a.Slots {
			if other, taken := claimed[s]; taken {
				t.Errorf("slot %d is claimed by %s and %s", s, other, self)
			}
			claimed[s] = self
		}
	}
	if len(claimed) != 64 {
		t.Errorf("%d of 64 slots are claimed", len(claimed))
	}
}

// Free slots of a region without entries must be claimed from another region, and
// must be returned once the region has an entry.
func TestRegionWithoutEntries(t *testing.T) {
	m := New(peer("a", "east"), start)
	m.SetRegions([]string{"east", "west"})
	slots := ownedBy(8, "a", "x")
	for s := 4; s < 8; s++ {
		slots.Slots[s] = Owner{}
	}
	m.OnSlotMap(start, slots)
	m.OnInstanceList(start, []Peer{peer("a", "east")})
	if a := m.Tick(start.Add(5 * time.Second)); a != nil {
		t.Fatalf("after 5 s: %+v, want none while entries of the region may still start", a)
	}
	a, ok := m.Tick(start.Add(11 * time.Second)).(ClaimFree)
	if !ok || len(a.Slots) != 4 {
		t.Fatalf("after 11 s: %+v, want a claim of the 4 slots of west", a)
	}
	m.OnActionDone(start.Add(11*time.Second), true)
	now := start.Add(20 * time.Second)
	claimed := ownedBy(8, "a")
	claimed.Version = 2
	m.OnSlotMap(now, claimed)
	m.OnContact(now.Add(5*time.Second), peer("w", "west"))
	h, ok := m.Tick(now.Add(5 * time.Second)).(HandOver)
	if !ok || h.To.Instance != "w" || len(h.Slots) != 4 {
		t.Errorf("after an entry of west started: %+v, want a hand-over of its 4 slots", h)
	}
}

// BenchmarkTick measures one decision with 137 entries in a region and 4,096 slots,
// the deployment size that the design targets.
func BenchmarkTick(b *testing.B) {
	var names []string
	for i := range 137 {
		names = append(names, fmt.Sprintf("e%03d", i))
	}
	m := New(peer(names[0], "east"), start)
	m.SetRegions([]string{"east"})
	m.OnSlotMap(start, ownedBy(4096, names...))
	now := start.Add(10 * time.Second)
	for _, n := range names {
		m.OnContact(now, peer(n, "east"))
	}
	b.ReportAllocs()
	for b.Loop() {
		m.Tick(now)
		m.OnActionDone(now, true)
	}
}
