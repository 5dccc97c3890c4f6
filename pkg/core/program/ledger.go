package program

import (
	"maps"
	"slices"
)

// marginDivisor sets the margin, the fraction 1/marginDivisor of a limit that may be
// reserved without a durable record. A takeover counts the margin as spent, which
// at 1/64 costs a program less than 2% of its budget.
const marginDivisor = 64

// Amount is a quantity of each budgeted resource. In a limit, zero means unlimited.
type Amount struct {
	Tokens int64 `json:"tokens,omitempty"`      // prompt and generated tokens
	Calls  int64 `json:"calls,omitempty"`       // dispatched attempts
	Spend  int64 `json:"spend_micro,omitempty"` // millionths of the currency unit
}

func (a Amount) add(b Amount) Amount {
	return Amount{a.Tokens + b.Tokens, a.Calls + b.Calls, a.Spend + b.Spend}
}

func (a Amount) sub(b Amount) Amount {
	return Amount{a.Tokens - b.Tokens, a.Calls - b.Calls, a.Spend - b.Spend}
}

// within reports whether no resource of a exceeds its limit.
func (a Amount) within(limit Amount) bool {
	return (limit.Tokens == 0 || a.Tokens <= limit.Tokens) &&
		(limit.Calls == 0 || a.Calls <= limit.Calls) &&
		(limit.Spend == 0 || a.Spend <= limit.Spend)
}

// Decision tells whether an attempt fits into the budget.
type Decision int

// The decisions.
const (
	BudgetGranted  Decision = iota
	BudgetPending           // may fit once open reservations are settled
	BudgetExceeded          // does not fit even without the open reservations
)

// reservation is the budget held for an attempt that is not settled.
type reservation struct {
	amount  Amount
	durable bool // its journal record is durable
	claim   bool // belongs to a claim, whose outcome settles it, also after a takeover
}

// Ledger is the budget account of a root program and its children.
type Ledger struct {
	spent        Amount
	reserved     Amount
	nonDurable   Amount // part of reserved whose records are not durable
	reservations map[string]reservation
}

// Spent returns the settled amount.
func (l *Ledger) Spent() Amount { return l.spent }

// Reserved returns the total of the open reservations.
func (l *Ledger) Reserved() Amount { return l.reserved }

// Fit decides whether an attempt fits into the limits and returns how many tokens it
// may generate, at most maxTokens. If fewer are left and no reservation is open, it
// grants those that are left.
func (l *Ledger) Fit(limit Amount, prompt, maxTokens, spend int64) (int64, Decision) {
	want := Amount{Tokens: prompt + maxTokens, Calls: 1, Spend: spend}
	if l.spent.add(l.reserved).add(want).within(limit) {
		return maxTokens, BudgetGranted
	}
	least := want
	if maxTokens > 0 {
		least.Tokens = prompt + 1
	}
	if !l.spent.add(least).within(limit) {
		return 0, BudgetExceeded
	}
	if l.reserved != (Amount{}) {
		return 0, BudgetPending
	}
	return limit.Tokens - l.spent.Tokens - prompt, BudgetGranted
}

// NeedsDurableRecord reports whether the record of a reservation must be durable
// before its attempt is dispatched, because the reservations that a takeover would
// lose would exceed the margin.
func (l *Ledger) NeedsDurableRecord(limit, want Amount) bool {
	sum := l.nonDurable.add(want)
	over := func(sum, limit int64) bool { return limit > 0 && sum > limit/marginDivisor }
	return over(sum.Tokens, limit.Tokens) || over(sum.Calls, limit.Calls) || over(sum.Spend, limit.Spend)
}

// Reserve opens a reservation for an attempt. It has no effect if the attempt
// already has one.
func (l *Ledger) Reserve(attempt string, a Amount, claim bool) {
	if _, ok := l.reservations[attempt]; ok {
		return
	}
	if l.reservations == nil {
		l.reservations = make(map[string]reservation)
	}
	l.reservations[attempt] = reservation{amount: a, claim: claim}
	l.reserved = l.reserved.add(a)
	l.nonDurable = l.nonDurable.add(a)
}

// MarkDurable marks the record of an open reservation as durable.
func (l *Ledger) MarkDurable(attempt string) {
	if r, ok := l.reservations[attempt]; ok && !r.durable {
		r.durable = true
		l.reservations[attempt] = r
		l.nonDurable = l.nonDurable.sub(r.amount)
	}
}

// Settle closes the reservation of an attempt and counts its actual use as spent,
// also if no reservation is open.
func (l *Ledger) Settle(attempt string, used Amount) {
	l.Release(attempt)
	l.spent = l.spent.add(used)
}

// Release closes the reservation of an attempt that did not run.
func (l *Ledger) Release(attempt string) {
	r, ok := l.reservations[attempt]
	if !ok {
		return
	}
	delete(l.reservations, attempt)
	l.reserved = l.reserved.sub(r.amount)
	if !r.durable {
		l.nonDurable = l.nonDurable.sub(r.amount)
	}
}

// Forfeit settles an attempt whose use is unknown with all that was reserved for it,
// and returns that amount.
func (l *Ledger) Forfeit(attempt string) Amount {
	r := l.reservations[attempt]
	l.Settle(attempt, r.amount)
	return r.amount
}

// ReplaceForfeited replaces a forfeited amount by the actual use, which became known
// later.
func (l *Ledger) ReplaceForfeited(forfeited, used Amount) {
	l.spent = l.spent.sub(forfeited).add(used)
}

// Recover accounts for the attempts of the previous owner after a change of owner.
// It forfeits every reservation other than those of claims, and counts the margin
// of the limits as spent, for attempts dispatched without a durable record. After a
// hand-over there are none of these, and limit is zero.
func (l *Ledger) Recover(limit Amount) {
	for _, attempt := range slices.Sorted(maps.Keys(l.reservations)) {
		if l.reservations[attempt].claim {
			l.MarkDurable(attempt)
		} else {
			l.Forfeit(attempt)
		}
	}
	l.spent = l.spent.add(Amount{limit.Tokens / marginDivisor, limit.Calls / marginDivisor, limit.Spend / marginDivisor})
}

// Reservation returns the amount reserved for an attempt, zero if none is open.
func (l *Ledger) Reservation(attempt string) Amount { return l.reservations[attempt].amount }
