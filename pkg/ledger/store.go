package ledger

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/suspend"
)

const (
	// trimInterval is how often expired records and files are dropped.
	trimInterval = 5 * time.Second
	// fileRetention keeps a file after its last record; it exceeds the
	// retention of the records in it.
	fileRetention = 10 * time.Minute
	writeQueue    = 1024 // batches that wait for the disk
)

// Store is the ledger of one storage process: the state and its log, with
// group commit. It is safe for concurrent use.
type Store struct {
	log     *Log
	logger  *slog.Logger
	pending chan batch

	mu      sync.Mutex
	state   *State
	leaving bool
	// out is set once other members have taken this process out of the ledger.
	out bool
	// slept returns how long the machine was suspended. Beyond trusted, the others
	// may have taken this process out meanwhile.
	slept   func(now time.Time) time.Duration
	trusted time.Duration
}

type batch struct {
	recs []*peerv1.LedgerRecord
	done chan error
}

// OpenStore reads the ledger in a folder.
func OpenStore(dir string, logger *slog.Logger) (*Store, error) {
	s := &Store{logger: logger, state: NewState(), pending: make(chan batch, writeQueue), slept: suspend.New().Total}
	now := time.Now()
	l, err := OpenLog(dir, logger, now, func(rec *peerv1.LedgerRecord) { s.state.Apply(rec, now) })
	s.log = l
	return s, err
}

// Run writes batches until the context ends.
func (s *Store) Run(ctx context.Context) error {
	trim := time.NewTicker(trimInterval)
	defer trim.Stop()
	for {
		select {
		case <-ctx.Done():
			return s.log.Close()
		case <-trim.C:
			now := time.Now()
			s.mu.Lock()
			s.state.Expire(now)
			s.mu.Unlock()
			s.log.Trim(now.Add(-fileRetention))
		case b := <-s.pending:
			s.commit(s.gather(b))
		}
	}
}

// gather returns the batch with all others that wait.
func (s *Store) gather(first batch) []batch {
	list := []batch{first}
	for {
		select {
		case b := <-s.pending:
			list = append(list, b)
		default:
			return list
		}
	}
}

func (s *Store) commit(list []batch) {
	var recs []*peerv1.LedgerRecord
	for _, b := range list {
		recs = append(recs, b.recs...)
	}
	err := s.log.Append(recs, time.Now())
	if err != nil {
		s.logger.Error("ledger write failed", "records", len(recs), "err", err)
	}
	for _, b := range list {
		b.done <- err
	}
}

// Write applies records at once and returns when they are on disk. Later reads
// see them before that, so that of two concurrent reservations at least one
// sees the other.
func (s *Store) Write(ctx context.Context, recs []*peerv1.LedgerRecord) error {
	now := time.Now()
	s.mu.Lock()
	for _, r := range recs {
		s.state.Apply(r, now)
	}
	s.mu.Unlock()
	b := batch{recs: recs, done: make(chan error, 1)}
	select {
	case s.pending <- b:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the disk")
	}
	select {
	case err := <-b.done:
		return err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the disk")
	}
}

// MarkComplete records that the ledger is complete.
func (s *Store) MarkComplete(ctx context.Context) error {
	return s.Write(ctx, []*peerv1.LedgerRecord{{Body: &peerv1.LedgerRecord_Synced{Synced: &peerv1.Synced{}}}})
}

// SetLeaving makes the store refuse requests, before and while it is emptied.
func (s *Store) SetLeaving(leaving bool) {
	s.mu.Lock()
	s.leaving = leaving
	s.mu.Unlock()
}

// SetRemoved notes that this process was taken out of the ledger: it has to catch up
// though its disk is intact, and until SetMember its answers count for nothing.
func (s *Store) SetRemoved() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out = true
	s.state.synced, s.state.usageSynced = false, false
}

// SetMember notes that this process is a member of the ledger.
func (s *Store) SetMember() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out = false
}

// SetUsageComplete notes that the usage records are complete.
func (s *Store) SetUsageComplete() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.usageSynced = true
}

// WriteStatus returns OK if a record on this disk counts as one copy. That
// holds also while the process catches up: it keeps what it is given now.
func (s *Store) WriteStatus() peerv1.LedgerReply_Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.leaving:
		return peerv1.LedgerReply_LEAVING
	case s.out || s.doubtful():
		return peerv1.LedgerReply_CATCHING_UP
	}
	return peerv1.LedgerReply_OK
}

// doubtful needs the lock.
func (s *Store) doubtful() bool { return s.slept(time.Now()) > s.trusted }

// SetSuspensionClock replaces where the store learns of suspensions of the machine:
// slept returns their total time.
func (s *Store) SetSuspensionClock(slept func(now time.Time) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slept = slept
}

// CheckSuspension reports whether the machine was suspended since Trust, and for how
// long altogether. Until Trust the answers of this process count for nothing.
func (s *Store) CheckSuspension() (doubtful bool, total time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	total = s.slept(time.Now())
	return total > s.trusted, total
}

// ConfirmMembership notes that the members of the ledger were read after the machine had been
// suspended for a total time.
func (s *Store) ConfirmMembership(total time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trusted = max(s.trusted, total)
}

// ReadStatus is Status for answers to others.
func (s *Store) ReadStatus() peerv1.LedgerReply_Status {
	if doubtful, _ := s.CheckSuspension(); doubtful {
		return peerv1.LedgerReply_CATCHING_UP
	}
	return s.Status()
}

// UsageStatus returns OK if what this process knows of the programs' budgets is
// all that it ever acknowledged.
func (s *Store) UsageStatus() peerv1.LedgerReply_Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.leaving:
		return peerv1.LedgerReply_LEAVING
	case s.out || s.doubtful() || !s.state.UsageComplete():
		return peerv1.LedgerReply_CATCHING_UP
	}
	return peerv1.LedgerReply_OK
}

// Status returns OK, or why the store refuses requests.
func (s *Store) Status() peerv1.LedgerReply_Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.leaving:
		return peerv1.LedgerReply_LEAVING
	case !s.state.Complete():
		return peerv1.LedgerReply_CATCHING_UP
	}
	return peerv1.LedgerReply_OK
}

// Usage returns the usage records of a program.
func (s *Store) Usage(program string) []*peerv1.Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Usage(program)
}

// Chain returns a turn and the turns before it as far as they are here.
func (s *Store) Chain(id string) []*peerv1.TurnRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Chain(id)
}

// Records returns all records of a part.
func (s *Store) Records(part peerv1.Pull_Part) []*peerv1.LedgerRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Records(part)
}
