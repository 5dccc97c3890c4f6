// Package durable replaces files atomically: after a crash or a power loss a
// file has either its old or its new content.
package durable

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"

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

// RemoveTemporary removes the temporary files that processes have left which were killed
// in WriteFile of a path. It returns their number. WriteFile must not run meanwhile.
func RemoveTemporary(path string) (int, error) {
	folder := filepath.Dir(path)
	entries, err := os.ReadDir(folder)
	if err != nil {
		return 0, errors.Wrap(err, "list temporary files")
	}
	removed := 0
	for _, e := range entries {
		// The library appends a random number to the name.
		suffix, ok := strings.CutPrefix(e.Name(), "."+filepath.Base(path))
		if _, err := strconv.ParseUint(suffix, 10, 64); !ok || err != nil {
			continue
		}
		if err := os.Remove(filepath.Join(folder, e.Name())); err != nil {
			return removed, errors.Wrap(err, "remove temporary file")
		}
		removed++
	}
	return removed, nil
}
