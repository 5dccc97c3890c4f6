// Package quarantine tracks requests that may crash the upstreams that run them. A
// request that was running on an upstream when it crashed is a suspect. A suspect
// is quarantined if it was the only one running in another crash.
package quarantine

import (
	"maps"
	"slices"
	"time"
)

// The values of Entry.Count.
const (
	CountSuspect     = 1
	CountQuarantined = 2
)

// Entry is the state of the requests with one fingerprint.
type Entry struct {
	Fingerprint uint64
	Count       int
	Until       time.Time
	Released    bool

	// Upstream and Incarnation identify the crash that was counted last. Peers
	// exchange them, so that none counts the same crash again. Incarnation is 0
	// until the crash is reported.
	Upstream    string
	Incarnation uint64

	// expectedUpstream is an upstream whose crash is known from a broken attempt,
	// here or at a peer, but for which the crash report has not arrived.
	expectedUpstream string
	// peerReportedAt is the time at which a peer reported the suspect without the
	// incarnation that crashed. The report of the same crash may arrive later,
	// within sameCrashWindow.
	peerReportedAt time.Time
}

// sameCrashWindow is the time within which a crash report is taken for the crash
// that a peer reported without its incarnation: ten heartbeats of 500 ms. If it was
// another crash, the quarantine is delayed until the next one.
const sameCrashWindow = 5 * time.Second

// List holds the suspected and the quarantined requests.
type List struct {
	entries map[uint64]*Entry
	crashes map[string]uint64 // last reported incarnation by upstream
}

// IsSuspect reports whether requests with a fingerprint are suspected or
// quarantined.
func (l *List) IsSuspect(fp uint64) bool { return l.entries[fp] != nil }

// QuarantinedUntil returns the end of the quarantine of a fingerprint, and false
// if it is not quarantined.
func (l *List) QuarantinedUntil(fp uint64) (until time.Time, ok bool) {
	e := l.entries[fp]
	if e == nil || e.Count < CountQuarantined {
		return time.Time{}, false
	}
	return e.Until, true
}

// MarkSuspect marks a request as a suspect because its attempt was broken off by a
// crash of the upstream that is not reported yet. It returns false and changes
// nothing if the request is a suspect already: then the crash report decides.
func (l *List) MarkSuspect(fp uint64, upstream string, until time.Time) (Entry, bool) {
	if fp == 0 || l.entries[fp] != nil {
		return Entry{}, false
	}
	e := l.set(fp, CountSuspect, until)
	e.Upstream, e.expectedUpstream = upstream, upstream
	return *e, true
}

// RecordCrash processes a crash report, which lists the requests that were running,
// and returns the entries that changed, in a deterministic order. A report that was
// processed before has no effect. If exactly one request was a suspect from an
// earlier crash, it is quarantined, and the suspicions that this crash had caused
// are released.
func (l *List) RecordCrash(upstream string, incarnation uint64, fps []uint64, now, until time.Time) []Entry {
	if last, ok := l.crashes[upstream]; ok && last >= incarnation {
		return nil
	}
	if l.crashes == nil {
		l.crashes = make(map[string]uint64)
	}
	l.crashes[upstream] = incarnation
	fps = slices.Compact(slices.Sorted(slices.Values(fps)))
	var suspects, unknown, reported []uint64
	for _, fp := range fps {
		e := l.entries[fp]
		switch {
		case fp == 0:
		case e == nil:
			unknown = append(unknown, fp)
		case e.Upstream == upstream && e.Incarnation >= incarnation, e.expectedUpstream == upstream,
			e.expectedUpstream == "" && now.Before(e.peerReportedAt.Add(sameCrashWindow)):
			e.reported(upstream, max(incarnation, e.Incarnation))
			reported = append(reported, fp)
		default:
			suspects = append(suspects, fp)
		}
	}
	var changed []Entry
	if len(suspects) == 1 && l.entries[suspects[0]].Count < CountQuarantined {
		changed = append(changed, *l.count(suspects[0], CountQuarantined, until, upstream, incarnation))
		for _, fp := range reported {
			e := *l.entries[fp]
			e.Released = true
			delete(l.entries, fp)
			changed = append(changed, e)
		}
		return changed
	}
	// Suspects from an earlier crash explain this one, so the other requests become
	// suspects only if there are none.
	if len(suspects) == 0 {
		for _, fp := range unknown {
			changed = append(changed, *l.count(fp, CountSuspect, until, upstream, incarnation))
		}
	}
	return changed
}

// Quarantine quarantines a suspect whose second crash was not reported.
func (l *List) Quarantine(fp uint64, until time.Time) Entry {
	return *l.set(fp, CountQuarantined, until)
}

// Clear removes a suspect after a successful run and reports whether it did. A
// quarantined request stays until it is released or expires.
func (l *List) Clear(fp uint64) bool {
	e := l.entries[fp]
	if e == nil || e.Count >= CountQuarantined {
		return false
	}
	delete(l.entries, fp)
	return true
}

// Merge applies a decision of a peer or an operator. A release with CountSuspect
// ends only a suspicion; any other release also ends a quarantine.
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
			merged.expectedUpstream = e.Upstream
			merged.peerReportedAt = now
		}
	case e.Count >= old.Count:
		old.Count = e.Count
		if e.Until.After(old.Until) {
			old.Until = e.Until
		}
		if e.Incarnation != 0 && old.Incarnation == 0 {
			old.reported(e.Upstream, e.Incarnation)
		}
	}
}

// Expire removes the entries that have expired.
func (l *List) Expire(now time.Time) {
	maps.DeleteFunc(l.entries, func(_ uint64, e *Entry) bool { return !now.Before(e.Until) })
}

// NextExpiry returns the earliest expiry of an entry, or the zero time if there
// are no entries.
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

// reported records that the crash that caused the entry has been reported.
func (e *Entry) reported(upstream string, incarnation uint64) {
	e.expectedUpstream, e.peerReportedAt = "", time.Time{}
	e.Upstream, e.Incarnation = upstream, incarnation
}

// count sets an entry and the crash that caused it.
func (l *List) count(fp uint64, count int, until time.Time, upstream string, incarnation uint64) *Entry {
	e := l.set(fp, count, until)
	e.Upstream, e.Incarnation = upstream, incarnation
	return e
}

// set replaces the entry of a fingerprint.
func (l *List) set(fp uint64, count int, until time.Time) *Entry {
	if l.entries == nil {
		l.entries = make(map[uint64]*Entry)
	}
	e := &Entry{Fingerprint: fp, Count: count, Until: until}
	l.entries[fp] = e
	return e
}
