package entry

import (
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

// Guards against two owners of a slot: a hand-over whose sender gave it up and
// took the slot back must not take effect when its receiver comes late.
func TestLateHandOverDoesNotTakeSlot(t *testing.T) {
	store := slotStore{objectapi.NewMemory(objectapi.MemoryOptions{}).Client("entry")}
	ctx := t.Context()
	const slots = 4
	_, taken, err := store.reassign(ctx, slots, map[core.Slot]core.Epoch{2: 0}, "", "a.1")
	if err != nil || taken[2] != 1 {
		t.Fatalf("claim: %v, %v", taken, err)
	}
	handedOver := map[core.Slot]core.Epoch{2: 1}
	_, taken, err = store.reassign(ctx, slots, handedOver, "a.1", "a.1")
	if err != nil || taken[2] != 2 {
		t.Fatalf("taking back: %v, %v", taken, err)
	}
	m, taken, err := store.reassign(ctx, slots, handedOver, "a.1", "b.1")
	if err != nil || len(taken) != 0 || m.Slots[2].Incarnation != "a.1" {
		t.Errorf("the late receiver took %v, the map names %s, error %v", taken, m.Slots[2].Incarnation, err)
	}
	// Without the hand-over taken back, the receiver gets the slot.
	m, taken, err = store.reassign(ctx, slots, map[core.Slot]core.Epoch{2: 2}, "a.1", "b.1")
	if err != nil || taken[2] != 3 || m.Slots[2].Incarnation != "b.1" {
		t.Errorf("a hand-over at the epoch in force: %v, %v", taken, err)
	}
}
