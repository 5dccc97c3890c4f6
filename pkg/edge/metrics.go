package edge

import (
	"fmt"
	"net/http"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"github.com/yuccaspindle/yuccaspindle/pkg/attempt"
	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
	"github.com/yuccaspindle/yuccaspindle/pkg/membudget"
	"github.com/yuccaspindle/yuccaspindle/pkg/retrybudget"
)

// metrics holds the counters and histograms of one edge.
type metrics struct{ set *vm.Set }

func newMetrics() *metrics { return &metrics{set: vm.NewSet()} }

// recordEnd counts a finished request by route kind and result and records its
// duration.
func (m *metrics) recordEnd(kind, result string, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`yucca_edge_requests_total{kind=%q,result=%q}`, kind, result)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`yucca_edge_request_seconds{kind=%q}`, kind)).Update(took.Seconds())
}

// keyRefused counts a request that was not passed on because of its key, by reason.
func (m *metrics) keyRefused(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`yucca_edge_keys_refused_total{reason=%q}`, reason)).Inc()
}

// configAge exports the time since the configuration was last known to be current.
func (m *metrics) configAge(age func() time.Duration) {
	m.set.NewGauge(`yucca_edge_config_checked_ago_seconds`, func() float64 { return age().Seconds() })
}

// attempt counts an attempt at an upstream by its outcome.
func (m *metrics) attempt(outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`yucca_edge_attempts_total{outcome=%q}`, outcome)).Inc()
}

// timeGiven records the time that an upstream was given for an attempt.
func (m *metrics) timeGiven(d time.Duration) {
	m.set.GetOrCreateHistogram(`yucca_edge_attempt_given_seconds`).Update(d.Seconds())
}

// boundExceeded counts an attempt beyond the bounds of its request, by bound.
func (m *metrics) boundExceeded(bound string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`yucca_edge_attempts_beyond_bounds_total{bound=%q}`, bound)).Inc()
}

// callerLeft counts a caller that disconnected before its answer, by how reading from its
// connection ended.
func (m *metrics) callerLeft(end string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`yucca_edge_callers_left_total{conn=%q}`, end)).Inc()
}

// connLimit counts a connection that was closed or refused at a limit, by listener.
func (m *metrics) connLimit(listener, limit string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`yucca_edge_connection_limits_total{listener=%q,limit=%q}`, listener, limit)).Inc()
}

// openConns exports the number of open connections of a listener and its limit.
func (m *metrics) openConns(listener string, l *callerConns) {
	m.set.NewGauge(fmt.Sprintf(`yucca_edge_connections{listener=%q}`, listener), func() float64 { return float64(l.count()) })
	m.set.NewGauge(fmt.Sprintf(`yucca_edge_connections_limit{listener=%q}`, listener), func() float64 { return float64(l.limits.open) })
}

// turnMemory exports the memory of the turns that are kept for later ones, and of the earlier
// turns of those under way, with their limits.
func (m *metrics) turnMemory(kept *turnCache, histories *membudget.Budget) {
	m.set.NewGauge(`yucca_edge_turn_cache_bytes`, func() float64 { return float64(kept.size()) })
	m.set.NewGauge(`yucca_edge_turn_cache_limit_bytes`, func() float64 { return float64(kept.limit) })
	m.set.NewGauge(`yucca_edge_history_bytes`, func() float64 { return float64(histories.Usage().Used) })
	m.set.NewGauge(`yucca_edge_history_limit_bytes`, func() float64 { return float64(histories.Usage().Limit) })
	m.set.NewGauge(`yucca_edge_history_refused_total`, func() float64 { return float64(histories.Usage().Refused) })
}

// peersRefused exports the number of accepted connections of peers that became no session.
func (m *metrics) peersRefused(count func() uint64) {
	m.set.NewGauge(`yucca_edge_peers_refused_total`, func() float64 { return float64(count()) })
}

// handlerPanic counts a request that failed because of a fault of the edge.
func (m *metrics) handlerPanic() { m.set.GetOrCreateCounter(`yucca_edge_panics_total`).Inc() }

// cutAtStop counts requests that were still without an answer at the end of a stop.
func (m *metrics) cutAtStop(n int) {
	m.set.GetOrCreateCounter(`yucca_edge_cut_at_stop_total`).Add(n)
}

// endedForStop counts requests that a stopping edge did not pass on, or not again, since
// the rest of the stop could not hold them, by what their callers were told.
func (m *metrics) endedForStop(a attempt.Action) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`yucca_edge_ended_for_stop_total{action=%q}`, a.String())).Inc()
}

// suspectFinding counts findings about requests that were in flight during a crash.
func (m *metrics) suspectFinding(finding string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`yucca_edge_suspects_total{finding=%q}`, finding)).Inc()
}

// upstreamLeaving counts an upstream that announced its shutdown in a response.
func (m *metrics) upstreamLeaving() {
	m.set.GetOrCreateCounter(`yucca_edge_leaving_upstreams_total`).Inc()
}

// limitChange counts a change of what is known about an upstream's rate limit, by kind
// and by who stated it.
func (m *metrics) limitChange(change, source string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`yucca_edge_limit_changes_total{change=%q,source=%q}`, change, source)).Inc()
}

// limitedAttempt counts an attempt at an upstream with a rate limit, by cause.
func (m *metrics) limitedAttempt(cause string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`yucca_edge_limited_attempts_total{cause=%q}`, cause)).Inc()
}

// limitedUpstreams exports the number of upstreams with a rate limit.
func (m *metrics) limitedUpstreams(count func() float64) {
	m.set.NewGauge(`yucca_edge_limited_upstreams`, count)
}

// placement counts an attempt by the cost that chose its upstream, and the tokens of its
// prompt that it was expected to read.
func (m *metrics) placement(p placement) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`yucca_edge_placements_total{by=%q}`, p.by())).Inc()
	m.set.GetOrCreateCounter(`yucca_edge_prompt_tokens_to_read_total`).Add(p.read)
}

// loadIgnored counts a load report that was ignored, by reason.
func (m *metrics) loadIgnored(why string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`yucca_edge_load_reports_ignored_total{why=%q}`, why)).Inc()
}

// undelivered counts reports of findings that could not be sent to a process.
func (m *metrics) undelivered() { m.set.GetOrCreateCounter(`yucca_edge_suspects_untold_total`).Inc() }

// lostAttempt counts an attempt that may have run and got no response, by whether the
// connection broke or timed out, and by whether the upstream had announced its shutdown.
func (m *metrics) lostAttempt(silent, leaving bool) {
	end := "broken"
	if silent {
		end = "silent"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`yucca_edge_lost_attempts_total{end=%q}`, end)).Inc()
	if leaving {
		m.set.GetOrCreateCounter(`yucca_edge_lost_attempts_leaving_total`).Inc()
	}
}

// lostAttemptDiscounted counts a lost attempt that is no evidence of a crash, by reason.
func (m *metrics) lostAttemptDiscounted(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`yucca_edge_lost_attempts_discounted_total{reason=%q}`, reason)).Inc()
}

// streamTakenUp counts a request that takes up a stream, by the source of its origin.
func (m *metrics) streamTakenUp(source string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`yucca_edge_streams_taken_up_total{origin=%q}`, source)).Inc()
}

// otherRun counts an upstream that was found to have started again without a new
// registration.
func (m *metrics) otherRun() {
	m.set.GetOrCreateCounter(`yucca_edge_unregistered_runs_total`).Inc()
}

// originMoved counts a stream that moves to another version before its first event, by
// whether that was recorded.
func (m *metrics) originMoved(err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`yucca_edge_origin_moves_total{result=%q}`, result)).Inc()
}

// overBudget counts a turn that was refused since it exceeds its program's budget, by
// whether finished turns alone have spent it.
func (m *metrics) overBudget(u ledger.BudgetUse) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`yucca_edge_over_budget_total{open_turns="%t"}`, u.OpenTurns > 0)).Inc()
}

// lines exports the requests that wait for room at the upstreams.
func (m *metrics) lines(l *lines) {
	m.set.NewGauge(`yucca_edge_line_waiting`, func() float64 { return float64(l.waiting()) })
	m.set.NewGauge(`yucca_edge_line_bytes`, func() float64 { return float64(l.held()) })
}

// lineEnded records a wait for room at the upstreams by how it ended.
func (m *metrics) lineEnded(end string, waited time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`yucca_edge_line_seconds{end=%q}`, end)).Update(waited.Seconds())
}

// retryDenied counts an attempt that the retry budget of a service did not allow, by cause.
func (m *metrics) retryDenied(c retrybudget.Cause) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`yucca_edge_retries_denied_total{cause=%q}`, c.String())).Inc()
}

// firstEvent records the time to the first event of a stream.
func (m *metrics) firstEvent(took time.Duration) {
	m.set.GetOrCreateHistogram(`yucca_edge_first_event_seconds`).Update(took.Seconds())
}

// transit exports the memory used by bodies in transit.
func (m *metrics) transit(b *membudget.Budget) {
	m.set.NewGauge(`yucca_edge_transit_bytes`, func() float64 { return float64(b.Usage().Used) })
	m.set.NewGauge(`yucca_edge_transit_limit_bytes`, func() float64 { return float64(b.Usage().Limit) })
	m.set.NewGauge(`yucca_edge_transit_refused_total`, func() float64 { return float64(b.Usage().Refused) })
}

// ledger records the duration of a ledger call by step and result.
func (m *metrics) ledger(step ledgerStep, err error, took time.Duration) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.set.GetOrCreateHistogram(fmt.Sprintf(`yucca_edge_ledger_seconds{step=%q,result=%q}`, string(step), result)).Update(took.Seconds())
}

// turnEnded counts a complete stream by whether its turn was durable when its response
// ended.
func (m *metrics) turnEnded(d durability) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`yucca_edge_turns_total{durable=%q}`, string(d))).Inc()
}

// turnNotFound counts a request whose parent turn was not found.
func (m *metrics) turnNotFound() { m.set.GetOrCreateCounter(`yucca_edge_turns_not_found_total`).Inc() }

// membersRead counts a read of the list of storage processes from the platform's store.
func (m *metrics) membersRead(err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`yucca_edge_member_reads_total{result=%q}`, result)).Inc()
}

func (m *metrics) serve(w http.ResponseWriter, _ *http.Request) { m.set.WritePrometheus(w) }
