package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/ratelimit"
)

func limitTo(perSecond float64) ratelimit.Reading {
	return ratelimit.Reading{Limited: true, PerSecond: perSecond}
}

// Guards against requests to a limited upstream without a permit, and against refusing
// requests that another upstream has room for.
func TestPickKeepsLimits(t *testing.T) {
	f := newFleet(upstream("limited", "a1"), upstream("other", "a2"))
	f.RecordLimit(f.Member("limited"), limitTo(2), start, start)
	count := map[string]int{}
	for i := range 400 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		m := f.Pick(Request{Service: "s", Draw: 0.5}, now)
		if m == nil {
			t.Fatalf("request %d is refused", i)
		}
		f.RecordStart(m, ratelimit.First, now)
		f.RecordEnd(m)
		count[m.ID]++
	}
	if n := count["limited"]; n < 4 || n > 9 {
		t.Errorf("%d requests in 4 s at 2 a second", n)
	}
}

// Guards against losing a limit when the registration of its upstream expires and comes
// back, and against applying it to another run of the upstream.
func TestLimitBelongsToTheRun(t *testing.T) {
	f := newFleet(upstream("u", "a1"))
	f.RecordLimit(f.Member("u"), limitTo(1), start, start)
	f.Remove("u", start)
	f.Put(upstream("u", "a1"), start)
	if !f.Member("u").Limited() {
		t.Error("not limited after the registration came back")
	}
	next := upstream("u", "a1")
	next.StartedUnixMs = 7
	f.Put(next, start)
	if f.Member("u").Limited() || f.LimitedCount() != 1 {
		t.Error("a new run is limited")
	}
}

// Guards against a wait that is not true: after it, a permit has to be there.
func TestRefuseLimited(t *testing.T) {
	f := newFleet(upstream("u", "a1"), upstream("v", "a1"))
	for _, id := range []string{"u", "v"} {
		f.RecordLimit(f.Member(id), limitTo(0.5), start, start)
	}
	r := Request{Service: "s", Draw: 0.5}
	now := start
	for range 20 {
		m := f.Pick(r, now)
		if m != nil {
			f.RecordStart(m, ratelimit.First, now)
			f.RecordEnd(m)
			continue
		}
		wait, limited := f.RefuseLimited(r, now)
		if !limited || wait <= 0 || wait > 4*time.Second {
			t.Fatalf("wait %v, limited %v", wait, limited)
		}
		now = now.Add(wait + time.Millisecond)
		if f.Pick(r, now) == nil {
			t.Fatalf("no permit after %v", wait)
		}
	}
	if _, limited := newFleet().RefuseLimited(r, now); limited {
		t.Error("a service without upstreams is refused because of limits")
	}
}

// Guards against a full queue at the only upstream without a limit: new programs are
// refused, programs in progress are not.
func TestNoRoomBesideLimits(t *testing.T) {
	f := newFleet(upstream("limited", "a1"), upstream("other", "a1"))
	f.RecordLimit(f.Member("limited"), limitTo(0.1), start, start)
	other := f.Member("other")
	for range 16 { // two requests for each slot
		f.RecordStart(other, ratelimit.First, start)
	}
	if m := f.Pick(Request{Service: "s", Rank: ratelimit.NewProgram}, start); m != nil {
		t.Errorf("a new program is sent to %s", m.ID)
	}
	if m := f.Pick(Request{Service: "s"}, start); m != other {
		t.Error("a program in progress is refused although there is room")
	}
}

// BenchmarkPickLimited measures a placement at the target size, with and without limits.
func BenchmarkPickLimited(b *testing.B) {
	for _, limited := range []int{0, 300, 3000} {
		b.Run(fmt.Sprintf("limited=%d", limited), func(b *testing.B) {
			f := New("a1", regions, start)
			for i := range 3000 {
				id := fmt.Sprint("u", i)
				f.Put(upstream(id, "a1"), start)
				if i < limited {
					f.RecordLimit(f.Member(id), limitTo(6), start, start)
				}
			}
			f.Limits().SetShares(ratelimit.EqualShares(0, 410), start)
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(100 * time.Microsecond)
				f.Pick(Request{Service: "s", Draw: 0.5}, now)
			}
		})
	}
}
