package journal

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

// SlotsKey is the key of the slot map.
const SlotsKey = "slots"

// SlotOwner is the owner of a slot. The epoch grows by one with each change of
// owner; a slot that was never owned has epoch 0 and no owner.
type SlotOwner struct {
	Owner core.Incarnation
	Epoch core.Epoch
}

// SlotMap is the object that assigns the slots to their owners.
type SlotMap struct {
	Version uint64 // version of the stored object; 0 if it does not exist
	Slots   []SlotOwner
}

// Clone returns a deep copy of the map.
func (m *SlotMap) Clone() *SlotMap {
	return &SlotMap{Version: m.Version, Slots: append([]SlotOwner(nil), m.Slots...)}
}

// Owned returns the slots of an owner with their epochs.
func (m *SlotMap) Owned(owner core.Incarnation) map[core.Slot]core.Epoch {
	out := map[core.Slot]core.Epoch{}
	for i, s := range m.Slots {
		if s.Owner == owner {
			out[core.Slot(i)] = s.Epoch
		}
	}
	return out
}

// Assign makes owner the owner of the slots and raises their epochs by one. Slots
// that it already owns do not change.
func (m *SlotMap) Assign(owner core.Incarnation, slots ...core.Slot) {
	for _, s := range slots {
		if m.Slots[s].Owner != owner {
			m.Slots[s] = SlotOwner{owner, m.Slots[s].Epoch + 1}
		}
	}
}

// slotRange is the stored form of consecutive slots with the same owner and epoch.
type slotRange struct {
	First int              `json:"first"`
	Last  int              `json:"last"`
	Owner core.Incarnation `json:"owner"`
	Epoch core.Epoch       `json:"epoch"`
}

type slotObject struct {
	Count  int         `json:"count"`
	Ranges []slotRange `json:"ranges"`
}

func encodeSlots(m *SlotMap) ([]byte, error) {
	o := slotObject{Count: len(m.Slots)}
	for i, s := range m.Slots {
		if n := len(o.Ranges); n > 0 && o.Ranges[n-1].Owner == s.Owner && o.Ranges[n-1].Epoch == s.Epoch {
			o.Ranges[n-1].Last = i
			continue
		}
		o.Ranges = append(o.Ranges, slotRange{i, i, s.Owner, s.Epoch})
	}
	return json.Marshal(o)
}

func decodeSlots(data []byte) ([]SlotOwner, error) {
	var o slotObject
	if err := json.Unmarshal(data, &o); err != nil {
		return nil, errors.Wrap(err, "journal: slot map")
	}
	if o.Count < 1 || o.Count > 4096 {
		return nil, fmt.Errorf("journal: slot map of %d slots", o.Count)
	}
	slots := make([]SlotOwner, 0, o.Count)
	for _, r := range o.Ranges {
		if r.First != len(slots) || r.Last < r.First || r.Last >= o.Count {
			return nil, fmt.Errorf("journal: slot map has the range %d to %d after %d slots", r.First, r.Last, len(slots))
		}
		for range r.Last - r.First + 1 {
			slots = append(slots, SlotOwner{r.Owner, r.Epoch})
		}
	}
	if len(slots) != o.Count {
		return nil, fmt.Errorf("journal: slot map has %d of %d slots", len(slots), o.Count)
	}
	return slots, nil
}

// LoadSlots reads the slot map. If there is none, it returns count slots
// without an owner.
func LoadSlots(ctx context.Context, c objectapi.Client, count int) (*SlotMap, error) {
	o, err := c.Get(ctx, SlotsKey)
	if errors.Is(err, objectapi.ErrNotFound) {
		return &SlotMap{Slots: make([]SlotOwner, count)}, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "journal: read slot map")
	}
	return DecodeSlots(o)
}

// DecodeSlots decodes the slot map from its stored object, for example one that a
// watch returned.
func DecodeSlots(o objectapi.Object) (*SlotMap, error) {
	slots, err := decodeSlots(o.Value)
	if err != nil {
		return nil, err
	}
	return &SlotMap{Version: o.Version, Slots: slots}, nil
}

// UpdateSlots changes the slot map by a conditional update. It reads the map,
// calls change and writes the result. If another process wrote the map meanwhile,
// it starts again, so change may be called several times. An error of change
// ends the update and is returned. If the response of the store was lost and
// another process changed the map since, the returned map contains both changes.
func UpdateSlots(ctx context.Context, c objectapi.Client, count int, change func(*SlotMap) error) (*SlotMap, error) {
	for {
		old, err := LoadSlots(ctx, c, count)
		if err != nil {
			return nil, err
		}
		m := old.Clone()
		if err := change(m); err != nil {
			return nil, err
		}
		if err := checkSlots(old, m); err != nil {
			return nil, err
		}
		data, err := encodeSlots(m)
		if err != nil {
			return nil, errors.Wrap(err, "journal: slot map")
		}
		var o objectapi.Object
		if old.Version == 0 {
			o, err = c.Create(ctx, SlotsKey, data)
		} else {
			o, err = c.Update(ctx, SlotsKey, old.Version, data)
		}
		if err == nil {
			m.Version = o.Version
			return m, nil
		}
		if !errors.Is(err, objectapi.ErrConflict) && !errors.Is(err, objectapi.ErrExists) {
			return nil, errors.Wrap(err, "journal: write slot map")
		}
		if objectapi.IsUnknown(err) {
			current, err := LoadSlots(ctx, c, count)
			if err != nil {
				return nil, err
			}
			if containsChange(old, m, current) {
				return current, nil
			}
		}
	}
}

// containsChange reports whether the current map contains the change from old to
// m. The update is atomic and no other update writes the same owner and epoch to a
// slot, so one matching slot is sufficient.
func containsChange(old, m, current *SlotMap) bool {
	for i := range m.Slots {
		if m.Slots[i] != old.Slots[i] && i < len(current.Slots) && current.Slots[i] == m.Slots[i] {
			return true
		}
	}
	return false
}

// checkSlots returns an error unless each changed slot has the next epoch. An
// owner may raise the epoch of its own slot to make a hand-over in progress fail.
func checkSlots(old, m *SlotMap) error {
	if len(m.Slots) != len(old.Slots) {
		return fmt.Errorf("journal: slot map of %d slots, want %d", len(m.Slots), len(old.Slots))
	}
	for i := range m.Slots {
		before, after := old.Slots[i], m.Slots[i]
		if before != after && after.Epoch != before.Epoch+1 {
			return fmt.Errorf("journal: slot %d goes from %s at epoch %d to %s at epoch %d", i, before.Owner, before.Epoch, after.Owner, after.Epoch)
		}
	}
	return nil
}
