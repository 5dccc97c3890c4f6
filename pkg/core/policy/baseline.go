package policy

import (
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// The limits of the baselines are typical of a load balancer with a bounded
// queue.
const (
	// baselineQueuePerSlot is the queue length per slot of the usable upstreams
	// above which new programs are refused.
	baselineQueuePerSlot = 1
	// baselineQueueMin is the smallest queue length at which new programs are
	// refused. It applies while few upstreams are known.
	baselineQueueMin = 64
	// baselineRefusalRetry is the Retry-After of a refusal if the profile sets
	// none.
	baselineRefusalRetry = 5 * time.Second
	// baselineRetryDelay is the fixed delay before a retry.
	baselineRetryDelay = 100 * time.Millisecond
)

// base holds the state that all policies share: the upstreams, the waiting queue
// and the configuration. It provides admission by queue length to the baselines
// and to the default policy without its admission part.
type base struct {
	fleet *fleet
	queue *lanes
	cfg   core.Config
}

func newBase(seed uint64) base {
	f := newFleet(seed)
	return base{fleet: f, queue: newLanes(f)}
}

// Configure applies a configuration.
func (b *base) Configure(cfg core.Config) { b.cfg = cfg }

// queueBound returns the queue length above which new programs are refused.
func (b *base) queueBound() int {
	slots := 0
	for _, u := range b.fleet.upstreams {
		if u.reachable && !u.leaving {
			slots += u.slots()
		}
	}
	return max(baselineQueueMin, slots*baselineQueuePerSlot)
}

// admitByQueueLength admits a program unless the waiting queue is too long.
func (b *base) admitByQueueLength(p core.ProgramView) core.Admission {
	if b.queue.len() <= b.queueBound() {
		return core.Admission{OK: true}
	}
	retry := p.Profile.RefusalRetry
	if retry <= 0 {
		retry = baselineRefusalRetry
	}
	return core.Admission{RetryAfter: retry, Reason: "the waiting queue is full"}
}

// Remove removes a request from the waiting queue.
func (b *base) Remove(id core.CallID) bool {
	_, ok := b.queue.remove(id)
	return ok
}

// Unroutable removes the requests that no upstream can serve from the queue and
// returns them.
func (b *base) Unroutable(now time.Time) []core.Request { return b.queue.unroutable(now) }

// retryWithFixedDelay allows retries up to the profile's limit.
func retryWithFixedDelay(now time.Time, r core.Request, f core.Failure) (time.Duration, bool) {
	limit := r.Program.Profile.RetryLimit
	if limit <= 0 {
		limit = defaultRetryLimit
	}
	if r.Tries+1 > limit {
		return 0, false
	}
	return baselineRetryDelay, true
}

// isEligible reports whether the request may run on the upstream by the rules
// that apply to every policy: the upstream is usable, and a crash suspect does
// not share it with another suspect.
func isEligible(u *upstream, r *core.Request) bool {
	return u.reachable && !u.leaving && !(r.Suspect && u.suspects > 0)
}

// picker returns a member of the group with a free slot, or nil if there is none.
type picker func(g *group, r *core.Request) *member

// baseline is one of the load balancers that the default policy is compared with.
type baseline struct {
	base
	name     string
	pick     picker
	sessions map[session]*member
}

// session identifies a root program and a group of upstreams that serves it.
type session struct {
	root  core.ProgramID
	group *group
}

func newBaseline(name string, seed uint64) *baseline {
	b := &baseline{base: newBase(seed), name: name, sessions: map[session]*member{}}
	b.fleet.keyOf = func(m *member) float64 {
		return float64(m.up.ownCalls()) + b.fleet.rng.Float64()*0.5
	}
	switch name {
	case NameRoundRobin:
		b.pick = pickRoundRobin
	case NameLeastOutstanding:
		b.pick = pickLeastOutstanding
	case NameSessionAffinity:
		b.pick = b.pickAffinity
	case NamePowerOfTwo:
		b.pick = b.pickPowerOfTwo
	}
	return b
}

// Name returns the name of the policy.
func (b *baseline) Name() string { return b.name }

// accepts reports whether the member can run the request now, with at most one
// call per slot. With avoid, it excludes upstreams on which the request failed
// before.
func accepts(m *member, r *core.Request, avoid bool) bool {
	u := m.up
	if m.pos < 0 || !isEligible(u, r) || u.ownCalls() >= u.slots() {
		return false
	}
	return !avoid || !slices.Contains(r.Avoid, u.info.ID)
}

func pickRoundRobin(g *group, r *core.Request) *member {
	for _, avoid := range [2]bool{true, false} {
		for i := range g.all {
			m := g.all[(g.next+i)%len(g.all)]
			if accepts(m, r, avoid) {
				g.next = (g.next + i + 1) % len(g.all)
				return m
			}
		}
	}
	return nil
}

// maxScannedMembers limits the heap entries that pickLeastOutstanding examines.
const maxScannedMembers = 15

func pickLeastOutstanding(g *group, r *core.Request) *member {
	for _, avoid := range [2]bool{true, false} {
		var best *member
		for _, m := range g.heap[:min(maxScannedMembers, len(g.heap))] {
			if accepts(m, r, avoid) && (best == nil || m.key < best.key) {
				best = m
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// pickAffinity sends a root program and its children to the upstream that
// served its first call, which is chosen by least outstanding calls. While that
// upstream is full, calls go to others without moving the session.
func (b *baseline) pickAffinity(g *group, r *core.Request) *member {
	k := session{r.Program.Root, g}
	if m := b.sessions[k]; m != nil {
		if accepts(m, r, true) {
			return m
		}
		if m.pos >= 0 {
			return pickLeastOutstanding(g, r)
		}
	}
	m := pickLeastOutstanding(g, r)
	if m != nil {
		b.sessions[k] = m
	}
	return m
}

// pickPowerOfTwo returns the one of two random members that has the lower
// reported load.
func (b *baseline) pickPowerOfTwo(g *group, r *core.Request) *member {
	const tries = 8
	n := len(g.heap)
	for range tries {
		if n == 0 {
			return nil
		}
		x, y := g.heap[b.fleet.rng.IntN(n)], g.heap[b.fleet.rng.IntN(n)]
		if load := func(m *member) int { return m.up.load.Running + m.up.load.Waiting }; load(y) < load(x) {
			x, y = y, x
		}
		if accepts(x, r, true) {
			return x
		}
		if accepts(y, r, true) {
			return y
		}
	}
	return pickLeastOutstanding(g, r)
}

// Admit refuses a program only while the queue is longer than its bound.
func (b *baseline) Admit(_ time.Time, p core.ProgramView) core.Admission {
	return b.admitByQueueLength(p)
}

// ProgramRecovered has no effect.
func (b *baseline) ProgramRecovered(time.Time, core.ProgramView) {}

// ProgramEnded removes the sessions of a root program.
func (b *baseline) ProgramEnded(_ time.Time, id core.ProgramID) {
	for _, t := range b.fleet.targetList {
		for _, g := range t.groups {
			delete(b.sessions, session{id, g})
		}
	}
}

// SetUpstream adds an upstream or replaces its description.
func (b *baseline) SetUpstream(now time.Time, info core.UpstreamInfo) { b.fleet.set(now, info) }

// SetUpstreamState sets whether an upstream is reachable and whether it is
// leaving.
func (b *baseline) SetUpstreamState(now time.Time, id core.UpstreamID, reachable, leaving bool) {
	if u := b.fleet.byID[id]; u != nil {
		u.reachable, u.leaving = reachable, leaving
		b.fleet.refresh(now, u)
	}
}

// RemoveUpstream removes an upstream.
func (b *baseline) RemoveUpstream(now time.Time, id core.UpstreamID) { b.fleet.remove(now, id) }

// OnLoad processes a load report, which may be delayed.
func (b *baseline) OnLoad(now time.Time, l core.Load) { b.fleet.onLoad(now, l) }

// OnCache has no effect.
func (b *baseline) OnCache(time.Time, core.CacheEvent) {}

// Enqueue adds a request to the waiting queue, in order of arrival.
func (b *baseline) Enqueue(now time.Time, r core.Request) { b.queue.push(now, r, 0) }

// Next removes the next request that can be dispatched now from the queue and
// assigns it to an upstream.
func (b *baseline) Next(now time.Time) (core.Assignment, bool) {
	for {
		l := b.queue.first(now)
		if l == nil {
			return core.Assignment{}, false
		}
		it := l.items[0]
		m := b.selectMember(l, &it.req)
		if m == nil {
			if it.req.Suspect {
				l.deferFirst()
			} else {
				l.block(now)
			}
			continue
		}
		r := b.queue.take(it)
		b.fleet.dispatch(now, &r, m.up, l.target)
		return core.Assignment{Request: r, Upstream: m.up.info.ID}, true
	}
}

// selectMember chooses a member in the region of the program if possible, and
// otherwise in another region.
func (b *baseline) selectMember(l *lane, r *core.Request) *member {
	for _, g := range l.target.groups {
		if g.region == l.region {
			if m := b.pick(g, r); m != nil {
				return m
			}
		}
	}
	for _, g := range l.target.groups {
		if g.region != l.region {
			if m := b.pick(g, r); m != nil {
				return m
			}
		}
	}
	return nil
}

// OnStarted has no effect.
func (b *baseline) OnStarted(time.Time, core.AttemptID) {}

// OnFirstToken records the time of the first token.
func (b *baseline) OnFirstToken(now time.Time, id core.AttemptID, _ int64) {
	b.fleet.firstToken(now, id)
}

// OnDone ends an attempt that was answered.
func (b *baseline) OnDone(now time.Time, id core.AttemptID, _ core.Answer) { b.fleet.end(now, id) }

// OnFailed ends an attempt that failed.
func (b *baseline) OnFailed(now time.Time, f core.Failure) { b.fleet.end(now, f.Attempt) }

// Retry allows the profile's number of retries with a fixed delay.
func (b *baseline) Retry(now time.Time, r core.Request, f core.Failure) (time.Duration, bool) {
	return retryWithFixedDelay(now, r, f)
}

// Orders returns nil: the baselines send no orders to engines.
func (b *baseline) Orders(time.Time) []core.EngineOrder { return nil }
