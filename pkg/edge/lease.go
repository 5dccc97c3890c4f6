package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
)

const (
	// passOnMargin is how long before the end of its lease a reservation is no longer
	// enough to pass a turn on. It covers the way of the confirmation to the storage
	// processes.
	passOnMargin = 500 * time.Millisecond
	// passOnLimit is how long after its reservation a turn may be passed on.
	passOnLimit = ledger.ReservationLease - passOnMargin
	// connectAllowance is the part of passOnLimit that must be left when an attempt begins.
	connectAllowance = 400 * time.Millisecond
	// unconfirmedDelivery is how long after a turn was passed on its events are delivered
	// although no quorum has confirmed that. A round trip between regions takes less.
	unconfirmedDelivery = 150 * time.Millisecond
	// retryAfterReserved is when a caller should return whose turn does not fit the budget
	// beside turns that were not passed on.
	retryAfterReserved = 300 * time.Millisecond
)

// whyBudgetReserved is the reason for refusing a turn that does not fit the budget of its
// program beside turns that were not passed on to an upstream.
const whyBudgetReserved = "budget reserved"

// errLeaseOver means that a turn was not passed on since its reservation may have ended.
var errLeaseOver = errors.New("the reservation of the turn's tokens has ended")

// errUnconfirmed means that no event of a turn may be delivered any more: the storage
// processes don't know that it was passed on, or its tokens belong to other turns.
var errUnconfirmed = errors.New("passing on of the turn not recorded")

// lease is the state of a turn's reservation until a quorum of the storage processes knows
// that the turn was passed on.
type lease struct {
	began     time.Time     // the reservation was sent no earlier than that
	suspended time.Duration // of the machine in total, when it began
	confirmed *confirmation // nil: the turn was not passed on
}

// beginLease notes the time of a reservation that is about to be sent.
func (t *turn) beginLease() {
	now := time.Now()
	t.lease = lease{began: now, suspended: t.c.e.suspendedTime(now)}
}

// leaseAge returns the time since the reservation with the suspensions of the machine.
func (t *turn) leaseAge() time.Duration {
	now := time.Now()
	return now.Sub(t.lease.began) + t.c.e.suspendedTime(now) - t.lease.suspended
}

// ensureLease reserves the tokens of the turn once more if its lease may end while the next
// attempt connects. It answers the request and returns false if that fails.
func (t *turn) ensureLease() bool {
	if !t.reserved || t.c.passedOn || t.leaseAge() < passOnLimit-connectAllowance {
		return true
	}
	ctx, cancel := context.WithDeadline(t.c.r.Context(), earlier(t.c.deadline, time.Now().Add(ledgerTimeout)))
	defer cancel()
	err := t.reserveTokens(ctx)
	if err != nil {
		t.refuseTokens(err)
	}
	return err == nil
}

// passOn records that the turn is about to be written to an upstream, without waiting for the
// storage processes: its reservation counts from then on until it is settled. It fails if the
// reservation may no longer count, or the key of the request.
func (t *turn) passOn() error {
	c := t.c
	if err := c.mayWrite(); err != nil {
		return err
	}
	if !t.reserved || c.passedOn {
		return nil
	}
	if t.leaseAge() >= passOnLimit {
		return errLeaseOver
	}
	c.passedOn = true
	u := c.usage(c.req.MaxTokens, false)
	t.lease.confirmed = &confirmation{
		passedOn: time.Now(), deadline: c.deadline, record: usageRecord(u), done: make(chan struct{}),
		finish: func(err error) error { return t.finishConfirmation(u, err) },
	}
	c.e.confirmer.add(t.lease.confirmed)
	return nil
}

// finishConfirmation returns whether events may be delivered, given the result of the
// confirmation. If that took longer than the lease, other turns may have got the tokens
// meanwhile: it then reads whether the budget still holds the turn.
func (t *turn) finishConfirmation(u *peerv1.Usage, err error) error {
	c, passedOn := t.c, t.lease.confirmed.passedOn
	if err == nil && t.leaseAge() >= ledger.ReservationLease {
		ctx, cancel := context.WithDeadline(context.Background(), c.deadline)
		defer cancel()
		_, err = c.e.ledger.Reserve(ctx, u, c.req.TokenBudget, c.tokensPerEvent(), 0)
	}
	c.e.metrics.ledger(stepPassOn, err, time.Since(passedOn))
	if err != nil {
		c.e.logger.Warn("passing on of a turn not recorded", "id", c.req.ID, "program", c.req.Program, "err", err)
	}
	return err
}

// awaitConfirmation returns once events of the turn may be delivered: a quorum knows that it
// was passed on, or that was only a moment ago.
func (t *turn) awaitConfirmation() error {
	confirmed := t.lease.confirmed
	if confirmed == nil {
		return nil
	}
	select {
	case <-confirmed.done:
		return t.confirmation()
	default:
	}
	if time.Since(confirmed.passedOn) < unconfirmedDelivery {
		return nil
	}
	select {
	case <-confirmed.done:
		return t.confirmation()
	case <-t.c.r.Context().Done():
		return errCallerLeft
	}
}

// confirmation returns the result of the confirmation, which has ended.
func (t *turn) confirmation() error {
	if err := t.lease.confirmed.err; err != nil {
		return errors.Wrap(errUnconfirmed, err.Error())
	}
	return nil
}

// endConfirmation says that the turn is settled, or about to be.
func (t *turn) endConfirmation() {
	if t.lease.confirmed != nil {
		t.lease.confirmed.ended.Store(true)
	}
}

// refuseTokens answers a request whose tokens could not be reserved. The turn does not run.
func (t *turn) refuseTokens(err error) {
	c := t.c
	if errors.Is(err, ledger.ErrOverBudget) || errors.Is(err, ledger.ErrBudgetReserved) {
		t.reserved = false // the ledger client has withdrawn it
	}
	switch {
	case errors.Is(err, ledger.ErrOverBudget):
		c.refuse(http.StatusPaymentRequired, 0, whyBudgetSpent)
		c.e.metrics.overBudget(c.budgetUse)
	case errors.Is(err, ledger.ErrBudgetReserved):
		c.refuse(http.StatusServiceUnavailable, retryAfterReserved, whyBudgetReserved)
	default:
		c.e.logger.Warn("budget not known", "id", c.req.ID, "program", c.req.Program,
			"answered", len(c.reservation.Acknowledged), "of", c.reservation.Asked, "err", err)
		c.refuse(http.StatusServiceUnavailable, retryAfterUnready, "budget not known")
	}
}
