package durable_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/durable"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/faultdisk"
)

// Guards against a process that does not start because it may not write to the parent of
// its data folder, and against folders that a power loss removes.
func TestMakeFolders(t *testing.T) {
	d := faultdisk.New(1)
	if err := durable.MakeFolders(d, "/a/b"); err != nil {
		t.Fatal(err)
	}
	d.PowerLoss()
	if _, err := d.List("/a/b"); err != nil {
		t.Errorf("after a power loss: %v", err)
	}
	d.SetFault(func(op faultdisk.Op, _ string) error {
		if op == faultdisk.OpMakeFolder || op == faultdisk.OpSyncFolder {
			return os.ErrPermission
		}
		return nil
	})
	if err := durable.MakeFolders(d, "/a/b"); err != nil {
		t.Errorf("a folder that exists: %v", err)
	}
}

// Guards against a simulated disk whose results differ from those of the machine, on
// which the log runs.
func TestMachineFiles(t *testing.T) {
	var fs durable.FS = durable.OS{}
	dir := filepath.Join(t.TempDir(), "a", "b")
	if err := durable.MakeFolders(fs, dir); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "f")
	f, err := fs.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for _, step := range []func() error{
		func() error { _, err := f.Write([]byte("abcdef")); return err },
		func() error { return f.Truncate(2) },
		func() error { _, err := f.Write([]byte("g")); return err },
		f.Sync,
		func() error { return fs.SyncFolder(dir) },
	} {
		if err := step(); err != nil {
			t.Fatal(err)
		}
	}
	opened, err := fs.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer opened.Close()
	if err := opened.Sync(); err != nil {
		t.Errorf("sync of an opened file: %v", err)
	}
	data := make([]byte, 10)
	if n, err := opened.Read(data); err != nil || string(data[:n]) != "abg" {
		t.Errorf("read %q, %v, want abg", data[:n], err)
	}
	if _, err := fs.Open(filepath.Join(dir, "none")); !os.IsNotExist(err) {
		t.Errorf("open of a missing file: %v", err)
	}
}
