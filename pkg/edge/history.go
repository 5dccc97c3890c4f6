package edge

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
)

const (
	// historyMemoryShare is the share of the process's memory for the earlier turns of all
	// turns under way.
	historyMemoryShare = 0.25
	// defaultHistoryBytes is their limit if the process has no memory limit.
	defaultHistoryBytes = 320 << 20
	// historyShare is the fraction of this memory that one conversation may take.
	historyShare = 1
)

// whyNoHistoryMemory is the reason for refusing a turn whose earlier turns don't fit into
// memory beside those of the others.
const whyNoHistoryMemory = "no memory for the history"

// historyLimit returns the limit in bytes for earlier turns, given the process's memory limit.
func historyLimit(memoryMB int) int64 {
	if memoryMB <= 0 {
		return defaultHistoryBytes
	}
	return int64(historyMemoryShare * float64(memoryMB) * bytesPerMB)
}

// loadHistory puts the earlier turns of the conversation before the body.
func (t *turn) loadHistory(ctx context.Context) error {
	c, began := t.c, time.Now()
	answered := c.e.load.wait(stepHistory)
	chain, err := c.e.chain(ctx, c.req.ParentTurnID, t.holdEarlier)
	answered()
	c.e.metrics.ledger(stepHistory, err, time.Since(began))
	if err == nil {
		err = c.checkHistory(chain)
	}
	if err != nil {
		return err
	}
	c.e.startup.end(stepFirstHistory)
	t.earlier = chain
	for _, r := range chain {
		c.history = append(c.history, r.GetInput(), r.GetOutput())
	}
	return nil
}

// holdEarlier accounts for the memory of earlier turns that were read.
func (t *turn) holdEarlier(turns []*peerv1.TurnRecord) error {
	size := 0
	for _, r := range turns {
		size += int(cachedSize(r))
	}
	return t.earlierHold.Grow(size)
}

// bodySize returns the size of the request with its earlier turns in bytes.
func (c *call) bodySize() int {
	size := len(c.body)
	for _, p := range c.history {
		size += len(p)
	}
	return size
}

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
// ledger or from another edge. admit is called with each part that was read; its error ends
// the reading.
func (e *Edge) chain(ctx context.Context, id string, admit func([]*peerv1.TurnRecord) error) ([]*peerv1.TurnRecord, error) {
	chain := e.cachedChain(id)
	if err := admit(chain); err != nil {
		return nil, err
	}
	if len(chain) > 0 {
		if id = chain[0].GetParent(); id == "" {
			return chain, nil
		}
	}
	earlier, err := e.ledger.ChainWithin(ctx, id, admit)
	if errors.Is(err, ledger.ErrNotFound) {
		earlier, err = e.chainFromPeers(ctx, id, err, admit)
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
func (e *Edge) chainFromPeers(ctx context.Context, id string, notFound error, admit func([]*peerv1.TurnRecord) error) ([]*peerv1.TurnRecord, error) {
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
		if err := admit(part); err != nil {
			return chain, err
		}
		chain = append(part, chain...)
		if id = chain[0].GetParent(); id == "" {
			return chain, nil
		}
		first, err := e.ledger.ChainWithin(ctx, id, admit)
		if !errors.Is(err, ledger.ErrNotFound) {
			return append(first, chain...), err
		}
	}
	return chain, errors.Wrapf(ledger.ErrNoMajority, "chain exceeds %d messages", maxCachedChain)
}
