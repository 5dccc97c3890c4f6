package ledger

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

// defaultRetention applies to records that state none.
const defaultRetention = 60 * time.Second

// retentionFactor keeps records longer than asked for: a turn counts from the
// end of its answer, and a program that was stopped may come back within the
// retention of its last turn.
const retentionFactor = 2

// maxChain bounds the turns of one chain, against a loop of parents.
const maxChain = 4096

// State holds the records of one storage process. It is not safe for
// concurrent use.
type State struct {
	programs map[string]*program
	turns    map[string]*turn
	synced   bool
	// usageSynced is set if all usage records are here that the process ever
	// acknowledged, whatever turns are missing.
	usageSynced bool
}

type program struct {
	usage map[uint64]*peerv1.Usage
	until time.Time
}

type turn struct {
	record *peerv1.TurnRecord
	until  time.Time
}

// NewState returns an empty state.
func NewState() *State {
	return &State{programs: make(map[string]*program), turns: make(map[string]*turn)}
}

// AttemptKey returns the key of a request id in usage records.
func AttemptKey(requestID string) uint64 { return xxhash.Sum64String(requestID) }

// Apply adds a record. Applying a record twice, or an older form of it later,
// changes nothing.
func (s *State) Apply(rec *peerv1.LedgerRecord, now time.Time) {
	switch b := rec.GetBody().(type) {
	case *peerv1.LedgerRecord_Usage:
		s.applyUsage(b.Usage, now)
	case *peerv1.LedgerRecord_Turn:
		until := now.Add(retention(b.Turn.GetRetentionMs()))
		s.turns[b.Turn.GetId()] = &turn{record: b.Turn, until: until}
		// A chain is kept as long as its last turn.
		id := b.Turn.GetParent()
		for range maxChain {
			t := s.turns[id]
			if t == nil || !t.until.Before(until) {
				break
			}
			t.until = until
			id = t.record.GetParent()
		}
	case *peerv1.LedgerRecord_Synced:
		s.synced = true
	}
}

func (s *State) applyUsage(u *peerv1.Usage, now time.Time) {
	p := s.programs[u.GetProgram()]
	if p == nil {
		p = &program{usage: make(map[uint64]*peerv1.Usage)}
		s.programs[u.GetProgram()] = p
	}
	p.until = now.Add(retention(u.GetRetentionMs()))
	p.usage[u.GetAttempt()] = later(p.usage[u.GetAttempt()], u)
}

// later returns the form of a usage record that replaces the other: a settled
// record replaces an open one, and of two settled ones the larger counts.
func later(a, b *peerv1.Usage) *peerv1.Usage {
	switch {
	case a == nil:
		return b
	case a.GetSettled() != b.GetSettled():
		if a.GetSettled() {
			return a
		}
		return b
	case a.GetTokens() > b.GetTokens():
		return a
	}
	return b
}

func retention(ms uint32) time.Duration {
	if ms == 0 {
		return retentionFactor * defaultRetention
	}
	return retentionFactor * time.Duration(ms) * time.Millisecond
}

// Complete reports whether the state holds all records that its process ever
// acknowledged.
func (s *State) Complete() bool { return s.synced }

// UsageComplete reports whether that holds for the usage records.
func (s *State) UsageComplete() bool { return s.synced || s.usageSynced }

// Usage returns the usage records of a program, without those that used
// nothing: a looping program leaves hundreds of them.
func (s *State) Usage(name string) []*peerv1.Usage {
	p := s.programs[name]
	if p == nil {
		return nil
	}
	list := make([]*peerv1.Usage, 0, len(p.usage))
	for _, u := range p.usage {
		if u.GetSettled() && u.GetTokens() == 0 {
			continue
		}
		list = append(list, &peerv1.Usage{Attempt: u.GetAttempt(), Tokens: u.GetTokens(), Settled: u.GetSettled()})
	}
	return list
}

// Chain returns a turn and the turns before it as far as they are here, oldest
// first. It is empty if the turn is not here. Other members may have the turns
// that are missing: each has a majority of its own.
func (s *State) Chain(id string) []*peerv1.TurnRecord {
	var chain []*peerv1.TurnRecord
	for range maxChain {
		t := s.turns[id]
		if t == nil {
			break
		}
		chain = append(chain, t.record)
		if id = t.record.GetParent(); id == "" {
			break
		}
	}
	reverse(chain)
	return chain
}

func reverse(list []*peerv1.TurnRecord) {
	for i, j := 0, len(list)-1; i < j; i, j = i+1, j-1 {
		list[i], list[j] = list[j], list[i]
	}
}

// Digest tells records apart that are not forms of the same content.
func Digest(rec *peerv1.LedgerRecord) uint64 {
	h := xxhash.New()
	switch b := rec.GetBody().(type) {
	case *peerv1.LedgerRecord_Usage:
		u := b.Usage
		_, _ = h.WriteString(u.GetProgram())
		var tail [13]byte
		binary.LittleEndian.PutUint64(tail[:], u.GetAttempt())
		binary.LittleEndian.PutUint32(tail[8:], u.GetTokens())
		if u.GetSettled() {
			tail[12] = 1
		}
		_, _ = h.Write(tail[:])
	case *peerv1.LedgerRecord_Turn:
		_, _ = h.WriteString(b.Turn.GetId())
	}
	return h.Sum64()
}

// Digests returns records by their digests.
func Digests(recs []*peerv1.LedgerRecord) map[uint64]*peerv1.LedgerRecord {
	m := make(map[uint64]*peerv1.LedgerRecord, len(recs))
	for _, rec := range recs {
		m[Digest(rec)] = rec
	}
	return m
}

// Records returns all records of a part but the marker of a complete log.
func (s *State) Records(part peerv1.Pull_Part) []*peerv1.LedgerRecord {
	var list []*peerv1.LedgerRecord
	if part != peerv1.Pull_TURNS {
		for _, p := range s.programs {
			for _, u := range p.usage {
				list = append(list, &peerv1.LedgerRecord{Body: &peerv1.LedgerRecord_Usage{Usage: u}})
			}
		}
	}
	if part != peerv1.Pull_USAGE {
		for _, t := range s.turns {
			list = append(list, &peerv1.LedgerRecord{Body: &peerv1.LedgerRecord_Turn{Turn: t.record}})
		}
	}
	return list
}

// Expire drops what is past its retention.
func (s *State) Expire(now time.Time) {
	for name, p := range s.programs {
		if now.After(p.until) {
			delete(s.programs, name)
		}
	}
	for id, t := range s.turns {
		if now.After(t.until) {
			delete(s.turns, id)
		}
	}
}

// MergeUsage returns the union of usage records of one program.
func MergeUsage(lists ...[]*peerv1.Usage) map[uint64]*peerv1.Usage {
	all := make(map[uint64]*peerv1.Usage)
	for _, list := range lists {
		for _, u := range list {
			all[u.GetAttempt()] = later(all[u.GetAttempt()], u)
		}
	}
	return all
}

// SpentTokens returns the tokens that ended turns have used. They are never given
// back.
func SpentTokens(records map[uint64]*peerv1.Usage) int {
	spent := 0
	for _, u := range records {
		if u.GetSettled() {
			spent += int(u.GetTokens())
		}
	}
	return spent
}

// FitsBudget reports whether the budget holds a turn of at most limit tokens beside
// all other records of the program; open records count with their limit.
func FitsBudget(records map[uint64]*peerv1.Usage, attempt uint64, limit, budget int) bool {
	used := 0
	for key, u := range records {
		if key != attempt {
			used += int(u.GetTokens())
		}
	}
	return used+limit <= budget
}
