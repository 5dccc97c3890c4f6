package trace

import "github.com/yuccaspindle/yuccaspindle/pkg/core"

// fastest returns the highest rates among the engines that have the model.
func (d *Deployment) fastest(model string) (prefill, decode float64) {
	for _, u := range d.Upstreams {
		if u.Kind != core.KindModel {
			continue
		}
		for _, m := range u.Models {
			if m == model {
				prefill = max(prefill, u.PrefillRate)
				decode = max(decode, u.DecodeRate)
			}
		}
	}
	return prefill, decode
}

// LowerBoundMs returns the shortest time in which an agent can run: the sum of
// its steps with no queueing, no network and every earlier token of the program
// and its shared prefix cached. Sub-agents of a step run in parallel.
func (d *Deployment) LowerBoundMs(a *Agent) float64 {
	prefill, decode := d.fastest(a.Model)
	var sum float64
	for _, s := range a.Steps {
		sum += float64(s.PauseMs)
		switch {
		case s.Service != "":
			sum += float64(s.WorkMs)
		case len(s.Agents) > 0:
			longest := 0.0
			for i := range s.Agents {
				longest = max(longest, d.LowerBoundMs(&s.Agents[i]))
			}
			sum += longest
		case prefill > 0 && decode > 0:
			sum += 1000 * (float64(s.New)/prefill + float64(s.Out)/decode)
		}
	}
	return sum
}

// WorkSeconds returns the engine time that an agent takes with perfect prefix
// reuse: prompt processing has the engine to itself, and generation has one of
// its slots.
func (d *Deployment) WorkSeconds(a *Agent) float64 {
	var slots float64
	for _, u := range d.Upstreams {
		if u.Kind == core.KindModel {
			slots = max(slots, float64(u.Slots))
		}
	}
	prefill, decode := d.fastest(a.Model)
	var sum float64
	for _, s := range a.Steps {
		for i := range s.Agents {
			sum += d.WorkSeconds(&s.Agents[i])
		}
		if s.Out > 0 && prefill > 0 && decode > 0 {
			sum += float64(s.New)/prefill + float64(s.Out)/(decode*slots)
		}
	}
	return sum
}

// BusyFraction returns the engine time of all programs that end by themselves,
// divided by the engine time until the last arrival.
func (t *Trace) BusyFraction() float64 {
	d := &t.Header.Deployment
	var work float64
	for i := range t.Programs {
		work += d.WorkSeconds(&t.Programs[i].Agent)
	}
	return work / (float64(len(d.Engines())) * float64(t.Header.DurationMs) / 1000)
}
