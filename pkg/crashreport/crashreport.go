// Package crashreport exchanges evidence against requests that crash upstreams
// between processes.
package crashreport

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/identity"
	"github.com/yuccaspindle/yuccaspindle/pkg/poison"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

// Replica is the set of evidence that one process holds. Its methods are safe for
// concurrent use.
type Replica interface {
	// Report returns a report with the digest of all evidence and, if complete is set,
	// the evidence itself.
	Report(complete bool) *peerv1.CrashReport
	// Merge adds the evidence of a report from a peer.
	Merge(r *peerv1.CrashReport, peer string)
}

// HandleReport merges a peer's report and returns the reply. The reply contains all
// evidence if the digests differ, and only the digest otherwise.
func HandleReport(local Replica, r *peerv1.CrashReport, peer string) *peerv1.CrashReport {
	local.Merge(r, peer)
	own := local.Report(false)
	if own.GetDigest() == r.GetDigest() {
		return own
	}
	return local.Report(true)
}

// Exchange sends the report first to the process at an address and merges the reply. If
// the digests still differ, it sends all evidence. It reports whether both processes
// hold the same evidence afterwards.
func Exchange(ctx context.Context, t *transport.Transport, address string, local Replica, first *peerv1.CrashReport) (equal bool, err error) {
	reply, err := sendReport(ctx, t, address, first)
	if err != nil {
		return false, err
	}
	local.Merge(reply, address)
	if local.Report(false).GetDigest() == reply.GetDigest() {
		return true, nil
	}
	if reply, err = sendReport(ctx, t, address, local.Report(true)); err != nil {
		return false, err
	}
	local.Merge(reply, address)
	return local.Report(false).GetDigest() == reply.GetDigest(), nil
}

func sendReport(ctx context.Context, t *transport.Transport, address string, r *peerv1.CrashReport) (*peerv1.CrashReport, error) {
	m, err := t.Ask(ctx, address, Envelope(r))
	if err != nil {
		return nil, errors.Wrapf(err, "exchange crash evidence with %s", address)
	}
	reply := m.GetCrashReport()
	if reply == nil {
		return nil, errors.Errorf("exchange crash evidence with %s: unexpected reply of type %T", address, m.GetBody())
	}
	return reply, nil
}

var gradeFromWire = map[peerv1.CrashEvidence_Grade]poison.Grade{
	peerv1.CrashEvidence_PRESUMED:  poison.Presumed,
	peerv1.CrashEvidence_CONFIRMED: poison.Confirmed,
	peerv1.CrashEvidence_CLEARED:   poison.Cleared,
}

var gradeToWire = map[poison.Grade]peerv1.CrashEvidence_Grade{
	poison.Presumed:  peerv1.CrashEvidence_PRESUMED,
	poison.Confirmed: peerv1.CrashEvidence_CONFIRMED,
	poison.Cleared:   peerv1.CrashEvidence_CLEARED,
}

// Envelope wraps a report in a message.
func Envelope(r *peerv1.CrashReport) *peerv1.Envelope {
	return &peerv1.Envelope{Body: &peerv1.Envelope_CrashReport{CrashReport: r}}
}

// New returns a report with the listed evidence and the digest of the set b.
func New(b *poison.EvidenceSet, list []poison.Evidence, now time.Time) *peerv1.CrashReport {
	r := &peerv1.CrashReport{Digest: b.Digest()}
	for _, e := range list {
		r.Evidence = append(r.Evidence, &peerv1.CrashEvidence{
			Fingerprint: uint64(e.Request.Content), Caller: uint64(e.Request.Caller), Upstream: e.Run.ID, BornUnixMs: e.Run.StartedUnixMs, Life: e.Run.Life,
			Grade: gradeToWire[e.Grade], AgeMs: uint64(max(now.Sub(e.At), 0).Milliseconds()),
		})
	}
	return r
}

// Merge adds the evidence of a report to a set and returns what was new.
func Merge(b *poison.EvidenceSet, r *peerv1.CrashReport, now time.Time) []poison.Evidence {
	var added []poison.Evidence
	for _, w := range r.GetEvidence() {
		e := poison.Evidence{
			Request: identity.Request{Content: identity.Content(w.GetFingerprint()), Caller: identity.Caller(w.GetCaller())},
			Run:     poison.Run{ID: w.GetUpstream(), StartedUnixMs: w.GetBornUnixMs(), Life: w.GetLife()},
			Grade:   gradeFromWire[w.GetGrade()],
			At:      now.Add(-age(w)),
		}
		if b.Add(e, now) {
			added = append(added, e)
		}
	}
	return added
}

// maxAge bounds the age that a peer may report, to avoid an overflow.
const maxAge = 1000 * time.Hour

func age(w *peerv1.CrashEvidence) time.Duration {
	if w.GetAgeMs() > uint64(maxAge.Milliseconds()) {
		return maxAge
	}
	return time.Duration(w.GetAgeMs()) * time.Millisecond
}
