package edge

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/freshness"
	"github.com/yuccaspindle/yuccaspindle/pkg/peerstate"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

// dateInterval is the mean time between two rounds of questions to peers while neither the store
// nor a feed shows that the configuration is current.
const dateInterval = time.Second

// configFreshness is what is known of the age of the configuration in force.
type configFreshness struct {
	// keyLimit is the age of the newest check of the configuration from which requests with
	// keys are refused; 0: its age does not matter.
	keyLimit time.Duration
	// sinceBoot is a clock that also counts suspensions.
	sinceBoot func() time.Duration
	checked   freshness.Checked // newest check of the configuration
	// refusesKeys is the state that was logged last.
	refusesKeys atomic.Bool
}

// trustsKeys reports whether requests may be passed on by their keys.
func (e *Edge) trustsKeys() bool {
	v := e.view
	if v.keyLimit == 0 {
		return true
	}
	now := v.sinceBoot()
	trusted := v.checked.Within(v.keyLimit, now)
	if trusted == v.refusesKeys.Load() && v.refusesKeys.CompareAndSwap(trusted, !trusted) {
		age, known := v.checked.Age(now)
		e.logger.Warn("requests with keys: whether they are accepted has changed", "accepted", trusted,
			"checked", known, "checked_ago_ms", age.Milliseconds(), "limit_ms", v.keyLimit.Milliseconds())
	}
	return trusted
}

// encodedAge returns the age of the newest check for a message.
func (v *view) encodedAge() uint64 {
	if v.keyLimit == 0 {
		return 0
	}
	return uint64(v.checked.Encode(v.sinceBoot()))
}

// configAge returns the time since the newest check of the configuration; negative: there was
// none.
func (v *view) configAge() time.Duration {
	age, known := v.checked.Age(v.sinceBoot())
	if !known {
		return -1
	}
	return age
}

// dateByPeers asks other edges when they checked the configuration, if the newest check that
// this edge knows of is older than half of the limit: a peer may reach a store that this edge
// does not reach.
func (v *view) dateByPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(dateInterval/2 + rand.N(dateInterval)):
		}
		if t := v.table.Load(); t == nil || !t.HasWorkspaces() || v.checked.Within(v.keyLimit/2, v.sinceBoot()) {
			continue
		}
		for _, address := range v.peers() {
			if v.dateByPeer(ctx, address) {
				break
			}
		}
	}
}

// dateByPeer asks one edge. It reports whether the newest check is now younger than half of the
// limit.
func (v *view) dateByPeer(ctx context.Context, address string) bool {
	var q freshness.Question
	id := q.Ask(v.sinceBoot())
	known := v.table.Load().Version()
	reply, err := peerstate.FetchCurrent(ctx, v.e.transport, address, known)
	if err != nil {
		v.e.logger.Debug("age of the configuration not received", "peer", address, "err", err)
		return false
	}
	began, ok := q.Answer(id, freshness.EncodedAge(reply.GetCheckedAgo()))
	if !ok {
		return false
	}
	if len(reply.GetConfiguration()) > 0 {
		v.applyConfig(reply.GetConfiguration(), "peer "+address)
	}
	v.checked.Record(began)
	return v.checked.Within(v.keyLimit/2, v.sinceBoot())
}

// feedPings holds the pings of a follower. If the follower sends none, the channels are nil.
type feedPings struct {
	latest  atomic.Uint64
	arrived chan struct{}
	ended   chan struct{} // closed once no ping can be received any more
}

// receivePings receives the pings of a follower that sent the first one with its request.
func receivePings(st *transport.Stream, first uint64) *feedPings {
	p := &feedPings{}
	if first == 0 {
		return p // the follower is of an older release, or needs no age
	}
	p.latest.Store(first)
	p.arrived, p.ended = make(chan struct{}, 1), make(chan struct{})
	go func() {
		defer close(p.ended)
		for {
			m, err := st.Recv()
			if err != nil {
				return
			}
			p.latest.Store(m.GetFeedRequest().GetPing())
			notify(p.arrived)
		}
	}()
	return p
}

// newest returns the number of the newest ping; 0: none.
func (p *feedPings) newest() uint64 { return p.latest.Load() }

// WorkspaceStatus says whether an edge accepts requests with keys.
type WorkspaceStatus struct {
	Known       int  `json:"known"` // in the configuration in force
	AcceptsKeys bool `json:"accepts_keys"`
	// CheckedAgo is the time since the configuration in force was last known to be current;
	// negative: it never was. It is set only where requests with keys are refused from
	// an age, the limit, on.
	CheckedAgo time.Duration `json:"checked_ago_ns"`
	Limit      time.Duration `json:"limit_ns"`
}

// workspaceStatus returns whether the edge accepts requests with keys.
func (e *Edge) workspaceStatus() WorkspaceStatus {
	s := WorkspaceStatus{AcceptsKeys: e.trustsKeys(), Limit: e.view.keyLimit}
	if s.Limit > 0 {
		s.CheckedAgo = e.view.configAge()
	}
	if t := e.view.table.Load(); t != nil {
		s.Known = len(t.Workspaces())
	}
	return s
}
