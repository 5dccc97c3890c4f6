// Package fleet keeps what a process believes about the upstreams of a
// deployment and chooses one for each attempt. It has no clock and no I/O; the
// time is passed in.
package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// State is the stage of an upstream's life.
type State int

// Upstream states.
const (
	Ready State = iota
	Draining
)

// Upstream is one registered upstream.
type Upstream struct {
	ID              string // of one incarnation; named in each request to it
	Service         string
	Address         string // host:port
	FailureDomain   string
	Slots           int           // requests that run at once
	State           State         //
	WarmupRemaining time.Duration // remaining time during which it is slower after its start
	StartedUnixMs   int64         // Unix ms of its start; tells incarnations with one id apart
}

// Load is the load that an upstream reported with an answer.
type Load struct {
	Running, Waiting, Slots int
}

const (
	// ReregistrationGrace is how long an entry that is missing right after the store
	// came back is still believed: the store gives upstreams two seconds to
	// register again, and half a second covers the lag of the watch.
	ReregistrationGrace = 2500 * time.Millisecond
	// loadHalfLife is the age at which a reported load counts half: reports are
	// some hundred ms old, and a request takes about as long.
	loadHalfLife = 400 * time.Millisecond
	// suspendBase and suspendMax bound the time without new attempts after
	// consecutive failures; the time doubles with each.
	suspendBase = 250 * time.Millisecond
	suspendMax  = 4 * time.Second
	// outcomeWeight is the weight of the newest outcome in the failure rate,
	// which then follows about the last eight attempts.
	outcomeWeight = 0.12
	// failureHalfLife is the time after which a failure rate counts half: a member
	// that is avoided shows no successes, and has to be tried again.
	failureHalfLife = 5 * time.Second
)

// Member is an upstream with what its use has shown.
type Member struct {
	Upstream

	inFlight int

	others     float64 // requests of other callers when load was reported last
	waiting    float64
	reportedAt time.Time

	failures       int // consecutive
	suspendedUntil time.Time
	failureRate    float64   // moving average of outcomes, 0 to 1, at failedAt
	failedAt       time.Time // of the last failure

	missing   bool // the entry is gone from the store
	goneAfter time.Time

	leavingSince time.Time // of the first answer that says so; zero: it does not leave
}

// InFlight returns the number of attempts of this process.
func (m *Member) InFlight() int { return m.inFlight }

// Suspended reports whether the member takes no attempts because of failures.
func (m *Member) Suspended(now time.Time) bool { return now.Before(m.suspendedUntil) }

// Fleet holds the members by id.
type Fleet struct {
	domain    string
	regionOf  map[string]string // failure domain to region
	members   map[string]*Member
	byService map[string][]*Member
	// graceUntil ends the time after a regained contact with the store in which
	// missing entries are still believed.
	graceUntil time.Time
	// leaving has the runs of upstreams whose answers say that they leave.
	leaving leaving
	// leavingUse is how long after its first such answer an upstream is used if
	// there is no other.
	leavingUse time.Duration
}

// New returns an empty fleet as seen from a failure domain.
func New(domain string, regionOf map[string]string) *Fleet {
	return &Fleet{
		domain: domain, regionOf: regionOf,
		members:   make(map[string]*Member),
		byService: make(map[string][]*Member),
		leaving:   make(leaving),
	}
}

// KeepMissingUntil starts the time in which missing entries are kept, because
// upstreams may not have registered again since the store came back.
func (f *Fleet) KeepMissingUntil(until time.Time) { f.graceUntil = until }

// Put adds or changes an upstream. An incarnation that started anew keeps no
// experience of the one before.
func (f *Fleet) Put(u Upstream) {
	old := f.members[u.ID]
	m := old
	if m == nil || m.StartedUnixMs != u.StartedUnixMs || m.Address != u.Address {
		m = &Member{leavingSince: f.leaving.since(u)}
	}
	if old != nil && (m != old || old.Service != u.Service) {
		f.drop(old)
	}
	m.Upstream = u
	m.missing = false
	if f.members[u.ID] == nil {
		f.add(m)
	}
}

// Remove takes an entry as gone, at once or after the grace following a
// regained contact. It returns the upstream if it is gone.
func (f *Fleet) Remove(id string, now time.Time) (gone Upstream, ok bool) {
	m := f.members[id]
	if m == nil {
		return Upstream{}, false
	}
	if now.Before(f.graceUntil) {
		m.missing = true
		m.goneAfter = f.graceUntil
		return Upstream{}, false
	}
	f.drop(m)
	return m.ended(), true
}

// Replace takes a complete listing: entries that it does not name are removed. It
// returns the upstreams that are gone, in order of their ids.
func (f *Fleet) Replace(list []Upstream, now time.Time) (gone []Upstream) {
	named := make(map[string]bool, len(list))
	for _, u := range list {
		named[u.ID] = true
		f.Put(u)
	}
	for _, id := range slices.Sorted(maps.Keys(f.members)) {
		if named[id] {
			continue
		}
		if u, ok := f.Remove(id, now); ok {
			gone = append(gone, u)
		}
	}
	return gone
}

// Expire removes the missing entries whose grace has ended and returns their
// upstreams, in order of their ids.
func (f *Fleet) Expire(now time.Time) (gone []Upstream) {
	for _, id := range slices.Sorted(maps.Keys(f.members)) {
		if m := f.members[id]; m.missing && !now.Before(m.goneAfter) {
			f.drop(m)
			gone = append(gone, m.ended())
		}
	}
	return gone
}

// add and drop keep the members and their order by service together.
func (f *Fleet) add(m *Member) {
	f.members[m.ID] = m
	list := f.byService[m.Service]
	i, _ := slices.BinarySearchFunc(list, m.ID, compareID)
	f.byService[m.Service] = slices.Insert(list, i, m)
}

func (f *Fleet) drop(m *Member) {
	delete(f.members, m.ID)
	list := f.byService[m.Service]
	if i, ok := slices.BinarySearchFunc(list, m.ID, compareID); ok {
		f.byService[m.Service] = slices.Delete(list, i, i+1)
	}
}

func compareID(m *Member, id string) int { return cmp.Compare(m.ID, id) }

// Member returns the member with an id, or nil.
func (f *Fleet) Member(id string) *Member { return f.members[id] }

// Members returns all members of a service in the order of their ids. The
// caller must not change the slice.
func (f *Fleet) Members(service string) []*Member { return f.byService[service] }

// Len returns the number of members.
func (f *Fleet) Len() int { return len(f.members) }

// RecordStart counts an attempt at a member.
func (f *Fleet) RecordStart(m *Member) { m.inFlight++ }

// RecordEnd counts the end of an attempt.
func (f *Fleet) RecordEnd(m *Member) { m.inFlight-- }

// RecordLoad takes the load that came with an answer, while that answer's
// attempt is still counted.
func (f *Fleet) RecordLoad(m *Member, l Load, now time.Time) {
	if l.Slots > 0 {
		m.Slots = l.Slots
	}
	m.others = max(0, float64(l.Running+l.Waiting-m.inFlight))
	m.waiting = float64(l.Waiting)
	m.reportedAt = now
}

// RecordSuccess notes an attempt that brought a complete answer.
func (f *Fleet) RecordSuccess(m *Member) {
	m.failures = 0
	m.suspendedUntil = time.Time{}
	m.failureRate *= 1 - outcomeWeight
}

// failing returns the share of attempts that fail, as believed now.
func (m *Member) failing(now time.Time) float64 {
	if m.failureRate == 0 {
		return 0
	}
	return m.failureRate * math.Exp2(-float64(now.Sub(m.failedAt))/float64(failureHalfLife))
}

// RecordFailure notes an attempt that broke off or could not be made. Only failures
// that say something of the whole upstream suspend it: a refused or silent
// connection, not a single lost answer.
func (f *Fleet) RecordFailure(m *Member, suspend bool, now time.Time) {
	m.failureRate = m.failing(now)*(1-outcomeWeight) + outcomeWeight
	m.failedAt = now
	if !suspend {
		return
	}
	m.failures++
	pause := suspendMax
	if shift := m.failures - 1; shift < 5 {
		pause = min(suspendMax, suspendBase<<shift)
	}
	m.suspendedUntil = now.Add(pause)
}

// RecordFull notes that a member rejected a request because it had no room.
func (f *Fleet) RecordFull(m *Member, now time.Time) {
	m.others = max(m.others, float64(2*max(m.Slots, 1)-m.inFlight))
	m.waiting = max(m.waiting, float64(m.Slots))
	m.reportedAt = now
}
