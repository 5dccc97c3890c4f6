// Package durable replaces files atomically: after a crash or a power loss a
// file has either its old or its new content.
package durable

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

const (
	fileMode = 0o640
	// temporaryPrefix begins the name of a file that is not complete yet.
	temporaryPrefix = ".tmp-"
)

// WriteFile atomically replaces the content of a file on the machine's disk, as
// WriteFileOn does.
func WriteFile(path string, data []byte) error { return WriteFileOn(OS{}, path, data) }

// WriteFileOn atomically replaces the content of a file. It returns after the new
// content and the file name are synced to disk. Only one call for a file may run at a
// time.
func WriteFileOn(fs FS, path string, data []byte) error {
	folder := filepath.Dir(path)
	temporary := filepath.Join(folder, temporaryPrefix+filepath.Base(path))
	if err := writeSynced(fs, temporary, data); err != nil {
		_ = fs.Remove(temporary) // the next call replaces what is left
		return errors.Wrapf(err, "write %s", temporary)
	}
	if err := fs.Rename(temporary, path); err != nil {
		_ = fs.Remove(temporary)
		return errors.Wrapf(err, "write %s", path)
	}
	// The rename is durable only after the folder is synced.
	return errors.Wrapf(fs.SyncFolder(folder), "sync %s", folder)
}

func writeSynced(fs FS, path string, data []byte) error {
	f, err := fs.Create(path)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// RemoveTemporary removes the temporary files that processes of earlier builds have left
// which were killed in WriteFile of a path. It returns their number.
func RemoveTemporary(path string) (int, error) {
	folder := filepath.Dir(path)
	entries, err := os.ReadDir(folder)
	if err != nil {
		return 0, errors.Wrap(err, "list temporary files")
	}
	removed := 0
	for _, e := range entries {
		// They had a random number at the end of the name.
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
