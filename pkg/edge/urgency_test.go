package edge

import (
	"testing"
	"time"
)

// Guards, under a burst of first turns, against programs that have begun and
// wait behind new ones, and against programs past their time that take the
// slots of those that can still be in time.
func TestUrgency(t *testing.T) {
	order := []turnState{
		{priority: 0, begun: true, timed: true, timeLeft: time.Second},
		{priority: 0, timed: true, timeLeft: time.Second},
		{priority: 0, begun: true, timed: true},
		{priority: 1, begun: true, timed: true, timeLeft: time.Second},
		{priority: 1, timed: true, timeLeft: time.Second},
		{priority: 1, begun: true, timed: true},
		{priority: 1, timed: true},
	}
	for i := 1; i < len(order); i++ {
		if a, b := urgencyOf(order[i-1]), urgencyOf(order[i]); a >= b {
			t.Errorf("%+v has urgency %d, %+v has %d", order[i-1], a, order[i], b)
		}
	}
	if u := urgencyOf(turnState{priority: 7}); u != leastUrgent {
		t.Errorf("a very low priority has urgency %d", u)
	}
}
