package edge

import (
	"bytes"
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/pkg/poison"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// The handlers apply what the store's watches, or a feed, report to the view.
type configHandler struct{ v *view }

func (h configHandler) Listed(objects []platform.Object, _ bool) {
	h.v.setLost(platform.KindConfig, false)
	for _, o := range objects {
		h.put(o)
	}
	h.v.markListed(platform.KindConfig)
}

func (h configHandler) put(o platform.Object) {
	if o.Name == platform.ConfigName {
		h.v.applyConfig(o.Spec, "store")
	}
}

func (h configHandler) Changed(changes []platform.Change) {
	for _, c := range changes {
		if !c.Deleted {
			h.put(c.Object)
		}
	}
}

func (h configHandler) Lost(error) { h.v.setLost(platform.KindConfig, true) }

type upstreamHandler struct{ v *view }

func (h upstreamHandler) Listed(objects []platform.Object, regained bool) {
	h.v.setLost(platform.KindUpstreams, false)
	var grace time.Duration
	if regained {
		grace = fleet.ReregistrationGrace
	}
	h.v.replaceUpstreams(objects, grace)
	h.v.markListed(platform.KindUpstreams)
}

// replaceUpstreams applies a complete listing. Registrations that are missing from it
// are kept for the grace period.
func (v *view) replaceUpstreams(objects []platform.Object, grace time.Duration) {
	defer v.checkLoaded()
	list := make([]fleet.Upstream, 0, len(objects))
	specs := make(map[string][]byte, len(objects))
	for _, o := range objects {
		u, err := platform.DecodeUpstream(o)
		if err != nil {
			v.e.logger.Warn("upstream entry ignored", "upstream", o.Name, "err", err)
			continue
		}
		list = append(list, u)
		specs[o.Name] = o.Spec
	}
	now := time.Now()
	v.mu.Lock()
	v.recordReplaced(specs)
	v.upstreams = specs
	v.keepMissing(now, grace)
	v.mu.Unlock()
	var ended []endedRun
	v.e.withFleet(func(f *fleet.Fleet) {
		for _, u := range list {
			ended = append(ended, previousRun(f, u)...)
		}
		ended = append(ended, endedRuns(poison.Removed, f.Replace(list, now)...)...)
	})
	v.e.suspects.runsEnded(ended...)
}

// keepMissing keeps registrations that go missing for the grace period, here and at
// the followers. The caller holds the view's lock.
func (v *view) keepMissing(now time.Time, grace time.Duration) {
	if grace <= 0 {
		return
	}
	until := now.Add(grace)
	v.feed.graceUntil = until
	v.e.withFleet(func(f *fleet.Fleet) { f.KeepMissingUntil(until) })
}

// recordReplaced adds the differences to a new listing to the log of the feeds. The
// caller holds the view's lock.
func (v *view) recordReplaced(specs map[string][]byte) {
	for name, spec := range specs {
		if old, ok := v.upstreams[name]; !ok || !bytes.Equal(old, spec) {
			v.recordChange(platform.KindUpstreams, name)
		}
	}
	for name := range v.upstreams {
		if _, ok := specs[name]; !ok {
			v.recordChange(platform.KindUpstreams, name)
		}
	}
}

// previousRun returns the end of the run of an upstream that has restarted as u.
func previousRun(f *fleet.Fleet, u fleet.Upstream) []endedRun {
	m := f.Member(u.ID)
	if m == nil || m.StartedUnixMs == u.StartedUnixMs || f.Outdated(u) {
		return nil
	}
	return endedRuns(poison.Replaced, m.EndedUpstream())
}

// endedRuns returns the ends of the current runs of upstreams, all with the same sign.
func endedRuns(sign poison.Sign, ended ...fleet.Upstream) []endedRun {
	runs := make([]endedRun, 0, len(ended))
	for _, u := range ended {
		run := poison.Run{ID: u.ID, StartedUnixMs: u.StartedUnixMs}
		runs = append(runs, endedRun{run, poison.End{Announced: u.State != fleet.Ready, Sign: sign}})
	}
	return runs
}

// storeUnreachableWindow is how long after a failed check of the store removed
// registrations may be ones that expired during the outage: the interval between two
// checks, the duration of one, and the lag of a watch.
const storeUnreachableWindow = 3 * time.Second

// keepExpired keeps registrations that are removed right after the store was
// unreachable, even if the watch went on: their upstreams could not renew them.
func (v *view) keepExpired(changes []platform.Change, now time.Time) {
	gone := slices.ContainsFunc(changes, func(c platform.Change) bool { return c.Deleted })
	v.mu.Lock()
	defer v.mu.Unlock()
	if gone && v.storeUnreachable != nil && v.storeUnreachable(storeUnreachableWindow) {
		v.keepMissing(now, fleet.ReregistrationGrace)
	}
}

func (h upstreamHandler) Changed(changes []platform.Change) {
	defer h.v.checkLoaded()
	now := time.Now()
	h.v.keepExpired(changes, now)
	for _, c := range changes {
		name := c.Object.Name
		var u fleet.Upstream
		var err error
		if !c.Deleted {
			u, err = platform.DecodeUpstream(c.Object)
		}
		gone := c.Deleted || err != nil
		h.v.mu.Lock()
		if gone {
			delete(h.v.upstreams, name)
		} else {
			h.v.upstreams[name] = c.Object.Spec
		}
		h.v.recordChange(platform.KindUpstreams, name)
		h.v.mu.Unlock()
		var ended []endedRun
		h.v.e.withFleet(func(f *fleet.Fleet) {
			if gone {
				h.v.e.logger.Info("upstream gone", "upstream", name, "revision", c.Object.Revision, "err", err)
				if u, ok := f.Remove(name, now); ok {
					ended = endedRuns(poison.Removed, u)
				}
				return
			}
			ended = previousRun(f, u)
			if m := f.Member(name); m == nil || m.State != u.State {
				h.v.e.logger.Info("upstream changed", "upstream", name, "service", u.Service, "state", int(u.State), "revision", c.Object.Revision)
			}
			f.Put(u, now)
		})
		h.v.e.suspects.runsEnded(ended...)
	}
}

func (h upstreamHandler) Lost(error) { h.v.setLost(platform.KindUpstreams, true) }

type nodeHandler struct{ v *view }

func (h nodeHandler) Listed(objects []platform.Object, _ bool) {
	h.v.setLost(platform.KindNodes, false)
	for _, o := range objects {
		h.v.putNode(o)
	}
	h.v.markNodesLoaded()
	h.v.markListed(platform.KindNodes)
}

// applyRetirements applies the list of storage instances to retire.
func (v *view) applyRetirements(objects []platform.Object) {
	names := make([]string, 0, len(objects))
	for _, o := range objects {
		names = append(names, o.Name)
	}
	v.setRetirements(names)
}

// setRetirements sets the storage instances to retire and passes them on to the
// followers.
func (v *view) setRetirements(names []string) {
	slices.Sort(names)
	v.mu.Lock()
	defer v.mu.Unlock()
	if slices.Equal(names, v.retirements) {
		return
	}
	v.retirements = names
	v.recordChange(platform.KindRetirements, "")
}

func (v *view) putNode(o platform.Object) {
	n, err := platform.DecodeNode(o)
	if err != nil {
		v.e.logger.Warn("registration ignored", "node", o.Name, "err", err)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.nodes[o.Name] = n
	if old, ok := v.nodeSpecs[o.Name]; ok && bytes.Equal(old.Spec, o.Spec) && old.Created == o.Created {
		return
	}
	v.nodeSpecs[o.Name] = o
	v.recordChange(platform.KindNodes, o.Name)
}

func (h nodeHandler) Changed(changes []platform.Change) {
	for _, c := range changes {
		if c.Deleted {
			h.v.mu.Lock()
			delete(h.v.nodes, c.Object.Name)
			delete(h.v.nodeSpecs, c.Object.Name)
			h.v.recordChange(platform.KindNodes, c.Object.Name)
			h.v.mu.Unlock()
			continue
		}
		h.v.putNode(c.Object)
	}
}

func (h nodeHandler) Lost(error) { h.v.setLost(platform.KindNodes, true) }
