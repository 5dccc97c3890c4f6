package quota

import "time"

// Time is a point in time: the duration since the origin of a node's clock.
type Time = time.Duration

// Bounds says how exactly quotas are kept. In any Window, at most
// (rate * window + burst) * (1 + Overrun) + Slack requests may run.
type Bounds struct {
	Window  time.Duration
	Overrun float64 // part of the quota
	Slack   float64 // requests
}

// Quota is the quota of one workspace, for all edges together.
type Quota struct {
	Rate  float64 // requests a second
	Burst float64 // requests
}

const (
	// poolShare is the part of the rate that the coordinators grant. If all requests
	// of a workspace come through one edge, that edge must still reach 0.95 of the quota.
	poolShare = 0.98
	// baseShare is the part of the rate that edges use without a coordinator. Together with
	// poolShare it exceeds the quota by 1%, which counts against the overrun.
	baseShare = 0.03
	// The following shares divide what may run beyond the quota in a window. What they
	// leave covers views of the list of edges that differ for a moment.
	poolExtra  = 0.75 // added to the burst in the coordinators' buckets
	baseExtra  = 0.05 // capacity of all base buckets
	startExtra = 0.03 // in the buckets of coordinators that start; a window may hold two starts
	startSlack = 0.05 // the same, of the slack only: small quotas need it most
	// maxCoordinators is the largest number of coordinators of a workspace. With 6, the
	// loss of one leaves 0.82 of the quota. More of them leave each one too few tokens for the
	// burst of requests that one program of a small workspace sends.
	maxCoordinators = 6
	// minCapacity is the least capacity of a coordinator's bucket: a token, and room for
	// what comes while that token is on its way. slackPerCoordinator is the slack that each
	// coordinator needs for it.
	minCapacity         = 1.5
	slackPerCoordinator = 2.5
	// lifeShare is the part of the coordinators' buckets that edges may hold unused while
	// they use all of the quota.
	lifeShare = 0.6
	// minLife and maxLife bound how long a granted token may be used. minLife exceeds a
	// round trip between regions. Tokens for requests that wait have this life too: until
	// they expire or are known to be used, they take room in the coordinator's bucket.
	minLife = 150 * time.Millisecond
	maxLife = time.Second
	// ListAge is the age up to which a list of edges counts as current. In normal
	// operation, the feeds between edges keep it below 2 s.
	ListAge = 2500 * time.Millisecond
)

// extra returns the requests beyond the quota that a window may have.
func (b Bounds) extra(q Quota) float64 {
	return b.Overrun*(q.Rate*b.Window.Seconds()+q.Burst) + b.Slack
}

// Limit returns the most requests of a workspace in a window.
func (b Bounds) Limit(q Quota) float64 {
	return q.Rate*b.Window.Seconds() + q.Burst + b.extra(q)
}

// coordinators returns the number of coordinators of each workspace among n edges. It does
// not depend on the quota: edges with different configurations choose the same ones.
func (b Bounds) coordinators(n int) int {
	return max(min(n, maxCoordinators, int(b.Slack/slackPerCoordinator)), 1)
}

// pool returns rate and capacity of the coordinators' buckets together.
func (b Bounds) pool(q Quota) (rate, capacity float64) {
	return poolShare * q.Rate, q.Burst + poolExtra*b.extra(q)
}

// base returns the number of edges that have a base bucket, among n edges, and rate and
// capacity of each one. There are only
// as many holders as buckets that can hold a whole token.
func (b Bounds) base(q Quota, n int) (holders int, rate, capacity float64) {
	total := baseExtra * b.extra(q)
	holders = min(n, int(total))
	if holders == 0 {
		return 0, 0, 0
	}
	return holders, baseShare * q.Rate / float64(holders), total / float64(holders)
}

// start returns the level of the bucket of the coordinator at a position among k, when its
// process starts. Whole tokens go to the first ones, and the levels are staggered around the
// same sum: the next tokens of a small quota come one after the other, not all at once.
func (b Bounds) start(q Quota, position, k int) float64 {
	total := startExtra*b.extra(q) + startSlack*b.Slack
	stagger := 0.5 - (float64(position)+0.5)/float64(k)
	if total >= float64(k) {
		return total/float64(k) + stagger
	}
	return min(max(total-float64(position), 0), 1) + stagger
}

// life returns how long granted tokens of a workspace may be used.
func (b Bounds) life(q Quota) time.Duration {
	rate, capacity := b.pool(q)
	if rate <= 0 {
		return minLife
	}
	d := time.Duration(lifeShare * capacity / rate * float64(time.Second))
	return min(max(d, minLife), maxLife)
}
