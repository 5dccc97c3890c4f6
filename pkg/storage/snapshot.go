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
	// keptFile holds what the platform's store held, in the data folder.
	keptFile = "deployment"
	// keepInterval is how often changes are written; each costs a sync.
	keepInterval = time.Second
	// offerInterval and offerTime say how often and how long after a start
	// entries are offered what was kept. Later they have it from each other.
	offerInterval = 150 * time.Millisecond
	offerTime     = 10 * time.Second
)

func keptPath(s *platform.Settings) string { return filepath.Join(s.DataDir, keptFile) }

// loadKept returns what was kept before the start. Without it entries wait for
// the store, so an unreadable file is no reason to fail.
func loadKept(settings *platform.Settings, logger *slog.Logger) *peerstate.Snapshot {
	kept, err := peerstate.LoadSnapshot(keptPath(settings))
	if err != nil {
		logger.Warn("kept deployment not read", "err", err)
		return peerstate.NewSnapshot()
	}
	return kept
}

// keeper keeps on disk what the store holds: entries have no disk, and the store
// may be away when all of them start.
type keeper struct {
	mu      sync.Mutex
	kept    *peerstate.Snapshot
	changed bool
}

func (k *keeper) take(u *peerstate.Update) {
	if !u.HasContent {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.kept.Apply(u)
	k.changed = true
}

// save writes what changed to a file.
func (k *keeper) save(path string) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.changed || k.kept.Empty() {
		return nil
	}
	if err := k.kept.Save(path); err != nil {
		return err
	}
	k.changed = false
	return nil
}

// keep saves what is kept until the context ends.
func (s *Storage) keep(ctx context.Context) {
	t := time.NewTicker(keepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if err := s.keeper.save(keptPath(s.settings)); err != nil {
			s.logger.Warn("deployment not kept", "err", err)
		}
		if err := s.suspects.save(time.Now()); err != nil {
			s.logger.Warn("evidence of crashes not kept", "err", err)
		}
	}
}

// offer gives entries that know nothing what was kept before the start.
func (s *Storage) offer(ctx context.Context) {
	s.logger.Info("kept deployment", "upstreams", len(s.kept.Upstreams), "nodes", len(s.kept.Nodes))
	if s.kept.Empty() {
		return
	}
	waiting := make(map[string]bool)
	for _, ip := range s.settings.Seeds {
		waiting[s.settings.PeerAddressOf(ip)] = true
	}
	for end := time.Now().Add(offerTime); len(waiting) > 0 && time.Now().Before(end); {
		select {
		case <-ctx.Done():
			return
		case <-time.After(offerInterval/2 + rand.N(offerInterval)):
		}
		for address := range waiting {
			knows, err := peerstate.Knows(ctx, s.transport, address)
			if err == nil && !knows {
				err = peerstate.Offer(ctx, s.transport, address, s.kept)
			}
			if err != nil {
				s.logger.Debug("kept deployment not offered", "peer", address, "err", err)
			}
			if knows {
				delete(waiting, address)
			}
		}
	}
}
