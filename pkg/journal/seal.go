package journal

import (
	"context"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

// Seal seals the log of a lost incarnation and returns the number of its last
// object before the seal. Sealing again by the same incarnation succeeds. If
// another incarnation sealed the log, Seal returns the tail and a SealedError.
func Seal(ctx context.Context, c objectapi.Client, lost, by core.Incarnation) (tail uint64, err error) {
	objs, err := c.List(ctx, objectPrefix(lost))
	if err != nil {
		return 0, errors.Wrapf(err, "journal: seal %s: list", lost)
	}
	if len(objs) > 0 {
		if tail, err = objectNumber(objs[len(objs)-1].Key); err != nil {
			return 0, err
		}
		last, err := Decode(objs[len(objs)-1].Value)
		if err != nil {
			return 0, errors.Wrapf(err, "journal: seal %s: object %d", lost, tail)
		}
		if last.SealedBy != "" {
			return existingSeal(lost, by, last, tail)
		}
	}
	for {
		n := tail + 1
		payload, err := Encode(&peerv1.JournalObject{Incarnation: string(lost), Object: n, SealedBy: string(by)})
		if err != nil {
			return 0, err
		}
		_, err = c.Create(ctx, ObjectKey(lost, n), payload)
		if err == nil {
			return tail, nil
		}
		if !errors.Is(err, objectapi.ErrExists) {
			return 0, errors.Wrapf(err, "journal: seal %s at object %d", lost, n)
		}
		o, err := c.Get(ctx, ObjectKey(lost, n))
		if err != nil {
			return 0, errors.Wrapf(err, "journal: seal %s: read object %d", lost, n)
		}
		d, err := Decode(o.Value)
		if err != nil {
			return 0, errors.Wrapf(err, "journal: seal %s: object %d", lost, n)
		}
		if d.SealedBy != "" {
			return existingSeal(lost, by, d, n)
		}
		tail = n // the owner appended another object meanwhile
	}
}

func existingSeal(lost, by core.Incarnation, o *peerv1.JournalObject, object uint64) (uint64, error) {
	if o.SealedBy == string(by) {
		return object - 1, nil
	}
	return object - 1, &SealedError{Journal: lost, By: core.Incarnation(o.SealedBy), Object: object}
}

// SealAndOpen seals the log of a lost incarnation unless it is sealed already, and
// reads it. A seal by another successor is not an error: that successor may have
// stopped since, and the conditional update of the slot map decides between
// successors that both run. SealedBy returns the incarnation that made the seal.
func SealAndOpen(ctx context.Context, c objectapi.Client, lost, by core.Incarnation) (*SealedLog, error) {
	var s *SealedError
	if _, err := Seal(ctx, c, lost, by); err != nil && !errors.As(err, &s) {
		return nil, err
	}
	return OpenSealed(ctx, c, lost)
}
