package ledger

import (
	"context"
	"log/slog"
	"time"

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
	// DirectTimeout is how long a storage process may take before the request
	// goes through a relay as well: two round trips between regions and a sync
	// of a slow disk.
	DirectTimeout = 250 * time.Millisecond
	// relayTimeout bounds one request through a relay.
	relayTimeout = 400 * time.Millisecond
	// lingerTime is how long members are asked after the call has its result.
	lingerTime = 1500 * time.Millisecond
	// retryPause is the wait before a failed request is sent again.
	retryPause = 60 * time.Millisecond
)

// Client reads and writes the ledger at a majority of the storage processes.
type Client struct {
	Transport *transport.Transport
	Directory Directory
	Logger    *slog.Logger
}

// Majority returns how many of n active storage processes must answer.
func Majority(n int) int { return n/2 + 1 }

type answer struct {
	member Member
	reply  *peerv1.LedgerReply
	err    error
}

// ask sends a request to every member until the context ends or enough is
// satisfied by the answers so far. Each member is asked again while it fails.
// The requests to the others go on for lingerTime, so that records reach every
// member that can be reached and not only a majority.
func (c *Client) ask(ctx context.Context, members []Member, req func() *peerv1.LedgerRequest, enough func([]*peerv1.LedgerReply, int) bool) ([]*peerv1.LedgerReply, error) {
	asking, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer time.AfterFunc(lingerTime, cancel)
	answers := make(chan answer, len(members))
	for _, m := range members {
		go func() { answers <- c.persist(asking, m, req) }()
	}
	var replies []*peerv1.LedgerReply
	for left := len(members); left > 0; left-- {
		select {
		case a := <-answers:
			if a.err == nil {
				replies = append(replies, a.reply)
			}
		case <-ctx.Done():
			return replies, errors.Wrap(ErrNoMajority, ctx.Err().Error())
		}
		if enough(replies, left-1) {
			return replies, nil
		}
	}
	return replies, ErrNoMajority
}

// persist asks one member until it gives a useful answer or the context ends.
func (c *Client) persist(ctx context.Context, m Member, req func() *peerv1.LedgerRequest) answer {
	for {
		reply, err := c.once(ctx, m, req())
		if err == nil && final(reply.GetStatus()) {
			return answer{member: m, reply: reply}
		}
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

// final reports whether asking again soon can not bring another answer.
func final(s peerv1.LedgerReply_Status) bool {
	return s == peerv1.LedgerReply_OK || s == peerv1.LedgerReply_NOT_FOUND || s == peerv1.LedgerReply_LEAVING
}

// once asks directly and, if there is no answer in time, through a relay.
func (c *Client) once(ctx context.Context, m Member, req *peerv1.LedgerRequest) (*peerv1.LedgerReply, error) {
	dctx, cancel := context.WithTimeout(ctx, DirectTimeout)
	reply, err := Call(dctx, c.Transport, m.Address, req)
	cancel()
	if err == nil || ctx.Err() != nil {
		return reply, err
	}
	for _, relay := range c.Directory.Relays() {
		req.RelayTo = m.Address
		rctx, cancel := context.WithTimeout(ctx, relayTimeout)
		reply, rerr := Call(rctx, c.Transport, relay, req)
		cancel()
		if rerr == nil && reply.GetStatus() != peerv1.LedgerReply_UNREACHABLE {
			return reply, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, err
}

// Call sends one request to an address and returns the reply. A session that
// does not answer in time is closed, since it may be silent for good.
func Call(ctx context.Context, t *transport.Transport, address string, req *peerv1.LedgerRequest) (*peerv1.LedgerReply, error) {
	s, err := t.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	st, err := s.Open(ctx, &peerv1.Envelope{Body: &peerv1.Envelope_LedgerRequest{LedgerRequest: req}})
	if err != nil {
		return nil, err
	}
	defer st.Close()
	if d, ok := ctx.Deadline(); ok {
		if err := st.SetDeadline(d); err != nil {
			return nil, errors.Wrap(err, "set deadline")
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = st.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	m, err := st.Recv()
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

// Write stores records at a majority.
func (c *Client) Write(ctx context.Context, recs []*peerv1.LedgerRecord) error {
	members := c.Directory.Storage()
	need := Majority(len(members))
	_, err := c.ask(ctx, members, func() *peerv1.LedgerRequest {
		return &peerv1.LedgerRequest{Op: &peerv1.LedgerRequest_Write{Write: &peerv1.Write{Records: recs}}}
	}, func(r []*peerv1.LedgerReply, _ int) bool { return counts(r) >= need })
	return err
}

// Reserve sets tokens of a program's budget aside for an attempt and returns
// the tokens that ended turns have used. The error is ErrOverBudget if the
// tokens do not fit, and ErrNoMajority if that is not known before the context
// ends. In both cases the reservation may remain.
func (c *Client) Reserve(ctx context.Context, u *peerv1.Usage, budget int) (spent int, err error) {
	members := c.Directory.Storage()
	need := Majority(len(members))
	replies, err := c.ask(ctx, members, func() *peerv1.LedgerRequest {
		return &peerv1.LedgerRequest{Op: &peerv1.LedgerRequest_Reserve{Reserve: &peerv1.Reserve{Usage: u}}}
	}, func(r []*peerv1.LedgerReply, _ int) bool { return counts(r) >= need })
	if err != nil {
		return 0, err
	}
	lists := make([][]*peerv1.Usage, 0, len(replies))
	for _, r := range replies {
		lists = append(lists, r.GetUsage())
	}
	all := Merge(lists...)
	if !Fits(all, u.GetAttempt(), int(u.GetTokens()), budget) {
		return Spent(all), ErrOverBudget
	}
	return Spent(all), nil
}

// Chain returns a turn and all turns before it, oldest first. ErrNotFound means
// that every active storage process answered that it has none.
func (c *Client) Chain(ctx context.Context, id string) ([]*peerv1.TurnRecord, error) {
	members := c.Directory.Storage()
	if len(members) == 0 {
		return nil, ErrNoMajority
	}
	found := func(r []*peerv1.LedgerReply) *peerv1.LedgerReply {
		for _, x := range r {
			if len(x.GetTurns()) > 0 {
				return x
			}
		}
		return nil
	}
	replies, err := c.ask(ctx, members, func() *peerv1.LedgerRequest {
		return &peerv1.LedgerRequest{Op: &peerv1.LedgerRequest_Fetch{Fetch: &peerv1.FetchChain{Turn: id}}}
	}, func(r []*peerv1.LedgerReply, left int) bool { return found(r) != nil || left == 0 })
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
	if len(replies) < len(members) {
		return nil, ErrNoMajority
	}
	return nil, ErrNotFound
}
