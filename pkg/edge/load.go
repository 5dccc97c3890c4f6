package edge

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/procload"
)

const (
	// loadInterval is how often the load of the process is measured.
	loadInterval = time.Second
	// overloadedWait is the wait for a processor, of one goroutine in a hundred, from which
	// on the process counts as short of processor time and its load is logged.
	overloadedWait = 50 * time.Millisecond
)

// ledgerStep is what a turn waits for at the ledger.
type ledgerStep string

const (
	stepReserve ledgerStep = "reserve"
	stepHistory ledgerStep = "history"
	stepPassOn  ledgerStep = "pass on"
	stepEvents  ledgerStep = "events"
	stepCommit  ledgerStep = "commit"
)

// load tells apart why requests wait: for a processor, or for the ledger.
type load struct {
	runWait atomic.Int64 // P99 of the last interval, in ns
	waiting map[ledgerStep]*atomic.Int64
}

func newLoad() *load {
	l := &load{waiting: make(map[ledgerStep]*atomic.Int64)}
	for _, s := range []ledgerStep{stepReserve, stepHistory, stepPassOn, stepEvents, stepCommit} {
		l.waiting[s] = new(atomic.Int64)
	}
	return l
}

// wait counts a turn that waits for the ledger until the returned function is called.
func (l *load) wait(s ledgerStep) (done func()) {
	l.waiting[s].Add(1)
	return func() { l.waiting[s].Add(-1) }
}

// export adds the load to the metrics of the edge.
func (l *load) export(m *metrics, open, limit func() float64) {
	m.set.NewGauge(`yucca_edge_open_requests`, open)
	m.set.NewGauge(`yucca_edge_run_wait_seconds`, func() float64 { return time.Duration(l.runWait.Load()).Seconds() })
	m.set.NewGauge(`yucca_edge_waiting_turns_limit`, limit)
	for s, n := range l.waiting {
		m.set.NewGauge(fmt.Sprintf(`yucca_edge_ledger_waiting{step=%q}`, string(s)), func() float64 { return float64(n.Load()) })
	}
}

// measureLoad measures the load until the context is done, and logs it while the process
// is short of processor time.
func (e *Edge) measureLoad(ctx context.Context) {
	meter := procload.NewMeter()
	t := time.NewTicker(loadInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := meter.Read()
		e.load.runWait.Store(int64(now.P99))
		if now.P99 < overloadedWait {
			continue
		}
		waiting := func(s ledgerStep) int64 { return e.load.waiting[s].Load() }
		e.logger.Warn("short of processor time", "run_wait_median_ms", now.Median.Milliseconds(), "run_wait_p99_ms", now.P99.Milliseconds(),
			"open_requests", e.inFlight.count(), "limit", e.admission.limit(), "reserve", waiting(stepReserve), "history", waiting(stepHistory),
			"pass_on", waiting(stepPassOn), "events", waiting(stepEvents), "commit", waiting(stepCommit), "goroutines", now.Goroutines, "gc_cycles", now.GCCycles)
	}
}
