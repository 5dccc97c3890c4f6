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

// Errors of the client.
var (
	ErrNoMajority = errors.New("no majority of the storage processes answers")
	ErrNotFound   = errors.New("no storage process has the turn")
	ErrOverBudget = errors.New("the program's budget does not hold the turn")
)

// Member is an active storage process.
type Member struct {
	Name, Address string
	Local         bool // in the region of this process
}

// Directory tells where the processes are.
type Directory interface {
	Storage() []Member // active storage processes
	Relays() []string  // addresses of entries that may reach what this process can not
}

const (
	// DirectTimeout bounds one request to a storage process: a slow one keeps
	// the request rather than getting it again.
	DirectTimeout = 1200 * time.Millisecond
	// relayTimeout bounds one request through a relay.
	relayTimeout = 400 * time.Millisecond
	// RelayedTimeout is the part of it that a relay has for the storage process.
	RelayedTimeout = 250 * time.Millisecond
	// hedgeNear and hedgeFar are how long the first members may take before all
	// are asked: a round trip within a region, or between regions, and a sync.
	hedgeNear = 30 * time.Millisecond
	hedgeFar  = 100 * time.Millisecond
	// nearTimeout is how long the members of the own region may take to find a
	// chain before the others are asked as well.
	nearTimeout = 80 * time.Millisecond
	// retryPause is the wait before a failed request is sent again.
	retryPause = 60 * time.Millisecond
)

// Client reads and writes the ledger at a majority of the storage processes.
type Client struct {
	transport *transport.Transport
	directory Directory
	// tolerated is the number of members that may be lost at the same time. A
	// view of the members may be incomplete, as after a start, so a majority of
	// the known ones is not enough if it is smaller than tolerated+1.
	tolerated int
	links     *links
	cutOff    cutOff
	logger    *slog.Logger
}

// NewClient returns a client that reaches the members of a directory. Up to
// tolerated members may be lost at the same time.
func NewClient(t *transport.Transport, d Directory, tolerated int, logger *slog.Logger) *Client {
	return &Client{transport: t, directory: d, tolerated: tolerated, links: newLinks(t), logger: logger}
}

// quorum returns how many of n members must answer.
func (c *Client) quorum(n int) int { return max(Majority(n), c.tolerated+1) }

// groupSize is the number of storage processes that hold the records of one
// program: with five, two may lose their disks and a majority is left.
const groupSize = 5

// ReplicaGroup returns the members that hold the records under a key, by rendezvous
// hashing: a change of one member changes a group by one member at most.
func ReplicaGroup(members []Member, key string) []Member {
	if len(members) <= groupSize {
		return members
	}
	ranked := slices.Clone(members)
	rank := func(m Member) uint64 { return xxhash.Sum64String(m.Name + "\x00" + key) }
	slices.SortFunc(ranked, func(a, b Member) int { return cmp.Compare(rank(b), rank(a)) })
	return ranked[:groupSize]
}

// nearFirst orders members by their distance, those that only a relay reaches
// last.
func (c *Client) nearFirst(members []Member) []Member {
	distance := func(m Member) int {
		switch {
		case c.cutOff.is(m.Address):
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

// Majority returns how many of n active storage processes must answer.
func Majority(n int) int { return n/2 + 1 }

type answer struct {
	member Member
	reply  *peerv1.LedgerReply
	err    error
}

// ask sends a request to members until the context ends or enough is satisfied
// by the answers so far. It begins with the nearest ones and goes on to the
// others when one of these fails or does not answer in time. Each member is
// asked again while it fails.
func (c *Client) ask(ctx context.Context, members []Member, need int, req *peerv1.LedgerRequest, enough func([]*peerv1.LedgerReply, int) bool) ([]*peerv1.LedgerReply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, len(members))
	trouble := make(chan struct{}, 1)
	started := 0
	start := func(n int) {
		for ; started < min(n, len(members)); started++ {
			m := members[started]
			go func() { answers <- c.persist(ctx, m, req, trouble) }()
		}
	}
	first, wait := firstAsked(members, need)
	start(first)
	hedge := time.NewTimer(wait)
	defer hedge.Stop()
	var replies []*peerv1.LedgerReply
	for left := len(members); left > 0; {
		select {
		case a := <-answers:
			left--
			if a.err == nil {
				replies = append(replies, a.reply)
			}
			if enough(replies, left) {
				return replies, nil
			}
			if a.err != nil || a.reply.GetStatus() != peerv1.LedgerReply_OK {
				start(len(members))
			}
		case <-trouble:
			start(len(members))
		case <-hedge.C:
			start(len(members))
		case <-ctx.Done():
			return replies, errors.Wrapf(ErrNoMajority, "%v after %d answers (%d complete) of %d members, %d needed",
				ctx.Err(), len(replies), counts(replies), len(members), need)
		}
	}
	return replies, ErrNoMajority
}

// firstAsked returns how many of the members, nearest first, are asked at once
// and how long they may take. If the nearest are all in the own region they are
// enough; otherwise one more is asked, since waiting for a far one that is slow
// costs another round trip between regions.
func firstAsked(members []Member, need int) (int, time.Duration) {
	for _, m := range members[:min(need, len(members))] {
		if !m.Local {
			return need + 1, hedgeFar
		}
	}
	return need, hedgeNear
}

// persist asks one member until it gives a useful answer or the context ends.
// It reports the first failure to trouble.
func (c *Client) persist(ctx context.Context, m Member, req *peerv1.LedgerRequest, trouble chan<- struct{}) answer {
	for {
		reply, err := c.once(ctx, m, req, trouble)
		if err == nil && final(reply.GetStatus()) {
			return answer{member: m, reply: reply}
		}
		report(trouble)
		select {
		case <-ctx.Done():
			if err == nil {
				err = ctx.Err()
			}
			return answer{member: m, err: err}
		case <-time.After(retryPause):
		}
	}
}

func report(trouble chan<- struct{}) {
	select {
	case trouble <- struct{}{}:
	default: // it is known already
	}
}

// final reports whether asking again soon can not bring another answer.
func final(s peerv1.LedgerReply_Status) bool {
	return s == peerv1.LedgerReply_OK || s == peerv1.LedgerReply_NOT_FOUND || s == peerv1.LedgerReply_LEAVING
}

// once asks directly or, if there is no connection, through a relay.
func (c *Client) once(ctx context.Context, m Member, req *peerv1.LedgerRequest, trouble chan<- struct{}) (*peerv1.LedgerReply, error) {
	if c.cutOff.is(m.Address) {
		return c.relayed(ctx, m, req)
	}
	dctx, cancel := context.WithTimeout(ctx, DirectTimeout)
	reply, err := c.links.call(dctx, m.Address, req)
	cancel()
	if err == nil || ctx.Err() != nil {
		return reply, err
	}
	report(trouble)
	if !errors.Is(err, errUnreachable) {
		return nil, err
	}
	if c.cutOff.add(m.Address) {
		c.logger.Warn("storage process not reached directly", "member", m.Name, "address", m.Address, "err", err)
		go c.findBack(m)
	}
	return c.relayed(ctx, m, req)
}

// Call sends one request to an address on a stream of its own and returns the
// reply. A session on which none comes in time is probed.
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

// counts returns the answers of complete members.
func counts(replies []*peerv1.LedgerReply) int {
	n := 0
	for _, r := range replies {
		if r.GetStatus() == peerv1.LedgerReply_OK {
			n++
		}
	}
	return n
}

// Write stores records of one program at a majority of its group.
func (c *Client) Write(ctx context.Context, program string, recs []*peerv1.LedgerRecord) error {
	members := c.nearFirst(ReplicaGroup(c.directory.Storage(), program))
	need := c.quorum(len(members))
	req := &peerv1.LedgerRequest{Op: &peerv1.LedgerRequest_Write{Write: &peerv1.Write{Records: recs}}}
	_, err := c.ask(ctx, members, need, req, func(r []*peerv1.LedgerReply, _ int) bool { return counts(r) >= need })
	return err
}

// WriteAll stores usage records of several programs, each at a majority of its
// group, in one request to each member. It returns those that no majority has.
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
			a := c.persist(ctx, m, &peerv1.LedgerRequest{
				Op: &peerv1.LedgerRequest_Write{Write: &peerv1.Write{Records: batch}},
			}, nil)
			results <- result{records: indexes, ok: a.err == nil && a.reply.GetStatus() == peerv1.LedgerReply_OK}
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
	need := c.quorum(min(len(all), groupSize))
	var failed []*peerv1.LedgerRecord
	for i, rec := range recs {
		if stored[i] < need {
			failed = append(failed, rec)
		}
	}
	return failed
}

// Reserve sets tokens of a program's budget aside for an attempt and returns
// the tokens that ended turns have used. The error is ErrOverBudget if the
// tokens do not fit, and ErrNoMajority if that is not known before the context
// ends. In both cases the reservation may remain.
func (c *Client) Reserve(ctx context.Context, u *peerv1.Usage, budget int) (spent int, err error) {
	members := c.nearFirst(ReplicaGroup(c.directory.Storage(), u.GetProgram()))
	need := c.quorum(len(members))
	req := &peerv1.LedgerRequest{Op: &peerv1.LedgerRequest_Reserve{Reserve: &peerv1.Reserve{Usage: u}}}
	replies, err := c.ask(ctx, members, need, req, func(r []*peerv1.LedgerReply, _ int) bool { return counts(r) >= need })
	if err != nil {
		return 0, err
	}
	lists := make([][]*peerv1.Usage, 0, len(replies))
	for _, r := range replies {
		lists = append(lists, r.GetUsage())
	}
	all := MergeUsage(lists...)
	if !FitsBudget(all, u.GetAttempt(), int(u.GetTokens()), budget) {
		return SpentTokens(all), ErrOverBudget
	}
	return SpentTokens(all), nil
}

// Chain returns a turn and all turns before it, oldest first. ErrNotFound means
// that every active storage process answered that it has no such turn. The
// turns of one chain may lie with different members, so the parts are put
// together here; a missing earlier turn is ErrNoMajority.
func (c *Client) Chain(ctx context.Context, id string) ([]*peerv1.TurnRecord, error) {
	var chain []*peerv1.TurnRecord
	for len(chain) < maxChain {
		part, err := c.part(ctx, id)
		if errors.Is(err, ErrNotFound) && len(chain) > 0 {
			return nil, errors.Wrapf(ErrNoMajority, "earlier turn %s is missing", id)
		}
		if err != nil {
			return nil, err
		}
		chain = append(part, chain...)
		if id = part[0].GetParent(); id == "" {
			return chain, nil
		}
	}
	return nil, errors.Wrapf(ErrNoMajority, "chain exceeds %d turns", maxChain)
}

// part returns the end of a chain. The members of the own region are asked
// first, since a chain is large.
func (c *Client) part(ctx context.Context, id string) ([]*peerv1.TurnRecord, error) {
	members := c.directory.Storage()
	near := make([]Member, 0, len(members))
	for _, m := range members {
		if m.Local {
			near = append(near, m)
		}
	}
	if len(near) > 0 && len(near) < len(members) {
		nctx, cancel := context.WithTimeout(ctx, nearTimeout)
		chain, err := c.chainAt(nctx, near, id)
		cancel()
		if err == nil {
			return chain, nil
		}
	}
	return c.chainAt(ctx, members, id)
}

// chainAt asks some members for the end of a chain.
func (c *Client) chainAt(ctx context.Context, members []Member, id string) ([]*peerv1.TurnRecord, error) {
	if len(members) == 0 {
		return nil, ErrNoMajority
	}
	req := &peerv1.LedgerRequest{Op: &peerv1.LedgerRequest_Fetch{Fetch: &peerv1.FetchChain{Turn: id}}}
	replies, err := c.ask(ctx, members, 1, req, func(r []*peerv1.LedgerReply, left int) bool { return found(r) != nil || left == 0 })
	if r := found(replies); r != nil {
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

// found returns the reply with the turns, or nil.
func found(replies []*peerv1.LedgerReply) *peerv1.LedgerReply {
	for _, r := range replies {
		if len(r.GetTurns()) > 0 {
			return r
		}
	}
	return nil
}
