package storage

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/peerstate"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	// snapshotFile is the name of the file in the data folder with the last known
	// content of the platform's store.
	snapshotFile = "deployment"
	// saveInterval is the shortest time between two saves of a file, each of which
	// costs a sync.
	saveInterval = time.Second
	// For offerPeriod after the start, about every offerInterval, the snapshot is
	// offered to entries. Later they get the deployment from each other.
	offerInterval = 150 * time.Millisecond
	offerPeriod   = 10 * time.Second
)

func snapshotPath(s *platform.Settings) string { return filepath.Join(s.DataDir, snapshotFile) }

// loadSnapshot loads the deployment snapshot from disk. If the file cannot be
// read it logs that and returns an empty snapshot: entries then wait for the
// store.
func loadSnapshot(settings *platform.Settings, logger *slog.Logger) *peerstate.Snapshot {
	snapshot, err := peerstate.LoadSnapshot(snapshotPath(settings))
	if err != nil {
		logger.Warn("failed to load deployment snapshot", "err", err)
		return peerstate.NewSnapshot()
	}
	return snapshot
}

// snapshotSaver persists the content of the platform's store, since entries have
// no disk and the store may be unavailable when all of them start.
type snapshotSaver struct {
	mu       sync.Mutex
	snapshot *peerstate.Snapshot
	changed  bool
}

// apply adds an update to the snapshot.
func (s *snapshotSaver) apply(u *peerstate.Update) {
	if !u.HasContent {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot.Apply(u)
	s.changed = true
}

// save writes the snapshot to a file if it changed since the last save.
func (s *snapshotSaver) save(path string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.changed || s.snapshot.Empty() {
		return nil
	}
	if err := s.snapshot.Save(path); err != nil {
		return err
	}
	s.changed = false
	return nil
}

// saveState saves the deployment snapshot and the crash evidence periodically
// until the context is done.
func (s *Storage) saveState(ctx context.Context) {
	t := time.NewTicker(saveInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if err := s.snapshotSaver.save(snapshotPath(s.settings)); err != nil {
			s.logger.Warn("failed to save deployment snapshot", "err", err)
		}
		if err := s.evidenceStore.save(time.Now()); err != nil {
			s.logger.Warn("failed to save crash evidence", "err", err)
		}
	}
}

// offerSnapshot sends the snapshot loaded at the start to seed entries that do
// not know the deployment yet.
func (s *Storage) offerSnapshot(ctx context.Context) {
	s.logger.Info("kept deployment", "upstreams", len(s.snapshot.Upstreams), "nodes", len(s.snapshot.Nodes))
	if s.snapshot.Empty() {
		return
	}
	waiting := make(map[string]bool)
	for _, ip := range s.settings.Seeds {
		waiting[s.settings.PeerAddressOf(ip)] = true
	}
	for end := time.Now().Add(offerPeriod); len(waiting) > 0 && time.Now().Before(end); {
		select {
		case <-ctx.Done():
			return
		case <-time.After(offerInterval/2 + rand.N(offerInterval)):
		}
		for address := range waiting {
			knows, err := peerstate.HasConfiguration(ctx, s.transport, address)
			if err == nil && !knows {
				err = peerstate.Send(ctx, s.transport, address, s.snapshot)
			}
			if err != nil {
				s.logger.Debug("failed to offer deployment snapshot", "peer", address, "err", err)
			}
			if knows {
				delete(waiting, address)
			}
		}
	}
}
