package ledger

import (
	"slices"
	"sync"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

const (
	// recordOverhead and eventOverhead are the memory that a turn and an event take besides
	// their content, in bytes.
	recordOverhead = 512
	eventOverhead  = 128
	// fullTime is how long a member that had no memory for a turn counts as full. Memory
	// becomes free when the retention time of turns ends, some every few seconds.
	fullTime = time.Second
)

// turnBytes returns the memory that a turn takes in a state.
func turnBytes(t *peerv1.TurnRecord) int64 {
	return int64(len(t.GetInput()) + len(t.GetOutput()) + recordOverhead)
}

// partBytes returns the memory that recorded events take in a state.
func partBytes(p *peerv1.StreamPart) int64 {
	bytes := int64(0)
	for _, e := range p.GetEvents() {
		bytes += int64(len(e.GetData()) + eventOverhead)
	}
	return bytes
}

// addsMemory reports whether a request adds turns or events, which take the memory of a
// storage process.
func addsMemory(req *peerv1.LedgerRequest) bool {
	return slices.ContainsFunc(req.GetWrite().GetRecords(), func(rec *peerv1.LedgerRecord) bool {
		return rec.GetTurn() != nil || rec.GetUsage().GetPart() != nil
	})
}

// LimitMemory limits the turns and events that the store accepts from entries, in bytes; 0: no
// limit. Usage records are small and are always stored, and so is what the process copies from
// other members.
func (s *Store) LimitMemory(bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bytesLimit = bytes
}

// Full reports whether the store has no memory for further turns and events.
func (s *Store) Full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	full := s.bytesLimit > 0 && s.state.bytes+s.pendingBytes >= s.bytesLimit
	if full != s.full {
		s.full = full
		s.logger.Warn("memory for turns", "full", full, "bytes", s.state.bytes, "pending_bytes", s.pendingBytes, "limit_bytes", s.bytesLimit)
	}
	return full
}

// addPending adds to the size of the writes that wait for the disk.
func (s *Store) addPending(bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingBytes += bytes
}

// fullMembers holds when members had no memory for a turn or for events.
type fullMembers struct {
	mu    sync.Mutex
	since map[string]time.Time // by name
}

// note records which members have replied that they are full, and returns their number.
func (f *fullMembers) note(replies []memberReply, now time.Time) int {
	names := namesWith(replies, peerv1.LedgerReply_FULL)
	if len(names) == 0 {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.since == nil {
		f.since = make(map[string]time.Time)
	}
	for _, name := range names {
		f.since[name] = now
	}
	return len(names)
}

// contains reports whether a member had no memory a moment ago.
func (f *fullMembers) contains(name string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	since, ok := f.since[name]
	if ok && now.Sub(since) > fullTime {
		delete(f.since, name)
		return false
	}
	return ok
}

// none reports whether no member was full lately.
func (f *fullMembers) none() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.since) == 0
}

// Full reports whether a turn of a program can't be stored, as far as is known: too many members
// of its replica group had no memory a moment ago.
func (c *Client) Full(program string) bool {
	if c.fullMembers.none() {
		return false
	}
	group, now := ReplicaGroup(c.directory.Storage(), program), time.Now()
	full := 0
	for _, m := range group {
		if c.fullMembers.contains(m.Name, now) {
			full++
		}
	}
	return full > 0 && full > len(group)-c.quorum(len(group))
}
