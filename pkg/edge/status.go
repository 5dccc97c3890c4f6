package edge

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/pkg/membudget"
	"github.com/yuccaspindle/yuccaspindle/pkg/poison"
)

// StatusPath is where an entry tells what it believes, at the address of its
// metrics.
const StatusPath = "/status"

// ReleasePath is where an operator clears a request of crashes, at the same address.
// Its parameter "fingerprint" is hexadecimal, as logs show it.
const ReleasePath = "/release"

// Status is what an entry believes of the deployment.
type Status struct {
	Node          string           `json:"node"`
	FailureDomain string           `json:"failure_domain"`
	Draining      bool             `json:"draining"`
	Configuration uint64           `json:"configuration"` // version in force; 0: none
	Live          bool             `json:"live"`          // changes of the store are heard of
	WatchesStore  bool             `json:"watches_store"` // else another entry is followed
	CheckedAgo    time.Duration    `json:"checked_ago_ns"`
	Follows       string           `json:"follows,omitempty"` // address of the entry that is followed
	Hops          int              `json:"hops"`              // entries between this one and the store
	Followers     []string         `json:"feeds"`             // addresses of the processes that follow this one
	Edges         int              `json:"entries"`
	Storage       []string         `json:"storage"` // members of the ledger
	Upstreams     []fleet.Health   `json:"upstreams"`
	Suspects      []poison.Suspect `json:"suspects"` // requests on board of a crash
	Transit       membudget.Usage  `json:"transit"`  // memory of bodies on their way
}

// Status returns what this entry believes now.
func (e *Edge) Status() Status {
	now := time.Now()
	s := Status{
		Node: e.settings.Node, FailureDomain: e.settings.FailureDomain, Draining: e.draining.Load(),
		Live: e.view.live(), Edges: e.view.entries(), Transit: e.transit.Usage(),
	}
	if t := e.view.table.Load(); t != nil {
		s.Configuration = t.Version()
	}
	for _, m := range e.view.Storage() {
		s.Storage = append(s.Storage, m.Name)
	}
	e.view.feedStatus(&s, now)
	e.withFleet(func(f *fleet.Fleet) { s.Upstreams = f.Health(now) })
	e.suspects.mu.Lock()
	s.Suspects = e.suspects.tracker.Suspects(now)
	e.suspects.mu.Unlock()
	return s
}

// feedStatus adds how this entry hears of changes, and who hears of them from it.
func (v *view) feedStatus(s *Status, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f := &v.feed
	if f.sources > 0 && f.ready {
		s.WatchesStore, s.CheckedAgo = true, now.Sub(f.checked())
	} else if f.sender != "" {
		s.Follows, s.Hops, s.CheckedAgo = f.sender, f.hops, f.senderAge+now.Sub(f.heardAt)
	}
	for _, r := range f.receivers {
		s.Followers = append(s.Followers, r.address)
	}
	slices.Sort(s.Followers)
}

func (e *Edge) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(e.Status()); err != nil {
		e.logger.Debug("status not received", "err", err)
	}
}

func (e *Edge) serveRelease(w http.ResponseWriter, r *http.Request) {
	fingerprint, err := strconv.ParseUint(r.FormValue("fingerprint"), 16, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.Release(fingerprint) {
		http.Error(w, "nothing speaks against the request", http.StatusNotFound)
		return
	}
	e.logger.Info("request released by an operator", "fingerprint", hex(fingerprint), "operator", r.RemoteAddr)
	w.WriteHeader(http.StatusNoContent)
}
