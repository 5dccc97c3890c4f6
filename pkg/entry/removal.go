package entry

import (
	"context"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/journal"
)

// removalInterval is the pause between looks for logs that can be deleted.
const removalInterval = 10 * time.Second

// markRemovable notes that the log of a succeeded incarnation is no longer read.
func (o *ownerRuntime) markRemovable(lost core.Incarnation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.removable[lost] = true
}

// removeLogs deletes the logs of succeeded incarnations. It waits until their
// process is known to be gone: an append that such a process repeats would
// succeed if the object it wrote before had been deleted.
func (o *ownerRuntime) removeLogs(ctx context.Context) {
	t := time.NewTicker(removalInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, lost := range o.dueRemovals() {
			removeCtx, cancel := context.WithTimeout(ctx, actionTimeout)
			err := journal.Remove(removeCtx, o.n.cfg.Store, lost)
			cancel()
			if err != nil {
				o.n.log.Warn("journal of lost owner not removed", "lost", lost, "error", err)
				continue
			}
			o.n.log.Info("journal of lost owner removed", "lost", lost)
			o.mu.Lock()
			delete(o.removable, lost)
			o.mu.Unlock()
		}
	}
}

func (o *ownerRuntime) dueRemovals() []core.Incarnation {
	o.mu.Lock()
	defer o.mu.Unlock()
	owned := make(map[core.Incarnation]bool)
	for _, owner := range o.mgr.Slots().Slots {
		owned[owner.Incarnation] = true
	}
	var due []core.Incarnation
	for lost := range o.removable {
		if !owned[lost] && o.mgr.ProcessGone(lost) {
			due = append(due, lost)
		}
	}
	return due
}
