// Package crashreport puts evidence against requests that crash upstreams into
// messages between processes and takes it from them.
package crashreport

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/poison"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

// Replica is the evidence of one process. Its methods may be called from several
// goroutines.
type Replica interface {
	// Report returns a report with all evidence, or with its digest only.
	Report(complete bool) *peerv1.CrashReport
	// Merge takes over the evidence of a report.
	Merge(r *peerv1.CrashReport, peer string)
}

// HandleReport takes over a peer's report and returns the answer: all evidence, if the
// peer does not know the same.
func HandleReport(h Replica, r *peerv1.CrashReport, peer string) *peerv1.CrashReport {
	h.Merge(r, peer)
	own := h.Report(false)
	if own.GetDigest() == r.GetDigest() {
		return own
	}
	return h.Report(true)
}

// Exchange sends a report to the process at an address and makes both know the
// same. It returns whether they do.
func Exchange(ctx context.Context, t *transport.Transport, address string, h Replica, first *peerv1.CrashReport) (same bool, err error) {
	reply, err := ask(ctx, t, address, first)
	if err != nil {
		return false, err
	}
	h.Merge(reply, address)
	if h.Report(false).GetDigest() == reply.GetDigest() {
		return true, nil
	}
	if reply, err = ask(ctx, t, address, h.Report(true)); err != nil {
		return false, err
	}
	h.Merge(reply, address)
	return h.Report(false).GetDigest() == reply.GetDigest(), nil
}

func ask(ctx context.Context, t *transport.Transport, address string, r *peerv1.CrashReport) (*peerv1.CrashReport, error) {
	m, err := t.Ask(ctx, address, Envelope(r))
	if err != nil {
		return nil, errors.Wrapf(err, "exchange evidence of crashes with %s", address)
	}
	reply := m.GetCrashReport()
	if reply == nil {
		return nil, errors.Errorf("exchange evidence of crashes with %s: %T instead of a report", address, m.GetBody())
	}
	return reply, nil
}

var gradeOf = map[peerv1.CrashEvidence_Grade]poison.Grade{
	peerv1.CrashEvidence_PRESUMED:  poison.Presumed,
	peerv1.CrashEvidence_CONFIRMED: poison.Confirmed,
	peerv1.CrashEvidence_CLEARED:   poison.Cleared,
}

var wireGrade = map[poison.Grade]peerv1.CrashEvidence_Grade{
	poison.Presumed:  peerv1.CrashEvidence_PRESUMED,
	poison.Confirmed: peerv1.CrashEvidence_CONFIRMED,
	poison.Cleared:   peerv1.CrashEvidence_CLEARED,
}

// Envelope returns a message with a report.
func Envelope(r *peerv1.CrashReport) *peerv1.Envelope {
	return &peerv1.Envelope{Body: &peerv1.Envelope_CrashReport{CrashReport: r}}
}

// New returns a report with evidence, of a process that knows what is in the book.
func New(b *poison.EvidenceSet, list []poison.Evidence, now time.Time) *peerv1.CrashReport {
	r := &peerv1.CrashReport{Digest: b.Digest()}
	for _, e := range list {
		r.Evidence = append(r.Evidence, &peerv1.CrashEvidence{
			Fingerprint: e.Fingerprint, Upstream: e.Run.ID, BornUnixMs: e.Run.StartedUnixMs, Life: e.Run.Life,
			Grade: wireGrade[e.Grade], AgeMs: uint64(max(now.Sub(e.At), 0).Milliseconds()),
		})
	}
	return r
}

// Merge adds the evidence of a report to a book and returns what was new.
func Merge(b *poison.EvidenceSet, r *peerv1.CrashReport, now time.Time) []poison.Evidence {
	var added []poison.Evidence
	for _, w := range r.GetEvidence() {
		e := poison.Evidence{
			Fingerprint: w.GetFingerprint(),
			Run:         poison.Run{ID: w.GetUpstream(), StartedUnixMs: w.GetBornUnixMs(), Life: w.GetLife()},
			Grade:       gradeOf[w.GetGrade()],
			At:          now.Add(-age(w)),
		}
		if b.Add(e, now) {
			added = append(added, e)
		}
	}
	return added
}

// maxAge bounds the age that a peer may state, against an overflow.
const maxAge = 1000 * time.Hour

func age(w *peerv1.CrashEvidence) time.Duration {
	if w.GetAgeMs() > uint64(maxAge.Milliseconds()) {
		return maxAge
	}
	return time.Duration(w.GetAgeMs()) * time.Millisecond
}
