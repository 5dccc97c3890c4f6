package entry

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/natefinch/lumberjack.v2"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/core/ownership"
	"github.com/yuccaspindle/yuccaspindle/pkg/core/policy"
	"github.com/yuccaspindle/yuccaspindle/pkg/eventlog"
	"github.com/yuccaspindle/yuccaspindle/pkg/frontend"
	"github.com/yuccaspindle/yuccaspindle/pkg/journal"
	"github.com/yuccaspindle/yuccaspindle/pkg/report"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

// Entry is an entry process: it receives the requests of callers and owns programs.
type Entry struct {
	cfg Config
	log *slog.Logger

	loop         *loop
	journal      *journal.Writer
	keeper       *journal.Keeper
	transport    *transport.Transport
	http         *frontend.Server
	httpServer   *http.Server
	httpListener net.Listener
	callers      callerConns
	peers        *peerSet
	owner        *ownershipRuntime
	config       *configSync
	calls        *callTable
	attempts     *attemptTable
	metrics      *entryMetrics
	events       *eventlog.Writer // nil without a data folder
	outcomes     *report.Writer   // nil without a data folder
	histories    *frontend.Histories
	trace        *traceRecorder // nil unless Config.RecordTrace is set

	quarantines *quarantineList

	outcomesFile *lumberjack.Logger

	ctx          context.Context
	stop         context.CancelFunc
	draining     atomic.Bool
	journalStats journalCounters

	drainStarted atomic.Int64 // Unix nanoseconds, 0 while not draining

	fenced     chan struct{} // closed when another entry has sealed the journal
	fenceOnce  sync.Once
	inFlight   sync.WaitGroup // running attempts and requests forwarded by other entries
	background sync.WaitGroup // goroutines that end when ctx is cancelled
}

// New returns an entry for the configuration. It starts no goroutine and does not
// listen before Start.
func New(cfg Config) (*Entry, error) {
	cfg.setDefaults()
	n := &Entry{
		cfg:       cfg,
		log:       cfg.Logger,
		calls:     newCallTable(),
		attempts:  newAttemptTable(),
		fenced:    make(chan struct{}),
		histories: frontend.NewHistories(),

		quarantines: newQuarantineList(),
	}
	n.ctx, n.stop = context.WithCancel(context.Background())
	c := core.New(core.Options{
		Self: cfg.Incarnation, Region: cfg.Region, Seed: cfg.Seed, Policy: policy.NewReconfigurable(cfg.Seed),
	})
	n.loop = newLoop(c)
	n.loop.exec = n
	n.config = newConfigSync(n)
	n.peers = newPeerSet(n)
	self := ownership.Peer{Instance: cfg.Instance, Incarnation: cfg.Incarnation, Region: cfg.Region, FailureDomain: cfg.FailureDomain}
	n.owner = newOwnershipRuntime(n, self, cfg.Store)
	n.metrics = newEntryMetrics(n)
	n.journal = journal.NewWriter(cfg.Store, cfg.Incarnation, journal.WriterOptions{
		Committed: n.onCommitted,
		Retained:  n.onRetained,
		// If neither the store nor a retention member can be reached, answers
		// are still delivered and marked as pending. Withholding them would
		// not help the caller.
		Undurable: n.onRetained,
		Sealed:    n.onSealed,
		Retainer:  n.retainerLookup(),
		Logger:    n.log,
	})
	var err error
	n.keeper, err = journal.NewKeeper(cfg.Store, journal.KeeperOptions{Folder: cfg.DataFolder, Logger: n.log})
	if err != nil {
		return nil, errors.Wrap(err, "set up retention")
	}
	n.transport, err = transport.New(transport.Config{
		Listen: cfg.PeerListen, TLS: cfg.TLS, Hello: n.hello, Logger: n.log, Dialer: cfg.Dialer, Link: cfg.Link,
	}, n.serveStream)
	if err != nil {
		return nil, errors.Wrap(err, "set up peer transport")
	}
	n.http = frontend.New(frontend.Options{
		Backend: n, Admin: n, Callers: cfg.Callers, Operators: cfg.Operators, TrustCallerHeader: cfg.TrustCallerHeader,
		DefaultMaxTokens: cfg.DefaultMaxTokens, Logger: n.log, Metrics: n.metrics.serveHTTP,
	})
	return n, nil
}

func (n *Entry) hello() *peerv1.Hello {
	return &peerv1.Hello{
		Instance:      n.cfg.Instance,
		Incarnation:   string(n.cfg.Incarnation),
		Role:          roleEntry,
		Region:        n.cfg.Region,
		FailureDomain: n.cfg.FailureDomain,
		Address:       n.PeerAddr(),
		ConfigVersion: n.config.version(),
	}
}

func (n *Entry) onCommitted(s core.Seq) {
	n.journalStats.appends.Add(1)
	n.loop.post(core.JournalCommitted{At: now(), Seq: s})
}

func (n *Entry) onRetained(s core.Seq) {
	n.loop.post(core.JournalRetained{At: now(), Seq: s})
}

// onSealed gives up all slots after another entry has sealed the journal. The
// process sends no more heartbeats, so that other entries take over its remaining
// slots. It can own slots again only after a restart as a new incarnation.
func (n *Entry) onSealed(by core.Incarnation) {
	n.log.Warn("journal sealed by a successor, stepping down", "peer", by)
	n.owner.stepDown()
	n.loop.post(core.JournalSealed{At: now(), By: by})
	n.fenceOnce.Do(func() { close(n.fenced) })
}

// Fenced returns a channel that is closed when another entry has sealed the
// journal. The process must then be restarted.
func (n *Entry) Fenced() <-chan struct{} { return n.fenced }

func (n *Entry) isFenced() bool {
	select {
	case <-n.fenced:
		return true
	default:
		return false
	}
}

// Start listens for peers and callers and starts all goroutines.
func (n *Entry) Start(context.Context) error {
	if err := n.openLogs(); err != nil {
		return err
	}
	if n.events != nil {
		n.loop.recordStep = n.recordEvent
		n.spawn(n.flushOutcomes)
	}
	if err := n.transport.Start(); err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	ln, err := net.Listen("tcp", n.cfg.HTTPListen)
	if err != nil {
		return errors.Wrapf(err, "listen for callers on %s", n.cfg.HTTPListen)
	}
	n.httpListener = ln
	n.httpServer = &http.Server{Handler: n.http, ReadHeaderTimeout: 10 * time.Second, ConnState: n.callers.track}
	n.spawn(n.loop.run)
	n.spawn(func(ctx context.Context) {
		if err := n.journal.Run(ctx); err != nil && ctx.Err() == nil {
			n.log.Error("journal writer failed", "error", err)
		}
	})
	n.spawn(n.config.run)
	n.spawn(n.owner.run)
	n.spawn(n.owner.removeLogs)
	n.spawn(n.pollInstanceList)
	n.spawn(n.updateRetentionSet)
	n.spawn(n.runCheckpoints)
	n.spawn(func(context.Context) {
		if err := n.httpServer.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			n.log.Error("HTTP server for callers failed", "error", err)
		}
	})
	n.log.Info("entry started", "incarnation", n.cfg.Incarnation, "http", n.HTTPAddr(), "peers", n.PeerAddr())
	return nil
}

// spawn runs f in a goroutine that Stop waits for.
func (n *Entry) spawn(f func(context.Context)) {
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		f(n.ctx)
	}()
}

// HTTPAddr returns the listening address of the HTTP server for callers.
func (n *Entry) HTTPAddr() string { return n.httpListener.Addr().String() }

// PeerAddr returns the address under which peers reach this process.
func (n *Entry) PeerAddr() string {
	if n.cfg.PeerAdvertise != "" {
		return n.cfg.PeerAdvertise
	}
	return n.transport.Addr()
}

// pollInstanceList reads the instance list of the platform at intervals. While it
// cannot be read, the configured seeds are dialed.
func (n *Entry) pollInstanceList(ctx context.Context) {
	t := time.NewTicker(instanceListInterval)
	defer t.Stop()
	for {
		readCtx, cancel := context.WithTimeout(ctx, instanceListInterval)
		list, err := n.cfg.Store.Instances(readCtx)
		cancel()
		if err != nil {
			n.log.Debug("instance list not read", "error", err)
			n.peers.dialSeeds(n.cfg.Seeds)
		} else {
			n.peers.update(list)
			n.owner.onInstanceList(list)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Stop drains the entry: it hands over the slots, waits for running requests and
// flushes the journal. The context limits the wait.
func (n *Entry) Stop(ctx context.Context) error {
	n.log.Info("entry draining", "calls", n.calls.len(), "slots", n.owner.ownedCount())
	n.startDrain()
	n.waitForHandovers(ctx)
	err := n.drainCallers(ctx)
	n.waitInFlight(ctx)
	if flushErr := n.journal.Flush(ctx); flushErr != nil && err == nil && !n.isFenced() {
		err = errors.Wrap(flushErr, "flush journal")
	}
	n.stop()
	if closeErr := n.transport.Close(ctx); closeErr != nil && err == nil {
		err = closeErr
	}
	n.background.Wait()
	if closeErr := n.closeLogs(); closeErr != nil && err == nil {
		err = closeErr
	}
	n.log.Info("entry stopped", "error", err)
	return err
}

// startDrain starts the handover of all slots. Further calls have no effect.
func (n *Entry) startDrain() {
	if n.draining.Swap(true) {
		return
	}
	n.drainStarted.Store(time.Now().UnixNano())
	n.owner.drain()
	n.loop.post(core.DrainStarted{At: now()})
}

// Kill simulates a crash for tests: it closes all connections without draining,
// before any request is informed that the entry stops.
func (n *Entry) Kill() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.transport.Close(ctx)
	_ = n.httpServer.Close()
	n.stop()
	n.background.Wait()
	_ = n.closeLogs()
}

// waitForHandovers waits until this entry serves no slot or no other entry can
// receive one.
func (n *Entry) waitForHandovers(ctx context.Context) {
	t := time.NewTicker(ownershipTickInterval)
	defer t.Stop()
	for n.owner.ownedCount() > 0 && n.owner.hasHandoverTarget() && !n.isFenced() {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// waitInFlight waits for running attempts and forwarded requests.
func (n *Entry) waitInFlight(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		n.inFlight.Wait()
		close(done)
	}()
	select {
	case <-ctx.Done():
	case <-done:
	}
}
