package policy

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// Reconfigurable is a policy that can be replaced at run time. When Policy or
// Without of the configuration change, it creates the new policy and transfers
// the state of the old one to it. No call is lost or sent twice.
type Reconfigurable struct {
	core.Policy
	seed    uint64
	name    string
	without []string
	now     time.Time
	err     error
}

// NewReconfigurable returns a policy that is the default one until a
// configuration is applied.
func NewReconfigurable(seed uint64) *Reconfigurable {
	return &Reconfigurable{Policy: newDefault(seed, nil), seed: seed, name: NameDefault}
}

// Configure applies a configuration. If it names a policy or a part that does not
// exist, the current policy stays, and Err returns the reason.
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
			transferState(f.now, f.Policy.(transferable), next.(transferable))
			f.Policy, f.name, f.without = next, name, slices.Clone(cfg.Without)
		}
	}
	f.Policy.Configure(cfg)
}

// Err returns why the last configuration did not change the policy, or nil.
func (f *Reconfigurable) Err() error { return f.err }

// Next removes the next request that can be dispatched now from the queue and
// assigns it to an upstream.
func (f *Reconfigurable) Next(now time.Time) (core.Assignment, bool) {
	f.now = now
	return f.Policy.Next(now)
}

// transferable is a policy whose state can be transferred to another policy. All
// policies of this package implement it.
type transferable interface {
	core.Policy
	sharedState() *base
	knownPrograms() []core.ProgramView
	adoptAttempt(att *attempt)
}

// transferState copies the upstreams, programs, attempts and waiting requests of
// one policy to another.
func transferState(now time.Time, from, to transferable) {
	b := from.sharedState()
	for _, u := range b.fleet.upstreams {
		to.SetUpstream(now, u.info)
		to.SetUpstreamState(now, u.info.ID, u.reachable, u.leaving)
	}
	for _, v := range from.knownPrograms() {
		to.ProgramRecovered(now, v)
	}
	for _, u := range b.fleet.upstreams {
		for _, att := range u.attempts {
			to.adoptAttempt(att)
		}
		if !u.loadReceived.IsZero() {
			to.OnLoad(u.loadReceived, u.load)
		}
	}
	waiting := slices.SortedFunc(maps.Values(b.queue.items), func(x, y *item) int { return cmp.Compare(x.seq, y.seq) })
	for _, it := range waiting {
		to.Enqueue(it.enqueuedAt, it.req)
	}
}

func (b *base) sharedState() *base { return b }

func (b *baseline) knownPrograms() []core.ProgramView { return nil }

func (b *baseline) adoptAttempt(att *attempt) { b.fleet.adoptAttempt(att) }

func (d *defaultPolicy) knownPrograms() []core.ProgramView {
	var views []core.ProgramView
	for _, id := range slices.Sorted(maps.Keys(d.programs)) {
		g := d.programs[id]
		views = append(views, core.ProgramView{ID: id, Root: core.RootOf(id), Caller: g.caller, Profile: g.profile})
	}
	return views
}

func (d *defaultPolicy) adoptAttempt(att *attempt) {
	if d.queueOrder != nil {
		d.queueOrder.charge(&att.req)
	}
	if n := d.fleet.adoptAttempt(att); n != nil && n.req.Call.Kind == core.KindModel {
		n.calls = 1
		n.reservation = n.req.Call.PromptTokens
		n.up.reservedTokens += n.reservation
	}
}

// adoptAttempt registers an attempt that was dispatched by another policy.
func (f *fleet) adoptAttempt(old *attempt) *attempt {
	u := f.byID[old.up.info.ID]
	if u == nil {
		return nil
	}
	att := f.dispatch(old.sentAt, &old.req, u, f.target(targetKeyOf(&old.req.Call)))
	att.firstToken = old.firstToken
	return att
}
