// Package quarantine tracks requests that may crash the upstreams that run
// them. A request on board of one crash is a suspect; it is quarantined when
// it was the only suspect on board of a further crash.
package quarantine

import (
	"maps"
	"slices"
	"time"
)

// The counts of an entry.
const (
	CountSuspect     = 1
	CountQuarantined = 2
)

// Entry is what is known about the requests with one fingerprint.
type Entry struct {
	Fingerprint uint64
	Count       int
	Until       time.Time
	Released    bool

	// Upstream and Incarnation name the crash that was counted last. Peers tell
	// each other, so that none counts it again. Incarnation is 0 until the crash
	// is reported.
	Upstream    string
	Incarnation uint64

	// expected names an upstream whose crash is known from a broken attempt,
	// here or at a peer, and not yet from the crash report.
	expected string
	// told is set when a peer told of the suspect without naming the crash. The
	// report of the same crash may come later, within sameCrash.
	told time.Time
}

// sameCrash is the time within which a crash report is taken for the crash
// that a peer told of: ten heartbeats of 500 ms. If it was another crash, the
// quarantine comes one crash later.
const sameCrash = 5 * time.Second

// List holds the suspects and the quarantined requests.
type List struct {
	entries map[uint64]*Entry
	crashes map[string]uint64 // upstream to the last incarnation reported
}

// IsSuspect reports whether a fingerprint was on board of a crash.
func (l *List) IsSuspect(fp uint64) bool { return l.entries[fp] != nil }

// QuarantinedUntil returns the end of the quarantine of a fingerprint.
func (l *List) QuarantinedUntil(fp uint64) (until time.Time, ok bool) {
	e := l.entries[fp]
	if e == nil || e.Count < CountQuarantined {
		return time.Time{}, false
	}
	return e.Until, true
}

// MarkSuspect marks a request as a suspect because its attempt broke in a crash of
// the upstream that is not reported yet. It returns false if the request was a
// suspect before: then the report decides.
func (l *List) MarkSuspect(fp uint64, upstream string, until time.Time) (Entry, bool) {
	if fp == 0 || l.entries[fp] != nil {
		return Entry{}, false
	}
	e := l.set(fp, CountSuspect, until)
	e.Upstream, e.expected = upstream, upstream
	return *e, true
}

// RecordCrash counts a crash report and returns the entries that changed, in
// order of fingerprint. A report that was counted before has no effect.
func (l *List) RecordCrash(upstream string, incarnation uint64, fps []uint64, now, until time.Time) []Entry {
	if last, ok := l.crashes[upstream]; ok && last >= incarnation {
		return nil
	}
	if l.crashes == nil {
		l.crashes = make(map[string]uint64)
	}
	l.crashes[upstream] = incarnation
	fps = slices.Compact(slices.Sorted(slices.Values(fps)))
	var suspects, fresh, counted []uint64
	for _, fp := range fps {
		e := l.entries[fp]
		switch {
		case fp == 0:
		case e == nil:
			fresh = append(fresh, fp)
		case e.Upstream == upstream && e.Incarnation >= incarnation, e.expected == upstream,
			e.expected == "" && now.Before(e.told.Add(sameCrash)):
			e.counted(upstream, max(incarnation, e.Incarnation))
			counted = append(counted, fp)
		default:
			suspects = append(suspects, fp)
		}
	}
	var changed []Entry
	if len(suspects) == 1 && l.entries[suspects[0]].Count < CountQuarantined {
		changed = append(changed, *l.count(suspects[0], CountQuarantined, until, upstream, incarnation))
		for _, fp := range counted {
			e := *l.entries[fp]
			e.Released = true
			delete(l.entries, fp)
			changed = append(changed, e)
		}
		return changed
	}
	// A known suspect explains the crash, so others on board stay clear of
	// suspicion while there is one.
	if len(suspects) == 0 {
		for _, fp := range fresh {
			changed = append(changed, *l.count(fp, CountSuspect, until, upstream, incarnation))
		}
	}
	return changed
}

// Quarantine quarantines a suspect whose second crash was never reported.
func (l *List) Quarantine(fp uint64, until time.Time) Entry {
	return *l.set(fp, CountQuarantined, until)
}

// Clear removes a suspect after a successful run. A quarantined request stays
// until its release.
func (l *List) Clear(fp uint64) bool {
	e := l.entries[fp]
	if e == nil || e.Count >= CountQuarantined {
		return false
	}
	delete(l.entries, fp)
	return true
}

// Merge takes over a decision of a peer or an operator. A release with the
// count of a suspect clears a suspicion only; without it, a quarantine too.
func (l *List) Merge(e Entry, now time.Time) {
	old := l.entries[e.Fingerprint]
	switch {
	case e.Fingerprint == 0:
	case e.Released && e.Count == CountSuspect && old != nil && old.Count > CountSuspect:
	case e.Released:
		delete(l.entries, e.Fingerprint)
	case old == nil:
		merged := l.count(e.Fingerprint, e.Count, e.Until, e.Upstream, e.Incarnation)
		if e.Incarnation == 0 {
			merged.expected = e.Upstream
			merged.told = now
		}
	case e.Count >= old.Count:
		old.Count = e.Count
		if e.Until.After(old.Until) {
			old.Until = e.Until
		}
		if e.Incarnation != 0 && old.Incarnation == 0 {
			old.counted(e.Upstream, e.Incarnation)
		}
	}
}

// Expire removes the entries whose time has come.
func (l *List) Expire(now time.Time) {
	maps.DeleteFunc(l.entries, func(_ uint64, e *Entry) bool { return !now.Before(e.Until) })
}

// NextExpiry returns the earliest end of an entry, zero if there is none.
func (l *List) NextExpiry() time.Time {
	var next time.Time
	for _, e := range l.entries {
		if next.IsZero() || e.Until.Before(next) {
			next = e.Until
		}
	}
	return next
}

// Entries returns all entries in order of fingerprint.
func (l *List) Entries() []Entry {
	var out []Entry
	for _, fp := range slices.Sorted(maps.Keys(l.entries)) {
		out = append(out, *l.entries[fp])
	}
	return out
}

// counted notes the report of the crash for which the entry was made.
func (e *Entry) counted(upstream string, incarnation uint64) {
	e.expected, e.told = "", time.Time{}
	e.Upstream, e.Incarnation = upstream, incarnation
}

// count sets an entry for a reported crash.
func (l *List) count(fp uint64, count int, until time.Time, upstream string, incarnation uint64) *Entry {
	e := l.set(fp, count, until)
	e.Upstream, e.Incarnation = upstream, incarnation
	return e
}

func (l *List) set(fp uint64, count int, until time.Time) *Entry {
	if l.entries == nil {
		l.entries = make(map[uint64]*Entry)
	}
	e := &Entry{Fingerprint: fp, Count: count, Until: until}
	l.entries[fp] = e
	return e
}
