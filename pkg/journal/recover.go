package journal

import (
	"context"
	"fmt"
	"slices"
	"sort"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

// GapError reports that an object is missing from the retained batches. Recover
// returns it together with the records that it found. Members accept batches only
// in order, so a gap means that more members were lost than the retention set
// tolerates.
type GapError struct {
	Journal core.Incarnation
	Missing uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("journal: retained batches of %s lack object %d", e.Journal, e.Missing)
}

// storedLog is the part of a journal that is in the store.
type storedLog struct {
	objects    []*peerv1.JournalObject // in order, without the seal
	seal       *peerv1.JournalObject   // nil if the log is not sealed
	checkpoint int                     // index in objects of the last one that refers to a checkpoint, or -1
}

func readLog(ctx context.Context, c objectapi.Client, inc core.Incarnation) (*storedLog, error) {
	objs, err := c.List(ctx, objectPrefix(inc))
	if err != nil {
		return nil, errors.Wrapf(err, "journal: read %s: list", inc)
	}
	l := &storedLog{checkpoint: -1}
	for _, o := range objs {
		n, err := objectNumber(o.Key)
		if err != nil {
			return nil, err
		}
		d, err := Decode(o.Value)
		if err != nil {
			return nil, errors.Wrapf(err, "journal: read %s: object %d", inc, n)
		}
		if d.Object != n || d.Incarnation != string(inc) {
			return nil, fmt.Errorf("journal: object %s says it is object %d of %s", o.Key, d.Object, d.Incarnation)
		}
		if d.SealedBy != "" {
			l.seal = d
			break
		}
		if d.Checkpoint > 0 {
			l.checkpoint = len(l.objects)
		}
		l.objects = append(l.objects, d)
	}
	return l, nil
}

// SealedLog is the content of a journal that was read after its seal.
type SealedLog struct {
	lost core.Incarnation
	c    objectapi.Client
	l    *storedLog
}

// OpenSealed reads a sealed log from the store. A log without a seal is an error.
func OpenSealed(ctx context.Context, c objectapi.Client, lost core.Incarnation) (*SealedLog, error) {
	l, err := readLog(ctx, c, lost)
	if err != nil {
		return nil, err
	}
	if l.seal == nil {
		return nil, fmt.Errorf("journal: read %s: the log is not sealed", lost)
	}
	return &SealedLog{lost, c, l}, nil
}

// SealedBy returns the incarnation that sealed the log.
func (s *SealedLog) SealedBy() core.Incarnation { return core.Incarnation(s.l.seal.SealedBy) }

// Recover opens a sealed log and returns its records. See SealedLog.Recover.
func Recover(ctx context.Context, c objectapi.Client, lost core.Incarnation, retained []*peerv1.Retain) ([]core.Record, error) {
	s, err := OpenSealed(ctx, c, lost)
	if err != nil {
		return nil, err
	}
	return s.Recover(ctx, retained)
}

// Members opens a sealed log and returns the members of its retention set. See
// SealedLog.Members.
func Members(ctx context.Context, c objectapi.Client, lost core.Incarnation) ([]core.Incarnation, error) {
	s, err := OpenSealed(ctx, c, lost)
	if err != nil {
		return nil, err
	}
	return s.Members(), nil
}

// Recover returns each record of the journal once: those of the last
// checkpoint, of the objects that it does not cover, and of the retained batches
// after the end of the log.
func (s *SealedLog) Recover(ctx context.Context, retained []*peerv1.Retain) ([]core.Record, error) {
	var a assembler
	var covered uint64
	var err error
	if s.l.checkpoint >= 0 {
		if covered, err = readCheckpoint(ctx, s.c, s.lost, s.l.objects[s.l.checkpoint], &a); err != nil {
			return nil, err
		}
	}
	expected := covered + 1
	for _, o := range s.l.objects {
		if o.Object <= covered {
			continue
		}
		if o.Object != expected {
			return nil, fmt.Errorf("journal: recover %s: object %d is missing", s.lost, expected)
		}
		if err := a.add(o.Records); err != nil {
			return nil, err
		}
		expected++
	}
	if s.l.seal.Object != expected {
		return nil, fmt.Errorf("journal: recover %s: object %d is missing before the seal at %d", s.lost, expected, s.l.seal.Object)
	}
	err = addRetained(s.lost, expected, retained, &a)
	return a.out, err
}

// Members returns the incarnations that may hold retained batches of the log. A
// successor fences all of them before Recover. After a change of the set,
// members of the previous set may hold acknowledged batches that the new members
// do not have yet, so the members of both are returned until the next checkpoint.
func (s *SealedLog) Members() []core.Incarnation {
	var previous, current []string
	for _, o := range s.l.objects {
		if o.Retention != nil && !slices.Equal(o.Retention, current) {
			previous, current = current, o.Retention
		}
		if o.Checkpoint > 0 {
			previous = nil
		}
	}
	members := setFromNames(current)
	for _, m := range setFromNames(previous) {
		if !slices.Contains(members, m) {
			members = append(members, m)
		}
	}
	return members
}

// addRetained adds the records of the retained batches from object next on. After
// a gap it adds the remaining batches and returns a GapError.
func addRetained(lost core.Incarnation, next uint64, retained []*peerv1.Retain, a *assembler) error {
	sorted := append([]*peerv1.Retain(nil), retained...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Object < sorted[j].Object })
	var gap error
	for _, m := range sorted {
		if m.Object < next || m.Incarnation != string(lost) {
			continue
		}
		if m.Object > next && gap == nil {
			gap = &GapError{Journal: lost, Missing: next}
		}
		o, err := Decode(m.Payload)
		if err != nil {
			return errors.Wrapf(err, "journal: retained object %d of %s", m.Object, lost)
		}
		if o.Object != m.Object || o.Incarnation != string(lost) {
			return fmt.Errorf("journal: retained object %d of %s says it is object %d of %s",
				m.Object, lost, o.Object, o.Incarnation)
		}
		firstRetained := len(a.out)
		if err := a.add(o.Records); err != nil {
			return err
		}
		for i := range a.out[firstRetained:] {
			a.out[firstRetained+i].Retained = true
		}
		next = m.Object + 1
	}
	return gap
}
