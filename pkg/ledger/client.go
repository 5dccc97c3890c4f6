package ledger

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"strings"
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
	// ErrBudgetReserved means that the turn may fit the budget once reservations of turns
	// that were not passed on have ended, within ReservationLease.
	ErrBudgetReserved = errors.New("the rest of the program's token budget is reserved")
	// ErrFull means that too few storage processes have memory for a turn or for events.
	ErrFull = errors.New("the storage processes have no memory for turns")
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
	// ReadStorage reads the active storage processes from the platform's store, no
	// earlier than it is called. Storage may return an older list.
	ReadStorage(ctx context.Context) ([]Member, error)
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
	fullMembers        fullMembers
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

// ReplicaGroup returns the members that hold the records of a program, in an order that
// depends on the program only, so that its records are mostly at the same members of a
// small ledger, too. It uses rendezvous hashing: adding or removing one member changes at
// most one member of each group.
func ReplicaGroup(members []Member, key string) []Member {
	ranked := slices.Clone(members)
	rank := func(m Member) uint64 { return xxhash.Sum64String(m.Name + "\x00" + key) }
	slices.SortFunc(ranked, func(a, b Member) int { return cmp.Compare(rank(b), rank(a)) })
	return ranked[:min(len(ranked), ReplicationFactor)]
}

// groupKey identifies a replica group by the names of its members.
func groupKey(group []Member) uint64 {
	h := xxhash.New()
	for _, name := range sortedNames(group) {
		_, _ = h.WriteString(name + "\x00")
	}
	return h.Sum64()
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
func (c *Client) queryMembers(ctx context.Context, members []Member, need int, req *peerv1.LedgerRequest, enough func(replies []memberReply, left int) bool) ([]memberReply, error) {
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
	var replies []memberReply
	for left := len(members); left > 0; {
		select {
		case res := <-results:
			left--
			if res.err == nil {
				replies = append(replies, res)
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
			return replies, errors.Wrapf(ErrNoMajority, "%v after replies [%s] from %d members, %d needed",
				ctx.Err(), describe(replies), len(members), need)
		}
	}
	return replies, errors.Wrapf(ErrNoMajority, "replies [%s] from %d members, %d needed", describe(replies), len(members), need)
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
		switch {
		case err == nil && conclusive(reply.GetStatus()):
			return memberReply{member: m, reply: reply}
		case errors.Is(err, errRequestTooLarge):
			return memberReply{member: m, err: err}
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
	switch s {
	case peerv1.LedgerReply_OK, peerv1.LedgerReply_NOT_FOUND, peerv1.LedgerReply_LEAVING, peerv1.LedgerReply_OVER_BUDGET, peerv1.LedgerReply_FULL:
		return true
	}
	return false
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
func countOK(replies []memberReply) int { return len(acknowledged(replies)) }

// acknowledged returns the names of the members that replied with status OK.
func acknowledged(replies []memberReply) []string {
	return namesWith(replies, peerv1.LedgerReply_OK)
}

// namesWith returns the names of the members that replied with a status.
func namesWith(replies []memberReply, s peerv1.LedgerReply_Status) []string {
	var names []string
	for _, r := range replies {
		if r.reply.GetStatus() == s {
			names = append(names, r.member.Name)
		}
	}
	return names
}

// describe lists the members with the status that each replied, for logs and errors.
func describe(replies []memberReply) string {
	parts := make([]string, 0, len(replies))
	for _, r := range replies {
		parts = append(parts, r.member.Name+":"+r.reply.GetStatus().String())
	}
	slices.Sort(parts)
	return strings.Join(parts, ",")
}
