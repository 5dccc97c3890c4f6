package policy

import (
	"math/rand/v2"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

const (
	// defaultRetryLimit is the largest number of retries if the profile sets none.
	defaultRetryLimit = 2
	// retryRatio is the long-term ratio of retries to successful calls that a
	// caller or upstream is allowed.
	retryRatio = 0.1
	// callerBurst is the largest retry budget of a caller.
	callerBurst = 20
	// upstreamBurst is the largest retry budget per slot for failures on one
	// upstream. A crash fails every running call, and each may be retried once.
	upstreamBurst = 1.5
	// retryBaseDelay is the mean delay of the first retry. It is doubled for each
	// further one, up to maxRetryDelay.
	retryBaseDelay = 50 * time.Millisecond
	maxRetryDelay  = 2 * time.Second
	// unreachedDelay is the mean delay after an attempt that did not reach its
	// upstream. Heartbeats report an unreachable upstream every 500 ms.
	unreachedDelay = 250 * time.Millisecond
)

// tokenBucket is a token bucket that successful calls refill.
type tokenBucket struct{ tokens, burst float64 }

func newTokenBucket(burst float64) tokenBucket { return tokenBucket{burst, burst} }

func (b *tokenBucket) add(n float64) { b.tokens = min(b.burst, b.tokens+n) }

// retrier limits retries by budgets per caller and upstream, so that an outage
// does not cause a retry storm.
type retrier struct {
	rng     *rand.Rand
	callers map[string]*tokenBucket
}

func newRetrier(rng *rand.Rand) *retrier {
	return &retrier{rng: rng, callers: map[string]*tokenBucket{}}
}

// resize adapts the retry budget of an upstream to its number of slots, which is
// not known until its engine has answered for the first time. A restart does not
// refill the budget.
func (t *retrier) resize(u *upstream) {
	burst := upstreamBurst * float64(u.slots())
	growth := burst - u.retryBudget.burst
	u.retryBudget.burst = burst
	u.retryBudget.tokens = min(u.retryBudget.tokens+max(growth, 0), burst)
}

// caller returns the retry budget of a caller and creates it if necessary.
func (t *retrier) caller(name string) *tokenBucket {
	b := t.callers[name]
	if b == nil {
		x := newTokenBucket(callerBurst)
		b = &x
		t.callers[name] = b
	}
	return b
}

// prune removes the callers whose budget is full: it is full again when created
// anew.
func (t *retrier) prune() {
	for name, b := range t.callers { // each caller is independent of the others
		if b.tokens >= b.burst {
			delete(t.callers, name)
		}
	}
}

// recordSuccess adds retryRatio to the budgets of the caller and the upstream.
func (t *retrier) recordSuccess(caller string, u *upstream) {
	t.caller(caller).add(retryRatio)
	u.retryBudget.add(retryRatio)
}

// retryUnreached allows a retry of a request that did not reach an upstream. The
// failed attempt caused no load on an upstream, so only the deadline limits
// the retries.
func (t *retrier) retryUnreached(now time.Time, r *core.Request) (time.Duration, bool) {
	delay := unreachedDelay/2 + time.Duration(t.rng.Int64N(int64(unreachedDelay)))
	if !r.Call.Deadline.IsZero() && !now.Add(delay).Before(r.Call.Deadline) {
		return 0, false
	}
	return delay, true
}

// decide returns whether a request may be retried, and after which delay. Up is
// the upstream of the failed attempt, or nil if it was removed. An attempt that a
// draining upstream returned unprocessed is retried without limit or budget:
// nothing failed, and every planned shutdown returns some.
func (t *retrier) decide(now time.Time, r *core.Request, f core.Failure, up *upstream) (time.Duration, bool) {
	if f.Draining && f.Ran == core.RanNo {
		return 0, true
	}
	if f.Ran == core.RanNo && !f.Crashed {
		return t.retryUnreached(now, r)
	}
	limit := r.Program.Profile.RetryLimit
	if limit <= 0 {
		limit = defaultRetryLimit
	}
	if r.Tries+1 > limit {
		return 0, false
	}
	delay := min(retryBaseDelay<<min(r.Tries, 10), maxRetryDelay)
	delay = delay/2 + time.Duration(t.rng.Int64N(int64(delay)))
	if f.Crashed && r.Tries == 0 {
		delay = 0 // another upstream can take it immediately
	}
	if !r.Call.Deadline.IsZero() && !now.Add(delay).Before(r.Call.Deadline) {
		return 0, false
	}
	// The first retry after a crash is charged only to the upstream: the caller
	// has no influence on how many of its calls were running there.
	var budgets [2]*tokenBucket
	if up != nil {
		budgets[0] = &up.retryBudget
	}
	if !f.Crashed || r.Tries > 0 || up == nil {
		budgets[1] = t.caller(r.Call.Caller)
	}
	for _, b := range budgets {
		if b != nil && b.tokens < 1 {
			return 0, false
		}
	}
	for _, b := range budgets {
		if b != nil {
			b.tokens--
		}
	}
	return delay, true
}
