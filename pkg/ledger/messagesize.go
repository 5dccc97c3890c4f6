package ledger

import (
	"iter"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

const (
	// messageOverhead is more than all fields of a message but one large record take.
	messageOverhead = 64 << 10
	// MaxTurnBytes limits the input and output of a turn together: its record is sent in
	// one message, beside a usage record.
	MaxTurnBytes = transport.MaxMessage - messageOverhead
	// batchBytes is the size up to which requests or replies share a message. It bounds how
	// long a small one waits for a large one.
	batchBytes = 1 << 20
	// chainReplyBytes is the size up to which a reply holds earlier turns of a conversation.
	// Several members may send the same ones to an entry at the same time.
	chainReplyBytes = 2 << 20
)

// errRequestTooLarge means that no message holds a request; it must not be sent again.
var errRequestTooLarge = errors.Wrap(transport.ErrTooLarge, "ledger request")

// tooLarge reports whether no message holds a request.
func tooLarge(req *peerv1.LedgerRequest) bool {
	return proto.Size(req) > transport.MaxMessage-messageOverhead/2
}

// SplitRecords returns records in their order in batches of at most limit bytes, or of one
// record that is larger.
func SplitRecords(recs []*peerv1.LedgerRecord, limit int) iter.Seq[[]*peerv1.LedgerRecord] {
	return split(recs, limit, func(rec *peerv1.LedgerRecord) int { return proto.Size(rec) })
}

// splitReplies returns replies in batches of at most batchBytes, or of one that is larger. A
// request without any gets an empty batch.
func splitReplies(replies []*peerv1.LedgerReply) iter.Seq[[]*peerv1.LedgerReply] {
	if len(replies) == 0 {
		return slices.Values([][]*peerv1.LedgerReply{nil})
	}
	return split(replies, batchBytes, func(r *peerv1.LedgerReply) int { return proto.Size(r) })
}

// split returns items in their order in batches of at most limit bytes, or of one item that is
// larger.
func split[T any](items []T, limit int, size func(T) int) iter.Seq[[]T] {
	return func(yield func([]T) bool) {
		first, bytes := 0, 0
		for i, item := range items {
			n := size(item)
			if i > first && bytes+n > limit {
				if !yield(items[first:i]) {
					return
				}
				first, bytes = i, 0
			}
			bytes += n
		}
		if first < len(items) {
			yield(items[first:])
		}
	}
}

// lastTurns returns the last turns of a conversation that a reply holds: at least one, and as
// many as chainReplyBytes allow. The client asks for the earlier ones by the parent of the
// first.
func lastTurns(chain []*peerv1.TurnRecord) []*peerv1.TurnRecord {
	bytes := 0
	for i := len(chain) - 1; i >= 0; i-- {
		bytes += proto.Size(chain[i])
		if bytes > chainReplyBytes && i < len(chain)-1 {
			return chain[i+1:]
		}
	}
	return chain
}

// ChainReply returns the reply to a request for a turn with the turns before it, oldest first,
// of which it leaves out what no message holds.
func ChainReply(chain []*peerv1.TurnRecord) *peerv1.LedgerReply {
	return &peerv1.LedgerReply{Status: peerv1.LedgerReply_OK, Turns: lastTurns(chain)}
}
