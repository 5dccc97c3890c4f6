package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// twoModels adds engines of which the first few serve "m" and the others "idle".
func twoModels(d *defaultPolicy, hot, idle int) {
	for i := range hot + idle {
		info := engineInfo(i)
		if i >= hot {
			info.Models = []string{"idle"}
		}
		d.SetUpstream(epoch, info)
	}
}

// loadOrders advances the time in steps of a second with a load of "m" and
// returns the placement orders with their times.
func loadOrders(d *defaultPolicy, from, to int, running func(s int) int) (out []core.EngineOrder, when []int) {
	for s := from; s < to; s++ {
		for _, u := range d.fleet.list {
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

// Guards against demand that stays where its model is, and against a burst of
// loads that exceeds the weight store's rate.
func TestModelIsLoadedWhereThereIsRoom(t *testing.T) {
	d := newParts(t, 1)
	twoModels(d, 2, 6)
	orders, when := loadOrders(d, 0, 120, func(int) int { return 8 })
	if len(orders) == 0 {
		t.Fatal("no load was ordered for a full model")
	}
	for i, o := range orders {
		if o.Order != core.OrderLoadModel || o.Argument != "m" || o.Upstream < engineInfo(2).ID {
			t.Errorf("order %+v, want a load of m on an idle upstream", o)
		}
		if i > 0 && when[i]-when[i-1] < int(placementSpacing/time.Second) {
			t.Errorf("loads at %d s and %d s", when[i-1], when[i])
		}
	}
}

// Guards against models that are loaded and unloaded in turn when the demand
// swings around a threshold.
func TestPlacementHasHysteresis(t *testing.T) {
	d := newParts(t, 1)
	twoModels(d, 3, 3)
	orders, _ := loadOrders(d, 0, 1200, func(s int) int {
		if s/20%2 == 0 {
			return 8
		}
		return 2
	})
	if len(orders) > 0 {
		t.Errorf("%d orders for a demand that swings every 20 s: %v", len(orders), orders)
	}
	// A second copy on an upstream that serves another model as well is
	// unloaded, but not below the least number of copies.
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

// Guards against calls with an adapter that no upstream has loaded: they wait a
// moment while it is loaded, and are refused at once if that is not possible.
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
		t.Error("without placement the call was held")
	}
}

// Guards against memory that grows with requests for names that do not exist and
// with programs that have ended.
func TestThePastLeavesNothingBehind(t *testing.T) {
	d := newParts(t, 1)
	addEngines(d, 1)
	lanes, targets := len(d.queue.list), len(d.fleet.order)
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
	if len(d.queue.list) != lanes || len(d.fleet.order) != targets || len(d.fleet.targets) != targets {
		t.Errorf("%d lanes and %d targets are left", len(d.queue.list)-lanes, len(d.fleet.order)-targets)
	}
	// Nor with callers that were seen once.
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
		t.Errorf("%d and %d of 2000 callers are remembered", n, m)
	}
	if len(d.programs)+len(d.cache.holders)+len(d.queue.items)+len(d.queueOrder.callers) > 0 {
		t.Errorf("%d programs, %d prefixes, %d waiting calls, %d shares are left",
			len(d.programs), len(d.cache.holders), len(d.queue.items), len(d.queueOrder.callers))
	}
}
