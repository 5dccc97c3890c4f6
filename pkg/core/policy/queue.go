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
)

// order ranks requests by class, then by the least service attained by the root
// program and its children.
type order struct {
	outstanding map[core.ProgramID]int64 // tokens of waiting and running calls per root
}

func newOrder() *order { return &order{outstanding: map[core.ProgramID]int64{}} }

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
	return k - priorityStep*float64(r.Program.Profile.Priority)
}

// charge counts the expected tokens of a call until release.
func (o *order) charge(r *core.Request) { o.outstanding[r.Program.Root] += demand(&r.Call) }

func (o *order) release(r *core.Request) {
	root := r.Program.Root
	if left := o.outstanding[root] - demand(&r.Call); left > 0 {
		o.outstanding[root] = left
	} else {
		delete(o.outstanding, root)
	}
}

// demand is the size of a call in tokens, for ranking only: history that is
// likely cached counts as little as the engine works for it.
func demand(c *core.Call) int64 {
	const cachedShare = 8
	return c.PromptTokens/cachedShare + c.MaxTokens
}

// priority maps the rank to the priority of the engine, 0 first: ten levels per
// class, less the ageing that the request has had in the queue.
func (o *order) priority(now time.Time, it *item) int {
	lv := level(o.attained(&it.req.Program)) - int(now.Sub(it.since).Seconds()/levelStep)
	return it.rank*levelCount + max(0, lv)
}

// seconds maps a time to a float with a resolution better than 1 µs.
func seconds(t time.Time) float64 { return float64(t.UnixMicro()) / 1e6 }
