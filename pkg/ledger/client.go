package ledger

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

// Errors returned by Client.
var (
	ErrNoMajority = errors.New("no majority of the storage processes answers")
	ErrNotFound   = errors.New("turn not found on any storage process")
	ErrOverBudget = errors.New("turn exceeds the program's token budget")
)

// Member is an active storage process.
type Member struct {
	Name, Address string
	Local         bool // in the region of this process
}

// Directory lists the processes of the deployment.
type Directory interface {
	Storage() []Member // active storage processes
	Relays() []string  // addresses of entries that may reach members this process cannot reach
}

const (
	// DirectTimeout limits one request to a storage process. It is long, so that a
	// slow process does not get the same request again while it works on it.
	DirectTimeout = 1200 * time.Millisecond
	// relayTimeout limits one request through a relay.
	relayTimeout = 400 * time.Millisecond
	// RelayedTimeout limits the relay's own request to the storage process. It is
	// shorter than relayTimeout to leave time for the reply.
	RelayedTimeout = 250 * time.Millisecond
	// If the members asked first have not replied after localHedgeDelay or
	// remoteHedgeDelay, all members are asked. The delays cover a sync to disk and
	// a round trip within a region or between regions.
	localHedgeDelay  = 30 * time.Millisecond
	remoteHedgeDelay = 100 * time.Millisecond
	// localFetchTimeout is how long the members of the client's region may take to
	// return a chain before all members are asked.
	localFetchTimeout = 80 * time.Millisecond
	// retryDelay is the delay before a failed request is retried.
	retryDelay = 60 * time.Millisecond
)

// Client reads and writes the ledger at a majority of the storage processes.
type Client struct {
	transport *transport.Transport
	directory Directory
	// tolerated is the number of members that may fail at the same time. The list
	// of members may be incomplete, for example after a start, so a quorum has at
	// least tolerated+1 members even if fewer are a majority of the known ones.
	tolerated          int
	streamPool         *streamPool
	unreachableMembers unreachableMembers
	logger             *slog.Logger
}

// NewClient returns a client for the members of a directory. Up to tolerated
// members may fail at the same time.
func NewClient(t *transport.Transport, d Directory, tolerated int, logger *slog.Logger) *Client {
	return &Client{transport: t, directory: d, tolerated: tolerated, streamPool: newStreamPool(t), logger: logger}
}

// quorum returns how many of n members must reply.
func (c *Client) quorum(n int) int { return max(Majority(n), c.tolerated+1) }

// ReplicationFactor is the number of storage processes that hold the records of
// one program. With five, a majority remains if two lose their disks.
const ReplicationFactor = 5

// ReplicaGroup returns the members that hold the records of a program. It uses
// rendezvous hashing: adding or removing one member changes at most one member
// of each group.
func ReplicaGroup(members []Member, key string) []Member {
	if len(members) <= ReplicationFactor {
		return members
	}
	ranked := slices.Clone(members)
	rank := func(m Member) uint64 { return xxhash.Sum64String(m.Name + "\x00" + key) }
	slices.SortFunc(ranked, func(a, b Member) int { return cmp.Compare(rank(b), rank(a)) })
	return ranked[:ReplicationFactor]
}

// sortByDistance returns the members of the own region first, then those of other
// regions, then those reachable only through a relay.
func (c *Client) sortByDistance(members []Member) []Member {
	distance := func(m Member) int {
		switch {
		case c.unreachableMembers.contains(m.Address):
			return 2
		case m.Local:
			return 0
		}
		return 1
	}
	ordered := slices.Clone(members)
	slices.SortStableFunc(ordered, func(a, b Member) int { return cmp.Compare(distance(a), distance(b)) })
	return ordered
}

// Majority returns the smallest majority of n active storage processes.
func Majority(n int) int { return n/2 + 1 }

// memberReply is the outcome of a request to one member.
type memberReply struct {
	member Member
	reply  *peerv1.LedgerReply
	err    error
}

// queryMembers sends a request to members, nearest first, until the context is
// done or enough returns true. enough gets the replies so far and the number of
// members without a result. The request first goes to the members given by
// initialFanOut, and to all others once one of these fails or the hedge delay
// passes. A failed request is retried at the same member.
func (c *Client) queryMembers(ctx context.Context, members []Member, need int, req *peerv1.LedgerRequest, enough func([]*peerv1.LedgerReply, int) bool) ([]*peerv1.LedgerReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan memberReply, len(members))
	failed := make(chan struct{}, 1)
	started := 0
	start := func(n int) {
		for ; started < min(n, len(members)); started++ {
			m := members[started]
			go func() { results <- c.requestWithRetry(ctx, m, req, failed) }()
		}
	}
	first, wait := initialFanOut(members, need)
	start(first)
	hedge := time.NewTimer(wait)
	defer hedge.Stop()
	var replies []*peerv1.LedgerReply
	for left := len(members); left > 0; {
		select {
		case res := <-results:
			left--
			if res.err == nil {
				replies = append(replies, res.reply)
			}
			if enough(replies, left) {
				return replies, nil
			}
			if res.err != nil || res.reply.GetStatus() != peerv1.LedgerReply_OK {
				start(len(members))
			}
		case <-failed:
			start(len(members))
		case <-hedge.C:
			start(len(members))
		case <-ctx.Done():
			return replies, errors.Wrapf(ErrNoMajority, "%v after %d replies (%d with status OK) from %d members, %d needed",
				ctx.Err(), len(replies), countOK(replies), len(members), need)
		}
	}
	return replies, ErrNoMajority
}

// initialFanOut returns how many of the members, nearest first, are asked at
// once, and the hedge delay after which all are asked. need is the number of
// replies needed. If that many members are in the own region, only these are
// asked. Otherwise one more is asked, since waiting for a slow remote member
// would cost another round trip between regions.
func initialFanOut(members []Member, need int) (int, time.Duration) {
	for _, m := range members[:min(need, len(members))] {
		if !m.Local {
			return need + 1, remoteHedgeDelay
		}
	}
	return need, localHedgeDelay
}

// requestWithRetry sends a request to one member until it gets a conclusive reply
// or the context is done. Each failure is signaled to failed, which may be nil.
func (c *Client) requestWithRetry(ctx context.Context, m Member, req *peerv1.LedgerRequest, failed chan<- struct{}) memberReply {
	for {
		reply, err := c.requestOnce(ctx, m, req, failed)
		if err == nil && conclusive(reply.GetStatus()) {
			return memberReply{member: m, reply: reply}
		}
		signal(failed)
		select {
		case <-ctx.Done():
			if err == nil {
				err = ctx.Err()
			}
			return memberReply{member: m, err: err}
		case <-time.After(retryDelay):
		}
	}
}

// signal sends to a channel unless that would block.
func signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default: // a signal is already pending
	}
}

// conclusive reports whether a status is not expected to change if the request is
// retried soon.
func conclusive(s peerv1.LedgerReply_Status) bool {
	return s == peerv1.LedgerReply_OK || s == peerv1.LedgerReply_NOT_FOUND || s == peerv1.LedgerReply_LEAVING
}

// requestOnce sends a request directly or, if the member is unreachable, through
// a relay.
func (c *Client) requestOnce(ctx context.Context, m Member, req *peerv1.LedgerRequest, failed chan<- struct{}) (*peerv1.LedgerReply, error) {
	if c.unreachableMembers.contains(m.Address) {
		return c.requestViaRelay(ctx, m, req)
	}
	directCtx, cancel := context.WithTimeout(ctx, DirectTimeout)
	reply, err := c.streamPool.call(directCtx, m.Address, req)
	cancel()
	if err == nil || ctx.Err() != nil {
		return reply, err
	}
	signal(failed)
	if !errors.Is(err, errUnreachable) {
		return nil, err
	}
	if c.unreachableMembers.add(m.Address) {
		c.logger.Warn("storage process not reached directly", "member", m.Name, "address", m.Address, "err", err)
		go c.redial(m)
	}
	return c.requestViaRelay(ctx, m, req)
}

// Call sends one request to an address on a new stream and returns the reply. A
// session on which no reply arrives in time is probed.
func Call(ctx context.Context, t *transport.Transport, address string, req *peerv1.LedgerRequest) (*peerv1.LedgerReply, error) {
	m, err := t.Ask(ctx, address, &peerv1.Envelope{Body: &peerv1.Envelope_LedgerRequest{LedgerRequest: req}})
	if err != nil {
		return nil, errors.Wrapf(err, "ledger request to %s", address)
	}
	r := m.GetLedgerReply()
	if r == nil {
		return nil, errors.Errorf("ledger request to %s: unexpected reply", address)
	}
	return r, nil
}

// countOK returns the number of replies with status OK, which are the ones that
// count towards a quorum.
func countOK(replies []*peerv1.LedgerReply) int {
	n := 0
	for _, r := range replies {
		if r.GetStatus() == peerv1.LedgerReply_OK {
			n++
		}
	}
	return n
}

// Write stores records of one program at a quorum of its replica group.
func (c *Client) Write(ctx context.Context, program string, recs []*peerv1.LedgerRecord) error {
	members := c.sortByDistance(ReplicaGroup(c.directory.Storage(), program))
	need := c.quorum(len(members))
	req := &peerv1.LedgerRequest{Op: &peerv1.LedgerRequest_Write{Write: &peerv1.Write{Records: recs}}}
	_, err := c.queryMembers(ctx, members, need, req, func(r []*peerv1.LedgerReply, _ int) bool { return countOK(r) >= need })
	return err
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
	need := c.quorum(min(len(all), ReplicationFactor))
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
	replies, err := c.queryMembers(ctx, members, need, req, func(r []*peerv1.LedgerReply, _ int) bool { return countOK(r) >= need })
	if err != nil {
		return Reservation{}, err
	}
	lists := make([][]*peerv1.Usage, 0, len(replies))
	for _, r := range replies {
		lists = append(lists, r.GetUsage())
	}
	merged := MergeUsage(lists...)
	res := Reservation{Spent: SpentTokens(merged), Origin: merged[continues].GetOrigin()}
	if budget > 0 && !FitsBudget(merged, u.GetAttempt(), int(u.GetTokens()), budget) {
		return res, ErrOverBudget
	}
	return res, nil
}

// Chain returns a turn and all its ancestors, oldest first. It fails with
// ErrNotFound only if every active storage process replied that it does not have
// the turn. The turns of one chain may be stored on different members, so Chain
// assembles it from several requests; if an ancestor is missing it fails with
// ErrNoMajority.
func (c *Client) Chain(ctx context.Context, id string) ([]*peerv1.TurnRecord, error) {
	var chain []*peerv1.TurnRecord
	for len(chain) < maxChainTurns {
		tail, err := c.tail(ctx, id)
		if errors.Is(err, ErrNotFound) && len(chain) > 0 {
			return nil, errors.Wrapf(ErrNoMajority, "ancestor turn %s is missing", id)
		}
		if err != nil {
			return nil, err
		}
		chain = append(tail, chain...)
		if id = tail[0].GetParent(); id == "" {
			return chain, nil
		}
	}
	return nil, errors.Wrapf(ErrNoMajority, "chain exceeds %d turns", maxChainTurns)
}

// tail returns a turn and as many of its ancestors as one member has. It asks the
// members of the own region first, to avoid sending large chains between regions.
func (c *Client) tail(ctx context.Context, id string) ([]*peerv1.TurnRecord, error) {
	members := c.directory.Storage()
	local := make([]Member, 0, len(members))
	for _, m := range members {
		if m.Local {
			local = append(local, m)
		}
	}
	if len(local) > 0 && len(local) < len(members) {
		localCtx, cancel := context.WithTimeout(ctx, localFetchTimeout)
		chain, err := c.tailFrom(localCtx, local, id)
		cancel()
		if err == nil {
			return chain, nil
		}
	}
	return c.tailFrom(ctx, members, id)
}

// tailFrom asks the given members for a turn and its ancestors.
func (c *Client) tailFrom(ctx context.Context, members []Member, id string) ([]*peerv1.TurnRecord, error) {
	if len(members) == 0 {
		return nil, ErrNoMajority
	}
	req := &peerv1.LedgerRequest{Op: &peerv1.LedgerRequest_Fetch{Fetch: &peerv1.FetchChain{Turn: id}}}
	replies, err := c.queryMembers(ctx, members, 1, req, func(r []*peerv1.LedgerReply, left int) bool { return replyWithTurns(r) != nil || left == 0 })
	if r := replyWithTurns(replies); r != nil {
		return r.GetTurns(), nil
	}
	if err != nil {
		return nil, err
	}
	for _, r := range replies {
		if r.GetStatus() != peerv1.LedgerReply_NOT_FOUND {
			return nil, ErrNoMajority
		}
	}
	if len(replies) < len(members) || len(members) < 2*c.tolerated+1 {
		return nil, ErrNoMajority
	}
	return nil, ErrNotFound
}

// replyWithTurns returns the first reply that contains turns, or nil.
func replyWithTurns(replies []*peerv1.LedgerReply) *peerv1.LedgerReply {
	for _, r := range replies {
		if len(r.GetTurns()) > 0 {
			return r
		}
	}
	return nil
}
