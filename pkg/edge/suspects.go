package edge

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/crashreport"
	"github.com/yuccaspindle/yuccaspindle/pkg/identity"
	"github.com/yuccaspindle/yuccaspindle/pkg/poison"
)

// suspects keeps requests that crash upstreams from running again, and shares the
// evidence with the other processes.
type suspects struct {
	e           *Edge
	wake        chan struct{} // there are unsent findings
	exchanger   exchanger
	isolation   *isolation
	hasSuspects atomic.Bool // there is evidence against a request
	tracking    atomic.Bool // the tracker needs to know of upstream responses

	mu      sync.Mutex
	tracker poison.Tracker
	unsent  []poison.Evidence    // findings not yet sent to the other processes
	probed  map[string]time.Time // time of the last probe of an unresponsive upstream, by address
	watched map[poison.Run]bool  // runs at which attempts were given up
}

func newSuspects(e *Edge) *suspects {
	return &suspects{
		e: e, wake: make(chan struct{}, 1), exchanger: newExchanger(),
		isolation: newIsolation(), probed: make(map[string]time.Time), watched: make(map[poison.Run]bool),
	}
}

// update changes the tracker. It logs the resulting findings and queues them for the
// other processes.
func (s *suspects) update(f func(t *poison.Tracker, now time.Time) []poison.Evidence) {
	now := time.Now()
	s.mu.Lock()
	found := f(&s.tracker, now)
	s.unsent = append(s.unsent, found...)
	discounted := s.tracker.TakeDiscounted()
	s.updateFlagsLocked()
	s.mu.Unlock()
	s.logDiscounted(discounted)
	s.log(found, "this entry")
	if len(found) > 0 {
		notify(s.wake)
	}
}

// notify sends to a channel with a buffer of one without blocking.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// updateFlagsLocked updates the flags that requests check without the lock. The
// caller holds the lock.
func (s *suspects) updateFlagsLocked() {
	s.hasSuspects.Store(!s.tracker.NoSuspects())
	s.tracking.Store(s.tracker.NeedsResponses())
}

func (s *suspects) log(found []poison.Evidence, source string) {
	for _, e := range found {
		s.mu.Lock()
		v := s.tracker.Restriction(e.Request, time.Now())
		s.mu.Unlock()
		msg := "request suspected of a crash"
		switch {
		case e.Grade == poison.Cleared:
			msg = "request cleared of a crash"
		case !v.Until.IsZero():
			msg = "request quarantined"
		}
		s.e.logger.Info(msg, "fingerprint", e.Request.Content, "caller", e.Request.Caller, "upstream", e.Run.ID, "born", e.Run.StartedUnixMs, "life", e.Run.Life,
			"grade", e.Grade, "crashes", v.Crashes, "until", v.Until, "alone", v.Isolate, "source", source)
		s.e.metrics.suspectFinding(msg)
	}
}

// logDiscounted logs lost attempts that no longer count as evidence.
func (s *suspects) logDiscounted(list []poison.Discounted) {
	for _, d := range list {
		s.e.logger.Info("lost attempt discounted", "fingerprint", d.Request.Content, "caller", d.Request.Caller, "upstream", d.Run.ID, "born", d.Run.StartedUnixMs,
			"life", d.Run.Life, "reason", string(d.Reason))
		s.e.metrics.lostAttemptDiscounted(string(d.Reason))
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
	s.updateFlagsLocked()
	s.mu.Unlock()
	s.log(added, peer)
}

// Release clears the requests with a content of all crashes, on every process, and
// reports whether there was any evidence against them.
func (e *Edge) Release(content identity.Content) bool {
	released := false
	e.suspects.update(func(t *poison.Tracker, now time.Time) []poison.Evidence {
		cleared := t.ClearContent(content, now)
		released = len(cleared) > 0
		return cleared
	})
	return released
}
