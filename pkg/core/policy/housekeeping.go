package policy

import (
	"container/heap"
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// watch keeps an upstream under observation while its breaker or ramp changes
// by time.
func (d *defaultPolicy) watch(u *upstream) {
	if !slices.Contains(d.watched, u) {
		d.watched = append(d.watched, u)
	}
}

// pruneEvery is the interval at which callers without a past are forgotten.
const pruneEvery = time.Minute

// housekeeping applies the changes that time alone brings.
func (d *defaultPolicy) housekeeping(now time.Time) {
	if now.Sub(d.swept) < housekeepingEvery {
		return
	}
	d.swept = now
	keep := d.watched[:0]
	for _, u := range d.watched {
		if d.fleet.byID[u.info.ID] != u {
			continue
		}
		d.fleet.refresh(now, u)
		if u.breaker.phase != breakerClosed || !u.breaker.ramp.IsZero() {
			keep = append(keep, u)
		}
	}
	clear(d.watched[len(keep):])
	d.watched = keep
	d.expirePins(now)
	if d.retry != nil && now.Sub(d.pruned) >= pruneEvery {
		d.pruned = now
		d.retry.prune()
	}
	if d.cache != nil && len(d.fleet.list) > 0 {
		d.sweep++
		d.cache.sweep(now, d.fleet.list[d.sweep%len(d.fleet.list)])
	}
}

// pinTimer is the end of a pin. It is void if the program has another pin since.
type pinTimer struct {
	until   time.Time
	program core.ProgramID
}

// pinTimers is a min-heap by the end of the pin.
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

// addPin counts a pin until it ends.
func (d *defaultPolicy) addPin(g *program, p pin) {
	p.counted = true
	g.pin = p
	p.up.pause.pinned += p.tokens
	heap.Push(&d.pins, pinTimer{p.until, g.id})
}

// expirePins takes pins whose term is over off the books; the sidecar releases
// them itself.
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

// dropPins forgets what programs have on an upstream whose process is gone.
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
