package journal

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// memberPause is the time before the next message to a member after a failed
// one. It bounds how often an unresponsive member delays an acknowledgement.
const memberPause = 2 * time.Second

// member is the writer's view of a member of the retention set. The member holds
// every uncommitted object up to lastHeld.
type member struct {
	id       core.Incarnation
	lastHeld uint64 // highest object that the member accepted; 0 if it holds none
	failed   bool   // the last message failed or was refused
	retryAt  time.Time
	reported uint64 // highest committed object reported to the member
}

type memberResult struct {
	m        *member
	lastHeld uint64
	appended uint64 // highest object that the member appended on the owner's behalf
	reported uint64
	err      error // nil, *SealedError or a failure after which the message is retried
}

type retainRound []memberResult

// emptySet is the stored name for a retention set without members. An object
// without any name leaves the retention set unchanged.
const emptySet = ""

func setToNames(retention []core.Incarnation) []string {
	if len(retention) == 0 {
		return []string{emptySet}
	}
	out := make([]string, len(retention))
	for i, m := range retention {
		out[i] = string(m)
	}
	return out
}

func setFromNames(names []string) []core.Incarnation {
	var out []core.Incarnation
	for _, n := range names {
		if n != emptySet {
			out = append(out, core.Incarnation(n))
		}
	}
	return out
}

func (w *Writer) member(id core.Incarnation) *member {
	m := w.members[id]
	if m == nil {
		m = &member{id: id}
		w.members[id] = m
	}
	return m
}

// checkSlowAppend sets degraded, and so starts retention, when the append in
// flight takes longer than RetainAfter.
func (w *Writer) checkSlowAppend(now time.Time) {
	if w.degraded || w.inflight == nil || now.Before(w.inflight.started.Add(w.o.RetainAfter)) {
		return
	}
	w.degraded = true
	w.o.Logger.Warn("journal append is slow", "journal", w.self, "object", w.inflight.b.object,
		"age", now.Sub(w.inflight.started))
}

// dueMembers returns the members to which a message is due, and the earliest
// time at which a message to another member becomes due, or the zero time.
func (w *Writer) dueMembers(now time.Time) (due []*member, next time.Time) {
	needsMessage := func(m *member) bool {
		if w.degraded && len(w.queue) > 0 && m.lastHeld < w.queue[len(w.queue)-1].object {
			for _, id := range w.retention {
				if id == m.id {
					return true
				}
			}
		}
		return m.lastHeld > 0 && m.lastHeld <= w.committed && m.reported < w.committed && len(w.queue) == 0
	}
	for _, id := range w.retention {
		w.member(id)
	}
	for _, m := range w.members {
		switch {
		case !needsMessage(m):
		case now.Before(m.retryAt):
			if next.IsZero() || m.retryAt.Before(next) {
				next = m.retryAt
			}
		default:
			due = append(due, m)
		}
	}
	return due, next
}

// nextRetainTime returns the time of the next message to a member. The second
// result is false if none is planned or a round is in flight.
func (w *Writer) nextRetainTime() (time.Time, bool) {
	if w.retaining {
		return time.Time{}, false
	}
	due, next := w.dueMembers(time.Now())
	if len(due) > 0 {
		return time.Now(), true
	}
	return next, !next.IsZero()
}

// startRetain starts a round of messages that sends the members the batches they
// lack. One round is in flight at a time.
func (w *Writer) startRetain(ctx context.Context, now time.Time) {
	if w.retaining {
		return
	}
	due, _ := w.dueMembers(now)
	if len(due) == 0 {
		w.reportRetained()
		return
	}
	w.retaining = true
	batches := append([]*batch(nil), w.queue...)
	committed := w.committed
	round := make(retainRound, len(due))
	for i, m := range due {
		round[i] = memberResult{m: m, lastHeld: m.lastHeld}
	}
	go func() {
		var wg sync.WaitGroup
		for i := range round {
			wg.Go(func() { w.sendBatches(ctx, &round[i], batches, committed) })
		}
		wg.Wait()
		w.retainc <- round
	}()
}

// sendBatches sends a member the batches that it lacks, in order. Without
// batches, it reports the highest committed object.
func (w *Writer) sendBatches(ctx context.Context, r *memberResult, batches []*batch, committed uint64) {
	rt := w.o.Retainer(r.m.id)
	if rt == nil {
		r.err = errors.Errorf("journal %s: member %s is not connected", w.self, r.m.id)
		return
	}
	send := func(m *peerv1.Retain) *peerv1.RetainResult {
		ctx, cancel := context.WithTimeout(ctx, w.o.RetainTimeout)
		defer cancel()
		res, err := rt.Retain(ctx, m)
		switch {
		case err != nil:
			r.err = errors.Wrapf(err, "journal %s: retain object %d at %s", w.self, m.Object, r.m.id)
		case res.Sealed:
			r.err = &SealedError{Journal: w.self, By: "unknown", Object: m.Object}
		case res.Error != "":
			r.lastHeld = 0 // the member may have lost its batches; send all of them again
			r.err = errors.Errorf("journal %s: retain object %d at %s: %s", w.self, m.Object, r.m.id, res.Error)
		}
		return res
	}
	if len(batches) == 0 {
		if send(&peerv1.Retain{Incarnation: string(w.self), Committed: committed}); r.err == nil {
			r.reported = committed
		}
		return
	}
	for _, b := range batches {
		if b.object <= r.lastHeld {
			continue
		}
		res := send(&peerv1.Retain{
			Incarnation: string(w.self), Object: b.object, Payload: b.payload, Committed: committed,
		})
		if r.err != nil {
			return
		}
		if !res.Appended && !res.Retained {
			r.err = errors.Errorf("journal %s: retain object %d at %s: neither appended nor retained", w.self, b.object, r.m.id)
			return
		}
		r.lastHeld = b.object
		if res.Appended {
			r.appended = b.object
		}
	}
}

// handleRetainRound updates the members from the results of a round. It returns
// an error only if the journal is sealed or fenced.
func (w *Writer) handleRetainRound(round retainRound) error {
	w.retaining = false
	now := time.Now()
	var appended uint64
	for _, r := range round {
		var s *SealedError
		if errors.As(r.err, &s) {
			return s
		}
		r.m.lastHeld = r.lastHeld
		r.m.reported = max(r.m.reported, r.reported)
		r.m.failed = r.err != nil
		if r.err != nil {
			r.m.retryAt = now.Add(memberPause)
			w.o.Logger.Warn("member does not retain", "journal", w.self, "peer", r.m.id, "error", r.err)
		} else if r.reported > 0 && r.m.lastHeld <= w.committed {
			r.m.lastHeld = 0
		}
		appended = max(appended, r.appended)
	}
	// A member appends in order, so its last append implies all earlier ones.
	w.commitTo(appended)
	w.reportRetained()
	return nil
}

// reportRetained reports the queued batches as retained if every reachable
// member holds them, and as undurable if no member can be reached.
func (w *Writer) reportRetained() {
	if !w.degraded || len(w.queue) == 0 {
		return
	}
	var upTo uint64
	reachable := 0
	for _, id := range w.retention {
		m := w.member(id)
		if m.failed {
			continue
		}
		if reachable == 0 || m.lastHeld < upTo {
			upTo = m.lastHeld
		}
		reachable++
	}
	seq, undurable := w.retained, w.undurable
	for _, b := range w.queue {
		if reachable > 0 && b.object <= upTo {
			seq = max(seq, b.seq)
		} else if reachable == 0 {
			undurable = max(undurable, b.seq)
		}
	}
	if seq > w.retained && seq > w.seq {
		w.retained = seq
		w.o.Retained(seq)
	}
	if undurable > w.undurable && undurable > w.retained && undurable > w.seq {
		w.undurable = undurable
		w.o.Undurable(undurable)
	}
}
