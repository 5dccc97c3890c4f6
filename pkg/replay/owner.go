package replay

import (
	"fmt"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

const (
	// tickEvery is the interval at which daemons tick the core.
	tickEvery = 100 * time.Millisecond
	// silentAfter is the time in which a silent connection is noticed.
	silentAfter = 3 * time.Second
	// storeMs and storeJitterMs give the time of a store call.
	storeMs, storeJitterMs = 3.0, 3.0
	// checkpointObjects is the number of journal objects after which the owner
	// writes a checkpoint and deletes them.
	checkpointObjects = 64
)

// owner drives one core as the entry daemon does: it carries out effects, keeps
// the journal, and feeds results back as events.
type owner struct {
	s     *sim
	place place
	name  core.Incarnation
	core  *core.Core

	calls map[core.CallID]*pending
	opens map[core.CallID]func(id core.ProgramID, r *core.Refusal)
	ticks time.Time // time of the earliest scheduled wake-up

	// The journal: one append in flight, the next batch gathers meanwhile.
	written, inFlight, wanted core.Seq
	objects                   int
}

func newOwner(s *sim, region string, n int, policy core.Policy) *owner {
	o := &owner{
		s: s, name: core.Incarnation(fmt.Sprintf("entry-%d.1", n)),
		calls: map[core.CallID]*pending{}, opens: map[core.CallID]func(core.ProgramID, *core.Refusal){},
	}
	o.place = place{region: region}
	for _, u := range s.trace.Header.Deployment.Upstreams {
		if u.Region == region {
			o.place.domain = u.FailureDomain
			break
		}
	}
	o.core = core.New(core.Options{Self: o.name, Region: region, Seed: s.opts.Seed, Policy: policy, Faults: s.opts.Faults})
	return o
}

// start puts the configuration in force and gives the owner its slots.
func (o *owner) start(slots map[core.Slot]core.Epoch) {
	o.step(core.ConfigApplied{At: o.at(), Config: o.s.config})
	o.step(core.SlotsAcquired{At: o.at(), Slots: slots})
	for _, u := range o.s.upstreams {
		o.step(core.UpstreamChanged{At: o.at(), Info: u.info})
		o.step(core.UpstreamState{At: o.at(), Upstream: u.info.ID, Reachable: true})
	}
	o.tick()
}

func (o *owner) at() core.At { return core.At{Time: o.s.now} }

// tick sends the periodic Tick until the replay has ended.
func (o *owner) tick() {
	if o.s.ended {
		return
	}
	o.step(core.Tick{At: o.at()})
	o.s.after(tickEvery, o.tick)
}

// step applies an event to the core and carries out the effects.
func (o *owner) step(e core.Event) {
	for _, f := range o.core.Step(e) {
		o.carryOut(f)
	}
	if w := o.core.NextWake(); !w.IsZero() && (o.ticks.IsZero() || w.Before(o.ticks) || !o.ticks.After(o.s.now)) && !o.s.ended {
		// Wakes beyond the next periodic tick need no event of their own.
		if w.Sub(o.s.now) < tickEvery {
			o.ticks = w
			o.s.at(w, func() { o.step(core.Tick{At: o.at()}) })
		}
	}
}

func (o *owner) carryOut(f core.Effect) {
	switch f := f.(type) {
	case core.AppendJournal:
		o.wanted = f.Seq
		o.append()
	case core.Dispatch:
		o.dispatch(f)
	case core.CancelAttempt:
		if a := o.s.attempts[f.Attempt]; a != nil {
			o.toSidecar(a.up, bytesPerMessage, func() { a.up.cancel(a) })
		}
	case core.ResolveClaim:
		o.resolve(f)
	case core.Reply:
		o.reply(f)
	case core.JoinCall:
		if p, to := o.calls[f.Call], o.calls[f.To]; p != nil && to != nil {
			to.joined = append(to.joined, f.Call)
		}
	case core.Refuse:
		o.refuse(f)
	case core.Opened:
		if done := o.opens[f.Call]; done != nil {
			delete(o.opens, f.Call)
			done(f.ID, nil)
		}
	case core.EngineOrder:
		if u := o.s.byID[f.Upstream]; u != nil {
			o.toSidecar(u, bytesPerMessage, func() { u.order(o, f) })
		}
	case core.ShareQuarantine:
		for _, other := range o.s.owners {
			if other != o && !o.s.net.cut(o.place, other.place) {
				o.s.after(o.s.net.delay(o.place, other.place, bytesPerMessage), func() {
					other.step(core.QuarantineChanged{At: other.at(), Fingerprint: f.Fingerprint, Count: f.Count, Until: f.Until, Released: f.Released})
				})
			}
		}
	}
}

// toSidecar sends a message to an upstream's sidecar. It is lost if the way is
// cut when it is sent or the failure domain is lost when it arrives.
func (o *owner) toSidecar(u *upstream, bytes int64, deliver func()) {
	if o.s.net.cut(o.place, u.place) {
		return
	}
	o.s.after(o.s.net.delay(o.place, u.place, bytes), func() {
		if !u.lost {
			deliver()
		}
	})
}

// append writes the journal: one object in flight, and while the store does not
// answer, the batches are retained by a peer in another failure domain.
func (o *owner) append() {
	if o.inFlight > 0 || o.wanted == o.written {
		o.retain()
		return
	}
	if o.storeDown() {
		o.retain()
		return
	}
	o.inFlight = o.wanted
	o.storeCall(1)
	if o.objects++; o.objects%checkpointObjects == 0 {
		o.storeCall(1 + checkpointObjects) // the checkpoint and the deletions
	}
	ms := storeMs + storeJitterMs*o.s.rand.Float64()
	if o.place.region != o.s.trace.Header.Deployment.Regions[0] {
		ms += 2 * o.s.trace.Header.Deployment.Link.OneWayMs
	}
	o.s.after(time.Duration(ms*float64(time.Millisecond)), o.appended)
}

func (o *owner) appended() {
	if o.storeDown() {
		o.retain()
		o.s.after(500*time.Millisecond, o.appended) // the writer tries again
		return
	}
	o.written, o.inFlight = o.inFlight, 0
	o.step(core.JournalCommitted{At: o.at(), Seq: o.written})
	if o.inFlight == 0 && o.wanted > o.written {
		o.append()
	}
}

// storeDown reports whether the owner cannot reach the store.
func (o *owner) storeDown() bool {
	store := place{region: o.s.trace.Header.Deployment.Regions[0]}
	return o.s.storeOut || o.s.net.cut(o.place, store)
}

// retain hands the batch to a peer during an outage of the store.
func (o *owner) retain() {
	if !o.storeDown() {
		return
	}
	seq := o.wanted
	roundTrip := 2 * time.Duration(o.s.trace.Header.Deployment.DomainMs*float64(time.Millisecond))
	o.s.after(roundTrip, func() { o.step(core.JournalRetained{At: o.at(), Seq: seq}) })
}

// storeBack resumes the journal after an outage.
func (o *owner) storeBack() {
	if o.inFlight == 0 && o.wanted > o.written {
		o.append()
	}
}

func (o *owner) storeCall(n int) { o.s.storeCalls += n }

// dispatch sends an attempt to its upstream.
func (o *owner) dispatch(f core.Dispatch) {
	p, u := o.calls[f.Call], o.s.byID[f.Upstream]
	if u == nil {
		return
	}
	a := &attempt{id: f.Attempt, owner: o, call: p, up: u, priority: f.Priority, maxTokens: f.MaxTokens}
	o.s.attempts[f.Attempt] = a
	u.sent[f.Attempt] = a
	if p == nil {
		// The call's caller is gone; the replay has no content to send.
		o.s.after(0, func() { a.fail(core.AttemptFailed{Ran: core.RanNo, Step: "dispatch", Message: "call is gone"}) })
		return
	}
	if o.s.net.cut(o.place, u.place) || u.lost {
		a.failAfter(silentAfter, core.RanUnknown)
		return
	}
	bytes := int64(bytesPerMessage)
	if p.prompt > 0 {
		bytes += p.prompt * bytesPerPromptToken
	}
	o.toSidecar(u, bytes, func() { u.receive(a) })
}

// resolveGrace is the time after which a claim whose sidecar cannot be reached
// is resolved as unknown.
const resolveGrace = 8 * time.Second

// resolve asks for the outcome of a claim whose answer was lost: the sidecar
// first, then the service by key. A service that knows nothing of the key
// proves that the call did not run only if the process that had it is gone.
func (o *owner) resolve(f core.ResolveClaim) {
	a, u := o.s.attempts[f.Attempt], o.s.byID[f.Upstream]
	answer := func(ran core.Ran) {
		e := core.OutcomeResolved{Attempt: f.Attempt, Ran: ran}
		if ran == core.RanYes {
			e.Answer = core.Answer{Status: 200, Body: []byte("ok")}
		}
		o.s.after(2*o.s.net.delay(o.place, u.place, bytesPerMessage), func() {
			e.At = o.at()
			o.step(e)
		})
	}
	if a == nil || u == nil {
		return
	}
	reachable := !o.s.net.cut(o.place, u.place) && !u.lost
	switch {
	case a.effect:
		if reachable || o.s.config.Services[f.Service].OutcomeByKey {
			answer(core.RanYes)
			return
		}
	case reachable && !a.working, a.dead && o.s.config.Services[f.Service].OutcomeByKey:
		a.dead = true // the sidecar rejects it from now on
		answer(core.RanNo)
		return
	}
	if !a.resolving {
		a.resolving = true
		o.s.after(resolveGrace, func() { o.resolve(f) })
		return
	}
	answer(core.RanUnknown)
}

// complete takes a call and those that joined it out of the table and passes
// each on.
func (o *owner) complete(id core.CallID, pass func(*pending)) {
	p := o.calls[id]
	if p == nil {
		return
	}
	delete(o.calls, id)
	for _, joined := range p.joined {
		if j := o.calls[joined]; j != nil {
			delete(o.calls, joined)
			pass(j)
		}
	}
	pass(p)
}

// reply completes a call and those that joined it.
func (o *owner) reply(f core.Reply) {
	o.complete(f.Call, func(p *pending) { p.answered(f.Answer) })
}

// refuse completes a call, an open or an end with an error.
func (o *owner) refuse(f core.Refuse) {
	if done := o.opens[f.Call]; done != nil {
		delete(o.opens, f.Call)
		done("", &f.Refusal)
		return
	}
	o.complete(f.Call, func(p *pending) { p.refused(f.Refusal) })
}
