package policy

import (
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// Guards against full confidence in a prefix whose eviction event may have been
// lost, and against a gap in the events that causes no resync.
func TestCacheEventGapLowersConfidenceAndAsksForResync(t *testing.T) {
	d := newParts(t, 1)
	addEngines(d, 1)
	u := d.fleet.byID[engineInfo(0).ID]
	event := func(s float64, number uint64, prefix string, tokens int64) {
		d.OnCache(at(s), core.CacheEvent{Upstream: u.info.ID, Number: number, Prefix: prefix, Tokens: tokens})
	}
	resyncs := func(s float64) (n int) {
		for _, o := range d.Orders(at(s)) {
			if o.Order == core.OrderResyncCache && o.Upstream == u.info.ID {
				n++
			}
		}
		return n
	}
	expected := func(s float64) int64 { return d.cache.prefix(at(s), u, "p", 1<<40) }

	event(1, 1, "p", 5000)
	event(1, 2, "q", 100)
	if got := expected(2); got != 5000 {
		t.Fatalf("expected %d tokens without a gap, want 5000", got)
	}
	if n := resyncs(2); n > 0 {
		t.Errorf("%d resync orders without a gap", n)
	}
	event(3, 5, "q", 200)
	if got := expected(3); got >= 5000*7/10 {
		t.Errorf("expected %d of 5000 tokens after a gap", got)
	}
	event(3.1, 9, "q", 300)
	if n := resyncs(3.2); n != 1 {
		t.Errorf("%d resync orders after two gaps in 0.1 s, want 1", n)
	}
	event(4, 0, "p", 5000) // an event of the resync
	if got := expected(4); got != 5000 {
		t.Errorf("expected %d tokens after the resync, want 5000", got)
	}
	event(5, 10, "p", 0)
	event(5.1, 8, "p", 5000) // out of order: older than the eviction
	if got := expected(6); got != 0 {
		t.Errorf("expected %d tokens after the eviction", got)
	}
}

// Guards against cache estimates that outlast the upstream's process, the content
// of its cache or the program.
func TestCacheMapRemovesStaleEstimates(t *testing.T) {
	d := newParts(t, 1)
	addEngines(d, 2)
	u := d.fleet.byID[engineInfo(0).ID]
	d.cache.set(u, "p", 10_000, time.Time{})
	u.cache.writtenTokens += u.info.CacheTokens * 9 / 10
	if got := d.cache.prefix(at(1), u, "p", 1<<40); got > 3000 {
		t.Errorf("expected %d tokens after 90%% of the cache was rewritten", got)
	}
	d.cache.set(u, "p", 10_000, time.Time{})
	info := u.info
	info.Incarnation++
	d.SetUpstream(at(2), info)
	if got := d.cache.prefix(at(2), u, "p", 1<<40); got != 0 || len(d.cache.holders["p"]) != 0 {
		t.Errorf("expected %d tokens on a restarted upstream", got)
	}
	d.cache.set(u, "p000-x", 10_000, time.Time{})
	d.ProgramRecovered(at(3), view("p000-x", "c", core.ClassStandard))
	d.ProgramEnded(at(3), "p000-x")
	if len(d.cache.holders) != 0 || len(u.cache.prefixes) != 0 {
		t.Error("the cache map keeps the prefix of an ended program")
	}
}

// Guards against cache estimates that stay high although the upstream's answers
// report no cached tokens.
func TestAnswersCorrectTheCacheMap(t *testing.T) {
	d := newParts(t, 1)
	addEngines(d, 1)
	u := d.fleet.byID[engineInfo(0).ID]
	for i := range 60 {
		v := view("p000-x", "c", core.ClassStandard)
		d.Enqueue(at(float64(i)), modelCall(v, i, 4000))
		for _, a := range drain(d, at(float64(i))) {
			finish(d, at(float64(i)+0.5), a, 0) // nothing was cached
		}
	}
	if got := d.cache.prefix(at(70), u, "p000-x", 1<<40); got > 2000 {
		t.Errorf("expected %d of 4100 tokens on an upstream that never reuses them", got)
	}
}
