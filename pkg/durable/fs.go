package durable

import (
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

const folderMode = 0o755

// FS is the part of a file system that data is kept on. Tests replace it by a
// simulated disk. A name that was created, renamed or removed survives a power loss
// for certain only after SyncFolder on its folder.
type FS interface {
	// Create creates a file for writing, or empties it if it exists.
	Create(path string) (File, error)
	// Open opens an existing file. It is not changed, but may be synced.
	Open(path string) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// List returns the names in a folder, sorted.
	List(folder string) ([]string, error)
	// MakeFolder creates a folder whose parent exists.
	MakeFolder(path string) error
	SyncFolder(path string) error
}

// File is an open file. What was written survives a power loss only after Sync, and a
// later successful Sync says nothing about data of before a failed one.
type File interface {
	io.ReadWriteCloser
	Sync() error
	// Truncate changes the length of the file; the next write begins at its end.
	Truncate(size int64) error
}

// OS is the file system of the machine.
type OS struct{}

// Create implements FS.
func (OS) Create(path string) (File, error) {
	return openFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND)
}

// Open implements FS.
func (OS) Open(path string) (File, error) { return openFile(path, os.O_RDWR) }

// openFile avoids a File that holds a nil pointer if the file cannot be opened.
func openFile(path string, flag int) (File, error) {
	f, err := os.OpenFile(path, flag, fileMode)
	if err != nil {
		return nil, err
	}
	return f, nil
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(path string) error { return os.Remove(path) }

// List implements FS.
func (OS) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// MakeFolder implements FS.
func (OS) MakeFolder(path string) error { return os.Mkdir(path, folderMode) }

// SyncFolder implements FS.
func (OS) SyncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// MakeFolders creates a folder and its parents as far as they are missing. The names of
// those that it creates are synced to disk. A folder that exists is only listed, since
// its parent may not be writable.
func MakeFolders(fs FS, path string) error {
	parent := filepath.Dir(path)
	if _, err := fs.List(path); err == nil || parent == path {
		return err
	}
	if err := MakeFolders(fs, parent); err != nil {
		return err
	}
	if err := fs.MakeFolder(path); err != nil {
		return errors.Wrapf(err, "create folder %s", path)
	}
	return errors.Wrapf(fs.SyncFolder(parent), "sync folder %s", parent)
}
