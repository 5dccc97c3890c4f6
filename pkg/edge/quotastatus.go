package edge

import (
	"cmp"
	"slices"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"github.com/yuccaspindle/yuccaspindle/pkg/quota"
)

const (
	// quotaLogInterval is how often workspaces that went over their quota are logged.
	quotaLogInterval = time.Second
	// maxOverQuota bounds the workspaces that are logged at a time or listed in the status,
	// those with the most refusals first.
	maxOverQuota = 32
)

// quotaMetrics holds the counters of quotas. They are not by workspace, of which there are
// too many.
type quotaMetrics struct {
	admitted, refused, waited *vm.Counter
	asked, granted, given     *vm.Counter // tokens
	asks, failed              *vm.Counter // messages
	answered, declined        *vm.Counter // messages of other edges
}

func newQuotaMetrics(m *metrics) quotaMetrics {
	return quotaMetrics{
		admitted: m.set.NewCounter(`yucca_edge_quota_requests_total{result="admitted"}`),
		refused:  m.set.NewCounter(`yucca_edge_quota_requests_total{result="refused"}`),
		waited:   m.set.NewCounter(`yucca_edge_quota_waits_total`),
		asked:    m.set.NewCounter(`yucca_edge_quota_tokens_total{kind="asked"}`),
		granted:  m.set.NewCounter(`yucca_edge_quota_tokens_total{kind="granted"}`),
		given:    m.set.NewCounter(`yucca_edge_quota_tokens_total{kind="given"}`),
		asks:     m.set.NewCounter(`yucca_edge_quota_messages_total{kind="sent"}`),
		failed:   m.set.NewCounter(`yucca_edge_quota_messages_total{kind="failed"}`),
		answered: m.set.NewCounter(`yucca_edge_quota_messages_total{kind="answered"}`),
		declined: m.set.NewCounter(`yucca_edge_quota_messages_total{kind="declined"}`),
	}
}

// decided counts a decision on a request.
func (m *quotaMetrics) decided(d quota.Decision) {
	if d.Outcome == quota.Refused {
		m.refused.Inc()
		return
	}
	m.admitted.Inc()
}

// ask counts a request for tokens that is sent.
func (m *quotaMetrics) ask(a quota.Ask) {
	m.asks.Inc()
	for _, d := range a.Request.Demands {
		m.asked.Add(int(d.Wanted))
	}
}

// reply counts the tokens of a reply.
func (m *quotaMetrics) reply(g quota.Grant) { m.granted.Add(granted(g)) }

// handled counts a request of another edge and its answer.
func (m *quotaMetrics) handled(g quota.Grant) {
	m.answered.Inc()
	if g.Refused && len(g.Tokens) > 0 {
		m.declined.Inc()
	}
	m.given.Add(granted(g))
}

// granted returns the number of granted tokens.
func granted(g quota.Grant) (n int) {
	for _, t := range g.Tokens {
		n += int(t.Granted)
	}
	return n
}

// QuotaStatus is an edge's part of the quotas of workspaces.
type QuotaStatus struct {
	Workspaces int         `json:"workspaces"` // with a quota
	Begun      bool        `json:"begun"`      // this edge may grant tokens by its list of edges
	Current    bool        `json:"current"`    // that list is known to be current
	Edges      int         `json:"entries"`    // edges in the list
	Granting   int         `json:"granting"`   // workspaces of which this edge granted tokens lately
	Over       []OverQuota `json:"over"`       // workspaces of which this edge refuses requests
}

// OverQuota is a workspace that sends more than its quota, with the requests a second of the
// last 3 s at this edge.
type OverQuota struct {
	Name      string  `json:"name"`
	PerSecond float64 `json:"per_second"` // of the quota
	Burst     float64 `json:"burst"`
	Seen      float64 `json:"seen"`
	Admitted  float64 `json:"admitted"`
	Refused   float64 `json:"refused"`
}

// status returns the state of the quotas.
func (q *quotas) status() QuotaStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	state := q.node.State(now)
	s := QuotaStatus{Workspaces: len(q.names), Begun: state.Begun, Current: state.Current, Edges: state.Edges, Granting: state.Pools}
	for _, o := range worstOver(q.node.Over(now)) {
		s.Over = append(s.Over, OverQuota{
			Name: q.names[o.Workspace], PerSecond: o.Quota.Rate, Burst: o.Quota.Burst,
			Seen: o.Seen, Admitted: o.Admitted, Refused: o.Refused,
		})
	}
	return s
}

// worstOver returns the workspaces with the most refusals.
func worstOver(list []quota.Over) []quota.Over {
	slices.SortFunc(list, func(a, b quota.Over) int {
		return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(a.Workspace, b.Workspace))
	})
	return list[:min(len(list), maxOverQuota)]
}

// logOver logs which workspaces went over their quota at this edge, and which are within it
// again.
func (q *quotas) logOver() {
	now := q.now()
	if now-q.overAt < quotaLogInterval {
		return
	}
	q.overAt = now
	q.mu.Lock()
	list := worstOver(q.node.Over(now))
	names := q.names
	q.mu.Unlock()
	over := make(map[uint64]bool, len(list))
	for _, o := range list {
		over[o.Workspace] = true
		if !q.over[o.Workspace] {
			q.e.logger.Info("workspace over its quota", "workspace", names[o.Workspace], "per_second", o.Quota.Rate, "burst", o.Quota.Burst,
				"seen_per_second", o.Seen, "admitted_per_second", o.Admitted, "refused_per_second", o.Refused)
		}
	}
	for id := range q.over {
		if !over[id] {
			q.e.logger.Info("workspace within its quota again", "workspace", names[id])
		}
	}
	q.over = over
}
