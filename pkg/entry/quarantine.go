package entry

import (
	"context"
	"sync"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

// quarantineList remembers the crash suspects that this entry has shared or been
// told of, so that an entry that starts later learns of them.
type quarantineList struct {
	mu      sync.Mutex
	entries map[uint64]core.ShareQuarantine // by fingerprint
}

func newQuarantineList() *quarantineList {
	return &quarantineList{entries: make(map[uint64]core.ShareQuarantine)}
}

func (l *quarantineList) add(e core.ShareQuarantine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.Released {
		delete(l.entries, e.Fingerprint)
		return
	}
	l.entries[e.Fingerprint] = e
}

// active returns the entries that still hold.
func (l *quarantineList) active(now time.Time) []core.ShareQuarantine {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []core.ShareQuarantine
	for fp, e := range l.entries {
		if !e.Until.IsZero() && e.Until.Before(now) {
			delete(l.entries, fp)
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

// shareQuarantine tells every other entry about a crash suspect.
func (n *Entry) shareQuarantine(e core.ShareQuarantine) {
	n.quarantines.add(e)
	for name, s := range n.peers.entries() {
		go n.sendQuarantine(name, s, e) // a silent peer must not delay the others
	}
}

// sendQuarantines tells an entry that was connected about all suspects.
func (n *Entry) sendQuarantines(s *transport.Session) {
	for _, e := range n.quarantines.active(time.Now()) {
		n.sendQuarantine(s.Peer().GetInstance(), s, e)
	}
}

func (n *Entry) sendQuarantine(name string, s *transport.Session, e core.ShareQuarantine) {
	ctx, cancel := context.WithTimeout(n.ctx, resolveTimeout)
	defer cancel()
	if _, err := roundTrip(ctx, s, quarantineMessage(e)); err != nil {
		n.log.Warn("quarantine not shared", "peer", name, "fingerprint", e.Fingerprint, "error", err)
	}
}

// takeQuarantine records what another entry shares.
func (n *Entry) takeQuarantine(q *peerv1.Quarantine) {
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
