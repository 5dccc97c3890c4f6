package fleet

import "time"

// verdict says whether a member may get a request, and if not, which filter excludes it.
type verdict int

// Verdicts, in the order in which the filters are applied.
const (
	usable    verdict = iota
	excluded          // by the request: tried before, another version, draining
	limited           // its rate limit leaves this process no permit now
	leaving           // announced its shutdown; a last resort while leavingUsable
	suspended         // after failures; the last resort
)

// String returns the name of the filter for logs.
func (v verdict) String() string {
	return [...]string{"usable", "excluded", "limited", "leaving", "suspended"}[v]
}

// filter applies all filters to a member. The permits of a candidate are added to offered,
// unless that is nil.
func (f *Fleet) filter(m *Member, r *Request, offered *supply, now time.Time) verdict {
	switch {
	case !f.candidate(m, r, now):
		return excluded
	case offered != nil && !offered.add(f, m, now):
		return limited
	case offered == nil && m.Limited() && f.limits.Permits(m.limit, now) == 0:
		return limited
	case m.ShuttingDown():
		return leaving
	case m.Suspended(now):
		return suspended
	}
	return usable
}

// candidate reports whether a member may get a request, as far as its registration and
// the request are concerned.
func (f *Fleet) candidate(m *Member, r *Request, now time.Time) bool {
	if r.Bound && m.SoftwareVersion != r.Version {
		return false
	}
	if m.State != Ready && !(r.Continues && f.leavingUsable(m, now)) {
		return false
	}
	return r.Excluded == nil || !r.Excluded(m.ID)
}

// lastResorts holds the members that are chosen if none is usable.
type lastResorts struct{ leaving, suspended *Member }

// add considers a member that a filter excluded.
func (l *lastResorts) add(f *Fleet, m *Member, v verdict, now time.Time) {
	switch v {
	case leaving:
		if f.leavingUsable(m, now) && !m.Suspended(now) && (l.leaving == nil || m.announcedAt().After(l.leaving.announcedAt())) {
			l.leaving = m
		}
	case suspended:
		if l.suspended == nil || m.suspendedUntil.Before(l.suspended.suspendedUntil) {
			l.suspended = m
		}
	}
}
