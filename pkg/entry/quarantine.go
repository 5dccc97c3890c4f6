package entry

import (
	"context"
	"sync"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

// quarantineList holds the quarantines that this entry has shared with others or
// received from them, so that they can be sent to entries that connect later. A
// quarantine refuses requests that are suspected of crashing upstreams.
type quarantineList struct {
	mu            sync.Mutex
	byFingerprint map[uint64]core.ShareQuarantine // by fingerprint
}

func newQuarantineList() *quarantineList {
	return &quarantineList{byFingerprint: make(map[uint64]core.ShareQuarantine)}
}

// add adds or replaces a quarantine, or removes it if it was released.
func (l *quarantineList) add(e core.ShareQuarantine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.Released {
		delete(l.byFingerprint, e.Fingerprint)
		return
	}
	l.byFingerprint[e.Fingerprint] = e
}

// active returns the quarantines that have not expired and removes the others.
func (l *quarantineList) active(now time.Time) []core.ShareQuarantine {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []core.ShareQuarantine
	for fp, e := range l.byFingerprint {
		if !e.Until.IsZero() && e.Until.Before(now) {
			delete(l.byFingerprint, fp)
			continue
		}
		out = append(out, e)
	}
	return out
}

func quarantineMessage(e core.ShareQuarantine) *peerv1.Envelope {
	return &peerv1.Envelope{Body: &peerv1.Envelope_Quarantine{Quarantine: &peerv1.Quarantine{
		Fingerprint: e.Fingerprint, Count: int64(e.Count), UntilUnixMs: e.Until.UnixMilli(), Released: e.Released,
		Upstream: string(e.Upstream), Incarnation: e.Incarnation,
	}}}
}

// shareQuarantine sends a quarantine, or its release, to all connected entries.
func (n *Entry) shareQuarantine(e core.ShareQuarantine) {
	n.quarantines.add(e)
	for name, s := range n.peers.entrySessions() {
		go n.sendQuarantine(name, s, e) // an unresponsive peer must not delay the others
	}
}

// sendAllQuarantines sends all active quarantines to an entry that was just
// connected.
func (n *Entry) sendAllQuarantines(s *transport.Session) {
	for _, e := range n.quarantines.active(time.Now()) {
		n.sendQuarantine(s.Peer().GetInstance(), s, e)
	}
}

func (n *Entry) sendQuarantine(name string, s *transport.Session, e core.ShareQuarantine) {
	ctx, cancel := context.WithTimeout(n.ctx, peerRequestTimeout)
	defer cancel()
	if _, err := roundTrip(ctx, s, quarantineMessage(e)); err != nil {
		n.log.Warn("quarantine not shared", "peer", name, "fingerprint", e.Fingerprint, "error", err)
	}
}

// receiveQuarantine records a quarantine, or its release, that another entry has
// sent.
func (n *Entry) receiveQuarantine(q *peerv1.Quarantine) {
	e := core.ShareQuarantine{
		Fingerprint: q.GetFingerprint(), Count: int(q.GetCount()),
		Until: time.UnixMilli(q.GetUntilUnixMs()).UTC(), Released: q.GetReleased(),
		Upstream: core.UpstreamID(q.GetUpstream()), Incarnation: q.GetIncarnation(),
	}
	n.quarantines.add(e)
	n.loop.post(core.QuarantineChanged{
		At: now(), Fingerprint: e.Fingerprint, Count: e.Count, Until: e.Until, Released: e.Released,
		Upstream: e.Upstream, Incarnation: e.Incarnation,
	})
}
