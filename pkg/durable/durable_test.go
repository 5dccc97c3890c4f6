package durable_test

import (
	"fmt"
	"io"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/durable"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/faultdisk"
)

const diskSeeds = 40 // disks on which a test is played

// Guards against a file that has an older content after a power loss than the last write
// that returned, and against one that has neither content.
func TestWriteFileSurvivesPowerLoss(t *testing.T) {
	for seed := range uint64(diskSeeds) {
		d := faultdisk.New(seed)
		if err := durable.MakeFolders(d, "/data/kept"); err != nil {
			t.Fatal(err)
		}
		const path = "/data/kept/state"
		for i := range 3 {
			want := fmt.Sprint("version ", i)
			if err := durable.WriteFileOn(d, path, []byte(want)); err != nil {
				t.Fatal(err)
			}
			d.PowerLoss()
			f, err := d.Open(path)
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			if data, err := io.ReadAll(f); err != nil || string(data) != want {
				t.Errorf("seed %d: content %q, error %v, want %q", seed, data, err, want)
			}
			_ = f.Close()
		}
	}
}

// Guards against a failed write that damages the old content or is reported as done.
func TestFailedWriteFileKeepsOldContent(t *testing.T) {
	const path = "/state"
	for _, failing := range []faultdisk.Op{faultdisk.OpWrite, faultdisk.OpSync} {
		d := faultdisk.New(1)
		if err := durable.WriteFileOn(d, path, []byte("old")); err != nil {
			t.Fatal(err)
		}
		d.SetFault(func(op faultdisk.Op, _ string) error {
			if op == failing {
				return faultdisk.ErrIO
			}
			return nil
		})
		if durable.WriteFileOn(d, path, []byte("new")) == nil {
			t.Errorf("%v fails and the write succeeds", failing)
		}
		d.SetFault(nil)
		d.PowerLoss()
		f, err := d.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		if data, _ := io.ReadAll(f); string(data) != "old" {
			t.Errorf("%v fails and the content is %q", failing, data)
		}
	}
}
