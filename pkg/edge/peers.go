package edge

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/crashreport"
	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

// servePeer handles one request of another process.
func (e *Edge) servePeer(ctx context.Context, s *transport.Session, st *transport.Stream, first *peerv1.Envelope) {
	var err error
	switch m := first.GetBody().(type) {
	case *peerv1.Envelope_LedgerRequest:
		err = st.Send(&peerv1.Envelope{Body: &peerv1.Envelope_LedgerReply{LedgerReply: e.handleLedgerRequest(ctx, m.LedgerRequest)}})
	case *peerv1.Envelope_StateRequest:
		err = st.Send(&peerv1.Envelope{Body: &peerv1.Envelope_StateReply{StateReply: e.view.stateReply(m.StateRequest)}})
	case *peerv1.Envelope_StateReply:
		e.view.acceptOffer(m.StateReply, "peer "+s.Addr())
	case *peerv1.Envelope_FeedRequest:
		err = e.view.serveFeed(ctx, s, st, m.FeedRequest)
	case *peerv1.Envelope_CrashReport:
		err = st.Send(crashreport.Envelope(crashreport.HandleReport(e.suspects, m.CrashReport, s.Addr())))
	case *peerv1.Envelope_LimitReport:
		reply := e.limits.handle(m.LimitReport, time.Now())
		err = st.Send(&peerv1.Envelope{Body: &peerv1.Envelope_LimitShares{LimitShares: reply}})
	case *peerv1.Envelope_QuotaRequest:
		reply := e.quotas.handle(m.QuotaRequest)
		err = st.Send(&peerv1.Envelope{Body: &peerv1.Envelope_QuotaGrant{QuotaGrant: reply}})
	default:
		e.logger.Warn("unknown peer request", "peer", s.Addr())
	}
	if err != nil {
		e.logger.Debug("peer request failed", "peer", s.Addr(), "err", err)
	}
}

// handleLedgerRequest relays a request to a storage process that the requesting edge
// cannot reach, or returns turns cached in memory.
func (e *Edge) handleLedgerRequest(ctx context.Context, req *peerv1.LedgerRequest) *peerv1.LedgerReply {
	address := req.GetRelayTo()
	if address == "" {
		turns := e.cachedChain(req.GetFetch().GetTurn())
		if len(turns) == 0 {
			return &peerv1.LedgerReply{Status: peerv1.LedgerReply_NOT_FOUND}
		}
		return ledger.ChainReply(turns)
	}
	req.RelayTo = ""
	ctx, cancel := context.WithTimeout(ctx, ledger.RelayedTimeout)
	defer cancel()
	reply, err := ledger.Call(ctx, e.transport, address, req)
	if err != nil {
		e.logger.Debug("relay failed", "storage", address, "err", err)
		return &peerv1.LedgerReply{Status: peerv1.LedgerReply_UNREACHABLE}
	}
	return reply
}

// peerTurnTimeout limits the query of the other edges for a turn: a few round trips
// between regions.
const peerTurnTimeout = 300 * time.Millisecond

// fetchTurnFromPeers asks the other edges for a turn that no storage process has: an edge
// that served it may have it in memory after its records were lost. ErrNotFound means that
// all of them answered that they do not have it.
func (e *Edge) fetchTurnFromPeers(ctx context.Context, id string) ([]*peerv1.TurnRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTurnTimeout)
	defer cancel()
	addresses := e.view.otherEdges()
	type result struct {
		reply *peerv1.LedgerReply
		err   error
	}
	results := make(chan result, len(addresses))
	for _, address := range addresses {
		go func() {
			req := &peerv1.LedgerRequest{Op: &peerv1.LedgerRequest_Fetch{Fetch: &peerv1.FetchChain{Turn: id}}}
			reply, err := ledger.Call(ctx, e.transport, address, req)
			results <- result{reply, err}
		}()
	}
	var failed error
	for range addresses {
		a := <-results
		if errors.Is(a.err, syscall.ECONNREFUSED) {
			continue // the process has ended, and its cache is lost
		}
		if a.err != nil {
			failed = a.err
			continue
		}
		if turns := a.reply.GetTurns(); len(turns) > 0 {
			return turns, nil
		}
	}
	if failed != nil {
		return nil, failed
	}
	return nil, ledger.ErrNotFound
}
