// Package poison finds requests that crash each upstream that runs them, from
// what one entry sees and what other processes tell it. It has no clock and no
// I/O.
//
// A lost attempt alone says little: answers are lost for many reasons. It becomes
// evidence once its upstream is known to have crashed. Evidence names the request
// and the run of the upstream that ended, so it can be told any number of times
// and in any order; what it means for a request is computed from all of it.
package poison

import "time"

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
	run         Run
	fingerprint uint64
	at          time.Time
}

// Tracker attributes lost attempts to crashes. The zero value is ready for use.
type Tracker struct {
	Book

	lost  []lost            // oldest first
	ended map[Run]time.Time // runs that crashed
	lives map[Run]uint32    // ends seen of a run; keys have no Life
}

// life returns a run with the number of its present life.
func (t *Tracker) life(r Run) Run {
	r.Life = t.lives[r]
	return r
}

// Watching reports whether answers of upstreams matter now: whether Alive has an
// effect.
func (t *Tracker) Watching() bool { return len(t.lost) > 0 || len(t.ended) > 0 }

// Lost notes an attempt, begun at a time, that may have run and got no answer.
func (t *Tracker) Lost(r Run, fingerprint uint64, began, now time.Time) []Evidence {
	if fingerprint == 0 {
		return nil
	}
	t.prune(now)
	r = t.life(r)
	if ended, ok := t.ended[r]; ok && began.Before(ended) {
		return t.add(Evidence{Fingerprint: fingerprint, Run: r, Grade: Confirmed, At: now}, now)
	}
	if len(t.lost) >= maxLost {
		t.lost = t.lost[1:]
	}
	t.lost = append(t.lost, lost{run: r, fingerprint: fingerprint, at: now})
	return nil
}

// Ended notes that a run of an upstream has ended without notice.
func (t *Tracker) Ended(r Run, now time.Time) []Evidence {
	t.prune(now)
	r = t.life(r)
	if t.ended == nil {
		t.ended = make(map[Run]time.Time)
	}
	if _, ok := t.ended[r]; !ok {
		t.ended[r] = now
	}
	var found []Evidence
	kept := t.lost[:0]
	for _, l := range t.lost {
		if l.run != r {
			kept = append(kept, l)
			continue
		}
		found = append(found, t.add(Evidence{Fingerprint: l.fingerprint, Run: r, Grade: Confirmed, At: now}, now)...)
	}
	t.lost = kept
	return found
}

// Alive notes that an upstream answered an attempt that began at a time. What was
// lost there before was no crash.
func (t *Tracker) Alive(r Run, began time.Time) {
	key := r
	r = t.life(r)
	if ended, ok := t.ended[r]; ok && began.After(ended) {
		delete(t.ended, r)
		t.nextLife(key)
		return
	}
	kept := t.lost[:0]
	for _, l := range t.lost {
		if l.run != r || !l.at.Before(began) {
			kept = append(kept, l)
		}
	}
	t.lost = kept
}

// nextLife notes that an upstream answers again after an end.
func (t *Tracker) nextLife(key Run) {
	if t.lives == nil || len(t.lives) >= maxLost {
		t.lives = make(map[Run]uint32)
	}
	t.lives[key]++
}

// Succeeded clears a request that has run to its end. The evidence is for the
// other processes.
func (t *Tracker) Succeeded(fingerprint uint64, now time.Time) []Evidence {
	kept := t.lost[:0]
	for _, l := range t.lost {
		if l.fingerprint != fingerprint {
			kept = append(kept, l)
		}
	}
	t.lost = kept
	return t.Clear(fingerprint, now)
}

func (t *Tracker) add(e Evidence, now time.Time) []Evidence {
	if !t.Add(e, now) {
		return nil
	}
	return []Evidence{e}
}

// prune forgets what is too old to be attributed.
func (t *Tracker) prune(now time.Time) {
	old := 0
	for old < len(t.lost) && now.Sub(t.lost[old].at) > crashWindow {
		old++
	}
	t.lost = t.lost[old:]
	for r, at := range t.ended {
		if now.Sub(at) > crashWindow {
			delete(t.ended, r)
		}
	}
}
