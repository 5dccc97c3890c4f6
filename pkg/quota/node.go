package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Node is the part of one edge in keeping the quotas. It is not safe for concurrent use.
type Node struct {
	bounds  Bounds
	members members
	version uint64 // of the configuration
	configs map[uint64]*config
	used    map[uint64]*workspace // that this edge has requests of
	pools   map[uint64]*pool      // that this edge coordinates
	// started is set once the first list of edges has begun, at firstBegunAt.
	started      bool
	firstBegunAt Time

	active   []*workspace // the values of used, in a stable order
	failures map[string]failure
	helloAt  map[string]Time // last request for the list of each edge
	// dropped counts, by edge, how often its tokens were dropped because it had started again.
	// Replies to requests that were sent before are ignored.
	dropped    map[string]uint64
	generation uint64 // of the list of edges
	sweptAt    Time   // see sweep
}

// config is the quota of a workspace. The bucket has the level that the pool of all
// coordinators would have if it had not been used since the quota was first known.
type config struct {
	Quota
	unused bucket
}

// failure is an edge that did not answer.
type failure struct {
	until Time
	pause time.Duration
}

// NewNode returns the node of an edge that starts. self is the address of the edge.
func NewNode(bounds Bounds, self string) *Node {
	return &Node{
		bounds: bounds, members: members{self: self},
		configs: make(map[uint64]*config), used: make(map[uint64]*workspace), pools: make(map[uint64]*pool),
		failures: make(map[string]failure), helloAt: make(map[string]Time), dropped: make(map[string]uint64),
	}
}

// SetMembers sets the registered edges. An edge that is not one of them coordinates nothing.
func (n *Node) SetMembers(list []Member, now Time) {
	m := &n.members
	before, k := m.widen(n.coordinatorCount())
	first := !m.known
	if !m.set(list, now) {
		return
	}
	if !first {
		m.widestN, m.widestK = before, k
	}
	n.generation++
	clear(n.helloAt)
	m.update(now)
	for id := range n.pools {
		if !n.coordinates(id) {
			delete(n.pools, id)
		}
	}
	for _, w := range n.active {
		n.locate(w, now)
		w.drop(func(h holding) bool { return !slices.Contains(w.coordinators, h.from) })
		maps.DeleteFunc(w.used, func(c string, _ uint32) bool { return !slices.Contains(w.coordinators, c) })
	}
	n.resizePools(now)
}

// SetVerified records that the list of edges was current at a time. The list must have been
// set before.
func (n *Node) SetVerified(at Time) {
	if m := &n.members; !m.isVerified || at > m.verifiedAt {
		m.isVerified, m.verifiedAt = true, at
	}
}

// SetQuotas puts a configuration in force. Workspaces without a quota are not in it.
func (n *Node) SetQuotas(version uint64, quotas map[uint64]Quota, now Time) {
	n.version = version
	for id := range n.configs {
		if _, ok := quotas[id]; !ok {
			delete(n.configs, id)
			delete(n.pools, id)
			n.forget(id)
		}
	}
	for id, q := range quotas {
		c := n.configs[id]
		if c == nil {
			c = &config{unused: bucket{at: now}}
			n.configs[id] = c
		} else if c.Quota == q {
			continue
		}
		n.change(id, c, q, now)
	}
}

// change applies a new quota to the buckets and tokens of a workspace.
func (n *Node) change(id uint64, c *config, q Quota, now Time) {
	before := c.Quota
	c.Quota = q
	c.unused.advance(c.unused.capacity, now)
	c.unused.resize(n.bounds.pool(q))
	if p := n.pools[id]; p != nil {
		p.advance(now)
		n.resizePool(p, c)
	}
	w := n.used[id]
	if w == nil {
		return
	}
	w.quota = q
	if q.Rate < before.Rate {
		w.scale(q.Rate / before.Rate)
	}
	clear(w.nextAt)
	clear(w.laterAt)
	w.promisedAt = 0
	n.locate(w, now)
}

// coordinatorCount returns the number of coordinators by the current list.
func (n *Node) coordinatorCount() int { return n.bounds.coordinators(len(n.members.list)) }

// coordinates reports whether this edge is a coordinator of a workspace.
func (n *Node) coordinates(id uint64) bool {
	_, position := n.members.ranked(id, 0)
	return n.members.listed && position >= 0 && position < n.coordinatorCount()
}

// locate computes the coordinators, the life of tokens and the base bucket of a workspace from the
// list of edges and the quota.
func (n *Node) locate(w *workspace, now Time) {
	first, position := n.members.ranked(w.id, n.coordinatorCount())
	w.coordinators = first
	w.life = n.bounds.life(w.quota)
	for _, m := range []map[string]Time{w.nextAt, w.laterAt} {
		maps.DeleteFunc(m, func(c string, _ Time) bool { return !slices.Contains(first, c) })
	}
	w.base.advance(w.base.capacity, now)
	w.base.resize(n.baseOf(w.quota, position))
}

// baseOf returns rate and capacity of the base bucket of this edge, given its position among
// the edges of a workspace.
func (n *Node) baseOf(q Quota, position int) (rate, capacity float64) {
	count, _ := n.members.widen(n.coordinatorCount())
	holders, rate, capacity := n.bounds.base(q, count)
	if position < 0 || position >= holders {
		return 0, 0
	}
	return rate, capacity
}

// resizePools computes the parts of all pools of this edge.
func (n *Node) resizePools(now Time) {
	for id, p := range n.pools {
		p.advance(now)
		n.resizePool(p, n.configs[id])
	}
}

// resizePool computes rate and capacity of one pool.
func (n *Node) resizePool(p *pool, c *config) {
	_, k := n.members.widen(n.coordinatorCount())
	rate, capacity := n.bounds.pool(c.Quota)
	p.resize(rate/float64(k), max(capacity/float64(k), minCapacity))
}

// begin puts a new list of edges into use once members.update says that it has begun.
func (n *Node) begin(now Time) {
	m := &n.members
	if m.begun {
		return
	}
	m.update(now)
	if !m.begun {
		return
	}
	if !n.started {
		n.started, n.firstBegunAt = true, now
	}
	n.resizePools(now)
	for _, w := range n.active {
		n.locate(w, now)
	}
}

// state returns the state of a workspace that this edge has requests of.
func (n *Node) state(id uint64, now Time) *workspace {
	w := n.used[id]
	if w != nil {
		return w
	}
	c := n.configs[id]
	if c == nil {
		return nil
	}
	w = &workspace{
		id: id, quota: c.Quota, nextAt: make(map[string]Time), laterAt: make(map[string]Time), asking: make(map[string]uint32), used: make(map[string]uint32),
		base: bucket{at: now}, turn: int(mix(id^xxhash.Sum64String(n.members.self)) % maxCoordinators),
	}
	n.used[id] = w
	n.active = append(n.active, w)
	n.locate(w, now)
	for _, c := range w.coordinators {
		if f, ok := n.failures[c]; ok {
			w.nextAt[c] = f.until
		}
	}
	return w
}

// forget drops the state of a workspace that this edge has requests of.
func (n *Node) forget(id uint64) {
	if w := n.used[id]; w != nil {
		delete(n.used, id)
		n.active = slices.DeleteFunc(n.active, func(o *workspace) bool { return o == w })
	}
}

// sweepInterval is how often unused state is dropped.
const sweepInterval = time.Second

// sweep drops the state of workspaces without requests.
func (n *Node) sweep(now Time) {
	if now-n.sweptAt < sweepInterval {
		return
	}
	n.sweptAt = now
	n.active = slices.DeleteFunc(n.active, func(w *workspace) bool {
		idle := w.waiting == 0 && now-w.usedAt > idleAfter
		if idle {
			delete(n.used, w.id)
		}
		return idle
	})
	for id, p := range n.pools {
		if now-p.usedAt <= idleAfter {
			continue
		}
		if p.advance(now); p.isFull() {
			delete(n.pools, id)
		}
	}
}
