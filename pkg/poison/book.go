package poison

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// evidenceTime is how long a crash speaks against a request: longer than the
	// longest quarantine and the crashes before it, so that one more afterwards is
	// not the first again.
	evidenceTime = 48 * time.Hour
	// clearedTime is how long it is remembered that a request is cleared: other
	// processes must hear of it.
	clearedTime = 10 * time.Minute
	// maxRequests bounds the requests that are remembered.
	maxRequests = 4096

	// convictingCrashes is the number of crashes after which a request is refused
	// that stands out among those on board.
	convictingCrashes = 2
	// maxCrashes is the number of crashes after which a request is refused in any
	// case.
	maxCrashes = 3

	// shortQuarantine follows a conviction that chance may explain. It doubles with
	// each crash that does not tell the requests on board apart.
	shortQuarantine = 30 * time.Second
	longQuarantine  = time.Hour
	lastQuarantine  = 24 * time.Hour
)

// Run names one run of an upstream.
type Run struct {
	ID            string
	StartedUnixMs int64 // Unix ms of its start
	// Life tells runs apart that the platform has not told apart yet: it counts the
	// ends after which an upstream answered again under the same ID and StartedUnixMs.
	Life uint32
}

// Grade tells what is believed of a request that was on board when an upstream
// ended. A higher grade replaces a lower one, in whatever order processes hear of
// them.
type Grade int

// Grades.
const (
	// Presumed: the upstream fell silent and can not be reached.
	Presumed Grade = iota + 1
	// Confirmed: the upstream has crashed.
	Confirmed
	// Cleared: the request has run to its end since, or the upstream lives.
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

// Evidence says that a request was on board of a crash.
type Evidence struct {
	Fingerprint uint64
	Run         Run
	Grade       Grade
	At          time.Time // when the crash was noticed first
}

// counts reports whether the evidence speaks against its request.
func (e Evidence) counts() bool { return e.Grade == Presumed || e.Grade == Confirmed }

// keptFor is how long the evidence is remembered.
func (e Evidence) keptFor() time.Duration {
	if e.Grade == Cleared {
		return clearedTime
	}
	return evidenceTime
}

// digest is a hash of what the evidence says.
func (e Evidence) digest() uint64 {
	b := binary.LittleEndian.AppendUint64(nil, e.Fingerprint)
	b = binary.LittleEndian.AppendUint64(b, uint64(e.Run.StartedUnixMs))
	b = binary.LittleEndian.AppendUint32(b, e.Run.Life)
	b = append(b, byte(e.Grade))
	return xxhash.Sum64(append(b, e.Run.ID...))
}

// request is what is known of the requests with one fingerprint.
type request struct {
	crashes map[Run]Evidence
	last    time.Time // of the newest evidence that counts; zero: none counts
	newest  time.Time // of the newest evidence of any grade
}

func (r *request) count() int {
	n := 0
	for _, e := range r.crashes {
		if e.counts() {
			n++
		}
	}
	return n
}

func (r *request) presumed() bool {
	for _, e := range r.crashes {
		if e.Grade == Presumed {
			return true
		}
	}
	return false
}

// update computes the times after a change.
func (r *request) update() {
	r.last, r.newest = time.Time{}, time.Time{}
	for _, e := range r.crashes {
		if e.At.After(r.newest) {
			r.newest = e.At
		}
		if e.counts() && e.At.After(r.last) {
			r.last = e.At
		}
	}
}

// EvidenceSet holds all evidence. Books that have heard the same, in any order and any
// number of times, hold the same. The zero value is ready for use.
type EvidenceSet struct {
	requests map[uint64]*request
	onBoard  map[Run]map[uint64]bool // fingerprints by crash
	digest   uint64
	counting int // requests with evidence that counts
}

// Digest returns a hash of all evidence, 0 without any.
func (b *EvidenceSet) Digest() uint64 { return b.digest }

// NoSuspects reports whether nothing speaks against any request.
func (b *EvidenceSet) NoSuspects() bool { return b.counting == 0 }

// Add takes over evidence and reports whether it was new.
func (b *EvidenceSet) Add(e Evidence, now time.Time) bool {
	if e.Fingerprint == 0 || e.Grade < Presumed || e.Grade > Cleared {
		return false
	}
	if e.At.After(now) {
		e.At = now
	}
	r := b.requests[e.Fingerprint]
	if r == nil {
		r = &request{crashes: make(map[Run]Evidence)}
	}
	old, known := r.crashes[e.Run]
	if known && old.Grade >= e.Grade {
		return false
	}
	if known && e.Grade != Cleared {
		e.At = old.At
	}
	if now.Sub(e.At) >= e.keptFor() {
		return false
	}
	if known {
		b.digest ^= old.digest()
	}
	before := r.count()
	r.crashes[e.Run] = e
	r.update()
	b.note(e, r)
	b.recount(before, r.count())
	b.shrink(e.Fingerprint)
	return true
}

// note enters evidence into the indexes.
func (b *EvidenceSet) note(e Evidence, r *request) {
	if b.requests == nil {
		b.requests = make(map[uint64]*request)
		b.onBoard = make(map[Run]map[uint64]bool)
	}
	b.requests[e.Fingerprint] = r
	if b.onBoard[e.Run] == nil {
		b.onBoard[e.Run] = make(map[uint64]bool)
	}
	b.onBoard[e.Run][e.Fingerprint] = true
	b.digest ^= e.digest()
}

func (b *EvidenceSet) recount(before, after int) {
	switch {
	case before == 0 && after > 0:
		b.counting++
	case before > 0 && after == 0:
		b.counting--
	}
}

// shrink forgets the request that matters least if there are too many, but not
// the one that was just added.
func (b *EvidenceSet) shrink(added uint64) {
	if len(b.requests) <= maxRequests {
		return
	}
	var least uint64
	var leastRequest *request
	for fp, r := range b.requests {
		if fp != added && (leastRequest == nil || r.lessThan(leastRequest)) {
			least, leastRequest = fp, r
		}
	}
	b.forget(least)
}

// lessThan orders requests by what is lost if they are forgotten.
func (r *request) lessThan(other *request) bool {
	if a, b := min(r.count(), convictingCrashes), min(other.count(), convictingCrashes); a != b {
		return a < b
	}
	return r.newest.Before(other.newest)
}

func (b *EvidenceSet) forget(fp uint64) {
	r := b.requests[fp]
	b.recount(r.count(), 0)
	for _, e := range r.crashes {
		b.drop(e)
	}
	delete(b.requests, fp)
}

// Expire forgets evidence that is too old.
func (b *EvidenceSet) Expire(now time.Time) {
	for fp, r := range b.requests {
		before := r.count()
		for run, e := range r.crashes {
			if now.Sub(e.At) >= e.keptFor() {
				delete(r.crashes, run)
				b.drop(e)
			}
		}
		b.recount(before, r.count())
		r.update()
		if len(r.crashes) == 0 {
			delete(b.requests, fp)
		}
	}
}

// drop takes evidence out of the indexes.
func (b *EvidenceSet) drop(e Evidence) {
	b.digest ^= e.digest()
	delete(b.onBoard[e.Run], e.Fingerprint)
	if len(b.onBoard[e.Run]) == 0 {
		delete(b.onBoard, e.Run)
	}
}

// Clear clears a request that has run to its end and returns the evidence that
// says so.
func (b *EvidenceSet) Clear(fp uint64, now time.Time) []Evidence {
	r := b.requests[fp]
	if r == nil {
		return nil
	}
	var cleared []Evidence
	for _, run := range r.runs() {
		e := r.crashes[run]
		if !e.counts() {
			continue
		}
		e.Grade, e.At = Cleared, now
		b.Add(e, now)
		cleared = append(cleared, e)
	}
	return cleared
}

// runs returns the crashes in a fixed order.
func (r *request) runs() []Run {
	return slices.SortedFunc(maps.Keys(r.crashes), compareRuns)
}

func compareRuns(a, b Run) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartedUnixMs, b.StartedUnixMs), cmp.Compare(a.Life, b.Life))
}

// Evidence returns all evidence in a fixed order.
func (b *EvidenceSet) Evidence() []Evidence {
	var list []Evidence
	for _, fp := range slices.Sorted(maps.Keys(b.requests)) {
		r := b.requests[fp]
		for _, run := range r.runs() {
			list = append(list, r.crashes[run])
		}
	}
	return list
}

// Restriction is what is to be done with a request.
type Restriction struct {
	Crashes int // crashes that count
	// Until is the end of the quarantine of a request that must not run; zero: it
	// may run.
	Until time.Time
	// Isolate is set if the request may run, but not beside another one of which the
	// same is true: the next crash shall tell which of them it was.
	Isolate bool
}

// Restriction judges the requests with a fingerprint.
func (b *EvidenceSet) Restriction(fp uint64, now time.Time) Restriction {
	r := b.requests[fp]
	if r == nil {
		return Restriction{}
	}
	n := r.count()
	v := Restriction{Crashes: n}
	if n < convictingCrashes {
		return v
	}
	if until := r.last.Add(quarantine(n, b.standsOut(fp, r, n))); now.Before(until) {
		v.Until = until
		return v
	}
	v.Isolate = true
	return v
}

// standsOut reports whether a request explains one of its crashes better than any
// other one on board. Crashes that are only presumed take as many as maxCrashes.
func (b *EvidenceSet) standsOut(fp uint64, r *request, count int) bool {
	if count < maxCrashes && r.presumed() {
		return false
	}
	for run, e := range r.crashes {
		if e.counts() && b.mostSuspected(run, fp, count) {
			return true
		}
	}
	return false
}

func (b *EvidenceSet) mostSuspected(run Run, fp uint64, count int) bool {
	for other := range b.onBoard[run] {
		if other != fp && b.requests[other].count() >= count {
			return false
		}
	}
	return true
}

// quarantine returns how long a request is refused after its last crash.
func quarantine(crashes int, standsOut bool) time.Duration {
	switch {
	case crashes < convictingCrashes:
		return 0
	case !standsOut && crashes < maxCrashes:
		return 0
	case !standsOut:
		return min(shortQuarantine<<min(crashes-maxCrashes, 16), longQuarantine)
	case crashes == convictingCrashes:
		return shortQuarantine
	case crashes == maxCrashes:
		return longQuarantine
	}
	return lastQuarantine
}

// Suspect is a request against which something speaks.
type Suspect struct {
	Fingerprint uint64    `json:"fingerprint"`
	Crashes     int       `json:"crashes"`
	Upstreams   []string  `json:"upstreams"` // that ended with it on board
	Until       time.Time `json:"until"`     // end of its quarantine; zero: it may run
}

// Suspects returns the requests against which something speaks, in order of
// fingerprint.
func (b *EvidenceSet) Suspects(now time.Time) []Suspect {
	var list []Suspect
	for _, fp := range slices.Sorted(maps.Keys(b.requests)) {
		v := b.Restriction(fp, now)
		if v.Crashes == 0 {
			continue
		}
		s := Suspect{Fingerprint: fp, Crashes: v.Crashes, Until: v.Until}
		for _, run := range b.requests[fp].runs() {
			if b.requests[fp].crashes[run].counts() {
				s.Upstreams = append(s.Upstreams, run.ID)
			}
		}
		list = append(list, s)
	}
	return list
}
