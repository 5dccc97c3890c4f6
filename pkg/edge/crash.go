package edge

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/attempt"
	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/pkg/poison"
	"github.com/yuccaspindle/yuccaspindle/pkg/upstream"
)

const (
	// probePause is the time after which a connection is looked at again that was
	// accepted while its upstream may have been ending.
	probePause = 100 * time.Millisecond
	// silentPause is the time between two probes of an upstream that is silent.
	silentPause = time.Second
	// maxProbed bounds the addresses that are remembered.
	maxProbed = 4096
)

// noteCrash tells the tracker how an attempt ended. planned is set if the upstream
// had said that it leaves: its end is no crash.
func (c *call) noteCrash(m *fleet.Member, planned bool, o attempt.Outcome, resp *upstream.Response, err error) {
	run := poison.Run{ID: m.ID, StartedUnixMs: m.StartedUnixMs}
	var ue *upstream.Error
	misdirected := o == attempt.Rejected && resp.Status == http.StatusMisdirectedRequest
	switch {
	case o == attempt.Answered || o == attempt.Rejected && !misdirected || outOfBounds(err):
		c.noteAnswer(run, o, resp)
	case planned:
	case misdirected || errors.Is(err, syscall.ECONNREFUSED):
		c.e.suspects.ended(run)
	case errors.As(err, &ue) && ue.Sent:
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
			return t.RecordResponse(run, c.sent, now)
		})
	}
	ran := o == attempt.Answered && !resp.NotRun && resp.Status < http.StatusInternalServerError
	if ran && (s.some.Load() || s.watching.Load()) {
		s.update(func(t *poison.Tracker, now time.Time) []poison.Evidence {
			return t.RecordSuccess(c.fingerprint(), now)
		})
	}
}

// lost notes that the request may have run and got no answer.
func (c *call) lost(run poison.Run) {
	c.e.suspects.update(func(t *poison.Tracker, now time.Time) []poison.Evidence {
		return t.RecordLost(run, c.fingerprint(), c.sent, now)
	})
}

// ended notes that runs of upstreams are over.
func (s *suspects) ended(runs ...poison.Run) {
	if len(runs) == 0 {
		return
	}
	s.update(func(t *poison.Tracker, now time.Time) []poison.Evidence {
		var found []poison.Evidence
		for _, r := range runs {
			found = append(found, t.RecordEnd(r, now)...)
		}
		return found
	})
}

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
				t.RecordUnreachable(run)
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
