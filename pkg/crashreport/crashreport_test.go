package crashreport

import (
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/identity"
	"github.com/yuccaspindle/yuccaspindle/pkg/poison"
)

var now = time.Unix(1_700_000_000, 0)

// replica is a set of evidence with its own clock.
type replica struct {
	poison.EvidenceSet
	clock time.Time
	sent  int // reports with evidence
}

func (h *replica) Report(complete bool) *peerv1.CrashReport {
	var list []poison.Evidence
	if complete {
		list = h.Evidence()
		h.sent++
	}
	return New(&h.EvidenceSet, list, h.clock)
}

func (h *replica) Merge(r *peerv1.CrashReport, _ string) { Merge(&h.EvidenceSet, r, h.clock) }

// request returns a request of a single caller.
func request(n uint64) identity.Request {
	return identity.Request{Content: identity.Content(n), Caller: 1}
}

func evidence(fp uint64, id string, g poison.Grade, at time.Time) poison.Evidence {
	return poison.Evidence{Request: request(fp), Run: poison.Run{ID: id, StartedUnixMs: 7, Life: 1}, Grade: g, At: at}
}

// Guards against processes that hold different evidence after an exchange, or compute
// different quarantines because their clocks differ.
func TestExchange(t *testing.T) {
	a, b := &replica{clock: now}, &replica{clock: now.Add(-time.Hour)}
	a.Add(evidence(1, "u1", poison.Confirmed, now.Add(-time.Second)), now)
	a.Add(evidence(1, "u2", poison.Presumed, now), now)
	b.Add(evidence(1, "u2", poison.Confirmed, b.clock), b.clock)
	b.Add(evidence(2, "u2", poison.Cleared, b.clock), b.clock)
	b.Merge(New(&a.EvidenceSet, a.Evidence(), now), "a")
	a.Merge(b.Report(true), "b")
	if a.Digest() != b.Digest() || a.Digest() == 0 {
		t.Errorf("evidence differs: %+v and %+v", a.Evidence(), b.Evidence())
	}
	for name, h := range map[string]*replica{"a": a, "b": b} {
		v := h.Restriction(request(1), h.clock)
		if left := v.Until.Sub(h.clock); v.Crashes != 2 || left < 29*time.Second || left > 30*time.Second {
			t.Errorf("%s: %d crashes, refused for %v", name, v.Crashes, left)
		}
	}
}

// Guards against replies that carry all evidence although the peer has it.
func TestReplyOmitsKnownEvidence(t *testing.T) {
	a, b := &replica{clock: now}, &replica{clock: now}
	e := evidence(1, "u1", poison.Confirmed, now)
	a.Add(e, now)
	r := HandleReport(b, New(&a.EvidenceSet, []poison.Evidence{e}, now), "a")
	if len(r.GetEvidence()) != 0 || b.Digest() != a.Digest() {
		t.Errorf("reply to a report with new evidence: %v", r)
	}
	b.Add(evidence(2, "u1", poison.Confirmed, now), now)
	if r = HandleReport(b, a.Report(false), "a"); len(r.GetEvidence()) != 2 {
		t.Errorf("reply to a peer with less evidence: %v", r)
	}
}

// Guards against accepting invalid evidence from a peer: an unknown grade, no
// fingerprint, or an age that overflows.
func TestInvalidReport(t *testing.T) {
	var b poison.EvidenceSet
	list := []*peerv1.CrashEvidence{
		{Fingerprint: 1, Upstream: "u", Grade: 9},
		{Fingerprint: 2, Upstream: "u"},
		{Upstream: "u", Grade: peerv1.CrashEvidence_CONFIRMED},
		{Fingerprint: 3, Upstream: "u", Grade: peerv1.CrashEvidence_CONFIRMED, AgeMs: 1 << 63},
	}
	if added := Merge(&b, &peerv1.CrashReport{Evidence: list}, now); len(added) != 0 || !b.NoSuspects() {
		t.Errorf("invalid evidence accepted: %+v", added)
	}
	Merge(&b, nil, now)
}
