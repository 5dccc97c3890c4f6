package fleet

import "time"

// maxLeaving bounds the number of leaving runs that are kept.
const maxLeaving = 4096

// run identifies one run of an upstream, from a start of its process to its end.
type run struct {
	id            string
	startedUnixMs int64
}

// leavingRuns holds the runs that announced their shutdown in a response, with the time
// of the first announcement. A run stays in it when its member is removed, because the
// store may report an older state of the run than the response did, and a registration
// may expire and come back. A new run of the same upstream is not affected.
type leavingRuns map[run]time.Time

func (l leavingRuns) since(u Upstream) time.Time { return l[run{u.ID, u.StartedUnixMs}] }

// add records a run. If there are too many, it replaces the oldest one.
func (l leavingRuns) add(u Upstream, now time.Time) {
	if len(l) >= maxLeaving {
		var oldest run
		first := true
		for r, since := range l {
			if first || since.Before(l[oldest]) {
				oldest, first = r, false
			}
		}
		delete(l, oldest)
	}
	l[run{u.ID, u.StartedUnixMs}] = now
}

// SetLeavingGrace sets how long after its first announcement a leaving upstream is
// still used if the service has no other.
func (f *Fleet) SetLeavingGrace(d time.Duration) { f.leavingGrace = d }

// RecordLeaving records that a response of a member announced its shutdown, and reports
// whether that is new. The member may have been removed in the meantime.
func (f *Fleet) RecordLeaving(m *Member, now time.Time) bool {
	if m.Leaving() || !f.leavingRuns.since(m.Upstream).IsZero() {
		return false
	}
	f.leavingRuns.add(m.Upstream, now)
	m.leavingSince = now
	if current := f.members[m.ID]; current != nil && current.StartedUnixMs == m.StartedUnixMs {
		current.leavingSince = now
	}
	return true
}

// Leaving reports whether a response of the member announced its shutdown.
func (m *Member) Leaving() bool { return !m.leavingSince.IsZero() }

// ShuttingDown reports whether the member has announced its shutdown, in a response or in
// its registration.
func (m *Member) ShuttingDown() bool { return m.Leaving() || m.State == Draining }

// announcedAt returns when the member first announced its shutdown; zero: not, or before
// this process knew it.
func (m *Member) announcedAt() time.Time {
	if m.State == Draining && (!m.Leaving() || m.drainingSince.Before(m.leavingSince)) {
		return m.drainingSince
	}
	return m.leavingSince
}

// leavingUsable reports whether a member that is shutting down may still be used.
func (f *Fleet) leavingUsable(m *Member, now time.Time) bool {
	return now.Before(m.announcedAt().Add(f.leavingGrace))
}

// EndedUpstream returns the upstream of a member whose run has ended. A leaving one is
// returned as draining, so that its end may be a planned one.
func (m *Member) EndedUpstream() Upstream {
	u := m.Upstream
	if m.Leaving() {
		u.State = Draining
	}
	return u
}
