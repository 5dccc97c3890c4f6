package ledger

import (
	"context"
	"log/slog"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

// pullReplyBytes is the size at which a partial reply to a Pull is sent. Each one
// takes a fraction of a second on a slow network.
const pullReplyBytes = 64 << 10

// Server handles the ledger requests of peers.
type Server struct {
	Store *Store
	// Group returns the replica group of a program as this process knows it, and whether
	// it receives changes of the members; nil: it knows none.
	Group func(program string) ([]Member, bool)
	// Logger gets what the server can't tell its clients; nil: it is dropped.
	Logger *slog.Logger
}

// Serve handles the single request of a stream.
func (s Server) Serve(ctx context.Context, st *transport.Stream, req *peerv1.LedgerRequest) error {
	if p := req.GetPull(); p != nil {
		return s.pull(ctx, st, p)
	}
	return st.Send(replyEnvelope(s.handleAll(ctx, []*peerv1.LedgerRequest{req})[0]))
}

func replyEnvelope(r *peerv1.LedgerReply) *peerv1.Envelope {
	return &peerv1.Envelope{Body: &peerv1.Envelope_LedgerReply{LedgerReply: r}}
}

// ServeBatches handles batches of requests on a stream until it ends. first is
// the batch that opened the stream.
func (s Server) ServeBatches(ctx context.Context, st *transport.Stream, first *peerv1.LedgerBatch) error {
	batch := first
	for {
		go s.handleBatch(ctx, st, batch)
		m, err := st.Recv()
		if err != nil {
			return err
		}
		batch = m.GetLedgerBatch()
	}
}

func (s Server) handleBatch(ctx context.Context, st *transport.Stream, batch *peerv1.LedgerBatch) {
	for replies := range splitReplies(s.handleAll(ctx, batch.GetRequests())) {
		m := &peerv1.LedgerReplies{Replies: replies}
		if err := st.Send(&peerv1.Envelope{Body: &peerv1.Envelope_LedgerReplies{LedgerReplies: m}}); err != nil {
			s.log().Warn("ledger replies not sent, the stream ends", "peer", st.Session().Addr(),
				"replies", len(replies), "bytes", proto.Size(m), "err", err)
			_ = st.Close() // the client would wait for these replies until its time is over
			return
		}
	}
}

// log returns the logger of the server.
func (s Server) log() *slog.Logger {
	if s.Logger == nil {
		return slog.New(slog.DiscardHandler)
	}
	return s.Logger
}

// handleAll stores the records of all requests with one write to disk and returns
// the replies. Reservations that do not fit their budgets are not stored: those of turns that
// are refused would keep each other's turns out.
func (s Server) handleAll(ctx context.Context, reqs []*peerv1.LedgerRequest) []*peerv1.LedgerReply {
	var recs []*peerv1.LedgerRecord
	refused := make([]bool, len(reqs))
	full := make([]bool, len(reqs))
	for i, req := range reqs {
		if full[i] = addsMemory(req) && s.Store.Full(); full[i] {
			continue
		}
		if r := req.GetReserve(); r != nil {
			if refused[i] = !s.Store.admit(r); refused[i] {
				continue
			}
			defer s.Store.release(r)
		}
		recs = append(recs, recordsToWrite(req)...)
	}
	failed := false
	if len(recs) > 0 && s.Store.WriteStatus() != peerv1.LedgerReply_LEAVING {
		failed = s.Store.Write(ctx, recs) != nil
	}
	replies := make([]*peerv1.LedgerReply, 0, len(reqs))
	for i, req := range reqs {
		var r *peerv1.LedgerReply
		switch {
		case full[i]:
			r = &peerv1.LedgerReply{Status: peerv1.LedgerReply_FULL}
		case failed && !refused[i] && len(recordsToWrite(req)) > 0:
			r = &peerv1.LedgerReply{Status: peerv1.LedgerReply_FAILED}
		default:
			r = s.buildReply(req)
		}
		if refused[i] && r.GetStatus() == peerv1.LedgerReply_OK {
			r.Status = peerv1.LedgerReply_OVER_BUDGET
		}
		r.Id = req.GetId()
		replies = append(replies, r)
	}
	return replies
}

// recordsToWrite returns the records that a request adds to the ledger.
func recordsToWrite(req *peerv1.LedgerRequest) []*peerv1.LedgerRecord {
	switch op := req.GetOp().(type) {
	case *peerv1.LedgerRequest_Write:
		return op.Write.GetRecords()
	case *peerv1.LedgerRequest_Reserve:
		return []*peerv1.LedgerRecord{{Body: &peerv1.LedgerRecord_Usage{Usage: op.Reserve.GetUsage()}}}
	}
	return nil
}

// buildReply returns the reply to a request whose records are already stored.
func (s Server) buildReply(req *peerv1.LedgerRequest) *peerv1.LedgerReply {
	status := s.Store.ReadStatus()
	switch op := req.GetOp().(type) {
	case *peerv1.LedgerRequest_Write:
		return &peerv1.LedgerReply{Status: s.Store.WriteStatus(), Missing: s.lackedTurns(op.Write.GetRecords())}
	case *peerv1.LedgerRequest_Reserve:
		return &peerv1.LedgerReply{
			Status: s.Store.UsageStatus(), Usage: boundParts(s.Store.Usage(op.Reserve.GetUsage().GetProgram(), op.Reserve.GetContinues())),
			Group: s.otherGroup(op.Reserve),
		}
	case *peerv1.LedgerRequest_Compare:
		return &peerv1.LedgerReply{Status: status, Missing: s.missing(op.Compare.GetDigests())}
	case *peerv1.LedgerRequest_Fetch:
		// A stored turn is valid even if this process is not complete.
		if chain := s.Store.Chain(op.Fetch.GetTurn()); len(chain) > 0 {
			return ChainReply(chain)
		}
		if status == peerv1.LedgerReply_OK {
			status = peerv1.LedgerReply_NOT_FOUND
		}
	}
	return &peerv1.LedgerReply{Status: status}
}

// lackedTurns returns for each turn, if its chain is not complete here, the digest of the
// latest earlier turn that is lacking.
func (s Server) lackedTurns(recs []*peerv1.LedgerRecord) []uint64 {
	var list []uint64
	for _, rec := range recs {
		if id, ok := s.Store.LackedTurn(rec.GetTurn().GetId()); ok {
			list = append(list, turnDigest(id))
		}
	}
	return list
}

// otherGroup returns the replica group of a program if this process knows that it isn't
// the one that is asked.
func (s Server) otherGroup(r *peerv1.Reserve) []*peerv1.GroupMember {
	if s.Group == nil || r.GetGroup() == 0 {
		return nil
	}
	group, current := s.Group(r.GetUsage().GetProgram())
	if !current || groupKey(group) == r.GetGroup() {
		return nil
	}
	list := make([]*peerv1.GroupMember, 0, len(group))
	for _, m := range group {
		list = append(list, &peerv1.GroupMember{Name: m.Name, Address: m.Address})
	}
	return list
}

// missing returns the digests of records that the store does not have.
func (s Server) missing(digests []uint64) []uint64 {
	if len(digests) == 0 {
		return nil
	}
	have := Digests(s.Store.Records(peerv1.Pull_ALL))
	var list []uint64
	for _, d := range digests {
		if _, ok := have[d]; !ok {
			list = append(list, d)
		}
	}
	return list
}

// pull sends the records that the requesting process does not have. It does so
// even while this process is catching up; otherwise two processes that lost
// records at the same time would wait for each other. Records that were received before
// are waited for, since the requesting process reads each member only once.
func (s Server) pull(ctx context.Context, st *transport.Stream, p *peerv1.Pull) error {
	if err := s.Store.Flush(ctx); err != nil {
		return err
	}
	have := make(map[uint64]bool, len(p.GetHave()))
	for _, d := range p.GetHave() {
		have[d] = true
	}
	recs := slices.DeleteFunc(s.Store.Records(p.GetPart()), func(rec *peerv1.LedgerRecord) bool { return have[Digest(rec)] })
	for batch := range SplitRecords(recs, pullReplyBytes) {
		if err := st.Send(replyEnvelope(&peerv1.LedgerReply{Status: peerv1.LedgerReply_OK, Records: batch, More: true})); err != nil {
			return err
		}
	}
	return st.Send(replyEnvelope(&peerv1.LedgerReply{Status: s.Store.Status(), Kept: s.Store.Kept()}))
}
