package policy

import (
	"container/heap"
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// watch includes an upstream in housekeeping until its breaker is closed and its
// slow start has ended.
func (d *defaultPolicy) watch(u *upstream) {
	if !slices.Contains(d.watched, u) {
		d.watched = append(d.watched, u)
	}
}

// pruneInterval is the shortest time between two removals of callers with a full
// retry budget.
const pruneInterval = time.Minute

// housekeeping applies the changes that only the passage of time causes, at most
// once per housekeepingInterval.
func (d *defaultPolicy) housekeeping(now time.Time) {
	if now.Sub(d.lastHousekeeping) < housekeepingInterval {
		return
	}
	d.lastHousekeeping = now
	keep := d.watched[:0]
	for _, u := range d.watched {
		if d.fleet.byID[u.info.ID] != u {
			continue
		}
		d.fleet.refresh(now, u)
		if u.breaker.phase != breakerClosed || !u.breaker.rampStart.IsZero() {
			keep = append(keep, u)
		}
	}
	clear(d.watched[len(keep):])
	d.watched = keep
	d.expirePins(now)
	if d.retry != nil && now.Sub(d.lastPrune) >= pruneInterval {
		d.lastPrune = now
		d.retry.prune()
	}
	if d.cache != nil && len(d.fleet.upstreams) > 0 {
		d.sweep++
		d.cache.sweep(now, d.fleet.upstreams[d.sweep%len(d.fleet.upstreams)])
	}
}

// pinTimer is the end of a pin. It is ignored if the program has a later pin.
type pinTimer struct {
	until   time.Time
	program core.ProgramID
}

// pinTimers is a min-heap ordered by the end of the pin.
type pinTimers []pinTimer

func (h pinTimers) Len() int           { return len(h) }
func (h pinTimers) Less(i, j int) bool { return h[i].until.Before(h[j].until) }
func (h pinTimers) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *pinTimers) Push(x any) { *h = append(*h, x.(pinTimer)) }

// Pop implements heap.Interface.
func (h *pinTimers) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}

// addPin sets the pin of a program and counts its tokens until it ends.
func (d *defaultPolicy) addPin(g *program, p pin) {
	p.counted = true
	g.pin = p
	p.up.pause.pinned += p.tokens
	heap.Push(&d.pins, pinTimer{p.until, g.id})
}

// expirePins removes expired pins from the counters. No order is needed: the
// sidecar releases them by itself.
func (d *defaultPolicy) expirePins(now time.Time) {
	for len(d.pins) > 0 && !now.Before(d.pins[0].until) {
		t := heap.Pop(&d.pins).(pinTimer)
		g := d.programs[t.program]
		if g == nil || g.pin.up == nil || now.Before(g.pin.until) {
			continue
		}
		if g.pin.counted {
			g.pin.up.pause.pinned -= g.pin.tokens
		}
		g.pin = pin{}
	}
}

// dropPins removes the pins on an upstream whose process has ended, and resets its
// counters of paused programs.
func (d *defaultPolicy) dropPins(u *upstream) {
	for _, g := range d.programs { // each program is independent of the others
		if g.pin.up == u {
			g.pin = pin{}
		}
		if g.at == u {
			g.live = false
		}
	}
	u.pause = pauseState{}
}
