package peerstate

import (
	"strings"
	"testing"
)

// Guards against all processes watching the store at once after an outage.
func TestWatchDecision(t *testing.T) {
	for _, c := range []struct {
		name     string
		hasState bool
		probes   string // successive probes of the store, y for a success
		watch    string // decision after each probe
	}{
		{"followed entry ended", true, "y", "y"},
		{"store was unavailable", true, "nynyyy", "nnnnny"},
		{"deployment starts", false, "yyy", "nny"},
	} {
		var d watchDecision
		for i := range c.probes {
			if watch := d.recordProbe(c.probes[i] == 'y', c.hasState); watch != (c.watch[i] == 'y') {
				t.Errorf("%s: step %d: watch %v", c.name, i, watch)
			}
		}
	}
}

// Guards against a process that alternates between an entry that it was redirected to
// and a nearer one that redirects to it. This caused an incident at the large site, with
// 21,224 short feeds in 64 s.
func TestSearchSettles(t *testing.T) {
	distance := func(address string) int { return strings.Index("near far", address) }
	first, others := []string{"near", "far"}, []string{"other"}
	s := newSenderSearch()
	s.recordRedirect("far", []string{"relay"})
	want := func(address string, noRedirect bool) {
		t.Helper()
		if got, gotNoRedirect := s.next(first, others); got != address || gotNoRedirect != noRedirect {
			t.Fatalf("next is %q, no redirect %v, want %q, %v", got, gotNoRedirect, address, noRedirect)
		}
	}
	far := func(string) int { return 9 }
	near := func(address string) int {
		if address == "relay" {
			return 9
		}
		return distance(address)
	}
	want("relay", false)
	if !s.hasNearer("relay", first, near) || s.hasNearer("relay", first, far) {
		t.Fatal("a nearer entry is not found, or one that is not nearer is")
	}
	s.recordMove()
	want("near", false)
	s.recordRedirect("near", []string{"relay"})
	want("relay", false)
	if s.hasNearer("relay", first, near) {
		t.Error("moves back to an entry that redirected before")
	}
	s.failed["relay"] = true
	want("other", false)
	s.failed["other"] = true
	want("far", true)
	want("near", true)
	want("", false)
	s = newSenderSearch()
	for range maxMoves {
		s.recordMove()
	}
	if s.hasNearer("relay", first, near) {
		t.Error("moves more than maxMoves times")
	}
}
