package poison

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// world is some entries, the upstreams and one storage process that keeps evidence.
type world struct {
	now     time.Time
	entries []*Tracker
	kept    EvidenceSet
	down    []time.Time // when each upstream is back
	born    []int64
	crashes map[uint64]int
	served  map[uint64]bool
}

// exchange makes two books know the same.
func exchange(a, b *EvidenceSet, now time.Time) {
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
	allowedRetries = 3 // after the third crash, by the users' rule

	poisonous = 3 // fingerprints 1 to 3 crash upstreams
	requests  = 6 // fingerprints 4 to 6 are sound
)

// send plays one attempt of a request at an entry, with others on board.
func (w *world) send(t *rapid.T, entry int, fps []uint64) {
	e := w.entries[entry]
	var boarding []uint64
	alone := 0
	for _, fp := range fps {
		v := e.Restriction(fp, w.now)
		if !v.Until.IsZero() || v.Isolate && alone > 0 {
			continue
		}
		if v.Isolate {
			alone++
		}
		boarding = append(boarding, fp)
	}
	u := rapid.IntRange(0, len(w.down)-1).Draw(t, "upstream")
	if w.now.Before(w.down[u]) {
		return // refused connections: nothing runs
	}
	run := Run{ID: fmt.Sprint("u", u), StartedUnixMs: w.born[u]}
	deadly := false
	for _, fp := range boarding {
		deadly = deadly || fp <= poisonous
	}
	sent := w.now
	w.now = w.now.Add(10 * time.Millisecond)
	for _, fp := range boarding {
		if !deadly {
			w.served[fp] = true
			e.RecordResponse(run, sent, w.now)
			e.RecordSuccess(fp, w.now)
			continue
		}
		if fp <= poisonous {
			w.crashes[fp]++
		}
		e.RecordLost(run, fp, sent, w.now)
	}
	if !deadly {
		return
	}
	w.down[u] = w.now.Add(3 * time.Second)
	w.born[u]++
	e.RecordEnd(run, w.now)
}

// TestAnyOrder guards, in random order, against requests that crash upstreams
// again and again: several at once, beside sound ones, at any entry, with entries
// that start again, and evidence that is exchanged late.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: start, crashes: make(map[uint64]int), served: make(map[uint64]bool)}
		for range rapid.IntRange(1, 4).Draw(t, "entries") {
			w.entries = append(w.entries, &Tracker{})
		}
		n := rapid.IntRange(1, 5).Draw(t, "upstreams")
		w.down, w.born = make([]time.Time, n), make([]int64, n)
		pause := time.Duration(rapid.IntRange(50, 40_000).Draw(t, "pause_ms")) * time.Millisecond
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			w.now = w.now.Add(pause)
			i := rapid.IntRange(0, len(w.entries)-1).Draw(t, "entry")
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				w.entries[i] = &Tracker{}
			}
			exchange(&w.entries[i].EvidenceSet, &w.kept, w.now)
			fps := rapid.SliceOfNDistinct(rapid.Uint64Range(1, requests), 1, 4, rapid.ID).Draw(t, "requests")
			w.send(t, i, fps)
			exchange(&w.entries[i].EvidenceSet, &w.kept, w.now)
		}
		for fp, n := range w.crashes {
			if n > maxCrashes+allowedRetries {
				t.Fatalf("request %d was on board of %d crashes", fp, n)
			}
		}
		for _, e := range w.entries {
			exchange(&e.EvidenceSet, &w.kept, w.now)
		}
		for _, e := range w.entries {
			exchange(&e.EvidenceSet, &w.kept, w.now)
			if e.Digest() != w.kept.Digest() {
				t.Fatalf("different after an exchange: %+v and %+v", e.Evidence(), w.kept.Evidence())
			}
		}
		for fp := uint64(poisonous + 1); fp <= requests; fp++ {
			w.now = w.now.Add(lastQuarantine)
			e := w.entries[0]
			if v := e.Restriction(fp, w.now); !v.Until.IsZero() {
				t.Fatalf("sound request %d is refused for good: %+v", fp, v)
			}
			e.RecordSuccess(fp, w.now)
			if v := e.Restriction(fp, w.now); v.Crashes != 0 {
				t.Fatalf("sound request %d is suspected after it has run: %+v", fp, v)
			}
		}
	})
}
