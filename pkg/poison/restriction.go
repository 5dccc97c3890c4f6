package poison

import (
	"maps"
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/identity"
)

const (
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

	// separateCrashes is the time between crashes from which they count as separate ones
	// while requests that look alike complete: many that are harmless may be in flight
	// when several upstreams end at once.
	separateCrashes = 500 * time.Millisecond
	// mixedClearTime is how long after its last crash a request whose caller is not single
	// is cleared by a success: until then the success may be another caller's.
	mixedClearTime = 30 * time.Second
	// maxCompletedCallers is the number of callers that completed a content from which it
	// is too common to be suspected by itself.
	maxCompletedCallers = 64
)

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

// Restriction returns the restriction on a request. It follows from the evidence against
// the request itself and, if that doesn't quarantine it, from the evidence against
// requests with the same content.
func (set *EvidenceSet) Restriction(q identity.Request, now time.Time) Restriction {
	v := set.ownRestriction(q, now)
	if !v.Until.IsZero() {
		return v
	}
	if until := set.contentQuarantineEnd(q); now.Before(until) {
		v.Until, v.Isolate = until, false
	}
	return v
}

// ownRestriction returns the restriction that follows from the crashes with the request
// itself in flight.
func (set *EvidenceSet) ownRestriction(q identity.Request, now time.Time) Restriction {
	h := set.requests[q]
	if h == nil {
		return Restriction{}
	}
	n := h.crashCount()
	v := Restriction{Crashes: n}
	if !q.Caller.Single() && (h.completed() || h.mixedQuarantines() > 0) {
		if until := set.mixedQuarantineEnd(q, h, n); now.Before(until) {
			v.Until = until
		}
		return v
	}
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
		if other != q && set.requests[other].crashes[run].isCrash() && set.isAsSuspect(other, q, crashCount) {
			return false
		}
	}
	return true
}

// isAsSuspect reports whether a crash speaks against other as much as against q, which was
// in flight at crashCount crashes. A request that also completes yields to one that never
// does, if that has its content or was in flight at several crashes. The crashes of a request
// count with those of others with its content that have not completed: the caller may be
// another one each time.
func (set *EvidenceSet) isAsSuspect(other, q identity.Request, crashCount int) bool {
	h, completes := set.requests[other], set.requests[q].completed()
	switch {
	case h.completed() && !completes:
		return false
	case h.crashCount() >= crashCount:
		return true
	case other.Content == q.Content:
		return completes && !h.completed()
	case completes && !h.completed() && h.crashCount() >= quarantineCrashes:
		return true
	}
	return set.contentCrashCount(other.Content) >= crashCount
}

// contentCrashCount returns the number of crashes with a request of the content in flight
// that has not completed.
func (set *EvidenceSet) contentCrashCount(c identity.Content) int {
	runs := make(map[Run]bool)
	for q := range set.byContent[c] {
		h := set.requests[q]
		if h.completed() {
			continue
		}
		for run, e := range h.crashes {
			if e.isCrash() {
				runs[run] = true
			}
		}
	}
	return len(runs)
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

// mixedQuarantineEnd returns the end of the quarantine of a request that crashes upstreams
// and completes, so that several callers seem to send it; zero: none. It doubles with each
// further crash, also if a success cleared the earlier ones: then one crash is enough.
func (set *EvidenceSet) mixedQuarantineEnd(q identity.Request, h *crashHistory, count int) time.Time {
	var times []time.Time // of the crashes of which it is the prime suspect
	for run, e := range h.crashes {
		if e.isCrash() && set.hasMostCrashes(run, q, count) {
			times = append(times, e.At)
		}
	}
	earlier, n := h.mixedQuarantines(), countSeparate(times)
	if earlier == 0 && n < maxCrashes || n == 0 {
		return time.Time{}
	}
	if earlier == 0 {
		n -= maxCrashes - 1
	}
	return h.lastCrash.Add(min(shortQuarantine<<min(earlier+n-1, 16), longQuarantine))
}

// mixedQuarantines returns how many quarantines by mixedQuarantineEnd were followed by a
// success that cleared their crashes, not counting those that are long ago.
func (h *crashHistory) mixedQuarantines() int {
	n := 0
	for run := range h.crashes {
		if run.isNone() {
			n = max(n, int(run.Life))
		}
	}
	return n
}

// countSeparate returns how many of the times are separateCrashes apart.
func countSeparate(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	n := 0
	var last time.Time
	for _, at := range times {
		if n == 0 || at.Sub(last) >= separateCrashes {
			n, last = n+1, at
		}
	}
	return n
}

// contentQuarantineEnd returns until when a request must not run because requests of
// several other callers with the same content crash upstreams; zero: it may. A caller that
// completed the content is not concerned.
func (set *EvidenceSet) contentQuarantineEnd(q identity.Request) time.Time {
	same := set.byContent[q.Content]
	if len(same) < maxCrashes {
		return time.Time{}
	}
	if h := set.requests[q]; h != nil && h.completed() {
		return time.Time{}
	}
	times, completed := set.unexplainedCrashes(same)
	n := len(times)
	if completed > 0 {
		n = countSeparate(times)
	}
	if n < maxCrashes || completed >= maxCompletedCallers {
		return time.Time{}
	}
	last := slices.MaxFunc(times, time.Time.Compare)
	if completed > 0 {
		return last.Add(shortQuarantine)
	}
	return last.Add(min(shortQuarantine<<min(n-maxCrashes, 16), longQuarantine))
}

// unexplainedCrashes returns the times of the crashes with any of the requests in flight,
// which have the same content, and the number of the requests that completed. It returns no
// times if a single one of the requests accounts for most of the crashes. Crashes for which
// requests with other contents account are left out.
func (set *EvidenceSet) unexplainedCrashes(requests map[identity.Request]bool) (times []time.Time, completed int) {
	at := make(map[Run]time.Time)
	most := 0
	for q := range requests {
		h := set.requests[q]
		if h.completed() {
			completed++
		}
		accounted := 0
		for run, e := range h.crashes {
			if !e.isCrash() || set.isExplained(run, q.Content) {
				continue
			}
			if e.At.After(at[run]) {
				at[run] = e.At
			}
			if set.accountsFor(q, run) {
				accounted++
			}
		}
		most = max(most, accounted)
	}
	if most >= quarantineCrashes && 2*most > len(at) {
		return nil, completed
	}
	return slices.Collect(maps.Values(at)), completed
}

// isExplained reports whether a request with another content accounts for a crash.
func (set *EvidenceSet) isExplained(run Run, content identity.Content) bool {
	for q := range set.byRun[run] {
		if q.Content != content && set.requests[q].crashCount() >= quarantineCrashes && set.accountsFor(q, run) {
			return true
		}
	}
	return false
}

// accountsFor reports whether a request may have caused the end of a run. One that also
// completes may have only if no other suspect of its content was in flight.
func (set *EvidenceSet) accountsFor(q identity.Request, run Run) bool {
	h := set.requests[q]
	return h.crashes[run].isCrash() && (!h.completed() || set.hasMostCrashes(run, q, h.crashCount()))
}

// RecordCompleted records that a request completed, and returns the resulting evidence. It
// clears a request of a single caller. Others are cleared only if they have not crashed an
// upstream for some time. Callers that complete a suspected content are remembered.
func (set *EvidenceSet) RecordCompleted(q identity.Request, now time.Time) []Evidence {
	var found []Evidence
	switch h := set.requests[q]; {
	case h == nil:
	case q.Caller.Single():
		found = set.Clear(q, now)
	default:
		found = set.clearMixed(q, h, now)
	}
	if !set.needsCompleted(q) {
		return found
	}
	if e := (Evidence{Request: q, Run: completedRun, Grade: Cleared, At: now}); set.Add(e, now) {
		found = append(found, e)
	}
	return found
}

// clearMixed clears a request whose caller is not single if its last crash is long ago, and
// its quarantine is over. The quarantine is remembered: the success may be another caller's.
func (set *EvidenceSet) clearMixed(q identity.Request, h *crashHistory, now time.Time) []Evidence {
	until := set.mixedQuarantineEnd(q, h, h.crashCount())
	if now.Sub(h.lastCrash) < mixedClearTime || now.Before(until) {
		return nil
	}
	earlier := h.mixedQuarantines()
	found := set.Clear(q, now)
	if until.IsZero() {
		return found
	}
	e := Evidence{Request: q, Run: mixedQuarantine(earlier + 1), Grade: Cleared, At: now}
	if set.Add(e, now) {
		found = append(found, e)
	}
	return found
}

// needsCompleted reports whether a restriction may depend on that a request completed: its
// content is suspected, and it is not known yet to be too common to be suspected by itself,
// or crashes count against the request, which others behind its address may send, too.
func (set *EvidenceSet) needsCompleted(q identity.Request) bool {
	suspected, completed := false, 0
	for other := range set.byContent[q.Content] {
		h := set.requests[other]
		suspected = suspected || h.crashCount() > 0
		if h.completed() {
			completed++
		}
	}
	h := set.requests[q]
	return suspected && (completed < maxCompletedCallers || h != nil && h.crashCount() > 0)
}
