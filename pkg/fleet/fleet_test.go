package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/ratelimit"
)

var (
	start   = time.Unix(1000, 0)
	regions = map[string]string{"a1": "a", "a2": "a", "b1": "b"}
)

func upstream(id, domain string) Upstream {
	return Upstream{ID: id, Service: "s", Address: id + ":1", FailureDomain: domain, Slots: 8}
}

func newFleet(list ...Upstream) *Fleet {
	f := New("a1", regions, start)
	f.Replace(list, start)
	return f
}

func pick(f *Fleet, r Request, now time.Time) string {
	r.Service = "s"
	if m := f.Pick(r, now); m != nil {
		return m.ID
	}
	return ""
}

// Guards against traffic between regions while the own region has capacity, and
// against refusing requests while the other region has.
func TestPickStaysInRegion(t *testing.T) {
	f := newFleet(upstream("far", "b1"), upstream("near", "a2"))
	if got := pick(f, Request{ServiceTime: 100 * time.Millisecond}, start); got != "near" {
		t.Errorf("picked %q although the region has capacity", got)
	}
	m := f.Member("near")
	for range 16 {
		f.RecordStart(m, ratelimit.First, start)
	}
	if got := pick(f, Request{ServiceTime: 100 * time.Millisecond}, start); got != "far" {
		t.Errorf("picked %q although the queue in the region is as long as the slots", got)
	}
}

// Guards against attempts at an upstream that is draining or was already tried.
func TestPickSkipsDrainingAndExcluded(t *testing.T) {
	draining := upstream("draining", "a1")
	draining.State = Draining
	f := newFleet(draining, upstream("tried", "a1"), upstream("free", "b1"))
	got := pick(f, Request{Excluded: func(id string) bool { return id == "tried" }}, start)
	if got != "free" {
		t.Errorf("picked %q", got)
	}
	if got := pick(newFleet(draining), Request{}, start); got != "" {
		t.Errorf("picked %q although the only upstream is draining", got)
	}
}

// Guards against an upstream that refuses connections and keeps its share of the
// attempts, and against refusing requests when only such upstreams are left.
func TestSuspension(t *testing.T) {
	f := newFleet(upstream("x", "a1"), upstream("y", "a2"))
	x := f.Member("x")
	f.RecordFailure(x, true, start)
	if got := pick(f, Request{}, start); got != "y" {
		t.Errorf("picked %q, want y after x refused a connection", got)
	}
	f.RecordFailure(f.Member("y"), true, start.Add(time.Millisecond))
	if got := pick(f, Request{}, start.Add(2*time.Millisecond)); got != "x" {
		t.Errorf("picked %q, want x, whose suspension ends first", got)
	}
	f.RecordSuccess(x)
	if x.Suspended(start) {
		t.Error("suspended after a success")
	}
}

// Guards against a single lost response that suspends an upstream. It still serves
// other requests, so only its share shrinks.
func TestLostResponseDoesNotSuspend(t *testing.T) {
	f := newFleet(upstream("x", "a1"), upstream("y", "a2"))
	f.RecordFailure(f.Member("x"), false, start)
	if f.Member("x").Suspended(start) {
		t.Error("suspended after one lost response")
	}
	if got := pick(f, Request{}, start); got != "y" {
		t.Errorf("picked %q, want y after x lost a response", got)
	}
	for range 60 {
		f.RecordSuccess(f.Member("x"))
	}
	if got := pick(f, Request{}, start); got != "x" {
		t.Errorf("picked %q, want x after the nearer upstream succeeded again", got)
	}
}

// Guards against an upstream that is avoided forever after a failure, since an avoided
// upstream has no successes that lower its failure rate.
func TestFailureRateDecays(t *testing.T) {
	f := newFleet(upstream("x", "a1"), upstream("y", "a2"))
	for range 10 {
		f.RecordFailure(f.Member("x"), false, start)
	}
	if got := pick(f, Request{}, start.Add(failureHalfLife)); got != "y" {
		t.Errorf("picked %q, want y one half-life after ten failures", got)
	}
	if got := pick(f, Request{}, start.Add(15*failureHalfLife)); got != "x" {
		t.Errorf("picked %q, want x, which is nearer and failed long ago", got)
	}
}

// Guards against removing all upstreams whose registrations expired during an outage
// of the store, and against keeping those that do not register again.
func TestMissingAfterOutage(t *testing.T) {
	f := newFleet(upstream("back", "a1"), upstream("dead", "a1"))
	f.KeepMissingUntil(start.Add(ReregistrationGrace))
	f.Replace(nil, start)
	if f.Len() != 2 {
		t.Fatalf("%d upstreams right after the outage, want 2", f.Len())
	}
	f.Put(upstream("back", "a1"), start)
	if gone := f.Expire(start.Add(ReregistrationGrace)); len(gone) != 1 || gone[0].ID != "dead" {
		t.Errorf("removed after the grace period: %v, want dead", gone)
	}
	f.Remove("back", start.Add(ReregistrationGrace))
	if f.Len() != 0 {
		t.Error("a removal after the grace period has no effect")
	}
}

// Guards against counting the failures and load of an earlier run against a new run
// with the same id.
func TestNewRun(t *testing.T) {
	f := newFleet(upstream("x", "a1"))
	f.RecordFailure(f.Member("x"), true, start)
	next := upstream("x", "a1")
	next.StartedUnixMs = 5
	f.Put(next, start)
	if f.Member("x").Suspended(start) {
		t.Error("the new run is suspended")
	}
}

// Guards against a load report that keeps its full weight: with an old report, all
// entries select the same upstream.
func TestReportedLoadDecays(t *testing.T) {
	f := newFleet(upstream("x", "a1"))
	m := f.Member("x")
	f.RecordStart(m, ratelimit.First, start)
	f.RecordLoad(m, Load{Running: 5, Waiting: 4, Slots: 8}, start)
	if got := f.load(m, start); got != 9 {
		t.Errorf("load %v right after a report, want 9", got)
	}
	if got := f.load(m, start.Add(loadHalfLife)); got != 5 {
		t.Errorf("load %v after the half-life, want 5: the own 1 and half of the other 8", got)
	}
}

// Guards against members that are listed after their removal or under a previous
// service.
func TestMembersOfService(t *testing.T) {
	f := New("a1", nil, start)
	put := func(id, service string, startedUnixMs int64) {
		f.Put(Upstream{ID: id, Service: service, Address: id + ":1", StartedUnixMs: startedUnixMs}, start)
	}
	names := func(service string) string {
		var ids []string
		for _, m := range f.Members(service) {
			ids = append(ids, m.ID)
		}
		return strings.Join(ids, " ")
	}
	for _, id := range []string{"c", "a", "b"} {
		put(id, "llm", 1)
	}
	put("b", "app", 1) // another service
	put("c", "llm", 2) // restarted
	f.Remove("a", time.Time{})
	if llm, app := names("llm"), names("app"); llm != "c" || app != "b" || f.Len() != 2 || f.Members("llm")[0].StartedUnixMs != 2 {
		t.Errorf("llm %q, app %q, %d members", llm, app, f.Len())
	}
}

// BenchmarkReplace measures a complete listing of 3000 upstreams, the size that the
// system is designed for.
func BenchmarkReplace(b *testing.B) {
	var list []Upstream
	for i := range 3000 {
		list = append(list, Upstream{ID: fmt.Sprintf("u%04d", i), Service: fmt.Sprint("s", i%12), Address: fmt.Sprint(i)})
	}
	for b.Loop() {
		New("a1", nil, start).Replace(list, time.Time{})
	}
}
