package policy

import (
	"math"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// Requests are ordered by their arrival time plus handicaps minus a head start, all
// in seconds. These are computed once on arrival, so the key of a waiting request
// never changes. A request can be overtaken only by requests that arrive within
// the sum of these terms, so its wait behind others is bounded.
const (
	// standardHandicap and batchHandicap separate the classes: a standard request
	// is served before interactive requests that arrive 30 s after it, a batch
	// request before those that arrive 2 min after it.
	standardHandicap = 30.0
	batchHandicap    = 120.0
	// levelHandicap is the handicap for each doubling of the service that the root
	// program has attained.
	levelHandicap = 1.0
	// levelCount is the number of levels of attained service. It limits their
	// handicap to 9 s.
	levelCount = 10
	// levelBaseTokens is the attained service below which programs are equal.
	levelBaseTokens = 4096
	// priorityHeadStart is the head start per step of the profile's priority.
	priorityHeadStart = 0.5
	// maxCallerHandicap limits the handicap of a caller with many simultaneous
	// calls. It is below standardHandicap, so that the classes keep their order.
	maxCallerHandicap = 20.0
	// rateWindow is the time in s over which the service rate is measured.
	rateWindow = 5.0
	// rateDecay is the factor per window by which the highest measured rate decays.
	// That rate is the estimate of the capacity while the load is lower.
	rateDecay = 0.99
	// initialRate is the capacity in tokens/s that is assumed before the first
	// measurement.
	initialRate = 1000
)

// queueRanker ranks requests by class, by the service that the root program and
// its children have attained (least first), by the simultaneous calls of the
// caller, and by priority.
type queueRanker struct {
	outstanding map[core.ProgramID]int64 // tokens of waiting and running calls per root
	callers     map[flow]int64           // the same per caller and profile
	served      int64                    // tokens since windowStart
	windowStart time.Time
	rate        float64 // capacity, tokens/s
}

// flow is a caller and a profile, the unit of fair queueing.
type flow struct{ caller, profile string }

func newQueueRanker() *queueRanker {
	return &queueRanker{outstanding: map[core.ProgramID]int64{}, callers: map[flow]int64{}, rate: initialRate}
}

// level returns the level of the attained service: 0 below levelBaseTokens, plus
// 1 for each doubling from there.
func level(attained int64) int {
	if attained < levelBaseTokens {
		return 0
	}
	return min(levelCount-1, 1+int(math.Log2(float64(attained)/levelBaseTokens)))
}

// attained returns the service that the root program has attained. Waiting and
// running calls count as served, so that a program gains nothing from running many
// children simultaneously.
func (o *queueRanker) attained(p *core.ProgramView) int64 {
	return p.Attained + o.outstanding[p.Root]
}

// key returns the position of a request in the queue, lowest first.
func (o *queueRanker) key(now time.Time, r *core.Request) float64 {
	k := unixSeconds(now)
	switch classRank(r.Program.Profile.Class) {
	case 1:
		k += standardHandicap
	case 2:
		k += batchHandicap
	}
	k += levelHandicap * float64(level(o.attained(&r.Program)))
	k += o.callerHandicap(r)
	return k - priorityHeadStart*float64(r.Program.Profile.Priority)
}

// callerHandicap returns the time in s in which the waiting and running calls of
// the same caller and profile could be served. As in start-time fair queueing, a
// caller that arrives later with a single call has no handicap.
func (o *queueRanker) callerHandicap(r *core.Request) float64 {
	return min(maxCallerHandicap, float64(o.callers[flowOf(r)])/o.rate)
}

// recordServed counts a served call in the service rate.
func (o *queueRanker) recordServed(now time.Time, r *core.Request) {
	o.served += demandTokens(&r.Call)
	if elapsed := now.Sub(o.windowStart).Seconds(); elapsed >= rateWindow {
		if !o.windowStart.IsZero() {
			o.rate = max(o.rate*rateDecay, float64(o.served)/elapsed, 1)
		}
		o.served, o.windowStart = 0, now
	}
}

func flowOf(r *core.Request) flow { return flow{r.Call.Caller, r.Program.Profile.Name} }

// charge counts the expected tokens of a call until release is called.
func (o *queueRanker) charge(r *core.Request) {
	n := demandTokens(&r.Call)
	o.outstanding[r.Program.Root] += n
	o.callers[flowOf(r)] += n
}

// release ends the counting of a call.
func (o *queueRanker) release(r *core.Request) {
	n := demandTokens(&r.Call)
	subtract(o.outstanding, r.Program.Root, n)
	subtract(o.callers, flowOf(r), n)
}

// subtract reduces a counter and removes it when it reaches 0.
func subtract[K comparable](m map[K]int64, k K, n int64) {
	if left := m[k] - n; left > 0 {
		m[k] = left
	} else {
		delete(m, k)
	}
}

// demandTokens returns the size of a call in tokens for ranking. Prompt tokens
// count an eighth, because most of the history is likely to be cached and costs
// the engine little.
func demandTokens(c *core.Call) int64 {
	const cachedShare = 8
	return 1 + c.PromptTokens/cachedShare + c.MaxTokens
}

// priority returns the priority of a request in the engine, where 0 is first: ten
// levels per class, reduced within the class by the time spent in the queue.
func (o *queueRanker) priority(now time.Time, it *item) int {
	lv := level(o.attained(&it.req.Program)) - int(now.Sub(it.enqueuedAt).Seconds()/levelHandicap)
	return it.rank*levelCount + max(0, lv)
}

// unixSeconds returns a time in s with a resolution better than 1 µs.
func unixSeconds(t time.Time) float64 { return float64(t.UnixMicro()) / 1e6 }
