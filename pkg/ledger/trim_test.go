package ledger

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/durable"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/faultdisk"
)

// Guards against files that are removed ten minutes after they were closed while their
// records are still needed: the first turns of a long conversation, the budget that a
// long program has used, and the mark of a complete log.
func TestTrimKeepsHeldRecords(t *testing.T) {
	onDisks(t, 2, func(t *testing.T, d *faultdisk.Disk) {
		s, stop := startStore(t, d)
		mustComplete(t, s)
		mustWrite(t, s, turnRecord("turn 0", ""), usage(1, 50, true))
		stop()
		const minutes = 40
		for i := 1; i <= minutes; i++ {
			if i == 1 || i == 3 {
				s, stop = startStore(t, d)
			}
			mustWrite(t, s, turnRecord(fmt.Sprint("turn ", i), fmt.Sprint("turn ", i-1)), usage(uint64(i+1), 0, false))
			time.Sleep(time.Minute)
			if i == 2 {
				stop()
			}
		}
		stop()
		syncNames(t, d)
		d.PowerLoss()
		s, _ = startStore(t, d)
		expectTurns(t, s, "turn 0")
		if n := len(s.Chain(fmt.Sprint("turn ", minutes))); n != minutes+1 {
			t.Errorf("the chain has %d turns after the restart, want %d", n, minutes+1)
		}
		if used := SpentTokens(MergeUsage(s.Usage("p", 0))); used != 50 {
			t.Errorf("the program has used %d tokens after the restart, want 50", used)
		}
		names, err := d.List(testFolder)
		if err != nil || len(names) > 3 {
			t.Errorf("%d files are left, %v", len(names), err)
		}
	})
}

// Guards against a full disk that stays full: the records of one file can not be written
// again, but files with expired records only must go.
func TestTrimOnFullDisk(t *testing.T) {
	onDisks(t, 1, func(t *testing.T, d *faultdisk.Disk) {
		s, stop := startStore(t, d)
		mustComplete(t, s)
		stop()
		s, stop = startStore(t, d)
		large := turnRecord("large", "")
		large.GetTurn().Input = make([]byte, carryBytes)
		mustWrite(t, s, large)
		stop()
		s, stop = startStore(t, d)
		d.SetCapacity(d.Used())
		if s.Write(t.Context(), []*peerv1.LedgerRecord{turnRecord("a", "")}) == nil {
			t.Error("a write to a full disk was acknowledged")
		}
		time.Sleep(fileRetention + 3*trimInterval)
		mustWrite(t, s, turnRecord("b", ""))
		stop()
		d.PowerLoss()
		s, _ = startStore(t, d)
		expectTurns(t, s, "b")
	})
}

// BenchmarkAppend measures one synced batch on the machine's disk, with the start of a
// new file each 16 MB, and the start of a new log.
func BenchmarkAppend(b *testing.B) {
	discard := func(int, *peerv1.LedgerRecord) {}
	rec := turnRecord("a", "")
	rec.GetTurn().Output = make([]byte, 8<<10)
	recs := []*peerv1.LedgerRecord{rec, rec, rec, rec}
	b.Run("batch", func(b *testing.B) {
		l, err := OpenLog(durable.OS{}, b.TempDir(), slog.New(slog.DiscardHandler), startTime, discard)
		if err != nil {
			b.Fatal(err)
		}
		defer l.Close()
		for b.Loop() {
			if err := l.Append(recs, startTime); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("new file", func(b *testing.B) {
		dir := b.TempDir()
		for b.Loop() {
			l, err := OpenLog(durable.OS{}, dir, slog.New(slog.DiscardHandler), startTime, discard)
			if err != nil {
				b.Fatal(err)
			}
			if err := l.Append(recs[:1], startTime); err != nil {
				b.Fatal(err)
			}
			l.Trim(startTime.Add(time.Second), removeAll)
			_ = l.Close()
		}
	})
}
