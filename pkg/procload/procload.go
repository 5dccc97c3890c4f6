// Package procload measures how long goroutines of this process that could run waited for
// a processor, from the histograms of the Go runtime.
package procload

import (
	"math"
	"runtime/metrics"
	"time"
)

// Names of the measurements of the Go runtime.
const (
	runWaitMetric   = "/sched/latencies:seconds"
	gcCyclesMetric  = "/gc/cycles/total:gc-cycles"
	goroutineMetric = "/sched/goroutines:goroutines"
)

// Load is what a Meter measured since its previous reading.
type Load struct {
	// Median and P99 are quantiles of the waits for a processor; 0: no goroutine waited.
	Median, P99 time.Duration
	GCCycles    uint64
	Goroutines  uint64 // now
}

// Meter reads the load of this process. It is not safe for concurrent use.
type Meter struct {
	samples  []metrics.Sample
	counts   []uint64 // of the histogram of waits at the previous reading
	gcCycles uint64
}

// NewMeter returns a meter whose first reading covers the time since the call.
func NewMeter() *Meter {
	m := &Meter{samples: []metrics.Sample{{Name: runWaitMetric}, {Name: gcCyclesMetric}, {Name: goroutineMetric}}}
	m.Read()
	return m
}

// Read returns the load since the previous reading.
func (m *Meter) Read() Load {
	metrics.Read(m.samples)
	h := m.samples[0].Value.Float64Histogram()
	waits := make([]uint64, len(h.Counts))
	copy(waits, h.Counts)
	for i, before := range m.counts {
		waits[i] -= before
	}
	m.counts = append(m.counts[:0], h.Counts...)
	cycles := m.samples[1].Value.Uint64()
	l := Load{
		Median: quantile(waits, h.Buckets, 0.5), P99: quantile(waits, h.Buckets, 0.99),
		GCCycles: cycles - m.gcCycles, Goroutines: m.samples[2].Value.Uint64(),
	}
	m.gcCycles = cycles
	return l
}

// quantile returns the lower bound of the bucket that holds a quantile of the counts;
// 0: there are none. Bucket i lies between bounds[i] and bounds[i+1], in seconds.
func quantile(counts []uint64, bounds []float64, q float64) time.Duration {
	total := uint64(0)
	for _, n := range counts {
		total += n
	}
	rank, seen := uint64(math.Ceil(q*float64(total))), uint64(0)
	for i, n := range counts {
		seen += n
		if n > 0 && seen >= rank {
			return time.Duration(max(bounds[i], 0) * float64(time.Second))
		}
	}
	return 0
}
