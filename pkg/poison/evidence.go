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

// completedRun stands for no run: evidence about it, always with grade Cleared, records that
// the request completed while a request with its content was suspected.
var completedRun Run

// mixedQuarantine stands for no run either: evidence about it, always with grade Cleared,
// records that a request whose caller is not single completed after its n-th quarantine, so
// that its crashes were cleared.
func mixedQuarantine(n int) Run { return Run{Life: uint32(n)} }

// isNone reports whether the run stands for none.
func (r Run) isNone() bool { return r.ID == "" && r.StartedUnixMs == 0 }

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

// isValid reports whether the evidence may be merged into a set.
func (e Evidence) isValid() bool {
	return e.Request.Known() && e.Grade >= Presumed && e.Grade <= Cleared && (!e.Run.isNone() || e.Grade == Cleared)
}

// ttl returns how long the evidence is kept.
func (e Evidence) ttl() time.Duration {
	// Callers behind one address that complete a request can't show it again while it is
	// quarantined because of others, so it is known as long as their crashes.
	keepCompleted := e.Run == completedRun && !e.Request.Caller.Single()
	if e.Grade == Cleared && !keepCompleted {
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

// completed reports whether the request completed while it, or another one with its
// content, was suspected. That evidence was cleared does not show it: the upstream may just
// have turned out to run.
func (h *crashHistory) completed() bool {
	_, ok := h.crashes[completedRun]
	return ok
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
	byRun        map[Run]map[identity.Request]bool              // requests with evidence about a run
	byContent    map[identity.Content]map[identity.Request]bool // requests with evidence
	digest       uint64
	suspectCount int // requests with evidence that counts as a crash
}

// Digest returns a hash of all evidence, or 0 if there is none.
func (set *EvidenceSet) Digest() uint64 { return set.digest }

// NoSuspects reports whether no evidence counts as a crash against any request.
func (set *EvidenceSet) NoSuspects() bool { return set.suspectCount == 0 }

// Add merges evidence into the set and reports whether it was new.
func (set *EvidenceSet) Add(e Evidence, now time.Time) bool {
	if !e.isValid() {
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
		set.byContent = make(map[identity.Content]map[identity.Request]bool)
	}
	set.requests[e.Request] = h
	if set.byContent[e.Request.Content] == nil {
		set.byContent[e.Request.Content] = make(map[identity.Request]bool)
	}
	set.byContent[e.Request.Content][e.Request] = true
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
	set.removeRequest(q)
}

// removeRequest removes a request whose evidence was removed.
func (set *EvidenceSet) removeRequest(q identity.Request) {
	delete(set.requests, q)
	delete(set.byContent[q.Content], q)
	if len(set.byContent[q.Content]) == 0 {
		delete(set.byContent, q.Content)
	}
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
			set.removeRequest(q)
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
