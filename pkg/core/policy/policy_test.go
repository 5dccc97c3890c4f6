package policy

import (
	"slices"
	"strings"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// Guards against unknown policies and parts that are ignored without an error.
func TestNewRejectsUnknownNames(t *testing.T) {
	for _, name := range Names() {
		if got := mustNew(t, name, 1).Name(); got != name {
			t.Errorf("New(%q).Name() = %q", name, got)
		}
	}
	for _, part := range Parts() {
		mustNew(t, NameDefault, 1, part)
	}
	_, err := New("fastest", 1, nil)
	if err == nil || !strings.Contains(err.Error(), strings.Join(Names(), ", ")) {
		t.Errorf("unknown policy: error %v does not list the valid names", err)
	}
	_, err = New(NameDefault, 1, []string{"turbo"})
	if err == nil || !strings.Contains(err.Error(), strings.Join(Parts(), ", ")) {
		t.Errorf("unknown part: error %v does not list the valid parts", err)
	}
	if _, err = New(NameRoundRobin, 1, []string{PartQueue}); err == nil {
		t.Error("a baseline accepted a part to switch off")
	}
}

// eachVariant runs a test for every policy and for the default policy without
// each of its parts.
func eachVariant(t *testing.T, f func(t *testing.T, p core.Policy)) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) { f(t, mustNew(t, name, 7)) })
	}
	for _, part := range Parts() {
		t.Run("without-"+part, func(t *testing.T) { f(t, mustNew(t, NameDefault, 7, part)) })
	}
	t.Run("without-all", func(t *testing.T) { f(t, mustNew(t, NameDefault, 7, Parts()...)) })
}

// Guards against calls to an upstream that is leaving, unreachable or removed
// (invariant 8).
func TestUnusableUpstreamGetsNoCalls(t *testing.T) {
	eachVariant(t, func(t *testing.T, p core.Policy) {
		addEngines(p, 4)
		p.SetUpstreamState(at(1), "w0000", true, true)
		p.SetUpstreamState(at(1), "w0001", false, false)
		p.RemoveUpstream(at(1), "w0002")
		for i := range 40 {
			p.Enqueue(at(2), modelCall(view("p000-x"+string(rune('a'+i)), "c", core.ClassStandard), i, 100))
		}
		got := drain(p, at(2))
		if len(got) == 0 {
			t.Fatal("nothing was dispatched to the remaining upstream")
		}
		for _, a := range got {
			if a.Upstream != "w0003" {
				t.Fatalf("%s was sent to %s", a.Request.Call.ID, a.Upstream)
			}
		}
		if len(got) > 8 {
			t.Errorf("%d calls on 8 slots", len(got))
		}
	})
}

// Guards against two crash suspects on one upstream: after a crash it would be
// unclear which of them caused it.
func TestSuspectsNeverShareUpstream(t *testing.T) {
	eachVariant(t, func(t *testing.T, p core.Policy) {
		addEngines(p, 3)
		for i := range 6 {
			r := modelCall(view("p000-s"+string(rune('a'+i)), "c", core.ClassStandard), i, 100)
			r.Suspect = true
			p.Enqueue(at(1), r)
		}
		p.Enqueue(at(1), modelCall(view("p000-plain", "c", core.ClassBatch), 9, 100))
		got := drain(p, at(1))
		on := map[core.UpstreamID]int{}
		plain := false
		for _, a := range got {
			if a.Request.Suspect {
				on[a.Upstream]++
			} else {
				plain = true
			}
		}
		for u, n := range on {
			if n > 1 {
				t.Errorf("%d suspects on %s", n, u)
			}
		}
		if len(on) != 3 || !plain {
			t.Errorf("dispatched %d suspects (want 3), plain request behind them: %v", len(on), plain)
		}
		finish(p, at(2), got[0], 0)
		if next := drain(p, at(2)); len(next) != 1 {
			t.Errorf("after one suspect ended, %d more were dispatched, want 1", len(next))
		}
	})
}

// Guards against calls to a service that are sent to a model engine or to another
// service, and against requests that stay in the queue although no upstream can
// serve them.
func TestRoutesServicesByNameAndReturnsUnroutable(t *testing.T) {
	eachVariant(t, func(t *testing.T, p core.Policy) {
		addEngines(p, 2)
		for i, name := range []string{"booking", "parts"} {
			p.SetUpstream(epoch, core.UpstreamInfo{
				ID: core.UpstreamID("s-" + name), Kind: core.KindService, Service: name, Region: "coast", Slots: 2 + i,
			})
		}
		call := func(service string, n int) core.Request {
			r := modelCall(view("p001-a", "c", core.ClassInteractive), n, 0)
			r.Call.Kind, r.Call.Model, r.Call.Service = core.KindService, "", service
			return r
		}
		p.Enqueue(at(1), call("booking", 1))
		p.Enqueue(at(1), call("parts", 2))
		p.Enqueue(at(1), call("billing", 3))
		for _, a := range drain(p, at(1)) {
			if want := core.UpstreamID("s-" + a.Request.Call.Service); a.Upstream != want {
				t.Errorf("call to %s went to %s", a.Request.Call.Service, a.Upstream)
			}
		}
		un := p.Unroutable(at(1))
		if len(un) != 1 || un[0].Call.Service != "billing" {
			t.Errorf("unroutable: %v, want the call to billing", un)
		}
		if p.Remove(un[0].Call.ID) {
			t.Error("a request taken by Unroutable is still in the queue")
		}
	})
}

// Guards against decisions that depend on map order or on global state: the
// replay of a recorded event log must give the same effects.
func TestDecisionsAreDeterministic(t *testing.T) {
	run := func(p core.Policy) (out []core.UpstreamID) {
		addEngines(p, 12)
		var running []core.Assignment
		for step := range 300 {
			now := at(float64(step) / 10)
			v := view("p000-"+string(rune('a'+step%26)), "c"+string(rune('a'+step%5)), core.ClassStandard)
			if p.Admit(now, v).OK {
				p.Enqueue(now, modelCall(v, step, int64(1000+step*10)))
			}
			if step%7 == 0 {
				p.OnLoad(now, core.Load{Upstream: engineInfo(step % 12).ID, Measured: now, Running: step % 9})
			}
			for _, a := range drain(p, now) {
				out = append(out, a.Upstream)
				running = append(running, a)
			}
			if len(running) > 20 {
				finish(p, now, running[0], 100)
				running = running[1:]
			}
			for _, o := range p.Orders(now) {
				out = append(out, o.Upstream)
			}
		}
		return out
	}
	for _, name := range Names() {
		if a, b := run(mustNew(t, name, 5)), run(mustNew(t, name, 5)); !slices.Equal(a, b) {
			t.Errorf("%s: two runs with the same seed differ", name)
		}
	}
}
