package journal

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

// PendingCheckpoint is a checkpoint that is not written yet. It will cover the
// log up to a fixed position.
type PendingCheckpoint struct {
	w      *Writer
	result chan waitResult
}

// BeginCheckpoint fixes the position in the log up to which a checkpoint covers
// it: all records appended so far. The caller takes its snapshot afterwards, so
// that the snapshot contains them. A later record that the snapshot also
// contains is applied twice on recovery, which has no effect.
func (w *Writer) BeginCheckpoint() *PendingCheckpoint {
	p := &PendingCheckpoint{w: w, result: make(chan waitResult, 1)}
	w.submit(entry{barrier: true, result: p.result})
	return p
}

// Checkpoint writes a checkpoint of the records and deletes the objects that it
// covers. recs must contain every record appended before the call.
func (w *Writer) Checkpoint(ctx context.Context, recs []core.Record) error {
	return w.BeginCheckpoint().Write(ctx, recs)
}

// Write writes the parts of the checkpoint, then the log object that refers to
// them, and then deletes the covered objects and the previous checkpoint. If it
// fails, the objects and the previous checkpoint remain.
func (p *PendingCheckpoint) Write(ctx context.Context, recs []core.Record) error {
	w := p.w
	select {
	case w.checkpointing <- struct{}{}:
		defer func() { <-w.checkpointing }()
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "journal %s: checkpoint: wait for the one before", w.self)
	}
	var covered uint64
	select {
	case r := <-p.result:
		if r.err != nil {
			return r.err
		}
		covered = r.object
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "journal %s: checkpoint: wait for the store", w.self)
	}
	if covered < w.covered {
		return errors.Errorf("journal %s: a later checkpoint already covers object %d", w.self, w.covered)
	}
	w.generation++
	gen := w.generation
	parts, err := w.encodeCheckpoint(recs, gen, covered)
	if err != nil {
		return err
	}
	var keys []string
	for i, part := range parts {
		key := checkpointKey(w.self, gen, uint64(i+1))
		keys = append(keys, key)
		if _, err := w.c.Create(ctx, key, part.payload); err != nil {
			w.garbage = append(w.garbage, keys...)
			return errors.Wrapf(err, "journal %s: checkpoint %d: part %d", w.self, gen, i+1)
		}
	}
	control := &peerv1.JournalObject{Checkpoint: gen, CheckpointParts: uint64(len(parts))}
	if _, err := w.submitAndWait(ctx, entry{control: control}); err != nil {
		// The log object may still be committed, so the parts stay until a
		// later checkpoint replaces this one.
		w.parts = append(w.parts, keys...)
		return errors.Wrapf(err, "journal %s: checkpoint %d: record", w.self, gen)
	}
	garbage := w.garbage
	garbage = append(garbage, w.parts...)
	w.parts = keys
	for n := w.covered + 1; n <= covered; n++ {
		garbage = append(garbage, ObjectKey(w.self, n))
	}
	w.covered = covered
	w.garbage = w.deleteAll(ctx, garbage)
	w.o.Logger.Info("journal checkpoint", "journal", w.self, "generation", gen, "parts", len(parts),
		"records", len(recs), "covered", covered, "undeleted", len(w.garbage))
	return nil
}

func (w *Writer) encodeCheckpoint(recs []core.Record, gen, covered uint64) ([]packedObject, error) {
	part := uint64(0)
	newObject := func() *peerv1.JournalObject {
		part++
		return &peerv1.JournalObject{Incarnation: string(w.self), Object: covered, Checkpoint: gen, CheckpointParts: part}
	}
	if len(recs) > 0 {
		return pack(recs, MaxObjectBytes, newObject)
	}
	o := newObject()
	payload, err := Encode(o)
	return []packedObject{{o, payload}}, err
}

// deleteAll deletes objects up to the first failure and returns the keys of those
// that remain. Objects of unreleased hand-overs are not deleted.
func (w *Writer) deleteAll(ctx context.Context, keys []string) (remaining []string) {
	for i, k := range keys {
		if w.inHandover(k) {
			remaining = append(remaining, k)
			continue
		}
		if err := w.c.Delete(ctx, k); err != nil {
			w.o.Logger.Warn("journal object not deleted", "journal", w.self, "key", k, "error", err)
			return append(remaining, keys[i:]...)
		}
	}
	return remaining
}

// readCheckpoint adds the records of the checkpoint to which a log object refers.
// It returns the last object that the checkpoint covers.
func readCheckpoint(ctx context.Context, c objectapi.Client, inc core.Incarnation, o *peerv1.JournalObject, a *assembler) (uint64, error) {
	var covered uint64
	for part := uint64(1); part <= o.CheckpointParts; part++ {
		key := checkpointKey(inc, o.Checkpoint, part)
		got, err := c.Get(ctx, key)
		if err != nil {
			return 0, errors.Wrapf(err, "journal: recover %s: checkpoint %d part %d", inc, o.Checkpoint, part)
		}
		d, err := Decode(got.Value)
		if err != nil {
			return 0, errors.Wrapf(err, "journal: recover %s: checkpoint %d part %d", inc, o.Checkpoint, part)
		}
		if d.Checkpoint != o.Checkpoint || d.CheckpointParts != part || d.Incarnation != string(inc) ||
			part > 1 && d.Object != covered || d.Object >= o.Object {
			return 0, fmt.Errorf("journal: recover %s: %s is not part %d of checkpoint %d", inc, key, part, o.Checkpoint)
		}
		covered = d.Object
		if err := a.add(d.Records); err != nil {
			return 0, err
		}
	}
	return covered, nil
}

// Remove deletes the journal and the checkpoints of a lost incarnation, except
// for the seal, which still blocks its appends. Call it only when the caller's
// own journal contains the recovered records and the instance list no longer
// contains the incarnation: a retry of an append whose object was deleted would
// succeed.
func Remove(ctx context.Context, c objectapi.Client, lost core.Incarnation) error {
	for _, prefix := range []string{checkpointPrefix(lost), objectPrefix(lost)} {
		objs, err := c.List(ctx, prefix)
		if err != nil {
			return errors.Wrapf(err, "journal: remove %s: list", lost)
		}
		for _, o := range objs {
			if prefix == objectPrefix(lost) {
				d, err := Decode(o.Value)
				if err != nil {
					return errors.Wrapf(err, "journal: remove %s: %s", lost, o.Key)
				}
				if d.SealedBy != "" {
					continue
				}
			}
			if err := c.Delete(ctx, o.Key); err != nil {
				return errors.Wrapf(err, "journal: remove %s: %s", lost, o.Key)
			}
		}
	}
	return nil
}
