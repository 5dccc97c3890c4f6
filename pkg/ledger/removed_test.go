package ledger

import (
	"strings"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/faultdisk"
)

// expectStatus fails if a store has another status than expected.
func expectStatus(t *testing.T, s *Store, when string, want peerv1.LedgerReply_Status) {
	t.Helper()
	if got := s.Status(); got != want {
		t.Errorf("status is %s %s, want %s", got, when, want)
	}
}

// Guards against a removed process that calls itself complete after a restart, because the
// mark of a complete log is still on its disk, and against one that never does again after
// it has caught up (issue 32).
func TestRemovedStaysIncomplete(t *testing.T) {
	for name, end := range map[string]func(*faultdisk.Disk){
		"killed":     (*faultdisk.Disk).Kill,
		"power loss": (*faultdisk.Disk).PowerLoss,
	} {
		t.Run(name, func(t *testing.T) {
			onDisks(t, diskSeeds, func(t *testing.T, d *faultdisk.Disk) {
				s, stop := startStore(t, d)
				mustComplete(t, s)
				mustWrite(t, s, turnRecord("a", ""))
				s.SetRemoved()
				stop()
				end(d)
				for range 2 { // a start without the registrations changes nothing
					s, stop = startStore(t, d)
					expectStatus(t, s, "after the removal", peerv1.LedgerReply_CATCHING_UP)
					stop()
					end(d)
				}
				s, stop = startStore(t, d)
				mustComplete(t, s)
				expectStatus(t, s, "once it has caught up", peerv1.LedgerReply_OK)
				stop()
				end(d)
				s, _ = startStore(t, d)
				expectTurns(t, s, "a")
			})
		})
	}
}

// Guards against a removed process that counts for reads because its disk fails when the
// removal is noted (issue 32).
func TestRemovedOnFailingDisk(t *testing.T) {
	for _, op := range []faultdisk.Op{faultdisk.OpCreate, faultdisk.OpWrite, faultdisk.OpSync, faultdisk.OpRename, faultdisk.OpSyncFolder} {
		t.Run(string(op), func(t *testing.T) {
			onDisks(t, diskSeeds, func(t *testing.T, d *faultdisk.Disk) {
				s, stop := startStore(t, d)
				mustComplete(t, s)
				mustWrite(t, s, turnRecord("a", ""))
				failNext(d, op, 1)
				s.SetRemoved()
				d.SetFault(nil)
				expectStatus(t, s, "after the removal", peerv1.LedgerReply_CATCHING_UP)
				mustComplete(t, s)
				expectStatus(t, s, "once it has caught up", peerv1.LedgerReply_OK)
				stop()
				d.PowerLoss()
				s, _ = startStore(t, d)
				expectTurns(t, s, "a")
			})
		})
	}
}

// Guards against a process whose disk fails when the note of a removal is taken back: it may
// catch up once more, but must not stay incomplete while it runs (issue 32).
func TestCaughtUpOnFailingDisk(t *testing.T) {
	for _, op := range []faultdisk.Op{faultdisk.OpRemove, faultdisk.OpSyncFolder} {
		t.Run(string(op), func(t *testing.T) {
			onDisks(t, diskSeeds, func(t *testing.T, d *faultdisk.Disk) {
				s, stop := startStore(t, d)
				mustComplete(t, s)
				s.SetRemoved()
				failNext(d, op, 1)
				mustComplete(t, s)
				d.SetFault(nil)
				expectStatus(t, s, "once it has caught up", peerv1.LedgerReply_OK)
				stop()
				d.PowerLoss()
				s, stop = startStore(t, d)
				mustComplete(t, s)
				stop()
				d.PowerLoss()
				s, _ = startStore(t, d)
				expectStatus(t, s, "after it has caught up twice", peerv1.LedgerReply_OK)
				if names, err := d.List(testFolder); err != nil || strings.Contains(strings.Join(names, " "), "removed") {
					t.Errorf("files %q are left, %v", names, err)
				}
			})
		})
	}
}
