package edge

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
	"github.com/yuccaspindle/yuccaspindle/pkg/membudget"
)

const (
	// ledgerTimeout limits how long a turn waits for the ledger before it runs. It is
	// longer than the storage processes need to restart after being killed at the
	// same time.
	ledgerTimeout = 1200 * time.Millisecond
	// commitMargin is how long before the caller's deadline a response ends even if
	// its turn is not durable yet; the write continues.
	commitMargin = 200 * time.Millisecond
	// commitRetryTimeout limits the write that continues after the response.
	commitRetryTimeout = 60 * time.Second
	// maxTurnOutput limits the output of one turn in bytes, so that its ledger record
	// fits into one message.
	maxTurnOutput = 4 << 20
)

var errTurnTooLarge = errors.New("the output of the turn exceeds the size limit")

// turn is one turn of a program: its reserved tokens, input and output.
type turn struct {
	c        *call
	reserved bool // tokens are reserved in the ledger
	settled  bool
	input    []byte // without the earlier turns
	output   []byte
	tokens   int // delivered, as the budget counts them
	hold     *membudget.Reservation
	// origin is the recorded origin of the stream that the request takes up; nil: none.
	origin *peerv1.Origin

	beginDuration  time.Duration // wait for budget and history
	commitDuration time.Duration // wait until the turn was durable
}

// beginTurn reserves the turn's tokens and prepends the earlier turns to its input.
// If the turn must not run, it answers the request and returns false.
func (c *call) beginTurn() (*turn, bool) {
	c.beginOrigin()
	t := &turn{c: c, input: c.body, hold: c.e.transit.Reservation("turn "+c.req.ID, membudget.CallerShare)}
	ctx, cancel := context.WithDeadline(c.r.Context(), earlier(c.deadline, time.Now().Add(ledgerTimeout)))
	defer cancel()
	history := make(chan error, 1)
	if c.route.KeepsHistory && c.req.ParentTurnID != "" {
		go func() { history <- t.loadHistory(ctx) }()
	} else {
		history <- nil
	}
	reserveErr := t.reserve(ctx)
	historyErr := <-history
	t.beginDuration = time.Since(c.began)
	switch {
	case c.callerGone():
		c.abandon()
	case errors.Is(reserveErr, ledger.ErrOverBudget):
		c.refuse(http.StatusPaymentRequired, 0, "budget spent")
	case errors.Is(historyErr, ledger.ErrNotFound):
		c.refuse(http.StatusNotFound, 0, "turn does not exist")
	case reserveErr != nil && !c.hasBudget():
		c.e.logger.Warn("origin of a stream not known", "id", c.req.ID, "resumes", c.req.ResumedID, "err", reserveErr)
		c.refuse(http.StatusServiceUnavailable, retryAfterUnready, whyOriginUnknown)
	case reserveErr != nil:
		c.e.logger.Warn("budget not known", "id", c.req.ID, "program", c.req.Program, "err", reserveErr)
		c.refuse(http.StatusServiceUnavailable, retryAfterUnready, "budget not known")
	case historyErr != nil:
		c.e.logger.Warn("history not known", "id", c.req.ID, "parent", c.req.ParentTurnID, "err", historyErr)
		c.refuse(http.StatusServiceUnavailable, retryAfterUnready, "history not known")
	case c.takesUp():
		refusal := c.continueOrigin(t.origin)
		if refusal == "" {
			return t, true
		}
		c.refuse(http.StatusServiceUnavailable, retryAfterBusy, refusal)
	default:
		return t, true
	}
	t.settle()
	return nil, false
}

// usage returns the usage record of the turn. The origin of its stream is in the open
// record, which a majority has before the turn runs, or in the only one.
func (c *call) usage(tokens int, settled bool) *peerv1.Usage {
	u := &peerv1.Usage{
		Program: c.ledgerKey(), Attempt: ledger.AttemptKey(c.req.ID), Tokens: uint32(tokens), Settled: settled,
		RetentionMs: uint32(c.route.Retention.Milliseconds()),
	}
	if !settled || !c.hasBudget() {
		u.Origin = c.recordedOrigin()
	}
	return u
}

// reserve reserves the tokens of the turn and reads the origin of the stream that it takes
// up.
func (t *turn) reserve(ctx context.Context) (err error) {
	c := t.c
	if !c.hasBudget() {
		if c.takesUp() {
			t.origin, err = c.lookUpOrigin(ctx)
		}
		return err
	}
	if spent, ok := c.e.spent.Get(c.req.Program); ok && spent+c.req.MaxTokens > c.req.TokenBudget {
		return ledger.ErrOverBudget
	}
	t.reserved = true
	began := time.Now()
	res, err := c.e.ledger.Reserve(ctx, c.usage(c.req.MaxTokens, false), c.req.TokenBudget, c.resumedKey())
	c.e.metrics.ledger("reserve", err, time.Since(began))
	if res.Spent > 0 {
		c.e.spent.Add(c.req.Program, res.Spent)
	}
	t.origin = res.Origin
	return err
}

// loadHistory prepends the earlier turns of the conversation to the body.
func (t *turn) loadHistory(ctx context.Context) error {
	began := time.Now()
	chain, err := t.c.e.chain(ctx, t.c.req.ParentTurnID)
	t.c.e.metrics.ledger("history", err, time.Since(began))
	if err != nil {
		return err
	}
	size := len(t.input)
	for _, r := range chain {
		size += len(r.GetInput()) + len(r.GetOutput())
	}
	body := make([]byte, 0, size)
	for _, r := range chain {
		body = append(body, r.GetInput()...)
		body = append(body, r.GetOutput()...)
	}
	t.c.body = append(body, t.input...)
	return nil
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
		if earlier, err = e.fetchTurnFromPeers(ctx, id); err == nil && earlier[0].GetParent() != "" {
			var first []*peerv1.TurnRecord
			first, err = e.ledger.Chain(ctx, earlier[0].GetParent())
			earlier = append(first, earlier...)
		}
	}
	if err != nil {
		return nil, err
	}
	for _, r := range earlier {
		e.turns.Add(r.GetId(), r)
	}
	return append(earlier, chain...), nil
}

// event counts an event that was delivered. It returns an error if the output of the
// turn cannot be kept.
func (t *turn) event(ev event) error {
	t.tokens += t.c.table.Service(t.c.service).TokensPerEvent
	if !t.c.route.KeepsHistory {
		return nil
	}
	if len(t.output)+len(ev.data) > maxTurnOutput {
		return errTurnTooLarge
	}
	if err := t.hold.Grow(len(ev.data) + 1); err != nil {
		return err
	}
	t.output = append(append(t.output, ev.data...), '\n')
	return nil
}

// settle releases the turn's memory and replaces the reserved tokens by the delivered
// ones, in the background.
func (t *turn) settle() {
	t.hold.Release()
	if !t.reserved || t.settled {
		return
	}
	t.settled = true
	t.c.e.settler.add(usageRecord(t.c.usage(t.tokens, true)))
}

// commit makes a complete turn durable before its response ends.
func (t *turn) commit() {
	c := t.c
	if !c.route.KeepsHistory || c.req.ID == "" {
		return
	}
	rec := &peerv1.TurnRecord{
		Id: c.req.ID, Parent: c.req.ParentTurnID, Input: t.input, Output: t.output,
		RetentionMs: uint32(c.route.Retention.Milliseconds()),
	}
	c.e.turns.Add(rec.GetId(), rec)
	recs := []*peerv1.LedgerRecord{{Body: &peerv1.LedgerRecord_Turn{Turn: rec}}}
	if t.reserved {
		t.settled = true
		recs = append(recs, usageRecord(c.usage(t.tokens, true)))
	}
	done := make(chan error, 1)
	began := time.Now()
	defer func() { t.commitDuration = time.Since(began) }()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), commitRetryTimeout)
		defer cancel()
		err := c.e.ledger.Write(ctx, c.req.Program, recs)
		c.e.metrics.ledger("commit", err, time.Since(began))
		done <- err
	}()
	select {
	case err := <-done:
		if err != nil {
			c.e.logger.Error("turn not durable", "id", c.req.ID, "err", err)
		}
	case <-time.After(time.Until(c.deadline) - commitMargin):
		c.e.logger.Warn("answer ends before its turn is durable", "id", c.req.ID)
	}
}
