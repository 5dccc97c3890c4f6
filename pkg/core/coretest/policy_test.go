package coretest

import (
	"fmt"
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// fifoPolicy is a minimal policy: first in, first out, to the first upstream
// that fits, preferably one that is not avoided. It never runs two suspects on
// one upstream.
type fifoPolicy struct {
	cfg            core.Config
	queue          []core.Request
	upstreams      map[core.UpstreamID]core.UpstreamInfo
	unavailable    map[core.UpstreamID]bool
	running        map[core.AttemptID]runningAttempt
	active         map[core.ProgramID]bool
	maxActive      int
	retries        int
	ignoresLeaving bool // assigns to leaving upstreams as well
	delay          time.Duration
	pin            time.Duration // pins the prefix of each finished model call, if not 0
	orders         []core.EngineOrder
}

type runningAttempt struct {
	upstream core.UpstreamID
	suspect  bool
	program  core.ProgramID
	kind     core.CallKind
}

func newPolicy() *fifoPolicy {
	return &fifoPolicy{
		upstreams: make(map[core.UpstreamID]core.UpstreamInfo), unavailable: make(map[core.UpstreamID]bool),
		running: make(map[core.AttemptID]runningAttempt), active: make(map[core.ProgramID]bool), retries: 3,
	}
}

func (p *fifoPolicy) Name() string                  { return "fifo" }
func (p *fifoPolicy) Configure(cfg core.Config)     { p.cfg = cfg }
func (p *fifoPolicy) markActive(v core.ProgramView) { p.active[v.ID] = true }
func (p *fifoPolicy) fits(u core.UpstreamInfo, c core.Call) bool {
	return u.Kind == c.Kind && u.Service == c.Service
}

func (p *fifoPolicy) Admit(_ time.Time, v core.ProgramView) core.Admission {
	if p.maxActive > 0 && len(p.active) >= p.maxActive {
		return core.Admission{RetryAfter: 5 * time.Second, Reason: "too many programs"}
	}
	p.markActive(v)
	return core.Admission{OK: true}
}
func (p *fifoPolicy) ProgramRecovered(_ time.Time, v core.ProgramView) { p.markActive(v) }
func (p *fifoPolicy) ProgramEnded(_ time.Time, id core.ProgramID)      { delete(p.active, id) }
func (p *fifoPolicy) SetUpstream(_ time.Time, u core.UpstreamInfo)     { p.upstreams[u.ID] = u }
func (p *fifoPolicy) SetUpstreamState(_ time.Time, id core.UpstreamID, reachable, leaving bool) {
	p.unavailable[id] = !reachable || leaving
}
func (p *fifoPolicy) RemoveUpstream(_ time.Time, id core.UpstreamID) { delete(p.upstreams, id) }
func (p *fifoPolicy) OnLoad(time.Time, core.Load)                    {}
func (p *fifoPolicy) OnCache(time.Time, core.CacheEvent)             {}
func (p *fifoPolicy) Enqueue(_ time.Time, r core.Request)            { p.queue = append(p.queue, r) }
func (p *fifoPolicy) Remove(id core.CallID) bool {
	n := len(p.queue)
	p.queue = slices.DeleteFunc(p.queue, func(r core.Request) bool { return r.Call.ID == id })
	return len(p.queue) < n
}

func (p *fifoPolicy) suspectOn(id core.UpstreamID) bool {
	for _, a := range p.running {
		if a.upstream == id && a.suspect {
			return true
		}
	}
	return false
}

func (p *fifoPolicy) load(id core.UpstreamID) (n int) {
	for _, a := range p.running {
		if a.upstream == id {
			n++
		}
	}
	return n
}

func (p *fifoPolicy) ids() []core.UpstreamID {
	var ids []core.UpstreamID
	for id := range p.upstreams {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (p *fifoPolicy) Next(time.Time) (core.Assignment, bool) {
	for i, r := range p.queue {
		best := core.UpstreamID("")
		for _, avoided := range []bool{false, true} {
			for _, id := range p.ids() {
				u := p.upstreams[id]
				full := u.Slots > 0 && p.load(id) >= u.Slots
				if best != "" || full || p.unavailable[id] && !p.ignoresLeaving || !p.fits(u, r.Call) || slices.Contains(r.Avoid, id) != avoided {
					continue
				}
				if r.Suspect && p.suspectOn(id) {
					continue
				}
				best = id
			}
		}
		if best == "" {
			continue
		}
		p.queue = slices.Delete(p.queue, i, i+1)
		p.running[r.Attempt] = runningAttempt{best, r.Suspect, r.Program.ID, r.Call.Kind}
		return core.Assignment{Request: r, Upstream: best}, true
	}
	return core.Assignment{}, false
}

func (p *fifoPolicy) Unroutable(time.Time) (out []core.Request) {
	p.queue = slices.DeleteFunc(p.queue, func(r core.Request) bool {
		for _, u := range p.upstreams {
			if p.fits(u, r.Call) {
				return false
			}
		}
		out = append(out, r)
		return true
	})
	return out
}

func (p *fifoPolicy) OnStarted(time.Time, core.AttemptID)           {}
func (p *fifoPolicy) OnFirstToken(time.Time, core.AttemptID, int64) {}
func (p *fifoPolicy) OnDone(_ time.Time, id core.AttemptID, _ core.Answer) {
	a, ok := p.running[id]
	if !ok {
		panic(fmt.Sprintf("attempt %s ended twice", id))
	}
	delete(p.running, id)
	if p.pin > 0 && a.kind == core.KindModel {
		p.orders = append(p.orders, core.EngineOrder{Upstream: a.upstream, Order: core.OrderPin, Program: a.program, Term: p.pin})
	}
}
func (p *fifoPolicy) OnFailed(_ time.Time, f core.Failure) {
	if _, ok := p.running[f.Attempt]; !ok {
		panic(fmt.Sprintf("attempt %s ended twice", f.Attempt))
	}
	delete(p.running, f.Attempt)
}
func (p *fifoPolicy) Retry(_ time.Time, r core.Request, _ core.Failure) (time.Duration, bool) {
	return p.delay, r.Tries < p.retries
}
func (p *fifoPolicy) Orders(time.Time) []core.EngineOrder {
	o := p.orders
	p.orders = nil
	return o
}
