package policy

import (
	"math"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

const (
	// pinShare is the share of the cache that pins may fill; the rest serves
	// calls that run.
	pinShare = 0.6
	// defaultCacheRetention is the longest pin if the profile states none.
	defaultCacheRetention = 2 * time.Minute
	// pausePrior is the pause that is expected before any was seen.
	pausePrior = 5.0
	// pauseWeight is the weight of a new observation.
	pauseWeight = 0.1
	// minPinTokens is the smallest history worth an order.
	minPinTokens = 512
	// offloadRate is the rate in tokens/s at which a cache is copied to host
	// memory and back.
	offloadRate = 100_000
	// idlePressure is the use of the cache below which nothing is evicted
	// within a usual pause, so that pins are not needed.
	idlePressure = 0.5
)

// pauseState is the cache that an upstream keeps for paused programs.
type pauseState struct{ pinned int64 }

// duration estimates how long a pause lasts and whether the program returns.
type duration struct {
	mean, dev float64 // s
	returns   float64 // share of pauses that ended with a further call
	n         int
}

func (e *duration) observe(s float64) {
	w := max(pauseWeight, 1/float64(e.n+1))
	if e.n == 0 {
		e.mean, e.dev = s, s/2
	}
	e.dev += w * (math.Abs(s-e.mean) - e.dev)
	e.mean += w * (s - e.mean)
	e.n++
}

// upper is a pause that few exceed.
func (e *duration) upper() float64 {
	if e == nil || e.n == 0 {
		return 2 * pausePrior
	}
	return e.mean + 2*e.dev
}

// pauseKey tells pauses apart: by the tool that is called in the pause, or by
// the profile and the finish reason until it is known.
type pauseKey struct{ tool, profile, finish string }

// pauses decides what happens to a program's cache while it waits for a tool.
type pauses struct {
	estimates map[pauseKey]*duration
}

func newPauses() *pauses { return &pauses{estimates: map[pauseKey]*duration{}} }

func (p *pauses) estimate(k pauseKey) *duration {
	e := p.estimates[k]
	if e == nil {
		e = &duration{returns: 1}
		p.estimates[k] = e
	}
	return e
}

// choice is the treatment of a paused program's cache.
type choice uint8

const (
	choiceNone    choice = iota // left to the engine's own eviction
	choiceKeep                  // pinned
	choiceOffload               // copied to host memory
	choiceDrop                  // released at once
)

// choose weighs the recomputation of the history, times the probability that
// the program returns, against the memory it holds during the pause. Per token
// and second the gain depends only on the length of the pause, so the longest
// pause that is kept shrinks as pins fill the cache.
func choose(u *upstream, tokens int64, e *duration, p *core.Profile) (choice, time.Duration) {
	if tokens < minPinTokens || u.info.CacheTokens <= 0 {
		return choiceNone, 0
	}
	capacity := float64(u.info.CacheTokens)
	if use := float64(u.load.CacheUsed) / capacity; use < idlePressure && float64(u.pause.pinned) < idlePressure*capacity {
		return choiceNone, 0
	}
	retention := p.CacheRetention
	if retention <= 0 {
		retention = defaultCacheRetention
	}
	_, waste := weights(p)
	pinned := float64(max(u.pause.pinned, u.load.CachePinned)+tokens) / capacity
	room := max(0, 1-pinned/pinShare)
	pause := e.upper()
	if pause <= retention.Seconds()*e.returns*waste*room*room {
		return choiceKeep, min(retention, time.Duration(pause*float64(time.Second)))
	}
	transfer := 2 * float64(tokens) / offloadRate
	if again := float64(tokens) / prefillRate(u); e.returns > 0.3 && transfer < again/2 && pause > 2*transfer {
		return choiceOffload, 0
	}
	if e.returns < 0.3 {
		return choiceDrop, 0
	}
	return choiceNone, 0
}

// begin starts the pause of a program after the answer of a model call.
func (p *pauses) begin(d *defaultPolicy, now time.Time, g *program, u *upstream, tokens int64, finish string) {
	g.paused, g.at, g.tokens = now, u, tokens
	g.profileKey = pauseKey{profile: g.profile.Name, finish: finish}
	g.toolKey = pauseKey{}
	p.apply(d, now, g, p.estimate(g.profileKey))
}

// tool refines the expectation once the tool is known.
func (p *pauses) tool(d *defaultPolicy, now time.Time, g *program, service string) {
	if g.paused.IsZero() || service == "" {
		return
	}
	g.toolKey = pauseKey{tool: service, profile: g.profile.Name}
	if e := p.estimate(g.toolKey); e.n > 0 {
		p.apply(d, now, g, e)
	}
}

// resume ends the pause when the program makes its next model call.
func (p *pauses) resume(now time.Time, g *program) {
	p.learn(now, g, true)
	g.paused = time.Time{}
}

func (p *pauses) learn(now time.Time, g *program, returned bool) {
	if g.paused.IsZero() {
		return
	}
	for _, k := range [2]pauseKey{g.profileKey, g.toolKey} {
		if k == (pauseKey{}) {
			continue
		}
		e := p.estimate(k)
		hit := 0.0
		if returned {
			hit = 1
			e.observe(now.Sub(g.paused).Seconds())
		}
		e.returns += pauseWeight * (hit - e.returns)
	}
}

func (p *pauses) apply(d *defaultPolicy, now time.Time, g *program, e *duration) {
	u := g.at
	if g.pin.up != nil && g.pin.up != u {
		p.release(d, g)
	}
	pinned := g.pin.tokens
	if g.pin.up != nil {
		u.pause.pinned -= pinned // not counted against itself
		g.pin = pin{}
	}
	c, term := choose(u, g.tokens, e, &g.profile)
	order := core.EngineOrder{Upstream: u.info.ID, Program: g.id}
	switch c {
	case choiceKeep:
		d.addPin(g, pin{up: u, tokens: g.tokens, until: now.Add(term)})
		if d.cache != nil {
			d.cache.set(u, string(g.id), g.tokens, g.pin.until)
		}
		order.Order, order.Term = core.OrderPin, term
	case choiceOffload:
		order.Order = core.OrderOffload
	case choiceDrop:
		order.Order = core.OrderRelease
		if d.cache != nil {
			d.cache.set(u, string(g.id), 0, time.Time{})
		}
	default:
		if pinned == 0 {
			return
		}
		order.Order = core.OrderRelease
	}
	d.orders = append(d.orders, order)
}

// release gives up a pin.
func (p *pauses) release(d *defaultPolicy, g *program) {
	u := g.pin.up
	if u == nil {
		return
	}
	u.pause.pinned -= g.pin.tokens
	g.pin = pin{}
	d.orders = append(d.orders, core.EngineOrder{Upstream: u.info.ID, Order: core.OrderRelease, Program: g.id})
}

// dispatched releases the pin when the program goes on elsewhere.
func (p *pauses) dispatched(d *defaultPolicy, g *program, u *upstream) {
	if g.pin.up != nil && g.pin.up != u {
		p.release(d, g)
	}
}
