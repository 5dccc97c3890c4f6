package entry

import (
	"context"
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

// entryOnly reports whether only another entry may send a message. A forwarded
// call names its caller, and the others change ownership or configuration.
func entryOnly(m *peerv1.Envelope) bool {
	switch m.GetBody().(type) {
	case *peerv1.Envelope_Forward, *peerv1.Envelope_Retain, *peerv1.Envelope_Fence,
		*peerv1.Envelope_Handover, *peerv1.Envelope_ConfigPush, *peerv1.Envelope_Quarantine:
		return true
	}
	return false
}

// isEntry reports whether a peer is one of the entries: with TLS by the name in
// its certificate, on loopback by the role it states.
func (n *Entry) isEntry(s *transport.Session) bool {
	if s.Peer().GetRole() != roleEntry {
		return false
	}
	return n.cfg.TLS == nil || slices.Contains(n.cfg.EntryNames, s.PeerName())
}

// serveStream answers one request of a peer.
func (n *Entry) serveStream(ctx context.Context, s *transport.Session, st *transport.Stream, first *peerv1.Envelope) {
	if entryOnly(first) && !n.isEntry(s) {
		n.log.Warn("message refused: the peer is not an entry", "peer", s.Peer().GetInstance(), "certificate", s.PeerName())
		return
	}
	switch m := first.GetBody().(type) {
	case *peerv1.Envelope_Forward:
		n.work.Add(1)
		defer n.work.Done()
		n.serveForward(ctx, st, m.Forward)
	case *peerv1.Envelope_Heartbeat:
		n.serveHeartbeat(ctx, s, st, m.Heartbeat)
	case *peerv1.Envelope_Retain:
		n.serveRetain(ctx, st, m.Retain)
	case *peerv1.Envelope_Fence:
		n.serveFence(st, m.Fence)
	case *peerv1.Envelope_Handover:
		n.serveHandover(ctx, st, m.Handover)
	case *peerv1.Envelope_SlotMapRequest:
		reply(st, n.owner.slotMapMessage())
	case *peerv1.Envelope_ConfigPush:
		err := n.config.accept(m.ConfigPush.GetVersion(), m.ConfigPush.GetText(), "peer "+s.Peer().GetInstance())
		reply(st, &peerv1.Envelope{Body: &peerv1.Envelope_Ack{Ack: &peerv1.Ack{Error: errorText(err)}}})
	case *peerv1.Envelope_ConfigRequest:
		version, text := n.config.inForce()
		reply(st, &peerv1.Envelope{Body: &peerv1.Envelope_ConfigPush{ConfigPush: &peerv1.ConfigPush{Version: version, Text: text}}})
	case *peerv1.Envelope_Quarantine:
		n.takeQuarantine(m.Quarantine)
		reply(st, &peerv1.Envelope{Body: &peerv1.Envelope_Ack{Ack: &peerv1.Ack{}}})
	case *peerv1.Envelope_StatusRequest:
		reply(st, &peerv1.Envelope{Body: &peerv1.Envelope_StatusReply{StatusReply: &peerv1.StatusReply{Json: n.statusJSON(ctx)}}})
	default:
		n.log.Warn("message of peer is not served", "peer", s.Peer().GetInstance(), "message", first.GetBody())
	}
}

func reply(st *transport.Stream, m *peerv1.Envelope) {
	// A failed send means that the peer is gone, which its own side notices.
	_ = st.Send(m)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// serveHeartbeat exchanges heartbeats on a connection that a peer has dialed.
func (n *Entry) serveHeartbeat(ctx context.Context, s *transport.Session, st *transport.Stream, first *peerv1.Heartbeat) {
	if n.isFenced() {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Heartbeats last as long as the process: they must not hold up its stop.
	defer context.AfterFunc(n.ctx, func() { _ = st.Close() })()
	hello := s.Peer()
	reply(st, n.heartbeatFor(nil))
	if hello.GetRole() == roleSidecar {
		// A sidecar starts a heartbeat of its own only to announce a change,
		// such as that it is leaving.
		n.onHeartbeat(hello.GetAddress(), hello, first)
		return
	}
	n.heard(hello, first)
	go n.peers.sendHeartbeats(ctx, nil, st)
	for {
		if err := st.SetDeadline(time.Now().Add(heartbeatSilence)); err != nil {
			return
		}
		m, err := st.Recv()
		if err != nil {
			return
		}
		if hb := m.GetHeartbeat(); hb != nil && hello.GetRole() == roleEntry {
			n.heard(hello, hb)
		}
	}
}
