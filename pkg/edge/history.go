package edge

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
)

// maxCachedChain limits the walk through the cache, in case parents form a cycle.
const maxCachedChain = 4096

// cachedChain returns the cached end of a conversation, oldest turn first.
func (e *Edge) cachedChain(id string) []*peerv1.TurnRecord {
	var chain []*peerv1.TurnRecord
	for range maxCachedChain {
		r, ok := e.turns.Get(id)
		if !ok {
			break
		}
		chain = append(chain, r)
		if id = r.GetParent(); id == "" {
			break
		}
	}
	slices.Reverse(chain)
	return chain
}

// chain returns a turn and all turns before it, oldest first, from memory, from the
// ledger or from another edge.
func (e *Edge) chain(ctx context.Context, id string) ([]*peerv1.TurnRecord, error) {
	chain := e.cachedChain(id)
	if len(chain) > 0 {
		if id = chain[0].GetParent(); id == "" {
			return chain, nil
		}
	}
	earlier, err := e.ledger.Chain(ctx, id)
	if errors.Is(err, ledger.ErrNotFound) {
		earlier, err = e.chainFromPeers(ctx, id, err)
	}
	// Turns that were read before an error are kept, so that the next try of a long
	// conversation needs the others only.
	for _, r := range earlier {
		e.turns.Add(r.GetId(), r)
	}
	if err != nil {
		return nil, err
	}
	return append(earlier, chain...), nil
}

// chainFromPeers returns a turn that no storage process has and all turns before it.
// notFound is what the ledger returned for the turn; it is returned if no other edge has
// the turn either. With another error it returns the turns that were read.
func (e *Edge) chainFromPeers(ctx context.Context, id string, notFound error) ([]*peerv1.TurnRecord, error) {
	var chain []*peerv1.TurnRecord
	for range maxCachedChain {
		part, err := e.fetchTurnFromPeers(ctx, id)
		switch {
		case errors.Is(err, ledger.ErrNotFound) && len(chain) == 0:
			return nil, notFound
		case errors.Is(err, ledger.ErrNotFound):
			return chain, errors.Wrapf(ledger.ErrNoMajority, "ancestor turn %s is missing", id)
		case err != nil:
			return chain, err
		}
		e.logger.Warn("turn only found in the memory of another edge", "turn", id, "err", notFound)
		chain = append(part, chain...)
		if id = chain[0].GetParent(); id == "" {
			return chain, nil
		}
		first, err := e.ledger.Chain(ctx, id)
		if !errors.Is(err, ledger.ErrNotFound) {
			return append(first, chain...), err
		}
	}
	return chain, errors.Wrapf(ledger.ErrNoMajority, "chain exceeds %d messages", maxCachedChain)
}
