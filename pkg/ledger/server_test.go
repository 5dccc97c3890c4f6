package ledger

import (
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

// pullRecords sends a Pull to a member and returns the number of records and of
// replies.
func pullRecords(t *testing.T, c *cluster, member int, have []uint64) (records, replies int) {
	t.Helper()
	s, err := c.client.transport.Dial(longContext(t), c.members[member].Address)
	if err != nil {
		t.Fatal(err)
	}
	st, err := s.Open(longContext(t), &peerv1.Envelope{Body: &peerv1.Envelope_LedgerRequest{LedgerRequest: &peerv1.LedgerRequest{
		Op: &peerv1.LedgerRequest_Pull{Pull: &peerv1.Pull{Have: have}},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	defer st.Close()
	for {
		m, err := st.Recv()
		if err != nil {
			t.Fatal(err)
		}
		records += len(m.GetLedgerReply().GetRecords())
		replies++
		if !m.GetLedgerReply().GetMore() {
			return records, replies
		}
	}
}

// Guards against a process that lost its disk and reads all records again from
// each member. Found on incident inc-0702: 0.06 GB were sent between regions and
// catching up did not finish for 6 s.
func TestPullSendsWhatIsMissing(t *testing.T) {
	c := newCluster(t, 2)
	recs := []*peerv1.LedgerRecord{turnRecord("a", ""), usage(1, 10, false), usage(2, 0, true)}
	large := turnRecord("large", "a")
	large.GetTurn().Input = make([]byte, pullReplyBytes)
	if err := c.client.Write(longContext(t), "p", append(recs, large)); err != nil {
		t.Fatal(err)
	}
	if n, replies := pullRecords(t, c, 0, nil); n != 4 || replies < 2 {
		t.Errorf("got %d records in %d replies, want 4 in at least 2", n, replies)
	}
	have := []uint64{Digest(recs[0]), Digest(recs[1])}
	if n, _ := pullRecords(t, c, 0, have); n != 2 {
		t.Errorf("got %d records, want the 2 missing ones", n)
	}
	// The settled version replaces the open one, whose digest is in have.
	if err := c.client.Write(longContext(t), "p", []*peerv1.LedgerRecord{usage(1, 5, true)}); err != nil {
		t.Fatal(err)
	}
	if n, _ := pullRecords(t, c, 0, have); n != 3 {
		t.Errorf("got %d records after a settlement, want 3", n)
	}
}
