package quota

import (
	"slices"
	"time"
)

const (
	// helloInterval is the time between two requests for the list of an edge while a list
	// begins, and slowHelloInterval once helloTime has passed.
	helloInterval     = 50 * time.Millisecond
	helloTime         = time.Second
	slowHelloInterval = time.Second
	// staleHelloInterval is the time between two requests for the list of an edge while this
	// edge's list has begun but is not verified.
	staleHelloInterval = 700 * time.Millisecond
	// maxHellos bounds the edges that are asked for their lists at once.
	maxHellos = 32
	// reserve is the part of a pool that is left for requests that wait.
	reserve = 0.4
	// minNext and maxNext bound the time after which a coordinator that had too few tokens
	// is asked again. Until maxNext its bucket does not fill up.
	minNext = 50 * time.Millisecond
	maxNext = 2 * time.Second
	// askedPart is the part of a bucket that is worth another request.
	askedPart = 0.25
)

// Due returns the requests to send now. It is called regularly, and at once with
// waitingOnly when a request waits.
func (n *Node) Due(waitingOnly bool, now Time) []Ask {
	if len(n.configs) == 0 {
		return nil
	}
	n.begin(now)
	b := batch{n: n, now: now, index: make(map[string]int)}
	for _, w := range n.active {
		if w.waiting > 0 {
			b.demand(w)
		}
	}
	if waitingOnly {
		return b.asks
	}
	n.sweep(now)
	for _, address := range n.hellos(now) {
		b.to(address)
		n.helloAt[address] = now
	}
	for _, w := range n.active {
		if w.waiting == 0 {
			b.demand(w)
		}
	}
	return b.asks
}

// batch collects the requests of one moment: one for each edge.
type batch struct {
	n     *Node
	now   Time
	asks  []Ask
	index map[string]int // in asks, by address
}

// to returns the request for an edge.
func (b *batch) to(address string) *Ask {
	i, ok := b.index[address]
	if !ok {
		i = len(b.asks)
		b.index[address] = i
		b.asks = append(b.asks, b.n.ask(address, b.now))
	}
	return &b.asks[i]
}

// rank orders coordinators: those that get a request anyway, the others, and those that did
// not answer, for which a request should not wait.
func (b *batch) rank(c string) int {
	if _, ok := b.n.failures[c]; ok {
		return 2
	}
	if _, ok := b.index[c]; ok {
		return 0
	}
	return 1
}

// demand adds the requests for the tokens that a workspace needs.
func (b *batch) demand(w *workspace) {
	wanted, urgent := w.missing(b.now)
	if wanted == 0 {
		return
	}
	list, each := w.choose(wanted, b.now, urgent, b.rank)
	for _, c := range list {
		w.asking[c] += each
		a := b.to(c)
		a.Request.Demands = append(a.Request.Demands, Demand{Workspace: w.id, Wanted: each, Urgent: urgent, Used: w.used[c]})
		delete(w.used, c)
	}
}

// ask returns a request to an edge, without demands.
func (n *Node) ask(address string, now Time) Ask {
	return Ask{
		To: address, sentAt: now, generation: n.generation, dropped: n.dropped[address],
		Request: Request{From: n.members.self, ConfigVersion: n.version, Members: n.members.digest, Starting: !n.started},
	}
}

// hellos returns the edges to ask for their lists.
func (n *Node) hellos(now Time) []string {
	m := &n.members
	var list []string
	interval := staleHelloInterval
	switch {
	case !m.listed:
		return nil
	case !m.begun:
		list = m.unconfirmed(m.adoptedAt)
		if interval = helloInterval; now-m.adoptedAt > helloTime {
			interval = slowHelloInterval
		}
	case !m.isVerified || now-m.verifiedAt > confirmAge:
		list = m.unconfirmed(now - staleHelloInterval)
	}
	list = slices.DeleteFunc(list, func(address string) bool {
		at, ok := n.helloAt[address]
		return ok && now-at < interval
	})
	return list[:min(len(list), maxHellos)]
}

// Handle answers a request. A starting sender is a new process at its address: tokens that
// an earlier one granted are dropped, so that they do not add to what it grants.
func (n *Node) Handle(r Request, now Time) Grant {
	delete(n.failures, r.From)
	n.begin(now)
	if r.Starting && r.From != n.members.self {
		n.dropped[r.From]++
		for _, w := range n.active {
			w.drop(func(h holding) bool { return h.from == r.From })
			delete(w.used, r.From)
		}
	}
	g := Grant{ConfigVersion: n.version, Members: n.members.digest, Refused: !n.members.isCurrent(now)}
	for _, d := range r.Demands {
		t := Tokens{Workspace: d.Workspace, Next: refusedPause}
		if !g.Refused {
			n.grant(&t, d, now)
		}
		g.Tokens = append(g.Tokens, t)
	}
	return g
}

// grant fills in the answer to one demand.
func (n *Node) grant(t *Tokens, d Demand, now Time) {
	c := n.configs[d.Workspace]
	p := n.pool(d.Workspace, c, now)
	if p == nil {
		return
	}
	p.release(d.Used, now)
	leave := 0.0
	t.Life = minLife
	if !d.Urgent {
		leave = reserve * p.capacity
		t.Life = n.bounds.life(c.Quota)
	}
	t.Granted = p.take(d.Wanted, leave, t.Life, now)
	t.Next = 0
	if t.Granted < d.Wanted {
		// As many as are missing, but no more than a part of what the bucket can hold, so
		// that it does not fill up meanwhile.
		level := max(min(float64(d.Wanted-t.Granted), p.capacity*askedPart)+leave, 1)
		t.Next = min(max(p.until(level), minNext), maxNext)
	}
}

// pool returns the bucket of a workspace that this edge coordinates, or nil.
func (n *Node) pool(id uint64, c *config, now Time) *pool {
	if p := n.pools[id]; p != nil || c == nil {
		return p
	}
	m := &n.members
	_, position := m.ranked(id, 0)
	if !m.begun || position < 0 || position >= n.coordinatorCount() {
		return nil
	}
	p := &pool{bucket: bucket{at: now}, usedAt: now}
	n.resizePool(p, c)
	c.unused.advance(c.unused.capacity, now)
	k := float64(n.coordinatorCount())
	p.level = min(c.unused.level/k, p.rate*(now-m.begunAt).Seconds())
	if m.begunAt == n.firstBegunAt {
		p.level += n.bounds.start(c.Quota, position, n.coordinatorCount())
	}
	p.level = min(p.level, p.capacity)
	n.pools[id] = p
	return p
}

// Reply applies the reply to a request.
func (n *Node) Reply(a Ask, g Grant, now Time) {
	delete(n.failures, a.To)
	if a.To != n.members.self {
		n.members.confirm(a.To, g.Members, a.sentAt)
	}
	n.begin(now)
	void := a.generation+1 < n.generation || a.dropped != n.dropped[a.To]
	for i, d := range a.Request.Demands {
		w := n.used[d.Workspace]
		if w == nil {
			continue
		}
		w.answered(a.To, d.Wanted)
		if i >= len(g.Tokens) || g.Tokens[i].Workspace != d.Workspace {
			w.nextAt[a.To] = now + refusedPause
			continue
		}
		t := g.Tokens[i]
		if t.Granted < d.Wanted {
			if k := len(w.coordinators); k > 0 && w.coordinators[w.turn%k] == a.To {
				w.turn++
			}
			next := w.nextAt
			if !d.Urgent {
				next = w.laterAt
			} else if coordinates := !g.Refused && t.Life > 0; coordinates && int(t.Granted) < w.waiting {
				w.recordShort(now)
			}
			next[a.To] = now + min(max(t.Next, minNext), maxNext)
		}
		if !void && slices.Contains(w.coordinators, a.To) {
			w.hold(holding{from: a.To, count: min(t.Granted, n.mostFrom(w)), until: a.sentAt + min(t.Life, maxLife)})
		}
	}
}

// mostFrom returns the most tokens that a coordinator with the same configuration grants at
// once.
func (n *Node) mostFrom(w *workspace) uint32 {
	_, capacity := n.bounds.pool(w.quota)
	return uint32(max(capacity/float64(n.coordinatorCount()), 1)) + 1
}

// answered records that a request to a coordinator has ended, with or without a reply.
func (w *workspace) answered(coordinator string, wanted uint32) {
	if w.asking[coordinator] > wanted {
		w.asking[coordinator] -= wanted
		return
	}
	delete(w.asking, coordinator)
}

// Fail records that a request was not answered.
func (n *Node) Fail(a Ask, now Time) {
	pause := failPause
	if f, ok := n.failures[a.To]; ok {
		if pause = f.pause; now >= f.until {
			pause = min(2*f.pause, maxFailPause)
		}
	}
	n.failures[a.To] = failure{until: now + pause, pause: pause}
	for _, d := range a.Request.Demands {
		if w := n.used[d.Workspace]; w != nil {
			w.answered(a.To, d.Wanted)
			w.nextAt[a.To] = now + pause
		}
	}
}
