package policy

import (
	"container/heap"
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// laneKey identifies a lane. Requests that compete for different upstreams wait
// in separate lanes, so that a saturated model does not block the requests of
// another one.
type laneKey struct {
	targetKey
	region string
}

// item is a waiting request.
type item struct {
	req        core.Request
	lane       *lane
	key        float64 // position in the queue, lowest first
	seq        uint64  // order of arrival
	enqueuedAt time.Time
	index      int // in lane.items, -1 while deferred
	rank       int // class rank
}

// lane is the queue of one target and region.
type lane struct {
	target        *target
	region        string
	items         laneHeap
	deferred      []*item // can't be dispatched now, although others of the lane may be
	active        int     // index in lanes.active, -1 while the lane is empty
	blocked       bool    // nothing can be dispatched until unblock or retryAt
	retryAt       time.Time
	waitingByRank [classCount]int // number of waiting requests per class rank
}

// blockedRetryInterval is the time after which a blocked lane is tried again
// without an event. It covers conditions that change with time only: a half-open
// breaker, slow start, and waits that have become longer than the cost of another
// region.
const blockedRetryInterval = 20 * time.Millisecond

func (l *lane) len() int { return len(l.items) + len(l.deferred) }

// unblock lets the lane be tried again, with its deferred requests.
func (l *lane) unblock() {
	l.blocked = false
	for _, it := range l.deferred {
		heap.Push(&l.items, it)
	}
	clear(l.deferred)
	l.deferred = l.deferred[:0]
}

// block excludes the lane from dispatch until unblock or blockedRetryInterval.
func (l *lane) block(now time.Time) {
	l.blocked = true
	l.retryAt = now.Add(blockedRetryInterval)
}

// deferFirst moves the first request of the lane to the deferred ones until the
// lane is unblocked.
func (l *lane) deferFirst() {
	it := heap.Pop(&l.items).(*item)
	l.deferred = append(l.deferred, it)
}

// lanes is the waiting queue, which consists of one lane per target and region.
type lanes struct {
	fleet *fleet
	byKey map[laneKey]*lane
	all   []*lane
	// active holds the lanes with waiting requests in arbitrary order; the result
	// of first does not depend on it.
	active    []*lane
	items     map[core.CallID]*item
	seq       uint64
	freeItems []*item
	// loadable reports whether placement can load a target without members. It is
	// nil without placement.
	loadable func(*target) bool
}

func newLanes(f *fleet) *lanes {
	return &lanes{fleet: f, byKey: map[laneKey]*lane{}, items: map[core.CallID]*item{}}
}

func (q *lanes) len() int { return len(q.items) }

// lane returns the lane of a key and creates it if necessary.
func (q *lanes) lane(k laneKey) *lane {
	l := q.byKey[k]
	if l == nil {
		t := q.fleet.target(k.targetKey)
		l = &lane{target: t, region: k.region, active: -1}
		q.byKey[k] = l
		q.all = append(q.all, l)
		t.lanes = append(t.lanes, l)
	}
	return l
}

// push adds a request to its lane. A waiting request with the same call ID is
// replaced.
func (q *lanes) push(now time.Time, r core.Request, key float64) *item {
	if old := q.items[r.Call.ID]; old != nil {
		q.take(old)
	}
	var it *item
	if n := len(q.freeItems); n > 0 {
		it, q.freeItems = q.freeItems[n-1], q.freeItems[:n-1]
	} else {
		it = new(item)
	}
	l := q.lane(laneKey{targetKeyOf(&r.Call), r.Program.Region})
	q.seq++
	*it = item{req: r, lane: l, key: key, seq: q.seq, enqueuedAt: now, rank: classRank(r.Program.Profile.Class)}
	q.items[r.Call.ID] = it
	l.waitingByRank[it.rank]++
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

// first returns the lane whose first request is first in the whole queue, or nil
// if all lanes are empty or blocked.
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
		for i, p := range l.deferred {
			if p == it {
				l.deferred = append(l.deferred[:i], l.deferred[i+1:]...)
				break
			}
		}
	}
	l.waitingByRank[it.rank]--
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
	q.freeItems = append(q.freeItems, it)
	return r
}

// remove removes a call from the queue and returns its request.
func (q *lanes) remove(id core.CallID) (core.Request, bool) {
	it := q.items[id]
	if it == nil {
		return core.Request{}, false
	}
	return q.take(it), true
}

// unroutableGrace is how long requests wait for a target that has lost its last
// usable member before they are refused. Admitted programs should complete, so
// it covers the restart of an engine process (5 s in the stand-in), its health
// check, and the 3 s after which a silent connection is replaced. With 3 s, calls
// that were running when both engines crashed were refused.
const unroutableGrace = 15 * time.Second

// adapterGrace is how long requests wait for an adapter that is being loaded.
const adapterGrace = 10 * time.Second

// unroutable removes the requests that no upstream can serve from the queue and
// returns them.
func (q *lanes) unroutable(now time.Time) []core.Request {
	var out []core.Request
	for i := len(q.active) - 1; i >= 0; i-- { // take removes emptied lanes from active
		l := q.active[i]
		t := l.target
		if t.usable() {
			continue
		}
		if t.everUsable && now.Sub(t.unusableSince) < unroutableGrace {
			continue
		}
		if !t.everUsable && q.loadable != nil && q.loadable(t) {
			if t.unusableSince.IsZero() {
				t.unusableSince = now
			}
			if now.Sub(t.unusableSince) < adapterGrace {
				continue
			}
		}
		l.unblock()
		for len(l.items) > 0 {
			out = append(out, q.take(l.items[0]))
		}
	}
	if len(out) > 0 {
		q.dropUnknownTargets()
	}
	return out
}

// dropUnknownTargets removes the targets that never had a member, with their
// empty lanes. Otherwise requests for names that don't exist would use memory
// forever.
func (q *lanes) dropUnknownTargets() {
	unknown := func(t *target) bool { return !t.everUsable && len(t.groups) == 0 }
	q.all = slices.DeleteFunc(q.all, func(l *lane) bool {
		if !unknown(l.target) || l.len() > 0 {
			return false
		}
		delete(q.byKey, laneKey{l.target.key, l.region})
		l.target.lanes = slices.DeleteFunc(l.target.lanes, func(x *lane) bool { return x == l })
		return true
	})
	f := q.fleet
	f.targetList = slices.DeleteFunc(f.targetList, func(t *target) bool {
		if !unknown(t) || len(t.lanes) > 0 {
			return false
		}
		delete(f.targets, t.key)
		return true
	})
}

// laneHeap is a min-heap of items ordered by key, then by arrival.
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

// classRank returns the rank of a latency class, where 0 is served first. An
// unknown class counts as standard.
func classRank(c core.Class) int {
	switch c {
	case core.ClassInteractive:
		return 0
	case core.ClassBatch:
		return 2
	default:
		return 1
	}
}
