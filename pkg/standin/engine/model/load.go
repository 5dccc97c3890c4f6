package engine

import (
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// sampleStep is the resolution of the load history.
const sampleStep = 20 * time.Millisecond

type loadSample struct {
	at   time.Time
	load core.Load
}

func (e *Engine) currentLoad() core.Load {
	l := core.Load{
		Upstream: e.o.ID, Measured: e.now, Running: len(e.running), Waiting: len(e.waiting),
		CacheUsed: e.cache.used, CachePinned: e.cache.pinnedTokens(e.now),
	}
	for _, s := range e.waiting {
		l.QueuedTokens += s.PromptTokens
	}
	for _, s := range e.running {
		if !s.decoding {
			l.QueuedTokens += int64(s.work * e.o.PrefillRate)
		}
	}
	return l
}

// sampleLoad records the load after a change.
func (e *Engine) sampleLoad() {
	s := loadSample{at: e.now, load: e.currentLoad()}
	if n := len(e.history); n > 0 && e.now.Sub(e.history[n-1].at) < sampleStep {
		e.history[n-1].load = s.load
	} else {
		e.history = append(e.history, s)
	}
	e.pruneLoads(e.now)
}

func (e *Engine) pruneLoads(now time.Time) {
	seen := now.Add(-e.o.LoadLag)
	for len(e.history) > 1 && !e.history[1].at.After(seen) {
		e.history = e.history[1:]
	}
}

// Load returns the load as it was LoadLag ago.
func (e *Engine) Load(now time.Time) core.Load {
	e.advanceTo(now)
	e.pruneLoads(now)
	seen := now.Add(-e.o.LoadLag)
	if len(e.history) == 0 || e.history[0].at.After(seen) {
		return core.Load{Upstream: e.o.ID, Measured: seen}
	}
	l := e.history[0].load
	l.Measured = seen
	return l
}

// cacheChanged numbers a cache event and puts it on its way, or loses it.
func (e *Engine) cacheChanged(prefix string, tokens int64) {
	e.eventNo++
	lost := e.o.EventLoss > 0 && e.rng.Float64() < e.o.EventLoss
	delay := e.o.EventDelay
	if e.o.EventLag > 0 {
		delay += time.Duration(e.rng.Int64N(int64(e.o.EventLag)))
	}
	if lost {
		return
	}
	at := e.now.Add(delay)
	if n := len(e.events); n > 0 && at.Before(e.events[n-1].Time) {
		at = e.events[n-1].Time // events do not overtake each other
	}
	e.events = append(e.events, Output{Kind: Cache, Time: at, Event: core.CacheEvent{
		Upstream: e.o.ID, Number: e.eventNo, Prefix: prefix, Tokens: tokens,
	}})
}
