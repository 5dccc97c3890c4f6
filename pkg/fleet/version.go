package fleet

import (
	"slices"
	"time"
)

// Unversioned reports whether no upstream of a service gives a version: they are not told
// apart then.
func (f *Fleet) Unversioned(service string) bool {
	return !slices.ContainsFunc(f.byService[service], func(m *Member) bool { return m.SoftwareVersion != "" })
}

// PreferredVersion returns the version of the member with the lowest expected cost of those
// that accept attempts now. It returns false if there is none.
func (f *Fleet) PreferredVersion(r Request, now time.Time) (string, bool) {
	best, _ := f.best(&r, nil, now)
	if best == nil {
		return "", false
	}
	return best.SoftwareVersion, true
}

// FirstVersion returns the version to which to bind a new stream: the preferred one, or
// else that of a member which is the last resort of Pick. It returns false if there is no
// candidate.
func (f *Fleet) FirstVersion(r Request, now time.Time) (string, bool) {
	if version, ok := f.PreferredVersion(r, now); ok {
		return version, true
	}
	var last *Member
	for _, m := range f.byService[r.Service] {
		if f.candidate(m, &r, now) && (last == nil || f.betterLastResort(m, last, now)) {
			last = m
		}
	}
	if last == nil {
		return "", false
	}
	return last.SoftwareVersion, true
}

// betterLastResort reports whether Pick prefers a to b if no member accepts attempts: a
// usable one that is shutting down and announced it later, or a suspended one whose
// suspension ends sooner.
func (f *Fleet) betterLastResort(a, b *Member, now time.Time) bool {
	usable := func(m *Member) bool { return m.ShuttingDown() && f.leavingUsable(m, now) && !m.Suspended(now) }
	switch {
	case usable(a) != usable(b):
		return usable(a)
	case usable(a):
		return a.announcedAt().After(b.announcedAt())
	case a.ShuttingDown() != b.ShuttingDown():
		return b.ShuttingDown()
	}
	return a.suspendedUntil.Before(b.suspendedUntil)
}
