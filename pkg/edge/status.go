package edge

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/pkg/identity"
	"github.com/yuccaspindle/yuccaspindle/pkg/membudget"
	"github.com/yuccaspindle/yuccaspindle/pkg/poison"
)

// StatusPath is where an edge serves its status, at the address of its metrics.
const StatusPath = "/status"

// ReleasePath is where an operator clears a request of all suspected crashes, at the
// same address. The parameter "fingerprint" is hexadecimal, as in the logs.
const ReleasePath = "/release"

// Status is an edge's state and its view of the deployment.
type Status struct {
	Node          string           `json:"node"`
	FailureDomain string           `json:"failure_domain"`
	Draining      bool             `json:"draining"`
	Configuration uint64           `json:"configuration"` // version in force; 0: none
	Live          bool             `json:"live"`          // changes of the store are received, directly or through a feed
	WatchesStore  bool             `json:"watches_store"` // false: another edge is followed
	CheckedAgo    time.Duration    `json:"checked_ago_ns"`
	Follows       string           `json:"follows,omitempty"` // address of the edge that is followed
	Hops          int              `json:"hops"`              // edges between this one and the store
	Followers     []string         `json:"feeds"`             // addresses of the processes that follow this one
	Edges         int              `json:"entries"`           // edge processes, including this one
	Storage       []string         `json:"storage"`           // members of the ledger
	Upstreams     []fleet.Health   `json:"upstreams"`
	Suspects      []poison.Suspect `json:"suspects"` // requests that were in flight during a crash
	Transit       membudget.Usage  `json:"transit"`  // memory of bodies in transit
	Workspaces    WorkspaceStatus  `json:"workspaces"`
	Limits        LimitStatus      `json:"limits"`
	Quotas        QuotaStatus      `json:"quotas"`
}

// LimitStatus is an edge's part of the rate limits of upstreams.
type LimitStatus struct {
	Known       int                `json:"known"`                 // limits in force
	Coordinator string             `json:"coordinator,omitempty"` // address of the edge that divides them; empty: equal shares
	Shares      map[string]float64 `json:"shares"`                // of each limit, by region of the upstreams
}

// Status returns the current status.
func (e *Edge) Status() Status {
	now := time.Now()
	s := Status{
		Node: e.settings.Node, FailureDomain: e.settings.FailureDomain, Draining: e.draining.Load(),
		Live: e.view.live(), Edges: e.view.edgeCount(), Transit: e.transit.Usage(),
	}
	if t := e.view.table.Load(); t != nil {
		s.Configuration = t.Version()
	}
	for _, m := range e.view.Storage() {
		s.Storage = append(s.Storage, m.Name)
	}
	e.view.feedStatus(&s, now)
	s.Workspaces = e.workspaceStatus()
	s.Limits = LimitStatus{Coordinator: e.limits.currentCoordinator(), Shares: make(map[string]float64)}
	e.withFleet(func(f *fleet.Fleet) {
		s.Upstreams = f.Health(now)
		s.Limits.Known = f.LimitedCount()
		for _, region := range e.settings.Regions() {
			s.Limits.Shares[region] = f.Limits().Shares().Width(region)
		}
	})
	s.Quotas = e.quotas.status()
	e.suspects.mu.Lock()
	s.Suspects = e.suspects.tracker.Suspects(now)
	e.suspects.mu.Unlock()
	return s
}

// feedStatus adds where this edge receives changes from and who follows it.
func (v *view) feedStatus(s *Status, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f := &v.feed
	if f.storeWatches > 0 && f.allListed {
		s.WatchesStore, s.CheckedAgo = true, now.Sub(f.lastChecked())
	} else if f.sender != "" {
		s.Follows, s.Hops, s.CheckedAgo = f.sender, f.hops, f.senderAge+now.Sub(f.lastMessageAt)
	}
	for _, r := range f.followers {
		s.Followers = append(s.Followers, r.address)
	}
	slices.Sort(s.Followers)
}

func (e *Edge) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(e.Status()); err != nil {
		e.logger.Debug("status not sent", "err", err)
	}
}

func (e *Edge) serveRelease(w http.ResponseWriter, r *http.Request) {
	content, err := identity.ParseContent(r.FormValue("fingerprint"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.Release(content) {
		http.Error(w, "nothing speaks against the request", http.StatusNotFound)
		return
	}
	e.logger.Info("request released by an operator", "fingerprint", content, "operator", r.RemoteAddr)
	w.WriteHeader(http.StatusNoContent)
}
