package quota

import "time"

// Outcome is what happens to a request.
type Outcome int

// Outcomes of a check.
const (
	Admitted Outcome = iota
	Waiting          // for a reply of a coordinator; Resume must be called after each reply
	Refused
)

// Decision is the result of a check.
type Decision struct {
	Outcome Outcome
	// RetryAfter is the time after which a refused request should come again.
	RetryAfter time.Duration
}

// Admit decides on a request. Requests of a workspace without a quota are admitted. begins says
// whether it is the first request of a program.
func (n *Node) Admit(id uint64, begins bool, now Time) Decision {
	w := n.state(id, now)
	if w == nil {
		return Decision{}
	}
	w.seen.add(now)
	w.usedAt = now
	if begins && !w.mayBegin(now) {
		w.refused.add(now)
		return Decision{Outcome: Refused, RetryAfter: beginPause}
	}
	if w.take(now) {
		w.admitted.add(now)
		return Decision{}
	}
	if w.mayGet(now) {
		w.waiting++
		return Decision{Outcome: Waiting}
	}
	return Decision{Outcome: Refused, RetryAfter: w.refuse(now)}
}

// Resume decides again on a request that waits. It waits no longer if last is set.
func (n *Node) Resume(id uint64, last bool, now Time) Decision {
	w := n.used[id]
	if w == nil {
		return Decision{} // the quota was removed
	}
	w.waiting = max(w.waiting-1, 0)
	if w.take(now) {
		w.admitted.add(now)
		return Decision{}
	}
	if !last && w.mayGet(now) {
		w.waiting++
		return Decision{Outcome: Waiting}
	}
	return Decision{Outcome: Refused, RetryAfter: w.refuse(now)}
}

// Leave ends the wait of a request whose caller is gone.
func (n *Node) Leave(id uint64) {
	if w := n.used[id]; w != nil {
		w.waiting = max(w.waiting-1, 0)
	}
}

// Over is a workspace that sends more than its quota through this edge.
type Over struct {
	Workspace uint64
	Quota     Quota
	// Requests a second of the last seconds.
	Seen, Admitted, Refused float64
}

// Over returns the workspaces of which this edge refused requests in the last seconds.
func (n *Node) Over(now Time) []Over {
	var list []Over
	for _, w := range n.active {
		if r := w.refused.rate(now); r > 0 {
			list = append(list, Over{Workspace: w.id, Quota: w.quota, Seen: w.seen.rate(now), Admitted: w.admitted.rate(now), Refused: r})
		}
	}
	return list
}

// State is the state of a node as a coordinator.
type State struct {
	Edges   int  // in its list of edges
	Begun   bool // no edge with an earlier list can be a coordinator
	Current bool // the list is known to be current: tokens are granted
	Pools   int  // workspaces of which it has granted tokens lately
}

// State returns the state of the node as a coordinator.
func (n *Node) State(now Time) State {
	m := &n.members
	return State{Edges: len(m.list), Begun: m.begun, Current: m.isCurrent(now), Pools: len(n.pools)}
}
