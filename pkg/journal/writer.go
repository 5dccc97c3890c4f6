package journal

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

// Retainer is the connection to one member of the retention set.
type Retainer interface {
	Retain(ctx context.Context, m *peerv1.Retain) (*peerv1.RetainResult, error)
}

// WriterOptions configures a Writer. The callbacks are called from Run, in
// order and without a lock; nil callbacks are left out. Zero durations take the
// defaults in parentheses.
type WriterOptions struct {
	// Committed tells that every record up to seq is in the store.
	Committed func(seq core.Seq)
	// Retained tells that every record up to seq is in the store or held by
	// every reachable member of the retention set, and by at least one.
	Retained func(seq core.Seq)
	// Undurable tells that neither the store nor a member can be reached for
	// the records up to seq.
	Undurable func(seq core.Seq)
	// Sealed tells that another incarnation has sealed the journal. Run
	// returns a SealedError afterwards.
	Sealed func(by core.Incarnation)

	// Retention is the first retention set: incarnations of other entries.
	Retention []core.Incarnation
	// Retainer returns the connection to a member, or nil if that
	// incarnation cannot be reached.
	Retainer func(member core.Incarnation) Retainer

	AppendTimeout time.Duration // of one attempt to append (5 s)
	RetainAfter   time.Duration // age of an append at which its batch is retained (300 ms)
	RetainTimeout time.Duration // of one message to a member (1 s)
	MinCollect    time.Duration // shortest time between the starts of two appends (5 ms)
	MaxCollect    time.Duration // longest such time (50 ms)
	Logger        *slog.Logger
}

func (o *WriterOptions) setDefaults() {
	def := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	def(&o.AppendTimeout, 5*time.Second)
	def(&o.RetainAfter, 300*time.Millisecond)
	def(&o.RetainTimeout, time.Second)
	def(&o.MinCollect, 5*time.Millisecond)
	def(&o.MaxCollect, 50*time.Millisecond)
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	seq := func(f *func(core.Seq)) {
		if *f == nil {
			*f = func(core.Seq) {}
		}
	}
	seq(&o.Committed)
	seq(&o.Retained)
	seq(&o.Undurable)
	if o.Sealed == nil {
		o.Sealed = func(core.Incarnation) {}
	}
	if o.Retainer == nil {
		o.Retainer = func(core.Incarnation) Retainer { return nil }
	}
}

// SealedError tells that a journal was ended by another incarnation.
type SealedError struct {
	Journal core.Incarnation
	By      core.Incarnation
	Object  uint64
}

// Error implements error.
func (e *SealedError) Error() string {
	return fmt.Sprintf("journal: journal of %s was sealed by %s at object %d", e.Journal, e.By, e.Object)
}

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

	// checkpointing guards the fields up to the next empty line.
	checkpointing sync.Mutex
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
		appendc: make(chan appendResult, 1), retainc: make(chan retainRound, 1),
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

// due reports whether the pending records may form a batch now.
func (w *Writer) due(now time.Time, bytes int) bool {
	if len(w.queue) > 0 && !w.degraded {
		return false
	}
	if w.degraded && w.retaining {
		return false // the round in progress would not hold it
	}
	return bytes >= maxRawBytes || !now.Before(w.lastStart.Add(w.collect()))
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

// enqueue encodes records into batches whose other fields are those of base.
func (w *Writer) enqueue(recs []core.Record, base *peerv1.JournalObject) error {
	switch {
	case base.Retention != nil:
		w.named = base.Retention
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

// startAppend sends the oldest batch to the store if none is on its way.
func (w *Writer) startAppend(ctx context.Context, now time.Time) {
	if w.inflight != nil || len(w.queue) == 0 || now.Before(w.retryAt) {
		return
	}
	b := w.queue[0]
	w.inflight = &flight{b: b, started: now}
	w.lastStart = now
	go func() {
		ctx, cancel := context.WithTimeout(ctx, w.o.AppendTimeout)
		defer cancel()
		// With one append in flight the buffer of one is empty.
		w.appendc <- appendResult{b, appendObject(ctx, w.c, w.self, b.object, b.payload)}
	}()
}

// appended takes the result of an append.
func (w *Writer) appended(r appendResult) error {
	now := time.Now()
	age := now.Sub(w.inflight.started)
	w.inflight = nil
	var s *SealedError
	switch {
	case r.err == nil:
		w.latency = (3*w.latency + age) / 4
		w.retry, w.retryAt = 0, time.Time{}
		w.commitTo(r.b.object)
		if w.degraded && age < w.o.RetainAfter && len(w.queue) == 0 {
			w.degraded = false
			w.o.Logger.Info("journal appends again", "journal", w.self, "object", r.b.object)
		}
	case errors.As(r.err, &s):
		return s
	default:
		if !w.degraded {
			w.o.Logger.Warn("journal append failed", "journal", w.self, "object", r.b.object, "error", r.err)
		}
		w.degraded = true
		w.retry = min(max(2*w.retry, minRetry), maxRetry)
		w.retryAt = now.Add(w.retry)
	}
	return nil
}

// commitTo records that every object up to n is in the store.
func (w *Writer) commitTo(n uint64) {
	if n <= w.committed {
		return
	}
	w.committed = n
	seq := w.seq
	for len(w.queue) > 0 && w.queue[0].object <= n {
		b := w.queue[0]
		seq = max(seq, b.seq)
		if b.set != nil {
			w.set = setOf(b.set)
		}
		w.queue[0] = nil
		w.queue = w.queue[1:]
	}
	if seq > w.seq {
		w.seq = seq
		w.o.Committed(seq)
	}
	w.notify()
}

// notify answers the waiters whose objects are committed.
func (w *Writer) notify() {
	rest := w.waiters[:0]
	for _, wt := range w.waiters {
		if wt.object <= w.committed {
			wt.done <- waitResult{object: wt.object}
			continue
		}
		rest = append(rest, wt)
	}
	w.waiters = rest
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
	if waiting && (len(w.queue) == 0 || w.degraded && !w.retaining) {
		at(w.lastStart.Add(w.collect()))
	}
	if t, ok := w.nextRetain(); ok {
		at(t)
	}
	return d
}

// appendObject creates a journal object. A conflict with the same content is
// the own write, whose answer was lost or which a member relayed.
func appendObject(ctx context.Context, c objectapi.Client, self core.Incarnation, object uint64, payload []byte) error {
	key := ObjectKey(self, object)
	_, err := c.Create(ctx, key, payload)
	if err == nil || !errors.Is(err, objectapi.ErrExists) {
		return errors.Wrapf(err, "journal %s: append object %d", self, object)
	}
	o, err := c.Get(ctx, key)
	if err != nil {
		return errors.Wrapf(err, "journal %s: read back object %d", self, object)
	}
	if string(o.Value) == string(payload) {
		return nil
	}
	s := &SealedError{Journal: self, Object: object, By: "unknown"}
	if d, derr := Decode(o.Value); derr == nil && d.SealedBy != "" {
		s.By = core.Incarnation(d.SealedBy)
	}
	return s
}
