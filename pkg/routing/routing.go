// Package routing holds the shared configuration of a deployment: which route a
// request takes, and what the route promises and allows. It has no clock and
// no I/O.
package routing

import (
	"sort"
	"strings"
	"time"
)

// Kind tells what may be repeated.
type Kind int

// The kinds of routes. Unsafe is the zero value, so that an unknown kind is
// never repeated.
const (
	Unsafe Kind = iota // runs at most once per request id
	Safe               // may run more than once
	Stream             // answers with server-sent events
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

// Route says how the requests of one host and path prefix are served.
type Route struct {
	Name             string
	Host             string
	PathPrefix       string // begins and ends with a slash
	Kind             Kind
	Timeout          time.Duration // longest time a request is kept waiting; 0: none
	LatencyObjective time.Duration // latency objective of the whole answer, or of the first event
	MaxEventGap      time.Duration // longest pause between events that is still on time
	Priority         int           // 0 is the most urgent
	Targets          []Target
	MaxAttempts      int  // upstreams that may run one request; at least 1
	Resumable        bool // a stream may go on at another upstream
	// KeepsHistory is set if a turn carries only its new input and the system
	// puts the earlier turns in front of it.
	KeepsHistory bool
	Retention    time.Duration // how long turns can be continued
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Service is what the configuration says of the upstreams of one service.
type Service struct {
	Name           string
	MaxConnections int // of all callers to one upstream; 0: unknown
	TokensPerEvent int // tokens counted for each event of a stream; 0: not a model service
}

// Limits bound what callers may send.
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
}

// Table finds routes in one configuration. It is immutable.
type Table struct {
	cfg    Config
	byHost map[string][]*Route // longest prefix first
}

// NewTable indexes a configuration.
func NewTable(cfg Config) *Table {
	t := &Table{cfg: cfg, byHost: make(map[string][]*Route)}
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

// Limits returns the bounds on what callers send.
func (t *Table) Limits() Limits { return t.cfg.Limits }

// Service returns what is known of a service; the zero value if nothing is.
func (t *Table) Service(name string) Service { return t.cfg.Services[name] }

// Match returns the route with the longest prefix of the path, or nil.
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

// Pick returns the service for a request; draw is uniform in [0, 1). It
// returns an empty string if the route names no service.
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
