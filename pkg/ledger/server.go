package ledger

import (
	"context"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

// pullBatch is the number of records in one reply to a Pull.
const pullBatch = 200

// Server answers the requests of peers from a Store.
type Server struct{ Store *Store }

// Serve answers one request on its stream.
func (s Server) Serve(ctx context.Context, st *transport.Stream, req *peerv1.LedgerRequest) error {
	if req.GetPull() != nil {
		return s.pull(st)
	}
	return st.Send(reply(s.answer(ctx, req)))
}

func reply(r *peerv1.LedgerReply) *peerv1.Envelope {
	return &peerv1.Envelope{Body: &peerv1.Envelope_LedgerReply{LedgerReply: r}}
}

func (s Server) answer(ctx context.Context, req *peerv1.LedgerRequest) *peerv1.LedgerReply {
	status := s.Store.Status()
	switch op := req.GetOp().(type) {
	case *peerv1.LedgerRequest_Write:
		// A process that is catching up takes records: they are not lost with
		// it, but its answer does not count for a majority.
		if status == peerv1.LedgerReply_LEAVING {
			break
		}
		if err := s.Store.Write(ctx, op.Write.GetRecords()); err != nil {
			status = peerv1.LedgerReply_FAILED
		}
	case *peerv1.LedgerRequest_Reserve:
		if status == peerv1.LedgerReply_LEAVING {
			break
		}
		rec := &peerv1.LedgerRecord{Body: &peerv1.LedgerRecord_Usage{Usage: op.Reserve.GetUsage()}}
		if err := s.Store.Write(ctx, []*peerv1.LedgerRecord{rec}); err != nil {
			status = peerv1.LedgerReply_FAILED
			break
		}
		return &peerv1.LedgerReply{Status: status, Usage: s.Store.Usage(op.Reserve.GetUsage().GetProgram())}
	case *peerv1.LedgerRequest_Fetch:
		// A turn that is there is right whatever else is missing.
		if chain, ok := s.Store.Chain(op.Fetch.GetTurn()); ok {
			return &peerv1.LedgerReply{Status: peerv1.LedgerReply_OK, Turns: chain}
		}
		if status == peerv1.LedgerReply_OK {
			status = peerv1.LedgerReply_NOT_FOUND
		}
	}
	return &peerv1.LedgerReply{Status: status}
}

// pull sends all records, also while this process is catching up itself: two
// processes that lost records at once could not go on otherwise.
func (s Server) pull(st *transport.Stream) error {
	recs := s.Store.Records()
	for len(recs) > pullBatch {
		if err := st.Send(reply(&peerv1.LedgerReply{Status: peerv1.LedgerReply_OK, Records: recs[:pullBatch], More: true})); err != nil {
			return err
		}
		recs = recs[pullBatch:]
	}
	return st.Send(reply(&peerv1.LedgerReply{Status: s.Store.Status(), Records: recs}))
}
