package edge

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/crashreport"
	"github.com/yuccaspindle/yuccaspindle/pkg/poison"
)

// suspects keeps requests that crash upstreams from running again and again,
// and agrees on them with the other processes.
type suspects struct {
	e         *Edge
	wake      chan struct{} // something was found
	exchange  exchange
	isolation *isolation
	some      atomic.Bool // something speaks against a request
	watching  atomic.Bool // answers of upstreams matter to the tracker

	mu      sync.Mutex
	tracker poison.Tracker
	news    []poison.Evidence    // not told to the other processes yet
	probed  map[string]time.Time // when a silent upstream was probed, by address
}

func newSuspects(e *Edge) *suspects {
	return &suspects{
		e: e, wake: make(chan struct{}, 1), exchange: newExchange(),
		isolation: newIsolation(), probed: make(map[string]time.Time),
	}
}

// update changes the tracker and returns what it found, which the other
// entries will be told.
func (s *suspects) update(f func(t *poison.Tracker, now time.Time) []poison.Evidence) {
	now := time.Now()
	s.mu.Lock()
	found := f(&s.tracker, now)
	s.news = append(s.news, found...)
	s.noteLocked()
	s.mu.Unlock()
	s.log(found, "this entry")
	if len(found) > 0 {
		notify(s.wake)
	}
}

// notify wakes the goroutine that waits for a channel of one place.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// noteLocked notes what the path of requests has to look at. The caller holds the
// lock.
func (s *suspects) noteLocked() {
	s.some.Store(!s.tracker.NoSuspects())
	s.watching.Store(s.tracker.NeedsResponses())
}

func (s *suspects) log(found []poison.Evidence, source string) {
	for _, e := range found {
		s.mu.Lock()
		v := s.tracker.Restriction(e.Fingerprint, time.Now())
		s.mu.Unlock()
		msg := "request suspected of a crash"
		switch {
		case e.Grade == poison.Cleared:
			msg = "request cleared of a crash"
		case !v.Until.IsZero():
			msg = "request quarantined"
		}
		s.e.logger.Info(msg, "fingerprint", hex(e.Fingerprint), "upstream", e.Run.ID, "born", e.Run.StartedUnixMs, "life", e.Run.Life,
			"grade", e.Grade, "crashes", v.Crashes, "until", v.Until, "alone", v.Isolate, "source", source)
		s.e.metrics.suspect(msg)
	}
}

// Report implements crashreport.Replica.
func (s *suspects) Report(complete bool) *peerv1.CrashReport {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []poison.Evidence
	if complete {
		list = s.tracker.Evidence()
	}
	return crashreport.New(&s.tracker.EvidenceSet, list, now)
}

// Merge implements crashreport.Replica.
func (s *suspects) Merge(report *peerv1.CrashReport, peer string) {
	now := time.Now()
	s.mu.Lock()
	added := crashreport.Merge(&s.tracker.EvidenceSet, report, now)
	s.noteLocked()
	s.mu.Unlock()
	s.log(added, peer)
}

// Release clears a request of all crashes, on every process, and reports whether
// anything spoke against it.
func (e *Edge) Release(fingerprint uint64) bool {
	released := false
	e.suspects.update(func(t *poison.Tracker, now time.Time) []poison.Evidence {
		cleared := t.Clear(fingerprint, now)
		released = len(cleared) > 0
		return cleared
	})
	return released
}
