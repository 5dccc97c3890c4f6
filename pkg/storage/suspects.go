package storage

import (
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/crashreport"
	"github.com/yuccaspindle/yuccaspindle/pkg/durable"
	"github.com/yuccaspindle/yuccaspindle/pkg/poison"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// evidenceFile is the name of the file in the data folder with the evidence
// against requests that crash upstreams.
const evidenceFile = "suspects"

// evidenceStore persists the evidence against requests that crash upstreams, for
// entries that restart. It implements crashreport.Replica.
type evidenceStore struct {
	path   string
	logger *slog.Logger

	mu          sync.Mutex
	evidence    poison.EvidenceSet
	savedDigest uint64 // of the evidence on disk
}

// loadEvidence loads the evidence from disk. If the file cannot be read it logs
// that and continues without: the requests may crash some more upstreams until
// they are recognized again.
func loadEvidence(settings *platform.Settings, logger *slog.Logger) *evidenceStore {
	s := &evidenceStore{path: filepath.Join(settings.DataDir, evidenceFile), logger: logger}
	if err := s.load(time.Now()); err != nil {
		logger.Warn("failed to load crash evidence", "err", err)
	}
	return s
}

func (s *evidenceStore) load(now time.Time) error {
	data, err := os.ReadFile(s.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read crash evidence")
	}
	kept := &peerv1.KeptCrashReport{}
	if err := proto.Unmarshal(data, kept); err != nil {
		return errors.Wrapf(err, "decode crash evidence in %s", s.path)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	crashreport.Merge(&s.evidence, kept.GetReport(), now.Add(-max(now.Sub(time.UnixMilli(kept.GetAtUnixMs())), 0)))
	s.evidence.Expire(now)
	s.savedDigest = s.evidence.Digest()
	return nil
}

// save writes the evidence to disk if it changed since the last save.
func (s *evidenceStore) save(now time.Time) error {
	s.mu.Lock()
	s.evidence.Expire(now)
	digest := s.evidence.Digest()
	if digest == s.savedDigest {
		s.mu.Unlock()
		return nil
	}
	kept := &peerv1.KeptCrashReport{
		Report: crashreport.New(&s.evidence, s.evidence.Evidence(), now), AtUnixMs: now.UnixMilli(),
	}
	s.mu.Unlock()
	data, err := proto.Marshal(kept)
	if err != nil {
		return errors.Wrap(err, "encode crash evidence")
	}
	if err := durable.WriteFile(s.path, data); err != nil {
		return errors.Wrap(err, "write crash evidence")
	}
	s.mu.Lock()
	s.savedDigest = digest
	s.mu.Unlock()
	return nil
}

// Report implements crashreport.Replica. The report includes all evidence if
// complete is set, and otherwise only its digest.
func (s *evidenceStore) Report(complete bool) *peerv1.CrashReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []poison.Evidence
	if complete {
		list = s.evidence.Evidence()
	}
	return crashreport.New(&s.evidence, list, time.Now())
}

// Merge implements crashreport.Replica.
func (s *evidenceStore) Merge(r *peerv1.CrashReport, peer string) {
	s.mu.Lock()
	added := crashreport.Merge(&s.evidence, r, time.Now())
	s.mu.Unlock()
	if len(added) > 0 {
		s.logger.Info("evidence of crashes kept", "peer", peer, "added", len(added))
	}
}
