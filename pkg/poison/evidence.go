package poison

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccaspindle/yuccaspindle/pkg/identity"
)

const (
	// evidenceTTL is how long a crash counts against a request. It exceeds the
	// longest quarantine plus the time over which the crashes before it occurred, so
	// that the next crash after a quarantine adds to the earlier ones.
	evidenceTTL = 48 * time.Hour
	// clearedTTL is how long evidence with grade Cleared is kept, so that it reaches
	// the other processes.
	clearedTTL = 10 * time.Minute
	// maxRequests bounds the number of requests with evidence.
	maxRequests = 4096

	// quarantineCrashes is the number of crashes after which the prime suspect of a
	// crash is quarantined.
	quarantineCrashes = 2
	// maxCrashes is the number of crashes after which a request is quarantined even
	// if other requests are as suspect.
	maxCrashes = 3

	// shortQuarantine applies while the crashes may be a coincidence. It doubles with
	// each further crash for which the request is not the prime suspect.
	shortQuarantine = 30 * time.Second
	longQuarantine  = time.Hour
	maxQuarantine   = 24 * time.Hour
)

// Run identifies one run of an upstream, from a start of its process to its end.
type Run struct {
	ID            string
	StartedUnixMs int64
	// Life distinguishes runs that have the same ID and StartedUnixMs because the
	// platform does not report the new start yet. It counts how often the upstream
	// responded again after its end was observed.
	Life uint32
}

// Grade classifies the evidence against a request that was in flight when an upstream
// ended. A higher grade replaces a lower one, so the order in which processes receive
// evidence does not matter.
type Grade int

// Grades.
const (
	// Presumed: the upstream stopped responding and cannot be reached, its run ended
	// after it had announced its shutdown, or its end was not detected promptly.
	Presumed Grade = iota + 1
	// Confirmed: the upstream has crashed.
	Confirmed
	// Cleared: the request has completed since, or the upstream is still running.
	Cleared
)

// String implements fmt.Stringer.
func (g Grade) String() string {
	switch g {
	case Presumed:
		return "presumed"
	case Confirmed:
		return "confirmed"
	case Cleared:
		return "cleared"
	}
	return "unknown"
}

// Evidence records that a request was in flight at a crash of an upstream.
type Evidence struct {
	Request identity.Request
	Run     Run
	Grade   Grade
	At      time.Time // when the crash was first detected
}

// isCrash reports whether the evidence counts as a crash against its request.
func (e Evidence) isCrash() bool { return e.Grade == Presumed || e.Grade == Confirmed }

// ttl returns how long the evidence is kept.
func (e Evidence) ttl() time.Duration {
	if e.Grade == Cleared {
		return clearedTTL
	}
	return evidenceTTL
}

// digest returns a hash of the evidence, without its time.
func (e Evidence) digest() uint64 {
	b := binary.LittleEndian.AppendUint64(nil, uint64(e.Request.Content))
	b = binary.LittleEndian.AppendUint64(b, uint64(e.Request.Caller))
	b = binary.LittleEndian.AppendUint64(b, uint64(e.Run.StartedUnixMs))
	b = binary.LittleEndian.AppendUint32(b, e.Run.Life)
	b = append(b, byte(e.Grade))
	return xxhash.Sum64(append(b, e.Run.ID...))
}

// crashHistory holds the evidence about one request.
type crashHistory struct {
	crashes    map[Run]Evidence
	lastCrash  time.Time // of the newest evidence that counts as a crash; zero: none
	lastChange time.Time // of the newest evidence of any grade
}

func (h *crashHistory) crashCount() int {
	n := 0
	for _, e := range h.crashes {
		if e.isCrash() {
			n++
		}
	}
	return n
}

// provenCount returns the number of crashes that a quarantine of the prime suspect is
// based on. Until enough of them are confirmed, one presumed crash does not count: it may
// have been no crash.
func (h *crashHistory) provenCount() int {
	confirmed, presumed := 0, 0
	for _, e := range h.crashes {
		switch e.Grade {
		case Confirmed:
			confirmed++
		case Presumed:
			presumed++
		}
	}
	if presumed > 0 && confirmed < quarantineCrashes {
		presumed--
	}
	return confirmed + presumed
}

// updateTimes recomputes lastCrash and lastChange.
func (h *crashHistory) updateTimes() {
	h.lastCrash, h.lastChange = time.Time{}, time.Time{}
	for _, e := range h.crashes {
		if e.At.After(h.lastChange) {
			h.lastChange = e.At
		}
		if e.isCrash() && e.At.After(h.lastCrash) {
			h.lastCrash = e.At
		}
	}
}

// EvidenceSet holds all evidence of one process. Two sets that received the same
// evidence are equal, in whatever order and however often they received it. The zero
// value is ready for use.
type EvidenceSet struct {
	requests     map[identity.Request]*crashHistory
	byRun        map[Run]map[identity.Request]bool // requests with evidence about a run
	digest       uint64
	suspectCount int // requests with evidence that counts as a crash
}

// Digest returns a hash of all evidence, or 0 if there is none.
func (set *EvidenceSet) Digest() uint64 { return set.digest }

// NoSuspects reports whether no evidence counts as a crash against any request.
func (set *EvidenceSet) NoSuspects() bool { return set.suspectCount == 0 }

// Add merges evidence into the set and reports whether it was new.
func (set *EvidenceSet) Add(e Evidence, now time.Time) bool {
	if !e.Request.Known() || e.Grade < Presumed || e.Grade > Cleared {
		return false
	}
	if e.At.After(now) {
		e.At = now
	}
	h := set.requests[e.Request]
	if h == nil {
		h = &crashHistory{crashes: make(map[Run]Evidence)}
	}
	old, known := h.crashes[e.Run]
	if known && old.Grade >= e.Grade {
		return false
	}
	if known && e.Grade != Cleared {
		e.At = old.At
	}
	if now.Sub(e.At) >= e.ttl() {
		return false
	}
	if known {
		set.digest ^= old.digest()
	}
	before := h.crashCount()
	h.crashes[e.Run] = e
	h.updateTimes()
	set.addToIndex(e, h)
	set.updateSuspectCount(before, h.crashCount())
	set.evictIfFull(e.Request)
	return true
}

// addToIndex adds evidence to the indexes and the digest.
func (set *EvidenceSet) addToIndex(e Evidence, h *crashHistory) {
	if set.requests == nil {
		set.requests = make(map[identity.Request]*crashHistory)
		set.byRun = make(map[Run]map[identity.Request]bool)
	}
	set.requests[e.Request] = h
	if set.byRun[e.Run] == nil {
		set.byRun[e.Run] = make(map[identity.Request]bool)
	}
	set.byRun[e.Run][e.Request] = true
	set.digest ^= e.digest()
}

func (set *EvidenceSet) updateSuspectCount(before, after int) {
	switch {
	case before == 0 && after > 0:
		set.suspectCount++
	case before > 0 && after == 0:
		set.suspectCount--
	}
}

// evictIfFull removes the least important history if there are more than
// maxRequests, but never the one just added.
func (set *EvidenceSet) evictIfFull(added identity.Request) {
	if len(set.requests) <= maxRequests {
		return
	}
	var victim identity.Request
	var victimHistory *crashHistory
	for q, h := range set.requests {
		if q != added && (victimHistory == nil || h.evictBefore(victimHistory)) {
			victim, victimHistory = q, h
		}
	}
	set.remove(victim)
}

// evictBefore reports whether h is less important than other: histories with fewer
// crashes, counted up to quarantineCrashes, are evicted first, then those whose newest
// evidence is older.
func (h *crashHistory) evictBefore(other *crashHistory) bool {
	if a, b := min(h.crashCount(), quarantineCrashes), min(other.crashCount(), quarantineCrashes); a != b {
		return a < b
	}
	return h.lastChange.Before(other.lastChange)
}

func (set *EvidenceSet) remove(q identity.Request) {
	h := set.requests[q]
	set.updateSuspectCount(h.crashCount(), 0)
	for _, e := range h.crashes {
		set.removeFromIndex(e)
	}
	delete(set.requests, q)
}

// Expire removes evidence whose time to live has passed.
func (set *EvidenceSet) Expire(now time.Time) {
	for q, h := range set.requests {
		before := h.crashCount()
		for run, e := range h.crashes {
			if now.Sub(e.At) >= e.ttl() {
				delete(h.crashes, run)
				set.removeFromIndex(e)
			}
		}
		set.updateSuspectCount(before, h.crashCount())
		h.updateTimes()
		if len(h.crashes) == 0 {
			delete(set.requests, q)
		}
	}
}

// removeFromIndex removes evidence from the indexes and the digest.
func (set *EvidenceSet) removeFromIndex(e Evidence) {
	set.digest ^= e.digest()
	delete(set.byRun[e.Run], e.Request)
	if len(set.byRun[e.Run]) == 0 {
		delete(set.byRun, e.Run)
	}
}

// Clear marks all evidence against a request as cleared and returns the changed
// evidence, which is to be sent to the other processes.
func (set *EvidenceSet) Clear(q identity.Request, now time.Time) []Evidence {
	h := set.requests[q]
	if h == nil {
		return nil
	}
	var cleared []Evidence
	for _, run := range h.sortedRuns() {
		e := h.crashes[run]
		if !e.isCrash() {
			continue
		}
		e.Grade, e.At = Cleared, now
		set.Add(e, now)
		cleared = append(cleared, e)
	}
	return cleared
}

// ClearContent clears all requests with a content, as Clear does.
func (set *EvidenceSet) ClearContent(c identity.Content, now time.Time) []Evidence {
	var cleared []Evidence
	for _, q := range set.sortedRequests() {
		if q.Content == c {
			cleared = append(cleared, set.Clear(q, now)...)
		}
	}
	return cleared
}

// sortedRuns returns the runs with evidence in a fixed order.
func (h *crashHistory) sortedRuns() []Run {
	return slices.SortedFunc(maps.Keys(h.crashes), compareRuns)
}

// sortedRequests returns the requests with evidence in a fixed order.
func (set *EvidenceSet) sortedRequests() []identity.Request {
	return slices.SortedFunc(maps.Keys(set.requests), func(a, b identity.Request) int {
		return cmp.Or(cmp.Compare(a.Content, b.Content), cmp.Compare(a.Caller, b.Caller))
	})
}

func compareRuns(a, b Run) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartedUnixMs, b.StartedUnixMs), cmp.Compare(a.Life, b.Life))
}

// Evidence returns all evidence in a fixed order.
func (set *EvidenceSet) Evidence() []Evidence {
	var list []Evidence
	for _, q := range set.sortedRequests() {
		h := set.requests[q]
		for _, run := range h.sortedRuns() {
			list = append(list, h.crashes[run])
		}
	}
	return list
}

// Restriction says whether and how a request may run.
type Restriction struct {
	Crashes int // crashes that count against the request
	// Until is the end of the quarantine, during which the request must not run; zero:
	// it is not quarantined.
	Until time.Time
	// Isolate is set if the request may run, but not on an upstream that is running
	// another request with Isolate set. The next crash then has only one of them in
	// flight.
	Isolate bool
}

// Restriction returns the restriction on a request.
func (set *EvidenceSet) Restriction(q identity.Request, now time.Time) Restriction {
	h := set.requests[q]
	if h == nil {
		return Restriction{}
	}
	n := h.crashCount()
	v := Restriction{Crashes: n}
	if n < quarantineCrashes {
		return v
	}
	if until := h.lastCrash.Add(set.quarantine(q, h, n)); now.Before(until) {
		v.Until = until
		return v
	}
	v.Isolate = true
	return v
}

// quarantine returns the duration of the quarantine after the last crash of a request
// with the given number of crashes.
func (set *EvidenceSet) quarantine(q identity.Request, h *crashHistory, count int) time.Duration {
	if set.isPrimeSuspect(q, h, count) {
		return primeQuarantine(h.provenCount())
	}
	if count < maxCrashes {
		return 0
	}
	return min(shortQuarantine<<min(count-maxCrashes, 16), longQuarantine)
}

// isPrimeSuspect reports whether, at one of its crashes, no other request in flight
// has as many crashes as this one.
func (set *EvidenceSet) isPrimeSuspect(q identity.Request, h *crashHistory, count int) bool {
	for run, e := range h.crashes {
		if e.isCrash() && set.hasMostCrashes(run, q, count) {
			return true
		}
	}
	return false
}

// hasMostCrashes reports whether every other request in flight at the end of a run has
// fewer than crashCount crashes.
func (set *EvidenceSet) hasMostCrashes(run Run, q identity.Request, crashCount int) bool {
	for other := range set.byRun[run] {
		if other != q && set.requests[other].crashCount() >= crashCount {
			return false
		}
	}
	return true
}

// primeQuarantine returns the duration of the quarantine of a prime suspect.
func primeQuarantine(provenCrashes int) time.Duration {
	switch {
	case provenCrashes < quarantineCrashes:
		return 0
	case provenCrashes == quarantineCrashes:
		return shortQuarantine
	case provenCrashes == maxCrashes:
		return longQuarantine
	}
	return maxQuarantine
}

// Suspect describes a request that was in flight at a crash and is not cleared.
type Suspect struct {
	Fingerprint identity.Content `json:"fingerprint"`
	Caller      identity.Caller  `json:"caller"`
	Crashes     int              `json:"crashes"`
	Upstreams   []string         `json:"upstreams"` // that crashed with the request in flight
	Until       time.Time        `json:"until"`     // end of the quarantine; zero: not quarantined
}

// Suspects returns all suspects, sorted by fingerprint and caller.
func (set *EvidenceSet) Suspects(now time.Time) []Suspect {
	var list []Suspect
	for _, q := range set.sortedRequests() {
		v := set.Restriction(q, now)
		if v.Crashes == 0 {
			continue
		}
		s := Suspect{Fingerprint: q.Content, Caller: q.Caller, Crashes: v.Crashes, Until: v.Until}
		for _, run := range set.requests[q].sortedRuns() {
			if set.requests[q].crashes[run].isCrash() {
				s.Upstreams = append(s.Upstreams, run.ID)
			}
		}
		list = append(list, s)
	}
	return list
}
