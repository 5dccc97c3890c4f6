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

// markFenced notes an owner whose batches this entry has handed to a successor.
func (o *ownerRuntime) markFenced(lost core.Incarnation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fencedOwners[lost] = true
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
		for _, lost := range o.due(o.fencedOwners) {
			o.n.keeper.Forget(lost)
			o.mu.Lock()
			delete(o.fencedOwners, lost)
			o.mu.Unlock()
		}
		for _, lost := range o.due(o.removable) {
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

// due returns the incarnations that own no slot and whose process has ended.
func (o *ownerRuntime) due(candidates map[core.Incarnation]bool) []core.Incarnation {
	o.mu.Lock()
	defer o.mu.Unlock()
	owned := make(map[core.Incarnation]bool)
	for _, owner := range o.mgr.Slots().Slots {
		owned[owner.Incarnation] = true
	}
	var due []core.Incarnation
	for lost := range candidates {
		if !owned[lost] && o.mgr.ProcessGone(lost) {
			due = append(due, lost)
		}
	}
	return due
}
