package replay

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/trace"
)

// begin starts a fault of the trace.
func (s *sim) begin(f *trace.Fault) {
	length := time.Duration(f.ForMs) * time.Millisecond
	switch f.Fault {
	case trace.FaultUpstreamCrash:
		u := s.byID[core.UpstreamID(f.Upstream)]
		if u.lost || u.down || u.leaving {
			return
		}
		u.crashReport()
		s.after(length, u.replace)
	case trace.FaultDomainLost:
		for _, u := range s.upstreams {
			if u.place.domain == f.Domain {
				u.lose(length)
			}
		}
	case trace.FaultStoreOutage:
		s.storeOut = true
		s.after(length, func() {
			s.storeOut = false
			s.storeBack()
		})
	case trace.FaultRegionSplit:
		s.splitRegions(length)
	case trace.FaultRollingReplace:
		for i, u := range s.upstreams {
			s.after(time.Duration(i)*time.Duration(f.EveryMs)*time.Millisecond, func() { u.drain(length) })
		}
	case trace.FaultCrashRequest:
		fp := stepFingerprint(f.Program, f.Step)
		s.crashOn[fp] = true // for processes that start later
		for _, u := range s.upstreams {
			if u.engine != nil {
				u.engine.CrashOn(fp, true)
			}
		}
	case trace.FaultHang:
		s.byID[core.UpstreamID(f.Upstream)].hang(length)
	}
}

// stepFingerprint is the fingerprint of a step of a root program.
func stepFingerprint(program string, step int) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s#0.%d", program, step))
}

func (s *sim) storeBack() {
	for _, o := range s.owners {
		o.storeBack()
	}
}

// lose takes an upstream away with its failure domain. Its owners notice the
// silent connections.
func (u *upstream) lose(length time.Duration) {
	if u.lost {
		return
	}
	u.lost, u.down = true, true
	u.info.Incarnation++
	for _, id := range slices.Sorted(maps.Keys(u.sent)) {
		a := u.sent[id]
		a.dead = !a.effect
		a.failAfter(silentAfter, core.RanUnknown)
	}
	u.s.after(silentAfter, func() {
		if u.lost {
			u.state(false, false)
		}
	})
	u.s.after(length, func() {
		u.boot()
		u.back()
	})
}

// hang stops all progress of an upstream. What it was running is lost; calls
// that arrive meanwhile fail at the progress deadline.
func (u *upstream) hang(length time.Duration) {
	if u.lost || u.down || u.leaving {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(u.sent)) {
		a := u.sent[id]
		if !a.working {
			continue
		}
		if u.engine != nil {
			u.engine.Cancel(u.s.now, string(id))
		}
		a.failAfter(silentAfter, core.RanUnknown)
	}
	u.poll()
	u.hung = true
	u.s.after(length, func() {
		u.hung = false
		u.wake = time.Time{}
		u.poll()
	})
}

// drainPoll is the interval at which a leaving sidecar looks whether its last
// attempt has ended.
const drainPoll = 100 * time.Millisecond

// drain replaces an upstream: it takes no new work, finishes what it has, and
// starts again after the given time.
func (u *upstream) drain(start time.Duration) {
	if u.lost || u.down || u.leaving {
		return
	}
	u.leaving, u.leftAt = true, u.s.now
	u.state(true, true)
	var wait func()
	wait = func() {
		for _, a := range u.sent {
			if a.working {
				u.s.after(drainPoll, wait)
				return
			}
		}
		u.down = true
		u.state(false, true)
		u.s.after(start, u.replace)
	}
	u.s.after(2*time.Second, wait)
}

// splitRegions cuts the link between the regions. Both ends notice the silent
// connections, and sidecars stop what owners beyond the link had sent.
func (s *sim) splitRegions(length time.Duration) {
	s.net.split = true
	for _, o := range s.owners {
		for _, u := range s.upstreams {
			if !s.net.cut(o.place, u.place) {
				continue
			}
			for _, id := range slices.Sorted(maps.Keys(u.sent)) {
				if a := u.sent[id]; a.owner == o {
					s.after(silentAfter, func() { u.cutOff(a) })
				}
			}
			s.after(silentAfter, func() {
				o.step(core.UpstreamState{At: o.at(), Upstream: u.info.ID, Reachable: false})
			})
		}
	}
	s.after(length, func() {
		s.net.split = false
		for _, o := range s.owners {
			for _, u := range s.upstreams {
				if o.place.region != u.place.region && !u.lost {
					o.step(core.UpstreamState{At: o.at(), Upstream: u.info.ID, Reachable: !u.down, Leaving: u.leaving})
				}
			}
		}
		s.storeBack()
	})
}

// cutOff ends an attempt whose owner is beyond the link.
func (u *upstream) cutOff(a *attempt) {
	if a.over {
		return
	}
	if u.engine != nil && a.working {
		u.engine.Cancel(u.s.now, string(a.id))
	}
	a.fail(core.AttemptFailed{Ran: core.RanUnknown, Step: "transport", Message: "no progress on the connection"})
	u.poll()
}
