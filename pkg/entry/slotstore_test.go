package entry

import (
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

// Guards against two owners of one slot. A sender aborts a handover and reclaims the
// slot, but the receiver completes the handover later: its update of the slot map
// must have no effect.
func TestReclaimedSlotIsNotHandedOver(t *testing.T) {
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
		t.Fatalf("reclaim: %v, %v", taken, err)
	}
	m, taken, err := store.reassign(ctx, slots, handedOver, "a.1", "b.1")
	if err != nil || len(taken) != 0 || m.Slots[2].Incarnation != "a.1" {
		t.Errorf("the receiver of the aborted handover got %v, the slot is owned by %s, error %v", taken, m.Slots[2].Incarnation, err)
	}
	// A handover with the current epoch succeeds.
	m, taken, err = store.reassign(ctx, slots, map[core.Slot]core.Epoch{2: 2}, "a.1", "b.1")
	if err != nil || taken[2] != 3 || m.Slots[2].Incarnation != "b.1" {
		t.Errorf("handover with the current epoch: %v, %v", taken, err)
	}
}
