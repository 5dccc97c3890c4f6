package policy

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// Reconfigurable is a policy that follows the configuration in force: when Policy or
// Without change, it builds the new policy and hands over what it knows. No call
// is lost or sent twice.
type Reconfigurable struct {
	core.Policy
	seed    uint64
	name    string
	without []string
	now     time.Time
	err     error
}

// NewReconfigurable returns a policy that is the default one until a configuration is
// applied.
func NewReconfigurable(seed uint64) *Reconfigurable {
	return &Reconfigurable{Policy: newDefault(seed, nil), seed: seed, name: NameDefault}
}

// Configure puts a configuration in force. If it names a policy or a part that
// does not exist, the one in force stays; Err tells.
func (f *Reconfigurable) Configure(cfg core.Config) {
	name := cfg.Policy
	if name == "" {
		name = NameDefault
	}
	f.err = nil
	if name != f.name || !slices.Equal(cfg.Without, f.without) {
		next, err := New(name, f.seed, cfg.Without)
		if err != nil {
			f.err = err
		} else {
			handOver(f.now, f.Policy.(part), next.(part))
			f.Policy, f.name, f.without = next, name, slices.Clone(cfg.Without)
		}
	}
	f.Policy.Configure(cfg)
}

// Err returns why the last configuration did not change the policy, or nil.
func (f *Reconfigurable) Err() error { return f.err }

// Next takes the next request that can be dispatched now out of the queue.
func (f *Reconfigurable) Next(now time.Time) (core.Assignment, bool) {
	f.now = now
	return f.Policy.Next(now)
}

// part is a policy of this package, which can hand over its state.
type part interface {
	core.Policy
	shared() *base
	known() []core.ProgramView
	adopt(fl *flight)
}

// handOver gives the upstreams, programs, attempts and waiting requests of one
// policy to another.
func handOver(now time.Time, from, to part) {
	b := from.shared()
	for _, u := range b.fleet.list {
		to.SetUpstream(now, u.info)
		to.SetUpstreamState(now, u.info.ID, u.reachable, u.leaving)
	}
	for _, v := range from.known() {
		to.ProgramRecovered(now, v)
	}
	for _, u := range b.fleet.list {
		for _, fl := range u.flights {
			to.adopt(fl)
		}
		if !u.loadAt.IsZero() {
			to.OnLoad(u.loadAt, u.load)
		}
	}
	waiting := slices.SortedFunc(maps.Values(b.queue.items), func(x, y *item) int { return cmp.Compare(x.seq, y.seq) })
	for _, it := range waiting {
		to.Enqueue(it.since, it.req)
	}
}

func (b *base) shared() *base { return b }

func (b *baseline) known() []core.ProgramView { return nil }

func (b *baseline) adopt(fl *flight) { b.fleet.adopt(fl) }

func (d *defaultPolicy) known() []core.ProgramView {
	var views []core.ProgramView
	for _, id := range slices.Sorted(maps.Keys(d.programs)) {
		g := d.programs[id]
		views = append(views, core.ProgramView{ID: id, Root: core.RootOf(id), Caller: g.caller, Profile: g.profile})
	}
	return views
}

func (d *defaultPolicy) adopt(fl *flight) {
	if d.queueOrder != nil {
		d.queueOrder.charge(&fl.req)
	}
	if n := d.fleet.adopt(fl); n != nil && n.req.Call.Kind == core.KindModel {
		n.used = 1
		n.reserve = n.req.Call.PromptTokens
		n.up.reserved += n.reserve
	}
}

// adopt registers an attempt that another policy has sent.
func (f *fleet) adopt(old *flight) *flight {
	u := f.byID[old.up.info.ID]
	if u == nil {
		return nil
	}
	fl := f.dispatch(old.sent, &old.req, u, f.target(targetOf(&old.req.Call)))
	fl.firstToken = old.firstToken
	return fl
}
