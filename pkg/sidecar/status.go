package sidecar

import (
	"encoding/json"
	"net/http"
)

// Status is what a sidecar tells about itself.
type Status struct {
	Instance            string `json:"instance"`
	Incarnation         string `json:"incarnation"`
	Role                string `json:"role"`
	Region              string `json:"region"`
	FailureDomain       string `json:"failure_domain"`
	Upstream            string `json:"upstream"`
	Kind                string `json:"kind"`
	UpstreamIncarnation uint64 `json:"upstream_incarnation"`
	Reachable           bool   `json:"reachable"`
	Draining            bool   `json:"draining"`
	Running             int    `json:"attempts_running"`
	Undelivered         int    `json:"undelivered"`
	Pins                int    `json:"pins"`
	Held                int    `json:"held_prefixes"`
	Peers               int    `json:"peers"`
	ConfigVersion       uint64 `json:"config_version"`
}

// Status returns the current state.
func (s *Sidecar) Status() Status {
	peers := len(s.tr.Sessions())
	s.mu.Lock()
	defer s.mu.Unlock()
	inc, _ := s.state.Upstream()
	return Status{
		Instance: s.cfg.Instance, Incarnation: s.cfg.Incarnation, Role: roleSidecar,
		Region: s.cfg.Region, FailureDomain: s.cfg.FailureDomain, Upstream: s.cfg.Upstream.ID,
		Kind: string(s.cfg.Upstream.Kind), UpstreamIncarnation: inc, Reachable: s.reachable,
		Draining: s.state.Draining(), Running: s.state.Running(), Undelivered: s.state.Undelivered(),
		Pins: s.state.Pins(), Held: len(s.cache.held), Peers: peers, ConfigVersion: s.configVersion,
	}
}

// Handler serves /metrics, /healthz, /readyz and /v1/status.
func (s *Sidecar) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { s.met.set.WritePrometheus(w) })
	m.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if st := s.Status(); !st.Reachable || st.Draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	m.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Status())
	})
	return m
}
