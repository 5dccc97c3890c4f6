// Package poison finds requests that crash each upstream that runs them, from
// what one entry sees and what the others tell it. It has no clock and no I/O.
//
// A broken attempt alone says little: answers are lost for many reasons. It
// counts once its upstream is known to have crashed, because it refuses
// connections or because its registration ended or began anew.
package poison

import (
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core/quarantine"
)

const (
	// crashWindow is how long after a broken attempt the end of its upstream is
	// taken for the cause: a registration lapses after three heartbeats, and
	// an upstream is back some seconds after a crash.
	crashWindow = 10 * time.Second
	// quarantineTime is how long a request stays suspect or refused after the
	// last crash that it was on board of.
	quarantineTime = 30 * time.Second
	// maxBroken bounds the broken attempts that are remembered.
	maxBroken = 4096
)

// Run names one run of an upstream.
type Run struct {
	ID   string
	Born int64 // Unix ms of its start
}

type broken struct {
	run         Run
	fingerprint uint64
	at          time.Time
}

// Tracker holds what is suspected. The zero value is ready for use.
type Tracker struct {
	list    quarantine.List
	broken  []broken // oldest first
	crashed map[Run]bool
}

// Broke notes an attempt that broke off while its upstream may have run it.
func (t *Tracker) Broke(r Run, fingerprint uint64, now time.Time) {
	if fingerprint == 0 {
		return
	}
	if len(t.broken) >= maxBroken {
		t.broken = t.broken[1:]
	}
	t.broken = append(t.broken, broken{r, fingerprint, now})
}

// Crashed notes that a run of an upstream has ended without notice.
func (t *Tracker) Crashed(r Run) {
	if t.crashed == nil {
		t.crashed = make(map[Run]bool)
	}
	t.crashed[r] = true
}

// Pending reports whether Settle has a crash to judge.
func (t *Tracker) Pending() bool { return len(t.crashed) > 0 }

// Judged is a crash that was judged: the requests on board, and how many of them
// are under more suspicion since.
type Judged struct {
	Run              Run
	OnBoard, Changed int
}

// Settle judges the crashes noted since the last call and returns the entries
// that changed, for the other entries. The caller waits a little after a crash,
// so that all attempts that broke in it are known.
func (t *Tracker) Settle(now time.Time) ([]quarantine.Entry, []Judged) {
	onBoard := make(map[Run][]uint64)
	var runs []Run // the keys of onBoard, in the order of the attempts
	kept := t.broken[:0]
	for _, b := range t.broken {
		switch {
		case now.Sub(b.at) > crashWindow:
		case t.crashed[b.run]:
			if onBoard[b.run] == nil {
				runs = append(runs, b.run)
			}
			onBoard[b.run] = append(onBoard[b.run], b.fingerprint)
		default:
			kept = append(kept, b)
		}
	}
	t.broken = kept
	clear(t.crashed)
	t.list.Expire(now)
	var changed []quarantine.Entry
	var judged []Judged
	for _, r := range runs {
		found := t.list.Crashed(r.ID, uint64(r.Born), onBoard[r], now, now.Add(quarantineTime))
		judged = append(judged, Judged{Run: r, OnBoard: len(onBoard[r]), Changed: len(found)})
		changed = append(changed, found...)
	}
	return changed, judged
}

// Succeeded clears a suspect after a complete run. The entry is for the others.
func (t *Tracker) Succeeded(fingerprint uint64) (quarantine.Entry, bool) {
	if !t.list.Clear(fingerprint) {
		return quarantine.Entry{}, false
	}
	return quarantine.Entry{Fingerprint: fingerprint, Count: quarantine.CountSuspect, Released: true}, true
}

// Merge takes over what another entry has found.
func (t *Tracker) Merge(e quarantine.Entry, now time.Time) { t.list.Merge(e, now) }

// Refused returns until when a request must not run, if it must not.
func (t *Tracker) Refused(fingerprint uint64, now time.Time) (time.Time, bool) {
	t.list.Expire(now)
	return t.list.Quarantined(fingerprint)
}

// Entries returns what is suspected, in order of fingerprint.
func (t *Tracker) Entries() []quarantine.Entry { return t.list.Entries() }

// Clean reports whether nothing is suspected.
func (t *Tracker) Clean() bool { return t.list.NextExpiry().IsZero() }
