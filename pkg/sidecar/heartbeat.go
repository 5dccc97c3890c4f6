package sidecar

import (
	"context"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	decide "github.com/yuccaspindle/yuccaspindle/pkg/core/sidecar"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

// pushTimeout bounds a heartbeat that this side starts.
const pushTimeout = 2 * time.Second

// peerState is what a peer has been told on its session.
type peerState struct {
	cursor  uint64 // cache events up to this number
	info    uint64 // version of the upstream's description
	crash   uint64 // number of the newest crash report
	pending []*peerv1.CacheEvent
}

// serveHeartbeats answers each heartbeat on the stream with one of this side.
func (s *Sidecar) serveHeartbeats(p *transport.Session, st *transport.Stream, first *peerv1.Heartbeat) {
	for h := first; h != nil; {
		s.met.heartbeats.Inc()
		s.renewPins(p, h)
		if st.Send(s.heartbeat(p)) != nil {
			return
		}
		m, err := st.Recv()
		if err != nil {
			return
		}
		h = m.GetHeartbeat()
	}
}

func (s *Sidecar) renewPins(p *transport.Session, h *peerv1.Heartbeat) {
	if len(h.Pins) == 0 {
		return
	}
	if !s.mayCommand(p) {
		s.refusePeer(p, "pins")
		return
	}
	for _, r := range h.Pins {
		s.step(decide.PinRenewed{
			At: now(), Program: r.Program, Slot: core.Slot(r.Slot), Epoch: core.Epoch(r.Epoch),
			Term: time.Duration(r.TermMs) * time.Millisecond,
		})
	}
}

// heartbeat builds the message for a peer: everything that changed since the
// last one on its session. A session that fails in between starts again with a
// full listing.
func (s *Sidecar) heartbeat(p *transport.Session) *peerv1.Envelope {
	s.mu.Lock()
	defer s.mu.Unlock()
	ps := s.peers[p]
	if ps == nil {
		for old := range s.peers {
			select {
			case <-old.Done():
				delete(s.peers, old)
			default:
			}
		}
		ps = &peerState{cursor: s.cache.last, pending: s.cache.snapshot()}
		s.peers[p] = ps
	}
	h := &peerv1.Heartbeat{
		Incarnation: s.cfg.Incarnation, ConfigVersion: s.configVersion, Leaving: s.state.Draining(),
		Load: s.load, UpstreamReachable: s.reachable,
	}
	if ps.info != s.infoVersion {
		ps.info, h.Upstream = s.infoVersion, s.info
	}
	for _, c := range s.crashes {
		if c.number > ps.crash && time.Since(c.at) < crashReportAge {
			h.Crashes = append(h.Crashes, c.crash)
		}
		ps.crash = max(ps.crash, c.number)
	}
	n := min(len(ps.pending), eventsPerHeartbeat)
	h.CacheEvents, ps.pending = ps.pending[:n:n], ps.pending[n:]
	if len(ps.pending) == 0 {
		ps.pending = nil
		events, next, ok := s.cache.after(ps.cursor, eventsPerHeartbeat-n)
		if !ok {
			ps.pending = s.cache.snapshot()
		}
		h.CacheEvents = append(h.CacheEvents, events...)
		ps.cursor = next
	}
	return &peerv1.Envelope{Body: &peerv1.Envelope_Heartbeat{Heartbeat: h}}
}

// pushHeartbeats tells every entry at once what changed.
func (s *Sidecar) pushHeartbeats() {
	for _, p := range s.tr.Sessions() {
		if !s.mayCommand(p) {
			continue
		}
		s.background(func() {
			ctx, cancel := context.WithTimeout(s.ctx, pushTimeout)
			defer cancel()
			st, err := p.Open(ctx, s.heartbeat(p))
			if err != nil {
				s.log.Warn("heartbeat failed", "step", "heartbeat", "peer", p.Addr(), "err", err)
				return
			}
			defer st.Close()
			_ = st.SetDeadline(time.Now().Add(pushTimeout))
			if m, err := st.Recv(); err == nil && m.GetHeartbeat() != nil {
				s.renewPins(p, m.GetHeartbeat())
			}
		})
	}
}
