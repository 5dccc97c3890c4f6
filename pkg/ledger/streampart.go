package ledger

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

// maxPartsBytes limits the recorded events in one reply. It holds the events of the largest
// turn and what a caller leaves of it by further attempts.
const maxPartsBytes = 6 << 20

// Errors returned by StreamEvents.
var (
	errEventNotRecorded = errors.New("an event of the stream is not recorded")
	errEventAmbiguous   = errors.New("two attempts brought different events with the same number")
)

// StreamEvents returns the events of a stream up to a number, as its caller has them, from
// the usage records of the program. It fails unless it is certain of each.
//
// An attempt that takes the stream up begins after the last event that its caller has, so from
// its first event on it replaces what earlier attempts brought. Which of two attempts that
// begin at the same event is the later one is not known; they must agree.
func StreamEvents(records map[uint64]*peerv1.Usage, stream, last uint64) ([]*peerv1.StreamEvent, error) {
	begin := records[stream].GetPart()
	if begin == nil || begin.GetStream() != stream {
		return nil, errors.Wrap(errEventNotRecorded, "begin of the stream")
	}
	var parts []*peerv1.StreamPart
	for _, u := range records {
		if p := u.GetPart(); p.GetStream() == stream && p.GetFirst() <= last {
			parts = append(parts, p)
		}
	}
	slices.SortFunc(parts, func(a, b *peerv1.StreamPart) int { return cmp.Compare(a.GetFirst(), b.GetFirst()) })
	var events []*peerv1.StreamEvent
	for number := begin.GetFirst(); number <= last; number++ {
		e, err := eventOf(parts, number)
		if err != nil {
			return nil, errors.Wrapf(err, "event %d", number)
		}
		events = append(events, e)
	}
	return events, nil
}

// eventOf returns an event by its number from the parts of a stream, which are sorted by
// their first events.
func eventOf(parts []*peerv1.StreamPart, number uint64) (*peerv1.StreamEvent, error) {
	var found *peerv1.StreamEvent
	first := uint64(0) // of the latest parts that begin at the event or before
	for _, p := range parts {
		if p.GetFirst() > number {
			break
		}
		if p.GetFirst() > first {
			found, first = nil, p.GetFirst()
		}
		i, ok := slices.BinarySearchFunc(p.GetEvents(), number, func(e *peerv1.StreamEvent, n uint64) int { return cmp.Compare(e.GetNumber(), n) })
		if !ok {
			continue
		}
		e := p.GetEvents()[i]
		if found != nil && !proto.Equal(found, e) {
			return nil, errEventAmbiguous
		}
		found = e
	}
	if found == nil {
		return nil, errEventNotRecorded
	}
	return found, nil
}

// mergeParts returns the events of two versions of one attempt's part; nil: neither has any.
func mergeParts(a, b *peerv1.StreamPart) *peerv1.StreamPart {
	switch {
	case b == nil:
		return a
	case a == nil:
		return b
	}
	return partWith(a, mergeEvents(a.GetEvents(), b.GetEvents()))
}

// partWith returns a copy of a part with other events.
func partWith(p *peerv1.StreamPart, events []*peerv1.StreamEvent) *peerv1.StreamPart {
	return &peerv1.StreamPart{Stream: p.GetStream(), Workspace: p.GetWorkspace(), First: p.GetFirst(), Events: events}
}

// mergeEvents returns the events of two lists by number.
func mergeEvents(a, b []*peerv1.StreamEvent) []*peerv1.StreamEvent {
	if len(a) == 0 || len(b) > 0 && b[0].GetNumber() < a[0].GetNumber() {
		a, b = b, a
	}
	if len(b) == 0 || b[0].GetNumber() > a[len(a)-1].GetNumber() {
		return slices.Concat(a, b)
	}
	byNumber := make(map[uint64]*peerv1.StreamEvent, len(a)+len(b))
	for _, e := range slices.Concat(b, a) {
		byNumber[e.GetNumber()] = e
	}
	return slices.SortedFunc(maps.Values(byNumber), func(x, y *peerv1.StreamEvent) int { return cmp.Compare(x.GetNumber(), y.GetNumber()) })
}

// withoutPart returns a copy of a usage record without its events, which are not copied.
func withoutPart(u *peerv1.Usage) *peerv1.Usage {
	return &peerv1.Usage{
		Program: u.GetProgram(), Attempt: u.GetAttempt(), Tokens: u.GetTokens(), Settled: u.GetSettled(),
		RetentionMs: u.GetRetentionMs(), Origin: u.GetOrigin(), Leased: u.GetLeased(), Revision: u.GetRevision(),
	}
}

// WithEvents returns a copy of a usage record whose part of a stream has the given events.
func WithEvents(u *peerv1.Usage, events []*peerv1.StreamEvent) *peerv1.Usage {
	c := withoutPart(u)
	c.Part = partWith(u.GetPart(), events)
	return c
}

// boundParts returns usage records without events if these exceed maxPartsBytes together. The
// stream can't be taken up then.
func boundParts(list []*peerv1.Usage) []*peerv1.Usage {
	size := 0
	for _, u := range list {
		size += proto.Size(u.GetPart())
	}
	if size <= maxPartsBytes {
		return list
	}
	bounded := make([]*peerv1.Usage, 0, len(list))
	for _, u := range list {
		bounded = append(bounded, withoutPart(u))
	}
	return bounded
}

// hashPart adds to a hash which events a part has.
func hashPart(h *xxhash.Digest, p *peerv1.StreamPart) {
	if p == nil {
		return
	}
	b := binary.LittleEndian.AppendUint64(nil, p.GetStream())
	for _, e := range p.GetEvents() {
		b = binary.LittleEndian.AppendUint64(b, e.GetNumber())
	}
	_, _ = h.Write(b)
}

// removeParts removes the recorded events whose retention time has passed, or all if now is nil,
// and returns the memory that they had. The rest of the records stays as long as the program.
func (p *programUsage) removeParts(now *time.Time) (bytes int64) {
	for attempt, expires := range p.partsExpire {
		if now != nil && !now.After(expires) {
			continue
		}
		u := p.usage[attempt]
		bytes += partBytes(u.GetPart())
		p.usage[attempt] = withoutPart(u)
		delete(p.partsExpire, attempt)
	}
	return bytes
}
