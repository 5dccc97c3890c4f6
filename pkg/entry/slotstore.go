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

// slotStore reads and changes the slot map of the store.
type slotStore struct {
	c objectapi.Client
}

func mapOf(m *journal.SlotMap) ownership.Map {
	out := ownership.Map{Version: m.Version, Slots: make([]ownership.Owner, len(m.Slots))}
	for i, s := range m.Slots {
		out.Slots[i] = ownership.Owner{Incarnation: s.Owner, Epoch: s.Epoch}
	}
	return out
}

// read returns the slot map; slotCount is its size if there is none yet.
func (s slotStore) read(ctx context.Context, slotCount int) (ownership.Map, error) {
	m, err := journal.LoadSlots(ctx, s.c, slotCount)
	if err != nil {
		return ownership.Map{}, err
	}
	return mapOf(m), nil
}

// errNothingToChange ends an update that would change no slot.
var errNothingToChange = errors.New("no slot has the expected owner")

// reassign gives slots to an owner, if they still belong to from at the expected
// epochs. It returns the new map and the epochs of the slots that changed. With
// the owner itself as from it raises the epochs, which takes the slots out of
// the reach of an assignment that expects the earlier ones.
func (s slotStore) reassign(ctx context.Context, slotCount int, expected map[core.Slot]core.Epoch, from, to core.Incarnation) (ownership.Map, map[core.Slot]core.Epoch, error) {
	var taken map[core.Slot]core.Epoch
	m, err := journal.UpdateSlots(ctx, s.c, slotCount, func(m *journal.SlotMap) error {
		taken = make(map[core.Slot]core.Epoch)
		for slot, epoch := range expected {
			if int(slot) >= len(m.Slots) || m.Slots[slot] != (journal.SlotOwner{Owner: from, Epoch: epoch}) {
				continue
			}
			m.Slots[slot] = journal.SlotOwner{Owner: to, Epoch: epoch + 1}
			taken[slot] = epoch + 1
		}
		if len(taken) == 0 {
			return errNothingToChange
		}
		return nil
	})
	if errors.Is(err, errNothingToChange) {
		current, err := s.read(ctx, slotCount)
		return current, nil, err
	}
	if err != nil {
		return ownership.Map{}, nil, err
	}
	return mapOf(m), taken, nil
}

// encodeSlotMap and decodeSlotMap are the form in which peers exchange the map.
func encodeSlotMap(m ownership.Map) ([]byte, error) {
	value, err := json.Marshal(m.Slots)
	return value, errors.Wrap(err, "encode slot map")
}

func decodeSlotMap(version uint64, value []byte) (ownership.Map, error) {
	m := ownership.Map{Version: version}
	if err := json.Unmarshal(value, &m.Slots); err != nil {
		return ownership.Map{}, errors.Wrap(err, "decode slot map")
	}
	return m, nil
}
