package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/journal"
)

const (
	checkpointInterval = 5 * time.Minute
	// minCheckpointBytes and the size of the last checkpoint are the amount of
	// new records after which a checkpoint is due, so that checkpoints write at
	// most about as much as the journal itself. A checkpoint after every 64
	// appends took 18% to 24% of a core with 3,040 turns.
	minCheckpointBytes = 4 << 20
	// maxCheckpointObjects bounds the objects that a recovery reads.
	maxCheckpointObjects = 1024
	checkpointPoll       = time.Second
	checkpointTimeout    = time.Minute
	recordOverheadBytes  = 200
)

// journalSize counts what the core has appended.
type journalSize struct {
	appends atomic.Uint64
	bytes   atomic.Uint64 // before compression
}

func (j *journalSize) add(records []core.Record) {
	n := sizeOf(records)
	j.bytes.Add(uint64(n))
}

func sizeOf(records []core.Record) int {
	n := 0
	for i := range records {
		r := &records[i]
		n += recordOverheadBytes + len(r.Request) + len(r.State)
		if r.Answer != nil {
			n += len(r.Answer.Body)
		}
	}
	return n
}

// checkpointState is what the last checkpoint covered.
type checkpointState struct {
	at      time.Time
	appends uint64
	bytes   uint64
	size    uint64 // of the checkpoint itself
}

// due reports whether a checkpoint is worth its cost.
func (s *checkpointState) due(appends, bytes uint64, now time.Time) bool {
	switch {
	case appends == s.appends:
		return false
	case appends-s.appends >= maxCheckpointObjects, now.Sub(s.at) >= checkpointInterval:
		return true
	}
	return bytes-s.bytes >= max(minCheckpointBytes, s.size)
}

// checkpoints writes the state of all programs when the journal has grown or
// time has passed, so that a recovery reads a bounded log.
func (n *Entry) checkpoints(ctx context.Context) {
	t := time.NewTicker(checkpointPoll)
	defer t.Stop()
	last := checkpointState{at: time.Now()}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		appends, bytes := n.journaled.appends.Load(), n.journaled.bytes.Load()
		if !last.due(appends, bytes, time.Now()) {
			continue
		}
		size, err := n.checkpoint(ctx)
		if err != nil {
			n.log.Warn("checkpoint not written", "error", err)
		}
		// The checkpoint itself is an append, which is not worth another one.
		last = checkpointState{at: time.Now(), appends: n.journaled.appends.Load(), bytes: bytes, size: uint64(size)}
	}
}

// checkpoint fixes the place in the log and takes the snapshot in one step of
// the loop, so that no record lies between the two. It returns the size of the
// state before compression.
func (n *Entry) checkpoint(ctx context.Context) (size int, err error) {
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	var pending *journal.PendingCheckpoint
	var records []core.Record
	ok := n.loop.do(func(c *core.Core) {
		pending = n.journal.BeginCheckpoint()
		records = c.Snapshot(nil)
	})
	if !ok {
		return 0, context.Canceled
	}
	start := time.Now()
	if err := pending.Write(ctx, records); err != nil {
		return 0, err
	}
	n.metrics.checkpoints.Inc()
	n.log.Info("checkpoint written", "records", len(records), "duration", time.Since(start))
	return sizeOf(records), nil
}
