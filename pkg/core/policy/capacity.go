package policy

import (
	"math"
	"time"
)

// lossWaitBound replaces normalWaitBound while at least fullLossShare of the
// capacity was lost recently. The longer waits fall on standard and batch
// programs. With bounds of 10 and 60 s for these, a loss of 13 min at peak load
// gave a latency p95 of 0.74 times that of the best baseline; the goal is at most
// 0.6 times.
var lossWaitBound = [classCount]float64{1, 7, 15}

const (
	// fullLossShare is the lost share of the capacity from which lossWaitBound
	// applies in full. Below, the bound is interpolated.
	fullLossShare = 0.25
	// lossAdaptationTime is the time constant in s with which the usual number of
	// slots adapts to a lower one, so that a lasting loss leads to refusals.
	lossAdaptationTime = 300.0
	// lossRecoveryTime is the time constant in s with which the bounds return to
	// normal after the capacity has recovered: the queue that built up during the
	// loss still has to drain. With 60 s, the trace lango-domain-lost-peak had 15
	// customer-minutes with a refusal instead of 4.
	lossRecoveryTime = 120.0
)

// capacity compares the current number of slots of a target with the usual one.
type capacity struct {
	usualSlots float64 // slots
	loss       float64 // from 0 without a recent loss to 1 for fullLossShare or more
}

// update takes the current number of slots, a time after the previous update.
func (c *capacity) update(slots float64, elapsed time.Duration) {
	s := elapsed.Seconds()
	c.usualSlots = max(slots, slots+(c.usualSlots-slots)*math.Exp(-s/lossAdaptationTime))
	loss := 0.0
	if c.usualSlots > 0 {
		loss = min(1, (1-slots/c.usualSlots)/fullLossShare)
	}
	c.loss = max(loss, c.loss*math.Exp(-s/lossRecoveryTime))
}

// waitBound returns the expected wait in s above which new programs of a class
// are refused.
func waitBound(class int, loss float64) float64 {
	return normalWaitBound[class] + loss*(lossWaitBound[class]-normalWaitBound[class])
}

// reportedSlots returns the number of slots reported by the members that may
// receive calls. It ignores concurrency limits and slow start, which are no loss
// of capacity.
func (t *target) reportedSlots() float64 {
	n := 0
	for _, g := range t.groups {
		for _, m := range g.heap {
			n += m.up.slots()
		}
	}
	return float64(n)
}
