package fleet

import (
	"maps"
	"slices"
	"time"
)

// Health describes an upstream as observed by one process.
type Health struct {
	ID            string        `json:"id"`
	Service       string        `json:"service"`
	Address       string        `json:"address"`
	FailureDomain string        `json:"failure_domain"`
	Version       string        `json:"version"`   // of its software; empty: not given
	InFlight      int           `json:"in_flight"` // running attempts of this process
	Load          float64       `json:"load"`      // estimated number of requests at the upstream
	Slots         int           `json:"slots"`
	FailureRate   float64       `json:"failure_rate"`
	SuspendedFor  time.Duration `json:"suspended_for_ns"` // 0: not suspended
	// RateLimit is the limit that the upstream named, in requests a second of all
	// entries together; nil: none. RecentRequests counts those of this process in the
	// last ratelimit.Window, while there is a limit.
	RateLimit      *float64 `json:"rate_limit,omitempty"`
	RecentRequests int      `json:"recent_requests,omitempty"`
	// Pace is how long work takes there, relative to the average upstream of its service, as
	// measured and reported; 0: no pace is reported.
	Pace float64 `json:"pace,omitempty"`
	// UnavailableReason says why the upstream gets no attempts; empty if it gets them.
	UnavailableReason string `json:"out,omitempty"`
}

// Health returns the health of all members, sorted by service and id.
func (f *Fleet) Health(now time.Time) []Health {
	var list []Health
	for _, service := range slices.Sorted(maps.Keys(f.byService)) {
		for _, m := range f.byService[service] {
			list = append(list, f.health(m, now))
		}
	}
	return list
}

func (f *Fleet) health(m *Member, now time.Time) Health {
	h := Health{
		ID: m.ID, Service: m.Service, Address: m.Address, FailureDomain: m.FailureDomain, Version: m.SoftwareVersion,
		InFlight: m.inFlight, Load: f.load(m, now), Slots: m.Slots, FailureRate: m.currentFailureRate(now),
	}
	if m.est != nil && m.reports == reportsPace {
		h.Pace = m.est.pace.now(now)
	}
	if m.limit.Limited() {
		limit := m.limit.Reading().PerSecond
		h.RateLimit, h.RecentRequests = &limit, f.limits.Usage(m.limit, now).Counts.Total()
	}
	switch {
	case m.State == Draining:
		h.UnavailableReason = "draining"
	case m.Leaving():
		h.UnavailableReason = "leaving, by its answers"
	case m.Suspended(now):
		h.SuspendedFor = m.suspendedUntil.Sub(now)
		h.UnavailableReason = "suspended after failures"
	}
	return h
}
