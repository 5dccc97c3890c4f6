package program

import (
	"maps"
	"slices"
)

// marginShare is the part of a limit that may be reserved without a durable
// record, and that is counted as spent after an unplanned change of owner. At
// 1/64 a takeover costs a program less than 2% of its budget.
const marginShare = 64

// Amount is a quantity of each budgeted resource. As a limit, zero means
// unlimited.
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

// within reports whether a exceeds no limited resource of limit.
func (a Amount) within(limit Amount) bool {
	return (limit.Tokens == 0 || a.Tokens <= limit.Tokens) &&
		(limit.Calls == 0 || a.Calls <= limit.Calls) &&
		(limit.Spend == 0 || a.Spend <= limit.Spend)
}

// Decision is the answer to a request for budget.
type Decision int

// The verdicts.
const (
	BudgetGranted  Decision = iota
	BudgetPending           // open reservations may yet be released
	BudgetExceeded          // no settlement can make room
)

// reservation is the budget of an attempt that is not settled.
type reservation struct {
	amount  Amount
	durable bool // a record of it is durable
	claim   bool // belongs to a claim, which is settled by its outcome
}

// Ledger is the budget account of a root program and its children.
type Ledger struct {
	spent      Amount
	reserved   Amount
	unrecorded Amount // part of reserved without a durable record
	open       map[string]reservation
}

// Spent returns what is settled.
func (l *Ledger) Spent() Amount { return l.spent }

// Reserved returns what is reserved and not settled.
func (l *Ledger) Reserved() Amount { return l.reserved }

// Fit decides whether an attempt fits into the limits and returns how many
// tokens it may generate, at most maxTokens.
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

// NeedsDurableRecord reports whether a reservation must be durable before dispatch,
// because the reservations that a takeover would forget exceed the margin.
func (l *Ledger) NeedsDurableRecord(limit, want Amount) bool {
	sum := l.unrecorded.add(want)
	over := func(sum, limit int64) bool { return limit > 0 && sum > limit/marginShare }
	return over(sum.Tokens, limit.Tokens) || over(sum.Calls, limit.Calls) || over(sum.Spend, limit.Spend)
}

// Reserve opens the reservation of an attempt. A second call with the same
// attempt has no effect.
func (l *Ledger) Reserve(attempt string, a Amount, claim bool) {
	if _, ok := l.open[attempt]; ok {
		return
	}
	if l.open == nil {
		l.open = make(map[string]reservation)
	}
	l.open[attempt] = reservation{amount: a, claim: claim}
	l.reserved = l.reserved.add(a)
	l.unrecorded = l.unrecorded.add(a)
}

// MarkDurable tells that the record of a reservation is durable.
func (l *Ledger) MarkDurable(attempt string) {
	if r, ok := l.open[attempt]; ok && !r.durable {
		r.durable = true
		l.open[attempt] = r
		l.unrecorded = l.unrecorded.sub(r.amount)
	}
}

// Settle closes a reservation with what was really used. Without an open
// reservation the use is counted all the same.
func (l *Ledger) Settle(attempt string, used Amount) {
	l.Release(attempt)
	l.spent = l.spent.add(used)
}

// Release closes the reservation of an attempt that did not run.
func (l *Ledger) Release(attempt string) {
	r, ok := l.open[attempt]
	if !ok {
		return
	}
	delete(l.open, attempt)
	l.reserved = l.reserved.sub(r.amount)
	if !r.durable {
		l.unrecorded = l.unrecorded.sub(r.amount)
	}
}

// Forfeit counts the reservation of an attempt as spent, because its use is
// unknown, and returns it.
func (l *Ledger) Forfeit(attempt string) Amount {
	r := l.open[attempt]
	l.Settle(attempt, r.amount)
	return r.amount
}

// ReplaceForfeited replaces a forfeited amount by the use that became known later.
func (l *Ledger) ReplaceForfeited(forfeited, used Amount) {
	l.spent = l.spent.sub(forfeited).add(used)
}

// Recover accounts for what the previous owner may have dispatched without a
// durable record: every reservation other than that of a claim is forfeited,
// and the margin of the limits is counted as spent. After a hand-over the
// limits are passed as zero.
func (l *Ledger) Recover(limit Amount) {
	for _, attempt := range slices.Sorted(maps.Keys(l.open)) {
		if l.open[attempt].claim {
			l.MarkDurable(attempt)
		} else {
			l.Forfeit(attempt)
		}
	}
	l.spent = l.spent.add(Amount{limit.Tokens / marginShare, limit.Calls / marginShare, limit.Spend / marginShare})
}

// Reservation returns the reservation of an attempt that is not settled.
func (l *Ledger) Reservation(attempt string) Amount { return l.open[attempt].amount }
