package edge

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
)

const (
	// settleInterval collects the usage of finished turns into one write.
	settleInterval = 100 * time.Millisecond
	// settleTimeout limits one write. An unsettled record counts with its full
	// reservation.
	settleTimeout = 3 * time.Second
	// maxPendingRecords limits the records kept while the storage processes do not
	// answer.
	maxPendingRecords = 10000
)

// settler writes to the ledger how many of their reserved tokens finished turns have
// used.
type settler struct {
	client *ledger.Client
	logger *slog.Logger
	wake   chan struct{}

	mu      sync.Mutex
	pending []*peerv1.LedgerRecord
}

func newSettler(c *ledger.Client, logger *slog.Logger) *settler {
	return &settler{client: c, logger: logger, wake: make(chan struct{}, 1)}
}

// add queues a record.
func (s *settler) add(rec *peerv1.LedgerRecord) {
	s.mu.Lock()
	if len(s.pending) >= maxPendingRecords {
		s.pending = s.pending[1:]
		s.logger.Warn("usage record dropped, its full reservation stays charged")
	}
	s.pending = append(s.pending, rec)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *settler) takePending() []*peerv1.LedgerRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.pending
	s.pending = nil
	return list
}

// run writes records until the context is done, and then the remaining ones until
// stopDeadline.
func (s *settler) run(ctx context.Context, stopDeadline func() time.Time) {
	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithDeadline(context.Background(), stopDeadline())
			defer cancel()
			s.flush(last)
			return
		case <-s.wake:
		}
		select {
		case <-ctx.Done():
		case <-time.After(settleInterval):
		}
		s.flush(ctx)
	}
}

func (s *settler) flush(ctx context.Context) {
	recs := s.takePending()
	if len(recs) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	// Members that reply later than a quorum get the records, too.
	time.AfterFunc(settleTimeout, cancel)
	for _, r := range s.client.WriteAll(ctx, recs, nil) {
		s.logger.Warn("usage record not written, will retry", "program", r.GetUsage().GetProgram())
		s.add(r)
	}
}

func usageRecord(u *peerv1.Usage) *peerv1.LedgerRecord {
	return &peerv1.LedgerRecord{Body: &peerv1.LedgerRecord_Usage{Usage: u}}
}
