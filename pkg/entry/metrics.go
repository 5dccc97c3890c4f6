package entry

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// entryMetrics holds the metrics of an entry. docs/metrics.md describes them.
type entryMetrics struct {
	set           *metrics.Set
	attempts      *metrics.Counter
	calls         *metrics.Counter
	forwards      *metrics.Counter
	takeovers     *metrics.Counter
	handovers     *metrics.Counter
	checkpoints   *metrics.Counter
	firstToken    *metrics.Histogram
	duration      *metrics.Histogram
	betweenTokens *metrics.Histogram
}

func newEntryMetrics(n *Entry) *entryMetrics {
	set := metrics.NewSet()
	m := &entryMetrics{
		set:           set,
		calls:         set.NewCounter("yucca_entry_calls_total"),
		forwards:      set.NewCounter("yucca_entry_forwards_total"),
		attempts:      set.NewCounter("yucca_entry_attempts_total"),
		takeovers:     set.NewCounter("yucca_entry_takeovers_total"),
		handovers:     set.NewCounter("yucca_entry_handovers_total"),
		checkpoints:   set.NewCounter("yucca_entry_checkpoints_total"),
		firstToken:    set.NewHistogram("yucca_entry_first_token_seconds"),
		betweenTokens: set.NewHistogram("yucca_entry_between_tokens_seconds"),
		duration:      set.NewHistogram("yucca_entry_call_duration_seconds"),
	}
	set.NewGauge("yucca_entry_calls_pending", func() float64 { return float64(n.calls.len()) })
	set.NewGauge("yucca_entry_attempts_running", func() float64 { return float64(n.attempts.len()) })
	set.NewGauge("yucca_entry_slots_owned", func() float64 { return float64(n.owner.ownedCount()) })
	set.NewGauge("yucca_entry_config_version", func() float64 { return float64(n.config.version()) })
	return m
}

// countRefusal counts a refused request by its code.
func (m *entryMetrics) countRefusal(code string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("yucca_entry_refusals_total{code=%q}", code)).Inc()
}

// countAttempt counts an attempt that the core dispatches.
func (m *entryMetrics) countAttempt() { m.attempts.Inc() }

// order counts a cache or placement order that the policy sends to an engine.
func (m *entryMetrics) order(name string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("yucca_entry_orders_total{order=%q}", name)).Inc()
}

// observeCall counts a finished call and records its duration.
func (m *entryMetrics) observeCall(start time.Time) {
	m.calls.Inc()
	m.duration.Update(time.Since(start).Seconds())
}

// serveHTTP writes the metrics in the Prometheus text format as an HTTP response.
func (m *entryMetrics) serveHTTP(w http.ResponseWriter, _ *http.Request) {
	m.writeTo(w)
}

func (m *entryMetrics) writeTo(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
