// Package poison finds requests that crash each upstream that runs them, from
// what one entry sees and what other processes tell it. It has no clock and no
// I/O.
//
// A lost attempt alone says little: answers are lost for many reasons. It becomes
// evidence once its upstream is known to have crashed. Evidence names the request
// and the run of the upstream that ended, so it can be told any number of times
// and in any order; what it means for a request is computed from all of it.
package poison

import (
	"slices"
	"time"
)

const (
	// crashWindow is how long after a lost attempt the end of its upstream is taken
	// for the cause, and after the end of an upstream a late loss is taken for its
	// effect: an outage of the platform's store, in which registrations do not
	// lapse, and the grace after it.
	crashWindow = 30 * time.Second
	// maxLost bounds the lost attempts that are remembered.
	maxLost = 4096
)

// lost is an attempt that may have run and got no answer.
type lost struct {
	fingerprint uint64
	at          time.Time
	// unreachable is set if the upstream could not be reached afterwards, presumed
	// if that was taken for a crash.
	unreachable, presumed bool
}

// Tracker attributes lost attempts to crashes. The zero value is ready for use.
type Tracker struct {
	EvidenceSet

	lost        map[Run][]lost // by upstream, oldest first
	size        int            // attempts in lost
	lostBy      map[uint64]int // attempts in lost by fingerprint
	unreachable map[Run]bool   // runs with attempts that are marked so and not presumed
	ended       map[Run]time.Time
	lives       map[Run]uint32 // ends seen of a run; keys have no Life
}

// life returns a run with the number of its present life.
func (t *Tracker) life(r Run) Run {
	r.Life = t.lives[r]
	return r
}

// NeedsResponses reports whether answers of upstreams matter now: whether RecordResponse has an
// effect.
func (t *Tracker) NeedsResponses() bool { return t.size > 0 || len(t.ended) > 0 }

// RecordLost notes an attempt, begun at a time, that may have run and got no answer.
func (t *Tracker) RecordLost(r Run, fingerprint uint64, began, now time.Time) []Evidence {
	t.prune(now)
	r = t.life(r)
	if ended, ok := t.ended[r]; ok && began.Before(ended) {
		return t.add(fingerprint, r, Confirmed, now)
	}
	if fingerprint == 0 || t.size >= maxLost {
		return nil
	}
	if t.lost == nil {
		t.lost = make(map[Run][]lost)
		t.lostBy = make(map[uint64]int)
	}
	t.lostBy[fingerprint]++
	t.lost[r] = append(t.lost[r], lost{fingerprint: fingerprint, at: now})
	t.size++
	return nil
}

// RecordEnd notes that a run of an upstream has ended without notice.
func (t *Tracker) RecordEnd(r Run, now time.Time) []Evidence {
	t.prune(now)
	r = t.life(r)
	if t.ended == nil {
		t.ended = make(map[Run]time.Time)
	}
	if _, ok := t.ended[r]; !ok {
		t.ended[r] = now
	}
	var found []Evidence
	for _, l := range t.lost[r] {
		found = append(found, t.add(l.fingerprint, r, Confirmed, now)...)
	}
	t.keep(r, func(lost) bool { return false })
	return found
}

// RecordUnreachable notes that no connection to an upstream could be made. That alone may
// be the fault of this entry.
func (t *Tracker) RecordUnreachable(r Run) {
	r = t.life(r)
	for i := range t.lost[r] {
		t.lost[r][i].unreachable = true
	}
	if len(t.lost[r]) == 0 {
		return
	}
	if t.unreachable == nil {
		t.unreachable = make(map[Run]bool)
	}
	t.unreachable[r] = true
}

// RecordResponse notes that an upstream answered an attempt that began at a time. What was
// lost there before was no crash, and this entry is not cut off.
func (t *Tracker) RecordResponse(r Run, began, now time.Time) []Evidence {
	key := r
	r = t.life(r)
	if ended, ok := t.ended[r]; ok && began.After(ended) {
		delete(t.ended, r)
		t.nextLife(key)
		return t.presume(r, began, now)
	}
	var found []Evidence
	for _, l := range t.lost[r] {
		if l.presumed && l.at.Before(began) {
			found = append(found, t.add(l.fingerprint, r, Cleared, now)...)
		}
	}
	t.keep(r, func(l lost) bool { return !l.at.Before(began) })
	if len(found) > 0 {
		t.nextLife(key)
	}
	return append(found, t.presume(r, began, now)...)
}

// presume takes the upstreams that could not be reached, while another one answers,
// for crashed.
func (t *Tracker) presume(answering Run, began, now time.Time) []Evidence {
	var found []Evidence
	for r := range t.unreachable {
		if r == answering {
			continue
		}
		for i := range t.lost[r] {
			l := &t.lost[r][i]
			if l.unreachable && !l.presumed && l.at.Before(began) {
				l.presumed = true
				found = append(found, t.add(l.fingerprint, r, Presumed, now)...)
			}
		}
		if !slices.ContainsFunc(t.lost[r], func(l lost) bool { return l.unreachable && !l.presumed }) {
			delete(t.unreachable, r)
		}
	}
	return found
}

// nextLife notes that an upstream answers again after an end.
func (t *Tracker) nextLife(key Run) {
	if t.lives == nil || len(t.lives) >= maxLost {
		t.lives = make(map[Run]uint32)
	}
	t.lives[key]++
}

// RecordSuccess clears a request that has run to its end. The evidence is for the
// other processes.
func (t *Tracker) RecordSuccess(fingerprint uint64, now time.Time) []Evidence {
	if t.lostBy[fingerprint] > 0 {
		for r := range t.lost {
			t.keep(r, func(l lost) bool { return l.fingerprint != fingerprint })
		}
	}
	return t.Clear(fingerprint, now)
}

func (t *Tracker) add(fingerprint uint64, r Run, g Grade, now time.Time) []Evidence {
	e := Evidence{Fingerprint: fingerprint, Run: r, Grade: g, At: now}
	if !t.Add(e, now) {
		return nil
	}
	return []Evidence{e}
}

// keep forgets the lost attempts at a run for which f returns false.
func (t *Tracker) keep(r Run, f func(lost) bool) {
	kept := slices.DeleteFunc(t.lost[r], func(l lost) bool {
		if f(l) {
			return false
		}
		t.forget(l)
		return true
	})
	if len(kept) == 0 {
		delete(t.lost, r)
		delete(t.unreachable, r)
		return
	}
	t.lost[r] = kept
}

// forget counts a lost attempt less.
func (t *Tracker) forget(l lost) {
	t.size--
	if t.lostBy[l.fingerprint]--; t.lostBy[l.fingerprint] <= 0 {
		delete(t.lostBy, l.fingerprint)
	}
}

// prune forgets what is too old to be attributed.
func (t *Tracker) prune(now time.Time) {
	for r := range t.lost {
		if now.Sub(t.lost[r][0].at) > crashWindow {
			t.keep(r, func(l lost) bool { return now.Sub(l.at) <= crashWindow })
		}
	}
	for r, at := range t.ended {
		if now.Sub(at) > crashWindow {
			delete(t.ended, r)
		}
	}
}
