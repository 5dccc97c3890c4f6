// Package renameio stands in for github.com/google/renameio/v2 with the files of package
// tracedisk: it writes a temporary file, syncs it and renames it.
package renameio

import (
	"io/fs"
	"path/filepath"

	"github.com/yuccaspindle/yuccaspindle/soak/testdata/tracedisk"
)

// Option is an option of WriteFile.
type Option struct{ folder string }

// WithTempDir sets the folder of the temporary file.
func WithTempDir(folder string) Option { return Option{folder: folder} }

// WriteFile replaces a file without a sync of its folder.
func WriteFile(path string, data []byte, perm fs.FileMode, options ...Option) error {
	folder := filepath.Dir(path)
	for _, o := range options {
		folder = o.folder
	}
	f, err := tracedisk.CreateTemp(folder, "."+filepath.Base(path)+"*")
	if err != nil {
		return err
	}
	err = f.Chmod(perm)
	if err == nil {
		_, err = f.Write(data)
	}
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = tracedisk.Rename(f.Name(), path)
	}
	if err != nil {
		_ = tracedisk.Remove(f.Name())
	}
	return err
}
