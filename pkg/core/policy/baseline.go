package policy

import (
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// The bounds of the baselines, as a usual load balancer with a bounded queue
// has them.
const (
	// baselineQueuePerSlot is the length of the waiting queue, per slot of the
	// usable upstreams, above which new programs are refused.
	baselineQueuePerSlot = 1
	// baselineQueueMin is the queue bound while few upstreams are known.
	baselineQueueMin = 64
	// baselineRefusalRetry is the Retry-After of a refusal if the profile
	// states none.
	baselineRefusalRetry = 5 * time.Second
	// baselineRetryDelay is the fixed delay before a repeated attempt.
	baselineRetryDelay = 100 * time.Millisecond
)

// base is what the baselines share with each other and, as far as a part is
// switched off, with the default policy: the registry of upstreams, a
// first-in first-out queue, admission by queue length and plain retries.
type base struct {
	fleet *fleet
	queue *lanes
	cfg   core.Config
}

func newBase(seed uint64) base {
	f := newFleet(seed)
	return base{fleet: f, queue: newLanes(f)}
}

// Configure puts a configuration in force.
func (b *base) Configure(cfg core.Config) { b.cfg = cfg }

// queueBound is the queue length above which new programs are refused.
func (b *base) queueBound() int {
	slots := 0
	for _, u := range b.fleet.list {
		if u.reachable && !u.leaving {
			slots += u.slots()
		}
	}
	return max(baselineQueueMin, slots*baselineQueuePerSlot)
}

func (b *base) admitByQueue(p core.ProgramView) core.Admission {
	if b.queue.len() <= b.queueBound() {
		return core.Admission{OK: true}
	}
	retry := p.Profile.RefusalRetry
	if retry <= 0 {
		retry = baselineRefusalRetry
	}
	return core.Admission{RetryAfter: retry, Reason: "the waiting queue is full"}
}

// Remove takes a request out of the waiting queue.
func (b *base) Remove(id core.CallID) bool {
	_, ok := b.queue.remove(id)
	return ok
}

// Unroutable takes the requests that nothing can serve out of the queue.
func (b *base) Unroutable(now time.Time) []core.Request { return b.queue.unroutable(now) }

func plainRetry(now time.Time, r core.Request, f core.Failure) (time.Duration, bool) {
	limit := r.Program.Profile.RetryLimit
	if limit <= 0 {
		limit = defaultRetryLimit
	}
	if r.Tries+1 > limit {
		return 0, false
	}
	return baselineRetryDelay, true
}

// mayRun tells whether the rules that hold for every policy let the request run
// on the upstream: it is usable and no other suspect is on board of a suspect's
// upstream.
func mayRun(u *upstream, r *core.Request) bool {
	return u.reachable && !u.leaving && !(r.Suspect && u.suspects > 0)
}

// picker chooses a member of the group with a free slot, or nil.
type picker func(g *group, r *core.Request) *member

// baseline is one of the load balancers to compare with.
type baseline struct {
	base
	name     string
	pick     picker
	sessions map[session]*member
}

// session is a root program's use of one group of upstreams.
type session struct {
	root  core.ProgramID
	group *group
}

func newBaseline(name string, seed uint64) *baseline {
	b := &baseline{base: newBase(seed), name: name, sessions: map[session]*member{}}
	b.fleet.keyOf = func(m *member) float64 {
		return float64(m.up.own()) + b.fleet.rng.Float64()*0.5
	}
	switch name {
	case NameRoundRobin:
		b.pick = pickRoundRobin
	case NameLeastOutstanding:
		b.pick = pickLeastOutstanding
	case NameSessionAffinity:
		b.pick = b.pickAffinity
	case NamePowerOfTwo:
		b.pick = b.pickTwo
	}
	return b
}

// Name returns the name of the policy.
func (b *baseline) Name() string { return b.name }

// free tells whether the member takes the request: the plain limit is one call
// per slot. Upstreams that failed the request before are used only when spread
// is not possible.
func free(m *member, r *core.Request, avoid bool) bool {
	u := m.up
	if m.pos < 0 || !mayRun(u, r) || u.own() >= u.slots() {
		return false
	}
	return !avoid || !slices.Contains(r.Avoid, u.info.ID)
}

func pickRoundRobin(g *group, r *core.Request) *member {
	for _, avoid := range [2]bool{true, false} {
		for i := range g.all {
			m := g.all[(g.next+i)%len(g.all)]
			if free(m, r, avoid) {
				g.next = (g.next + i + 1) % len(g.all)
				return m
			}
		}
	}
	return nil
}

// scanTop is the number of heap entries examined when the first one is barred.
const scanTop = 15

func pickLeastOutstanding(g *group, r *core.Request) *member {
	for _, avoid := range [2]bool{true, false} {
		var best *member
		for _, m := range g.heap[:min(scanTop, len(g.heap))] {
			if free(m, r, avoid) && (best == nil || m.key < best.key) {
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
// served its first call, chosen by least outstanding calls. A call that finds it
// full goes elsewhere without moving the session.
func (b *baseline) pickAffinity(g *group, r *core.Request) *member {
	k := session{r.Program.Root, g}
	if m := b.sessions[k]; m != nil {
		if free(m, r, true) {
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

// pickTwo takes the one with the lower reported load of two random members.
func (b *baseline) pickTwo(g *group, r *core.Request) *member {
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
		if free(x, r, true) {
			return x
		}
		if free(y, r, true) {
			return y
		}
	}
	return pickLeastOutstanding(g, r)
}

// Admit refuses only while the queue is longer than its bound.
func (b *baseline) Admit(_ time.Time, p core.ProgramView) core.Admission { return b.admitByQueue(p) }

// ProgramRecovered has no effect.
func (b *baseline) ProgramRecovered(time.Time, core.ProgramView) {}

// ProgramEnded forgets the sessions of a root program.
func (b *baseline) ProgramEnded(_ time.Time, id core.ProgramID) {
	for _, t := range b.fleet.order {
		for _, g := range t.groups {
			delete(b.sessions, session{id, g})
		}
	}
}

// SetUpstream adds an upstream or replaces its description.
func (b *baseline) SetUpstream(now time.Time, info core.UpstreamInfo) { b.fleet.set(now, info) }

// SetUpstreamState reports reachability and leaving.
func (b *baseline) SetUpstreamState(now time.Time, id core.UpstreamID, reachable, leaving bool) {
	if u := b.fleet.byID[id]; u != nil {
		u.reachable, u.leaving = reachable, leaving
		b.fleet.refresh(now, u)
	}
}

// RemoveUpstream forgets an upstream.
func (b *baseline) RemoveUpstream(now time.Time, id core.UpstreamID) { b.fleet.remove(now, id) }

// OnLoad takes a lagged load report.
func (b *baseline) OnLoad(now time.Time, l core.Load) { b.fleet.onLoad(now, l) }

// OnCache has no effect.
func (b *baseline) OnCache(time.Time, core.CacheEvent) {}

// Enqueue adds a request to the waiting queue, in order of arrival.
func (b *baseline) Enqueue(now time.Time, r core.Request) { b.queue.push(now, r, 0) }

// Next takes the next request that can be dispatched now out of the queue.
func (b *baseline) Next(now time.Time) (core.Assignment, bool) {
	for {
		l := b.queue.first(now)
		if l == nil {
			return core.Assignment{}, false
		}
		it := l.items[0]
		m := b.place(l, &it.req)
		if m == nil {
			if it.req.Suspect {
				l.park()
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

// place prefers the region of the program and spills to the others.
func (b *baseline) place(l *lane, r *core.Request) *member {
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

// OnFirstToken tells when output began.
func (b *baseline) OnFirstToken(now time.Time, id core.AttemptID, _ int64) {
	b.fleet.firstToken(now, id)
}

// OnDone ends an attempt with its answer.
func (b *baseline) OnDone(now time.Time, id core.AttemptID, _ core.Answer) { b.fleet.end(now, id) }

// OnFailed ends an attempt without an answer.
func (b *baseline) OnFailed(now time.Time, f core.Failure) { b.fleet.end(now, f.Attempt) }

// Retry allows the profile's number of attempts with a fixed delay.
func (b *baseline) Retry(now time.Time, r core.Request, f core.Failure) (time.Duration, bool) {
	return plainRetry(now, r, f)
}

// Orders returns none.
func (b *baseline) Orders(time.Time) []core.EngineOrder { return nil }
