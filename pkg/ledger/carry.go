package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

// carryBytes is the size of a batch of records that are written again. Writes of peers
// wait for one batch at most.
const carryBytes = 1 << 20

// trim removes expired records, and files whose records are expired or written again to
// a newer file.
func (s *Store) trim(now time.Time) {
	s.mu.Lock()
	s.state.Expire(now)
	s.mu.Unlock()
	s.removeUnreadable()
	s.log.Trim(now.Add(-fileRetention), s.carry)
}

// removeUnreadable removes the files that could not be read once the process has caught
// up.
func (s *Store) removeUnreadable() {
	if s.log.Intact() {
		return
	}
	s.mu.Lock()
	complete := s.state.Complete()
	s.mu.Unlock()
	if complete {
		s.log.RemoveUnreadable(s.carry)
	}
}

// carry writes the records again that the state holds and that are lost with a file. It
// returns false if that failed. Peers' writes go on meanwhile.
func (s *Store) carry(file int) bool {
	s.mu.Lock()
	recs := s.state.recordsIn(file)
	s.mu.Unlock()
	if len(recs) == 0 {
		return true
	}
	// A fixed order makes plays of failing disks reproducible.
	slices.SortFunc(recs, func(a, b *peerv1.LedgerRecord) int {
		return cmp.Or(
			cmp.Compare(a.GetTurn().GetId(), b.GetTurn().GetId()),
			cmp.Compare(a.GetUsage().GetProgram(), b.GetUsage().GetProgram()),
			cmp.Compare(a.GetUsage().GetAttempt(), b.GetUsage().GetAttempt()),
		)
	})
	first := -1 // file with the first batch
	for batch := range SplitRecords(recs, carryBytes) {
		if err := s.log.Append(batch, time.Now()); err != nil {
			s.logger.Warn("failed to keep the records of a ledger file", "file", file, "records", len(recs), "err", err)
			return false
		}
		if first < 0 {
			first = s.log.number
		}
		select {
		case b := <-s.pending:
			s.commit(s.takePending(b))
		default:
		}
	}
	s.mu.Lock()
	s.state.moveRecords(file, first)
	s.mu.Unlock()
	s.logger.Info("records of a ledger file written again", "file", file, "records", len(recs), "to", first)
	return true
}

// recordsIn returns the records that the state may lack after the loss of a file.
func (s *State) recordsIn(file int) []*peerv1.LedgerRecord {
	var list []*peerv1.LedgerRecord
	for _, p := range s.programs {
		if p.file > file {
			continue
		}
		for _, u := range p.usage {
			list = append(list, &peerv1.LedgerRecord{Body: &peerv1.LedgerRecord_Usage{Usage: u}})
		}
	}
	for _, t := range s.turns {
		if t.file == file {
			list = append(list, &peerv1.LedgerRecord{Body: &peerv1.LedgerRecord_Turn{Turn: t.record}})
		}
	}
	if s.complete && s.completeFile == file {
		list = append(list, &peerv1.LedgerRecord{Body: &peerv1.LedgerRecord_Synced{Synced: &peerv1.Synced{}}})
	}
	if s.kept && s.keptFile == file {
		list = append(list, &peerv1.LedgerRecord{Body: &peerv1.LedgerRecord_Joined{Joined: &peerv1.Joined{}}})
	}
	return list
}

// moveRecords notes that the result of recordsIn is in another file now.
func (s *State) moveRecords(from, to int) {
	for _, p := range s.programs {
		if p.file <= from {
			p.file = to
		}
	}
	for _, t := range s.turns {
		if t.file == from {
			t.file = to
		}
	}
	if s.completeFile == from {
		s.completeFile = to
	}
	if s.keptFile == from {
		s.keptFile = to
	}
}
