package poison

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulation holds some entries, the upstreams and the evidence that a storage process
// keeps.
type simulation struct {
	now           time.Time
	entries       []*Tracker
	stored        EvidenceSet
	downUntil     []time.Time // by upstream
	startedUnixMs []int64
	crashes       map[int]int
	served        map[int]bool
}

// syncEvidence merges each of two sets into the other.
func syncEvidence(a, b *EvidenceSet, now time.Time) {
	a.Expire(now)
	b.Expire(now)
	for _, e := range a.Evidence() {
		b.Add(e, now)
	}
	for _, e := range b.Evidence() {
		a.Add(e, now)
	}
}

const (
	allowedRetries = 3 // further crashes that are acceptable after the third

	poisonRequests = 3 // requests 1 to 3 crash upstreams
	totalRequests  = 6 // requests 4 to 6 are sound
)

// send simulates one attempt of each request at one entry and upstream.
func (w *simulation) send(t *rapid.T, entry int, fps []int) {
	e := w.entries[entry]
	var sending []int
	alone := 0
	for _, fp := range fps {
		v := e.Restriction(request(fp), w.now)
		if !v.Until.IsZero() || v.Isolate && alone > 0 {
			continue
		}
		if v.Isolate {
			alone++
		}
		sending = append(sending, fp)
	}
	u := rapid.IntRange(0, len(w.downUntil)-1).Draw(t, "upstream")
	if w.now.Before(w.downUntil[u]) {
		return // the connection is refused, so nothing runs
	}
	run := Run{ID: fmt.Sprint("u", u), StartedUnixMs: w.startedUnixMs[u]}
	crashing := false
	for _, fp := range sending {
		crashing = crashing || fp <= poisonRequests
	}
	sent := w.now
	w.now = w.now.Add(10 * time.Millisecond)
	for _, fp := range sending {
		if !crashing {
			w.served[fp] = true
			e.RecordResponse(run, Response{SentAt: sent}, w.now)
			e.RecordSuccess(request(fp), w.now)
			continue
		}
		if fp <= poisonRequests {
			w.crashes[fp]++
		}
		e.RecordLost(run, request(fp), sent, w.now)
	}
	if !crashing {
		return
	}
	w.downUntil[u] = w.now.Add(3 * time.Second)
	w.startedUnixMs[u]++
	e.RecordEnd(run, End{Announced: rapid.Bool().Draw(t, "announced"), Sign: rapid.SampledFrom([]Sign{Refused, Removed, Replaced}).Draw(t, "sign")}, w.now)
}

// TestAnyOrder guards, over random sequences, against requests that crash upstreams
// without limit: several at once, together with sound ones, at any entry, with
// restarts of entries and late exchange of evidence.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{now: start, crashes: make(map[int]int), served: make(map[int]bool)}
		for range rapid.IntRange(1, 4).Draw(t, "entries") {
			w.entries = append(w.entries, &Tracker{})
		}
		n := rapid.IntRange(1, 5).Draw(t, "upstreams")
		w.downUntil, w.startedUnixMs = make([]time.Time, n), make([]int64, n)
		pause := time.Duration(rapid.IntRange(50, 40_000).Draw(t, "pause_ms")) * time.Millisecond
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			w.now = w.now.Add(pause)
			i := rapid.IntRange(0, len(w.entries)-1).Draw(t, "entry")
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				w.entries[i] = &Tracker{}
			}
			syncEvidence(&w.entries[i].EvidenceSet, &w.stored, w.now)
			fps := rapid.SliceOfNDistinct(rapid.IntRange(1, totalRequests), 1, 4, rapid.ID[int]).Draw(t, "requests")
			w.send(t, i, fps)
			syncEvidence(&w.entries[i].EvidenceSet, &w.stored, w.now)
		}
		for fp, n := range w.crashes {
			if n > maxCrashes+allowedRetries {
				t.Fatalf("request %d was in flight at %d crashes", fp, n)
			}
		}
		for _, e := range w.entries {
			syncEvidence(&e.EvidenceSet, &w.stored, w.now)
		}
		for _, e := range w.entries {
			syncEvidence(&e.EvidenceSet, &w.stored, w.now)
			if e.Digest() != w.stored.Digest() {
				t.Fatalf("evidence differs after an exchange: %+v and %+v", e.Evidence(), w.stored.Evidence())
			}
		}
		for fp := poisonRequests + 1; fp <= totalRequests; fp++ {
			w.now = w.now.Add(maxQuarantine)
			e := w.entries[0]
			if v := e.Restriction(request(fp), w.now); !v.Until.IsZero() {
				t.Fatalf("sound request %d is still refused after the longest quarantine: %+v", fp, v)
			}
			e.RecordSuccess(request(fp), w.now)
			if v := e.Restriction(request(fp), w.now); v.Crashes != 0 {
				t.Fatalf("sound request %d is suspected after it completed: %+v", fp, v)
			}
		}
	})
}
