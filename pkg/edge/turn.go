package edge

import (
	"context"
	"net/http"
	"strings"
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
	// lateCommit is how long after the request's deadline a response may still end whole
	// because its turn has become durable. It is below the quarter of a second by which
	// a route's timeout may be exceeded.
	lateCommit = 200 * time.Millisecond
	// completeTimeout limits how long earlier turns are sent to members that lack them, after
	// the response has ended. What is not sent then is sent with the next turn.
	completeTimeout = 3 * time.Second
	// commitRetryTimeout limits the write of a stream's origin beside its first attempt.
	commitRetryTimeout = 60 * time.Second
	// maxTurnOutput limits the output of one turn in bytes.
	maxTurnOutput = 4 << 20
)

// durability says whether a turn was durable at the end of its response.
type durability string

const (
	durabilityUnneeded durability = "unneeded" // the route keeps no history
	durabilityYes      durability = "yes"
	durabilityNo       durability = "no"
)

// retryAfterFull is when a caller should return whose turn the storage processes have no memory
// for.
const retryAfterFull = time.Second

// Reasons for refusing a turn that could not be stored.
const (
	whyStorageFull  = "no memory for turns at the storage processes"
	whyTurnTooLarge = "input too large for a turn"
)

var errTurnTooLarge = errors.New("the turn exceeds the size limit")

// turn is one turn of a program: its reserved tokens, input and output.
type turn struct {
	c        *call
	reserved bool   // tokens are reserved in the ledger
	revision uint32 // of the next reservation
	lease    lease
	settled  bool
	input    []byte               // without the earlier turns
	earlier  []*peerv1.TurnRecord // of the conversation, oldest first
	output   []byte
	tokens   int // delivered, as the budget counts them
	hold     *membudget.Reservation
	// earlierHold accounts for the memory of the earlier turns.
	earlierHold *membudget.Reservation
	// taken is what is recorded of the stream that the request takes up, until it goes on.
	taken ledger.Reservation

	beginDuration  time.Duration // wait for budget and history
	commitDuration time.Duration // wait until the turn was durable
	durability     durability    // at the end of the response
	storedBy       []string      // members of the ledger that acknowledged the turn by then
}

// beginTurn reserves the turn's tokens and prepends the earlier turns to its input.
// If the turn must not run, it answers the request and returns false.
func (c *call) beginTurn() (*turn, bool) {
	if c.route.KeepsHistory && len(c.body) >= ledger.MaxTurnBytes {
		c.refuse(http.StatusRequestEntityTooLarge, 0, whyTurnTooLarge)
		return nil, false
	}
	if c.route.KeepsHistory && c.e.ledger.Full(c.req.Program) {
		c.refuse(http.StatusServiceUnavailable, retryAfterFull, whyStorageFull)
		return nil, false
	}
	admitted, ok := c.admitTurn()
	if !ok {
		c.refuseOverload()
		return nil, false
	}
	c.beginOrigin()
	t := &turn{
		c: c, input: c.body, hold: c.e.transit.Reservation("turn "+c.req.ID, membudget.CallerShare),
		earlierHold: c.e.histories.Reservation("turn "+c.req.ID, historyShare),
	}
	reserveErr, historyErr := t.awaitLedger(admitted)
	t.beginDuration = time.Since(c.began)
	switch {
	case c.cutByStop():
		c.refuseAtStop()
	case c.callerGone():
		c.abandon()
	case errors.Is(reserveErr, ledger.ErrOverBudget):
		t.refuseTokens(reserveErr)
	case errors.Is(historyErr, ledger.ErrNotFound):
		source, age := c.e.view.source(time.Now())
		c.e.logger.Warn("turn not found", "id", c.req.ID, "parent", c.req.ParentTurnID, "err", historyErr,
			"members", len(c.e.view.Storage()), "list_from", source, "list_age_ms", age.Milliseconds())
		c.e.metrics.turnNotFound()
		c.refuse(http.StatusNotFound, 0, "turn does not exist")
	case reserveErr != nil && !c.hasBudget():
		c.e.logger.Warn("origin of a stream not known", "id", c.req.ID, "resumes", c.req.ResumedID, "err", reserveErr)
		c.refuse(http.StatusServiceUnavailable, retryAfterUnready, whyOriginUnknown)
	case reserveErr != nil:
		t.refuseTokens(reserveErr)
	case errors.Is(historyErr, membudget.ErrExhausted):
		c.e.logger.Warn("no memory for the history", "id", c.req.ID, "parent", c.req.ParentTurnID, "limit_bytes", c.e.histories.Usage().Limit)
		c.refuse(http.StatusServiceUnavailable, retryAfterBusy, whyNoHistoryMemory)
	case historyErr != nil:
		c.e.logger.Warn("history not known", "id", c.req.ID, "parent", c.req.ParentTurnID, "err", historyErr)
		c.refuse(http.StatusServiceUnavailable, retryAfterUnready, "history not known")
	case c.takesUp():
		refusal := c.continueOrigin(t.taken.Origin)
		if refusal == "" {
			refusal = t.takeOverEvents()
		}
		t.taken = ledger.Reservation{} // its records may hold many events
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

// awaitLedger reserves the tokens of the turn and loads its history. It calls admitted with
// the outcome.
func (t *turn) awaitLedger(admitted func(failed bool, target time.Duration)) (reserveErr, historyErr error) {
	c := t.c
	defer func() {
		lacksQuorum := errors.Is(reserveErr, ledger.ErrNoMajority) || errors.Is(historyErr, ledger.ErrNoMajority)
		admitted(lacksQuorum, c.e.waitTarget())
	}()
	ctx, cancel := context.WithDeadline(c.r.Context(), earlier(c.deadline, time.Now().Add(ledgerTimeout)))
	defer cancel()
	history := make(chan error, 1)
	if c.route.KeepsHistory && c.req.ParentTurnID != "" {
		go func() { history <- t.loadHistory(ctx) }()
	} else {
		history <- nil
	}
	reserveErr = t.reserve(ctx)
	historyErr = <-history
	return reserveErr, historyErr
}

// waitsForLedger reports whether the turn needs the ledger before it runs.
func (c *call) waitsForLedger() bool {
	return c.hasBudget() || c.route.KeepsHistory && c.req.ParentTurnID != ""
}

// usage returns the usage record of the turn, which is leased until the turn is passed on.
// The origin of its stream is in the open record, which a majority has before the turn runs,
// or in the only one.
func (c *call) usage(tokens int, settled bool) *peerv1.Usage {
	u := &peerv1.Usage{
		Program: c.ledgerKey(), Attempt: ledger.AttemptKey(c.req.ID), Tokens: uint32(tokens), Settled: settled,
		RetentionMs: uint32(c.route.Retention.Milliseconds()), Leased: !settled && !c.passedOn,
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
			t.taken, err = c.lookUpStream(ctx)
		}
		return err
	}
	if spent, ok := c.e.spent.Get(c.req.Program); ok && spent+c.req.MaxTokens > c.req.TokenBudget {
		return ledger.ErrOverBudget
	}
	return t.reserveTokens(ctx)
}

// reserveTokens reserves the tokens of the turn until it is passed on.
func (t *turn) reserveTokens(ctx context.Context) error {
	c := t.c
	t.reserved = true
	t.beginLease()
	u := c.usage(c.req.MaxTokens, false)
	u.Revision = t.revision
	answered := c.e.load.wait(stepReserve)
	res, err := c.e.ledger.Reserve(ctx, u, c.req.TokenBudget, c.tokensPerEvent(), c.resumedKey())
	answered()
	c.e.metrics.ledger(stepReserve, err, time.Since(t.lease.began))
	t.revision = res.NextRevision
	c.reservation = res.Receipt
	if res.Spent > 0 {
		c.e.spent.Add(c.req.Program, res.Spent)
	}
	if c.takesUp() {
		t.taken = res
	}
	c.budgetUse = ledger.UseOf(res.Records, u.GetAttempt())
	if err == nil {
		c.e.startup.end(stepFirstQuorum)
	}
	return err
}

// tokensPerEvent returns how many tokens an event of the request's service counts as; 0: that
// is not known.
func (c *call) tokensPerEvent() int { return c.table.Service(c.service).TokensPerEvent }

// event counts an event that was delivered. It returns an error if the output of the
// turn cannot be kept.
func (t *turn) event(ev event) error {
	t.tokens += t.c.tokensPerEvent()
	if !t.c.route.KeepsHistory {
		return nil
	}
	return t.keepOutput(ev.data)
}

// keepOutput adds the data of an event to the output of the turn.
func (t *turn) keepOutput(data []byte) error {
	size := len(t.output) + len(data) + 1
	if size > maxTurnOutput || len(t.input)+size > ledger.MaxTurnBytes {
		return errTurnTooLarge
	}
	if err := t.hold.Grow(len(data) + 1); err != nil {
		return err
	}
	t.output = append(append(t.output, data...), '\n')
	return nil
}

// settle releases the turn's memory and replaces the reserved tokens by the delivered
// ones, in the background.
func (t *turn) settle() {
	t.hold.Release()
	t.earlierHold.Release()
	if !t.reserved || t.settled {
		return
	}
	t.settled = true
	t.endConfirmation()
	t.c.e.settler.add(usageRecord(t.c.usage(t.tokens, true)))
}

// commit makes a complete turn durable before its response ends. It returns false if a
// quorum has not acknowledged the turn by the request's deadline, or if the caller left
// before: the response must not end as a complete one then, since a later turn would not
// find this one. Its tokens are settled like those of a turn that broke off.
func (t *turn) commit() bool {
	c := t.c
	if !c.route.KeepsHistory || c.req.ID == "" {
		t.durability = durabilityUnneeded
		return true
	}
	rec := &peerv1.TurnRecord{
		Id: c.req.ID, Parent: c.req.ParentTurnID, Input: t.input, Output: t.output,
		RetentionMs: uint32(c.route.Retention.Milliseconds()), Workspace: c.workspaceName(),
	}
	recs := []*peerv1.LedgerRecord{{Body: &peerv1.LedgerRecord_Turn{Turn: rec}}}
	if t.reserved {
		t.endConfirmation()
		recs = append(recs, usageRecord(c.usage(t.tokens, true)))
	}
	type result struct {
		receipt ledger.Receipt
		err     error
	}
	done := make(chan result, 1)
	began := time.Now()
	// The write goes on if the caller leaves, which may have read the last event and
	// continue from this turn.
	ctx, cancel := context.WithDeadline(context.Background(), later(c.deadline, began).Add(lateCommit))
	go func() {
		defer cancel()
		answered := c.e.load.wait(stepCommit)
		receipt, err := c.e.ledger.WriteWithReceipt(ctx, c.req.Program, recs)
		answered()
		c.e.metrics.ledger(stepCommit, err, time.Since(began))
		if err == nil {
			// Not earlier: a turn that continues this one would be stored without it.
			c.e.turns.Add(rec.GetId(), rec)
		}
		done <- result{receipt, err}
		if err == nil {
			completing, cancel := context.WithTimeout(context.Background(), completeTimeout)
			defer cancel()
			c.e.ledger.CompleteChains(completing, receipt, t.earlier)
		}
	}()
	t.durability = durabilityNo
	select {
	case res := <-done:
		t.storedBy = res.receipt.Acknowledged
		if res.err != nil {
			c.e.logger.Error("turn not durable", "id", c.req.ID, "stored_by", strings.Join(t.storedBy, ","), "err", res.err)
			break
		}
		t.durability = durabilityYes
		t.settled = true
		c.e.startup.end(stepFirstDurable)
	case <-c.r.Context().Done():
	}
	t.commitDuration = time.Since(began)
	c.e.metrics.turnEnded(t.durability)
	return t.durability == durabilityYes
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
