package ledger

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

// part returns the usage record of an attempt of the stream 1 that brings events from first to
// last.
func part(attempt, first, last uint64) *peerv1.Usage {
	p := &peerv1.StreamPart{Stream: 1, First: first}
	for n := first; n <= last; n++ {
		p.Events = append(p.Events, &peerv1.StreamEvent{Number: n, Data: fmt.Append(nil, n, " of ", attempt)})
	}
	return &peerv1.Usage{Program: "p", Attempt: attempt, Tokens: 70, RetentionMs: 60_000, Part: p}
}

func writers(events []*peerv1.StreamEvent) string {
	var b bytes.Buffer
	for _, e := range events {
		fmt.Fprintf(&b, "%s,", e.GetData())
	}
	return b.String()
}

// Guards against a turn that is stored with events that its caller doesn't have, or without
// some that it has.
func TestStreamEvents(t *testing.T) {
	same := part(3, 4, 5)
	same.Part.Events = part(2, 4, 5).GetPart().GetEvents()
	gap := part(1, 1, 5)
	gap.Part.Events = slices.Delete(gap.Part.Events, 2, 3)
	for _, c := range []struct {
		name  string
		parts []*peerv1.Usage
		last  uint64
		want  string // empty: it is not certain
	}{
		{"one attempt", []*peerv1.Usage{part(1, 1, 3)}, 3, "1 of 1,2 of 1,3 of 1,"},
		{"recorded beyond what the caller has", []*peerv1.Usage{part(1, 1, 5)}, 2, "1 of 1,2 of 1,"},
		{"a later attempt replaces", []*peerv1.Usage{part(1, 1, 5), part(2, 4, 6)}, 5, "1 of 1,2 of 1,3 of 1,4 of 2,5 of 2,"},
		{"three attempts", []*peerv1.Usage{part(1, 1, 3), part(3, 4, 6), part(2, 3, 3)}, 4, "1 of 1,2 of 1,3 of 2,4 of 3,"},
		{"two that agree", []*peerv1.Usage{part(1, 1, 3), part(2, 4, 5), same}, 5, "1 of 1,2 of 1,3 of 1,4 of 2,5 of 2,"},
		{"two that differ", []*peerv1.Usage{part(1, 1, 3), part(2, 4, 5), part(3, 4, 5)}, 5, ""},
		{"two that differ later", []*peerv1.Usage{part(1, 1, 3), part(2, 4, 5), part(3, 4, 5)}, 3, "1 of 1,2 of 1,3 of 1,"},
		{"a later attempt lacks an event", []*peerv1.Usage{part(1, 1, 5), part(2, 4, 4)}, 5, ""},
		{"an event is missing", []*peerv1.Usage{gap}, 5, ""},
		{"the last one is missing", []*peerv1.Usage{part(1, 1, 3)}, 4, ""},
		{"the begin is missing", []*peerv1.Usage{part(2, 4, 5)}, 5, ""},
		{"nothing is recorded", nil, 3, ""},
	} {
		events, err := StreamEvents(MergeUsage(c.parts), 1, c.last)
		if got := writers(events); got != c.want || (err == nil) != (c.want != "") {
			t.Errorf("%s: %q, %v, want %q", c.name, got, err, c.want)
		}
	}
}

// Guards against events that are lost when the versions of a usage record arrive in any order,
// more than once, or after the attempt has been settled.
func TestEventsSurviveMerge(t *testing.T) {
	whole := part(1, 1, 6)
	var versions []*peerv1.Usage
	for i := 0; i < 6; i += 2 {
		versions = append(versions, WithEvents(whole, whole.GetPart().GetEvents()[i:i+2]))
	}
	versions = append(versions, &peerv1.Usage{Program: "p", Attempt: 1, Tokens: 28, Settled: true})
	seen := make(map[uint64]bool)
	for shift := range versions {
		order := slices.Concat(versions[shift:], versions[:shift], versions[:1])
		s := NewState()
		for _, u := range order {
			s.Apply(&peerv1.LedgerRecord{Body: &peerv1.LedgerRecord_Usage{Usage: u}}, startTime)
		}
		for _, u := range []*peerv1.Usage{s.Usage("p", 1, startTime)[0], MergeUsage(order)[1]} {
			if !u.GetSettled() || u.GetTokens() != 28 || !proto.Equal(u.GetPart(), whole.GetPart()) {
				t.Errorf("shifted by %d: %v", shift, u)
			}
			seen[Digest(&peerv1.LedgerRecord{Body: &peerv1.LedgerRecord_Usage{Usage: u}})] = true
		}
	}
	if len(seen) != 1 {
		t.Errorf("%d digests of one record", len(seen))
	}
	for _, u := range versions {
		if seen[Digest(&peerv1.LedgerRecord{Body: &peerv1.LedgerRecord_Usage{Usage: u}})] {
			t.Errorf("a part of the events has the digest of all: %v", u)
		}
	}
}

// Guards against events in replies about other streams of a program, and against a process that
// keeps all events of a program for as long as the program lives.
func TestEventsOfOtherStreams(t *testing.T) {
	s := NewState()
	s.Apply(&peerv1.LedgerRecord{Body: &peerv1.LedgerRecord_Usage{Usage: part(1, 1, 3)}}, startTime)
	for _, u := range s.Usage("p", 2, startTime) {
		if u.GetPart() != nil {
			t.Errorf("reply for another stream: %v", u)
		}
	}
	later := startTime.Add(retentionFactor*time.Minute + time.Second)
	s.Apply(usage(9, 10, true), later) // keeps the program
	s.Expire(later)
	if list := s.Usage("p", 1, later); len(list) != 2 || list[0].GetPart() != nil || list[1].GetPart() != nil {
		t.Errorf("after the retention time: %v, want two records without events", list)
	}
}

// Guards against a reply that no message holds.
func TestPartsInReplyAreBounded(t *testing.T) {
	var list []*peerv1.Usage
	for i := range uint64(4) {
		u := part(1+i, 1, 1)
		u.Part.Events[0].Data = make([]byte, maxPartsBytes/4)
		list = append(list, u)
	}
	for _, u := range boundParts(list) {
		if u.GetPart() != nil || u.GetTokens() != 70 {
			t.Errorf("%d bytes, want a record without events", proto.Size(u))
		}
	}
	if got := boundParts(list[:3]); got[0].GetPart() == nil {
		t.Error("events within the bound are left out")
	}
}
