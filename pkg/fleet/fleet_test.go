package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

var (
	start   = time.Unix(1000, 0)
	regions = map[string]string{"a1": "a", "a2": "a", "b1": "b"}
)

func upstream(id, domain string) Upstream {
	return Upstream{ID: id, Service: "s", Address: id + ":1", FailureDomain: domain, Slots: 8}
}

func newFleet(list ...Upstream) *Fleet {
	f := New("a1", regions)
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

// Guards against traffic over the link between regions while the own region
// has room, and against refusing while the other region has.
func TestPickStaysInRegion(t *testing.T) {
	f := newFleet(upstream("far", "b1"), upstream("near", "a2"))
	if got := pick(f, Request{ServiceTime: 100 * time.Millisecond}, start); got != "near" {
		t.Errorf("picked %q with room in the region", got)
	}
	m := f.Member("near")
	for range 16 {
		f.RecordStart(m)
	}
	if got := pick(f, Request{ServiceTime: 100 * time.Millisecond}, start); got != "far" {
		t.Errorf("picked %q with a queue as long as the slots in the region", got)
	}
}

// Guards against new work for an upstream that is leaving, and against work
// for one that was tried.
func TestPickLeavesOut(t *testing.T) {
	draining := upstream("draining", "a1")
	draining.State = Draining
	f := newFleet(draining, upstream("tried", "a1"), upstream("free", "b1"))
	got := pick(f, Request{Excluded: func(id string) bool { return id == "tried" }}, start)
	if got != "free" {
		t.Errorf("picked %q", got)
	}
	if got := pick(newFleet(draining), Request{}, start); got != "" {
		t.Errorf("picked %q though only a leaving upstream is there", got)
	}
}

// Guards against an upstream that refuses connections and keeps its share, and
// against refusing when only such upstreams are left.
func TestSuspension(t *testing.T) {
	f := newFleet(upstream("x", "a1"), upstream("y", "a2"))
	x := f.Member("x")
	f.RecordFailure(x, true, start)
	if got := pick(f, Request{}, start); got != "y" {
		t.Errorf("picked %q after it refused a connection", got)
	}
	f.RecordFailure(f.Member("y"), true, start.Add(time.Millisecond))
	if got := pick(f, Request{}, start.Add(2*time.Millisecond)); got != "x" {
		t.Errorf("picked %q, want the one whose suspension ends first", got)
	}
	f.RecordSuccess(x)
	if x.Suspended(start) {
		t.Error("suspended after a success")
	}
}

// Guards against a lost answer that takes an upstream out of use: it serves
// others, so its share only shrinks.
func TestLostAnswerShrinksShare(t *testing.T) {
	f := newFleet(upstream("x", "a1"), upstream("y", "a2"))
	f.RecordFailure(f.Member("x"), false, start)
	if f.Member("x").Suspended(start) {
		t.Error("suspended after one lost answer")
	}
	if got := pick(f, Request{}, start); got != "y" {
		t.Errorf("picked %q after it lost an answer", got)
	}
	for range 60 {
		f.RecordSuccess(f.Member("x"))
	}
	if got := pick(f, Request{}, start); got != "x" {
		t.Errorf("picked %q though the nearer upstream works again", got)
	}
}

// Guards against an upstream that is avoided for good because it failed once: who
// is avoided shows no successes.
func TestFailuresAreForgotten(t *testing.T) {
	f := newFleet(upstream("x", "a1"), upstream("y", "a2"))
	for range 10 {
		f.RecordFailure(f.Member("x"), false, start)
	}
	if got := pick(f, Request{}, start.Add(failureHalfLife)); got != "y" {
		t.Errorf("picked %q right after ten failures", got)
	}
	if got := pick(f, Request{}, start.Add(15*failureHalfLife)); got != "x" {
		t.Errorf("picked %q, the nearer one failed long ago", got)
	}
}

// Guards against dropping all upstreams whose entries lapsed in an outage of
// the store, and against keeping those that never come back.
func TestMissingAfterOutage(t *testing.T) {
	f := newFleet(upstream("back", "a1"), upstream("dead", "a1"))
	f.KeepMissingUntil(start.Add(ReregistrationGrace))
	f.Replace(nil, start)
	if f.Len() != 2 {
		t.Fatalf("%d upstreams right after the outage, want 2", f.Len())
	}
	f.Put(upstream("back", "a1"))
	if gone := f.Expire(start.Add(ReregistrationGrace)); len(gone) != 1 || gone[0].ID != "dead" {
		t.Errorf("gone after the grace: %v, want dead", gone)
	}
	f.Remove("back", start.Add(ReregistrationGrace))
	if f.Len() != 0 {
		t.Error("a removal long after the outage has no effect")
	}
}

// Guards against failures and load of an earlier incarnation that are held
// against a new one with the same id.
func TestNewIncarnation(t *testing.T) {
	f := newFleet(upstream("x", "a1"))
	f.RecordFailure(f.Member("x"), true, start)
	next := upstream("x", "a1")
	next.StartedUnixMs = 5
	f.Put(next)
	if f.Member("x").Suspended(start) {
		t.Error("the new incarnation is suspended")
	}
}

// Guards against all entries choosing the same upstream from one load report.
func TestReportedLoadAges(t *testing.T) {
	f := newFleet(upstream("x", "a1"))
	m := f.Member("x")
	f.RecordStart(m)
	f.RecordLoad(m, Load{Running: 5, Waiting: 4, Slots: 8}, start)
	if got := f.load(m, start); got != 9 {
		t.Errorf("load %v right after a report of 9", got)
	}
	if got := f.load(m, start.Add(loadHalfLife)); got != 5 {
		t.Errorf("load %v after the half-life, want own 1 and half of 8", got)
	}
}

// Guards against a choice among members that are gone, or listed under the
// service of before.
func TestMembersOfService(t *testing.T) {
	f := New("a1", nil)
	put := func(id, service string, born int64) {
		f.Put(Upstream{ID: id, Service: service, Address: id + ":1", StartedUnixMs: born})
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
	put("c", "llm", 2) // started anew
	f.Remove("a", time.Time{})
	if llm, app := names("llm"), names("app"); llm != "c" || app != "b" || f.Len() != 2 || f.Members("llm")[0].StartedUnixMs != 2 {
		t.Errorf("llm %q, app %q, %d members", llm, app, f.Len())
	}
}

// BenchmarkReplace lists all upstreams of the target size.
func BenchmarkReplace(b *testing.B) {
	var list []Upstream
	for i := range 3000 {
		list = append(list, Upstream{ID: fmt.Sprintf("u%04d", i), Service: fmt.Sprint("s", i%12), Address: fmt.Sprint(i)})
	}
	for b.Loop() {
		New("a1", nil).Replace(list, time.Time{})
	}
}
