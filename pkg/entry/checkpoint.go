package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/journal"
)

const (
	// maxCheckpointInterval is the longest time between two checkpoints while
	// the journal grows.
	maxCheckpointInterval = 5 * time.Minute
	// minCheckpointBytes is the minimum amount of new records between two
	// checkpoints. If the last checkpoint was larger, its size is the minimum, so
	// that checkpoints write at most about as much as the journal itself. A
	// checkpoint after every 64 appends used 18% to 24% of a CPU core with 3,040
	// turns.
	minCheckpointBytes = 4 << 20
	// maxCheckpointObjects limits the number of journal objects that a recovery
	// has to read.
	maxCheckpointObjects    = 1024
	checkpointCheckInterval = time.Second
	checkpointTimeout       = time.Minute
	// recordOverheadBytes estimates the size of a record without its payloads.
	recordOverheadBytes = 200
)

// journalCounters counts the commits of the journal and the size of the records
// that the core has appended.
type journalCounters struct {
	appends atomic.Uint64
	bytes   atomic.Uint64 // estimated, before compression
}

func (j *journalCounters) add(records []core.Record) {
	n := recordsSize(records)
	j.bytes.Add(uint64(n))
}

// recordsSize estimates the size of records in bytes before compression.
func recordsSize(records []core.Record) int {
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

// checkpointState holds the journal counters at the last checkpoint.
type checkpointState struct {
	writtenAt time.Time
	appends   uint64
	bytes     uint64
	size      uint64 // estimated size of the checkpoint
}

// due reports whether enough has been appended, or enough time has passed, for
// another checkpoint.
func (s *checkpointState) due(appends, bytes uint64, now time.Time) bool {
	switch {
	case appends == s.appends:
		return false
	case appends-s.appends >= maxCheckpointObjects, now.Sub(s.writtenAt) >= maxCheckpointInterval:
		return true
	}
	return bytes-s.bytes >= max(minCheckpointBytes, s.size)
}

// runCheckpoints writes a checkpoint of all programs whenever one is due. This
// limits the part of the log that a recovery has to read.
func (n *Entry) runCheckpoints(ctx context.Context) {
	last := checkpointState{writtenAt: time.Now()}
	runEvery(ctx, checkpointCheckInterval, func() {
		appends, bytes := n.journalStats.appends.Load(), n.journalStats.bytes.Load()
		if !last.due(appends, bytes, time.Now()) {
			return
		}
		size, err := n.writeCheckpoint(ctx)
		if err != nil {
			n.log.Warn("checkpoint not written", "error", err)
		}
		// Count the append of the checkpoint itself as covered. Otherwise an idle
		// journal would be checkpointed again and again.
		last = checkpointState{writtenAt: time.Now(), appends: n.journalStats.appends.Load(), bytes: bytes, size: uint64(size)}
	})
}

// writeCheckpoint writes the state of all programs to the journal. The log
// position and the snapshot are taken in one step of the loop, so that no record
// falls between them. It returns the estimated size before compression.
func (n *Entry) writeCheckpoint(ctx context.Context) (size int, err error) {
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	var pending *journal.PendingCheckpoint
	var records []core.Record
	ok := n.loop.withCore(func(c *core.Core) {
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
	return recordsSize(records), nil
}
