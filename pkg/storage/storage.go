// Package storage implements the storage process, which runs on instances with a
// disk and is a member of the ledger. It registers itself, copies records from
// the other members after it lost its disk, replaces a member that is gone, and
// transfers its records to the others when its instance is retired.
package storage

import (
	"context"
	"log/slog"
	"path/filepath"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/crashreport"
	"github.com/yuccaspindle/yuccaspindle/pkg/durable"
	"github.com/yuccaspindle/yuccaspindle/pkg/fdlimit"
	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
	"github.com/yuccaspindle/yuccaspindle/pkg/peerstate"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// closeTimeout limits the wait for requests of peers at shutdown.
const closeTimeout = 500 * time.Millisecond

// checkInterval is how often the store is checked for changes that the watches
// missed. A retirement may be noticed some seconds late.
const checkInterval = 4 * time.Second

// Storage is one storage process.
type Storage struct {
	settings      *platform.Settings
	logger        *slog.Logger
	store         atomic.Pointer[platform.Store]
	ledger        *ledger.Store
	transport     *transport.Transport
	members       *members
	retirement    *retirementHandler
	snapshotSaver *snapshotSaver
	evidenceStore *evidenceStore
	// snapshot is the deployment snapshot on disk when this process started.
	snapshot *peerstate.Snapshot
	// opened is closed once the ledger is read. Requests that come before wait for it.
	opened chan struct{}
}

// New returns a storage process that uses the ledger in the data folder of the
// settings.
func New(settings *platform.Settings, logger *slog.Logger) (*Storage, error) {
	return NewOn(durable.OS{}, settings, logger)
}

// NewOn returns a storage process whose ledger is on another file system, at the same
// path. Its other files are on the disk of the machine.
func NewOn(fs durable.FS, settings *platform.Settings, logger *slog.Logger) (*Storage, error) {
	s := &Storage{settings: settings, logger: logger, opened: make(chan struct{})}
	if err := s.listen(); err != nil {
		return nil, err
	}
	var err error
	if s.ledger, err = ledger.OpenStoreOn(fs, settings.DataDir, logger); err != nil {
		s.closeTransport()
		return nil, err
	}
	s.ledger.LimitMemory(int64(turnMemoryShare * float64(settings.MemoryMB) * bytesPerMB))
	removeTemporary(settings, logger)
	s.snapshot = loadSnapshot(settings, logger)
	s.store.Store(platform.NewStore(settings.StoreAddress))
	s.members = newMembers(settings, logger)
	s.retirement = &retirementHandler{s: s, transferred: make(map[uint64]bool)}
	s.snapshotSaver = &snapshotSaver{snapshot: peerstate.NewSnapshot()}
	s.evidenceStore = loadEvidence(settings, logger)
	close(s.opened)
	return s, nil
}

// listen accepts the connections of peers. It comes before the ledger is read: a peer that is
// refused waits up to a second before it tries again, and after a power loss of all processes
// the edges are up before the ledgers are read.
func (s *Storage) listen() error {
	var err error
	s.transport, err = transport.New(transport.Config{
		Listen: s.settings.PeerAddress(), Isolated: true, Logger: s.logger, Hello: s.hello,
		MaxAccepted: fdlimit.ForStorage(s.settings.MaxFDs).Peers,
	}, s.servePeer)
	if err != nil {
		return err
	}
	if err := s.transport.Start(); err != nil {
		return err
	}
	s.logger.Info("listening", "node", s.settings.Node, "address", s.settings.PeerAddress())
	return nil
}

// closeTransport aborts the requests that are still under way after closeTimeout.
func (s *Storage) closeTransport() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := s.transport.Close(ctx); err != nil {
		s.logger.Warn("peer requests were aborted at shutdown", "err", err)
	}
}

// turnMemoryShare is the share of the process's memory for turns and recorded events; the rest is
// for messages, the garbage collector and what is copied from other members.
const (
	turnMemoryShare = 0.4
	bytesPerMB      = 1 << 20
)

// removeTemporary removes what killed processes have left in the data folder. It is not
// essential, so an error is only logged.
func removeTemporary(settings *platform.Settings, logger *slog.Logger) {
	for _, name := range []string{snapshotFile, evidenceFile} {
		n, err := durable.RemoveTemporary(filepath.Join(settings.DataDir, name))
		if err != nil {
			logger.Warn("failed to remove temporary files", "name", name, "err", err)
		}
		if n > 0 {
			logger.Info("temporary files removed", "name", name, "files", n)
		}
	}
}

func (s *Storage) hello() *peerv1.Hello {
	return &peerv1.Hello{
		Instance: s.settings.Node, Role: string(platform.RoleStorage), Region: s.settings.Region,
		FailureDomain: s.settings.FailureDomain, Address: s.settings.PeerAddress(),
	}
}

// SetStoreAddress changes the address of the platform's store.
func (s *Storage) SetStoreAddress(address string) {
	if old := s.store.Load(); old.Address() != address {
		s.store.Store(platform.NewStore(address))
		old.Close()
	}
}

// Run serves until stop is canceled.
func (s *Storage) Run(stop context.Context) error {
	s.logger.Info("started", "node", s.settings.Node, "records", s.ledger.Count(), "status", s.ledger.Status())
	writing, stopWriting := context.WithCancel(context.Background())
	defer stopWriting()
	var disk errgroup.Group
	disk.Go(func() error { return s.ledger.Run(writing) })

	g, ctx := errgroup.WithContext(stop)
	background := func(f func(context.Context)) {
		g.Go(func() error { f(ctx); return nil })
	}
	background(s.followUpdates)
	background(s.pollEntries)
	background(s.saveState)
	background(s.offerSnapshot)
	background(s.joinLedger)
	err := g.Wait()
	s.logger.Info("stopping")
	s.closeTransport()
	stopWriting()
	if diskErr := disk.Wait(); diskErr != nil {
		return diskErr
	}
	return err
}

func (s *Storage) servePeer(ctx context.Context, sess *transport.Session, st *transport.Stream, first *peerv1.Envelope) {
	select {
	case <-s.opened:
	case <-ctx.Done():
		return
	}
	server := ledger.Server{Store: s.ledger, Group: s.replicaGroup, Logger: s.logger}
	var err error
	switch m := first.GetBody().(type) {
	case *peerv1.Envelope_LedgerBatch:
		err = server.ServeBatches(ctx, st, m.LedgerBatch)
	case *peerv1.Envelope_LedgerRequest:
		err = server.Serve(ctx, st, m.LedgerRequest)
	case *peerv1.Envelope_CrashReport:
		err = st.Send(crashreport.Envelope(crashreport.HandleReport(s.evidenceStore, m.CrashReport, sess.Addr())))
	default:
		s.logger.Warn("unknown peer request", "peer", sess.Addr())
	}
	if err != nil {
		s.logger.Debug("peer request failed", "peer", sess.Addr(), "err", err)
	}
}
