package ledger

import (
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

func open(t *testing.T, dir string) (*Log, []*peerv1.LedgerRecord) {
	t.Helper()
	var recs []*peerv1.LedgerRecord
	l, err := OpenLog(dir, slog.New(slog.DiscardHandler), began, func(r *peerv1.LedgerRecord) { recs = append(recs, r) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l, recs
}

func last(t *testing.T, dir string) string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, segmentPattern))
	if err != nil || len(paths) == 0 {
		t.Fatal("no files", err)
	}
	return paths[len(paths)-1]
}

// Guards against the loss of synced records behind a torn end of a file, and
// against records appended behind such an end.
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
			l, _ := open(t, dir)
			if err := l.Append([]*peerv1.LedgerRecord{usage(1, 5, false), turnRecord("a", "")}, began); err != nil {
				t.Fatal(err)
			}
			path := last(t, dir)
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, damage(data), 0o644); err != nil {
				t.Fatal(err)
			}
			l, recs := open(t, dir)
			if len(recs) != 2 {
				t.Fatalf("%d records after the damage, want 2", len(recs))
			}
			if err := l.Append([]*peerv1.LedgerRecord{usage(2, 5, false)}, began); err != nil {
				t.Fatal(err)
			}
			if _, recs = open(t, dir); len(recs) != 3 {
				t.Errorf("%d records after another start, want 3", len(recs))
			}
		})
	}
}

// Guards against files that are never removed.
func TestLogTrim(t *testing.T) {
	dir := t.TempDir()
	l, _ := open(t, dir)
	if err := l.Append([]*peerv1.LedgerRecord{usage(1, 5, false)}, began); err != nil {
		t.Fatal(err)
	}
	l, _ = open(t, dir)
	l.Trim(began)
	if _, recs := open(t, dir); len(recs) != 1 {
		t.Error("a young file was removed")
	}
	l.Trim(began.Add(1))
	if _, recs := open(t, dir); len(recs) != 0 {
		t.Error("an old file was kept")
	}
}
