package ledger

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/faultdisk"
)

const (
	testFolder = "/data/ledger"
	diskSeeds  = 40 // disks on which a test is played
)

// onDisks runs a test in virtual time on several simulated disks, which make different
// choices at a power loss.
func onDisks(t *testing.T, seeds uint64, f func(t *testing.T, d *faultdisk.Disk)) {
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { f(t, faultdisk.New(seed)) })
		})
	}
}

// startStore starts a store on a disk. It runs until stop is called or the test ends.
func startStore(t *testing.T, d *faultdisk.Disk) (s *Store, stop func()) {
	t.Helper()
	s, err := OpenStoreOn(d, testFolder, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	s.SetSuspensionClock(func(time.Time) time.Duration { return 0 })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Run(ctx)
	}()
	stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return s, stop
}

func mustWrite(t *testing.T, s *Store, recs ...*peerv1.LedgerRecord) {
	t.Helper()
	if err := s.Write(t.Context(), recs); err != nil {
		t.Fatalf("write: %v", err)
	}
}

func mustComplete(t *testing.T, s *Store) {
	t.Helper()
	if err := s.MarkComplete(t.Context()); err != nil {
		t.Fatalf("mark as complete: %v", err)
	}
}

// syncNames syncs the names of all files, so that a test shows no other fault than its
// own.
func syncNames(t *testing.T, d *faultdisk.Disk) {
	t.Helper()
	for _, folder := range []string{"/", "/data", testFolder} {
		if err := d.SyncFolder(folder); err != nil {
			t.Fatal(err)
		}
	}
}

// failNext lets the next operations of a kind fail.
func failNext(d *faultdisk.Disk, op faultdisk.Op, times int) {
	d.SetFault(func(o faultdisk.Op, _ string) error {
		if o != op || times == 0 {
			return nil
		}
		times--
		return faultdisk.ErrIO
	})
}

// expectTurns fails if a store that calls itself complete lacks turns.
func expectTurns(t *testing.T, s *Store, ids ...string) {
	t.Helper()
	if status := s.Status(); status != peerv1.LedgerReply_OK {
		t.Errorf("status is %s after the restart, want OK", status)
	}
	for _, id := range ids {
		if len(s.Chain(id)) == 0 {
			t.Errorf("acknowledged turn %q is missing", id)
		}
	}
}

// Guards against acknowledged records that a power loss removes with the data folder,
// which the process has created but whose name was not synced.
func TestPowerLossKeepsNewFolder(t *testing.T) {
	onDisks(t, diskSeeds, func(t *testing.T, d *faultdisk.Disk) {
		s, stop := startStore(t, d)
		mustComplete(t, s)
		mustWrite(t, s, turnRecord("a", ""))
		stop()
		d.PowerLoss()
		s, _ = startStore(t, d)
		expectTurns(t, s, "a")
	})
}

// Guards against acknowledged records that a power loss removes with the file of a later
// start, whose name was not synced, while an older file says that the log is complete.
func TestPowerLossKeepsNewFiles(t *testing.T) {
	onDisks(t, diskSeeds, func(t *testing.T, d *faultdisk.Disk) {
		s, stop := startStore(t, d)
		mustComplete(t, s)
		mustWrite(t, s, turnRecord("a", ""))
		syncNames(t, d)
		stop()
		s, stop = startStore(t, d)
		mustWrite(t, s, turnRecord("b", "a"))
		stop()
		d.PowerLoss()
		s, _ = startStore(t, d)
		expectTurns(t, s, "a", "b")
	})
}

// Guards against the same fault where a file is full and the next one begins.
func TestPowerLossKeepsRotatedFiles(t *testing.T) {
	onDisks(t, 8, func(t *testing.T, d *faultdisk.Disk) {
		s, stop := startStore(t, d)
		mustComplete(t, s)
		syncNames(t, d)
		large := turnRecord("a", "")
		large.GetTurn().Input = make([]byte, segmentBytes)
		mustWrite(t, s, large)
		mustWrite(t, s, turnRecord("b", "a"))
		stop()
		d.PowerLoss()
		s, _ = startStore(t, d)
		expectTurns(t, s, "a", "b")
	})
}

// Guards against records that are acknowledged behind the torn end of a failed write,
// where no start reads them.
func TestRecordsAfterFailedWrite(t *testing.T) {
	onDisks(t, diskSeeds, func(t *testing.T, d *faultdisk.Disk) {
		s, stop := startStore(t, d)
		mustComplete(t, s)
		failNext(d, faultdisk.OpWrite, 1)
		if s.Write(t.Context(), []*peerv1.LedgerRecord{turnRecord("a", "")}) == nil {
			t.Error("a failed write was acknowledged")
		}
		mustWrite(t, s, turnRecord("b", ""))
		stop()
		d.Kill()
		s, _ = startStore(t, d)
		expectTurns(t, s, "b")
	})
}

// Guards against records that are acknowledged behind data that a failed sync has
// dropped: the next sync of the file succeeds, and after a power loss reading ends at
// the gap.
func TestRecordsAfterFailedSync(t *testing.T) {
	onDisks(t, diskSeeds, func(t *testing.T, d *faultdisk.Disk) {
		s, stop := startStore(t, d)
		mustComplete(t, s)
		syncNames(t, d)
		failNext(d, faultdisk.OpSync, 1)
		if s.Write(t.Context(), []*peerv1.LedgerRecord{turnRecord("a", "")}) == nil {
			t.Error("a failed sync was acknowledged")
		}
		mustWrite(t, s, turnRecord("b", ""))
		stop()
		d.PowerLoss()
		s, _ = startStore(t, d)
		expectTurns(t, s, "b")
	})
}

// holdSync makes syncs wait until release is called, and then return err.
func holdSync(d *faultdisk.Disk) (release func(err error)) {
	result := make(chan error)
	d.SetFault(func(op faultdisk.Op, _ string) error {
		if op != faultdisk.OpSync {
			return nil
		}
		return <-result
	})
	return func(err error) { result <- err }
}

// Guards against readers that trust a record which is not on disk: an edge that fetches
// the turn, and a process that retires, hands nothing over because Compare misses
// nothing, and ends. The record must not stay if its write fails either.
func TestUnsyncedRecordsAreNotRead(t *testing.T) {
	onDisks(t, 1, func(t *testing.T, d *faultdisk.Disk) {
		s, _ := startStore(t, d)
		mustComplete(t, s)
		server := Server{Store: s}
		rec := turnRecord("a", "")
		release := holdSync(d)
		written := make(chan error, 1)
		go func() { written <- s.Write(t.Context(), []*peerv1.LedgerRecord{rec, usage(1, 50, false)}) }()
		check := func(when string) {
			t.Helper()
			synctest.Wait()
			if len(s.Chain("a")) > 0 {
				t.Errorf("%s: the turn is fetched", when)
			}
			if missing := server.missing([]uint64{Digest(rec), Digest(usage(1, 50, false))}); len(missing) != 2 {
				t.Errorf("%s: Compare misses %d records, want 2", when, len(missing))
			}
			if n := len(s.Records(peerv1.Pull_ALL)); n != 0 {
				t.Errorf("%s: Pull returns %d records, want 0", when, n)
			}
		}
		check("before the sync")
		if len(s.Usage("p", 0)) != 1 {
			t.Error("a concurrent reservation does not see the one that waits for the disk")
		}
		release(faultdisk.ErrIO)
		if err := <-written; err == nil {
			t.Error("a failed sync was acknowledged")
		}
		check("after the failed sync")
		if len(s.Usage("p", 0)) != 0 {
			t.Error("a reservation whose write failed still counts")
		}
		d.SetFault(nil)
		mustWrite(t, s, rec)
		if len(s.Chain("a")) != 1 {
			t.Error("the turn is not fetched after its sync")
		}
	})
}

// Guards against a process that catches up and misses a record for good, since the member
// that it copies from had received the record but not synced it.
func TestPullWaitsForUnsyncedRecords(t *testing.T) {
	onDisks(t, 1, func(t *testing.T, d *faultdisk.Disk) {
		s, _ := startStore(t, d)
		mustComplete(t, s)
		release := holdSync(d)
		go func() { _ = s.Write(t.Context(), []*peerv1.LedgerRecord{turnRecord("a", "")}) }()
		synctest.Wait()
		flushed := make(chan error, 1)
		go func() { flushed <- s.Flush(t.Context()) }()
		synctest.Wait()
		if len(flushed) > 0 {
			t.Error("Flush did not wait for the disk")
		}
		release(nil)
		if err := <-flushed; err != nil || len(s.Chain("a")) != 1 {
			t.Errorf("after Flush the turn is not read, %v", err)
		}
		d.SetFault(nil)
	})
}

// Guards against records that a process reads at its start from a write that its
// predecessor did not sync, hands to readers, and loses at the next power loss.
func TestRecordsReadAtStartAreOnDisk(t *testing.T) {
	onDisks(t, diskSeeds, func(t *testing.T, d *faultdisk.Disk) {
		s, stop := startStore(t, d)
		mustComplete(t, s)
		syncNames(t, d)
		release := holdSync(d)
		go func() { _ = s.Write(context.Background(), []*peerv1.LedgerRecord{turnRecord("a", "")}) }()
		synctest.Wait()
		d.Kill()
		release(nil)
		d.SetFault(nil)
		stop()
		s, stop = startStore(t, d)
		if len(s.Chain("a")) == 0 {
			t.Fatal("the unsynced turn is not read; the test needs another fault")
		}
		stop()
		d.PowerLoss()
		s, _ = startStore(t, d)
		expectTurns(t, s, "a")
	})
}

// Guards against a log that calls itself complete although a file could not be read: an
// error of the disk is not the torn end that a power loss leaves.
func TestReadErrorIsNoTornEnd(t *testing.T) {
	onDisks(t, 1, func(t *testing.T, d *faultdisk.Disk) {
		s, stop := startStore(t, d)
		mustComplete(t, s)
		stop()
		s, stop = startStore(t, d)
		mustWrite(t, s, turnRecord("a", ""))
		stop()
		names, err := d.List(testFolder)
		if err != nil || len(names) == 0 {
			t.Fatal("no files", err)
		}
		last := names[len(names)-1]
		breakFile := func() {
			d.SetFault(func(op faultdisk.Op, path string) error {
				if op == faultdisk.OpRead && strings.HasSuffix(path, last) {
					return faultdisk.ErrIO
				}
				return nil
			})
		}
		breakFile()
		s, stop = startStore(t, d)
		if status := s.Status(); status != peerv1.LedgerReply_CATCHING_UP {
			t.Errorf("status with an unreadable file is %s, want CATCHING_UP", status)
		}
		mustWrite(t, s, turnRecord("b", ""))
		time.Sleep(2 * fileRetention)
		stop()
		d.SetFault(nil)
		s, stop = startStore(t, d)
		expectTurns(t, s, "a")
		stop()
		breakFile()
		// The process has copied the records from the other members.
		s, stop = startStore(t, d)
		mustWrite(t, s, turnRecord("a", ""))
		mustComplete(t, s)
		stop()
		s, _ = startStore(t, d)
		expectTurns(t, s, "a")
	})
}

// Guards against a process that counts as complete although the mark of that is not on
// disk.
func TestFailedMarkComplete(t *testing.T) {
	onDisks(t, 1, func(t *testing.T, d *faultdisk.Disk) {
		s, _ := startStore(t, d)
		failNext(d, faultdisk.OpSync, 1)
		if s.MarkComplete(t.Context()) == nil {
			t.Error("a failed sync was acknowledged")
		}
		if status := s.Status(); status != peerv1.LedgerReply_CATCHING_UP {
			t.Errorf("status is %s, want CATCHING_UP", status)
		}
		mustComplete(t, s)
		expectTurns(t, s)
	})
}

// Guards against a process with a full disk that acknowledges records, stops serving
// reads, leaves more and more files, or needs a restart once there is room.
func TestFullDisk(t *testing.T) {
	onDisks(t, 4, func(t *testing.T, d *faultdisk.Disk) {
		s, stop := startStore(t, d)
		mustComplete(t, s)
		mustWrite(t, s, turnRecord("a", ""))
		d.SetCapacity(d.Used() + 20)
		server := Server{Store: s}
		for i := range 50 {
			id := fmt.Sprint("full ", i)
			reply := server.handleAll(t.Context(), []*peerv1.LedgerRequest{
				{Op: &peerv1.LedgerRequest_Write{Write: &peerv1.Write{Records: []*peerv1.LedgerRecord{turnRecord(id, "a")}}}},
				{Op: &peerv1.LedgerRequest_Fetch{Fetch: &peerv1.FetchChain{Turn: "a"}}},
			})
			if reply[0].GetStatus() != peerv1.LedgerReply_FAILED {
				t.Fatalf("a write to a full disk is answered with %s", reply[0].GetStatus())
			}
			if reply[1].GetStatus() != peerv1.LedgerReply_OK || len(reply[1].GetTurns()) != 1 {
				t.Fatalf("a read beside a full disk is answered with %s", reply[1].GetStatus())
			}
		}
		if names, err := d.List(testFolder); err != nil || len(names) > 2 {
			t.Errorf("%d files are left, %v", len(names), err)
		}
		d.SetCapacity(0)
		mustWrite(t, s, turnRecord("b", "a"))
		stop()
		syncNames(t, d)
		d.PowerLoss()
		s, _ = startStore(t, d)
		expectTurns(t, s, "a", "b")
	})
}

// Guards against more than one sync for a batch of writes, which each turn waits for: a
// new file costs one more, for its name.
func TestOneSyncPerBatch(t *testing.T) {
	onDisks(t, 1, func(t *testing.T, d *faultdisk.Disk) {
		s, _ := startStore(t, d)
		mustComplete(t, s)
		files, folders := d.Count(faultdisk.OpSync), d.Count(faultdisk.OpSyncFolder)
		const batches = 20
		for i := range batches {
			mustWrite(t, s, turnRecord(fmt.Sprint(i), ""), usage(uint64(i), 5, false))
		}
		if n := d.Count(faultdisk.OpSync) - files; n != batches {
			t.Errorf("%d batches were synced %d times", batches, n)
		}
		if n := d.Count(faultdisk.OpSyncFolder) - folders; n != 0 {
			t.Errorf("the folder was synced %d times without a new file", n)
		}
	})
}
