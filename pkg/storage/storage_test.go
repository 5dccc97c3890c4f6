package storage

import (
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

// Guards against a disk that fills up with the temporary files of processes that were
// killed while they saved the deployment or the evidence of crashes.
func TestTemporaryFilesAreRemoved(t *testing.T) {
	dir := t.TempDir()
	kept := []string{"deployment", "suspects", ".deployment", ".deployment-by-hand"}
	for _, name := range append(kept, ".deployment1234567", ".suspects89") {
		if err := os.WriteFile(filepath.Join(dir, name), nil, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := New(&platform.Settings{Node: "n", IP: "127.0.0.1", DataDir: dir}, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	if len(entries) != len(kept) {
		t.Errorf("after the start the folder has %v, want %v", entries, kept)
	}
}
