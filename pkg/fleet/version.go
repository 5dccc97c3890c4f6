package fleet

import (
	"math"
	"time"
)

// versionMemory is how long a software version is remembered after its last upstream has
// gone. It exceeds the time from the first event of a stream to the last attempt that
// continues it.
const versionMemory = 5 * time.Minute

// versionHistory holds the software versions that upstreams of a service ran of late.
// The value is when the version was first found to have no upstream; zero: it has some.
type versionHistory map[string]time.Time

// recordVersion records that a member runs its version.
func (f *Fleet) recordVersion(m *Member) {
	h := f.versions[m.Service]
	if h == nil {
		h = make(versionHistory)
		f.versions[m.Service] = h
	}
	h[m.SoftwareVersion] = time.Time{}
}

// expireVersions forgets the versions whose last upstream has been gone for
// versionMemory.
func (f *Fleet) expireVersions(now time.Time) {
	for service, h := range f.versions {
		for version, goneSince := range h {
			switch {
			case f.HasVersion(service, version):
				h[version] = time.Time{}
			case goneSince.IsZero():
				h[version] = now
			case now.Sub(goneSince) >= versionMemory:
				delete(h, version)
			}
		}
		if len(h) == 0 {
			delete(f.versions, service)
		}
	}
}

// HasVersion reports whether an upstream of a service runs a version.
func (f *Fleet) HasVersion(service, version string) bool {
	for _, m := range f.byService[service] {
		if m.SoftwareVersion == version {
			return true
		}
	}
	return false
}

// SoleVersion returns the only version that upstreams of a service have run for
// versionMemory. It returns false if there were several, or if this process has not run
// for that long and can't know.
func (f *Fleet) SoleVersion(service string, now time.Time) (version string, ok bool) {
	version, ok = f.onlyVersion(service)
	if !ok {
		return "", false
	}
	// Upstreams that give no version can't be told apart at all.
	return version, version == "" || now.Sub(f.start) >= versionMemory
}

// PreferredVersion returns the version of the member that accepts attempts now and suits
// a request best, regardless of its permits for the whole service. It returns false if
// there is none.
func (f *Fleet) PreferredVersion(r Request, now time.Time) (string, bool) {
	var best *Member
	bestCost := math.Inf(1)
	i := 0
	for _, m := range f.byService[r.Service] {
		if !f.candidate(m, r, now) {
			continue
		}
		i++
		if m.shuttingDown() || m.Suspended(now) || m.Limited() && f.limits.Permits(m.limit, now) == 0 {
			continue
		}
		if cost := f.cost(m, r, now) + jitterCost*tieBreak(r.Draw, i); cost < bestCost {
			best, bestCost = m, cost
		}
	}
	if best == nil {
		return "", false
	}
	return best.SoftwareVersion, true
}

// FirstVersion returns the version to which to bind a new stream: the preferred one, or
// else that of a member which is the last resort of Pick. It returns false if there is no
// candidate.
func (f *Fleet) FirstVersion(r Request, now time.Time) (string, bool) {
	if version, ok := f.onlyVersion(r.Service); ok {
		return version, true
	}
	if version, ok := f.PreferredVersion(r, now); ok {
		return version, true
	}
	var last *Member
	for _, m := range f.byService[r.Service] {
		if f.candidate(m, r, now) && (last == nil || f.betterLastResort(m, last, now)) {
			last = m
		}
	}
	if last == nil {
		return "", false
	}
	return last.SoftwareVersion, true
}

// onlyVersion returns the version of a service whose upstreams have run only one of late.
func (f *Fleet) onlyVersion(service string) (version string, ok bool) {
	h := f.versions[service]
	for version = range h {
	}
	return version, len(h) == 1
}

// betterLastResort reports whether Pick prefers a to b if no member accepts attempts: a
// usable one that is shutting down and announced it later, or a suspended one whose
// suspension ends sooner.
func (f *Fleet) betterLastResort(a, b *Member, now time.Time) bool {
	usable := func(m *Member) bool { return m.shuttingDown() && f.leavingUsable(m, now) && !m.Suspended(now) }
	switch {
	case usable(a) != usable(b):
		return usable(a)
	case usable(a):
		return a.announcedAt().After(b.announcedAt())
	case a.shuttingDown() != b.shuttingDown():
		return b.shuttingDown()
	}
	return a.suspendedUntil.Before(b.suspendedUntil)
}
