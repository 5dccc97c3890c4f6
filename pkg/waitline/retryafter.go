package waitline

import "time"

const (
	// minRetryAfter is the shortest time after which a refused caller should return: a
	// shorter one finds the same line.
	minRetryAfter = 50 * time.Millisecond
	// honoredDivisor divides the remaining time of a caller: it waits for the quotient at most
	// before it returns.
	honoredDivisor = 3
	// maxReturns bounds the workspaces whose returning callers are spread.
	maxReturns = 1024
)

// RetryAfter returns the time after which a refused caller should return: the line has then
// drained so far that the request can wait for its turn. Each caller of a workspace gets a
// time of its own, at the rate at which the workspace is served, so that they do not return
// together. timeLeft is how long the caller waits for an answer at most; draw is uniform in
// [0, 1) and keeps the callers of several processes apart.
func (l *Line) RetryAfter(r Request, timeLeft time.Duration, now time.Time, draw float64) time.Duration {
	pace := time.Duration(float64(time.Second) / (l.drain.perSecond() * l.shareOf(r)))
	at := now.Add(max(l.wait(r)-r.LeaveBy.Sub(now)/2, minRetryAfter))
	if next := l.returns[r.Workspace]; next.After(at) {
		at = next
	}
	after := at.Sub(now) + time.Duration(draw*float64(pace))
	if longest := max(timeLeft/honoredDivisor, minRetryAfter); after > longest {
		// The caller would not wait that long. It returns as late as it accepts.
		return longest/2 + time.Duration(draw*float64(longest/2))
	}
	l.pruneReturns(now)
	l.returns[r.Workspace] = at.Add(pace)
	return after
}

// pruneReturns removes the times that have passed if there are too many, and all of them if that
// is not enough.
func (l *Line) pruneReturns(now time.Time) {
	if len(l.returns) < maxReturns {
		return
	}
	for name, at := range l.returns {
		if at.Before(now) {
			delete(l.returns, name)
		}
	}
	if len(l.returns) >= maxReturns {
		clear(l.returns)
	}
}
