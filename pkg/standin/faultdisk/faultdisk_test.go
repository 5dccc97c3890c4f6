package faultdisk

import (
	"io"
	"testing"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/durable"
)

// seeds is the number of disks on which a test plays a power loss.
const seeds = 200

func create(t *testing.T, d *Disk, path string, data ...string) durable.File {
	t.Helper()
	f, err := d.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range data {
		if _, err := f.Write([]byte(s)); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

func syncFile(t *testing.T, f durable.File) {
	t.Helper()
	if err := f.Sync(); err != nil {
		t.Fatal(err)
	}
}

// content returns the content of a file, or "none" if it does not exist.
func content(t *testing.T, d *Disk, path string) string {
	t.Helper()
	f, err := d.Open(path)
	if err != nil {
		return "none"
	}
	data, err := io.ReadAll(f)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// outcomes plays a power loss on many disks and counts the contents of a file.
func outcomes(t *testing.T, path string, prepare func(d *Disk)) map[string]int {
	t.Helper()
	got := make(map[string]int)
	for seed := range uint64(seeds) {
		d := New(seed)
		prepare(d)
		d.PowerLoss()
		got[content(t, d, path)]++
	}
	return got
}

// Guards against a simulated disk that keeps too much, which would hide faults, or too
// little, which would show faults that no disk has.
func TestPowerLoss(t *testing.T) {
	for _, c := range []struct {
		name            string
		prepare         func(d *Disk)
		must, mayNotBe  []string
		onlyOneRemained bool
	}{
		{name: "all synced", prepare: func(d *Disk) {
			syncFile(t, create(t, d, "/f", "ab"))
			_ = d.SyncFolder("/")
		}, must: []string{"ab"}, onlyOneRemained: true},
		{name: "folder not synced", prepare: func(d *Disk) {
			syncFile(t, create(t, d, "/f", "ab"))
		}, must: []string{"ab", "none"}},
		{name: "later writes", prepare: func(d *Disk) {
			f := create(t, d, "/f", "ab")
			syncFile(t, f)
			_ = d.SyncFolder("/")
			_, _ = f.Write([]byte("cd"))
			_, _ = f.Write([]byte("ef"))
		}, must: []string{"ab", "abcd", "abc", "abcdef", "ab\x00\x00ef"}, mayNotBe: []string{"none", "a"}},
		{name: "after a failed sync", prepare: func(d *Disk) {
			f := create(t, d, "/f", "ab")
			_ = d.SyncFolder("/")
			d.SetFault(func(op Op, _ string) error {
				if op == OpSync {
					return ErrIO
				}
				return nil
			})
			if f.Sync() == nil {
				t.Error("a sync did not fail")
			}
			d.SetFault(nil)
			_, _ = f.Write([]byte("cd"))
			syncFile(t, f)
			if got := content(t, d, "/f"); got != "abcd" {
				t.Errorf("before the power loss the file has %q", got)
			}
		}, must: []string{"abcd", "\x00\x00cd"}, mayNotBe: []string{"none"}},
		{name: "removed", prepare: func(d *Disk) {
			syncFile(t, create(t, d, "/f", "ab"))
			_ = d.SyncFolder("/")
			_ = d.Remove("/f")
		}, must: []string{"ab", "none"}},
		{name: "renamed and synced", prepare: func(d *Disk) {
			syncFile(t, create(t, d, "/old", "ab"))
			_ = d.Rename("/old", "/f")
			_ = d.SyncFolder("/")
		}, must: []string{"ab"}, onlyOneRemained: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := outcomes(t, "/f", c.prepare)
			for _, s := range c.must {
				if got[s] == 0 {
					t.Errorf("no disk has %q: %v", s, got)
				}
			}
			for _, s := range c.mayNotBe {
				if got[s] != 0 {
					t.Errorf("%d disks have %q", got[s], s)
				}
			}
			if c.onlyOneRemained && len(got) != 1 {
				t.Errorf("got %v, want one outcome", got)
			}
		})
	}
	got := outcomes(t, "/d/f", func(d *Disk) {
		_ = d.MakeFolder("/d")
		syncFile(t, create(t, d, "/d/f", "ab"))
		_ = d.SyncFolder("/d")
	})
	if got["ab"] == 0 || got["none"] == 0 {
		t.Errorf("a file in a folder that is not synced: %v", got)
	}
}

// Guards against a full disk that takes a whole write, and against files of a killed
// process that are written on.
func TestFullDiskAndKill(t *testing.T) {
	d := New(1)
	d.SetCapacity(3)
	f := create(t, d, "/f", "ab")
	if n, err := f.Write([]byte("cd")); n != 1 || !errors.Is(err, ErrFull) {
		t.Errorf("a write to a full disk wrote %d bytes, %v", n, err)
	}
	d.SetCapacity(0)
	d.Kill()
	if _, err := f.Write([]byte("e")); err == nil {
		t.Error("a killed process wrote to its file")
	}
	if got := content(t, d, "/f"); got != "abc" {
		t.Errorf("after a kill the file has %q, want abc", got)
	}
}
