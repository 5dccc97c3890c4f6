package edge

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/attempt"
	"github.com/yuccaspindle/yuccaspindle/pkg/crashreport"
	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/pkg/poison"
	"github.com/yuccaspindle/yuccaspindle/pkg/upstream"
)

// suspects keeps requests that crash upstreams from running again and again,
// and agrees on them with the other processes.
type suspects struct {
	e        *Edge
	wake     chan struct{} // something was found
	ask      chan struct{} // this entry may have missed what others found
	told     chan struct{} // closed once this entry knows what others found before it started
	some     atomic.Bool   // something speaks against a request
	watching atomic.Bool   // answers of upstreams matter to the tracker

	mu      sync.Mutex
	tracker poison.Tracker
	news    []poison.Evidence // not told to the other processes yet
	alone   isolation
	probed  map[string]time.Time // when a silent upstream was probed, by address
}

func newSuspects(e *Edge) *suspects {
	return &suspects{e: e, wake: make(chan struct{}, 1), ask: make(chan struct{}, 1), told: make(chan struct{}), alone: newIsolation(), probed: make(map[string]time.Time)}
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
	s.some.Store(!s.tracker.Clean())
	s.watching.Store(s.tracker.Watching())
}

func (s *suspects) log(found []poison.Evidence, source string) {
	for _, e := range found {
		s.mu.Lock()
		v := s.tracker.Verdict(e.Fingerprint, time.Now())
		s.mu.Unlock()
		msg := "request suspected of a crash"
		switch {
		case e.Grade == poison.Cleared:
			msg = "request cleared of a crash"
		case !v.Until.IsZero():
			msg = "request quarantined"
		}
		s.e.logger.Info(msg, "fingerprint", hex(e.Fingerprint), "upstream", e.Run.ID, "born", e.Run.Born, "life", e.Run.Life,
			"grade", e.Grade, "crashes", v.Crashes, "until", v.Until, "alone", v.Alone, "source", source)
		s.e.metrics.suspect(msg)
	}
}

// Report implements crashreport.Holder.
func (s *suspects) Report(complete bool) *peerv1.CrashReport {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []poison.Evidence
	if complete {
		list = s.tracker.Evidence()
	}
	return crashreport.New(&s.tracker.Book, list, now)
}

// Take implements crashreport.Holder.
func (s *suspects) Take(report *peerv1.CrashReport, peer string) {
	now := time.Now()
	s.mu.Lock()
	added := crashreport.Take(&s.tracker.Book, report, now)
	s.noteLocked()
	s.mu.Unlock()
	s.log(added, peer)
}

// hex writes a fingerprint as logs and the status show it.
func hex(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }

// fingerprint is the same for requests that make upstreams do the same. The
// caller is part of it where there is no body. It is computed once the body is
// complete.
func (c *call) fingerprint() uint64 {
	if c.hash != 0 {
		return c.hash
	}
	h := xxhash.New()
	for _, part := range []string{c.r.Host, c.r.Method, c.r.RequestURI, c.req.ParentTurn} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	if len(c.body) == 0 {
		_, _ = h.WriteString(c.req.Program)
	}
	_, _ = h.Write(c.body)
	c.hash = max(h.Sum64(), 1)
	return c.hash
}

// quarantined refuses a request that has crashed upstreams before, and one that
// may be such a request while another copy of it runs.
func (c *call) quarantined() bool {
	c.alone = false
	s := c.e.suspects
	if !s.some.Load() {
		return false
	}
	now := time.Now()
	s.mu.Lock()
	v := s.tracker.Verdict(c.fingerprint(), now)
	runs := v.Alone && s.alone.runs(c.fingerprint())
	s.mu.Unlock()
	c.alone = v.Alone
	why, wait := "request crashes upstreams", v.Until.Sub(now)
	switch {
	case runs:
		why, wait = "a suspected request runs alone", retryFull
	case v.Until.IsZero():
		return false
	}
	if c.tracker.Ran() || c.answered {
		c.finish(c.tracker.Unplaced(), why)
		return true
	}
	c.refuse(http.StatusServiceUnavailable, wait, why)
	return true
}

// occupied reports whether a suspected request runs at an upstream, beside which
// another one must not run.
func (c *call) occupied(id string) bool {
	if !c.alone {
		return false
	}
	s := c.e.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.alone.occupied(id)
}

// enter notes that the request of a call goes to an upstream, leave that it has
// ended there.
func (c *call) enter(m *fleet.Member) {
	if !c.alone {
		return
	}
	s := c.e.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	s.alone.enter(m.ID, c.fingerprint())
}

func (c *call) leave(m *fleet.Member) {
	if !c.alone {
		return
	}
	s := c.e.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	s.alone.leave(m.ID, c.fingerprint())
}

// noteCrash tells the tracker how an attempt ended.
func (c *call) noteCrash(m *fleet.Member, o attempt.Outcome, resp *upstream.Response, err error) {
	run := poison.Run{ID: m.ID, Born: m.Born}
	var ue *upstream.Error
	failed := errors.As(err, &ue)
	switch {
	case o == attempt.Rejected && resp.Status == http.StatusMisdirectedRequest:
		c.e.suspects.ended(run) // another one has its address
	case o == attempt.Answered || o == attempt.Rejected || outOfBounds(err):
		c.noteAnswer(run, o, resp)
	case o == attempt.NotSent:
		if errors.Is(err, syscall.ECONNREFUSED) {
			c.e.suspects.ended(run)
		}
	case failed && ue.Sent:
		c.e.metrics.lostAttempt(ue.Timeout())
		c.lost(run)
		go c.e.suspects.probe(run, m.Address, c.connectionLimit(), ue.Timeout())
	}
}

// noteAnswer notes that an upstream lives, and that the request did it no harm.
func (c *call) noteAnswer(run poison.Run, o attempt.Outcome, resp *upstream.Response) {
	s := c.e.suspects
	if s.watching.Load() {
		s.update(func(t *poison.Tracker, now time.Time) []poison.Evidence {
			return t.Alive(run, c.sent, now)
		})
	}
	ran := o == attempt.Answered && !resp.NotRun && resp.Status < http.StatusInternalServerError
	if ran && (s.some.Load() || s.watching.Load()) {
		s.update(func(t *poison.Tracker, now time.Time) []poison.Evidence {
			return t.Succeeded(c.fingerprint(), now)
		})
	}
}

// lost notes that the request may have run and got no answer.
func (c *call) lost(run poison.Run) {
	c.e.suspects.update(func(t *poison.Tracker, now time.Time) []poison.Evidence {
		return t.Lost(run, c.fingerprint(), c.sent, now)
	})
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

// ended notes that runs of upstreams are over.
func (s *suspects) ended(runs ...poison.Run) {
	if len(runs) == 0 {
		return
	}
	s.update(func(t *poison.Tracker, now time.Time) []poison.Evidence {
		var found []poison.Evidence
		for _, r := range runs {
			found = append(found, t.Ended(r, now)...)
		}
		return found
	})
}

const (
	// probePause is the time after which a connection is looked at again that was
	// accepted while its upstream may have been ending.
	probePause = 100 * time.Millisecond
	// silentPause is the time between two probes of an upstream that is silent.
	silentPause = time.Second
)

// probe finds out whether an upstream that lost an attempt has ended, which nobody
// else may notice before it is back. The connection serves the next request.
func (s *suspects) probe(run poison.Run, address string, limit int, silent bool) {
	if silent && !s.mayProbe(address) {
		return
	}
	for range 2 {
		err := s.e.pool.Probe(context.Background(), address, limit, silent)
		var ue *upstream.Error
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			s.ended(run)
			return
		case errors.As(err, &ue) && ue.Timeout():
			s.update(func(t *poison.Tracker, _ time.Time) []poison.Evidence {
				t.Unreachable(run)
				return nil
			})
			return
		case silent:
			return
		}
		time.Sleep(probePause)
	}
}

// mayProbe bounds the probes of an upstream that is silent for many requests.
func (s *suspects) mayProbe(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Before(s.probed[address].Add(silentPause)) {
		return false
	}
	if len(s.probed) >= maxProbed {
		clear(s.probed)
	}
	s.probed[address] = now
	return true
}

// maxProbed bounds the addresses that are remembered.
const maxProbed = 4096
