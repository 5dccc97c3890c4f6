package journal

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// memberPause is the time for which a member that did not answer counts as
// unreachable. It bounds how often a silent member delays an acknowledgement.
const memberPause = 2 * time.Second

// member is what the writer knows about a member of the retention set. A member
// holds every object from the committed ones up to have.
type member struct {
	id       core.Incarnation
	have     uint64 // highest object it accepted; 0 if it holds nothing
	failed   bool   // the last message got no answer
	retryAt  time.Time
	reported uint64 // highest committed object it was told about
}

type memberResult struct {
	m        *member
	have     uint64
	appended uint64 // highest object it appended on the owner's behalf
	reported uint64
	err      error // nil, *SealedError or no answer
}

type retainRound []memberResult

// emptySet marks a retention set without members, which differs from a set that
// did not change.
const emptySet = ""

func setNames(set []core.Incarnation) []string {
	if len(set) == 0 {
		return []string{emptySet}
	}
	out := make([]string, len(set))
	for i, m := range set {
		out[i] = string(m)
	}
	return out
}

func setOf(names []string) []core.Incarnation {
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

// checkSlow starts retention when the append in flight takes too long.
func (w *Writer) checkSlow(now time.Time) {
	if w.degraded || w.inflight == nil || now.Before(w.inflight.started.Add(w.o.RetainAfter)) {
		return
	}
	w.degraded = true
	w.o.Logger.Warn("journal append is slow", "journal", w.self, "object", w.inflight.b.object,
		"age", now.Sub(w.inflight.started))
}

// retainWork returns the members to which a message is due, and the earliest
// time at which another one will be.
func (w *Writer) retainWork(now time.Time) (due []*member, next time.Time) {
	want := func(m *member) bool {
		if w.degraded && len(w.queue) > 0 && m.have < w.queue[len(w.queue)-1].object {
			for _, id := range w.set {
				if id == m.id {
					return true
				}
			}
		}
		return m.have > 0 && m.have <= w.committed && m.reported < w.committed && len(w.queue) == 0
	}
	for _, id := range w.set {
		w.member(id)
	}
	for _, m := range w.members {
		switch {
		case !want(m):
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

// nextRetain returns the time of the next message to a member, if one is known.
func (w *Writer) nextRetain() (time.Time, bool) {
	if w.retaining {
		return time.Time{}, false
	}
	due, next := w.retainWork(time.Now())
	if len(due) > 0 {
		return time.Now(), true
	}
	return next, !next.IsZero()
}

// startRetain sends the batches that members lack, one round at a time.
func (w *Writer) startRetain(ctx context.Context, now time.Time) {
	if w.retaining {
		return
	}
	due, _ := w.retainWork(now)
	if len(due) == 0 {
		w.settleRetained()
		return
	}
	w.retaining = true
	batches := append([]*batch(nil), w.queue...)
	committed := w.committed
	round := make(retainRound, len(due))
	for i, m := range due {
		round[i] = memberResult{m: m, have: m.have}
	}
	go func() {
		var wg sync.WaitGroup
		for i := range round {
			wg.Go(func() { w.sendTo(ctx, &round[i], batches, committed) })
		}
		wg.Wait()
		w.retainc <- round
	}()
}

// sendTo gives a member the batches that it lacks, in order.
func (w *Writer) sendTo(ctx context.Context, r *memberResult, batches []*batch, committed uint64) {
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
			r.have = 0 // it may have lost what it held; send everything again
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
		if b.object <= r.have {
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
		r.have = b.object
		if res.Appended {
			r.appended = b.object
		}
	}
}

// retainedRound takes the results of a round.
func (w *Writer) retainedRound(round retainRound) error {
	w.retaining = false
	now := time.Now()
	var appended uint64
	for _, r := range round {
		var s *SealedError
		if errors.As(r.err, &s) {
			return s
		}
		r.m.have = r.have
		r.m.reported = max(r.m.reported, r.reported)
		r.m.failed = r.err != nil
		if r.err != nil {
			r.m.retryAt = now.Add(memberPause)
			w.o.Logger.Warn("member does not retain", "journal", w.self, "peer", r.m.id, "error", r.err)
		} else if r.reported > 0 && r.m.have <= w.committed {
			r.m.have = 0
		}
		appended = max(appended, r.appended)
	}
	// A member appends in order, so that its last append commits all before.
	w.commitTo(appended)
	w.settleRetained()
	return nil
}

// settleRetained reports the batches that every reachable member holds, or that
// none can be reached for the rest.
func (w *Writer) settleRetained() {
	if !w.degraded || len(w.queue) == 0 {
		return
	}
	var upTo uint64
	reachable := 0
	for _, id := range w.set {
		m := w.member(id)
		if m.failed {
			continue
		}
		if reachable == 0 || m.have < upTo {
			upTo = m.have
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
