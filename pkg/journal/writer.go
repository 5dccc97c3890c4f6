package journal

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

// Pauses between attempts while the store cannot be reached.
const (
	minRetry = 100 * time.Millisecond
	maxRetry = 2 * time.Second
)

// Writer appends the records of one incarnation to its log. One append is in
// flight at a time; records that arrive meanwhile form the next batch. While
// the store cannot be reached, batches are kept by the retention set and
// appended later in order.
type Writer struct {
	c    objectapi.Client
	self core.Incarnation
	o    WriterOptions
	wake chan struct{}

	mu      sync.Mutex
	pending []entry
	bytes   int   // estimated size of the pending records
	stopped error // set when Run has ended

	held map[uint64]uint64 // last object of a hand-over to its first; guarded by mu

	// checkpointing holds a value while a checkpoint is written. It guards the
	// fields up to the next empty line.
	checkpointing chan struct{}
	generation    uint64
	covered       uint64   // last object that the last checkpoint covers
	parts         []string // keys of the last checkpoint
	garbage       []string // keys that are still to be deleted

	// The fields below belong to Run.
	next      uint64   // number of the next object
	committed uint64   // highest object known to be in the store
	seq       core.Seq // reported as committed
	retained  core.Seq // reported as retained
	undurable core.Seq // reported as undurable
	queue     []*batch // batches that are not committed, in order
	waiters   []waiter
	set       []core.Incarnation // retention set in force
	named     []string           // retention set that the log names last
	change    uint64             // object of the last change of the set
	members   map[core.Incarnation]*member
	degraded  bool // appends fail or are slow
	lastStart time.Time
	latency   time.Duration // moving average of successful appends
	retryAt   time.Time
	retry     time.Duration
	inflight  *flight
	retaining bool
	appendc   chan appendResult
	retainc   chan retainRound
}

// entry is one element of the input of Run.
type entry struct {
	recs    []core.Record
	control *peerv1.JournalObject // object of its own; recs, if any, are part of it
	mark    bool                  // waits for everything before it
	done    chan waitResult       // for control and mark
}

type waiter struct {
	object uint64
	done   chan waitResult
}

// waitResult carries the object up to which the log was committed.
type waitResult struct {
	object uint64
	err    error
}

type flight struct {
	b       *batch
	started time.Time
}

type appendResult struct {
	b   *batch
	err error // nil, *SealedError or a failure after which the append is repeated
}

// NewWriter returns a writer of the log of self. The log must be new.
func NewWriter(c objectapi.Client, self core.Incarnation, o WriterOptions) *Writer {
	o.setDefaults()
	w := &Writer{
		c: c, self: self, o: o, wake: make(chan struct{}, 1), next: 1,
		members: map[core.Incarnation]*member{}, held: map[uint64]uint64{},
		checkpointing: make(chan struct{}, 1),
		appendc:       make(chan appendResult, 1), retainc: make(chan retainRound, 1),
	}
	if len(o.Retention) > 0 {
		w.put(entry{control: &peerv1.JournalObject{Retention: setNames(o.Retention)}})
	}
	return w
}

// Append adds records to the log in order. It returns at once.
func (w *Writer) Append(recs []core.Record) {
	if len(recs) > 0 {
		w.put(entry{recs: recs})
	}
}

// Flush waits until every record appended so far is in the store.
func (w *Writer) Flush(ctx context.Context) error {
	_, err := w.wait(ctx, entry{mark: true})
	return err
}

// SetRetention names a new retention set. It returns when the set is in force.
func (w *Writer) SetRetention(ctx context.Context, members []core.Incarnation) error {
	_, err := w.wait(ctx, entry{control: &peerv1.JournalObject{Retention: setNames(members)}})
	return err
}

func (w *Writer) put(e entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped != nil {
		if e.done != nil {
			e.done <- waitResult{err: w.stopped}
		}
		return
	}
	w.pending = append(w.pending, e)
	for i := range e.recs {
		w.bytes += estimate(&e.recs[i])
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func estimate(r *core.Record) int {
	n := 128 + len(r.Request) + len(r.State)
	if r.Answer != nil {
		n += len(r.Answer.Body)
	}
	return n
}

func (w *Writer) wait(ctx context.Context, e entry) (uint64, error) {
	e.done = make(chan waitResult, 1)
	w.put(e)
	select {
	case r := <-e.done:
		return r.object, r.err
	case <-ctx.Done():
		return 0, errors.Wrapf(ctx.Err(), "journal %s: wait for the store", w.self)
	}
}

// Run writes the log until ctx is done or the journal is sealed.
func (w *Writer) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	err := w.loop(runCtx)
	w.mu.Lock()
	w.stopped = err
	pending := w.pending
	w.pending = nil
	w.mu.Unlock()
	for _, e := range pending {
		if e.done != nil {
			e.done <- waitResult{err: err}
		}
	}
	for _, wt := range w.waiters {
		wt.done <- waitResult{err: err}
	}
	return err
}

func (w *Writer) loop(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now := time.Now()
		w.checkSlow(now)
		if err := w.form(now); err != nil {
			return err
		}
		w.startAppend(ctx, now)
		w.startRetain(ctx, now)
		timer.Reset(w.untilNext(now))
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "journal %s: run", w.self)
		case <-w.wake:
		case <-timer.C:
		case r := <-w.appendc:
			if err := w.appended(r); err != nil {
				return w.sealed(err)
			}
		case r := <-w.retainc:
			if err := w.retainedRound(r); err != nil {
				return w.sealed(err)
			}
		}
	}
}

func (w *Writer) sealed(err error) error {
	var s *SealedError
	if errors.As(err, &s) {
		w.o.Logger.Warn("journal sealed", "journal", w.self, "by", s.By, "object", s.Object)
		w.o.Sealed(s.By)
	}
	return err
}

// collect returns the time between the starts of two appends. It follows the
// latency of the store, so that a loaded store receives fewer, larger objects.
//
// In an outage it grows with the number of batches that wait, so that a long
// outage leaves hundreds of objects to append and not many thousands.
func (w *Writer) collect() time.Duration {
	d := min(max(2*w.latency, w.o.MinCollect), w.o.MaxCollect)
	if w.degraded {
		d = w.o.MaxCollect * time.Duration(1+min(len(w.queue)/50, 9))
	}
	return d
}

// mayForm reports whether a new batch may follow those in the queue. In normal
// operation records collect while a batch is on its way to the store, in an
// outage while one is on its way to the members.
func (w *Writer) mayForm() bool {
	return len(w.queue) == 0 || w.degraded && !w.retaining
}

// due reports whether the pending records may form a batch now.
func (w *Writer) due(now time.Time, bytes int) bool {
	return w.mayForm() && (bytes >= maxRawBytes || !now.Before(w.lastStart.Add(w.collect())))
}

// form turns pending entries into batches.
func (w *Writer) form(now time.Time) error {
	w.mu.Lock()
	if len(w.pending) == 0 || !w.due(now, w.bytes) {
		w.mu.Unlock()
		return nil
	}
	pending := w.pending
	w.pending, w.bytes = nil, 0
	w.mu.Unlock()

	w.lastStart = now
	var recs []core.Record
	flush := func() error {
		if len(recs) == 0 {
			return nil
		}
		err := w.enqueue(recs, &peerv1.JournalObject{})
		recs = nil
		return err
	}
	for i, e := range pending {
		if e.control == nil && !e.mark {
			if recs == nil && i+1 < len(pending) {
				recs = make([]core.Record, 0, len(pending))
			}
			recs = append(recs, e.recs...)
			continue
		}
		if err := flush(); err != nil {
			return err
		}
		if e.control != nil {
			if err := w.admitControl(e); err != nil {
				e.done <- waitResult{err: err}
				continue
			}
			first := w.next
			if err := w.enqueue(e.recs, e.control); err != nil {
				return err
			}
			if e.control.HandedTo != "" {
				w.mu.Lock()
				w.held[w.next-1] = first
				w.mu.Unlock()
			}
		}
		if e.done != nil {
			w.waiters = append(w.waiters, waiter{w.next - 1, e.done})
		}
	}
	if err := flush(); err != nil {
		return err
	}
	w.notify()
	return nil
}

// admitControl refuses a change of the retention set or a checkpoint while an
// earlier change is not known to be committed, and a change in an outage. A
// successor reads at most two sets from the log, see Members: batches that were
// acknowledged under a third one would be lost.
func (w *Writer) admitControl(e entry) error {
	open := w.change > w.committed
	switch {
	case e.done == nil: // the first set
		return nil
	case e.control.Retention != nil && (open || w.degraded):
		return errors.Errorf("journal %s: the retention set cannot change now: object %d is not committed", w.self, w.committed+1)
	case e.control.Checkpoint > 0 && open:
		return errors.Errorf("journal %s: no checkpoint while the retention set changes in object %d", w.self, w.change)
	}
	return nil
}

// enqueue encodes records into batches whose other fields are those of base.
func (w *Writer) enqueue(recs []core.Record, base *peerv1.JournalObject) error {
	switch {
	case base.Retention != nil:
		w.named, w.change = base.Retention, w.next
	case base.Checkpoint > 0:
		// The object that named the set may be covered and deleted.
		base.Retention = w.named
	}
	build := func() *peerv1.JournalObject {
		o := &peerv1.JournalObject{
			Incarnation: string(w.self), Object: w.next, Retention: base.Retention,
			Checkpoint: base.Checkpoint, CheckpointParts: base.CheckpointParts,
			HandedOver: base.HandedOver, HandedTo: base.HandedTo,
		}
		w.next++
		return o
	}
	var objs []packed
	var err error
	if len(recs) > 0 {
		objs, err = pack(recs, MaxObjectBytes, build)
	} else {
		o := build()
		var payload []byte
		payload, err = Encode(o)
		objs = []packed{{o, payload}}
	}
	if err != nil {
		return err
	}
	for _, p := range objs {
		w.queue = append(w.queue, &batch{
			object: p.object.Object, payload: p.payload, seq: completeSeq(p.object), set: p.object.Retention,
		})
	}
	return nil
}

// untilNext returns the time after which Run has work without a new event.
func (w *Writer) untilNext(now time.Time) time.Duration {
	d := time.Hour
	at := func(t time.Time) {
		if u := t.Sub(now); u < d {
			d = max(u, 0)
		}
	}
	if w.inflight == nil && len(w.queue) > 0 {
		at(w.retryAt)
	}
	if w.inflight != nil && !w.degraded {
		at(w.inflight.started.Add(w.o.RetainAfter))
	}
	w.mu.Lock()
	waiting := len(w.pending) > 0
	w.mu.Unlock()
	if waiting && w.mayForm() {
		at(w.lastStart.Add(w.collect()))
	}
	if t, ok := w.nextRetain(); ok {
		at(t)
	}
	return d
}
