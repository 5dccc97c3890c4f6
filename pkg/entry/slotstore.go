package entry

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/core/ownership"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

// slotMapKey is the store object that maps slots to owners. 4,096 slots take
// about 200 KB, below the store's limit of 1 MB per value.
const slotMapKey = "slots"

// slotStore reads and changes the slot map by conditional updates.
type slotStore struct {
	c objectapi.Client
}

// read returns the slot map, creating an empty one of the given size if there
// is none.
func (s slotStore) read(ctx context.Context, slotCount int) (ownership.Map, error) {
	obj, err := s.c.Get(ctx, slotMapKey)
	if errors.Is(err, objectapi.ErrNotFound) {
		empty, encErr := json.Marshal(make([]ownership.Owner, slotCount))
		if encErr != nil {
			return ownership.Map{}, errors.Wrap(encErr, "encode slot map")
		}
		obj, err = s.c.Create(ctx, slotMapKey, empty)
		if errors.Is(err, objectapi.ErrExists) {
			obj, err = s.c.Get(ctx, slotMapKey)
		}
	}
	if err != nil {
		return ownership.Map{}, errors.Wrap(err, "read slot map")
	}
	return decodeSlotMap(obj.Version, obj.Value)
}

// update writes the map if the store still holds the version it was read at.
func (s slotStore) update(ctx context.Context, m ownership.Map) (ownership.Map, error) {
	value, err := json.Marshal(m.Slots)
	if err != nil {
		return ownership.Map{}, errors.Wrap(err, "encode slot map")
	}
	obj, err := s.c.Update(ctx, slotMapKey, m.Version, value)
	if err != nil {
		return ownership.Map{}, errors.Wrap(err, "update slot map")
	}
	m.Version = obj.Version
	return m, nil
}

func decodeSlotMap(version uint64, value []byte) (ownership.Map, error) {
	m := ownership.Map{Version: version}
	if err := json.Unmarshal(value, &m.Slots); err != nil {
		return ownership.Map{}, errors.Wrap(err, "decode slot map")
	}
	return m, nil
}
