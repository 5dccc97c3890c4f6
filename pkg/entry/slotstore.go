package entry

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/core/ownership"
	"github.com/yuccaspindle/yuccaspindle/pkg/journal"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

// slotStore reads and updates the slot map in the store.
type slotStore struct {
	client objectapi.Client
}

// ownershipMap converts a stored slot map to the form of the ownership manager.
func ownershipMap(m *journal.SlotMap) ownership.Map {
	out := ownership.Map{Version: m.Version, Slots: make([]ownership.Owner, len(m.Slots))}
	for i, s := range m.Slots {
		out.Slots[i] = ownership.Owner{Incarnation: s.Owner, Epoch: s.Epoch}
	}
	return out
}

// load returns the slot map. If there is none yet, it returns one with slotCount
// slots without owners.
func (s slotStore) load(ctx context.Context, slotCount int) (ownership.Map, error) {
	m, err := journal.LoadSlots(ctx, s.client, slotCount)
	if err != nil {
		return ownership.Map{}, err
	}
	return ownershipMap(m), nil
}

// errNoSlotChanged aborts an update that would not change any slot.
var errNoSlotChanged = errors.New("no slot has the expected owner")

// reassign makes the incarnation to the owner of slots of the incarnation from, and
// increments the epochs of these slots. Slots that do not belong to from with the
// expected epoch are skipped. It returns the new map and the new epochs of the
// changed slots. If from and to are equal, only the epochs change, so that a
// concurrent reassignment that expects the old epochs has no effect.
func (s slotStore) reassign(ctx context.Context, slotCount int, expected map[core.Slot]core.Epoch, from, to core.Incarnation) (ownership.Map, map[core.Slot]core.Epoch, error) {
	var changed map[core.Slot]core.Epoch
	m, err := journal.UpdateSlots(ctx, s.client, slotCount, func(m *journal.SlotMap) error {
		changed = make(map[core.Slot]core.Epoch)
		for slot, epoch := range expected {
			if int(slot) >= len(m.Slots) || m.Slots[slot] != (journal.SlotOwner{Owner: from, Epoch: epoch}) {
				continue
			}
			m.Slots[slot] = journal.SlotOwner{Owner: to, Epoch: epoch + 1}
			changed[slot] = epoch + 1
		}
		if len(changed) == 0 {
			return errNoSlotChanged
		}
		return nil
	})
	if errors.Is(err, errNoSlotChanged) {
		current, err := s.load(ctx, slotCount)
		return current, nil, err
	}
	if err != nil {
		return ownership.Map{}, nil, err
	}
	return ownershipMap(m), changed, nil
}

// encodeSlotMap returns the slots of a map in the form in which peers exchange them.
func encodeSlotMap(m ownership.Map) ([]byte, error) {
	value, err := json.Marshal(m.Slots)
	return value, errors.Wrap(err, "encode slot map")
}

// decodeSlotMap is the reverse of encodeSlotMap.
func decodeSlotMap(version uint64, value []byte) (ownership.Map, error) {
	m := ownership.Map{Version: version}
	if err := json.Unmarshal(value, &m.Slots); err != nil {
		return ownership.Map{}, errors.Wrap(err, "decode slot map")
	}
	return m, nil
}
