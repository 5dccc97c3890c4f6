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

// Bounds of the exponential backoff between append attempts while the store
// cannot be reached.
const (
	minRetry = 100 * time.Millisecond
	maxRetry = 2 * time.Second
)

// Writer appends the records of one incarnation to its journal by group commit.
// One append is in flight at a time; records that arrive meanwhile form the next
// batch. While the store cannot be reached, the members of the retention set
// hold the batches, and the writer appends them in order once it is reachable.
type Writer struct {
	c    objectapi.Client
	self core.Incarnation
	o    WriterOptions
	wake chan struct{}

	mu      sync.Mutex
	pending []entry
	bytes   int   // estimated size of the pending records in bytes
	runErr  error // result of Run; nil until Run returns

	handovers map[uint64]uint64 // last object of each unreleased hand-over to its first object; guarded by mu

	// checkpointing is a semaphore with one permit, held while a checkpoint is
	// written. It guards generation, covered, parts and garbage.
	checkpointing chan struct{}
	generation    uint64
	covered       uint64   // last object that the latest checkpoint covers
	parts         []string // keys of the latest checkpoint
	garbage       []string // keys whose deletion was postponed or failed

	// Only the goroutine of Run accesses the fields below.
	next      uint64   // number of the next object
	committed uint64   // highest object known to be in the store
	seq       core.Seq // highest sequence number passed to Committed
	retained  core.Seq // highest sequence number passed to Retained
	undurable core.Seq // highest sequence number passed to Undurable
	queue     []*batch // uncommitted batches in the order of the log
	waiters   []waiter
	retention []core.Incarnation // latest committed retention set
	loggedSet []string           // latest retention set written or queued, possibly not committed
	setChange uint64             // object with the latest change of the retention set
	members   map[core.Incarnation]*member
	degraded  bool // appends fail or exceed RetainAfter; batches go to the retention set
	lastStart time.Time
	latency   time.Duration // moving average of successful appends
	retryAt   time.Time
	retry     time.Duration
	inflight  *inflightAppend
	retaining bool
	appendc   chan appendResult
	retainc   chan retainRound
}

// entry is one element of the queue from the writer's callers to Run.
type entry struct {
	recs    []core.Record
	control *peerv1.JournalObject // written as a separate object, which includes recs
	barrier bool                  // completes when all earlier entries are committed
	result  chan waitResult       // receives the result of a control entry or barrier; may be nil
}

type waiter struct {
	object uint64
	result chan waitResult
}

// waitResult is the result of an entry: the last object for which the entry
// waited, or the error that prevented its commit.
type waitResult struct {
	object uint64
	err    error
}

type inflightAppend struct {
	b       *batch
	started time.Time
}

type appendResult struct {
	b   *batch
	err error // nil, *SealedError or a failure after which the append is retried
}

// NewWriter returns a writer of the journal of self, which must not have any
// objects yet. Run does the writing.
func NewWriter(c objectapi.Client, self core.Incarnation, o WriterOptions) *Writer {
	o.setDefaults()
	w := &Writer{
		c: c, self: self, o: o, wake: make(chan struct{}, 1), next: 1,
		members: map[core.Incarnation]*member{}, handovers: map[uint64]uint64{},
		checkpointing: make(chan struct{}, 1),
		appendc:       make(chan appendResult, 1), retainc: make(chan retainRound, 1),
	}
	if len(o.Retention) > 0 {
		w.submit(entry{control: &peerv1.JournalObject{Retention: setToNames(o.Retention)}})
	}
	return w
}

// Append queues records for the journal in order. It does not wait for the store.
func (w *Writer) Append(recs []core.Record) {
	if len(recs) > 0 {
		w.submit(entry{recs: recs})
	}
}

// Flush waits until every record appended so far is in the store.
func (w *Writer) Flush(ctx context.Context) error {
	_, err := w.submitAndWait(ctx, entry{barrier: true})
	return err
}

// SetRetention changes the retention set. It returns when the change is
// committed, or an error if an earlier change is uncommitted or appends fail.
func (w *Writer) SetRetention(ctx context.Context, members []core.Incarnation) error {
	_, err := w.submitAndWait(ctx, entry{control: &peerv1.JournalObject{Retention: setToNames(members)}})
	return err
}

func (w *Writer) submit(e entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runErr != nil {
		if e.result != nil {
			e.result <- waitResult{err: w.runErr}
		}
		return
	}
	w.pending = append(w.pending, e)
	for i := range e.recs {
		w.bytes += estimateSize(&e.recs[i])
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func estimateSize(r *core.Record) int {
	n := 128 + len(r.Request) + len(r.State)
	if r.Answer != nil {
		n += len(r.Answer.Body)
	}
	return n
}

func (w *Writer) submitAndWait(ctx context.Context, e entry) (uint64, error) {
	e.result = make(chan waitResult, 1)
	w.submit(e)
	select {
	case r := <-e.result:
		return r.object, r.err
	case <-ctx.Done():
		return 0, errors.Wrapf(ctx.Err(), "journal %s: wait for the store", w.self)
	}
}

// Run writes the journal until ctx ends or another incarnation seals the
// journal. It always returns an error; after a seal it is a SealedError.
func (w *Writer) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	err := w.loop(runCtx)
	w.mu.Lock()
	w.runErr = err
	pending := w.pending
	w.pending = nil
	w.mu.Unlock()
	for _, e := range pending {
		if e.result != nil {
			e.result <- waitResult{err: err}
		}
	}
	for _, wt := range w.waiters {
		wt.result <- waitResult{err: err}
	}
	return err
}

func (w *Writer) loop(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now := time.Now()
		w.checkSlowAppend(now)
		if err := w.formBatches(now); err != nil {
			return err
		}
		w.startAppend(ctx, now)
		w.startRetain(ctx, now)
		timer.Reset(w.nextTimeout(now))
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "journal %s: run", w.self)
		case <-w.wake:
		case <-timer.C:
		case r := <-w.appendc:
			if err := w.handleAppendResult(r); err != nil {
				return w.reportSeal(err)
			}
		case r := <-w.retainc:
			if err := w.handleRetainRound(r); err != nil {
				return w.reportSeal(err)
			}
		}
	}
}

func (w *Writer) reportSeal(err error) error {
	var s *SealedError
	if errors.As(err, &s) {
		w.o.Logger.Warn("journal sealed", "journal", w.self, "by", s.By, "object", s.Object)
		w.o.Sealed(s.By)
	}
	return err
}

// collectInterval returns the minimum time between the starts of two appends. It
// grows with the latency of the store, so that a loaded store receives fewer,
// larger objects.
//
// In an outage it grows with the number of queued batches, so that a long
// outage leaves hundreds of objects to append and not many thousands.
func (w *Writer) collectInterval() time.Duration {
	d := min(max(2*w.latency, w.o.MinCollect), w.o.MaxCollect)
	if w.degraded {
		d = w.o.MaxCollect * time.Duration(1+min(len(w.queue)/50, 9))
	}
	return d
}

// canFormBatch reports whether a new batch may be added to the queue. Records
// accumulate while a batch is being appended to the store or, in an outage,
// while a round of messages to the members is in flight.
func (w *Writer) canFormBatch() bool {
	return len(w.queue) == 0 || w.degraded && !w.retaining
}

// batchDue reports whether the pending records form a batch now: they fill an
// object, or the collect interval has passed. bytes is their estimated size.
func (w *Writer) batchDue(now time.Time, bytes int) bool {
	return w.canFormBatch() && (bytes >= maxRawBytes || !now.Before(w.lastStart.Add(w.collectInterval())))
}

// formBatches moves the pending entries into the queue as batches if they are due.
func (w *Writer) formBatches(now time.Time) error {
	w.mu.Lock()
	if len(w.pending) == 0 || !w.batchDue(now, w.bytes) {
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
		if e.control == nil && !e.barrier {
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
			if err := w.checkControl(e); err != nil {
				e.result <- waitResult{err: err}
				continue
			}
			first := w.next
			if err := w.enqueue(e.recs, e.control); err != nil {
				return err
			}
			if e.control.HandedTo != "" {
				w.mu.Lock()
				w.handovers[w.next-1] = first
				w.mu.Unlock()
			}
		}
		if e.result != nil {
			w.waiters = append(w.waiters, waiter{w.next - 1, e.result})
		}
	}
	if err := flush(); err != nil {
		return err
	}
	w.notifyWaiters()
	return nil
}

// checkControl returns an error for a change of the retention set or a
// checkpoint while an earlier change is not known to be committed, and for a
// change in an outage. A successor reads at most two sets from the log (see
// SealedLog.Members); batches acknowledged under a third one would be lost.
func (w *Writer) checkControl(e entry) error {
	changePending := w.setChange > w.committed
	switch {
	case e.result == nil: // the initial retention set of NewWriter
		return nil
	case e.control.Retention != nil && (changePending || w.degraded):
		return errors.Errorf("journal %s: the retention set cannot change now: object %d is not committed", w.self, w.committed+1)
	case e.control.Checkpoint > 0 && changePending:
		return errors.Errorf("journal %s: no checkpoint while the retention set changes in object %d", w.self, w.setChange)
	}
	return nil
}

// enqueue encodes records into one or more batches and queues them. All other
// fields of the objects are copied from base.
func (w *Writer) enqueue(recs []core.Record, base *peerv1.JournalObject) error {
	switch {
	case base.Retention != nil:
		w.loggedSet, w.setChange = base.Retention, w.next
	case base.Checkpoint > 0:
		// The checkpoint may cover the object that contains the retention set,
		// and that object is then deleted.
		base.Retention = w.loggedSet
	}
	newObject := func() *peerv1.JournalObject {
		o := &peerv1.JournalObject{
			Incarnation: string(w.self), Object: w.next, Retention: base.Retention,
			Checkpoint: base.Checkpoint, CheckpointParts: base.CheckpointParts,
			HandedOver: base.HandedOver, HandedTo: base.HandedTo,
		}
		w.next++
		return o
	}
	var objs []packedObject
	var err error
	if len(recs) > 0 {
		objs, err = pack(recs, MaxObjectBytes, newObject)
	} else {
		o := newObject()
		var payload []byte
		payload, err = Encode(o)
		objs = []packedObject{{o, payload}}
	}
	if err != nil {
		return err
	}
	for _, p := range objs {
		w.queue = append(w.queue, &batch{
			object: p.object.Object, payload: p.payload, seq: completeSeq(p.object), retention: p.object.Retention,
		})
	}
	return nil
}

// nextTimeout returns the time after which Run must act even if no event
// arrives: for a retry, a slow append, a batch or a message to a member.
func (w *Writer) nextTimeout(now time.Time) time.Duration {
	d := time.Hour
	wakeBy := func(t time.Time) {
		if u := t.Sub(now); u < d {
			d = max(u, 0)
		}
	}
	if w.inflight == nil && len(w.queue) > 0 {
		wakeBy(w.retryAt)
	}
	if w.inflight != nil && !w.degraded {
		wakeBy(w.inflight.started.Add(w.o.RetainAfter))
	}
	w.mu.Lock()
	waiting := len(w.pending) > 0
	w.mu.Unlock()
	if waiting && w.canFormBatch() {
		wakeBy(w.lastStart.Add(w.collectInterval()))
	}
	if t, ok := w.nextRetainTime(); ok {
		wakeBy(t)
	}
	return d
}
