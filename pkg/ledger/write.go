package ledger

import (
	"context"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

// Receipt names the members that acknowledged a write.
type Receipt struct {
	Acknowledged []string
	Asked        int // members of the replica group
}

// Write stores records of one program at a quorum of its replica group.
func (c *Client) Write(ctx context.Context, program string, recs []*peerv1.LedgerRecord) error {
	_, err := c.WriteWithReceipt(ctx, program, recs)
	return err
}

// WriteWithReceipt stores records as Write does and returns which members acknowledged
// them, also if they are too few.
func (c *Client) WriteWithReceipt(ctx context.Context, program string, recs []*peerv1.LedgerRecord) (Receipt, error) {
	members := c.sortByDistance(ReplicaGroup(c.directory.Storage(), program))
	need := c.quorum(len(members))
	req := &peerv1.LedgerRequest{Op: &peerv1.LedgerRequest_Write{Write: &peerv1.Write{Records: recs}}}
	replies, err := c.queryMembers(ctx, members, need, req, func(r []memberReply, _ int) bool { return countOK(r) >= need })
	return Receipt{Acknowledged: acknowledged(replies), Asked: len(members)}, err
}

// WriteAll stores usage records of several programs, each at a quorum of its
// replica group, with one request to each member. It returns the records that
// were not stored at a quorum.
func (c *Client) WriteAll(ctx context.Context, recs []*peerv1.LedgerRecord) []*peerv1.LedgerRecord {
	all := c.directory.Storage()
	perMember := make(map[Member][]int) // indexes of the records
	for i, rec := range recs {
		for _, m := range ReplicaGroup(all, rec.GetUsage().GetProgram()) {
			perMember[m] = append(perMember[m], i)
		}
	}
	type result struct {
		records []int
		ok      bool
	}
	results := make(chan result, len(perMember))
	for m, indexes := range perMember {
		batch := make([]*peerv1.LedgerRecord, 0, len(indexes))
		for _, i := range indexes {
			batch = append(batch, recs[i])
		}
		go func() {
			res := c.requestWithRetry(ctx, m, &peerv1.LedgerRequest{
				Op: &peerv1.LedgerRequest_Write{Write: &peerv1.Write{Records: batch}},
			}, nil)
			results <- result{records: indexes, ok: res.err == nil && res.reply.GetStatus() == peerv1.LedgerReply_OK}
		}()
	}
	stored := make([]int, len(recs))
	for range perMember {
		r := <-results
		if !r.ok {
			continue
		}
		for _, i := range r.records {
			stored[i]++
		}
	}
	need := c.quorum(min(len(all), replicationFactor))
	var failed []*peerv1.LedgerRecord
	for i, rec := range recs {
		if stored[i] < need {
			failed = append(failed, rec)
		}
	}
	return failed
}

// Reservation is the result of Reserve.
type Reservation struct {
	Spent int // tokens used by finished turns
	// Origin is the origin of the stream that the attempt continues; nil: none is
	// recorded.
	Origin *peerv1.Origin
}

// Reserve reserves tokens of a program's budget for an attempt. It fails with
// ErrOverBudget if the tokens do not fit, and with ErrNoMajority if no quorum replied
// before the context was done. In both cases the reservation may remain stored. budget
// is in tokens; 0: no limit. continues is the key of the attempt that began the stream
// which this one continues; 0: none.
func (c *Client) Reserve(ctx context.Context, u *peerv1.Usage, budget int, continues uint64) (Reservation, error) {
	members := c.sortByDistance(ReplicaGroup(c.directory.Storage(), u.GetProgram()))
	need := c.quorum(len(members))
	req := &peerv1.LedgerRequest{Op: &peerv1.LedgerRequest_Reserve{Reserve: &peerv1.Reserve{Usage: u, Continues: continues}}}
	replies, err := c.queryMembers(ctx, members, need, req, func(r []memberReply, _ int) bool { return countOK(r) >= need })
	if err != nil {
		return Reservation{}, err
	}
	lists := make([][]*peerv1.Usage, 0, len(replies))
	for _, r := range replies {
		lists = append(lists, r.reply.GetUsage())
	}
	merged := MergeUsage(lists...)
	res := Reservation{Spent: SpentTokens(merged), Origin: merged[continues].GetOrigin()}
	if budget > 0 && !FitsBudget(merged, u.GetAttempt(), int(u.GetTokens()), budget) {
		return res, ErrOverBudget
	}
	return res, nil
}
