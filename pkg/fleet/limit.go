package fleet

import (
	"math"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/ratelimit"
)

// limitRun returns the identity of an upstream's run among the rate limits.
func limitRun(u Upstream) ratelimit.Run {
	return ratelimit.Run{ID: u.ID, StartedUnixMs: u.StartedUnixMs}
}

// RecordLimit records what a response to a request, sent at sentAt, stated about the
// member's rate limit. The member may have been removed in the meantime.
func (f *Fleet) RecordLimit(m *Member, r ratelimit.Reading, sentAt, now time.Time) ratelimit.Change {
	change := f.limits.Observe(limitRun(m.Upstream), r, sentAt, now)
	if change != ratelimit.Unchanged {
		f.attachLimit(m.ID)
	}
	return change
}

// attachLimit connects a member with the rate limit of its run.
func (f *Fleet) attachLimit(id string) {
	m := f.members[id]
	if m == nil {
		return
	}
	if m.limit = f.limits.Find(limitRun(m.Upstream)); m.limit != nil {
		m.limit.SetRegion(f.regionOf[m.FailureDomain])
	}
}

// MergeLimit applies what another process observed and reports what it changed.
func (f *Fleet) MergeLimit(o ratelimit.Observation, now time.Time) ratelimit.Change {
	change := f.limits.Merge(o, now)
	f.attachLimit(o.Run.ID)
	return change
}

// Limits returns the rate limits that this process knows.
func (f *Fleet) Limits() *ratelimit.Book { return f.limits }

const (
	// roomFactor times its slots is the number of requests up to which a member without
	// a limit has room for programs that have not begun, while others of its service are
	// limited, whose work falls on it. Its queue then takes about as long as a request.
	roomFactor = 2.5
	// turnover is how many requests a slot serves in a second, about.
	turnover = 2.0
	// queueRetry is the time until a full queue has room again, about.
	queueRetry = 200 * time.Millisecond
)

// supply is what the candidates for a request offer together.
type supply struct {
	ratelimit.Supply
	limited   bool // some candidates have a rate limit
	unlimited bool // some accept attempts now and have none
}

// add adds a candidate and reports whether it may get a request now.
func (s *supply) add(f *Fleet, m *Member, now time.Time) bool {
	if !m.Limited() {
		s.addUnlimited(f, m, now)
		return true
	}
	s.limited = true
	perSecond := f.limits.PerSecond(m.limit)
	s.PerSecond += perSecond
	s.Capacity += perSecond
	n := f.limits.Permits(m.limit, now)
	s.Permits += n
	return n > 0
}

// addUnlimited adds a member without a limit: its permits are the places in its queue.
func (s *supply) addUnlimited(f *Fleet, m *Member, now time.Time) {
	if m.Suspended(now) || m.ShuttingDown() {
		return
	}
	slots := float64(max(m.Slots, 1))
	s.unlimited = true
	s.Permits += int(max(roomFactor*slots-f.load(m, now), 0))
	s.Capacity += turnover * slots
	s.PerSecond += turnover * slots * f.limits.Shares().Width(f.regionOf[m.FailureDomain])
	s.Next = queueRetry
}

// admit reports whether a request may be sent. While upstreams of its service are
// limited, programs that have not begun are held back if the others have no room for
// them; if there are no others, the permits go to requests of a better rank first.
func (f *Fleet) admit(r Request, s supply, now time.Time) bool {
	if !s.limited || s.unlimited && r.Rank < ratelimit.NewProgram {
		return true
	}
	return f.gate(r.Service).Admit(r.Rank, s.Supply, now)
}

// gate returns the gate of a service.
func (f *Fleet) gate(service string) *ratelimit.Gate {
	g := f.gates[service]
	if g == nil {
		g = &ratelimit.Gate{}
		f.gates[service] = g
	}
	return g
}

// RefuseLimited returns the time after which a request for which Pick has returned nil
// should come again. It returns false if rate limits are not the reason.
func (f *Fleet) RefuseLimited(r Request, now time.Time) (time.Duration, bool) {
	var s supply
	next := time.Duration(math.MaxInt64)
	for _, m := range f.byService[r.Service] {
		if !f.candidate(m, &r, now) {
			continue
		}
		s.add(f, m, now)
		if m.Limited() {
			next = min(next, f.limits.NextPermit(m.limit, now))
		}
	}
	if !s.limited {
		return 0, false
	}
	if s.Next == 0 || next < s.Next {
		s.Next = next
	}
	return f.gate(r.Service).Refuse(r.Rank, s.Supply, r.TimeLeft, now), true
}

// Limited reports whether the member has a rate limit in force.
func (m *Member) Limited() bool { return m.limit.Limited() }

// LimitUsages returns how often this process used the limited upstreams of late.
func (f *Fleet) LimitUsages(now time.Time) []ratelimit.Usage { return f.limits.Usages(now) }

// LimitedCount returns the number of rate limits in force.
func (f *Fleet) LimitedCount() int { return f.limits.Active() }
