package fleet

import "time"

// maxLeaving bounds the runs that are remembered.
const maxLeaving = 4096

// run names one run of an upstream.
type run struct {
	id   string
	born int64
}

// leaving has the runs whose answers say that they leave, and since when. It
// outlives the members: what the store says of a run may be older than its answer,
// and an entry may lapse and come back. Only another run ends it.
type leaving map[run]time.Time

func (l leaving) since(u Upstream) time.Time { return l[run{u.ID, u.StartedUnixMs}] }

// note keeps a run, in place of the oldest one if there are too many.
func (l leaving) note(u Upstream, now time.Time) {
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

// SetLeavingGrace sets how long after its first answer that says so a leaving upstream
// is used if a service has no other.
func (f *Fleet) SetLeavingGrace(d time.Duration) { f.leavingUse = d }

// RecordLeaving notes that an answer of a member says that it leaves, and reports whether
// that is new. The member may have been dropped meanwhile.
func (f *Fleet) RecordLeaving(m *Member, now time.Time) bool {
	if m.Leaving() || !f.leaving.since(m.Upstream).IsZero() {
		return false
	}
	f.leaving.note(m.Upstream, now)
	m.leavingSince = now
	if current := f.members[m.ID]; current != nil && current.StartedUnixMs == m.StartedUnixMs {
		current.leavingSince = now
	}
	return true
}

// Leaving reports whether the answers of a member say that it leaves.
func (m *Member) Leaving() bool { return !m.leavingSince.IsZero() }

// usable reports whether a leaving member may still be used.
func (f *Fleet) usable(m *Member, now time.Time) bool {
	return now.Before(m.leavingSince.Add(f.leavingUse))
}

// ended returns the upstream of a member that is gone.
func (m *Member) ended() Upstream {
	u := m.Upstream
	if m.Leaving() {
		u.State = Draining
	}
	return u
}
