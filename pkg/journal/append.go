package journal

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

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
