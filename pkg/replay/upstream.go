package replay

import (
	"maps"
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	engine "github.com/yuccaspindle/yuccaspindle/pkg/standin/engine/model"
)

const (
	// reportEvery is the interval of load reports, that of the heartbeat.
	reportEvery = 500 * time.Millisecond
	// eventLoss is the share of cache events that are never delivered.
	eventLoss = 0.02
	// restartAfter is the time from the crash of an engine to its next start.
	restartAfter = 15 * time.Second
)

// attempt is one dispatch of a call.
type attempt struct {
	id        core.AttemptID
	owner     *owner
	call      *pending
	up        *upstream
	priority  int
	maxTokens int64

	working   bool // the upstream has it
	effect    bool // the service carried it out
	over      bool // nothing more is reported to the owner
	dead      bool // it will never run
	resolving bool
}

// upstream is an engine or an application worker together with its sidecar.
type upstream struct {
	s     *sim
	info  core.UpstreamInfo
	place place

	engine *engine.Engine
	wake   time.Time // scheduled look at the engine

	running int // of a service
	queue   []*attempt

	sent    map[core.AttemptID]*attempt // dispatched and not over
	lost    bool                        // the failure domain is lost
	down    bool                        // the upstream process is down
	hung    bool
	leaving bool
	leftAt  time.Time
}

func newUpstream(s *sim, info core.UpstreamInfo) *upstream {
	u := &upstream{s: s, info: info, place: place{info.Region, info.FailureDomain}, sent: map[core.AttemptID]*attempt{}}
	u.boot()
	return u
}

// boot starts the upstream's process under its incarnation.
func (u *upstream) boot() {
	u.queue, u.running = nil, 0
	if u.info.Kind != core.KindModel {
		return
	}
	d := engine.Defaults()
	u.engine = engine.New(engine.Options{
		ID: u.info.ID, Incarnation: u.info.Incarnation, Seed: u.s.opts.Seed,
		Slots: u.info.Slots, CacheTokens: u.info.CacheTokens, HostTokens: 4 * u.info.CacheTokens,
		PrefillRate: u.info.PrefillRate, DecodeRate: u.info.DecodeRate,
		Models: u.info.Models, Adapters: u.info.Adapters, ModelDelay: d.ModelDelay, AdapterDelay: d.AdapterDelay,
		RestartDelay: restartAfter, Fencing: u.info.ChecksFencing, LoadLag: d.LoadLag,
		EventDelay: d.EventDelay, EventLag: d.EventLag, EventLoss: eventLoss,
	})
	for fp := range u.s.crashOn {
		u.engine.CrashOn(fp, true)
	}
	u.wake = time.Time{}
}

// report sends load reports to the owners.
func (u *upstream) report() {
	if u.s.ended {
		return
	}
	if !u.lost && !u.down {
		var l core.Load
		if u.engine != nil {
			l = u.engine.Load(u.s.now)
			u.poll()
		} else {
			l = core.Load{Upstream: u.info.ID, Measured: u.s.now, Running: u.running, Waiting: len(u.queue)}
		}
		u.toOwners(func(o *owner) core.Event { return core.LoadReported{At: o.at(), Load: l} })
	}
	u.s.after(reportEvery, u.report)
}

// toOwners sends an event to every owner that can be reached.
func (u *upstream) toOwners(e func(o *owner) core.Event) {
	for _, o := range u.s.owners {
		if !u.s.net.cut(o.place, u.place) {
			u.s.after(u.s.net.delay(u.place, o.place, 0), func() { o.step(e(o)) })
		}
	}
}

// state tells the owners whether the upstream can be reached.
func (u *upstream) state(reachable, leaving bool) {
	u.toOwners(func(o *owner) core.Event {
		return core.UpstreamState{At: o.at(), Upstream: u.info.ID, Reachable: reachable, Leaving: leaving}
	})
}

// receive is the sidecar's part of a dispatch.
func (u *upstream) receive(a *attempt) {
	if a.over || a.dead {
		return
	}
	switch {
	case u.leaving:
		if u.s.now.Sub(u.leftAt) > 2*time.Second {
			u.s.m.lateWork++
		}
		a.fail(core.AttemptFailed{Ran: core.RanNo, Draining: true, Step: "sidecar", Message: "draining"})
		return
	case u.down:
		a.fail(core.AttemptFailed{Ran: core.RanNo, Step: "upstream", Message: "connection refused"})
		return
	case u.hung:
		a.working = true
		a.failAfter(silentAfter, core.RanUnknown)
		return
	}
	a.toOwner(0, func(o *owner) core.Event { return core.AttemptStarted{At: o.at(), Attempt: a.id} })
	if u.engine == nil {
		a.working = true
		u.queue = append(u.queue, a)
		u.serve()
		return
	}
	p := a.call
	err := u.engine.Submit(u.s.now, engine.Request{
		ID: string(a.id), Program: string(p.agent.id), Model: p.agent.spec.Model, Adapter: p.agent.spec.Adapter,
		SharedPrefix: p.agent.spec.Prefix, SharedTokens: p.agent.shared(), PromptTokens: p.prompt,
		MaxTokens: a.maxTokens, OutputTokens: p.step.Out, Priority: a.priority, Fingerprint: p.fingerprint,
	})
	if err != nil {
		a.fail(core.AttemptFailed{Ran: core.RanNo, Step: "upstream", Message: err.Error()})
		return
	}
	a.working = true
	u.poll()
}

// serve runs waiting service calls in free slots.
func (u *upstream) serve() {
	for len(u.queue) > 0 && u.running < u.info.Slots {
		a := u.queue[0]
		u.queue = u.queue[1:]
		if a.over || a.dead {
			continue
		}
		u.running++
		a.call.ran = true
		work := time.Duration(a.call.step.WorkMs) * time.Millisecond
		incarnation := u.info.Incarnation
		alive := func() bool { return u.info.Incarnation == incarnation && !u.lost && !u.down }
		// The effect happens half-way, so that a crash can fall on either side.
		u.s.after(work/2, func() {
			if alive() {
				a.effect = true
				u.s.m.effect(a.call)
			}
		})
		u.s.after(work, func() {
			if !alive() {
				return
			}
			u.running--
			a.done(core.Answer{Status: 200, Body: []byte("ok")})
			u.serve()
		})
	}
}

// cancel stops an attempt at the owner's request.
func (u *upstream) cancel(a *attempt) {
	a.over = true
	delete(u.sent, a.id)
	if u.engine != nil && a.working && !u.hung {
		u.engine.Cancel(u.s.now, string(a.id))
		u.poll()
	}
}

// order carries out an engine order.
func (u *upstream) order(o *owner, f core.EngineOrder) {
	if u.engine == nil || u.down || u.hung {
		return
	}
	u.s.m.orders[f.Order]++
	if f.Order == core.OrderResyncCache {
		for _, h := range u.engine.Held(u.s.now) {
			if h.Tokens > 0 {
				e := core.CacheEvent{Upstream: u.info.ID, Prefix: h.Prefix, Tokens: h.Tokens}
				u.s.after(u.s.net.delay(u.place, o.place, 0), func() { o.step(core.CacheReported{At: o.at(), Event: e}) })
			}
		}
		u.poll()
		return
	}
	if err := u.engine.Order(u.s.now, engine.Order{
		Order: f.Order, Program: string(f.Program), Argument: f.Argument, Term: f.Term, Fencing: uint64(f.Epoch),
	}); err != nil {
		u.s.m.ordersFailed++
	}
	u.poll()
}

// poll takes the engine's outputs and schedules the next look at it.
func (u *upstream) poll() {
	if u.engine == nil || u.hung {
		return
	}
	before := u.info.Incarnation
	for _, out := range u.engine.Advance(u.s.now) {
		u.output(out)
	}
	if now := u.engine.Incarnation(); now != before && !u.down {
		u.crashed()
		return
	}
	next := u.engine.NextEvent()
	if next.IsZero() || u.down || u.lost {
		return
	}
	if u.wake.IsZero() || next.Before(u.wake) || !u.wake.After(u.s.now) {
		u.wake = next
		u.s.at(next, u.poll)
	}
}

func (u *upstream) output(out engine.Output) {
	if out.Kind == engine.Cache {
		e := out.Event
		u.toOwners(func(o *owner) core.Event { return core.CacheReported{At: o.at(), Event: e} })
		return
	}
	a := u.sent[core.AttemptID(out.ID)]
	if a == nil || a.over {
		return
	}
	switch out.Kind {
	case engine.FirstToken:
		a.call.ran = true
		u.s.m.prefill(a.call, out)
		p, cached := a.call, out.Cached
		a.toOwner(bytesPerOutputToken, func(o *owner) core.Event {
			p.firstToken()
			return core.FirstToken{At: o.at(), Attempt: a.id, CachedTokens: cached}
		})
	case engine.Done:
		if out.Reason == engine.ReasonCancelled {
			return
		}
		a.done(core.Answer{
			Status: 200, PromptTokens: out.Prompt, CachedTokens: out.Cached, OutputTokens: out.Tokens,
			FinishReason: out.Reason, Body: []byte(a.call.request),
		})
	}
}

// crashed reports the crash of an engine under its own load.
func (u *upstream) crashed() {
	u.crashReport() // names the incarnation that died
	u.info.Incarnation = u.engine.Incarnation()
	u.s.after(restartAfter+time.Millisecond, u.back)
}

// crashReport fails everything on board of a process that died.
func (u *upstream) crashReport() {
	u.down = true
	u.s.m.crashes++
	var prints []uint64
	var onBoard []*attempt
	for _, id := range slices.Sorted(maps.Keys(u.sent)) {
		if a := u.sent[id]; a.working {
			onBoard = append(onBoard, a)
			if a.call.fingerprint != 0 {
				prints = append(prints, a.call.fingerprint)
			}
		}
	}
	u.queue, u.running = nil, 0
	incarnation := u.info.Incarnation
	u.toOwners(func(o *owner) core.Event {
		return core.UpstreamCrashed{At: o.at(), Upstream: u.info.ID, Incarnation: incarnation, Fingerprints: prints}
	})
	for _, a := range onBoard {
		ran := core.RanUnknown
		if a.effect {
			ran = core.RanYes
		}
		a.dead = !a.effect
		a.fail(core.AttemptFailed{Ran: ran, Crashed: true, Step: "upstream", Message: "upstream crashed"})
	}
	u.state(false, false)
}

// back announces the upstream's next start.
func (u *upstream) back() {
	u.down, u.lost, u.leaving, u.hung = false, false, false, false
	u.wake = time.Time{}
	info := u.info
	u.toOwners(func(o *owner) core.Event { return core.UpstreamChanged{At: o.at(), Info: info} })
	u.state(true, false)
	u.poll()
}

// replace starts a new process in place of the old one.
func (u *upstream) replace() {
	u.info.Incarnation++
	u.boot()
	u.back()
}

// toOwner sends an event of an attempt to its owner, unless the way is cut.
func (a *attempt) toOwner(bytes int64, e func(o *owner) core.Event) {
	if a.over || a.up.s.net.cut(a.owner.place, a.up.place) {
		return
	}
	a.up.s.after(a.up.s.net.stream(a.up.place, a.owner.place, bytes), func() {
		a.owner.step(e(a.owner))
	})
}

func (a *attempt) done(answer core.Answer) {
	a.toOwner(bytesPerMessage+answer.OutputTokens*bytesPerOutputToken, func(o *owner) core.Event {
		return core.AttemptDone{At: o.at(), Attempt: a.id, Answer: answer}
	})
	if !a.up.s.net.cut(a.owner.place, a.up.place) {
		a.over = true
		delete(a.up.sent, a.id)
	}
}

// fail reports the end of an attempt without an answer.
func (a *attempt) fail(f core.AttemptFailed) {
	if a.over {
		return
	}
	f.Attempt, f.Peer = a.id, string(a.up.info.ID)
	a.over = true
	delete(a.up.sent, a.id)
	s := a.up.s
	s.after(s.net.stream(a.up.place, a.owner.place, 0), func() {
		f.At = a.owner.at()
		a.owner.step(f)
	})
}

// failAfter ends an attempt whose connection has become silent.
func (a *attempt) failAfter(d time.Duration, ran core.Ran) {
	a.up.s.after(d, func() {
		a.fail(core.AttemptFailed{Ran: ran, Step: "transport", Message: "no progress on the connection"})
	})
}
