package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// addTwoModels adds engines, of which the first busy ones serve "m" and the others
// "idle".
func addTwoModels(d *defaultPolicy, busy, idle int) {
	for i := range busy + idle {
		info := engineInfo(i)
		if i >= busy {
			info.Models = []string{"idle"}
		}
		d.SetUpstream(epoch, info)
	}
}

// loadOrders advances the time in steps of 1 s with the given load on "m" and
// returns the placement orders and their times.
func loadOrders(d *defaultPolicy, from, to int, running func(s int) int) (out []core.EngineOrder, when []int) {
	for s := from; s < to; s++ {
		for _, u := range d.fleet.upstreams {
			l := core.Load{Upstream: u.info.ID, Measured: at(float64(s))}
			if slices.Contains(u.info.Models, "m") {
				l.Running = running(s)
			}
			d.OnLoad(at(float64(s)), l)
		}
		for _, o := range d.Orders(at(float64(s))) {
			out, when = append(out, o), append(when, s)
		}
	}
	return out, when
}

// Guards against a model in demand that is not loaded on further upstreams, and
// against more loads than the weight store can serve.
func TestModelIsLoadedOnIdleUpstream(t *testing.T) {
	d := newParts(t, 1)
	addTwoModels(d, 2, 6)
	orders, when := loadOrders(d, 0, 120, func(int) int { return 8 })
	if len(orders) == 0 {
		t.Fatal("no load was ordered for a full model")
	}
	for i, o := range orders {
		if o.Order != core.OrderLoadModel || o.Argument != "m" || o.Upstream < engineInfo(2).ID {
			t.Errorf("order %+v, want a load of m on an idle upstream", o)
		}
		if i > 0 && when[i]-when[i-1] < int(minLoadInterval/time.Second) {
			t.Errorf("loads at %d s and %d s", when[i-1], when[i])
		}
	}
}

// Guards against models that are loaded and unloaded alternately when the demand
// oscillates around a threshold.
func TestPlacementHasHysteresis(t *testing.T) {
	d := newParts(t, 1)
	addTwoModels(d, 3, 3)
	orders, _ := loadOrders(d, 0, 1200, func(s int) int {
		if s/20%2 == 0 {
			return 8
		}
		return 2
	})
	if len(orders) > 0 {
		t.Errorf("%d orders for a demand that changes every 20 s: %v", len(orders), orders)
	}
	// Copies on upstreams that serve another model as well are unloaded, down to
	// minCopies.
	for i := range 5 {
		info := engineInfo(i)
		info.Models = []string{"m", "idle"}
		d.SetUpstream(at(1200), info)
	}
	unloaded := 0
	for s := 1200; s < 8000; s += 100 {
		orders, _ = loadOrders(d, s, s+100, func(int) int { return 0 })
		for _, o := range orders {
			if o.Order != core.OrderUnloadModel {
				t.Fatalf("order %+v for an idle fleet", o)
			}
			info := d.fleet.byID[o.Upstream].info
			info.Models = slices.DeleteFunc(slices.Clone(info.Models), func(m string) bool { return m == o.Argument })
			if len(info.Models) == 0 {
				t.Errorf("%s is left without a model", o.Upstream)
			}
			d.SetUpstream(at(float64(s+100)), info)
			unloaded++
		}
	}
	if unloaded == 0 {
		t.Error("idle copies are never unloaded")
	}
}

// Guards against the loss of calls with an adapter that no upstream has loaded.
// They wait while it is being loaded, and are refused immediately if it can't be.
func TestMissingAdapterIsLoaded(t *testing.T) {
	d := newParts(t, 1)
	addEngines(d, 2)
	r := modelCall(view("p000-a", "c", core.ClassStandard), 1, 100)
	r.Call.Adapter = "orders"
	d.Orders(at(0))
	d.Enqueue(at(1), r)
	if got := drain(d, at(1)); len(got) > 0 {
		t.Fatalf("the call was sent to %s without its adapter", got[0].Upstream)
	}
	if got := d.Unroutable(at(1)); len(got) > 0 {
		t.Fatal("the call was refused although its adapter can be loaded")
	}
	orders := d.Orders(at(2))
	if len(orders) != 1 || orders[0].Order != core.OrderLoadAdapter || orders[0].Argument != "orders" {
		t.Fatalf("orders %v, want a load of the adapter", orders)
	}
	info := d.fleet.byID[orders[0].Upstream].info
	info.Adapters = []string{"orders"}
	d.SetUpstream(at(4), info)
	if got := drain(d, at(4)); len(got) != 1 || got[0].Upstream != info.ID {
		t.Errorf("after the load the call went to %v", got)
	}

	off := newParts(t, 1, PartPlacement)
	addEngines(off, 2)
	off.Enqueue(at(1), r)
	if got := off.Unroutable(at(1)); len(got) != 1 {
		t.Error("without placement the call was not refused")
	}
}

// Guards against memory that grows with requests for models that don't exist and
// with programs that have ended.
func TestEndedStateIsRemoved(t *testing.T) {
	d := newParts(t, 1)
	addEngines(d, 1)
	lanes, targets := len(d.queue.all), len(d.fleet.targetList)
	for i := range 100 {
		r := modelCall(view("p000-a", "c", core.ClassStandard), i, 100)
		r.Call.Model = fmt.Sprintf("no-such-model-%d", i)
		d.Enqueue(at(float64(i)), r)
		drain(d, at(float64(i)))
		if got := d.Unroutable(at(float64(i))); len(got) != 1 {
			t.Fatalf("%d calls were refused, want 1", len(got))
		}
	}
	if len(d.queue.active) > 0 {
		t.Errorf("%d lanes without a request are scanned by Next", len(d.queue.active))
	}
	if len(d.queue.all) != lanes || len(d.fleet.targetList) != targets || len(d.fleet.targets) != targets {
		t.Errorf("%d lanes and %d targets are left", len(d.queue.all)-lanes, len(d.fleet.targetList)-targets)
	}
	// The same for callers that open a single program.
	d.ProgramEnded(at(200), "p000-a")
	for i := range 2000 {
		now := at(200 + float64(i))
		v := view(fmt.Sprintf("p000-%d", i), fmt.Sprintf("caller-%d", i), core.ClassStandard)
		d.Admit(now, v)
		d.Enqueue(now, modelCall(v, i, 100))
		for _, a := range drain(d, now) {
			finish(d, now, a, 0)
		}
		d.ProgramEnded(now, v.ID)
	}
	if n, m := len(d.admission.callers), len(d.retry.callers); n > 1300 || m > 100 {
		t.Errorf("the state of %d and %d of 2000 callers is left", n, m)
	}
	if len(d.programs)+len(d.cache.holders)+len(d.queue.items)+len(d.queueOrder.callers) > 0 {
		t.Errorf("%d programs, %d prefixes, %d waiting calls, %d flows are left",
			len(d.programs), len(d.cache.holders), len(d.queue.items), len(d.queueOrder.callers))
	}
}
