package ledger

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/durable"
	"github.com/yuccaspindle/yuccaspindle/pkg/suspend"
)

const (
	// trimInterval is how often expired records and files are removed.
	trimInterval = 5 * time.Second
	// fileRetention is how long a file is kept after it was closed. Most records in it
	// are expired then; the others are written again.
	fileRetention  = 10 * time.Minute
	writeQueueSize = 1024 // writes that wait for the disk
)

// Store holds the records of one storage process in memory and in a log on disk.
// Concurrent writes share one sync (group commit). It is safe for concurrent use.
type Store struct {
	log     *Log
	logger  *slog.Logger
	pending chan pendingWrite

	markMu      sync.Mutex // held while removalMark is changed
	removalMark *removalMark

	mu    sync.Mutex
	state *State // of the records that are synced to disk
	// unsynced are the usage records of writes that wait for the disk.
	unsynced unsyncedUsage
	// pendingBytes is the size of the writes that wait for the disk; bytesLimit is the memory
	// for these and for the turns and events of the state, 0: no limit.
	pendingBytes, bytesLimit int64
	full                     bool // as of the last write of turns or events
	leaving                  bool
	// removed is set once another process has removed this one from the ledger.
	removed bool
	// suspendedTime returns for how long the machine was suspended in total. If that
	// exceeds confirmedSuspension, other processes may have removed this one from
	// the ledger during a suspension.
	suspendedTime       func(now time.Time) time.Duration
	confirmedSuspension time.Duration
}

// pendingWrite is a write that waits for the disk.
type pendingWrite struct {
	recs []*peerv1.LedgerRecord
	done chan error
}

// OpenStore opens the log in a folder of the machine's disk, as OpenStoreOn does.
func OpenStore(dir string, logger *slog.Logger) (*Store, error) {
	return OpenStoreOn(durable.OS{}, dir, logger)
}

// OpenStoreOn opens the log in a folder and loads its records. Run must be called
// before Write.
func OpenStoreOn(fs durable.FS, dir string, logger *slog.Logger) (*Store, error) {
	s := &Store{
		logger: logger, state: NewState(), unsynced: make(unsyncedUsage),
		pending: make(chan pendingWrite, writeQueueSize), suspendedTime: suspend.New().Total,
	}
	now := time.Now()
	l, err := OpenLog(fs, dir, logger, now, func(file int, rec *peerv1.LedgerRecord) {
		s.state.file = file
		s.state.Apply(rec, now)
	})
	if err != nil {
		return nil, err
	}
	s.log = l
	if s.removalMark, err = openRemovalMark(fs, dir); err != nil {
		return nil, err
	}
	if !l.Intact() {
		s.state.complete, s.state.kept = false, false
	}
	if s.removalMark.set {
		s.state.kept = s.state.Kept()
		s.state.complete = false
	}
	return s, nil
}

// Run writes pending records to disk until the context is done.
func (s *Store) Run(ctx context.Context) error {
	trim := time.NewTicker(trimInterval)
	defer trim.Stop()
	for {
		select {
		case <-ctx.Done():
			return s.log.Close()
		case <-trim.C:
			s.trim(time.Now())
		case b := <-s.pending:
			s.commit(s.takePending(b))
			s.removeUnreadable()
		}
	}
}

// takePending returns the first write and all others that are queued.
func (s *Store) takePending(first pendingWrite) []pendingWrite {
	list := []pendingWrite{first}
	for {
		select {
		case b := <-s.pending:
			list = append(list, b)
		default:
			return list
		}
	}
}

// commit appends the records of several writes to the log with one sync and then applies
// them to the state.
func (s *Store) commit(list []pendingWrite) {
	var recs []*peerv1.LedgerRecord
	for _, b := range list {
		recs = append(recs, b.recs...)
	}
	now := time.Now()
	var err error
	if len(recs) > 0 {
		err = s.log.Append(recs, now)
	}
	if err != nil {
		s.logger.Error("ledger write failed", "records", len(recs), "err", err)
	}
	s.mu.Lock()
	s.state.file = s.log.number
	for _, r := range recs {
		if err == nil {
			s.state.Apply(r, now)
		}
		s.unsynced.remove(r)
	}
	s.mu.Unlock()
	for _, b := range list {
		b.done <- err
	}
}

// Write returns once records are synced to disk. Reads return them only then, since a
// power loss may remove them before. The exception is Usage, which returns them at once,
// so that of two concurrent reservations at least one sees the other.
func (s *Store) Write(ctx context.Context, recs []*peerv1.LedgerRecord) error {
	total := int64(0)
	for _, r := range recs {
		// No start reads such a record, or what follows in its file.
		size := proto.Size(r)
		if size == 0 || size > maxRecordBytes {
			return errors.Errorf("record of %d bytes, expected 1 to %d", size, maxRecordBytes)
		}
		total += int64(size)
	}
	s.addPending(total)
	defer s.addPending(-total)
	s.mu.Lock()
	for _, r := range recs {
		s.unsynced.add(r)
	}
	s.mu.Unlock()
	b := pendingWrite{recs: recs, done: make(chan error, 1)}
	select {
	case s.pending <- b:
	case <-ctx.Done():
		s.mu.Lock()
		for _, r := range recs {
			s.unsynced.remove(r)
		}
		s.mu.Unlock()
		return errors.Wrap(ctx.Err(), "wait for the disk")
	}
	select {
	case err := <-b.done:
		return err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the disk")
	}
}

// Flush waits until the writes that were received before are synced to disk or have
// failed.
func (s *Store) Flush(ctx context.Context) error { return s.Write(ctx, nil) }

// admit reports whether the tokens of a reservation fit the budget of their program beside
// the records of this process, and shows the record to all reads until release is called, so
// that of two reservations that fit one at a time the second is refused. A process that lacks
// records admits all: its reply does not count.
func (s *Store) admit(r *peerv1.Reserve) bool {
	if r.GetBudget() == 0 || s.UsageStatus() != peerv1.LedgerReply_OK {
		return true
	}
	u := r.GetUsage()
	s.mu.Lock()
	defer s.mu.Unlock()
	records := MergeUsage(s.state.Usage(u.GetProgram(), 0, time.Now(), s.unsynced[u.GetProgram()]...))
	if CheckBudget(records, u.GetAttempt(), int(u.GetTokens()), int(r.GetBudget()), int(r.GetPerEvent())) != nil {
		return false
	}
	s.unsynced.add(&peerv1.LedgerRecord{Body: &peerv1.LedgerRecord_Usage{Usage: u}})
	return true
}

// release ends what admit began, once the record was written or could not be.
func (s *Store) release(r *peerv1.Reserve) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsynced.remove(&peerv1.LedgerRecord{Body: &peerv1.LedgerRecord_Usage{Usage: r.GetUsage()}})
}

// unsyncedUsage holds the usage records that wait for the disk, by program.
type unsyncedUsage map[string][]*peerv1.Usage

func (u unsyncedUsage) add(rec *peerv1.LedgerRecord) {
	if r := rec.GetUsage(); r != nil {
		u[r.GetProgram()] = append(u[r.GetProgram()], r)
	}
}

// remove removes one copy of a record.
func (u unsyncedUsage) remove(rec *peerv1.LedgerRecord) {
	r := rec.GetUsage()
	list := u[r.GetProgram()]
	i := slices.Index(list, r)
	switch {
	case r == nil || i < 0:
	case len(list) == 1:
		delete(u, r.GetProgram())
	default:
		u[r.GetProgram()] = slices.Delete(list, i, i+1)
	}
}

// MarkComplete marks the log as complete: this process has all records that it
// ever acknowledged. It takes back the note of a removal. If that fails, the process
// catches up once more after its next start.
func (s *Store) MarkComplete(ctx context.Context) error {
	s.markMu.Lock()
	defer s.markMu.Unlock()
	if err := s.Write(ctx, []*peerv1.LedgerRecord{{Body: &peerv1.LedgerRecord_Synced{Synced: &peerv1.Synced{}}}}); err != nil {
		return err
	}
	if err := s.removalMark.clear(); err != nil {
		s.logger.Warn("the next start catches up again", "err", err)
	}
	return nil
}

// MarkJoined marks the log as one that holds all records that this process ever acknowledged.
// A process that has lost its disk lacks the mark, and one that ends while it joins has it.
func (s *Store) MarkJoined(ctx context.Context) error {
	return s.Write(ctx, []*peerv1.LedgerRecord{{Body: &peerv1.LedgerRecord_Joined{Joined: &peerv1.Joined{}}}})
}

// Kept reports whether the store has all records that this process ever acknowledged, also if
// it does not count for reads.
func (s *Store) Kept() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Kept()
}

// SetLeaving makes the store refuse requests while this process leaves the
// ledger.
func (s *Store) SetLeaving(leaving bool) {
	s.mu.Lock()
	s.leaving = leaving
	s.mu.Unlock()
}

// SetRemoved records that this process was removed from the ledger. It must catch
// up even though its disk is intact, and its replies do not count towards a
// quorum until SetMember is called. A note on disk makes it catch up after a restart,
// too, until MarkComplete is called. If the disk fails, only this process knows.
func (s *Store) SetRemoved() {
	s.mu.Lock()
	s.removed = true
	s.state.kept = s.state.Kept()
	s.state.complete, s.state.usageComplete = false, false
	s.mu.Unlock()
	s.markMu.Lock()
	defer s.markMu.Unlock()
	if err := s.removalMark.write(); err != nil {
		s.logger.Error("a restart may not know of the removal from the ledger", "err", err)
	}
}

// SetMember records that this process is a member of the ledger.
func (s *Store) SetMember() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removed = false
}

// SetUsageComplete records that the store has all usage records.
func (s *Store) SetUsageComplete() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.usageComplete = true
}

// WriteStatus returns OK if a record written here counts as a replica. That is
// also the case while the process catches up, since new records are kept.
func (s *Store) WriteStatus() peerv1.LedgerReply_Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.leaving:
		return peerv1.LedgerReply_LEAVING
	case s.removed || s.membershipStale():
		return peerv1.LedgerReply_CATCHING_UP
	}
	return peerv1.LedgerReply_OK
}

// membershipStale reports whether the machine was suspended since the membership
// was last confirmed. The caller must hold s.mu.
func (s *Store) membershipStale() bool { return s.suspendedTime(time.Now()) > s.confirmedSuspension }

// SetSuspensionClock replaces the function that returns for how long the machine
// was suspended in total.
func (s *Store) SetSuspensionClock(suspendedTime func(now time.Time) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspendedTime = suspendedTime
}

// CheckSuspension reports whether the machine was suspended since the membership
// was last confirmed, and returns the total time of all suspensions. While stale
// is true, the replies of this process do not count towards a quorum.
func (s *Store) CheckSuspension() (stale bool, total time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	total = s.suspendedTime(time.Now())
	return total > s.confirmedSuspension, total
}

// ConfirmMembership records that the members of the ledger were read when the
// suspensions of the machine added up to total.
func (s *Store) ConfirmMembership(total time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmedSuspension = max(s.confirmedSuspension, total)
}

// ReadStatus returns the status for replies to other processes. Unlike Status it
// is not OK while the membership is unconfirmed after a suspension.
func (s *Store) ReadStatus() peerv1.LedgerReply_Status {
	if stale, _ := s.CheckSuspension(); stale {
		return peerv1.LedgerReply_CATCHING_UP
	}
	return s.Status()
}

// UsageStatus returns OK if this process has all usage records that it ever
// acknowledged.
func (s *Store) UsageStatus() peerv1.LedgerReply_Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.leaving:
		return peerv1.LedgerReply_LEAVING
	case s.removed || s.membershipStale() || !s.state.UsageComplete():
		return peerv1.LedgerReply_CATCHING_UP
	}
	return peerv1.LedgerReply_OK
}

// Status returns OK if the store is complete, and otherwise why it is not usable.
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

// Usage returns the usage records of a program, as State.Usage does, with those that wait
// for the disk.
func (s *Store) Usage(program string, stream uint64) []*peerv1.Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Usage(program, stream, time.Now(), s.unsynced[program]...)
}

// Chain returns a turn and its ancestors as far as this process has them, oldest
// first.
func (s *Store) Chain(id string) []*peerv1.TurnRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Chain(id)
}

// LackedTurn returns the latest turn before the given one that this process does not have;
// false: it has all, or not the given one.
func (s *Store) LackedTurn(id string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.lackedTurn(id)
}

// Count returns the number of records.
func (s *Store) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.count()
}

// Records returns all usage records, all turns or both.
func (s *Store) Records(part peerv1.Pull_Part) []*peerv1.LedgerRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Records(part)
}
