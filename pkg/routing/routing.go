// Package routing holds the configuration of a deployment: its routes, services and
// limits. It matches requests to routes. It has no clock and no I/O.
package routing

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind says whether the requests of a route may be retried.
type Kind int

// The kinds of routes. Unsafe is the zero value, so that requests of an unknown kind
// are never retried.
const (
	Unsafe Kind = iota // runs at most once per request id
	Safe               // may run more than once
	Stream             // responds with server-sent events
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Stream:
		return "stream"
	}
	return "unsafe"
}

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Route configures how the requests to one host and path prefix are served.
type Route struct {
	Name             string
	Host             string
	PathPrefix       string // begins and ends with a slash
	Kind             Kind
	Timeout          time.Duration // longest time a request may wait for its response; 0: unlimited
	LatencyObjective time.Duration // for the whole response, or for the first event of a stream
	MaxEventGap      time.Duration // longest time between events that meets the objective
	Priority         int           // 0 is the most urgent
	Targets          []Target
	MaxAttempts      int  // upstreams that may run one request; at least 1
	Resumable        bool // an interrupted stream may be resumed at another upstream
	// KeepsHistory is set if a request carries only the new input of its turn and the
	// system prepends the earlier turns.
	KeepsHistory bool
	Retention    time.Duration // how long a turn can be continued
	Public       bool          // requests need no key of a workspace
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Service configures the upstreams of one service.
type Service struct {
	Name           string
	MaxConnections int // to one upstream from all callers; 0: unknown
	TokensPerEvent int // tokens per event of a stream, for accounting; 0: not a model service
	// ReportsState is set if the upstreams describe their state when asked.
	ReportsState bool
	// CacheTokens is the memory of one upstream for running requests and cached prompts, in
	// tokens; 0: unknown.
	CacheTokens int
}

// Limits bounds the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Workspaces is empty in a deployment whose requests carry no keys.
	Workspaces []Workspace
}

// Table is an immutable index of the routes of one configuration.
type Table struct {
	cfg    Config
	byHost map[string][]*Route // longest prefix first
	byKey  map[KeyDigest]*Workspace
	byName map[string]*Workspace
}

// NewTable indexes a configuration.
func NewTable(cfg Config) *Table {
	t := &Table{cfg: cfg, byHost: make(map[string][]*Route)}
	t.indexWorkspaces()
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.cfg.Version }

// Limits returns the bounds on the requests of callers.
func (t *Table) Limits() Limits { return t.cfg.Limits }

// Service returns the configuration of a service, or the zero value if it has none.
func (t *Table) Service(name string) Service { return t.cfg.Services[name] }

// Match returns the route for the host with the longest matching path prefix, or nil.
func (t *Table) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// HasTarget reports whether requests of the route may go to a service.
func (r *Route) HasTarget(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service && t.Weight > 0 })
}

// Pick selects the service for a request by the weights of the targets; draw is
// uniformly random in [0, 1). It returns an empty string if the route has no target
// with a positive weight.
func (r *Route) Pick(draw float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	rest := draw * total
	last := ""
	for _, t := range r.Targets {
		if t.Weight <= 0 {
			continue
		}
		if last = t.Service; rest < t.Weight {
			return last
		}
		rest -= t.Weight
	}
	return last
}
