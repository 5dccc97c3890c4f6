// Package sidecar is the daemon beside each upstream instance: the last
// control point before a model engine or a plain service. It forwards calls at
// most once, meters and bounds them, reports load, cache events and crashes,
// and carries out engine orders. Decisions are taken by pkg/core/sidecar.
package sidecar

import (
	"crypto/tls"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

// Config holds the settings of one sidecar. Zero durations and sizes get the
// defaults named in the comments.
type Config struct {
	Instance      string
	Incarnation   string // "<instance>.<start number>", new at each start
	Region        string
	FailureDomain string
	Listen        string          // host:port for peers; port 0 lets the kernel choose
	Advertise     string          // host:port that peers dial; default: the listening address
	HTTPListen    string          // host:port of /metrics, /healthz and /readyz; empty: none
	TLS           *tls.Config     // nil: loopback only
	Link          *transport.Link // share of the link to other regions; nil: not limited
	// EntryNames are the certificate names of peers that may dispatch and give
	// orders. SidecarNames are those that may fetch KV cache. Without TLS the
	// role in the Hello decides.
	EntryNames   []string
	SidecarNames []string

	Upstream Upstream

	ProbeInterval  time.Duration // health check and load, 500 ms
	ProbeTimeout   time.Duration // of one health check, 800 ms
	StallTimeout   time.Duration // silence of a stream before it is checked on a new connection, 2 s
	PinTerm        time.Duration // longest pin without renewal, 30 s
	ResultTerm     time.Duration // how long outcomes are kept, 10 min
	LateTerm       time.Duration // how long a non-idempotent call is awaited after its deadline, 60 s
	LingerTerm     time.Duration // how long a stopping sidecar waits for undelivered outcomes, 8 s
	DefaultTimeout time.Duration // deadline of a dispatch that brings none, 120 s
	IdleConns      int           // idle upstream connections, 32
	Logger         *slog.Logger
}

// Upstream describes the instance behind the sidecar.
type Upstream struct {
	ID            string
	Kind          core.CallKind
	Service       string // for KindService
	URL           string // http://host:port
	OutcomeByKey  bool   // a service that answers GET /outcomes/{key}
	NoResume      bool   // an engine without /v1/resume
	OrderToken    string // bearer token for engines that check who gives orders
	ChecksOrders  bool
	ChecksFencing bool
	Slots         int // concurrency of a service; engines report theirs
}

func (c Config) withDefaults() (Config, error) {
	switch {
	case c.Instance == "" || c.Incarnation == "":
		return c, errors.New("sidecar: instance and incarnation are required")
	case c.Upstream.ID == "" || c.Upstream.URL == "":
		return c, errors.New("sidecar: upstream id and url are required")
	case c.Upstream.Kind != core.KindModel && c.Upstream.Kind != core.KindService:
		return c, errors.Errorf("sidecar: upstream kind %q is neither %q nor %q", c.Upstream.Kind, core.KindModel, core.KindService)
	case c.TLS != nil && len(c.EntryNames) == 0:
		return c, errors.New("sidecar: with TLS the names of the entries are required")
	}
	def := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	if c.Listen == "" {
		c.Listen = "127.0.0.1:0"
	}
	def(&c.ProbeInterval, 500*time.Millisecond)
	def(&c.ProbeTimeout, 800*time.Millisecond)
	def(&c.StallTimeout, 2*time.Second)
	def(&c.PinTerm, 30*time.Second)
	def(&c.ResultTerm, 10*time.Minute)
	def(&c.LateTerm, time.Minute)
	def(&c.LingerTerm, 8*time.Second)
	def(&c.DefaultTimeout, 2*time.Minute)
	if c.IdleConns <= 0 {
		c.IdleConns = 32
	}
	if c.Logger == nil {
		c.Logger = slog.Default()
	}
	return c, nil
}
