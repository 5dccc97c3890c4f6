package entry

import (
	"testing"
	"time"
)

// Guards against checkpoints that write more data than the journal itself, and
// against a log that grows without limit because no checkpoint becomes due.
func TestCheckpointDue(t *testing.T) {
	start := time.Unix(100, 0)
	last := checkpointState{writtenAt: start, appends: 10, bytes: 1 << 20, size: 20 << 20}
	for _, c := range []struct {
		name           string
		appends, bytes uint64
		after          time.Duration
		want           bool
	}{
		{"nothing appended", 10, 1 << 20, time.Hour, false},
		{"less than the last checkpoint", 74, 20 << 20, time.Minute, false},
		{"as much as the last checkpoint", 74, 21 << 20, time.Minute, true},
		{"many objects", 10 + maxCheckpointObjects, 2 << 20, time.Minute, true},
		{"time passed", 11, 1<<20 + 1, maxCheckpointInterval, true},
	} {
		if got := last.due(c.appends, c.bytes, start.Add(c.after)); got != c.want {
			t.Errorf("%s: due returned %t, want %t", c.name, got, c.want)
		}
	}
}
