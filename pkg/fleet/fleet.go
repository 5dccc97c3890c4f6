// Package fleet tracks the load and health of the upstreams of a deployment, as
// observed by one process, and selects an upstream for each attempt. It has no clock
// and no I/O; the time is passed in.
package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/ratelimit"
)

// State is the state of an upstream according to its registration.
type State int

// Upstream states.
const (
	Ready State = iota
	Draining
)

// Upstream is one registered upstream.
type Upstream struct {
	ID              string // sent in each request to the upstream
	Service         string
	Address         string // host:port
	FailureDomain   string
	Slots           int // requests that can run at once
	State           State
	WarmupRemaining time.Duration // remaining time in which it is slower after its start
	StartedUnixMs   int64         // distinguishes runs with the same ID
	// SoftwareVersion is the version of the upstream's software; empty: not given.
	// Upstreams of several versions may serve side by side.
	SoftwareVersion string
}

// Load is the load that an upstream reported with a response.
type Load struct {
	Running, Waiting, Slots int
	// Pace is how long work takes there now, relative to the usual time; 0: not given.
	Pace float64
}

const (
	// ReregistrationGrace is how long upstreams whose registration is missing are kept
	// after the store is available again. The store gives upstreams two seconds to
	// register again; half a second covers the delay of the watch.
	ReregistrationGrace = 2500 * time.Millisecond
	// loadHalfLife is the age at which a reported load has half its weight. Reports are
	// some hundred ms old, and a request takes about as long.
	loadHalfLife = 400 * time.Millisecond
	// suspendBase and suspendMax bound the suspension after consecutive failures, which
	// doubles with each failure.
	suspendBase = 250 * time.Millisecond
	suspendMax  = 4 * time.Second
	// outcomeWeight is the weight of the newest outcome in the failure rate,
	// which then follows about the last eight attempts.
	outcomeWeight = 0.12
	// failureHalfLife is the time after which a failure rate has half its weight. A
	// member that is avoided has no successes that could lower the rate, so the rate
	// decays until the member is tried again.
	failureHalfLife = 5 * time.Second
)

// Member is an upstream with its observed load and failures.
type Member struct {
	Upstream

	inFlight int

	otherRequests  float64 // requests from other processes at the last load report
	waiting        float64
	loadReportedAt time.Time

	failures       int // consecutive
	suspendedUntil time.Time
	failureRate    float64   // moving average of failed attempts, 0 to 1, at failedAt
	failedAt       time.Time // time of the last failure

	missing     bool // the registration is gone from the store
	removeAfter time.Time

	leavingSince  time.Time // first response that announced the shutdown; zero: not leaving
	drainingSince time.Time // when the registration announced the shutdown; zero: not, or unknown

	limit *ratelimit.Limit // nil: the run has named no rate limit

	room room

	// replacedUnixMs is the start of the run that the registration still names although
	// this one has replaced it; 0: the registration names this run.
	replacedUnixMs int64

	distance float64 // round trip, ms
	reports  reportKind
	est      *estimate // nil: no pace was reported, and nothing was sent since others reported one
}

// InFlight returns the number of running attempts of this process.
func (m *Member) InFlight() int { return m.inFlight }

// Suspended reports whether the member gets no attempts because of failures.
func (m *Member) Suspended(now time.Time) bool { return now.Before(m.suspendedUntil) }

// Fleet is the set of upstreams known to a process.
type Fleet struct {
	domain    string
	regionOf  map[string]string // failure domain to region
	members   map[string]*Member
	byService map[string][]*Member
	// graceUntil is the time until which members with a missing registration are kept
	// after the store is available again.
	graceUntil time.Time
	// leavingRuns holds the runs of upstreams that announced their shutdown.
	leavingRuns leavingRuns
	// leavingGrace is how long after its announcement an upstream is still used if the
	// service has no other.
	leavingGrace time.Duration
	limits       *ratelimit.Book
	gates        map[string]*ratelimit.Gate // by service
	start        time.Time
	models       map[string]*model // by service; those that report a pace
	prefixes     *prefixCache
	groups       map[string]*groups // by service
}

// New returns an empty fleet for a process in the given failure domain that starts at
// the given time. regionOf maps failure domains to regions.
func New(domain string, regionOf map[string]string, start time.Time) *Fleet {
	return &Fleet{
		domain: domain, regionOf: regionOf,
		members:     make(map[string]*Member),
		byService:   make(map[string][]*Member),
		leavingRuns: make(leavingRuns),
		limits:      ratelimit.NewBook(start),
		gates:       make(map[string]*ratelimit.Gate),
		start:       start,
		models:      make(map[string]*model),
		prefixes:    newPrefixCache(maxCachedParts),
		groups:      make(map[string]*groups),
	}
}

// KeepMissingUntil keeps members with a missing registration until the given time,
// because upstreams may not have registered again since the store became available.
func (f *Fleet) KeepMissingUntil(until time.Time) { f.graceUntil = until }

// Put adds or updates an upstream. A new run of an upstream does not inherit the load
// and failures of the previous one.
func (f *Fleet) Put(u Upstream, now time.Time) {
	old := f.members[u.ID]
	if f.Outdated(u) {
		old.missing = false
		return
	}
	m := old
	if m == nil || m.StartedUnixMs != u.StartedUnixMs || m.Address != u.Address || m.SoftwareVersion != u.SoftwareVersion {
		m = &Member{Upstream: u, leavingSince: f.leavingRuns.since(u)}
	}
	if old != nil && (m != old || old.Service != u.Service) {
		f.drop(old)
	}
	// ID, Address, StartedUnixMs and SoftwareVersion stay as they are: requests read them
	// without the lock of the fleet.
	if m == old && m.State == Ready && u.State == Draining {
		m.drainingSince = now
	}
	m.Service, m.Slots = u.Service, u.Slots
	if m != f.members[u.ID] || m.FailureDomain != u.FailureDomain {
		f.setDomain(m, u.FailureDomain)
	}
	m.State, m.WarmupRemaining = u.State, u.WarmupRemaining
	m.missing = false
	if f.members[u.ID] == nil {
		f.add(m)
	}
	f.attachLimit(u.ID)
}

// Remove removes a member whose registration is gone, or marks it as missing during
// the grace period after an outage of the store. It returns the upstream if it was
// removed.
func (f *Fleet) Remove(id string, now time.Time) (gone Upstream, ok bool) {
	m := f.members[id]
	if m == nil {
		return Upstream{}, false
	}
	if now.Before(f.graceUntil) {
		m.missing = true
		m.removeAfter = f.graceUntil
		return Upstream{}, false
	}
	f.drop(m)
	return m.EndedUpstream(), true
}

// Replace applies a complete listing: members that it does not contain are removed as
// by Remove. It returns the removed upstreams, sorted by id.
func (f *Fleet) Replace(list []Upstream, now time.Time) (gone []Upstream) {
	named := make(map[string]bool, len(list))
	for _, u := range list {
		named[u.ID] = true
		f.Put(u, now)
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

// Expire removes the missing members whose grace period has ended and returns their
// upstreams, sorted by id.
func (f *Fleet) Expire(now time.Time) (gone []Upstream) {
	for _, id := range slices.Sorted(maps.Keys(f.members)) {
		if m := f.members[id]; m.missing && !now.Before(m.removeAfter) {
			f.drop(m)
			gone = append(gone, m.EndedUpstream())
		}
	}
	return gone
}

// add inserts a member into both indexes.
func (f *Fleet) add(m *Member) {
	f.members[m.ID] = m
	list := f.byService[m.Service]
	i, _ := slices.BinarySearchFunc(list, m.ID, compareID)
	f.byService[m.Service] = slices.Insert(list, i, m)
	f.groupOf(m).add(m)
}

// drop removes a member from both indexes.
func (f *Fleet) drop(m *Member) {
	delete(f.members, m.ID)
	f.countReports(m, reportsNothing)
	m.est = nil
	list := f.byService[m.Service]
	if i, ok := slices.BinarySearchFunc(list, m.ID, compareID); ok {
		f.byService[m.Service] = slices.Delete(list, i, i+1)
		f.groupOf(m).drop(m)
	}
}

func compareID(m *Member, id string) int { return cmp.Compare(m.ID, id) }

// Member returns the member with the given id, or nil.
func (f *Fleet) Member(id string) *Member { return f.members[id] }

// Members returns all members of a service, sorted by id. The caller must not modify
// the slice.
func (f *Fleet) Members(service string) []*Member { return f.byService[service] }

// Len returns the number of members.
func (f *Fleet) Len() int { return len(f.members) }

// RecordStart records the start of an attempt at a member.
func (f *Fleet) RecordStart(m *Member, c ratelimit.Cause, now time.Time) {
	m.inFlight++
	f.limits.Take(m.limit, c, now)
}

// RecordEnd records the end of an attempt at a member.
func (f *Fleet) RecordEnd(m *Member) { m.inFlight-- }

// RecordLoad records the load reported with a response. It must be called before
// RecordEnd of the same attempt, which the reported load includes. It returns false if it
// ignores the report because the member can't have that load.
func (f *Fleet) RecordLoad(m *Member, l Load, now time.Time) bool {
	if !plausible(m, l) {
		return false
	}
	if l.Slots > 0 {
		m.Slots = l.Slots
	}
	m.otherRequests = max(0, float64(l.Running+l.Waiting-m.inFlight))
	m.waiting = float64(l.Waiting)
	m.loadReportedAt = now
	f.recordReport(m, l, now)
	return true
}

// RecordSuccess records an attempt with a complete response.
func (f *Fleet) RecordSuccess(m *Member) {
	m.failures = 0
	m.suspendedUntil = time.Time{}
	m.failureRate *= 1 - outcomeWeight
}

// currentFailureRate returns the failure rate, decayed since the last failure.
func (m *Member) currentFailureRate(now time.Time) float64 {
	if m.failureRate == 0 {
		return 0
	}
	return m.failureRate * math.Exp2(-float64(now.Sub(m.failedAt))/float64(failureHalfLife))
}

// RecordFailure records a failed attempt. suspend is set for failures that concern the
// whole upstream, such as a refused or unresponsive connection, but not for a single
// lost response.
func (f *Fleet) RecordFailure(m *Member, suspend bool, now time.Time) {
	m.failureRate = m.currentFailureRate(now)*(1-outcomeWeight) + outcomeWeight
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

// RecordFull records that a member rejected a request because it has no capacity.
func (f *Fleet) RecordFull(m *Member, now time.Time) {
	m.otherRequests = max(m.otherRequests, float64(2*max(m.Slots, 1)-m.inFlight))
	m.waiting = max(m.waiting, float64(m.Slots))
	m.loadReportedAt = now
}
