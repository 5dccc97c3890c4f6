package policy

import (
	"math"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// The order of the queue. Every term is a head start in seconds, so that the
// rank of a waiting request never changes and ageing is the passing of time: a
// request can be overtaken only by requests that arrive within the sum of its
// terms, which bounds its wait behind others.
const (
	// classStep separates the classes. A standard request goes ahead of
	// interactive requests that arrive 30 s after it, a batch request after
	// 2 min.
	standardStep = 30.0
	batchStep    = 120.0
	// levelStep is the head start of a root program over one with twice its
	// attained service.
	levelStep = 1.0
	// levelCount bounds the handicap of long consultations to 9 s.
	levelCount = 10
	// levelUnit is the attained service below which programs are equal.
	levelUnit = 4096
	// priorityStep is the head start of one step of the profile's priority.
	priorityStep = 0.5
	// callerMax bounds the handicap in s of a caller with many calls at once. It
	// is below standardStep, so that classes keep their order.
	callerMax = 20.0
	// rateWindow is the time in s over which the served demand is counted.
	rateWindow = 5.0
	// rateFade is kept of the highest rate per window, which stands for the
	// capacity while less is asked for.
	rateFade = 0.99
	// initialRate is the capacity in tokens/s before one was seen.
	initialRate = 1000
)

// order ranks requests by class, then by the least service attained by the root
// program and its children.
type order struct {
	outstanding map[core.ProgramID]int64 // tokens of waiting and running calls per root
	callers     map[share]int64          // and per caller and profile
	served      int64                    // since window
	window      time.Time
	rate        float64 // capacity, tokens/s
}

// share is the owner of a fair share.
type share struct{ caller, profile string }

func newOrder() *order {
	return &order{outstanding: map[core.ProgramID]int64{}, callers: map[share]int64{}, rate: initialRate}
}

// level is the logarithm of the attained service in steps of levelUnit.
func level(attained int64) int {
	if attained < levelUnit {
		return 0
	}
	return min(levelCount-1, 1+int(math.Log2(float64(attained)/levelUnit)))
}

// attained counts the calls that the root has under way as if they were served,
// so that a program gains nothing from many children at once.
func (o *order) attained(p *core.ProgramView) int64 {
	return p.Attained + o.outstanding[p.Root]
}

func (o *order) key(now time.Time, r *core.Request) float64 {
	k := seconds(now)
	switch rankOf(r.Program.Profile.Class) {
	case 1:
		k += standardStep
	case 2:
		k += batchStep
	}
	k += levelStep * float64(level(o.attained(&r.Program)))
	k += o.excess(r)
	return k - priorityStep*float64(r.Program.Profile.Priority)
}

// excess is the handicap of a caller with many calls at once: the time in which
// the calls that it has waiting and running could be served. It orders callers
// as start-time fair queueing does, since a caller that comes later with one
// call has none.
func (o *order) excess(r *core.Request) float64 {
	return min(callerMax, float64(o.callers[shareOf(r)])/o.rate)
}

// serve counts the demand of a call that was served.
func (o *order) serve(now time.Time, r *core.Request) {
	o.served += demand(&r.Call)
	if past := now.Sub(o.window).Seconds(); past >= rateWindow {
		if !o.window.IsZero() {
			o.rate = max(o.rate*rateFade, float64(o.served)/past, 1)
		}
		o.served, o.window = 0, now
	}
}

func shareOf(r *core.Request) share { return share{r.Call.Caller, r.Program.Profile.Name} }

// charge counts the expected tokens of a call until release.
func (o *order) charge(r *core.Request) {
	n := demand(&r.Call)
	o.outstanding[r.Program.Root] += n
	o.callers[shareOf(r)] += n
}

func (o *order) release(r *core.Request) {
	n := demand(&r.Call)
	discharge(o.outstanding, r.Program.Root, n)
	discharge(o.callers, shareOf(r), n)
}

func discharge[K comparable](m map[K]int64, k K, n int64) {
	if left := m[k] - n; left > 0 {
		m[k] = left
	} else {
		delete(m, k)
	}
}

// demand is the size of a call in tokens, for ranking only: history that is
// likely cached counts as little as the engine works for it.
func demand(c *core.Call) int64 {
	const cachedShare = 8
	return 1 + c.PromptTokens/cachedShare + c.MaxTokens
}

// priority maps the rank to the priority of the engine, 0 first: ten levels per
// class, less the ageing that the request has had in the queue.
func (o *order) priority(now time.Time, it *item) int {
	lv := level(o.attained(&it.req.Program)) - int(now.Sub(it.since).Seconds()/levelStep)
	return it.rank*levelCount + max(0, lv)
}

// seconds maps a time to a float with a resolution better than 1 µs.
func seconds(t time.Time) float64 { return float64(t.UnixMicro()) / 1e6 }
