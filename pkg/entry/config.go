// Package entry implements the daemon that receives the requests of callers. It
// runs the decision core for the programs that it owns, forwards calls of other
// programs to the entries that own them, and executes the effects of the core:
// dispatches to sidecars, journal writes and messages to peers.
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

// Intervals of the periodic work of the daemon.
const (
	heartbeatInterval    = 500 * time.Millisecond
	coreTickInterval     = 50 * time.Millisecond
	instanceListInterval = time.Second
	slotMapPollInterval  = 2 * time.Second // between reads until a slot map is known; also the timeout of one access
	forwardRetryInterval = 200 * time.Millisecond
	redialInterval       = 500 * time.Millisecond
)

// Config configures an entry process.
type Config struct {
	Instance      string
	Incarnation   core.Incarnation // "<instance>.<start number>"
	Region        string
	FailureDomain string
	HTTPListen    string // host:port; with port 0 the kernel chooses the port
	PeerListen    string
	PeerAdvertise string          // address under which peers reach this process, if not PeerListen
	Seeds         []string        // addresses of entries to dial while the instance list cannot be read
	TLS           *tls.Config     // nil: only loopback addresses are allowed
	Link          *transport.Link // limits the bandwidth to other regions; nil: no limit
	EntryNames    []string        // certificate names of all entries; required with TLS
	DataFolder    string          // empty: the process keeps no data on disk
	RecordTrace   int             // number of programs to record as a trace in the data folder; 0: no trace
	Seed          uint64          // seed of the core; 0: a random seed, required in production

	Callers           []frontend.Caller
	Operators         []string // callers that may use the admin API
	TrustCallerHeader bool
	DefaultMaxTokens  int64

	// Dialer opens the connections to peers; nil: net.Dialer.
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
