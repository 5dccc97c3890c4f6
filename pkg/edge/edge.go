// Package edge implements the edge process, which accepts callers' requests. It
// chooses an upstream for each request, prepends the earlier turns of a program to a
// new one, enforces the programs' token budgets and relays the responses.
//
// The decisions are made in packages without I/O: routing (what a request may do),
// fleet (which upstream gets it), attempt (what follows a failure) and ledger.State.
package edge

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/sync/errgroup"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/fdlimit"
	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
	"github.com/yuccaspindle/yuccaspindle/pkg/membudget"
	"github.com/yuccaspindle/yuccaspindle/pkg/origin"
	"github.com/yuccaspindle/yuccaspindle/pkg/suspend"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
	"github.com/yuccaspindle/yuccaspindle/pkg/upstream"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	// affinityCacheSize limits the conversations whose last upstream is remembered.
	affinityCacheSize = 4096
	// transitShare is the share of the process's memory for heads of requests and for request
	// and response bodies in transit. The rest is for connections, cached state and the garbage
	// collector.
	transitShare = 0.2
	// defaultTransitLimit is the limit in bytes if the process has no memory limit.
	defaultTransitLimit = 256 << 20
	bytesPerMB          = 1 << 20
	// leavingTimeDivisor divides the drain time of an upstream that shuts down.
	// During the first part it still gets new requests if its service has no other
	// upstream; the rest is for requests in flight.
	leavingTimeDivisor = 2
)

// transitLimit returns the limit in bytes for bodies in transit, given the process's
// memory limit.
func transitLimit(memoryMB int) int64 {
	if memoryMB <= 0 {
		return defaultTransitLimit
	}
	return int64(transitShare * float64(memoryMB) * bytesPerMB)
}

// Edge is one edge process.
type Edge struct {
	settings  *platform.Settings
	logger    *slog.Logger
	store     atomic.Pointer[platform.Store]
	view      *view
	pool      *upstream.Pool
	transport *transport.Transport
	ledger    *ledger.Client
	settler   *settler
	confirmer *confirmer
	suspects  *suspects
	limits    *limitExchanger
	quotas    *quotas
	metrics   *metrics
	transit   *membudget.Budget
	histories *membudget.Budget // memory for the earlier turns of turns under way
	inFlight  *inFlight
	times     *routeTimes
	load      *load
	admission *admission
	startup   *startup
	// keyDigests makes the digests by which log lines name keys.
	keyDigests keyDigests
	lines      *lines

	mu    sync.Mutex // guards fleet
	fleet *fleet.Fleet

	affinity *lru.Cache[string, string] // conversation to upstream
	turns    *turnCache
	// origins holds the origins of streams without a token budget that began here, by
	// the id of the request.
	origins *lru.Cache[string, origin.Origin]
	// spent holds the tokens that finished turns of a program have used, as far as
	// known. The number only grows, so a turn that exceeds the budget now always
	// will.
	spent *lru.Cache[string, int]

	draining atomic.Bool
	// stopping is when the platform asked the process to stop; nil before.
	stopping atomic.Pointer[time.Time]

	// suspendedTime returns for how long the machine has been suspended in total.
	// suspendedSeen is the total already handled, in ns.
	suspendedTime func(now time.Time) time.Duration
	suspendedSeen atomic.Int64
}

// New returns an edge with the settings. Run starts it.
func New(settings *platform.Settings, logger *slog.Logger) (*Edge, error) {
	return newEdge(settings, logger, nil)
}

// newEdge returns an edge whose connections to peers are made by dial; nil: directly.
func newEdge(settings *platform.Settings, logger *slog.Logger, dial func(ctx context.Context, address string) (net.Conn, error)) (*Edge, error) {
	e := &Edge{
		settings: settings, logger: logger,
		pool:          upstream.NewPool(),
		fleet:         fleet.New(settings.FailureDomain, settings.RegionOf, time.Now()),
		metrics:       newMetrics(),
		transit:       membudget.New(transitLimit(settings.MemoryMB)),
		histories:     membudget.New(historyLimit(settings.MemoryMB)),
		inFlight:      newInFlight(),
		load:          newLoad(),
		admission:     newAdmission(),
		startup:       newStartup(time.Now(), logger),
		keyDigests:    newKeyDigests(),
		suspendedTime: suspend.New().Total,
	}
	descriptors := fdlimit.ForEdge(settings.MaxFDs)
	e.pool.SetLimit(descriptors.Upstreams)
	e.metrics.transit(e.transit)
	e.startup.export(e.metrics)
	e.lines = newLines(e)
	e.metrics.lines(e.lines)
	e.metrics.limitedUpstreams(e.limitedCount)
	e.load.export(e.metrics, func() float64 { return float64(e.inFlight.count()) }, func() float64 { return float64(e.admission.limit()) })
	e.fleet.SetLeavingGrace(settings.DrainTime / leavingTimeDivisor)
	e.store.Store(platform.NewStore(settings.StoreAddress))
	e.view = newView(e)
	if e.view.keyLimit > 0 {
		e.metrics.configAge(e.view.configAge)
	}
	var err error
	if e.times, err = newRouteTimes(); err != nil {
		return nil, err
	}
	if e.affinity, err = lru.New[string, string](affinityCacheSize); err != nil {
		return nil, err
	}
	if e.turns, err = newTurnCache(turnCacheLimit(settings.MemoryMB)); err != nil {
		return nil, err
	}
	e.metrics.turnMemory(e.turns, e.histories)
	if e.origins, err = lru.New[string, origin.Origin](affinityCacheSize); err != nil {
		return nil, err
	}
	if e.spent, err = lru.New[string, int](affinityCacheSize); err != nil {
		return nil, err
	}
	e.transport, err = transport.New(transport.Config{
		Listen: settings.PeerAddress(), Isolated: true, Logger: logger, Hello: e.hello, Dialer: dial,
		MaxAccepted: descriptors.Peers,
	}, e.servePeer)
	if err != nil {
		return nil, err
	}
	e.metrics.peersRefused(e.transport.Refused)
	e.ledger = ledger.NewClient(e.transport, e.view, settings.DisksToLose, logger)
	e.settler = newSettler(e.ledger, logger)
	e.confirmer = newConfirmer(e.ledger, e.load)
	e.suspects = newSuspects(e)
	e.limits = newLimitExchanger(e)
	e.quotas = newQuotas(e)
	if !settings.FirstStart {
		e.suspects.exchanger.beginRound()
	}
	return e, nil
}

func (e *Edge) hello() *peerv1.Hello {
	return &peerv1.Hello{
		Instance: e.settings.Node, Role: string(platform.RoleEdge), Region: e.settings.Region,
		FailureDomain: e.settings.FailureDomain, Address: e.settings.PeerAddress(),
	}
}

// SetStoreAddress changes the address of the platform's store.
func (e *Edge) SetStoreAddress(address string) {
	if old := e.store.Load(); old.Address() != address {
		e.store.Store(platform.NewStore(address))
		old.Close()
	}
}

// Run serves until stop is done, then drains: it stops accepting connections once the
// platform has had time to notice, and returns when all requests are answered.
func (e *Edge) Run(stop context.Context) error {
	if err := e.transport.Start(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	background := func(f func(context.Context)) {
		g.Go(func() error { f(ctx); return nil })
	}
	background(e.view.run)
	background(e.pool.Run)
	background(func(ctx context.Context) { e.settler.run(ctx, e.stopDeadline) })
	background(e.suspects.run)
	background(e.logLimitedUse)
	background(e.measureLoad)
	background(e.confirmer.run)
	background(e.limits.run)
	background(e.quotas.run)
	g.Go(func() error {
		defer cancel()
		return e.serveCallers(ctx, stop)
	})
	err := g.Wait()
	closing, done := context.WithTimeout(context.Background(), transportCloseTimeout)
	defer done()
	if cerr := e.transport.Close(closing); cerr != nil {
		e.logger.Warn("shutdown interrupted peer requests", "err", cerr)
	}
	return err
}

// transportCloseTimeout limits the wait for peers' requests at shutdown.
const transportCloseTimeout = 300 * time.Millisecond

// stopDeadline returns when all work except closing connections must be done: the
// platform kills the process at the end of its grace period.
func (e *Edge) stopDeadline() time.Time {
	began := e.stopping.Load()
	if began == nil {
		return time.Now().Add(settleTimeout) // not a requested stop
	}
	return began.Add(e.settings.StopGrace - stopMargin)
}

// withFleet runs f with the fleet locked.
func (e *Edge) withFleet(f func(*fleet.Fleet)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e.fleet)
}
