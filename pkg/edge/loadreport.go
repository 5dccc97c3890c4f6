package edge

import (
	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// ignoreLoad counts a load report that is ignored; why is empty if it is not.
func (c *call) ignoreLoad(m *fleet.Member, why platform.MalformedLoad) {
	if why == "" {
		return
	}
	c.e.metrics.loadIgnored(string(why))
	c.e.logger.Debug("load report ignored", "upstream", m.ID, "born", m.StartedUnixMs, "why", string(why), "id", c.req.ID)
}
