package entry

import (
	"context"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/journal"
)

const (
	checkpointInterval = 5 * time.Minute
	checkpointObjects  = 64 // appends after which a checkpoint is due
	checkpointPoll     = time.Second
	checkpointTimeout  = time.Minute
)

// checkpoints writes the state of all programs when the journal has grown or
// time has passed, so that a recovery reads a bounded log.
func (n *Entry) checkpoints(ctx context.Context) {
	t := time.NewTicker(checkpointPoll)
	defer t.Stop()
	last := time.Now()
	var covered uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		appends := n.commits.Load()
		if appends == covered {
			last = time.Now() // nothing was written since
			continue
		}
		if appends-covered < checkpointObjects && time.Since(last) < checkpointInterval {
			continue
		}
		if err := n.checkpoint(ctx); err != nil {
			n.log.Warn("checkpoint not written", "error", err)
		}
		last = time.Now()
		covered = n.commits.Load()
	}
}

// checkpoint fixes the place in the log and takes the snapshot in one step of
// the loop, so that no record lies between the two.
func (n *Entry) checkpoint(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	var pending *journal.PendingCheckpoint
	var records []core.Record
	ok := n.loop.do(func(c *core.Core) {
		pending = n.journal.BeginCheckpoint()
		records = c.Snapshot(nil)
	})
	if !ok {
		return context.Canceled
	}
	start := time.Now()
	if err := pending.Write(ctx, records); err != nil {
		return err
	}
	n.metrics.checkpoints.Inc()
	n.log.Info("checkpoint written", "records", len(records), "duration", time.Since(start))
	return nil
}
