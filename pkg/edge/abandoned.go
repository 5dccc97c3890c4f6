package edge

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/pkg/poison"
	"github.com/yuccaspindle/yuccaspindle/pkg/upstream"
)

// maxWatchedRuns limits the runs that are watched at a time.
const maxWatchedRuns = 256

// abandonedAttempts describes an upstream at which attempts were given up.
type abandonedAttempts struct {
	m            *fleet.Member
	end          endedRun // if the upstream has ended
	limit        int      // on connections
	reportsState bool     // the upstream says which run it is
	id           string   // of the first attempt
}

// watchAbandoned finds out what became of an upstream once it has had the time to stop its
// work on the attempts that were given up there. It asks nothing if other responses have
// told by then, and once at most after each attempt.
func (s *suspects) watchAbandoned(a abandonedAttempts) {
	if !s.addWatched(a.end.run) {
		return
	}
	for checked := (time.Time{}); ; {
		time.Sleep(poison.AbandonedRunTime)
		if s.endWatch(a.end.run, checked) {
			return
		}
		checked = time.Now()
		s.checkRun(a, checked)
	}
}

// checkRun records whether the run of an upstream goes on or has ended, if it learns that. A
// connection alone does not show that it goes on, since a process that does not run accepts
// connections, too.
func (s *suspects) checkRun(a abandonedAttempts, now time.Time) {
	startedUnixMs, err := int64(0), error(nil)
	if a.reportsState {
		startedUnixMs, err = s.e.pool.AskRun(context.Background(), a.m.Address, a.limit)
	} else {
		err = s.e.pool.Probe(context.Background(), a.m.Address, a.limit, false)
	}
	var ue *upstream.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		// It may have announced its shutdown, and left as planned, since.
		end := a.end
		s.e.withFleet(func(*fleet.Fleet) { end.end.Announced = end.end.Announced || a.m.ShuttingDown() })
		s.runsEnded(end)
	case errors.As(err, &ue) && ue.Step == upstream.StepDial && ue.Timeout():
		s.update(func(t *poison.Tracker, _ time.Time) []poison.Evidence {
			t.RecordUnreachable(a.end.run)
			return nil
		})
	case err != nil:
		s.e.logger.Info("no response from the upstream of a lost attempt", "upstream", a.m.ID, "address", a.m.Address, "id", a.id, "err", err)
	case startedUnixMs == 0:
	case startedUnixMs == a.m.StartedUnixMs:
		s.update(func(t *poison.Tracker, _ time.Time) []poison.Evidence {
			t.RecordRunning(a.end.run, now)
			return nil
		})
	default:
		s.e.recordOtherRun(a.m, startedUnixMs, a.id)
	}
}

// addWatched adds a run to those that are watched, and reports whether it was not yet one.
func (s *suspects) addWatched(run poison.Run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watched[run] || len(s.watched) >= maxWatchedRuns {
		return false
	}
	s.watched[run] = true
	return true
}

// endWatch removes a run from those that are watched and returns true, unless lost attempts
// at it count that were over after a time. Both happen at once: an attempt that is recorded
// later begins a new watch.
func (s *suspects) endWatch(run poison.Run, after time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tracker.HasLost(run, after) {
		return false
	}
	delete(s.watched, run)
	return true
}
