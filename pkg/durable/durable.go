// Package durable replaces files atomically: after a crash or a power loss a
// file has either its old or its new content.
package durable

import (
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"
	"github.com/pkg/errors"
)

const fileMode = 0o640

// WriteFile atomically replaces the content of a file. It returns after the new
// content and the file name are synced to disk.
func WriteFile(path string, data []byte) error {
	folder := filepath.Dir(path)
	if err := renameio.WriteFile(path, data, fileMode, renameio.WithTempDir(folder)); err != nil {
		return errors.Wrapf(err, "write %s", path)
	}
	// The rename is durable only after the folder is synced.
	d, err := os.Open(folder)
	if err != nil {
		return errors.Wrapf(err, "open %s", folder)
	}
	defer d.Close()
	return errors.Wrapf(d.Sync(), "sync %s", folder)
}
