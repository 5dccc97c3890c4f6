package ledger

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

// pullBytes is the size at which a reply to a Pull is sent: a fraction of a
// second on a narrow link.
const pullBytes = 64 << 10

// Server answers the requests of peers from a Store.
type Server struct{ Store *Store }

// Serve answers one request on its stream.
func (s Server) Serve(ctx context.Context, st *transport.Stream, req *peerv1.LedgerRequest) error {
	if p := req.GetPull(); p != nil {
		return s.pull(st, p)
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
	case *peerv1.LedgerRequest_Compare:
		return &peerv1.LedgerReply{Status: status, Missing: s.missing(op.Compare.GetDigests())}
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

// missing returns the digests for which the store has no record.
func (s Server) missing(digests []uint64) []uint64 {
	have := Digests(s.Store.Records())
	var list []uint64
	for _, d := range digests {
		if _, ok := have[d]; !ok {
			list = append(list, d)
		}
	}
	return list
}

// pull sends all records that the asking process lacks, also while this
// process is catching up itself: two processes that lost records at once could
// not go on otherwise.
func (s Server) pull(st *transport.Stream, p *peerv1.Pull) error {
	have := make(map[uint64]bool, len(p.GetHave()))
	for _, d := range p.GetHave() {
		have[d] = true
	}
	var recs []*peerv1.LedgerRecord
	size := 0
	for _, rec := range s.Store.Records() {
		if have[Digest(rec)] {
			continue
		}
		recs = append(recs, rec)
		if size += proto.Size(rec); size < pullBytes {
			continue
		}
		if err := st.Send(reply(&peerv1.LedgerReply{Status: peerv1.LedgerReply_OK, Records: recs, More: true})); err != nil {
			return err
		}
		recs, size = nil, 0
	}
	return st.Send(reply(&peerv1.LedgerReply{Status: s.Store.Status(), Records: recs}))
}
