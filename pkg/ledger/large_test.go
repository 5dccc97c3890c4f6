package ledger

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

// largeTurn returns a turn of a size in bytes.
func largeTurn(id, parent string, size int) *peerv1.LedgerRecord {
	rec := turnRecord(id, parent)
	rec.GetTurn().Input = make([]byte, size)
	return rec
}

// writeAll writes records one by one.
func (c *cluster) writeAll(recs ...*peerv1.LedgerRecord) {
	c.t.Helper()
	for _, rec := range recs {
		if err := c.client.Write(longContext(c.t), "p", []*peerv1.LedgerRecord{rec}); err != nil {
			c.t.Fatal(err)
		}
	}
}

// Guards against a conversation of more than one message holds, which can't go on once no entry
// has it in memory (review case 9).
func TestConversationLargerThanAMessage(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	const turns = 5
	parent := ""
	for i := range turns {
		id := fmt.Sprint("turn ", i)
		c.writeAll(largeTurn(id, parent, 3_500_000))
		parent = id
	}
	chain, err := c.client.Chain(longContext(t), parent)
	if err != nil || len(chain) != turns {
		t.Fatalf("%d of %d turns, %v", len(chain), turns, err)
	}
	for i, r := range chain {
		if r.GetId() != fmt.Sprint("turn ", i) {
			t.Errorf("turn %d is %s", i, r.GetId())
		}
	}
}

// Guards against replies that are lost because the replies to a batch are, together or one of
// them, too large for a message.
func TestLargeReplyTakesNoOthersWithIt(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2)
	batch := &peerv1.LedgerBatch{Requests: []*peerv1.LedgerRequest{
		{Id: 1, Op: &peerv1.LedgerRequest_Compare{Compare: &peerv1.Compare{}}},
	}}
	for i := range 4 {
		first, second := fmt.Sprint("first ", i), fmt.Sprint("second ", i)
		c.writeAll(largeTurn(first, "", 3<<20), largeTurn(second, first, 3<<20))
		batch.Requests = append(batch.Requests, &peerv1.LedgerRequest{
			Id: uint64(2 + i), Op: &peerv1.LedgerRequest_Fetch{Fetch: &peerv1.FetchChain{Turn: second}},
		})
	}
	s, err := c.client.transport.Dial(longContext(t), c.members[0].Address)
	if err != nil {
		t.Fatal(err)
	}
	st, err := s.Open(longContext(t), &peerv1.Envelope{Body: &peerv1.Envelope_LedgerBatch{LedgerBatch: batch}})
	if err != nil {
		t.Fatal(err)
	}
	defer st.Close()
	if err := st.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	replied := make(map[uint64]bool)
	for len(replied) < len(batch.GetRequests()) {
		m, err := st.Recv()
		if err != nil {
			t.Fatalf("replies to %v only: %v", replied, err)
		}
		for _, r := range m.GetLedgerReplies().GetReplies() {
			replied[r.GetId()] = true
		}
	}
}

// Guards against turns that end together and whose records, sent as one message, exceed its
// limit: none of them is ever written.
func TestLargeTurnsEndTogether(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3)
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			if err := c.client.Write(longContext(t), "p", []*peerv1.LedgerRecord{largeTurn(fmt.Sprint("turn ", i), "", 1<<20)}); err != nil {
				t.Errorf("turn %d: %v", i, err)
			}
		})
	}
	wg.Wait()
}

// Guards against the largest turn that may be written but not read or copied, and against a
// larger one that is tried without end and ends the requests beside it.
func TestLargestTurn(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2)
	largest := largeTurn("largest", "", 0)
	largest.GetTurn().Input = make([]byte, MaxTurnBytes-len(largest.GetTurn().GetOutput()))
	c.writeAll(turnRecord("small", ""), usage(1, 10, false), largest)
	if chain, err := c.client.Chain(longContext(t), "largest"); err != nil || len(chain) != 1 {
		t.Errorf("%d turns, %v", len(chain), err)
	}
	if n, _ := pullRecords(t, c, 0, nil); n != 3 {
		t.Errorf("%d of 3 records are copied", n)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	err := c.client.Write(ctx, "p", []*peerv1.LedgerRecord{largeTurn("too large", "", transport.MaxMessage)})
	if err == nil || ctx.Err() != nil {
		t.Errorf("a record larger than a message: %v, %v", err, ctx.Err())
	}
}

// Guards against a batch of records that no message holds, and against one without any.
func TestSplitRecords(t *testing.T) {
	var recs []*peerv1.LedgerRecord
	for i := range 30 {
		recs = append(recs, largeTurn(fmt.Sprint("turn ", i), "", i<<16))
	}
	const limit = 1 << 20
	count := 0
	for batch := range SplitRecords(recs, limit) {
		size := 0
		for _, rec := range batch {
			size += proto.Size(rec)
		}
		if len(batch) == 0 || size > limit && len(batch) > 1 {
			t.Errorf("batch of %d records, %d bytes", len(batch), size)
		}
		count += len(batch)
	}
	if count != len(recs) {
		t.Errorf("%d of %d records", count, len(recs))
	}
}
