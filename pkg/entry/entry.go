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

// Entry is one entry process.
type Entry struct {
	cfg Config
	log *slog.Logger

	loop      *loop
	journal   *journal.Writer
	keeper    *journal.Keeper
	transport *transport.Transport
	http      *frontend.Server
	server    *http.Server
	listener  net.Listener
	peers     *peerSet
	owner     *ownerRuntime
	config    *configSync
	calls     *callTable
	attempts  *attemptTable
	metrics   *entryMetrics
	events    *eventlog.Writer // nil without a data folder
	outcomes  *report.Writer   // nil without a data folder
	histories *frontend.Histories
	trace     *traceRecorder // nil unless the settings ask for a recording

	quarantines *quarantineList

	outcomesFile *lumberjack.Logger

	ctx       context.Context
	stop      context.CancelFunc
	draining  atomic.Bool
	journaled journalSize

	drainStarted atomic.Int64 // Unix nanoseconds, 0 while not draining

	fenced  chan struct{} // closed when a successor has sealed the journal
	fence   sync.Once
	work    sync.WaitGroup // attempts and forwarded requests under way
	running sync.WaitGroup // goroutines that end with ctx
}

// New builds an entry from its settings. Nothing runs until Start.
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
	n.owner = newOwnerRuntime(n, self, cfg.Store)
	n.metrics = newEntryMetrics(n)
	n.journal = journal.NewWriter(cfg.Store, cfg.Incarnation, journal.WriterOptions{
		Committed: n.onCommitted,
		Retained:  n.onRetained,
		// With neither the store nor a member in reach an answer is still
		// delivered, marked as pending: withholding it helps no caller.
		Undurable: n.onRetained,
		Sealed:    n.onSealed,
		Retainer:  n.retainer(),
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
		DefaultMaxTokens: cfg.DefaultMaxTokens, Logger: n.log, Metrics: n.metrics.write,
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
	n.journaled.appends.Add(1)
	n.loop.post(core.JournalCommitted{At: now(), Seq: s})
}

func (n *Entry) onRetained(s core.Seq) {
	n.loop.post(core.JournalRetained{At: now(), Seq: s})
}

// onSealed steps down after a successor has sealed the journal. The process
// sends no more heartbeats, so that its remaining slots find owners, and can own
// slots again only as a new incarnation.
func (n *Entry) onSealed(by core.Incarnation) {
	n.log.Warn("journal sealed by a successor, stepping down", "peer", by)
	n.owner.stepDown()
	n.loop.post(core.JournalSealed{At: now(), By: by})
	n.fence.Do(func() { close(n.fenced) })
}

// Fenced is closed when a successor has sealed the journal: the process must be
// started again.
func (n *Entry) Fenced() <-chan struct{} { return n.fenced }

func (n *Entry) isFenced() bool {
	select {
	case <-n.fenced:
		return true
	default:
		return false
	}
}

// Start listens and begins to serve.
func (n *Entry) Start(context.Context) error {
	if err := n.openRecords(); err != nil {
		return err
	}
	if n.events != nil {
		n.loop.record = n.recordEvent
		n.spawn(n.flushOutcomes)
	}
	if err := n.transport.Start(); err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	ln, err := net.Listen("tcp", n.cfg.HTTPListen)
	if err != nil {
		return errors.Wrapf(err, "listen for callers on %s", n.cfg.HTTPListen)
	}
	n.listener = ln
	n.server = &http.Server{Handler: n.http, ReadHeaderTimeout: 10 * time.Second}
	n.spawn(n.loop.run)
	n.spawn(func(ctx context.Context) {
		if err := n.journal.Run(ctx); err != nil && ctx.Err() == nil {
			n.log.Error("journal writer ended", "error", err)
		}
	})
	n.spawn(n.config.run)
	n.spawn(n.owner.run)
	n.spawn(n.owner.removeLogs)
	n.spawn(n.followList)
	n.spawn(n.followRetention)
	n.spawn(n.checkpoints)
	n.spawn(func(context.Context) {
		if err := n.server.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			n.log.Error("caller interface ended", "error", err)
		}
	})
	n.log.Info("entry started", "incarnation", n.cfg.Incarnation, "http", n.HTTPAddr(), "peers", n.PeerAddr())
	return nil
}

func (n *Entry) spawn(f func(context.Context)) {
	n.running.Add(1)
	go func() {
		defer n.running.Done()
		f(n.ctx)
	}()
}

// HTTPAddr returns the address of the caller interface.
func (n *Entry) HTTPAddr() string { return n.listener.Addr().String() }

// PeerAddr returns the address for other processes of the scheduler.
func (n *Entry) PeerAddr() string {
	if n.cfg.PeerAdvertise != "" {
		return n.cfg.PeerAdvertise
	}
	return n.transport.Addr()
}

// followList reads the platform's instance list.
func (n *Entry) followList(ctx context.Context) {
	t := time.NewTicker(listInterval)
	defer t.Stop()
	for {
		readCtx, cancel := context.WithTimeout(ctx, listInterval)
		list, err := n.cfg.Store.Instances(readCtx)
		cancel()
		if err != nil {
			n.log.Debug("instance list not read", "error", err)
			n.peers.dialSeeds(n.cfg.Seeds)
		} else {
			n.peers.update(list)
			n.owner.onList(list)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Stop drains the entry: slots are handed over, requests under way finish, and
// the journal is written. The context bounds the wait.
func (n *Entry) Stop(ctx context.Context) error {
	n.log.Info("entry draining", "calls", n.calls.len(), "slots", n.owner.ownedCount())
	n.startDrain()
	n.waitHandedOver(ctx)
	err := n.server.Shutdown(ctx)
	n.waitWork(ctx)
	if flushErr := n.journal.Flush(ctx); flushErr != nil && err == nil && !n.isFenced() {
		err = errors.Wrap(flushErr, "write journal")
	}
	n.stop()
	if closeErr := n.transport.Close(ctx); closeErr != nil && err == nil {
		err = closeErr
	}
	n.running.Wait()
	if closeErr := n.closeRecords(); closeErr != nil && err == nil {
		err = closeErr
	}
	n.log.Info("entry stopped", "error", err)
	return err
}

// startDrain begins the hand-over of every slot, once.
func (n *Entry) startDrain() {
	if n.draining.Swap(true) {
		return
	}
	n.drainStarted.Store(time.Now().UnixNano())
	n.owner.drain()
	n.loop.post(core.DrainStarted{At: now()})
}

// Kill ends the process without draining, as a crash does: connections break
// before any request learns that the process ends. It serves tests.
func (n *Entry) Kill() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.transport.Close(ctx)
	_ = n.server.Close()
	n.stop()
	n.running.Wait()
	_ = n.closeRecords()
}

// waitHandedOver waits until no slot is left or nobody can take one.
func (n *Entry) waitHandedOver(ctx context.Context) {
	t := time.NewTicker(ownerTick)
	defer t.Stop()
	for n.owner.ownedCount() > 0 && n.owner.hasReceiver() && !n.isFenced() {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (n *Entry) waitWork(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		n.work.Wait()
		close(done)
	}()
	select {
	case <-ctx.Done():
	case <-done:
	}
}
