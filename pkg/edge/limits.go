package edge

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/pkg/ratelimit"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// maxUsageLines limits the log lines about the use of limited upstreams in one window.
const maxUsageLines = 16

// sourceResponse names a response as the source of a rate limit in logs and metrics.
const sourceResponse = "response"

// whyLimited is the reason for refusing a request that rate limits leave no upstream
// for.
const whyLimited = "upstreams at their rate limit"

// recordLimit records what a response stated about the upstream's rate limit.
func (c *call) recordLimit(m *fleet.Member, l platform.RateLimit) {
	if l.State == platform.RateLimitUnknown {
		if l.Malformed != "" {
			c.e.logger.Warn("rate limit ignored", "upstream", m.ID, "value", l.Malformed, "id", c.req.ID)
		}
		return
	}
	reading := ratelimit.Reading{Limited: l.State == platform.RateLimitNamed, PerSecond: l.PerSecond}
	var change ratelimit.Change
	c.e.withFleet(func(f *fleet.Fleet) { change = f.RecordLimit(m, reading, c.sentAt, time.Now()) })
	if change == ratelimit.Unchanged {
		return
	}
	c.e.logLimit(ratelimit.Run{ID: m.ID, StartedUnixMs: m.StartedUnixMs}, reading, change, sourceResponse, "id", c.req.ID)
	notify(c.e.limits.wake)
}

// logLimit logs and counts a change of a rate limit.
func (e *Edge) logLimit(r ratelimit.Run, reading ratelimit.Reading, change ratelimit.Change, source string, more ...any) {
	kind, _, _ := strings.Cut(source, " ")
	e.metrics.limitChange(change.String(), kind)
	args := []any{"upstream", r.ID, "born", r.StartedUnixMs, "change", change, "per_second", reading.PerSecond, "source", source}
	e.logger.Info("upstream rate limit", append(args, more...)...)
}

// limitedCount returns the number of known rate limits.
func (e *Edge) limitedCount() (n float64) {
	e.withFleet(func(f *fleet.Fleet) { n = float64(f.LimitedCount()) })
	return n
}

// logLimitedUse logs once per window how often this edge used each limited upstream,
// those with the most requests first, until the context is done. The sum over all
// edges can be compared with the limit.
func (e *Edge) logLimitedUse(ctx context.Context) {
	t := time.NewTicker(ratelimit.Window)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		var list []ratelimit.Usage
		e.withFleet(func(f *fleet.Fleet) { list = f.LimitUsages(time.Now()) })
		slices.SortFunc(list, func(a, b ratelimit.Usage) int {
			return cmp.Or(cmp.Compare(b.Counts.Total(), a.Counts.Total()), cmp.Compare(a.Run.ID, b.Run.ID))
		})
		for _, u := range list[:min(len(list), maxUsageLines)] {
			e.logger.Info("use of a limited upstream", "upstream", u.Run.ID, "per_second", u.Limit, "window_s", ratelimit.Window.Seconds(),
				"first", u.Counts[ratelimit.First], "cached", u.Counts[ratelimit.Cached], "retry", u.Counts[ratelimit.Retry])
		}
	}
}
