package policy

import (
	"math"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

const (
	// maxPinnedShare is the share of the cache that pins may fill. The rest is for
	// running calls.
	maxPinnedShare = 0.6
	// defaultCacheRetention is the longest pin if the profile sets none.
	defaultCacheRetention = 2 * time.Minute
	// initialPause is the pause in s that is expected before the first
	// observation.
	initialPause = 5.0
	// pauseSampleWeight is the weight of a new observation in the moving averages.
	pauseSampleWeight = 0.1
	// minPinTokens is the smallest history for which an order is sent.
	minPinTokens = 256
	// hostTransferRate is the rate in tokens/s at which a cache is restored from
	// host memory, as with the slower ones of the common engines.
	hostTransferRate = 50_000
	// pressureThreshold is the share of the cache that running calls and paused
	// programs may need before orders are sent. Below it, the engine evicts only
	// prefixes that are no longer needed.
	pressureThreshold = 0.85
)

// pauseState is the cache memory of the paused programs of one upstream, as far as
// they belong to this entry process.
type pauseState struct {
	live   int64 // tokens of paused programs in device memory
	pinned int64 // part of live that is pinned
}

// pauseEstimate estimates how long a pause lasts and whether the program makes
// another model call.
type pauseEstimate struct {
	mean, deviation float64 // s
	returnShare     float64 // share of pauses that ended with another model call
	samples         int
}

// observe adds a pause of s seconds.
func (e *pauseEstimate) observe(s float64) {
	weight := max(pauseSampleWeight, 1/float64(e.samples+1))
	if e.samples == 0 {
		e.mean, e.deviation = s, s/2
	}
	e.deviation += weight * (math.Abs(s-e.mean) - e.deviation)
	e.mean += weight * (s - e.mean)
	e.samples++
}

// expected returns the expected pause in s.
func (e *pauseEstimate) expected() float64 {
	if e.samples == 0 {
		return initialPause
	}
	return e.mean
}

// upperBound returns a pause in s that only few pauses exceed.
func (e *pauseEstimate) upperBound() float64 {
	if e.samples == 0 {
		return 2 * initialPause
	}
	return e.mean + 2*e.deviation
}

// pauseKey groups pauses by profile and the tool that is called during the pause,
// or by profile and finish reason while the tool is not known.
type pauseKey struct{ tool, profile, finish string }

// pauses decides what happens to a program's cache during the pause between two
// model calls, in which it waits for tools.
type pauses struct {
	estimates map[pauseKey]*pauseEstimate
}

func newPauses() *pauses { return &pauses{estimates: map[pauseKey]*pauseEstimate{}} }

// estimate returns the estimate of a key and creates it if necessary.
func (p *pauses) estimate(k pauseKey) *pauseEstimate {
	e := p.estimates[k]
	if e == nil {
		e = &pauseEstimate{returnShare: 1}
		p.estimates[k] = e
	}
	return e
}

// cacheAction is what is done with a paused program's cache.
type cacheAction uint8

const (
	actionNone    cacheAction = iota // leave it to the engine's eviction
	actionPin                        // pin it in device memory
	actionOffload                    // move it to host memory
	actionRelease                    // release it immediately
)

// pressure returns the cache demand of running calls, paused programs and extra
// tokens as a share of the cache. It is scaled by demandFactor to include the
// demand of other entry processes.
func pressure(u *upstream, extra int64, demandFactor float64) float64 {
	if u.info.CacheTokens <= 0 {
		return 0
	}
	return float64(u.pause.live+u.reservedTokens+extra) * demandFactor / float64(u.info.CacheTokens)
}

// chooseAction compares the cost of recomputing a program's history with the
// memory that it takes during the pause, and returns the action and the duration
// of a pin. The gain of a pin per token and second depends only on the length of
// the pause, so the longest pause that is worth a pin shrinks as pins fill the
// cache.
func chooseAction(u *upstream, tokens int64, e *pauseEstimate, p *core.Profile, demandFactor float64) (cacheAction, time.Duration) {
	if tokens < minPinTokens || pressure(u, tokens, demandFactor) < pressureThreshold {
		return actionNone, 0
	}
	if e.returnShare < 0.3 {
		return actionRelease, 0
	}
	retention := p.CacheRetention
	if retention <= 0 {
		retention = defaultCacheRetention
	}
	_, waste := profileWeights(p)
	pinned := float64(u.pause.pinned+tokens) * demandFactor / float64(u.info.CacheTokens)
	freePinShare := max(0, 1-pinned/maxPinnedShare)
	transfer := float64(tokens) / hostTransferRate
	recompute := float64(tokens) / prefillRate(u)
	offload := transfer < recompute/2 && e.expected() > 2*transfer
	maxPause := retention.Seconds() * e.returnShare * waste * freePinShare * freePinShare
	if offload {
		// Host memory is cheap, so only short pauses are worth device memory.
		maxPause = min(maxPause, 20*transfer)
	}
	pause := e.upperBound()
	switch {
	case pause <= maxPause:
		return actionPin, min(retention, time.Duration(pause*float64(time.Second)))
	case offload:
		return actionOffload, 0
	default:
		return actionNone, 0
	}
}

// beginPause starts the pause of a program after the answer of a model call.
func (p *pauses) beginPause(d *defaultPolicy, now time.Time, g *program, u *upstream, tokens int64, finish string) {
	p.uncount(g)
	g.pausedAt, g.at, g.tokens, g.live = now, u, tokens, true
	u.pause.live += tokens
	g.profileKey = pauseKey{profile: g.profile.Name, finish: finish}
	g.toolKey = pauseKey{}
	p.applyEstimate(d, now, g, p.estimate(g.profileKey))
}

// uncount removes a program's history from the live and pinned tokens of its
// upstream.
func (p *pauses) uncount(g *program) {
	if g.live {
		g.at.pause.live -= g.tokens
		g.live = false
	}
	if g.pin.counted {
		g.pin.up.pause.pinned -= g.pin.tokens
		g.pin.counted = false
	}
}

// tool chooses the action again with the estimate of the tool, once it is known.
func (p *pauses) tool(d *defaultPolicy, now time.Time, g *program, service string) {
	t := d.fleet.targets[targetKey{kind: core.KindService, name: service}]
	if g.pausedAt.IsZero() || t == nil || !t.everUsable {
		return // no estimates for services that don't exist
	}
	g.toolKey = pauseKey{tool: service, profile: g.profile.Name}
	if e := p.estimate(g.toolKey); e.samples > 0 && g.live {
		p.applyEstimate(d, now, g, e)
	}
}

// resume ends the pause when the program makes its next model call.
func (p *pauses) resume(now time.Time, g *program) {
	p.updateEstimates(now, g, true)
	g.pausedAt = time.Time{}
}

// updateEstimates adds the pause that ends now to the estimates. Returned tells
// whether the program made another model call.
func (p *pauses) updateEstimates(now time.Time, g *program, returned bool) {
	if g.pausedAt.IsZero() {
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
			e.observe(now.Sub(g.pausedAt).Seconds())
		}
		e.returnShare += pauseSampleWeight * (hit - e.returnShare)
	}
}

// applyEstimate chooses the action for a program's cache and orders it.
func (p *pauses) applyEstimate(d *defaultPolicy, now time.Time, g *program, e *pauseEstimate) {
	u := g.at
	if g.pin.counted {
		u.pause.pinned -= g.pin.tokens // don't count the program's own pin against it
		g.pin.counted = false
	}
	u.pause.live -= g.tokens
	action, term := chooseAction(u, g.tokens, e, &g.profile, d.fleet.demandFactor())
	u.pause.live += g.tokens
	order := core.EngineOrder{Upstream: u.info.ID, Program: g.id}
	switch action {
	case actionPin:
		d.addPin(g, pin{up: u, tokens: g.tokens, until: now.Add(term)})
		if d.cache != nil {
			d.cache.set(u, string(g.id), g.tokens, g.pin.until)
		}
		order.Order, order.Term = core.OrderPin, term
	case actionOffload:
		p.uncount(g)
		g.pin = pin{}
		if d.cache != nil {
			d.cache.markOffloaded(u, string(g.id))
		}
		order.Order = core.OrderOffload
	case actionRelease:
		p.uncount(g)
		g.pin = pin{}
		if d.cache != nil {
			d.cache.set(u, string(g.id), 0, time.Time{})
		}
		order.Order = core.OrderRelease
	default:
		return // let an earlier pin expire: a release order would also drop the prefix
	}
	d.orders = append(d.orders, order)
}

// programEnded releases the cache of a program on all engines, pinned or not.
// Otherwise the engines would evict live programs with longer pauses before the
// ended one.
func (p *pauses) programEnded(d *defaultPolicy, now time.Time, g *program) {
	p.updateEstimates(now, g, false)
	p.uncount(g)
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

// release orders an upstream to release the cache of a program.
func (p *pauses) release(d *defaultPolicy, u *upstream, id core.ProgramID) {
	if d.fleet.byID[u.info.ID] == u {
		d.orders = append(d.orders, core.EngineOrder{Upstream: u.info.ID, Order: core.OrderRelease, Program: id})
	}
}

// programDispatched ends the accounting of the pause, and releases the pinned
// cache if the program continues on another upstream.
func (p *pauses) programDispatched(d *defaultPolicy, g *program, u *upstream) {
	p.uncount(g)
	if g.pin.up != nil && g.pin.up != u {
		p.release(d, g.pin.up, g.id)
		if d.cache != nil {
			d.cache.set(g.pin.up, string(g.id), 0, time.Time{})
		}
		g.pin = pin{}
	}
}
