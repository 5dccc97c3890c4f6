package ledger

import (
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

// pull asks a member for its records and returns their number and that of the
// replies.
func pull(t *testing.T, c *cluster, member int, have []uint64) (records, replies int) {
	t.Helper()
	s, err := c.client.transport.Dial(long(t), c.members[member].Address)
	if err != nil {
		t.Fatal(err)
	}
	st, err := s.Open(long(t), &peerv1.Envelope{Body: &peerv1.Envelope_LedgerRequest{LedgerRequest: &peerv1.LedgerRequest{
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

// Guards against a process that lost its disk and reads everything again from
// each member (found on incident inc-0702: 0.06 GB over the link between
// regions, and no end of the catch-up for 6 s).
func TestPullSendsWhatIsMissing(t *testing.T) {
	c := newCluster(t, 2)
	recs := []*peerv1.LedgerRecord{turnRecord("a", ""), usage(1, 10, false), usage(2, 0, true)}
	large := turnRecord("large", "a")
	large.GetTurn().Input = make([]byte, pullBytes)
	if err := c.client.Write(long(t), "p", append(recs, large)); err != nil {
		t.Fatal(err)
	}
	if n, replies := pull(t, c, 0, nil); n != 4 || replies < 2 {
		t.Errorf("%d records in %d replies, want 4 in several", n, replies)
	}
	have := []uint64{Digest(recs[0]), Digest(recs[1])}
	if n, _ := pull(t, c, 0, have); n != 2 {
		t.Errorf("%d records, want the 2 that are missing", n)
	}
	// A settled form is not the open form that the asking process has.
	if err := c.client.Write(long(t), "p", []*peerv1.LedgerRecord{usage(1, 5, true)}); err != nil {
		t.Fatal(err)
	}
	if n, _ := pull(t, c, 0, have); n != 3 {
		t.Errorf("%d records after a settlement, want 3", n)
	}
}
