package quickstart

import (
	"fmt"
	"log/slog"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	model "github.com/yuccaspindle/yuccaspindle/pkg/standin/engine/model"
	"github.com/yuccaspindle/yuccaspindle/pkg/trace"
)

// FromTrace returns the deployment of a trace: its upstreams, and one entry per
// failure domain. Engines run speed times as fast as recorded, so that a day
// fits into a trial.
func FromTrace(t *trace.Trace, shared []byte, speed float64, logger *slog.Logger) Options {
	d := t.Header.Deployment
	opt := Options{Shared: shared, Logger: logger}
	domains := make(map[string]bool)
	for _, u := range d.Upstreams {
		at := Place{Region: u.Region, FailureDomain: u.FailureDomain}
		if !domains[u.FailureDomain] {
			domains[u.FailureDomain] = true
			opt.Entries = append(opt.Entries, EntrySpec{Name: fmt.Sprintf("entry-%d", len(domains)), Place: at})
		}
		if u.Kind == core.KindModel {
			opt.Engines = append(opt.Engines, EngineSpec{Name: string(u.ID), Place: at, Model: engineOptions(u, speed)})
			continue
		}
		opt.Services = append(opt.Services, ServiceSpec{
			Name: string(u.ID), Service: u.Service, Outcomes: d.Config.Services[u.Service].OutcomeByKey, Place: at,
		})
	}
	return opt
}

func engineOptions(u core.UpstreamInfo, speed float64) model.Options {
	o := model.Defaults()
	o.Models = u.Models
	o.Adapters = u.Adapters
	o.Slots = u.Slots
	o.CacheTokens = u.CacheTokens
	o.PrefillRate = u.PrefillRate * speed
	o.DecodeRate = u.DecodeRate * speed
	o.RestoreRate *= speed
	o.Fencing = u.ChecksFencing
	return o
}
