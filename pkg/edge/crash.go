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
	// probeInterval is the time between two probes of an upstream that accepted a
	// connection, since it may have been terminating at the first one.
	probeInterval = 100 * time.Millisecond
	// silentProbeInterval is the minimum time between two probes of an unresponsive
	// upstream.
	silentProbeInterval = time.Second
	// maxProbedAddresses limits the remembered probe times.
	maxProbedAddresses = 4096
)

// endedRun is a run of an upstream that has ended.
type endedRun struct {
	run poison.Run
	end poison.End
}

// trackAttempt reports the outcome of an attempt to the crash tracker. leaving is set if
// the upstream had announced its shutdown.
func (c *call) trackAttempt(m *fleet.Member, leaving bool, o attempt.Outcome, resp *upstream.Response, err error) {
	run := poison.Run{ID: m.ID, StartedUnixMs: m.StartedUnixMs}
	end := endedRun{run, poison.End{Announced: leaving, Sign: poison.Refused}}
	var ue *upstream.Error
	misdirected := o == attempt.Rejected && resp.Status == http.StatusMisdirectedRequest
	switch {
	case o == attempt.Answered || o == attempt.Rejected && !misdirected || violatesProtocol(err):
		c.trackResponse(run, o, resp)
	case misdirected:
		end.end.Sign = poison.Replaced
		c.e.suspects.runsEnded(end)
	case errors.Is(err, syscall.ECONNREFUSED):
		c.e.suspects.runsEnded(end)
	case errors.As(err, &ue) && ue.Sent:
		c.e.metrics.lostAttempt(ue.Timeout(), leaving)
		if ue.Timeout() {
			c.trackAbandoned(m, leaving)
		} else {
			c.trackLost(run)
		}
		// Another suspect that is sent there before the end is known would be blamed, too.
		release := c.e.suspects.isolation.hold(m.ID)
		limit := c.connectionLimit()
		go func() {
			defer release()
			c.e.suspects.probe(end, m.Address, limit, ue.Timeout())
		}()
	}
}

// trackResponse records that an upstream is alive and, if the request ran without a
// server error, that the request did not crash it.
func (c *call) trackResponse(run poison.Run, o attempt.Outcome, resp *upstream.Response) {
	s := c.e.suspects
	if s.tracking.Load() {
		r := poison.Response{SentAt: c.sentAt}
		if resp != nil {
			r.ConnectedAt = resp.ConnectedAt
		}
		s.update(func(t *poison.Tracker, now time.Time) []poison.Evidence {
			return t.RecordResponse(run, r, now)
		})
	}
	ran := o == attempt.Answered && !resp.NotRun && resp.Status < http.StatusInternalServerError
	if ran && (s.hasSuspects.Load() || s.tracking.Load()) {
		s.update(func(t *poison.Tracker, now time.Time) []poison.Evidence {
			return t.RecordSuccess(c.identity(), now)
		})
	}
}

// trackLost records that the request may have run and got no response.
func (c *call) trackLost(run poison.Run) {
	c.e.suspects.update(func(t *poison.Tracker, now time.Time) []poison.Evidence {
		return t.RecordLost(run, c.identity(), c.sentAt, now)
	})
}

// trackAbandoned records that this edge gave an attempt up, so that the upstream may work on
// it for a while. leaving is set if the upstream had announced its shutdown.
func (c *call) trackAbandoned(m *fleet.Member, leaving bool) {
	run := poison.Run{ID: m.ID, StartedUnixMs: m.StartedUnixMs}
	c.e.suspects.update(func(t *poison.Tracker, now time.Time) []poison.Evidence {
		return t.RecordAbandoned(run, c.identity(), c.sentAt, now)
	})
	go c.e.suspects.watchAbandoned(abandonedAttempts{
		m: m, end: endedRun{run, poison.End{Announced: leaving, Sign: poison.Refused}}, limit: c.connectionLimit(),
		reportsState: c.table.Service(c.service).ReportsState, id: c.req.ID,
	})
}

// runsEnded records that runs of upstreams have ended.
func (s *suspects) runsEnded(ended ...endedRun) {
	if len(ended) == 0 {
		return
	}
	s.update(func(t *poison.Tracker, now time.Time) []poison.Evidence {
		var found []poison.Evidence
		for _, e := range ended {
			found = append(found, t.RecordEnd(e.run, e.end, now)...)
		}
		return found
	})
}

// probe checks whether an upstream that lost an attempt has ended, and records end if so.
// Without it, an upstream that restarts quickly would go unnoticed. The connection is
// reused for the next request.
func (s *suspects) probe(end endedRun, address string, limit int, silent bool) {
	if silent && !s.allowProbe(address) {
		return
	}
	accepted, began := true, time.Now()
	for range 2 {
		err := s.e.pool.Probe(context.Background(), address, limit, silent)
		var ue *upstream.Error
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			s.runsEnded(end)
			return
		case errors.As(err, &ue) && ue.Timeout():
			s.update(func(t *poison.Tracker, _ time.Time) []poison.Evidence {
				t.RecordUnreachable(end.run)
				return nil
			})
			return
		case silent:
			return // a process that does not run accepts connections, too
		case err != nil:
			accepted = false
		}
		time.Sleep(probeInterval)
	}
	if !accepted {
		return
	}
	s.update(func(t *poison.Tracker, _ time.Time) []poison.Evidence {
		t.RecordAlive(end.run, began)
		return nil
	})
}

// allowProbe limits the rate of probes of an upstream that is unresponsive to many
// requests.
func (s *suspects) allowProbe(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Before(s.probed[address].Add(silentProbeInterval)) {
		return false
	}
	if len(s.probed) >= maxProbedAddresses {
		clear(s.probed)
	}
	s.probed[address] = now
	return true
}
