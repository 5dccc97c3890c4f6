package edge

import "time"

// Urgencies of requests at an engine: 0 is first, 9 last.
const (
	mostUrgent  = 1 // a turn of the most urgent route's program that has begun
	leastUrgent = 9
	// urgencyStep separates the priorities of routes, so that a less urgent
	// route never goes before a more urgent one that is in time.
	urgencyStep = 3
	// firstTurn is added for a program that has not begun: it can still be
	// refused at little cost, one that has begun would lose its work.
	firstTurn = 1
	// lateProgram is added for a program past its time, which earns a fraction.
	lateProgram = 2
)

// turnState is what the urgency of a turn depends on.
type turnState struct {
	priority int           // of the route, 0 is the most urgent
	begun    bool          // an earlier turn of the program was served
	timeLeft time.Duration // until the program should have ended
	timed    bool          // timeLeft is stated
}

// urgencyOf returns the rank of a turn at an engine under load.
func urgencyOf(t turnState) int {
	u := mostUrgent + urgencyStep*max(t.priority, 0)
	if !t.begun {
		u += firstTurn
	}
	if t.timed && t.timeLeft <= 0 {
		u += lateProgram
	}
	return min(u, leastUrgent)
}
