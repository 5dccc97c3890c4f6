package policy

import (
	"math"
	"time"
)

// passingBound is the expected wait in s, per class, at which new programs are
// refused while a quarter of the capacity or more was lost a short time ago.
// Standard and batch programs carry the wait. With bounds of 10 and 60 s for
// them, a loss that lasted 13 min at the peak gave a latency p95 of 0.74 of the
// best baseline's, where at most 0.6 is the goal.
var passingBound = [classCount]float64{1, 7, 15}

const (
	// lossFull is the lost part of the capacity from which on passingBound holds
	// in full.
	lossFull = 0.25
	// lossTerm is the time constant in s with which a lower capacity becomes the
	// usual one, so that a loss that lasts is met by refusals.
	lossTerm = 300.0
	// lossFade is the time constant in s with which the bounds return after the
	// capacity is back, since the queue of the loss is still there. With 60 s
	// lango-domain-lost-peak refused 15 customer-minutes instead of 4.
	lossFade = 120.0
)

// capacity compares the slots of a target with the usual number.
type capacity struct {
	usual float64 // slots
	loss  float64 // 0 without a recent loss, 1 for lossFull and more
}

func (c *capacity) update(slots float64, past time.Duration) {
	s := past.Seconds()
	c.usual = max(slots, slots+(c.usual-slots)*math.Exp(-s/lossTerm))
	loss := 0.0
	if c.usual > 0 {
		loss = min(1, (1-slots/c.usual)/lossFull)
	}
	c.loss = max(loss, c.loss*math.Exp(-s/lossFade))
}

// bound is the expected wait in s at which new programs of a class are refused.
func bound(class int, loss float64) float64 {
	return waitBound[class] + loss*(passingBound[class]-waitBound[class])
}

// statedSlots is the number of slots that the members stated which may receive
// work. It leaves out limits and slow start, which are no loss of capacity.
func (t *target) statedSlots() float64 {
	n := 0
	for _, g := range t.groups {
		for _, m := range g.heap {
			n += m.up.slots()
		}
	}
	return float64(n)
}
