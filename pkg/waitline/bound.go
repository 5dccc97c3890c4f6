package waitline

import "time"

const (
	// longestShare and shortestShare divide the latency objective: a request waits half of
	// it at most, and an eighth even if it will probably be late, since a refusal costs
	// its caller more.
	longestShare  = 2
	shortestShare = 8
	// defaultObjective applies to routes without a latency objective.
	defaultObjective = time.Second
)

// LeaveBy returns when a request that came at since stops waiting: while it can still end
// within its latency objective and before its deadline, given the expected service time and
// the time that its caller has lost before, and after at most a part of the objective.
func LeaveBy(since, deadline time.Time, lost, work, objective time.Duration) time.Time {
	if objective <= 0 {
		objective = defaultObjective
	}
	wait := min(max(objective-lost-work, objective/shortestShare), objective/longestShare)
	by := since.Add(wait)
	if latest := deadline.Add(-work); latest.Before(by) {
		return latest
	}
	return by
}
