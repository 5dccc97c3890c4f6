package edge

import (
	"context"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// suspended returns how long the machine was suspended since the start of the
// process. The first call after a suspension puts everything in doubt that was
// known before.
func (e *Edge) suspended(now time.Time) time.Duration {
	total := e.slept(now)
	seen := e.sleptSeen.Load()
	if int64(total) > seen && e.sleptSeen.CompareAndSwap(seen, int64(total)) {
		e.logger.Warn("machine was suspended, reading the deployment anew", "for", total-time.Duration(seen))
		e.pool.CloseAllIdle()
		e.view.doubt()
		e.suspects.exchange.open()
	}
	return total
}

// noteSuspension takes a suspension since the request began off its time and
// reports whether some is left.
func (c *call) noteSuspension(now time.Time) bool {
	if slept := c.e.suspended(now) - c.sleptBefore; slept > 0 {
		c.sleptBefore += slept
		c.deadline = c.deadline.Add(-slept)
		c.tracker.Shorten(slept)
		c.e.view.waitUntilSure(c.r.Context())
		now = time.Now()
	}
	return now.Before(c.deadline)
}

// doubt makes requests wait until the deployment is read anew.
func (v *view) doubt() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.unsure == nil {
		v.unsure = make(chan struct{})
	}
	v.unread = map[string]bool{platform.KindConfig: true, platform.KindUpstreams: true, platform.KindNodes: true}
	if v.refresh != nil {
		v.refresh()
	}
}

// readAnew notes that a kind was listed, which ends the doubt once all are.
func (v *view) readAnew(kind string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if delete(v.unread, kind); len(v.unread) == 0 {
		v.sureLocked()
	}
}

// sureLocked ends the doubt. The caller holds the view's lock.
func (v *view) sureLocked() {
	if v.unsure != nil {
		close(v.unsure)
		v.unsure = nil
	}
}

// waitUntilSure holds a request back while the deployment is read anew. Without
// the store and the other entries it goes on with what is known, as always.
func (v *view) waitUntilSure(ctx context.Context) {
	v.mu.Lock()
	unsure := v.unsure
	v.mu.Unlock()
	if unsure == nil {
		return
	}
	timer := time.NewTimer(startWait)
	defer timer.Stop()
	select {
	case <-unsure:
	case <-ctx.Done():
	case <-timer.C:
	}
}

// setRefresh sets how the deployment is read anew.
func (v *view) setRefresh(refresh func()) (previous func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	previous = v.refresh
	v.refresh = refresh
	return previous
}

// place chooses an upstream and counts the attempt. It returns nil and the reason
// if there is none.
func (c *call) place() (*fleet.Member, string) {
	now := time.Now()
	if !c.noteSuspension(now) {
		return nil, "time is over"
	}
	return c.pick(now), "no upstream left"
}
