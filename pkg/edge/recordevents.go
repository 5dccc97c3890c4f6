package edge

import (
	"bytes"
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
	"github.com/yuccaspindle/yuccaspindle/pkg/membudget"
)

const (
	// unrecordedDelivery is how long after it was received an event is delivered although
	// no quorum has recorded it. A round trip between regions and a sync take less.
	unrecordedDelivery = 150 * time.Millisecond
	// maxUndelivered limits the events, in bytes, that wait for their delivery. A further one
	// is read from the upstream once there is room.
	maxUndelivered = maxEvent
)

// eventRecorder records the events of a stream in the ledger before they are delivered, so that
// the turn can be taken up at another edge and be stored whole there. The events that arrive
// during a write share the next one. They are delivered in their order, each as soon as it is
// recorded, but never later than unrecordedDelivery after its arrival: a stream whose events
// can't be recorded goes on and can't be taken up.
//
// Events are added by the goroutine of the request and delivered by another one, which runs
// while there are any. The request must not use the caller's connection before drain returns.
type eventRecorder struct {
	c       *call
	deliver func(event) error
	hold    *membudget.Reservation // used by the goroutine of the request only

	mu          sync.Mutex
	changed     *sync.Cond     // any of the fields below
	undelivered []pendingEvent // in order
	size        int            // of undelivered, in bytes
	delivering  bool           // a goroutine delivers events
	deliverErr  error          // ends the delivery

	usage      *peerv1.Usage         // record of the attempt without events; nil: none was added
	unrecorded []*peerv1.StreamEvent // that wait for the next write
	added      int                   // events that are to be recorded, in total
	recorded   int                   // of these, by a quorum
	writing    bool                  // a goroutine writes events
	ended      bool                  // no further event is recorded
}

// pendingEvent is an event that was received and not delivered yet.
type pendingEvent struct {
	event
	received time.Time
	after    int // number of events that must be recorded before
}

// recordsEvents reports whether the turn of this request may be taken up at another edge, which
// then must have its events.
func (c *call) recordsEvents() bool {
	return c.route.Resumable && c.route.KeepsHistory && c.req.ID != "" && len(c.e.view.Storage()) > 0
}

// newEventRecorder returns a recorder that passes events on to deliver.
func newEventRecorder(c *call, deliver func(event) error) *eventRecorder {
	r := &eventRecorder{c: c, deliver: deliver, hold: c.e.transit.Reservation("turn "+c.req.ID, membudget.CallerShare)}
	r.changed = sync.NewCond(&r.mu)
	context.AfterFunc(c.r.Context(), r.wake)
	return r
}

// wake makes all goroutines that wait check again.
func (r *eventRecorder) wake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changed.Broadcast()
}

// add records an event and delivers it afterwards. It returns the error that ended the delivery
// of an earlier event.
func (r *eventRecorder) add(ev event) error {
	ev.raw = bytes.Clone(ev.raw) // valid until the next event is read
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.size > 0 && r.size+len(ev.raw) > maxUndelivered && r.deliverErr == nil {
		r.changed.Wait()
	}
	if r.deliverErr != nil {
		return r.deliverErr
	}
	if err := r.hold.GrowTo(r.size + len(ev.raw)); err != nil {
		return err
	}
	r.record(ev)
	r.undelivered = append(r.undelivered, pendingEvent{event: ev, received: time.Now(), after: r.added})
	r.size += len(ev.raw)
	if !r.delivering {
		r.delivering = true
		go r.deliverAll()
	}
	return nil
}

// record queues an event for the next write. An event with data and without a number ends the
// recording: no caller can go on after it. r.mu must be held.
func (r *eventRecorder) record(ev event) {
	number, err := strconv.ParseUint(ev.id, 10, 64)
	if err != nil {
		r.ended = r.ended || ev.hasData
		return
	}
	if r.ended {
		return
	}
	if r.usage == nil {
		r.usage = r.c.eventUsage(number)
	}
	e := &peerv1.StreamEvent{Number: number}
	if ev.hasData {
		e.Data = append([]byte{}, ev.data...) // present also if it is empty
	}
	r.unrecorded = append(r.unrecorded, e)
	r.added++
	if !r.writing {
		r.writing = true
		go r.writeAll()
	}
}

// eventUsage returns the usage record of a turn that was passed on, for the events from the
// given number on.
func (c *call) eventUsage(first uint64) *peerv1.Usage {
	u := c.usage(0, true)
	if c.hasBudget() {
		u = c.usage(c.req.MaxTokens, false)
	}
	stream := c.resumedKey()
	if stream == 0 {
		stream = ledger.AttemptKey(c.req.ID)
	}
	u.Part = &peerv1.StreamPart{Stream: stream, Workspace: c.workspaceName(), First: first}
	return u
}

// writeAll records the queued events, one write at a time, until there are none or the time of
// the request is over. The caller may leave meanwhile and take the stream up elsewhere.
func (r *eventRecorder) writeAll() {
	ctx, cancel := context.WithDeadline(context.Background(), r.c.deadline)
	defer cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.unrecorded) > 0 && !r.ended {
		batch := r.unrecorded
		r.unrecorded = nil
		r.mu.Unlock()
		err := r.write(ctx, batch)
		r.mu.Lock()
		if err == nil {
			r.recorded += len(batch)
		}
		r.ended = r.ended || err != nil
		r.changed.Broadcast()
	}
	r.writing = false
}

// write records events at a quorum.
func (r *eventRecorder) write(ctx context.Context, batch []*peerv1.StreamEvent) error {
	c, began := r.c, time.Now()
	u := ledger.WithEvents(r.usage, batch)
	answered := c.e.load.wait(stepEvents)
	err := c.e.ledger.Write(ctx, u.GetProgram(), []*peerv1.LedgerRecord{usageRecord(u)})
	answered()
	c.e.metrics.ledger(stepEvents, err, time.Since(began))
	if err != nil {
		c.e.logger.Warn("events of a stream not recorded, it can't be taken up", "id", c.req.ID, "from_event", batch[0].GetNumber(), "err", err)
	}
	return err
}

// deliverAll delivers events until there are none.
func (r *eventRecorder) deliverAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.undelivered) > 0 && r.deliverErr == nil {
		next := r.undelivered[0]
		if err := r.awaitRecorded(next); err != nil {
			r.deliverErr = err
			break
		}
		r.undelivered = r.undelivered[1:]
		r.mu.Unlock()
		err := r.deliver(next.event)
		r.mu.Lock()
		r.size -= len(next.raw)
		r.deliverErr = err
		r.changed.Broadcast()
	}
	r.delivering = false
	r.changed.Broadcast()
}

// awaitRecorded waits until an event may be delivered. r.mu must be held.
func (r *eventRecorder) awaitRecorded(ev pendingEvent) error {
	left := unrecordedDelivery - time.Since(ev.received)
	if r.recorded >= ev.after || r.ended || left <= 0 {
		return nil
	}
	defer time.AfterFunc(left, r.wake).Stop()
	for r.recorded < ev.after && !r.ended && time.Since(ev.received) < unrecordedDelivery {
		if r.c.callerGone() {
			return errCallerLeft
		}
		r.changed.Wait()
	}
	return nil
}

// drain waits until all events are delivered and returns the error that ended their delivery.
func (r *eventRecorder) drain() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.delivering {
		r.changed.Wait()
	}
	r.hold.Release()
	return r.deliverErr
}

// takeOverEvents puts the events that the caller of a taken-up turn has at the begin of its
// output. It returns why the request must be refused; empty: the output is whole so far. The
// tokens of these events are those of the attempts that brought them.
func (t *turn) takeOverEvents() (refusal string) {
	c := t.c
	if !c.route.KeepsHistory {
		return ""
	}
	last, err := strconv.ParseUint(c.req.LastEventID, 10, 64)
	if err != nil || c.req.ResumedID == "" {
		return whyEventsNotKept
	}
	begin := t.taken.Records[c.resumedKey()].GetPart()
	events, err := ledger.StreamEvents(t.taken.Records, c.resumedKey(), last)
	if err != nil || c.hideKey && begin.GetWorkspace() != c.workspaceName() {
		c.e.logger.Warn("turn can't be taken up", "id", c.req.ID, "resumes", c.req.ResumedID, "after_event", last, "workspace", begin.GetWorkspace(), "err", err)
		return whyEventsNotKept
	}
	for _, e := range events {
		if e.Data == nil {
			continue
		}
		if err := t.keepOutput(e.GetData()); err != nil {
			c.e.logger.Warn("turn can't be taken up", "id", c.req.ID, "resumes", c.req.ResumedID, "err", err)
			return whyNoEventMemory
		}
	}
	return ""
}
