package sidecar

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// meters are the metrics of one sidecar; docs/metrics-sidecar.md lists them.
type meters struct {
	set           *metrics.Set
	tokens        *metrics.Counter
	foreign       *metrics.Counter
	resumes       *metrics.Counter
	stalls        *metrics.Counter
	overLimit     *metrics.Counter
	crashes       *metrics.Counter
	cacheEvents   *metrics.Counter
	cacheGaps     *metrics.Counter
	probeFailures *metrics.Counter
	unauthorized  *metrics.Counter
	heartbeats    *metrics.Counter
	kvBytes       *metrics.Counter
	firstToken    *metrics.Histogram
	callTime      *metrics.Histogram
	overhead      *metrics.Histogram
}

func newMeters(s *Sidecar) *meters {
	set := metrics.NewSet()
	m := &meters{
		set:           set,
		tokens:        set.NewCounter("yucca_sidecar_generated_tokens_total"),
		foreign:       set.NewCounter("yucca_sidecar_foreign_answers_total"),
		resumes:       set.NewCounter("yucca_sidecar_stream_resumes_total"),
		stalls:        set.NewCounter("yucca_sidecar_stalled_streams_total"),
		overLimit:     set.NewCounter("yucca_sidecar_token_limit_cancels_total"),
		crashes:       set.NewCounter("yucca_sidecar_upstream_crashes_total"),
		cacheEvents:   set.NewCounter("yucca_sidecar_cache_events_total"),
		cacheGaps:     set.NewCounter("yucca_sidecar_cache_event_gaps_total"),
		probeFailures: set.NewCounter("yucca_sidecar_probe_failures_total"),
		unauthorized:  set.NewCounter("yucca_sidecar_unauthorized_requests_total"),
		heartbeats:    set.NewCounter("yucca_sidecar_heartbeats_total"),
		kvBytes:       set.NewCounter("yucca_sidecar_kv_transferred_bytes_total"),
		firstToken:    set.NewHistogram("yucca_sidecar_first_token_seconds"),
		callTime:      set.NewHistogram("yucca_sidecar_call_seconds"),
		overhead:      set.NewHistogram("yucca_sidecar_dispatch_to_upstream_seconds"),
	}
	gauge := func(name string, f func() float64) {
		set.NewGauge(name, func() float64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return f()
		})
	}
	gauge("yucca_sidecar_running_attempts", func() float64 { return float64(s.state.Running()) })
	gauge("yucca_sidecar_recorded_attempts", func() float64 { return float64(s.state.Attempts()) })
	gauge("yucca_sidecar_undelivered_outcomes", func() float64 { return float64(s.state.Undelivered()) })
	gauge("yucca_sidecar_pinned_prefixes", func() float64 { return float64(s.state.Pins()) })
	gauge("yucca_sidecar_draining", func() float64 { return boolGauge(s.state.Draining()) })
	gauge("yucca_sidecar_upstream_up", func() float64 { _, up := s.state.Upstream(); return boolGauge(up) })
	gauge("yucca_sidecar_config_version", func() float64 { return float64(s.configVersion) })
	return m
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// dispatched counts a dispatch by its result.
func (m *meters) dispatched(result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("yucca_sidecar_dispatches_total{result=%q}", result)).Inc()
}

// ordered counts an engine order by its result.
func (m *meters) ordered(order, result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("yucca_sidecar_orders_total{order=%q,result=%q}", order, result)).Inc()
}
