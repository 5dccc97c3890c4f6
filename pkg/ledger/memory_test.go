package ledger

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

// Guards against a process whose memory for turns fills up although its records are gone: turns
// that are written again, events that arrive in parts, and what expires.
func TestMemoryOfExpiredRecordsIsFree(t *testing.T) {
	s := NewState()
	for range 2 {
		for _, rec := range []*peerv1.LedgerRecord{largeTurn("a", "", 1000), largeTurn("b", "a", 2000), usage(7, 10, true)} {
			s.Apply(rec, startTime)
		}
		whole := part(1, 1, 6)
		for i := range whole.GetPart().GetEvents() {
			u := WithEvents(whole, whole.GetPart().GetEvents()[i:i+1])
			s.Apply(&peerv1.LedgerRecord{Body: &peerv1.LedgerRecord_Usage{Usage: u}}, startTime)
		}
	}
	want := turnBytes(s.turns["a"].record) + turnBytes(s.turns["b"].record) + partBytes(part(1, 1, 6).GetPart())
	if s.bytes != want {
		t.Errorf("%d bytes, want %d", s.bytes, want)
	}
	s.Expire(startTime.Add(time.Hour))
	if s.bytes != 0 || s.count() != 0 {
		t.Errorf("%d bytes of %d records after all have expired", s.bytes, s.count())
	}
	s.Apply(&peerv1.LedgerRecord{Body: &peerv1.LedgerRecord_Usage{Usage: part(1, 1, 6)}}, startTime)
	s.Apply(usage(9, 10, true), startTime.Add(3*time.Minute)) // keeps the program
	s.Expire(startTime.Add(3 * time.Minute))
	if s.bytes != 0 {
		t.Errorf("%d bytes after the events have expired", s.bytes)
	}
}

// Guards against a storage process that accepts turns beyond its memory, and against one that
// refuses budgets with them; against turns that wait for memory until their time is over, and
// against members that are taken for full after they are not.
func TestFullMembers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	for _, s := range c.stores[1:] {
		s.LimitMemory(1)
	}
	c.writeAll(usage(1, 10, false))
	for _, s := range c.stores {
		if err := s.Write(longContext(t), []*peerv1.LedgerRecord{turnRecord("first", "")}); err != nil {
			t.Fatal(err)
		}
	}
	if c.client.Full("p") {
		t.Error("the members are full before any was asked in vain")
	}
	began := time.Now()
	err := c.client.Write(longContext(t), "p", []*peerv1.LedgerRecord{turnRecord("second", "first")})
	if !errors.Is(err, ErrFull) || time.Since(began) > 5*time.Second {
		t.Errorf("%v after %v, want %v at once", err, time.Since(began), ErrFull)
	}
	if !c.client.Full("p") {
		t.Error("it is not known that the members are full")
	}
	c.writeAll(usage(2, 10, false))
	c.stores[1].LimitMemory(0)
	time.Sleep(fullTime)
	if c.client.Full("p") {
		t.Error("the members are taken for full for good")
	}
	c.writeAll(turnRecord("third", "first")) // at two of three
}
