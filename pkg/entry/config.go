// Package entry is the daemon that callers reach: it runs the decision core for
// the programs it owns, forwards calls of other programs to their owners, and
// carries out the core's effects against sidecars, the journal and peers.
package entry

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/frontend"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

// Timings of the daemon.
const (
	heartbeatInterval = 500 * time.Millisecond
	tickInterval      = 50 * time.Millisecond
	listInterval      = time.Second
	slotMapInterval   = 2 * time.Second // re-read as a backstop to the watch
	forwardRetry      = 200 * time.Millisecond
	redialInterval    = 500 * time.Millisecond
)

// Config holds the settings of one entry process.
type Config struct {
	Instance      string
	Incarnation   core.Incarnation // "<instance>.<start number>"
	Region        string
	FailureDomain string
	HTTPListen    string // host:port, port 0 lets the kernel choose
	PeerListen    string
	PeerAdvertise string          // address under which peers reach this process, if it differs
	Seeds         []string        // peers to dial while the instance list cannot be read
	TLS           *tls.Config     // nil allows loopback only
	Link          *transport.Link // share of the link to other regions; nil: not limited
	EntryNames    []string        // certificate names of the entries, required with TLS
	DataFolder    string          // empty if the instance keeps nothing
	RecordTrace   int             // programs to record as a trace in the data folder; 0: none
	Seed          uint64          // of the core; 0 takes a random one, which products must

	Callers           []frontend.Caller
	Operators         []string // callers that may give operators' orders
	TrustCallerHeader bool
	DefaultMaxTokens  int64

	// Dialer makes the connections to peers; nil: net.Dialer.
	Dialer func(ctx context.Context, address string) (net.Conn, error)

	Store  objectapi.Client
	Logger *slog.Logger
}

func (c *Config) setDefaults() {
	if c.HTTPListen == "" {
		c.HTTPListen = "127.0.0.1:0"
	}
	if c.PeerListen == "" {
		c.PeerListen = "127.0.0.1:0"
	}
	if c.DefaultMaxTokens == 0 {
		c.DefaultMaxTokens = 512
	}
	if c.Seed == 0 {
		c.Seed = randomSeed()
	}
	if c.Logger == nil {
		c.Logger = slog.Default()
	}
	c.Logger = c.Logger.With("instance", c.Instance, "role", "entry")
}
