package config

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

func sample(weight int) []byte {
	return []byte(strings.Replace(sampleShared, "cache_weight = 3", fmt.Sprintf("cache_weight = %d", weight), 1))
}

func newStore() (*objectapi.Memory, *Store) {
	mem := objectapi.NewMemory(objectapi.MemoryOptions{})
	s := NewStore(mem)
	s.Now = func() time.Time { return time.Date(2026, 3, 4, 5, 6, 7, 0, time.UTC) }
	return mem, s
}

// Guards against a change that overwrites another operator's, and against a
// conflict that does not say whose change came first.
func TestRacingOperators(t *testing.T) {
	mem, _ := newStore()
	const operators = 20
	var wg sync.WaitGroup
	var mu sync.Mutex
	won := 0
	for i := range operators {
		wg.Go(func() {
			s := NewStore(mem.Client(fmt.Sprint(i)))
			_, err := s.Apply(t.Context(), 0, sample(i), fmt.Sprintf("operator %d", i), "trial")
			var c *ConflictError
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				won++
			case !errors.As(err, &c) || c.Other.Version != 1 || !strings.Contains(err.Error(), "by operator"):
				t.Errorf("Apply: %v", err)
			}
		})
	}
	wg.Wait()
	if won != 1 {
		t.Errorf("%d changes took effect, want 1", won)
	}
}

// Guards against a roll-back that lowers the version, a version that is missing
// in the history, and a repeated apply that makes two versions.
func TestHistoryAndRollback(t *testing.T) {
	mem, s := newStore()
	ctx := t.Context()
	for i := range 3 {
		if i == 2 {
			mem.SetFaults("", objectapi.Faults{LoseAnswers: 1})
		}
		for range 2 { // the second is a repetition
			if v, err := s.Apply(ctx, uint64(i), sample(i+1), "asha", fmt.Sprintf("step %d", i)); err != nil || v.Version != uint64(i+1) {
				t.Fatalf("Apply %d = version %d, %v", i, v.Version, err)
			}
		}
	}
	if err := mem.Delete(ctx, historyKey(3)); err != nil { // as if the writer had died before
		t.Fatal(err)
	}
	v, err := s.Rollback(ctx, 1, "neema")
	if err != nil || v.Version != 4 || string(v.Text) != string(sample(1)) {
		t.Fatalf("Rollback = version %d, %v", v.Version, err)
	}
	h, err := s.History(ctx)
	if err != nil || len(h) != 4 || h[2].Why != "step 2" || h[3].Why != "roll back from version 3 to 1" {
		t.Errorf("History = %+v, %v", h, err)
	}
	if _, err := s.Apply(ctx, 4, []byte("[cluster]\n"), "asha", "broken"); err == nil {
		t.Error("an invalid text was applied")
	}
	if cur, _ := s.Current(ctx); cur.Version != 4 {
		t.Errorf("version %d in force after an invalid text, want 4", cur.Version)
	}
	if err := mem.Delete(ctx, ObjectKey); err != nil {
		t.Fatal(err)
	}
	if v, err := s.Apply(ctx, 0, sample(9), "asha", "restore"); err != nil || v.Version != 5 {
		t.Errorf("Apply after the object was deleted = version %d, %v, want 5", v.Version, err)
	}
}

// Guards against a stale watch, a late push or an invalid text that lowers or
// breaks the configuration in force.
func TestVersionNeverFalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem, s := newStore()
		ctx, stop := context.WithCancel(t.Context())
		var seen []uint64
		d := NewDistributor(DistributorOptions{Applied: func(c core.Config) { seen = append(seen, c.Version) }})
		done := make(chan error, 1)
		go func() { done <- d.Follow(ctx, s, nil) }()
		apply := func(base uint64) {
			if _, err := s.Apply(ctx, base, sample(int(base)+1), "asha", "step"); err != nil {
				t.Error(err)
			}
			time.Sleep(5 * time.Second)
		}
		apply(0)
		apply(1)
		mem.SetFaults("", objectapi.Faults{StaleWatch: true})
		apply(2)
		if ok, err := d.Offer(1, sample(1)); ok || err != nil {
			t.Errorf("Offer of an old version = %v, %v", ok, err)
		}
		if ok, err := d.Offer(9, []byte("[cluster]")); ok || err == nil {
			t.Errorf("Offer of an invalid text = %v, %v", ok, err)
		}
		mem.SetFaults("", objectapi.Faults{Outage: true})
		time.Sleep(time.Minute)
		mem.SetFaults("", objectapi.Faults{})
		apply(3)
		stop()
		<-done
		if fmt.Sprint(seen) != "[1 2 4]" && fmt.Sprint(seen) != "[1 2 3 4]" {
			t.Errorf("versions in force: %v", seen)
		}
	})
}

// Guards against a restarted process that takes an older version than its
// peers, the store or its own disk know, or that is ready with none.
func TestRestartTakesTheHighest(t *testing.T) {
	offer := func(v uint64) Source {
		return func(context.Context) (uint64, []byte, error) { return v, sample(1), nil }
	}
	silent := func(ctx context.Context) (uint64, []byte, error) { <-ctx.Done(); return 0, nil, ctx.Err() }
	for _, c := range []struct {
		name            string
		disk, peer, own uint64 // own is the store's
		want            uint64
	}{
		{"disk", 7, 5, 6, 7}, {"peer", 5, 7, 6, 7}, {"store", 5, 6, 7, 7}, {"only disk", 3, 0, 0, 3}, {"none", 0, 0, 0, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			dir := t.TempDir()
			if c.disk > 0 {
				if _, err := NewDistributor(DistributorOptions{Folder: dir}).Offer(c.disk, sample(1)); err != nil {
					t.Fatal(err)
				}
			}
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			d := NewDistributor(DistributorOptions{Folder: dir})
			err := d.Start(ctx, silent, offer(c.peer), offer(c.own))
			if v, _ := d.Current(); v != c.want || (err == nil) != (c.want > 0) {
				t.Errorf("%s: version %d in force, %v; want %d", c.name, v, err, c.want)
			}
		})
	}
}

func BenchmarkParseShared(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ParseShared("f", []byte(sampleShared)); err != nil {
			b.Fatal(err)
		}
	}
}

// Measures one change on its way from the store's watch to 100 processes.
func BenchmarkDistribute(b *testing.B) {
	ds := make([]*Distributor, 100)
	for i := range ds {
		ds[i] = NewDistributor(DistributorOptions{})
	}
	b.ReportAllocs()
	v := uint64(0)
	for b.Loop() {
		v++
		for _, d := range ds {
			if ok, err := d.Offer(v, []byte(sampleShared)); !ok || err != nil {
				b.Fatal(ok, err)
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(len(ds)), "µs/process")
}

// Guards against a change of slot_count, after which programs in progress would
// belong to other slots and their owners.
func TestSlotCountIsFixed(t *testing.T) {
	mem, s := newStore()
	text := func(slots int) []byte {
		return []byte(strings.Replace(sampleShared, "[cluster]", fmt.Sprintf("[cluster]\nslot_count = %d", slots), 1))
	}
	if _, err := s.Apply(t.Context(), 0, text(64), "asha", "first"); err != nil {
		t.Fatal(err)
	}
	_, err := s.Apply(t.Context(), 1, text(128), "asha", "more slots")
	var fixed *SlotCountError
	if !errors.As(err, &fixed) || fixed.InForce != 64 || fixed.Wanted != 128 {
		t.Errorf("changed under running programs: %v", err)
	}
	if v, err := s.Current(t.Context()); err != nil || v.Version != 1 {
		t.Errorf("version %d, %v", v.Version, err)
	}
	// With everything stopped and the configuration deleted it may change.
	if err := mem.Delete(t.Context(), ObjectKey); err != nil {
		t.Fatal(err)
	}
	if v, err := NewStore(mem).Apply(t.Context(), 0, text(128), "asha", "more slots"); err != nil || v.Version != 2 {
		t.Errorf("after a stop: version %d, %v", v.Version, err)
	}
}
