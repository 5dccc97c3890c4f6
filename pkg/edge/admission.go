package edge

import (
	"net/http"
	"sync"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/adaptivelimit"
)

const (
	// Bounds of how many turns may wait for the ledger before they run.
	minWaitingTurns = 16
	maxWaitingTurns = 256
	// ledgerTarget is how long a turn should wait for the ledger at most. A refusal costs its
	// caller about as much.
	ledgerTarget = 900 * time.Millisecond
	// busyTarget is the same while the process is short of processor time: the rest of the turn
	// will be slow, too, and another edge may have room.
	busyTarget = 400 * time.Millisecond
	// limitInterval is the time between two changes of the limit.
	limitInterval = 200 * time.Millisecond
	// newProgramShare is the part of the limit that first turns of programs may use: refusing
	// one costs little, while a program in progress would lose its work.
	newProgramShare = 0.75
	// retryAfterOverload is when a caller should return whose turn was refused at the limit.
	retryAfterOverload = 300 * time.Millisecond
	// overloadMemory is how long after the last refusal an edge counts as overloaded.
	overloadMemory = 2 * time.Second
)

// whyOverloaded is the reason for refusing a turn that would wait for the ledger too long.
const whyOverloaded = "too many turns wait"

// admission limits how many turns wait for the ledger.
type admission struct {
	mu      sync.Mutex
	limiter *adaptivelimit.Limiter
}

func newAdmission() *admission {
	return &admission{limiter: adaptivelimit.New(adaptivelimit.Config{
		Min: minWaitingTurns, Max: maxWaitingTurns, Interval: limitInterval,
	})}
}

// begin reports whether a turn may wait for the ledger. If it may, end must be called with
// whether the ledger failed and how long the turn should have waited at most.
func (a *admission) begin(programStarted bool) (end func(failed bool, target time.Duration), ok bool) {
	share, began := 1.0, time.Now()
	if !programStarted {
		share = newProgramShare
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.limiter.Begin(share, began) {
		return nil, false
	}
	return func(failed bool, target time.Duration) {
		now := time.Now()
		a.mu.Lock()
		defer a.mu.Unlock()
		a.limiter.End(failed || now.Sub(began) > target, now)
	}, true
}

// admitTurn reports whether the turn may begin. If it may, admitted must be called once it
// has what it needs of the ledger; see admission.begin.
func (c *call) admitTurn() (admitted func(failed bool, target time.Duration), ok bool) {
	if !c.waitsForLedger() {
		return func(bool, time.Duration) {}, true
	}
	return c.e.admission.begin(c.programStarted)
}

// refusedLately reports whether a turn was refused a moment ago.
func (a *admission) refusedLately(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Sub(a.limiter.LastRefused()) < overloadMemory
}

// limit returns the current limit in turns.
func (a *admission) limit() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limiter.Limit()
}

// busy reports whether goroutines that can run wait for a processor.
func (e *Edge) busy() bool { return time.Duration(e.load.runWait.Load()) >= overloadedWait }

// waitTarget returns how long a turn should wait for the ledger at most.
func (e *Edge) waitTarget() time.Duration {
	if e.busy() {
		return busyTarget
	}
	return ledgerTarget
}

// overloaded reports whether this edge is short of processor time and refuses turns. Other
// edges may have room then. One that lacks a quorum is not overloaded: others lack it, too.
func (e *Edge) overloaded(now time.Time) bool {
	return e.busy() && e.admission.refusedLately(now)
}

// refuseOverload refuses a turn that would wait for the ledger too long. If this edge is
// overloaded, the caller's next connection leads to another one.
func (c *call) refuseOverload() {
	if c.e.overloaded(time.Now()) {
		c.w.Header().Set("Connection", "close")
	}
	c.refuse(http.StatusServiceUnavailable, retryAfterOverload, whyOverloaded)
}
