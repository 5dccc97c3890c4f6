package soak

import (
	"sync"
	"time"
)

const (
	turnTokens = eventsPerTurn * tokensPerEvent // that a turn hands out at most
	// turnSettleTime is how long after its end a turn may still reach an upstream or count at
	// its most.
	turnSettleTime = time.Second
)

// programBudget is what a caller knows of the use of a program's budget. A nil one has no
// limit.
type programBudget struct {
	l      *lostSoak
	budget int // in tokens

	mu       sync.Mutex
	attempts map[string]int // tokens by attempt; unsettled: it has not ended whole or refused
}

const unsettled = -1

// addProgram begins the account of a program.
func (l *lostSoak) addProgram(program string, budget int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.programs[program] = &programBudget{l: l, budget: budget, attempts: make(map[string]int)}
}

// budgetOf returns the account of a program; nil: it has no budget.
func (l *lostSoak) budgetOf(program string) *programBudget {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.programs[program]
}

// begin records that an attempt is sent.
func (b *programBudget) begin(id string) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempts[id] = unsettled
}

// end records the outcome of an attempt: one that ended whole has handed out what the caller
// got, and one that was refused nothing.
func (b *programBudget) end(id string, r turnResult) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.whole || r.status >= 400 && r.status < 500 || r.status == 503 {
		b.attempts[id] = r.events * tokensPerEvent
	}
}

// used returns the tokens that the attempts of the program have used at most. One that has
// not ended and never reached an upstream counts nothing.
func (b *programBudget) used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	used := 0
	for id, tokens := range b.attempts {
		switch {
		case tokens != unsettled:
			used += tokens
		case len(b.l.runs.runsOf(id)) > 0:
			used += turnTokens
		}
	}
	return used
}

// left returns the budget to name for another turn: that of the program if it holds one more,
// and otherwise 0, for none.
func (b *programBudget) left() int {
	if b == nil || b.used()+turnTokens > b.budget {
		return 0
	}
	return b.budget
}

// checkOverBudget reports a turn that was answered 402 although the budget of its program held
// it: the program ends with that.
func (c *lostCaller) checkOverBudget(id, program string) {
	time.Sleep(turnSettleTime)
	if b := c.l.budgetOf(program); b.left() > 0 {
		c.l.violate("%s is answered 402, though its program has used %d tokens at most of %d", id, b.used(), b.budget)
	}
}
