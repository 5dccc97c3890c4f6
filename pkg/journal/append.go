package journal

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

// startAppend starts the append of the oldest batch unless one is in flight or
// the backoff has not ended.
func (w *Writer) startAppend(ctx context.Context, now time.Time) {
	if w.inflight != nil || len(w.queue) == 0 || now.Before(w.retryAt) {
		return
	}
	b := w.queue[0]
	w.inflight = &inflightAppend{b: b, started: now}
	w.lastStart = now
	go func() {
		ctx, cancel := context.WithTimeout(ctx, w.o.AppendTimeout)
		defer cancel()
		// Only one append is in flight, so the channel's buffer of one is
		// empty and the send does not block.
		w.appendc <- appendResult{b, appendObject(ctx, w.c, w.self, b.object, b.payload)}
	}()
}

// handleAppendResult commits the appended batch or schedules a retry. It returns
// an error only if the journal is sealed.
func (w *Writer) handleAppendResult(r appendResult) error {
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

// commitTo marks every object up to n as committed and reports the highest
// sequence number among them.
func (w *Writer) commitTo(n uint64) {
	if n <= w.committed {
		return
	}
	w.committed = n
	seq := w.seq
	for len(w.queue) > 0 && w.queue[0].object <= n {
		b := w.queue[0]
		seq = max(seq, b.seq)
		if b.retention != nil {
			w.retention = setFromNames(b.retention)
		}
		w.queue[0] = nil
		w.queue = w.queue[1:]
	}
	if seq > w.seq {
		w.seq = seq
		w.o.Committed(seq)
	}
	w.notifyWaiters()
}

// notifyWaiters completes the waiters whose objects are committed.
func (w *Writer) notifyWaiters() {
	remaining := w.waiters[:0]
	for _, wt := range w.waiters {
		if wt.object <= w.committed {
			wt.result <- waitResult{object: wt.object}
			continue
		}
		remaining = append(remaining, wt)
	}
	w.waiters = remaining
}

// appendObject creates a journal object. If the object exists with the same
// payload, the append succeeded before: its response was lost, or a member of
// the retention set relayed it. Any other content gives a SealedError.
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
