package ledger

import (
	"context"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

// Chain returns a turn and all its ancestors, oldest first. It fails with ErrNotFound
// only if every active storage process, by a list that was read from the platform's
// store after the call, replied that it does not have the turn. The turns of one chain
// may be stored on different members, and one message may not hold them, so Chain assembles
// it from several requests; if an ancestor is missing it fails with ErrNoMajority. With an
// error it returns the last turns of the chain, which it has read.
func (c *Client) Chain(ctx context.Context, id string) ([]*peerv1.TurnRecord, error) {
	return c.ChainWithin(ctx, id, func([]*peerv1.TurnRecord) error { return nil })
}

// ChainWithin returns what Chain returns. It calls admit with each part that it has read and
// stops with the error that this returns, for example because the chain exceeds the memory of
// the process.
func (c *Client) ChainWithin(ctx context.Context, id string, admit func([]*peerv1.TurnRecord) error) ([]*peerv1.TurnRecord, error) {
	var chain []*peerv1.TurnRecord
	for len(chain) < maxChainTurns {
		tail, err := c.tail(ctx, id)
		if errors.Is(err, ErrNotFound) && len(chain) > 0 {
			return chain, errors.Wrapf(ErrNoMajority, "ancestor turn %s is missing", id)
		}
		if err != nil {
			return chain, err
		}
		if err := admit(tail); err != nil {
			return chain, err
		}
		chain = append(tail, chain...)
		if id = tail[0].GetParent(); id == "" {
			return chain, nil
		}
	}
	return chain, errors.Wrapf(ErrNoMajority, "chain exceeds %d turns", maxChainTurns)
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
	chain, err := c.tailFrom(ctx, members, id)
	if errors.Is(err, ErrNotFound) {
		return c.confirmNotFound(ctx, members, id, err)
	}
	return chain, err
}

// confirmNotFound looks for a turn that none of the members asked has. The directory's
// list may lack members that joined lately, and a turn may be stored on these only, so
// the list is read anew. All members of a list that differs are asked, also those that
// were asked before: they may have received the turn from one that left meanwhile.
func (c *Client) confirmNotFound(ctx context.Context, asked []Member, id string, notFound error) ([]*peerv1.TurnRecord, error) {
	current, err := c.directory.ReadStorage(ctx)
	if err != nil {
		return nil, errors.Wrapf(ErrNoMajority, "members not known for certain: %v; %v", err, notFound)
	}
	if sameMembers(current, asked) {
		return nil, notFound
	}
	c.logger.Warn("list of storage processes was outdated", "turn", id, "asked", memberNames(asked), "current", memberNames(current))
	return c.tailFrom(ctx, current, id)
}

// memberNames lists members for logs.
func memberNames(members []Member) string { return strings.Join(sortedNames(members), ",") }

func sortedNames(members []Member) []string {
	names := make([]string, 0, len(members))
	for _, m := range members {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	return names
}

// tailFrom asks the given members for a turn and its ancestors.
func (c *Client) tailFrom(ctx context.Context, members []Member, id string) ([]*peerv1.TurnRecord, error) {
	if len(members) == 0 {
		return nil, ErrNoMajority
	}
	req := &peerv1.LedgerRequest{Op: &peerv1.LedgerRequest_Fetch{Fetch: &peerv1.FetchChain{Turn: id}}}
	replies, err := c.queryMembers(ctx, members, 1, req, func(r []memberReply, left int) bool { return replyWithTurns(r) != nil || left == 0 })
	if r := replyWithTurns(replies); r != nil {
		return r.GetTurns(), nil
	}
	if err != nil {
		return nil, err
	}
	for _, r := range replies {
		if r.reply.GetStatus() != peerv1.LedgerReply_NOT_FOUND {
			return nil, errors.Wrapf(ErrNoMajority, "replies [%s]", describe(replies))
		}
	}
	if len(replies) < len(members) || len(members) < 2*c.tolerated+1 {
		return nil, errors.Wrapf(ErrNoMajority, "replies [%s] from %d members", describe(replies), len(members))
	}
	return nil, errors.Wrapf(ErrNotFound, "replies [%s]", describe(replies))
}

// replyWithTurns returns the first reply that contains turns, or nil.
func replyWithTurns(replies []memberReply) *peerv1.LedgerReply {
	for _, r := range replies {
		if len(r.reply.GetTurns()) > 0 {
			return r.reply
		}
	}
	return nil
}
