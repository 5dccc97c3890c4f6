package edge

import (
	"testing"
	"time"
)

// TestUrgency guards against programs in progress that wait behind new ones in a
// burst of first turns, and against late programs that take the slots of programs
// still in time.
func TestUrgency(t *testing.T) {
	order := []turnState{
		{priority: 0, programStarted: true, hasDeadline: true, timeLeft: time.Second},
		{priority: 0, hasDeadline: true, timeLeft: time.Second},
		{priority: 0, programStarted: true, hasDeadline: true},
		{priority: 1, programStarted: true, hasDeadline: true, timeLeft: time.Second},
		{priority: 1, hasDeadline: true, timeLeft: time.Second},
		{priority: 1, programStarted: true, hasDeadline: true},
		{priority: 1, hasDeadline: true},
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
