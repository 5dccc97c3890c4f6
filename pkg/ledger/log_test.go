package ledger

import (
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/durable"
)

// openLog opens the log in a folder and returns the records in it.
func openLog(t *testing.T, dir string) (*Log, []*peerv1.LedgerRecord) {
	t.Helper()
	var recs []*peerv1.LedgerRecord
	l, err := OpenLog(durable.OS{}, dir, slog.New(slog.DiscardHandler), startTime, func(_ int, r *peerv1.LedgerRecord) { recs = append(recs, r) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l, recs
}

// lastSegment returns the path of the newest file of a log.
func lastSegment(t *testing.T, dir string) string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, segmentPattern))
	if err != nil || len(paths) == 0 {
		t.Fatal("no files", err)
	}
	return paths[len(paths)-1]
}

// Guards against losing synced records if the end of a file is damaged, and
// against appending records after the damage, where they would not be read.
func TestLogSurvivesDamage(t *testing.T) {
	for name, damage := range map[string]func([]byte) []byte{
		"none":       func(b []byte) []byte { return b },
		"torn":       func(b []byte) []byte { return append(b, 200, 0, 0, 0, 1, 2, 3, 4, 5) },
		"zeros":      func(b []byte) []byte { return append(b, make([]byte, 64)...) },
		"wrong sum":  func(b []byte) []byte { return append(b, 2, 0, 0, 0, 9, 9, 9, 9, 1, 1) },
		"large size": func(b []byte) []byte { return append(b, 255, 255, 255, 255, 0, 0, 0, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			l, _ := openLog(t, dir)
			if err := l.Append([]*peerv1.LedgerRecord{usage(1, 5, false), turnRecord("a", "")}, startTime); err != nil {
				t.Fatal(err)
			}
			path := lastSegment(t, dir)
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, damage(data), 0o644); err != nil {
				t.Fatal(err)
			}
			l, recs := openLog(t, dir)
			if len(recs) != 2 {
				t.Fatalf("got %d records after the damage, want 2", len(recs))
			}
			if err := l.Append([]*peerv1.LedgerRecord{usage(2, 5, false)}, startTime); err != nil {
				t.Fatal(err)
			}
			if _, recs = openLog(t, dir); len(recs) != 3 {
				t.Errorf("got %d records after another start, want 3", len(recs))
			}
		})
	}
}

// removeAll lets Trim remove files without a look at their records.
func removeAll(int) bool { return true }

// Guards against files that are never removed.
func TestLogTrim(t *testing.T) {
	dir := t.TempDir()
	l, _ := openLog(t, dir)
	if err := l.Append([]*peerv1.LedgerRecord{usage(1, 5, false)}, startTime); err != nil {
		t.Fatal(err)
	}
	l, _ = openLog(t, dir)
	l.Trim(startTime, removeAll)
	if _, recs := openLog(t, dir); len(recs) != 1 {
		t.Error("a file within its retention time was removed")
	}
	l.Trim(startTime.Add(1), removeAll)
	if _, recs := openLog(t, dir); len(recs) != 0 {
		t.Error("an expired file was not removed")
	}
}
