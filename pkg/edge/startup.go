package edge

import (
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"
)

// startStep is a step of an edge from its start to its first complete response.
type startStep int

// Steps of a start. They may end in any order.
const (
	stepListening     startStep = iota // accepts connections of callers
	stepConfiguration                  // has a configuration
	stepDeployment                     // knows configuration, upstreams and storage processes
	stepFirstQuorum                    // a turn has reserved its tokens at a quorum of the ledger
	stepFirstHistory                   // the earlier turns of a conversation were loaded
	stepFirstEvent                     // a caller has the first event of a stream
	stepFirstDurable                   // a turn is durable
	startSteps                         // number of steps
)

// String implements fmt.Stringer.
func (s startStep) String() string {
	return [...]string{"listening", "configuration", "deployment", "first_quorum", "first_history", "first_event", "first_durable"}[s]
}

// startup records how long after the start of the process each step ended for the first time.
// It is safe for concurrent use.
type startup struct {
	began  time.Time
	logger *slog.Logger
	ended  [startSteps]atomic.Int64 // ns after began; 0: not yet
}

func newStartup(began time.Time, logger *slog.Logger) *startup {
	return &startup{began: began, logger: logger}
}

// end records the first end of a step.
func (s *startup) end(step startStep) {
	if s.ended[step].Load() != 0 {
		return
	}
	took := max(time.Since(s.began), 1)
	if s.ended[step].CompareAndSwap(0, int64(took)) {
		s.logger.Info("start step", "step", step.String(), "after_ms", took.Milliseconds())
	}
}

// took returns how long after the start a step ended; 0: it has not.
func (s *startup) took(step startStep) time.Duration { return time.Duration(s.ended[step].Load()) }

// export adds the steps to the metrics of the edge.
func (s *startup) export(m *metrics) {
	for step := range startSteps {
		m.set.NewGauge(fmt.Sprintf(`yucca_edge_start_seconds{step=%q}`, step.String()), func() float64 { return s.took(step).Seconds() })
	}
}
