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
	// pausePrior is the pause in s that is expected before any was seen.
	pausePrior = 5.0
	// pauseWeight is the weight of a new observation.
	pauseWeight = 0.1
	// minPinTokens is the smallest history worth an order.
	minPinTokens = 256
	// offloadRate is the rate in tokens/s at which a cache is brought back from
	// host memory. It is set to the slower of the usual engines.
	offloadRate = 50_000
	// idlePressure is the share of the cache that running calls and paused
	// programs may demand before anything is done: below it the engine evicts
	// only what nobody needs.
	idlePressure = 0.85
)

// pauseState is the memory that an upstream's own programs demand.
type pauseState struct {
	live   int64 // tokens of paused programs, on the device
	pinned int64 // part of live that is pinned
}

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

func (e *duration) expected() float64 {
	if e.n == 0 {
		return pausePrior
	}
	return e.mean
}

// upper is a pause that few exceed.
func (e *duration) upper() float64 {
	if e.n == 0 {
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

// pressure is the demand of running calls and paused programs, those of other
// entries in proportion to their calls, as a share of the cache.
func pressure(u *upstream, extra int64, entries float64) float64 {
	if u.info.CacheTokens <= 0 {
		return 0
	}
	return float64(u.pause.live+u.reserved+extra) * entries / float64(u.info.CacheTokens)
}

// choose weighs the recomputation of the history against the memory it holds
// during the pause. Per token and second the gain of keeping depends only on
// the length of the pause, so the longest pause that is kept shrinks as pins
// fill the cache.
func choose(u *upstream, tokens int64, e *duration, p *core.Profile, entries float64) (choice, time.Duration) {
	if tokens < minPinTokens || pressure(u, tokens, entries) < idlePressure {
		return choiceNone, 0
	}
	if e.returns < 0.3 {
		return choiceDrop, 0
	}
	retention := p.CacheRetention
	if retention <= 0 {
		retention = defaultCacheRetention
	}
	_, waste := weights(p)
	pinned := float64(u.pause.pinned+tokens) * entries / float64(u.info.CacheTokens)
	room := max(0, 1-pinned/pinShare)
	transfer := float64(tokens) / offloadRate
	again := float64(tokens) / prefillRate(u)
	offload := transfer < again/2 && e.expected() > 2*transfer
	longest := retention.Seconds() * e.returns * waste * room * room
	if offload {
		// Host memory costs little, so only short pauses keep the device's.
		longest = min(longest, 20*transfer)
	}
	pause := e.upper()
	switch {
	case pause <= longest:
		return choiceKeep, min(retention, time.Duration(pause*float64(time.Second)))
	case offload:
		return choiceOffload, 0
	default:
		return choiceNone, 0
	}
}

// begin starts the pause of a program after the answer of a model call.
func (p *pauses) begin(d *defaultPolicy, now time.Time, g *program, u *upstream, tokens int64, finish string) {
	p.settle(g)
	g.paused, g.at, g.tokens, g.live = now, u, tokens, true
	u.pause.live += tokens
	g.profileKey = pauseKey{profile: g.profile.Name, finish: finish}
	g.toolKey = pauseKey{}
	p.apply(d, now, g, p.estimate(g.profileKey))
}

// settle takes a program's history off the books of the upstream where it was
// paused.
func (p *pauses) settle(g *program) {
	if g.live {
		g.at.pause.live -= g.tokens
		g.live = false
	}
	if g.pin.counted {
		g.pin.up.pause.pinned -= g.pin.tokens
		g.pin.counted = false
	}
}

// tool refines the expectation once the tool is known.
func (p *pauses) tool(d *defaultPolicy, now time.Time, g *program, service string) {
	t := d.fleet.targets[targetKey{kind: core.KindService, name: service}]
	if g.paused.IsZero() || t == nil || !t.seen {
		return // nothing is learned of services that do not exist
	}
	g.toolKey = pauseKey{tool: service, profile: g.profile.Name}
	if e := p.estimate(g.toolKey); e.n > 0 && g.live {
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
	if g.pin.counted {
		u.pause.pinned -= g.pin.tokens // not counted against itself
		g.pin.counted = false
	}
	u.pause.live -= g.tokens
	c, term := choose(u, g.tokens, e, &g.profile, d.fleet.entries())
	u.pause.live += g.tokens
	order := core.EngineOrder{Upstream: u.info.ID, Program: g.id}
	switch c {
	case choiceKeep:
		d.addPin(g, pin{up: u, tokens: g.tokens, until: now.Add(term)})
		if d.cache != nil {
			d.cache.set(u, string(g.id), g.tokens, g.pin.until)
		}
		order.Order, order.Term = core.OrderPin, term
	case choiceOffload:
		p.settle(g)
		g.pin = pin{}
		if d.cache != nil {
			d.cache.offload(u, string(g.id))
		}
		order.Order = core.OrderOffload
	case choiceDrop:
		p.settle(g)
		g.pin = pin{}
		if d.cache != nil {
			d.cache.set(u, string(g.id), 0, time.Time{})
		}
		order.Order = core.OrderRelease
	default:
		return // an earlier pin runs out; a release would drop the prefix
	}
	d.orders = append(d.orders, order)
}

// ended releases what the engines hold of a program, pinned or not: the prefix
// of an ended program would be evicted only after those of live programs that
// have paused for longer.
func (p *pauses) ended(d *defaultPolicy, now time.Time, g *program) {
	p.learn(now, g, false)
	p.settle(g)
	if g.pin.up != nil {
		p.release(d, g.pin.up, g.id)
	}
	if d.cache != nil {
		for _, u := range d.cache.holders[string(g.id)] {
			if u != g.pin.up {
				p.release(d, u, g.id)
			}
		}
	}
}

func (p *pauses) release(d *defaultPolicy, u *upstream, id core.ProgramID) {
	if d.fleet.byID[u.info.ID] == u {
		d.orders = append(d.orders, core.EngineOrder{Upstream: u.info.ID, Order: core.OrderRelease, Program: id})
	}
}

// dispatched releases the copy that a program leaves behind when it goes on
// elsewhere.
func (p *pauses) dispatched(d *defaultPolicy, g *program, u *upstream) {
	p.settle(g)
	if g.pin.up != nil && g.pin.up != u {
		p.release(d, g.pin.up, g.id)
		if d.cache != nil {
			d.cache.set(g.pin.up, string(g.id), 0, time.Time{})
		}
		g.pin = pin{}
	}
}
