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
	every(ctx, removalInterval, func() {
		for _, lost := range o.due(o.fencedOwners) {
			o.n.keeper.Forget(lost)
			o.drop(o.fencedOwners, lost)
		}
		for _, lost := range o.due(o.removable) {
			if err := o.removeLog(ctx, lost); err != nil {
				o.n.log.Warn("journal of lost owner not removed", "lost", lost, "error", err)
				continue
			}
			o.n.log.Info("journal of lost owner removed", "lost", lost)
			o.drop(o.removable, lost)
		}
	})
}

func (o *ownerRuntime) removeLog(ctx context.Context, lost core.Incarnation) error {
	ctx, cancel := context.WithTimeout(ctx, actionTimeout)
	defer cancel()
	return journal.Remove(ctx, o.n.cfg.Store, lost)
}

func (o *ownerRuntime) drop(from map[core.Incarnation]bool, lost core.Incarnation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(from, lost)
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
		if !owned[lost] && o.mgr.ProcessEnded(lost) {
			due = append(due, lost)
		}
	}
	return due
}
