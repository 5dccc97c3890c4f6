package procload

import (
	"math"
	"testing"
	"time"
)

// Guards against a load that looks low because most goroutines never wait, or high because
// of a bucket without an end.
func TestQuantile(t *testing.T) {
	bounds := []float64{math.Inf(-1), 0, 0.001, 0.1, math.Inf(1)}
	for name, c := range map[string]struct {
		counts []uint64
		q      float64
		want   time.Duration
	}{
		"nothing":       {[]uint64{0, 0, 0, 0}, 0.99, 0},
		"all short":     {[]uint64{0, 100, 0, 0}, 0.99, 0},
		"one in 100":    {[]uint64{0, 99, 1, 0}, 0.99, 0},
		"two in 100":    {[]uint64{0, 98, 2, 0}, 0.99, time.Millisecond},
		"endless":       {[]uint64{0, 0, 0, 1}, 0.5, 100 * time.Millisecond},
		"half and half": {[]uint64{0, 0, 50, 50}, 0.5, time.Millisecond},
	} {
		if got := quantile(c.counts, bounds, c.q); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Guards against a reading that counts the time before the previous one again.
func TestReadCoversOneInterval(t *testing.T) {
	m := NewMeter()
	for range 1000 {
		done := make(chan struct{})
		go close(done)
		<-done
	}
	if l := m.Read(); l.Goroutines == 0 {
		t.Errorf("load %+v: a goroutine runs this test", l)
	}
	before := append([]uint64(nil), m.counts...)
	m.Read()
	for i, n := range m.counts {
		if n < before[i] {
			t.Fatalf("bucket %d: %d, %d before", i, n, before[i])
		}
	}
}
