package fleet

import "fmt"

// RecordOtherRun records that the upstream of a member has started again, in Unix ms,
// although its registration does not say so yet. The version of the new run is not known,
// so it counts as one that no other upstream has. It returns the upstream that has ended,
// or false if the member is no longer current.
func (f *Fleet) RecordOtherRun(m *Member, startedUnixMs int64) (ended Upstream, ok bool) {
	if f.members[m.ID] != m {
		return Upstream{}, false
	}
	u := m.Upstream
	u.StartedUnixMs, u.State = startedUnixMs, Ready
	u.SoftwareVersion = fmt.Sprintf("not registered: %s started at %d", u.ID, startedUnixMs)
	registered := m.StartedUnixMs
	if m.replacedUnixMs != 0 {
		registered = m.replacedUnixMs
	}
	f.drop(m)
	f.add(&Member{Upstream: u, replacedUnixMs: registered, distance: m.distance})
	f.attachLimit(u.ID)
	return m.EndedUpstream(), true
}

// Outdated reports whether a registration names a run that is known to have been replaced.
func (f *Fleet) Outdated(u Upstream) bool {
	m := f.members[u.ID]
	return m != nil && m.replacedUnixMs != 0 && m.replacedUnixMs == u.StartedUnixMs && m.Address == u.Address
}
