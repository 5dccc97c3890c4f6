package policy

import (
	"container/heap"
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// laneKey separates waiting requests that compete for different upstreams, so
// that a full model does not hold up the requests of another one.
type laneKey struct {
	targetKey
	region string
}

// item is a waiting request.
type item struct {
	req   core.Request
	lane  *lane
	key   float64 // rank, lowest first
	seq   uint64  // order of arrival
	since time.Time
	index int // in lane.items, -1 while parked
	rank  int // class rank
}

// lane holds the waiting requests of one target and region in order.
type lane struct {
	target  *target
	region  string
	items   laneHeap
	parked  []*item // cannot be placed now although others of the lane may be
	active  int     // in lanes.active, -1 while nothing waits
	blocked bool    // nothing of the lane can be placed until it is woken
	retryAt time.Time
	ranks   [classCount]int // waiting requests per class rank
}

// blockedRetry is the longest time that a blocked lane waits before it is tried
// again without an event. It covers conditions that end by time alone: a
// half-open breaker, slow start, a crossing that has come to pay.
const blockedRetry = 20 * time.Millisecond

func (l *lane) len() int { return len(l.items) + len(l.parked) }

func (l *lane) unblock() {
	l.blocked = false
	for _, it := range l.parked {
		heap.Push(&l.items, it)
	}
	clear(l.parked)
	l.parked = l.parked[:0]
}

func (l *lane) block(now time.Time) {
	l.blocked = true
	l.retryAt = now.Add(blockedRetry)
}

// park sets the head of the lane aside until the lane is woken.
func (l *lane) park() {
	it := heap.Pop(&l.items).(*item)
	l.parked = append(l.parked, it)
}

// lanes is the waiting queue.
type lanes struct {
	fleet *fleet
	byKey map[laneKey]*lane
	list  []*lane
	// active are the lanes with waiting requests, in no particular order:
	// what is chosen from them does not depend on it.
	active []*lane
	items  map[core.CallID]*item
	seq    uint64
	free   []*item
	// loadable tells whether a target without members can be brought up by
	// placement; nil if there is none.
	loadable func(*target) bool
}

func newLanes(f *fleet) *lanes {
	return &lanes{fleet: f, byKey: map[laneKey]*lane{}, items: map[core.CallID]*item{}}
}

func (q *lanes) len() int { return len(q.items) }

func (q *lanes) lane(k laneKey) *lane {
	l := q.byKey[k]
	if l == nil {
		t := q.fleet.target(k.targetKey)
		l = &lane{target: t, region: k.region, active: -1}
		q.byKey[k] = l
		q.list = append(q.list, l)
		t.lanes = append(t.lanes, l)
	}
	return l
}

func (q *lanes) push(now time.Time, r core.Request, key float64) *item {
	if old := q.items[r.Call.ID]; old != nil {
		q.take(old)
	}
	var it *item
	if n := len(q.free); n > 0 {
		it, q.free = q.free[n-1], q.free[:n-1]
	} else {
		it = new(item)
	}
	l := q.lane(laneKey{targetOf(&r.Call), r.Program.Region})
	q.seq++
	*it = item{req: r, lane: l, key: key, seq: q.seq, since: now, rank: rankOf(r.Program.Profile.Class)}
	q.items[r.Call.ID] = it
	l.ranks[it.rank]++
	heap.Push(&l.items, it)
	if l.active < 0 {
		l.active = len(q.active)
		q.active = append(q.active, l)
	}
	if len(l.items) == 1 || l.items[0] == it {
		l.blocked = false
	}
	return it
}

// first returns the lane whose head comes first, among those not blocked.
func (q *lanes) first(now time.Time) *lane {
	var best *lane
	for _, l := range q.active {
		if l.blocked && !now.Before(l.retryAt) {
			l.unblock()
		}
		if l.blocked || len(l.items) == 0 {
			continue
		}
		if best == nil || l.items.before(l.items[0], best.items[0]) {
			best = l
		}
	}
	return best
}

// take removes an item from the queue and returns its request.
func (q *lanes) take(it *item) core.Request {
	r := it.req
	l := it.lane
	if it.index >= 0 {
		heap.Remove(&l.items, it.index)
	} else {
		for i, p := range l.parked {
			if p == it {
				l.parked = append(l.parked[:i], l.parked[i+1:]...)
				break
			}
		}
	}
	l.ranks[it.rank]--
	if l.len() == 0 {
		last := len(q.active) - 1
		q.active[l.active] = q.active[last]
		q.active[l.active].active = l.active
		q.active[last] = nil
		q.active = q.active[:last]
		l.active = -1
	}
	delete(q.items, r.Call.ID)
	*it = item{}
	q.free = append(q.free, it)
	return r
}

func (q *lanes) remove(id core.CallID) (core.Request, bool) {
	it := q.items[id]
	if it == nil {
		return core.Request{}, false
	}
	return q.take(it), true
}

// unroutableGrace is how long requests wait for a target that had members and
// lost the last one, before they are refused. An admitted program is carried
// through, so the time covers the restart of an engine process (5 s in the
// stand-in), its health check, and the 3 s after which a silent connection is
// replaced; 3 s refused calls that were on board of a crash of both engines.
const unroutableGrace = 15 * time.Second

// adapterGrace is how long requests wait for an adapter that is being loaded.
const adapterGrace = 10 * time.Second

// unroutable takes the requests out of the queue that nothing can serve.
func (q *lanes) unroutable(now time.Time) []core.Request {
	var out []core.Request
	for i := len(q.active) - 1; i >= 0; i-- { // an emptied lane leaves the list
		l := q.active[i]
		t := l.target
		if t.usable() {
			continue
		}
		if t.seen && now.Sub(t.lost) < unroutableGrace {
			continue
		}
		if !t.seen && q.loadable != nil && q.loadable(t) {
			if t.lost.IsZero() {
				t.lost = now
			}
			if now.Sub(t.lost) < adapterGrace {
				continue
			}
		}
		l.unblock()
		for len(l.items) > 0 {
			out = append(out, q.take(l.items[0]))
		}
	}
	if len(out) > 0 {
		q.forget()
	}
	return out
}

// forget drops the lanes of targets that never had a member, so that requests
// for names that do not exist leave nothing behind.
func (q *lanes) forget() {
	unknown := func(t *target) bool { return !t.seen && len(t.groups) == 0 }
	q.list = slices.DeleteFunc(q.list, func(l *lane) bool {
		if !unknown(l.target) || l.len() > 0 {
			return false
		}
		delete(q.byKey, laneKey{l.target.key, l.region})
		l.target.lanes = slices.DeleteFunc(l.target.lanes, func(x *lane) bool { return x == l })
		return true
	})
	f := q.fleet
	f.order = slices.DeleteFunc(f.order, func(t *target) bool {
		if !unknown(t) || len(t.lanes) > 0 {
			return false
		}
		delete(f.targets, t.key)
		return true
	})
}

// laneHeap is a min-heap of items by key, then by arrival.
type laneHeap []*item

func (h laneHeap) before(a, b *item) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	return a.seq < b.seq
}

func (h laneHeap) Len() int           { return len(h) }
func (h laneHeap) Less(i, j int) bool { return h.before(h[i], h[j]) }
func (h laneHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *laneHeap) Push(x any) {
	it := x.(*item)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *laneHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.index = -1
	return it
}

// classCount is the number of latency classes.
const classCount = 3

// rankOf orders the latency classes, 0 first. An unknown class counts as
// standard.
func rankOf(c core.Class) int {
	switch c {
	case core.ClassInteractive:
		return 0
	case core.ClassBatch:
		return 2
	default:
		return 1
	}
}
