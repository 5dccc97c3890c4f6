package edge

import (
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/pkg/upstream"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// recordPace records the load report of a response that has just begun, if it has a pace, which is
// valid for a few hundred ms only. A report without a pace is recorded when the attempt has ended,
// as the cost by counts requires.
func (c *call) recordPace(m *fleet.Member, resp *upstream.Response) {
	why := resp.MalformedLoad
	if l := resp.Load; l != nil && l.Pace > 0 {
		c.e.withFleet(func(f *fleet.Fleet) {
			if !f.RecordLoad(m, fleet.Load{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Pace: l.Pace}, time.Now()) {
				why = platform.LoadImplausible
			}
		})
	}
	if why == "" {
		return
	}
	c.e.metrics.loadIgnored(string(why))
	c.e.logger.Debug("load report ignored", "upstream", m.ID, "born", m.StartedUnixMs, "why", string(why), "id", c.req.ID)
}

// recordEvent records an event with data of the current attempt.
func (c *call) recordEvent() {
	if c.work.Event(time.Now()) {
		c.e.withFleet(func(f *fleet.Fleet) { f.FirstEvent(&c.work, c.writtenAt) })
	}
}
