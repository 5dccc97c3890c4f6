package entry

import (
	"context"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/journal"
)

// logRemovalInterval is the time between two searches for logs that can be deleted.
const logRemovalInterval = 10 * time.Second

// markRemovable records that the log of an incarnation is no longer needed because
// its slots have been taken over.
func (o *ownershipRuntime) markRemovable(lost core.Incarnation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.removableLogs[lost] = true
}

// markFenced records an owner whose retained batches this entry has returned to the
// entry that takes over its slots.
func (o *ownershipRuntime) markFenced(lost core.Incarnation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fencedOwners[lost] = true
}

// removeLogs deletes the logs and the retained batches of incarnations whose slots
// have been taken over. It waits until their process is known to have ended: such a
// process may repeat an append, which would succeed by mistake if the object had
// been deleted in the meantime.
func (o *ownershipRuntime) removeLogs(ctx context.Context) {
	runEvery(ctx, logRemovalInterval, func() {
		for _, lost := range o.ended(o.fencedOwners) {
			o.n.keeper.Forget(lost)
			o.unmark(o.fencedOwners, lost)
		}
		for _, lost := range o.ended(o.removableLogs) {
			if err := o.removeLog(ctx, lost); err != nil {
				o.n.log.Warn("failed to remove journal of lost owner", "lost", lost, "error", err)
				continue
			}
			o.n.log.Info("journal of lost owner removed", "lost", lost)
			o.unmark(o.removableLogs, lost)
		}
	})
}

func (o *ownershipRuntime) removeLog(ctx context.Context, lost core.Incarnation) error {
	ctx, cancel := context.WithTimeout(ctx, ownershipActionTimeout)
	defer cancel()
	return journal.Remove(ctx, o.n.cfg.Store, lost)
}

// unmark removes an incarnation from removableLogs or fencedOwners.
func (o *ownershipRuntime) unmark(from map[core.Incarnation]bool, lost core.Incarnation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(from, lost)
}

// ended returns the candidates that own no slot and whose process has ended.
func (o *ownershipRuntime) ended(candidates map[core.Incarnation]bool) []core.Incarnation {
	o.mu.Lock()
	defer o.mu.Unlock()
	owned := make(map[core.Incarnation]bool)
	for _, owner := range o.manager.Slots().Slots {
		owned[owner.Incarnation] = true
	}
	var ended []core.Incarnation
	for lost := range candidates {
		if !owned[lost] && o.manager.ProcessEnded(lost) {
			ended = append(ended, lost)
		}
	}
	return ended
}
