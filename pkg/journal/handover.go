package journal

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

// Handover appends the records of slots that another incarnation will own and
// returns the last object that contains them. Checkpoints do not delete these
// objects until ReleaseHandover is called.
func (w *Writer) Handover(ctx context.Context, slots []core.Slot, to core.Incarnation, recs []core.Record) (object uint64, err error) {
	control := &peerv1.JournalObject{HandedTo: string(to)}
	for _, s := range slots {
		control.HandedOver = append(control.HandedOver, uint32(s))
	}
	return w.submitAndWait(ctx, entry{control: control, recs: recs})
}

// ReleaseHandover allows the next checkpoint to delete the objects of a
// hand-over. Call it when the new owner's journal contains the records.
func (w *Writer) ReleaseHandover(object uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.handovers, object)
}

// inHandover reports whether a key belongs to an unreleased hand-over.
func (w *Writer) inHandover(key string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for last, first := range w.handovers {
		for n := first; n <= last; n++ {
			if key == ObjectKey(w.self, n) {
				return true
			}
		}
	}
	return false
}

// ReadHandover returns the records of the hand-over whose last object is given.
func ReadHandover(ctx context.Context, c objectapi.Client, from core.Incarnation, object uint64) ([]core.Record, error) {
	var objs []*peerv1.JournalObject
	for n := object; n > 0; n-- {
		got, err := c.Get(ctx, ObjectKey(from, n))
		if n < object && errors.Is(err, objectapi.ErrNotFound) {
			break // deleted after a checkpoint, so not part of the hand-over
		}
		if err != nil {
			return nil, errors.Wrapf(err, "journal: read hand-over of %s: object %d", from, n)
		}
		d, err := Decode(got.Value)
		if err != nil {
			return nil, errors.Wrapf(err, "journal: read hand-over of %s: object %d", from, n)
		}
		if n == object && d.HandedTo == "" {
			return nil, errors.Errorf("journal: object %d of %s is not a hand-over", n, from)
		}
		if d.HandedTo != firstObject(objs, d).HandedTo || !slices.Equal(d.HandedOver, firstObject(objs, d).HandedOver) {
			break
		}
		objs = append(objs, d)
	}
	var a assembler
	for _, d := range slices.Backward(objs) {
		if err := a.add(d.Records); err != nil {
			return nil, err
		}
	}
	return a.out, nil
}

// firstObject returns the first element of objs, or d if objs is empty.
func firstObject(objs []*peerv1.JournalObject, d *peerv1.JournalObject) *peerv1.JournalObject {
	if len(objs) > 0 {
		return objs[0]
	}
	return d
}
