package ledger

import (
	"maps"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

// BudgetUse is what the other turns of a program have taken of its budget.
type BudgetUse struct {
	Spent     int // tokens of finished turns
	Open      int // tokens reserved by turns that are not finished
	Leased    int // those of Open for turns that were not passed on to an upstream
	OpenTurns int // turns that are not finished
}

// UseOf returns what turns other than the given attempt have taken of a budget.
func UseOf(records map[uint64]*peerv1.Usage, attempt uint64) BudgetUse {
	var use BudgetUse
	for key, u := range records {
		switch {
		case key == attempt:
		case u.GetSettled():
			use.Spent += int(u.GetTokens())
		default:
			use.Open += int(u.GetTokens())
			if u.GetLeased() {
				use.Leased += int(u.GetTokens())
			}
			use.OpenTurns++
		}
	}
	return use
}

// CheckBudget returns an error if a turn of at most limit tokens does not fit a budget by
// FitsBudget and FitsWholeEvents: ErrBudgetReserved if it would without the reservations of
// turns that were not passed on to an upstream, which may never be, and otherwise
// ErrOverBudget.
func CheckBudget(records map[uint64]*peerv1.Usage, attempt uint64, limit, budget, perEvent int) error {
	fits := func(records map[uint64]*peerv1.Usage) bool {
		return FitsBudget(records, attempt, limit, budget) && FitsWholeEvents(records, attempt, limit, budget, perEvent)
	}
	if fits(records) {
		return nil
	}
	passedOn := maps.Clone(records)
	maps.DeleteFunc(passedOn, func(_ uint64, u *peerv1.Usage) bool { return u.GetLeased() })
	if fits(passedOn) {
		return ErrBudgetReserved
	}
	return ErrOverBudget
}

// SpentTokens returns the sum of the tokens of settled records. Spent tokens are
// never returned to the budget.
func SpentTokens(records map[uint64]*peerv1.Usage) int {
	spent := 0
	for _, u := range records {
		if u.GetSettled() {
			spent += int(u.GetTokens())
		}
	}
	return spent
}

// FitsBudget reports whether a turn of at most limit tokens fits the budget next
// to all other records of the program. Open records count with the tokens they
// reserve.
func FitsBudget(records map[uint64]*peerv1.Usage, attempt uint64, limit, budget int) bool {
	used := 0
	for key, u := range records {
		if key != attempt {
			used += int(u.GetTokens())
		}
	}
	return used+limit <= budget
}

// FitsWholeEvents reports whether a turn of at most limit tokens exceeds the budget by no
// more than itself, if the last event of each open turn counts whole. Turns that fit by
// their limits may together exceed the budget by a part of an event each.
func FitsWholeEvents(records map[uint64]*peerv1.Usage, attempt uint64, limit, budget, perEvent int) bool {
	if perEvent <= 0 {
		return true
	}
	whole := func(tokens int) int { return (tokens + perEvent - 1) / perEvent * perEvent }
	used := whole(limit)
	for key, u := range records {
		switch {
		case key == attempt:
		case u.GetSettled():
			used += int(u.GetTokens())
		default:
			used += whole(int(u.GetTokens()))
		}
	}
	return used <= budget+limit
}
