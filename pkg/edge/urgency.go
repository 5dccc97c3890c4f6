package edge

import (
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/routing"
)

// Urgencies of requests at an engine, from 0 (first) to 9 (last).
const (
	mostUrgent  = 1 // a program in progress on a route with the highest priority
	leastUrgent = 9
	// priorityStep separates the priorities, so that a request of lower priority is
	// never served before one of higher priority whose program is in time.
	priorityStep = 3
	// firstTurnPenalty is added for a program that has not started: refusing it costs
	// little, while a program in progress would lose its work.
	firstTurnPenalty = 1
	// latePenalty is added for a program past its deadline, whose result is worth
	// only a fraction.
	latePenalty = 2
)

// turnState is what the urgency of a turn depends on.
type turnState struct {
	priority       int           // of the workspace or the route; 0 is the highest
	programStarted bool          // an earlier turn of the program was served
	timeLeft       time.Duration // until the program's deadline
	hasDeadline    bool          // timeLeft is set
}

// urgencyOf returns the rank of a turn in an engine's queue.
func urgencyOf(t turnState) int {
	u := mostUrgent + priorityStep*max(t.priority, 0)
	if !t.programStarted {
		u += firstTurnPenalty
	}
	if t.hasDeadline && t.timeLeft <= 0 {
		u += latePenalty
	}
	return min(u, leastUrgent)
}

// continuesProgram reports whether an earlier turn of the request's program was served, as
// far as this edge knows.
func (c *call) continuesProgram() bool {
	return c.req.ParentTurnID != "" || c.req.Program != "" && c.e.knowsProgram(c.req.Program)
}

// beginsProgram reports whether this is the first request of a program, as far as this edge
// knows.
func (c *call) beginsProgram() bool {
	return c.route.Kind == routing.Stream && c.req.Program != "" && !c.continuesProgram()
}

// knowsProgram reports whether an earlier turn of a program was served, here or, as its
// use of tokens shows, through another edge.
func (e *Edge) knowsProgram(program string) bool {
	return e.affinity.Contains(program) || e.spent.Contains(program)
}
