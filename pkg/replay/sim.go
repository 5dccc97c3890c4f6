package replay

import (
	"container/heap"
	"time"
)

// event is a step of the simulation. Steps due at the same time run in the
// order in which they were scheduled.
type event struct {
	at  time.Time
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

// clock is the virtual time with its event heap.
type clock struct {
	now  time.Time
	seq  uint64
	heap eventHeap
}

// at schedules a step; a time in the past means now.
func (c *clock) at(t time.Time, run func()) {
	if t.Before(c.now) {
		t = c.now
	}
	c.seq++
	heap.Push(&c.heap, event{at: t, seq: c.seq, run: run})
}

func (c *clock) after(d time.Duration, run func()) { c.at(c.now.Add(d), run) }

// next runs the earliest step and reports whether there was one.
func (c *clock) next() bool {
	if len(c.heap) == 0 {
		return false
	}
	e := heap.Pop(&c.heap).(event)
	c.now = e.at
	e.run()
	return true
}
