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

// suspectsFile holds the evidence against requests that crash upstreams, in the
// data folder.
const suspectsFile = "suspects"

// suspects keeps the evidence against requests that crash upstreams for entries that
// start again. It implements crashreport.Holder.
type suspects struct {
	path   string
	logger *slog.Logger

	mu    sync.Mutex
	book  poison.Book
	saved uint64 // digest of what is on disk
}

// loadSuspects returns what was kept before the start. Without it the request
// crashes some more upstreams, so an unreadable file is no reason to fail.
func loadSuspects(settings *platform.Settings, logger *slog.Logger) *suspects {
	s := &suspects{path: filepath.Join(settings.DataDir, suspectsFile), logger: logger}
	if err := s.load(time.Now()); err != nil {
		logger.Warn("kept evidence of crashes not read", "err", err)
	}
	return s
}

func (s *suspects) load(now time.Time) error {
	data, err := os.ReadFile(s.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read evidence of crashes")
	}
	kept := &peerv1.KeptCrashReport{}
	if err := proto.Unmarshal(data, kept); err != nil {
		return errors.Wrapf(err, "decode evidence of crashes in %s", s.path)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	crashreport.Take(&s.book, kept.GetReport(), now.Add(-max(now.Sub(time.UnixMilli(kept.GetAtUnixMs())), 0)))
	s.book.Expire(now)
	s.saved = s.book.Digest()
	return nil
}

// save writes what changed to the file.
func (s *suspects) save(now time.Time) error {
	s.mu.Lock()
	s.book.Expire(now)
	digest := s.book.Digest()
	if digest == s.saved {
		s.mu.Unlock()
		return nil
	}
	kept := &peerv1.KeptCrashReport{
		Report: crashreport.New(&s.book, s.book.Evidence(), now), AtUnixMs: now.UnixMilli(),
	}
	s.mu.Unlock()
	data, err := proto.Marshal(kept)
	if err != nil {
		return errors.Wrap(err, "encode evidence of crashes")
	}
	if err := durable.WriteFile(s.path, data); err != nil {
		return errors.Wrap(err, "write evidence of crashes")
	}
	s.mu.Lock()
	s.saved = digest
	s.mu.Unlock()
	return nil
}

// Report implements crashreport.Holder.
func (s *suspects) Report(complete bool) *peerv1.CrashReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []poison.Evidence
	if complete {
		list = s.book.Evidence()
	}
	return crashreport.New(&s.book, list, time.Now())
}

// Take implements crashreport.Holder.
func (s *suspects) Take(r *peerv1.CrashReport, peer string) {
	s.mu.Lock()
	added := crashreport.Take(&s.book, r, time.Now())
	s.mu.Unlock()
	if len(added) > 0 {
		s.logger.Info("evidence of crashes kept", "peer", peer, "added", len(added))
	}
}
