// Package durable writes files that are whole at any time, also after a loss of
// power.
package durable

import (
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"
	"github.com/pkg/errors"
)

// mode is that of the files written.
const mode = 0o640

// WriteFile replaces a file. It returns when the new content is on the disk.
func WriteFile(path string, data []byte) error {
	folder := filepath.Dir(path)
	if err := renameio.WriteFile(path, data, mode, renameio.WithTempDir(folder)); err != nil {
		return errors.Wrapf(err, "write %s", path)
	}
	// The new name is durable once the folder is.
	d, err := os.Open(folder)
	if err != nil {
		return errors.Wrapf(err, "open %s", folder)
	}
	defer d.Close()
	return errors.Wrapf(d.Sync(), "sync %s", folder)
}
