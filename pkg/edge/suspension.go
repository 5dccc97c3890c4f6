package edge

import (
	"context"
	"time"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

// checkSuspension returns how long the machine was suspended since the process
// started. The first call after a suspension invalidates all state from before it.
func (e *Edge) checkSuspension(now time.Time) time.Duration {
	total := e.suspendedTime(now)
	seen := e.suspendedSeen.Load()
	if int64(total) > seen && e.suspendedSeen.CompareAndSwap(seen, int64(total)) {
		e.logger.Warn("machine was suspended, reloading the deployment", "for", total-time.Duration(seen))
		e.pool.CloseAllIdle()
		e.view.invalidate()
		e.suspects.exchanger.beginRound()
	}
	return total
}

// applySuspension subtracts the time of suspensions since the request began from its
// remaining time and reports whether any is left.
func (c *call) applySuspension(now time.Time) bool {
	if suspended := c.e.checkSuspension(now) - c.suspendedBefore; suspended > 0 {
		c.suspendedBefore += suspended
		c.deadline = c.deadline.Add(-suspended)
		c.tracker.ShortenDeadline(suspended)
		c.e.view.waitUntilRefreshed(c.r.Context())
		now = time.Now()
	}
	return now.Before(c.deadline)
}

// invalidate makes requests wait until the deployment has been read again.
func (v *view) invalidate() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.refreshed == nil {
		v.refreshed = make(chan struct{})
	}
	v.unlisted = map[string]bool{platform.KindConfig: true, platform.KindUpstreams: true, platform.KindNodes: true}
	if v.refresh != nil {
		v.refresh()
	}
}

// markListed records that a kind was listed, which completes the refresh once all
// are.
func (v *view) markListed(kind string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if delete(v.unlisted, kind); len(v.unlisted) == 0 {
		v.endRefreshLocked()
	}
}

// endRefreshLocked completes the refresh. The caller holds the view's lock.
func (v *view) endRefreshLocked() {
	if v.refreshed != nil {
		close(v.refreshed)
		v.refreshed = nil
	}
}

// waitUntilRefreshed delays a request while the deployment is read again. If neither
// the store nor another edge answers in time, the request continues with the old
// state.
func (v *view) waitUntilRefreshed(ctx context.Context) {
	v.mu.Lock()
	refreshed := v.refreshed
	v.mu.Unlock()
	if refreshed == nil {
		return
	}
	timer := time.NewTimer(maxStartWait)
	defer timer.Stop()
	select {
	case <-refreshed:
	case <-ctx.Done():
	case <-timer.C:
	}
}

// setRefresh sets the function that reads the deployment again.
func (v *view) setRefresh(refresh func()) (previous func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	previous = v.refresh
	v.refresh = refresh
	return previous
}
