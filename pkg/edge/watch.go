package edge

import (
	"bytes"
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/pkg/poison"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// The handlers put what the watches of the store, or an entry that watches it,
// report into the view.

type configHandler struct{ v *view }

func (h configHandler) Listed(objects []platform.Object, _ bool) {
	h.v.setLost(platform.KindConfig, false)
	for _, o := range objects {
		h.put(o)
	}
	h.v.readAnew(platform.KindConfig)
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
	h.v.readAnew(platform.KindUpstreams)
}

// replaceUpstreams takes a complete listing. Entries that are missing are kept
// for the grace.
func (v *view) replaceUpstreams(objects []platform.Object, grace time.Duration) {
	defer v.noteKnown()
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
	v.noteReplaced(specs)
	v.upstreams = specs
	v.keepMissing(now, grace)
	v.mu.Unlock()
	var over []fleet.Upstream
	v.e.withFleet(func(f *fleet.Fleet) {
		for _, u := range list {
			over = append(over, runBefore(f, u)...)
		}
		over = append(over, f.Replace(list, now)...)
	})
	v.e.suspects.ended(crashedRuns(over)...)
}

// keepMissing keeps entries that go missing for a time, here and at the entries
// that follow this one. The caller holds the view's lock.
func (v *view) keepMissing(now time.Time, grace time.Duration) {
	if grace <= 0 {
		return
	}
	until := now.Add(grace)
	v.feed.graceUntil = until
	v.e.withFleet(func(f *fleet.Fleet) { f.KeepMissingUntil(until) })
}

// noteReplaced keeps the difference of a new listing for the feeds. The caller
// holds the view's lock.
func (v *view) noteReplaced(specs map[string][]byte) {
	for name, spec := range specs {
		if old, ok := v.upstreams[name]; !ok || !bytes.Equal(old, spec) {
			v.noteChange(platform.KindUpstreams, name)
		}
	}
	for name := range v.upstreams {
		if _, ok := specs[name]; !ok {
			v.noteChange(platform.KindUpstreams, name)
		}
	}
}

// runBefore returns the run of an upstream that another start has ended.
func runBefore(f *fleet.Fleet, u fleet.Upstream) []fleet.Upstream {
	m := f.Member(u.ID)
	if m == nil || m.StartedUnixMs == u.StartedUnixMs {
		return nil
	}
	return []fleet.Upstream{m.Upstream}
}

// crashedRuns returns the runs of upstreams that ended though they had not said
// that they leave.
func crashedRuns(over []fleet.Upstream) []poison.Run {
	var runs []poison.Run
	for _, u := range over {
		if u.State == fleet.Ready {
			runs = append(runs, poison.Run{ID: u.ID, StartedUnixMs: u.StartedUnixMs})
		}
	}
	return runs
}

// storeAwayTime is how long after a check that the store did not answer removed
// entries may be those that lapsed meanwhile: the time between two checks and that
// of one, with the lag of a watch.
const storeAwayTime = 3 * time.Second

// keepLapsed keeps entries whose removal is heard of right after the store was
// away, though the watch went on: their upstreams could not renew them.
func (v *view) keepLapsed(changes []platform.Change, now time.Time) {
	gone := slices.ContainsFunc(changes, func(c platform.Change) bool { return c.Deleted })
	v.mu.Lock()
	defer v.mu.Unlock()
	if gone && v.storeAway != nil && v.storeAway(storeAwayTime) {
		v.keepMissing(now, fleet.ReregistrationGrace)
	}
}

func (h upstreamHandler) Changed(changes []platform.Change) {
	defer h.v.noteKnown()
	now := time.Now()
	h.v.keepLapsed(changes, now)
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
		h.v.noteChange(platform.KindUpstreams, name)
		h.v.mu.Unlock()
		var over []fleet.Upstream
		h.v.e.withFleet(func(f *fleet.Fleet) {
			if gone {
				h.v.e.logger.Info("upstream gone", "upstream", name, "revision", c.Object.Revision, "err", err)
				if u, ok := f.Remove(name, now); ok {
					over = append(over, u)
				}
				return
			}
			over = runBefore(f, u)
			if m := f.Member(name); m == nil || m.State != u.State {
				h.v.e.logger.Info("upstream changed", "upstream", name, "service", u.Service, "state", int(u.State), "revision", c.Object.Revision)
			}
			f.Put(u)
		})
		h.v.e.suspects.ended(crashedRuns(over)...)
	}
}

func (h upstreamHandler) Lost(error) { h.v.setLost(platform.KindUpstreams, true) }

type nodeHandler struct{ v *view }

func (h nodeHandler) Listed(objects []platform.Object, _ bool) {
	h.v.setLost(platform.KindNodes, false)
	for _, o := range objects {
		h.v.putNode(o)
	}
	h.v.noteNodes()
	h.v.readAnew(platform.KindNodes)
}

// noteRetirements takes over which storage instances are to be emptied.
func (v *view) noteRetirements(objects []platform.Object) {
	names := make([]string, 0, len(objects))
	for _, o := range objects {
		names = append(names, o.Name)
	}
	v.setRetirements(names)
}

// setRetirements tells the processes that follow this entry as well.
func (v *view) setRetirements(names []string) {
	slices.Sort(names)
	v.mu.Lock()
	defer v.mu.Unlock()
	if slices.Equal(names, v.retirements) {
		return
	}
	v.retirements = names
	v.noteChange(platform.KindRetirements, "")
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
	v.noteChange(platform.KindNodes, o.Name)
}

func (h nodeHandler) Changed(changes []platform.Change) {
	for _, c := range changes {
		if c.Deleted {
			h.v.mu.Lock()
			delete(h.v.nodes, c.Object.Name)
			delete(h.v.nodeSpecs, c.Object.Name)
			h.v.noteChange(platform.KindNodes, c.Object.Name)
			h.v.mu.Unlock()
			continue
		}
		h.v.putNode(c.Object)
	}
}

func (h nodeHandler) Lost(error) { h.v.setLost(platform.KindNodes, true) }
