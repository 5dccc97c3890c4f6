package policy

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// targetKey names what a request asks for: a model, with an adapter or
// without, or a plain service.
type targetKey struct {
	kind    core.CallKind
	name    string
	adapter string
}

func targetOf(c *core.Call) targetKey {
	if c.Kind == core.KindService {
		return targetKey{kind: core.KindService, name: c.Service}
	}
	return targetKey{kind: core.KindModel, name: c.Model, adapter: c.Adapter}
}

// target collects the upstreams that serve one key and the lanes of requests
// that wait for it.
type target struct {
	key     targetKey
	groups  []*group // one per region, sorted by region
	lanes   []*lane
	lost    time.Time // when the last usable member was lost; zero if there is one
	seen    bool      // had a usable member at some time
	service float64   // moving average of the time of one call, s
}

func (t *target) usable() bool {
	for _, g := range t.groups {
		if len(g.heap) > 0 {
			return true
		}
	}
	return false
}

// group is the members of a target in one region.
type group struct {
	target *target
	region string
	all    []*member // every known member, in order of arrival
	heap   []*member // members that may receive work, a min-heap by key
	others int       // sum of the members' foreign calls, see upstream.others
	next   int       // cursor of round-robin and of the refresh of old keys
}

func (g *group) mean() float64 {
	if len(g.heap) == 0 {
		return 0
	}
	return float64(g.others) / float64(len(g.heap))
}

// member is the membership of an upstream in a group.
type member struct {
	up    *upstream
	group *group
	pos   int // in group.heap, -1 when absent
	key   float64
}

// flight is an attempt on its way.
type flight struct {
	id         core.AttemptID
	up         *upstream
	target     *target
	req        core.Request
	index      int // in up.flights
	sent       time.Time
	firstToken time.Time
	missing    int64 // prompt tokens that the engine was expected not to hold
	used       int   // estimated calls on the upstream at dispatch
	probe      bool  // sent to test an upstream whose breaker is half open
}

// span is the lifetime of an ended attempt, kept until a load report covers it.
type span struct{ sent, ended time.Time }

// upstream is what the policy knows about one upstream.
type upstream struct {
	info      core.UpstreamInfo
	reachable bool
	leaving   bool
	members   []*member
	flights   []*flight
	ended     []span
	queued    int64     // missing prompt tokens of own calls without a first token
	suspects  int       // own suspects on board
	born      time.Time // when this incarnation became known
	load      core.Load
	loadAt    time.Time // when the report arrived
	others    int       // calls of other entries, from the last report
	otherTok  int64     // queued prompt tokens of other entries

	limit   limitState
	breaker breakerState
	cache   cacheState
	pause   pauseState
	retry   bucket
}

func (u *upstream) own() int { return len(u.flights) }

func (u *upstream) slots() int { return max(u.info.Slots, 1) }

// fleet indexes the upstreams by target and region and tracks the attempts on
// their way.
type fleet struct {
	rng       *rand.Rand
	byID      map[core.UpstreamID]*upstream
	list      []*upstream // sorted by id
	targets   map[targetKey]*target
	order     []*target // targets in order of creation
	flights   map[core.AttemptID]*flight
	free      []*flight
	keyOf     func(*member) float64 // rank in the heap, lowest first
	available func(*upstream) bool  // beyond reachable and not leaving
}

func newFleet(seed uint64) *fleet {
	return &fleet{
		rng:       rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		byID:      map[core.UpstreamID]*upstream{},
		targets:   map[targetKey]*target{},
		flights:   map[core.AttemptID]*flight{},
		keyOf:     func(m *member) float64 { return float64(m.up.own()) },
		available: func(*upstream) bool { return true },
	}
}

func (f *fleet) target(k targetKey) *target {
	t := f.targets[k]
	if t == nil {
		t = &target{key: k, service: defaultServiceTime(k.kind)}
		f.targets[k] = t
		f.order = append(f.order, t)
	}
	return t
}

// defaultServiceTime is the time of one call in seconds before one was seen.
func defaultServiceTime(k core.CallKind) float64 {
	if k == core.KindService {
		return 0.2
	}
	return 4
}

func (t *target) group(region string) *group {
	i, ok := slices.BinarySearchFunc(t.groups, region, func(g *group, r string) int { return strings.Compare(g.region, r) })
	if !ok {
		t.groups = slices.Insert(t.groups, i, &group{target: t, region: region})
	}
	return t.groups[i]
}

// set adds an upstream or replaces its description. It reports the upstream and
// whether it is new or was restarted.
func (f *fleet) set(now time.Time, info core.UpstreamInfo) (u *upstream, fresh bool) {
	u = f.byID[info.ID]
	if u == nil {
		u = &upstream{reachable: true}
		f.byID[info.ID] = u
		i, _ := slices.BinarySearchFunc(f.list, info.ID, func(x *upstream, id core.UpstreamID) int {
			return strings.Compare(string(x.info.ID), string(id))
		})
		f.list = slices.Insert(f.list, i, u)
		fresh = true
	} else {
		fresh = u.info.Incarnation != info.Incarnation
		f.leaveGroups(now, u)
	}
	if fresh {
		u.born = now
		u.others, u.otherTok, u.load, u.loadAt = 0, 0, core.Load{}, time.Time{}
	}
	u.info = info
	for _, k := range keysOf(&info) {
		g := f.target(k).group(info.Region)
		m := &member{up: u, group: g, pos: -1}
		g.all = append(g.all, m)
		g.others += u.others
		u.members = append(u.members, m)
	}
	f.refresh(now, u)
	return u, fresh
}

// keysOf lists the targets that an upstream serves. Which model an adapter
// belongs to is not stated, so every pair is a target.
func keysOf(info *core.UpstreamInfo) []targetKey {
	if info.Kind == core.KindService {
		return []targetKey{{kind: core.KindService, name: info.Service}}
	}
	keys := make([]targetKey, 0, len(info.Models)*(1+len(info.Adapters)))
	for _, m := range info.Models {
		keys = append(keys, targetKey{kind: core.KindModel, name: m})
		for _, a := range info.Adapters {
			keys = append(keys, targetKey{kind: core.KindModel, name: m, adapter: a})
		}
	}
	return keys
}

func (f *fleet) leaveGroups(now time.Time, u *upstream) {
	for _, m := range u.members {
		m.group.remove(m)
		m.group.others -= u.others
		i := slices.Index(m.group.all, m)
		m.group.all = slices.Delete(m.group.all, i, i+1)
		if !m.group.target.usable() && m.group.target.lost.IsZero() {
			m.group.target.lost = now
		}
	}
	u.members = u.members[:0]
}

func (f *fleet) remove(now time.Time, id core.UpstreamID) *upstream {
	u := f.byID[id]
	if u == nil {
		return nil
	}
	f.leaveGroups(now, u)
	delete(f.byID, id)
	f.list = slices.DeleteFunc(f.list, func(x *upstream) bool { return x == u })
	return u
}

// refresh brings the rank of an upstream up to date in all its groups and wakes
// the lanes that it can serve.
func (f *fleet) refresh(now time.Time, u *upstream) { f.rerank(now, u, true) }

func (f *fleet) rerank(now time.Time, u *upstream, wake bool) {
	ok := u.reachable && !u.leaving && f.available(u)
	for _, m := range u.members {
		t := m.group.target
		if !ok {
			m.group.remove(m)
			if t.lost.IsZero() && !t.usable() {
				t.lost = now
			}
			continue
		}
		m.key = f.keyOf(m)
		m.group.fix(m)
		t.lost, t.seen = time.Time{}, true
		if wake {
			t.wake()
		}
	}
}

// wake lets the lanes of a target try again.
func (t *target) wake() {
	for _, l := range t.lanes {
		l.unblock()
	}
}

// dispatch registers an attempt on an upstream.
func (f *fleet) dispatch(now time.Time, r *core.Request, u *upstream, t *target) *flight {
	var fl *flight
	if n := len(f.free); n > 0 {
		fl, f.free = f.free[n-1], f.free[:n-1]
	} else {
		fl = new(flight)
	}
	*fl = flight{id: r.Attempt, up: u, target: t, req: *r, index: len(u.flights), sent: now}
	fl.req.Call.Request = nil // the policy has no use for the body
	u.flights = append(u.flights, fl)
	if r.Suspect {
		u.suspects++
	}
	f.flights[r.Attempt] = fl
	f.rerank(now, u, false)
	return fl
}

// end takes an attempt off its upstream. The flight is valid until the next
// dispatch.
func (f *fleet) end(now time.Time, id core.AttemptID) *flight {
	fl := f.flights[id]
	if fl == nil {
		return nil
	}
	delete(f.flights, id)
	u := fl.up
	last := len(u.flights) - 1
	u.flights[fl.index] = u.flights[last]
	u.flights[fl.index].index = fl.index
	u.flights[last] = nil
	u.flights = u.flights[:last]
	if fl.firstToken.IsZero() {
		u.queued -= fl.missing
	}
	if fl.req.Suspect {
		u.suspects--
	}
	if len(u.ended) < maxEnded {
		u.ended = append(u.ended, span{fl.sent, now})
	}
	f.free = append(f.free, fl)
	f.refresh(now, u)
	return fl
}

// maxEnded bounds the ended attempts remembered per upstream between two load
// reports. More than this between reports only makes the estimate of foreign
// calls higher.
const maxEnded = 512

func (f *fleet) firstToken(now time.Time, id core.AttemptID) *flight {
	fl := f.flights[id]
	if fl == nil || !fl.firstToken.IsZero() {
		return nil
	}
	fl.firstToken = now
	fl.up.queued -= fl.missing
	return fl
}

// onLoad takes a lagged report and separates the calls of other entries from
// the own ones, which are known exactly.
func (f *fleet) onLoad(now time.Time, l core.Load) *upstream {
	u := f.byID[l.Upstream]
	if u == nil || l.Measured.Before(u.load.Measured) {
		return nil
	}
	own, ownTok := 0, int64(0)
	for _, fl := range u.flights {
		if fl.sent.After(l.Measured) {
			continue
		}
		own++
		if fl.firstToken.IsZero() || fl.firstToken.After(l.Measured) {
			ownTok += fl.missing
		}
	}
	keep := u.ended[:0]
	for _, s := range u.ended {
		if s.ended.After(l.Measured) {
			keep = append(keep, s)
			if !s.sent.After(l.Measured) {
				own++
			}
		}
	}
	u.ended = keep
	others := max(0, l.Running+l.Waiting-own)
	for _, m := range u.members {
		m.group.others += others - u.others
	}
	u.others = others
	u.otherTok = max(0, l.QueuedTokens-ownTok)
	u.load, u.loadAt = l, now
	f.refresh(now, u)
	return u
}
