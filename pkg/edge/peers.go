package edge

import (
	"context"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

// servePeer answers one request of another process.
func (e *Edge) servePeer(ctx context.Context, s *transport.Session, st *transport.Stream, first *peerv1.Envelope) {
	var err error
	switch m := first.GetBody().(type) {
	case *peerv1.Envelope_LedgerRequest:
		err = st.Send(e.relay(ctx, m.LedgerRequest))
	case *peerv1.Envelope_StateRequest:
		err = st.Send(&peerv1.Envelope{Body: &peerv1.Envelope_StateReply{StateReply: e.view.state()}})
	default:
		e.logger.Warn("peer request is not known", "peer", s.Addr())
	}
	if err != nil {
		e.logger.Debug("peer request failed", "peer", s.Addr(), "err", err)
	}
}

// relay passes a request on to a storage process that the asking entry can not
// reach.
func (e *Edge) relay(ctx context.Context, req *peerv1.LedgerRequest) *peerv1.Envelope {
	address := req.GetRelayTo()
	req.RelayTo = ""
	ctx, cancel := context.WithTimeout(ctx, ledger.DirectTimeout)
	defer cancel()
	reply, err := ledger.Call(ctx, e.transport, address, req)
	if err != nil {
		e.logger.Debug("relay failed", "storage", address, "err", err)
		reply = &peerv1.LedgerReply{Status: peerv1.LedgerReply_UNREACHABLE}
	}
	return &peerv1.Envelope{Body: &peerv1.Envelope_LedgerReply{LedgerReply: reply}}
}
