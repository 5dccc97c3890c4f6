package ledger

import (
	"path/filepath"
	"slices"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/durable"
)

// removedFile is a file in the data folder that exists while this process was removed from
// the ledger and has not caught up since. It outweighs the mark of a complete log. Builds
// that do not know it ignore it.
const removedFile = "removed"

// removalMark is the note on disk that this process was removed from the ledger. It is not
// safe for concurrent use.
type removalMark struct {
	fs  durable.FS
	dir string
	// set is true while the file may exist.
	set bool
}

// openRemovalMark reads the note in a data folder that exists.
func openRemovalMark(fs durable.FS, dir string) (*removalMark, error) {
	names, err := fs.List(dir)
	if err != nil {
		return nil, errors.Wrap(err, "look for the note of a removal")
	}
	return &removalMark{fs: fs, dir: dir, set: slices.Contains(names, removedFile)}, nil
}

// write returns once the note is synced to disk. After an error it may or may not be found
// at the next start.
func (m *removalMark) write() error {
	m.set = true
	return errors.Wrap(durable.WriteFileOn(m.fs, filepath.Join(m.dir, removedFile), nil), "note the removal")
}

// clear removes the note. After an error the next start may find it.
func (m *removalMark) clear() error {
	if !m.set {
		return nil
	}
	names, err := m.fs.List(m.dir)
	if err != nil {
		return errors.Wrap(err, "look for the note of a removal")
	}
	if slices.Contains(names, removedFile) {
		if err := m.fs.Remove(filepath.Join(m.dir, removedFile)); err != nil {
			return errors.Wrap(err, "remove the note of a removal")
		}
	}
	if err := m.fs.SyncFolder(m.dir); err != nil {
		return errors.Wrap(err, "sync the folder without the note of a removal")
	}
	m.set = false
	return nil
}
