// Package edge is the process that callers reach on the users' platform. It
// chooses an upstream for each request, puts a program's earlier turns in front
// of a new one, keeps programs within their budgets and passes answers on.
//
// The decisions are in packages without I/O: routing (what a request may do),
// fleet (where it goes), attempt (what follows a failure) and ledger.State.
package edge

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/sync/errgroup"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
	"github.com/yuccaspindle/yuccaspindle/pkg/membudget"
	"github.com/yuccaspindle/yuccaspindle/pkg/suspend"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
	"github.com/yuccaspindle/yuccaspindle/pkg/upstream"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	// affinityPrograms bounds the lines of turns whose last upstream is known.
	affinityPrograms = 4096
	// cachedTurns bounds the turns kept in memory to put in front of later ones.
	cachedTurns = 2048
	// transitShare is the share of the process's memory that bodies of requests
	// and answers on their way may take; the rest is for connections, what the
	// process knows, and the collector.
	transitShare = 0.2
	// defaultTransit applies without a limit of the process's memory, in bytes.
	defaultTransit = 256 << 20
	bytesPerMB     = 1 << 20
	// leavingShare is the part of the time for which an upstream that leaves may
	// still be reached that requests are sent to it, if a service has no other. The
	// rest is for requests on their way.
	leavingShare = 2
)

// transitLimit returns the bytes for data in transit in a process of a size.
func transitLimit(memoryMB int) int64 {
	if memoryMB <= 0 {
		return defaultTransit
	}
	return int64(transitShare * float64(memoryMB) * bytesPerMB)
}

// Edge is one entry process.
type Edge struct {
	settings  *platform.Settings
	logger    *slog.Logger
	store     atomic.Pointer[platform.Store]
	view      *view
	pool      *upstream.Pool
	transport *transport.Transport
	ledger    *ledger.Client
	settler   *settler
	suspects  *suspects
	metrics   *metrics
	transit   *membudget.Budget

	mu    sync.Mutex // guards fleet
	fleet *fleet.Fleet

	affinity *lru.Cache[string, string]             // line of turns to upstream
	turns    *lru.Cache[string, *peerv1.TurnRecord] // by id
	// spent has the tokens that ended turns of a program are known to have used.
	// They only grow, so a turn that does not fit beside them never will.
	spent *lru.Cache[string, int]

	draining atomic.Bool
	// stopping is when the platform asked the process to end; zero before.
	stopping atomic.Pointer[time.Time]

	// slept returns how long the machine was suspended; sleptSeen is what was
	// acted on, in ns.
	slept     func(now time.Time) time.Duration
	sleptSeen atomic.Int64
}

// New returns an entry with the settings. Run starts it.
func New(settings *platform.Settings, logger *slog.Logger) (*Edge, error) {
	e := &Edge{
		settings: settings, logger: logger,
		pool:    upstream.NewPool(),
		fleet:   fleet.New(settings.FailureDomain, settings.RegionOf),
		metrics: newMetrics(),
		transit: membudget.New(transitLimit(settings.MemoryMB)),
		slept:   suspend.New().Total,
	}
	e.metrics.transit(e.transit)
	e.fleet.UseLeaving(settings.DrainTime / leavingShare)
	e.store.Store(platform.NewStore(settings.StoreAddress))
	e.view = newView(e)
	var err error
	if e.affinity, err = lru.New[string, string](affinityPrograms); err != nil {
		return nil, err
	}
	if e.turns, err = lru.New[string, *peerv1.TurnRecord](cachedTurns); err != nil {
		return nil, err
	}
	if e.spent, err = lru.New[string, int](affinityPrograms); err != nil {
		return nil, err
	}
	e.transport, err = transport.New(transport.Config{
		Listen: settings.PeerAddress(), Isolated: true, Logger: logger, Hello: e.hello,
	}, e.servePeer)
	if err != nil {
		return nil, err
	}
	e.ledger = ledger.NewClient(e.transport, e.view, settings.DisksToLose, logger)
	e.settler = newSettler(e.ledger, logger)
	e.suspects = newSuspects(e)
	if !settings.FirstStart {
		e.suspects.exchange.open()
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

// Run serves until stop ends, then drains: it takes no new connections once the
// platform has noticed and ends when all requests have their answers.
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
	background(func(ctx context.Context) { e.settler.run(ctx, e.stopBy) })
	background(e.suspects.run)
	g.Go(func() error {
		defer cancel()
		return e.serveCallers(ctx, stop)
	})
	err := g.Wait()
	closing, done := context.WithTimeout(context.Background(), transportCloseTimeout)
	defer done()
	if cerr := e.transport.Close(closing); cerr != nil {
		e.logger.Warn("peer requests were cut at the stop", "err", cerr)
	}
	return err
}

// transportCloseTimeout bounds the wait for peers' requests at the stop.
const transportCloseTimeout = 300 * time.Millisecond

// stopBy returns when this process has to have done everything but the closing of
// its connections: the platform kills it at the end of its grace.
func (e *Edge) stopBy() time.Time {
	began := e.stopping.Load()
	if began == nil {
		return time.Now().Add(settleTimeout) // it ends for another reason
	}
	return began.Add(e.settings.StopGrace - stopMargin)
}

// withFleet runs f while it holds the fleet.
func (e *Edge) withFleet(f func(*fleet.Fleet)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e.fleet)
}
