package ledger

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

// Receipt names the members that acknowledged a write or a reservation.
type Receipt struct {
	Acknowledged []string
	Asked        int // members of the replica group
	// incomplete are the members that acknowledged a turn and lack an earlier one of its
	// chain, with the digest of the latest one that they lack.
	incomplete map[Member]uint64
}

// CompleteChains sends earlier turns of a conversation to those members that acknowledged its
// last turn without having them. earlier lists them, oldest first. A member keeps the turns
// before one that it stores as long as that one, but only those that it has. Members that
// can't be reached get them with a later turn of the conversation.
func (c *Client) CompleteChains(ctx context.Context, r Receipt, earlier []*peerv1.TurnRecord) {
	var wg sync.WaitGroup
	for m, lacked := range r.incomplete {
		wg.Go(func() { c.completeChain(ctx, m, lacked, earlier) })
	}
	wg.Wait()
}

// completeChain sends to one member the turns of a chain that it lacks, the latest one first.
func (c *Client) completeChain(ctx context.Context, m Member, lacked uint64, earlier []*peerv1.TurnRecord) {
	sent := 0
	for i := len(earlier) - 1; i >= 0; i-- {
		rec := &peerv1.LedgerRecord{Body: &peerv1.LedgerRecord_Turn{Turn: earlier[i]}}
		if Digest(rec) != lacked {
			continue
		}
		res := c.requestWithRetry(ctx, m, &peerv1.LedgerRequest{
			Op: &peerv1.LedgerRequest_Write{Write: &peerv1.Write{Records: []*peerv1.LedgerRecord{rec}}},
		}, nil)
		if res.err != nil || res.reply.GetStatus() != peerv1.LedgerReply_OK {
			c.logger.Info("member lacks turns of a chain", "member", m.Name, "turn", earlier[i].GetId(), "status", res.reply.GetStatus(), "err", res.err)
			return
		}
		sent++
		if len(res.reply.GetMissing()) == 0 {
			break
		}
		lacked = res.reply.GetMissing()[0]
	}
	c.logger.Debug("earlier turns sent to a member", "member", m.Name, "turns", sent)
}

// Write stores records of one program at a quorum of its replica group.
func (c *Client) Write(ctx context.Context, program string, recs []*peerv1.LedgerRecord) error {
	_, err := c.WriteWithReceipt(ctx, program, recs)
	return err
}

// WriteWithReceipt stores records as Write does and returns which members acknowledged
// them, also if they are too few. If the list of members changes before a quorum has
// acknowledged, it asks the replica group of the new list. Only the context limits it.
func (c *Client) WriteWithReceipt(ctx context.Context, program string, recs []*peerv1.LedgerRecord) (Receipt, error) {
	req := &peerv1.LedgerRequest{Op: &peerv1.LedgerRequest_Write{Write: &peerv1.Write{Records: recs}}}
	if tooLarge(req) {
		return Receipt{}, errRequestTooLarge
	}
	for {
		receipt, err := c.writeToGroup(ctx, program, req)
		if err == nil || ctx.Err() != nil || errors.Is(err, ErrFull) {
			return receipt, err
		}
		select {
		case <-ctx.Done():
			return receipt, err
		case <-time.After(retryDelay):
		}
	}
}

// writeToGroup sends a write to a quorum of the program's current replica group. It
// fails once that group has changed or cannot be a quorum, with ErrFull if that is for want of
// memory.
func (c *Client) writeToGroup(ctx context.Context, program string, req *peerv1.LedgerRequest) (Receipt, error) {
	group := ReplicaGroup(c.directory.Storage(), program)
	need := c.quorum(len(group))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.cancelOnChange(ctx, cancel, program, group)
	replies, err := c.queryMembers(ctx, c.sortByDistance(group), need, req, func(r []memberReply, _ int) bool { return countOK(r) >= need })
	full := c.fullMembers.note(replies, time.Now())
	if err != nil && full > 0 && full > len(group)-need {
		err = errors.Wrapf(ErrFull, "replies [%s]", describe(replies))
	}
	receipt := Receipt{Acknowledged: acknowledged(replies), Asked: len(group), incomplete: incompleteChains(replies)}
	if err == nil && c.countListed(receipt.Acknowledged) < need {
		err = errors.Wrapf(ErrNoMajority, "members that acknowledged were taken out, replies [%s]", describe(replies))
	}
	return receipt, err
}

// incompleteChains returns the members that acknowledged a turn whose chain they lack in part.
func incompleteChains(replies []memberReply) map[Member]uint64 {
	lacked := make(map[Member]uint64)
	for _, r := range replies {
		if missing := r.reply.GetMissing(); r.reply.GetStatus() == peerv1.LedgerReply_OK && len(missing) > 0 {
			lacked[r.member] = missing[0]
		}
	}
	return lacked
}

// groupCheckInterval is how often a write that waits for members checks whether its
// replica group has changed.
const groupCheckInterval = 100 * time.Millisecond

// cancelOnChange calls cancel once the replica group of a program differs from group. It
// returns when the context is done.
func (c *Client) cancelOnChange(ctx context.Context, cancel func(), program string, group []Member) {
	t := time.NewTicker(groupCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if !sameMembers(ReplicaGroup(c.directory.Storage(), program), group) {
			cancel()
			return
		}
	}
}

// sameMembers reports whether two lists without duplicates have the same members.
func sameMembers(a, b []Member) bool {
	missing := func(m Member) bool { return !slices.Contains(b, m) }
	return len(a) == len(b) && !slices.ContainsFunc(a, missing)
}

// countListed returns how many of the named members are in the current list.
func (c *Client) countListed(names []string) int {
	n := 0
	for _, m := range c.directory.Storage() {
		if slices.Contains(names, m.Name) {
			n++
		}
	}
	return n
}

// WriteAll stores usage records of several programs, each at a quorum of its
// replica group, with one request to each member, and calls stored, unless it is nil, for each
// one that is. It returns once all are, or when the context is done, with the records that
// were not stored at a quorum. Members that have not replied by then are tried until ctx is
// done, unless the context is canceled.
func (c *Client) WriteAll(ctx context.Context, recs []*peerv1.LedgerRecord, stored func(*peerv1.LedgerRecord)) []*peerv1.LedgerRecord {
	all := c.directory.Storage()
	perMember := make(map[Member][]int) // indexes of the records
	for i, rec := range recs {
		for _, m := range ReplicaGroup(all, rec.GetUsage().GetProgram()) {
			perMember[m] = append(perMember[m], i)
		}
	}
	results := make(chan []int, len(perMember)) // indexes that a member has stored
	for m, indexes := range perMember {
		go func() {
			if c.writeBatch(ctx, m, recs, indexes) {
				results <- indexes
			} else {
				results <- nil
			}
		}()
	}
	need, missing := c.quorum(min(len(all), ReplicationFactor)), len(recs)
	replicas := make([]int, len(recs))
	for left := len(perMember); left > 0 && missing > 0; left-- {
		for _, i := range <-results {
			if replicas[i]++; replicas[i] != need {
				continue
			}
			missing--
			if stored != nil {
				stored(recs[i])
			}
		}
	}
	var failed []*peerv1.LedgerRecord
	for i, rec := range recs {
		if replicas[i] < need {
			failed = append(failed, rec)
		}
	}
	return failed
}

// writeBatch stores the records with the given indexes at one member and reports whether it
// has.
func (c *Client) writeBatch(ctx context.Context, m Member, recs []*peerv1.LedgerRecord, indexes []int) bool {
	batch := make([]*peerv1.LedgerRecord, 0, len(indexes))
	for _, i := range indexes {
		batch = append(batch, recs[i])
	}
	res := c.requestWithRetry(ctx, m, &peerv1.LedgerRequest{
		Op: &peerv1.LedgerRequest_Write{Write: &peerv1.Write{Records: batch}},
	}, nil)
	return res.err == nil && res.reply.GetStatus() == peerv1.LedgerReply_OK
}

// Reservation is the result of Reserve.
type Reservation struct {
	Receipt
	Spent int // tokens used by finished turns
	// Records holds the usage records of the program by attempt key.
	Records map[uint64]*peerv1.Usage
	// Origin is the origin of the stream that the attempt continues; nil: none is
	// recorded.
	Origin *peerv1.Origin
	// NextRevision is the revision with which the attempt must reserve again: what members
	// have stored of earlier tries has a lower one.
	NextRevision uint32
	// refused are the members that have not stored the reservation, since it does not fit.
	refused []string
}

const (
	// conflictDelay is the longest first wait of a reservation that did not fit beside those of
	// turns that were not passed on. It doubles each time; half of it varies.
	conflictDelay = 60 * time.Millisecond
	// conflictLimit limits the time for which a reservation is sent again.
	conflictLimit = 500 * time.Millisecond
	// withdrawTimeout limits the withdrawal of a reservation. It then ends with its lease.
	withdrawTimeout = ReservationLease
)

// Reserve reserves tokens of a program's budget for an attempt. It fails with
// ErrOverBudget or ErrBudgetReserved if the tokens do not fit, and with ErrNoMajority if no
// quorum replied before the context was done. In the latter case the reservation may remain
// stored at some members. budget is in tokens; 0: no limit. perEvent is the number of tokens
// that an event counts as; 0: not known. continues is the key of the attempt that began the
// stream which this one continues; 0: none.
//
// A reservation that does not fit beside those of turns that were not passed on is sent again
// after a while: these turns are passed on or refused in a moment. Until then it is withdrawn,
// but not if the nearest member has stored it. So if members have stored different ones of
// several that fit one at a time, one is left.
func (c *Client) Reserve(ctx context.Context, u *peerv1.Usage, budget, perEvent int, continues uint64) (Reservation, error) {
	for began, delay := time.Now(), conflictDelay; ; delay *= 2 {
		members := c.sortByDistance(ReplicaGroup(c.directory.Storage(), u.GetProgram()))
		// A message that was sent may still wait to be written, so each try has its own.
		res, err := c.reserveOnce(ctx, members, &peerv1.Reserve{
			Usage: u, Continues: continues, Group: groupKey(members), Budget: uint32(budget), PerEvent: uint32(perEvent),
		})
		res.NextRevision = u.GetRevision() + 1
		if !errors.Is(err, ErrBudgetReserved) && !errors.Is(err, ErrOverBudget) {
			return res, err
		}
		wait := delay/2 + rand.N(delay/2)
		over := errors.Is(err, ErrOverBudget) || time.Since(began)+wait > conflictLimit
		if over || !slices.Contains(res.Acknowledged, members[0].Name) {
			u = c.withdraw(u, res.refused, members)
			res.NextRevision = u.GetRevision()
		}
		if over {
			return res, err
		}
		select {
		case <-ctx.Done():
			return res, err
		case <-time.After(wait):
		}
	}
}

// reserveOnce sends a reservation to a replica group and checks it against the budget.
func (c *Client) reserveOnce(ctx context.Context, members []Member, r *peerv1.Reserve) (Reservation, error) {
	check := func(res Reservation) error {
		return CheckBudget(res.Records, r.GetUsage().GetAttempt(), int(r.GetUsage().GetTokens()), int(r.GetBudget()), int(r.GetPerEvent()))
	}
	res, stored, err := c.reserve(ctx, members, r)
	if err != nil || r.GetBudget() == 0 {
		return res, err
	}
	if err = check(res); err != nil || stored {
		return res, err
	}
	// Members refused it because of records that others know to have ended.
	res, _, err = c.reserve(ctx, members, &peerv1.Reserve{Usage: r.GetUsage(), Continues: r.GetContinues(), Group: r.GetGroup()})
	if err == nil {
		err = check(res)
	}
	return res, err
}

// withdraw takes back the reservation of a turn that was not passed on, in the background, at
// all members but those that have refused it: more than have replied may have stored it. It
// returns the record to reserve with next, which replaces what is stored.
func (c *Client) withdraw(u *peerv1.Usage, refused []string, members []Member) *peerv1.Usage {
	if !u.GetLeased() || len(refused) == len(members) {
		return u
	}
	withdrawn, next := proto.CloneOf(u), proto.CloneOf(u)
	withdrawn.Tokens, withdrawn.Revision = 0, u.GetRevision()+1
	next.Revision = u.GetRevision() + 2
	req := &peerv1.LedgerRequest{Op: &peerv1.LedgerRequest_Write{Write: &peerv1.Write{
		Records: []*peerv1.LedgerRecord{{Body: &peerv1.LedgerRecord_Usage{Usage: withdrawn}}},
	}}}
	for _, m := range members {
		if slices.Contains(refused, m.Name) {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
			defer cancel()
			if _, err := c.requestOnce(ctx, m, req, nil); err != nil {
				c.logger.Debug("reservation not withdrawn, it ends with its lease", "member", m.Name, "err", err)
			}
		}()
	}
	return next
}

// reserve sends a reservation to the members of a replica group, and to other groups that
// these name, until a quorum of each has stored it, or a member of a quorum has refused it;
// stored says which.
func (c *Client) reserve(ctx context.Context, members []Member, r *peerv1.Reserve) (res Reservation, stored bool, err error) {
	req := &peerv1.LedgerRequest{Op: &peerv1.LedgerRequest_Reserve{Reserve: r}}
	replies, stored, err := c.reserveAt(ctx, members, c.quorum(len(members)), req)
	if err == nil && stored {
		replies, stored, err = c.reserveAtOtherGroups(ctx, members, replies, req)
	}
	res = Reservation{Receipt: Receipt{Acknowledged: acknowledged(replies), Asked: len(members)}, refused: refusedBy(replies)}
	if err != nil {
		return res, false, err
	}
	lists := make([][]*peerv1.Usage, 0, len(replies))
	for _, reply := range replies {
		lists = append(lists, reply.reply.GetUsage())
	}
	res.Records = MergeUsage(lists...)
	res.Spent, res.Origin = SpentTokens(res.Records), res.Records[r.GetContinues()].GetOrigin()
	return res, stored, nil
}

// reserveAt sends a reservation to members until need of them have replied with all records
// of the program that they ever acknowledged; stored says whether all these have stored it.
func (c *Client) reserveAt(ctx context.Context, members []Member, need int, req *peerv1.LedgerRequest) (replies []memberReply, stored bool, err error) {
	replies, err = c.queryMembers(ctx, members, need, req, func(r []memberReply, _ int) bool {
		return countOK(r)+len(refusedBy(r)) >= need
	})
	return replies, countOK(replies) >= need, err
}

// refusedBy returns the names of the members that refused a reservation.
func refusedBy(replies []memberReply) []string {
	return namesWith(replies, peerv1.LedgerReply_OVER_BUDGET)
}

// isBeginning reports whether a group is of a list that is not complete yet, while a
// deployment starts: a part of the asked one that is too small for a ledger. The first
// members that register are enough for each quorum then.
func (c *Client) isBeginning(group, asked []Member) bool {
	names := sortedNames(asked)
	other := func(m Member) bool { return !slices.Contains(names, m.Name) }
	return len(group) < 2*c.tolerated+1 && !slices.ContainsFunc(group, other)
}

// reserveAtOtherGroups sends a reservation also to a quorum of each replica group that a
// member names because it knows of other members than this client: quorums of two groups
// may share no member. It returns the replies of all groups, and whether a quorum of each has
// stored the reservation.
func (c *Client) reserveAtOtherGroups(ctx context.Context, asked []Member, replies []memberReply, req *peerv1.LedgerRequest) ([]memberReply, bool, error) {
	done := map[uint64]bool{groupKey(asked): true}
	for i := 0; i < len(replies); i++ {
		group := groupOf(replies[i].reply)
		key, need := groupKey(group), c.quorum(len(group))
		if done[key] || len(group) < need || c.isBeginning(group, asked) {
			continue
		}
		done[key] = true
		c.logger.Info("storage process knows another replica group", "program", req.GetReserve().GetUsage().GetProgram(),
			"member", replies[i].member.Name, "asked", memberNames(asked), "group", memberNames(group))
		reserved := acknowledged(replies)
		lacking := slices.DeleteFunc(slices.Clone(group), func(m Member) bool { return slices.Contains(reserved, m.Name) })
		if need -= len(group) - len(lacking); need <= 0 {
			continue
		}
		more, stored, err := c.reserveAt(ctx, lacking, need, req)
		replies = append(replies, more...)
		if err != nil || !stored {
			return replies, false, err
		}
	}
	return replies, true, nil
}

// groupOf returns the replica group that a reply names; empty: it names none.
func groupOf(r *peerv1.LedgerReply) []Member {
	group := make([]Member, 0, len(r.GetGroup()))
	for _, m := range r.GetGroup() {
		group = append(group, Member{Name: m.GetName(), Address: m.GetAddress()})
	}
	return group
}
