package entry

import (
	"context"
	"slices"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

// onlyFromEntry reports whether a message is accepted only from other entries. A
// forwarded call states its caller without further authentication, and the other
// messages change ownership, the configuration or the quarantine.
func onlyFromEntry(m *peerv1.Envelope) bool {
	switch m.GetBody().(type) {
	case *peerv1.Envelope_Forward, *peerv1.Envelope_Retain, *peerv1.Envelope_Fence,
		*peerv1.Envelope_Handover, *peerv1.Envelope_ConfigPush, *peerv1.Envelope_Quarantine:
		return true
	}
	return false
}

// isEntry reports whether a peer is an entry. With TLS the name in its certificate
// is checked too; on loopback only the role that it states.
func (n *Entry) isEntry(s *transport.Session) bool {
	if s.Peer().GetRole() != roleEntry {
		return false
	}
	return n.cfg.TLS == nil || slices.Contains(n.cfg.EntryNames, s.PeerName())
}

// serveStream handles one stream that a peer has opened.
func (n *Entry) serveStream(ctx context.Context, s *transport.Session, st *transport.Stream, first *peerv1.Envelope) {
	if onlyFromEntry(first) && !n.isEntry(s) {
		n.log.Warn("message refused: the peer is not an entry", "peer", s.Peer().GetInstance(), "certificate", s.PeerName())
		return
	}
	switch m := first.GetBody().(type) {
	case *peerv1.Envelope_Forward:
		n.inFlight.Add(1)
		defer n.inFlight.Done()
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
		sendReply(st, n.owner.slotMapMessage())
	case *peerv1.Envelope_ConfigPush:
		err := n.config.offer(m.ConfigPush.GetVersion(), m.ConfigPush.GetText(), "peer "+s.Peer().GetInstance())
		sendReply(st, &peerv1.Envelope{Body: &peerv1.Envelope_Ack{Ack: &peerv1.Ack{Error: errorText(err)}}})
	case *peerv1.Envelope_ConfigRequest:
		version, text := n.config.current()
		sendReply(st, &peerv1.Envelope{Body: &peerv1.Envelope_ConfigPush{ConfigPush: &peerv1.ConfigPush{Version: version, Text: text}}})
	case *peerv1.Envelope_Quarantine:
		n.receiveQuarantine(m.Quarantine)
		sendReply(st, &peerv1.Envelope{Body: &peerv1.Envelope_Ack{Ack: &peerv1.Ack{}}})
	case *peerv1.Envelope_StatusRequest:
		sendReply(st, &peerv1.Envelope{Body: &peerv1.Envelope_StatusReply{StatusReply: &peerv1.StatusReply{Json: n.statusJSON(ctx)}}})
	default:
		n.log.Warn("unexpected message from peer", "peer", s.Peer().GetInstance(), "message", first.GetBody())
	}
}

// sendReply sends the reply to a request of a peer.
func sendReply(st *transport.Stream, m *peerv1.Envelope) {
	// An error means that the peer has disconnected. There is nothing to do here.
	_ = st.Send(m)
}

// errorText returns the text of an error, or an empty string for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// serveHeartbeat exchanges heartbeats on a stream that a peer has opened.
func (n *Entry) serveHeartbeat(ctx context.Context, s *transport.Session, st *transport.Stream, first *peerv1.Heartbeat) {
	if n.isFenced() {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Without this the stream would stay open and delay the stop of the entry.
	defer context.AfterFunc(n.ctx, func() { _ = st.Close() })()
	hello := s.Peer()
	sendReply(st, n.heartbeatMessage(nil))
	if hello.GetRole() == roleSidecar {
		// A sidecar opens a heartbeat stream only to announce a change, for
		// example that it is leaving.
		n.onHeartbeat(hello.GetAddress(), hello, first)
		return
	}
	n.recordContact(hello, first)
	go n.peers.sendHeartbeats(ctx, nil, st)
	for {
		if err := st.SetDeadline(time.Now().Add(heartbeatTimeout)); err != nil {
			return
		}
		m, err := st.Recv()
		if err != nil {
			return
		}
		if hb := m.GetHeartbeat(); hb != nil && hello.GetRole() == roleEntry {
			n.recordContact(hello, hb)
		}
	}
}
