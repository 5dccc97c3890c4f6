package edge

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccaspindle/yuccaspindle/pkg/quota"
	"github.com/yuccaspindle/yuccaspindle/pkg/routing"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	// quotaTick is the time between two rounds of requests for tokens.
	quotaTick = 50 * time.Millisecond
	// quotaIdleTick is that time while no workspace has a quota.
	quotaIdleTick = 250 * time.Millisecond
	// quotaViewInterval is how often the list of edges is compared with the view's.
	quotaViewInterval = 100 * time.Millisecond
	// minQuotaRetry is the shortest Retry-After of a refusal.
	minQuotaRetry = 10 * time.Millisecond
)

// defaultQuotaBounds apply if the settings have none.
var defaultQuotaBounds = quota.Bounds{Window: 5 * time.Second, Overrun: 0.1, Slack: 20}

// whyOverQuota is the reason for refusing a request of a workspace over its quota.
const whyOverQuota = "workspace over its quota"

// quotas keeps the quotas of workspaces together with the other edges.
type quotas struct {
	e       *Edge
	began   time.Time
	wake    chan struct{} // a request waits for tokens
	metrics quotaMetrics

	mu      sync.Mutex
	node    *quota.Node
	table   *routing.Table // whose quotas are in force
	names   map[uint64]string
	changed chan struct{} // closed when tokens may have arrived
	waiting int           // requests that wait for changed

	// The following fields belong to the goroutine of run.

	viewedAt    quota.Time
	suspended   time.Duration // total time of suspensions at the last look
	suspendedAt quota.Time    // when it was last seen to have grown
	over        map[uint64]bool
	overAt      quota.Time
}

func newQuotas(e *Edge) *quotas {
	q := &quotas{
		e: e, began: time.Now(), wake: make(chan struct{}, 1), metrics: newQuotaMetrics(e.metrics),
		changed: make(chan struct{}), over: make(map[uint64]bool),
	}
	q.node = quota.NewNode(quotaBounds(e.settings.Quota), e.settings.PeerAddress())
	return q
}

func quotaBounds(b platform.QuotaBounds) quota.Bounds {
	if b.Window <= 0 {
		return defaultQuotaBounds
	}
	return quota.Bounds{Window: b.Window, Overrun: b.Overrun, Slack: b.Slack}
}

// now returns the time since the start, with the time for which the machine was suspended.
func (q *quotas) now() quota.Time {
	now := time.Now()
	return now.Sub(q.began) + q.e.suspendedTime(now)
}

// workspaceID identifies a workspace in messages between edges.
func workspaceID(name string) uint64 { return xxhash.Sum64String(name) }

// admitQuota reports whether the quota of the request's workspace allows it. If not, the
// request has been answered.
func (c *call) admitQuota() bool {
	if !c.workspace.HasQuota() {
		return true
	}
	wait := min(quota.MaxWait, time.Until(c.deadline))
	d := c.e.quotas.admit(c.r.Context(), wait, workspaceID(c.workspace.Name), c.beginsProgram())
	if d.Outcome == quota.Admitted {
		return true
	}
	c.refuse(http.StatusTooManyRequests, max(d.RetryAfter, minQuotaRetry), whyOverQuota)
	return false
}

// admit decides on a request. It waits for tokens that are on their way, at most for a time.
func (q *quotas) admit(ctx context.Context, wait time.Duration, id uint64, begins bool) quota.Decision {
	q.applyTable()
	q.mu.Lock()
	d := q.node.Admit(id, begins, q.now())
	if d.Outcome != quota.Waiting {
		q.mu.Unlock()
		q.metrics.decided(d)
		return d
	}
	q.waiting++
	changed := q.changed
	q.mu.Unlock()
	notify(q.wake)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	q.metrics.waited.Inc()
	for last := false; d.Outcome == quota.Waiting; {
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-ctx.Done():
			q.leave(id)
			return quota.Decision{Outcome: quota.Refused}
		}
		q.mu.Lock()
		d = q.node.Resume(id, last, q.now())
		changed = q.changed
		q.mu.Unlock()
		notify(q.wake) // the next coordinator may have tokens
	}
	q.mu.Lock()
	q.waiting--
	q.mu.Unlock()
	q.metrics.decided(d)
	return d
}

// leave ends the wait of a request whose caller is gone.
func (q *quotas) leave(id uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting--
	q.node.Leave(id)
}

// applyTable puts the quotas of the table in force, if it is another one.
func (q *quotas) applyTable() {
	table := q.e.view.table.Load()
	q.mu.Lock()
	same := table == q.table
	q.mu.Unlock()
	if same || table == nil {
		return
	}
	list := make(map[uint64]quota.Quota)
	names := make(map[uint64]string)
	for _, w := range table.Workspaces() {
		if w.HasQuota() {
			id := workspaceID(w.Name)
			list[id], names[id] = quota.Quota{Rate: w.RatePerSecond, Burst: w.Burst}, w.Name
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.table != nil && table.Version() <= q.table.Version() {
		return
	}
	q.table, q.names = table, names
	q.node.SetQuotas(table.Version(), list, q.now())
}

// hasQuotas reports whether any workspace has a quota.
func (q *quotas) hasQuotas() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.names) > 0
}

// applyView passes the list of edges on, and when it was known to be current.
func (q *quotas) applyView() {
	total := q.e.suspendedTime(time.Now())
	now := q.now()
	if total > q.suspended {
		// The ages of the view do not contain the suspension.
		q.suspended, q.suspendedAt = total, now
	}
	members, verified, age := q.e.view.quotaMembers()
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(members) > 0 {
		q.node.SetMembers(members, now)
	}
	if at := now - max(age, 0); verified && (q.suspendedAt == 0 || at > q.suspendedAt) {
		q.node.SetVerified(at)
	}
}

// quotaMembers returns the registered edges, whether the list is being kept up to date, and the
// time since it was known to be current.
func (v *view) quotaMembers() (list []quota.Member, verified bool, age time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	verified, age, _ = v.feed.freshness()
	for _, n := range v.nodes {
		if n.Role == platform.RoleEdge {
			list = append(list, quota.Member{Address: n.Address, Created: n.Created})
		}
	}
	return list, verified && v.nodesLoaded, age
}

// run asks for tokens until the context is done.
func (q *quotas) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		waitingOnly := true
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		case <-timer.C:
			waitingOnly = false
			q.applyTable()
			if !q.hasQuotas() {
				timer.Reset(quotaIdleTick)
				continue
			}
			timer.Reset(quotaTick)
			if now := q.now(); q.viewedAt == 0 || now-q.viewedAt >= quotaViewInterval {
				q.applyView()
				q.viewedAt = now
			}
			q.logOver()
		}
		q.mu.Lock()
		asks := q.node.Due(waitingOnly, q.now())
		q.mu.Unlock()
		for _, a := range asks {
			q.metrics.ask(a)
			if a.To == q.e.settings.PeerAddress() {
				q.answerSelf(a)
				continue
			}
			go q.send(ctx, a)
		}
	}
}
