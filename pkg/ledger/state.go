package ledger

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

// defaultRetention applies to records without a retention time.
const defaultRetention = 60 * time.Second

// retentionFactor extends the retention time of a record. The time is counted
// from the end of a turn's response, and a program that was paused may continue
// within the retention time of its last turn.
const retentionFactor = 2

// ReservationLease is how long a leased reservation counts after a member has stored it. An
// entry that still has not passed the turn on then must reserve again.
const ReservationLease = 1500 * time.Millisecond

// maxChainTurns limits the length of a chain, in case its parents form a cycle.
const maxChainTurns = 4096

// State holds the records of one storage process. It is not safe for
// concurrent use.
type State struct {
	programs map[string]*programUsage
	turns    map[string]*turn
	complete bool
	// completeFile is the number of the file with the mark of a complete log.
	completeFile int
	// kept is set if the state has all records that its process ever acknowledged. Unlike
	// complete, it does not say that the process counts for reads.
	kept bool
	// keptFile is the number of the file with the mark of that.
	keptFile int
	// file is the number of the file with the records that are applied next.
	file int
	// bytes is the memory of all turns and recorded events.
	bytes int64
	// usageComplete is set if the state has all usage records that the process ever
	// acknowledged. Turns may still be missing.
	usageComplete bool
}

// programUsage holds the usage records of one program by attempt key.
type programUsage struct {
	usage map[uint64]*peerv1.Usage
	// leaseEnds holds the ends of the leases of leased records.
	leaseEnds map[uint64]time.Time
	// partsExpire holds when the recorded events of an attempt are removed, which take more
	// memory than the rest of its record.
	partsExpire map[uint64]time.Time
	expires     time.Time
	file        int // the oldest one with records of the program
}

// turn is a turn record with its expiry time.
type turn struct {
	record  *peerv1.TurnRecord
	expires time.Time
	file    int // the newest one with the record
}

// NewState returns an empty state.
func NewState() *State {
	return &State{programs: make(map[string]*programUsage), turns: make(map[string]*turn)}
}

// AttemptKey returns the attempt key that usage records have for a request id.
func AttemptKey(requestID string) uint64 { return xxhash.Sum64String(requestID) }

// Apply adds a record. Applying a record again or applying an older version of it
// has no effect on the content.
func (s *State) Apply(rec *peerv1.LedgerRecord, now time.Time) {
	switch b := rec.GetBody().(type) {
	case *peerv1.LedgerRecord_Usage:
		s.applyUsage(b.Usage, now)
	case *peerv1.LedgerRecord_Turn:
		expires := now.Add(retention(b.Turn.GetRetentionMs()))
		if old := s.turns[b.Turn.GetId()]; old != nil {
			s.bytes -= turnBytes(old.record)
		}
		s.bytes += turnBytes(b.Turn)
		s.turns[b.Turn.GetId()] = &turn{record: b.Turn, expires: expires, file: s.file}
		// All turns of a chain are kept as long as its last one.
		id := b.Turn.GetParent()
		for range maxChainTurns {
			t := s.turns[id]
			if t == nil || !t.expires.Before(expires) {
				break
			}
			t.expires = expires
			id = t.record.GetParent()
		}
	case *peerv1.LedgerRecord_Synced:
		s.complete, s.completeFile = true, s.file
	case *peerv1.LedgerRecord_Joined:
		s.kept, s.keptFile = true, s.file
	}
}

func (s *State) applyUsage(u *peerv1.Usage, now time.Time) {
	p := s.programs[u.GetProgram()]
	if p == nil {
		p = &programUsage{
			usage: make(map[uint64]*peerv1.Usage), leaseEnds: make(map[uint64]time.Time),
			partsExpire: make(map[uint64]time.Time), file: s.file,
		}
		s.programs[u.GetProgram()] = p
	}
	p.expires = now.Add(retention(u.GetRetentionMs()))
	old := p.usage[u.GetAttempt()]
	merged := newerUsage(old, u)
	s.bytes += partBytes(merged.GetPart()) - partBytes(old.GetPart())
	p.usage[u.GetAttempt()] = merged
	if u.GetPart() != nil {
		p.partsExpire[u.GetAttempt()] = p.expires
	}
	if merged.GetLeased() {
		p.leaseEnds[u.GetAttempt()] = now.Add(ReservationLease)
	} else {
		delete(p.leaseEnds, u.GetAttempt())
	}
}

// leaseOver reports whether an attempt has a leased record whose lease has ended.
func (p *programUsage) leaseOver(attempt uint64, now time.Time) bool {
	end, leased := p.leaseEnds[attempt]
	return leased && now.After(end)
}

// newerUsage merges two versions of a usage record: the newer one, with the origin that
// has the higher revision and the events of both.
func newerUsage(a, b *peerv1.Usage) *peerv1.Usage {
	newer, older := b, a
	if newerTokens(a, b) == a {
		newer, older = a, b
	}
	o, part := newerOrigin(newer.GetOrigin(), older.GetOrigin()), mergeParts(newer.GetPart(), older.GetPart())
	if o == newer.GetOrigin() && part == newer.GetPart() {
		return newer
	}
	merged := withoutPart(newer)
	merged.Origin, merged.Part = o, part
	return merged
}

// newerOrigin returns the one of two origins that has the higher revision, the first if both
// have the same.
func newerOrigin(a, b *peerv1.Origin) *peerv1.Origin {
	if b == nil || a != nil && a.GetRevision() >= b.GetRevision() {
		return a
	}
	return b
}

// newerTokens returns the version of a usage record that replaces the other, as far as
// its tokens are concerned. A settled version replaces an open one, and an open one a
// leased one; of two leased ones the later revision wins, otherwise the one with more tokens.
func newerTokens(a, b *peerv1.Usage) *peerv1.Usage {
	switch {
	case a == nil:
		return b
	case a.GetSettled() != b.GetSettled():
		if a.GetSettled() {
			return a
		}
		return b
	case a.GetLeased() != b.GetLeased():
		if b.GetLeased() {
			return a
		}
		return b
	case a.GetLeased() && a.GetRevision() != b.GetRevision():
		if a.GetRevision() > b.GetRevision() {
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

// Complete reports whether the state has all records that its process ever
// acknowledged.
func (s *State) Complete() bool { return s.complete }

// Kept reports whether the state has all records that its process ever acknowledged, also if
// it does not count for reads.
func (s *State) Kept() bool { return s.complete || s.kept }

// UsageComplete reports whether the state has all usage records that its process
// ever acknowledged.
func (s *State) UsageComplete() bool { return s.complete || s.usageComplete }

// Usage returns the usage records of a program. Settled records with zero tokens
// are omitted, since a program that loops creates hundreds of them, and so are leased
// ones whose lease has ended. Only the record of the attempt that began a stream is complete,
// with its origin, and those with parts of that stream; 0: none is. Records that are not part
// of the state yet may be added.
func (s *State) Usage(name string, stream uint64, now time.Time, added ...*peerv1.Usage) []*peerv1.Usage {
	usage := s.countedUsage(name, now)
	if len(added) > 0 {
		usage = MergeUsage(slices.Collect(maps.Values(usage)), added)
	}
	list := make([]*peerv1.Usage, 0, len(usage))
	for _, u := range usage {
		if stream != 0 && (u.GetAttempt() == stream || u.GetPart().GetStream() == stream) {
			list = append(list, u)
			continue
		}
		if (u.GetSettled() || u.GetLeased()) && u.GetTokens() == 0 {
			continue
		}
		list = append(list, &peerv1.Usage{Attempt: u.GetAttempt(), Tokens: u.GetTokens(), Settled: u.GetSettled(), Leased: u.GetLeased(), Revision: u.GetRevision()})
	}
	return list
}

// countedUsage returns the usage records of a program without the tokens of leased ones whose
// lease has ended. The caller must not change the result.
func (s *State) countedUsage(name string, now time.Time) map[uint64]*peerv1.Usage {
	p := s.programs[name]
	if p == nil {
		return nil
	}
	over := func(attempt uint64) bool { return p.leaseOver(attempt, now) }
	if !slices.ContainsFunc(slices.Collect(maps.Keys(p.leaseEnds)), over) {
		return p.usage
	}
	usage := maps.Clone(p.usage)
	for attempt := range p.leaseEnds {
		if over(attempt) {
			ended := proto.CloneOf(usage[attempt])
			ended.Tokens = 0
			usage[attempt] = ended
		}
	}
	return usage
}

// Chain returns a turn and its ancestors, oldest first, up to the first ancestor
// that is not in this state. It is empty if the turn itself is missing. Other
// members may have the missing turns, since each turn is stored at a majority of
// its own.
func (s *State) Chain(id string) []*peerv1.TurnRecord {
	var chain []*peerv1.TurnRecord
	for range maxChainTurns {
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

// lackedTurn returns the latest turn before the given one that is not in this state; false:
// all are, or the given one is not.
func (s *State) lackedTurn(id string) (string, bool) {
	for range maxChainTurns {
		t := s.turns[id]
		if t == nil || t.record.GetParent() == "" {
			return "", false
		}
		id = t.record.GetParent()
		if s.turns[id] == nil {
			return id, true
		}
	}
	return "", false
}

func reverse(list []*peerv1.TurnRecord) {
	for i, j := 0, len(list)-1; i < j; i, j = i+1, j-1 {
		list[i], list[j] = list[j], list[i]
	}
}

// Digest returns a hash that identifies a record. Two versions of a usage record
// have different digests.
func Digest(rec *peerv1.LedgerRecord) uint64 {
	h := xxhash.New()
	switch b := rec.GetBody().(type) {
	case *peerv1.LedgerRecord_Usage:
		u := b.Usage
		_, _ = h.WriteString(u.GetProgram())
		var tail [13]byte
		binary.LittleEndian.PutUint64(tail[:], u.GetAttempt())
		binary.LittleEndian.PutUint32(tail[8:], u.GetTokens())
		switch {
		case u.GetSettled():
			tail[12] = 1
		case u.GetLeased():
			tail[12] = 2
		}
		_, _ = h.Write(tail[:])
		if u.GetLeased() && u.GetRevision() > 0 {
			_, _ = h.Write(binary.LittleEndian.AppendUint32(nil, u.GetRevision()))
		}
		if o := u.GetOrigin(); o != nil {
			_, _ = h.Write(binary.LittleEndian.AppendUint32(nil, o.GetRevision()))
			_, _ = h.WriteString(o.GetService() + "\x00" + o.GetVersion())
		}
		hashPart(h, u.GetPart())
	case *peerv1.LedgerRecord_Turn:
		return turnDigest(b.Turn.GetId())
	}
	return h.Sum64()
}

// turnDigest returns the digest of a turn.
func turnDigest(id string) uint64 { return xxhash.Sum64String(id) }

// Digests returns the records indexed by their digests.
func Digests(recs []*peerv1.LedgerRecord) map[uint64]*peerv1.LedgerRecord {
	m := make(map[uint64]*peerv1.LedgerRecord, len(recs))
	for _, rec := range recs {
		m[Digest(rec)] = rec
	}
	return m
}

// count returns the number of records.
func (s *State) count() int {
	n := len(s.turns)
	for _, p := range s.programs {
		n += len(p.usage)
	}
	return n
}

// Records returns all usage records, all turns or both. The record that marks a
// complete log is not included.
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

// Expire removes records whose retention time has passed.
func (s *State) Expire(now time.Time) {
	for name, p := range s.programs {
		if now.After(p.expires) {
			s.bytes -= p.removeParts(nil)
			delete(s.programs, name)
			continue
		}
		s.bytes -= p.removeParts(&now)
	}
	for id, t := range s.turns {
		if now.After(t.expires) {
			s.bytes -= turnBytes(t.record)
			delete(s.turns, id)
		}
	}
}

// MergeUsage returns the union of several lists of usage records of one program,
// by attempt key. Of each record it keeps the newest version.
func MergeUsage(lists ...[]*peerv1.Usage) map[uint64]*peerv1.Usage {
	all := make(map[uint64]*peerv1.Usage)
	for _, list := range lists {
		for _, u := range list {
			all[u.GetAttempt()] = newerUsage(all[u.GetAttempt()], u)
		}
	}
	return all
}
