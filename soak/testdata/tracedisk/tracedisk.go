// Package tracedisk stands in for package os in the storage processes of the soak. It
// records every change of a file or a folder beside the disk, so that the soak can
// produce the state after a power loss, and injects faults of the disk.
//
// Nothing is synced to the real disk: the files of a process survive its end, and after
// a power loss the soak writes them anew from the trace.
package tracedisk

import (
	"encoding/json"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// FolderVariable names the folder with the trace and the faults. If it is not set, all
// calls are passed on to package os.
const FolderVariable = "SOAK_DISK"

const (
	traceFile = "trace"
	// A fault lasts while its file exists. slowFile holds the delay of each write and
	// sync in ms.
	fullFile     = "full"
	failSyncFile = "failsync"
	slowFile     = "slow"
)

// Flags, errors and functions that need no trace.
const (
	O_RDONLY = os.O_RDONLY
	O_WRONLY = os.O_WRONLY
	O_RDWR   = os.O_RDWR
	O_APPEND = os.O_APPEND
	O_CREATE = os.O_CREATE
	O_EXCL   = os.O_EXCL
	O_SYNC   = os.O_SYNC
	O_TRUNC  = os.O_TRUNC
)

var (
	ErrNotExist = os.ErrNotExist
	ErrExist    = os.ErrExist
	ErrClosed   = os.ErrClosed
	ReadFile    = os.ReadFile
	ReadDir     = os.ReadDir
	Stat        = os.Stat
	Lstat       = os.Lstat
	IsNotExist  = os.IsNotExist
	IsExist     = os.IsExist
	Getpid      = os.Getpid
	Getenv      = os.Getenv
	Stderr      = os.Stderr
	Stdout      = os.Stdout
	Exit        = os.Exit
)

type (
	FileInfo  = os.FileInfo
	FileMode  = os.FileMode
	DirEntry  = os.DirEntry
	PathError = os.PathError
)

// Record is one line of the trace. A change is recorded before it is made, a sync after
// it has succeeded.
type Record struct {
	Seq  int    // number of the change since the start of the process
	PID  int    // process, since numbers and handles are only unique in one
	Op   string // mkdir, create, open, write, truncate, rename, remove, sync, syncfail or syncdir
	Path string `json:",omitempty"`
	To   string `json:",omitempty"` // new path of a rename
	File int    `json:",omitempty"` // handle
	Off  int64  `json:",omitempty"`
	Data []byte `json:",omitempty"`
	Upto int    `json:",omitempty"` // the last change that a sync covers
}

// disk is the state of the trace.
var disk struct {
	mu      sync.Mutex
	once    sync.Once
	folder  string
	trace   *os.File
	seq     int
	handles int
}

// active reports whether a trace is kept.
func active() bool {
	disk.once.Do(func() {
		disk.folder = os.Getenv(FolderVariable)
		if disk.folder == "" {
			return
		}
		f, err := os.OpenFile(filepath.Join(disk.folder, traceFile), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			panic(err)
		}
		disk.trace = f
		_, _ = f.WriteString("\n") // the process before may have ended in the middle of a line
	})
	return disk.folder != ""
}

// record appends a line to the trace. The caller holds disk.mu.
func record(r Record) {
	if r.Op != "sync" && r.Op != "syncfail" && r.Op != "syncdir" {
		disk.seq++
	}
	r.Seq, r.PID = disk.seq, os.Getpid()
	line, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	if _, err := disk.trace.Write(append(line, '\n')); err != nil {
		panic(err)
	}
}

func faulty(name string) bool {
	_, err := os.Stat(filepath.Join(disk.folder, name))
	return err == nil
}

// delay waits as long as a slow disk does.
func delay() {
	text, err := os.ReadFile(filepath.Join(disk.folder, slowFile))
	if err != nil {
		return
	}
	if ms, err := strconv.Atoi(string(text)); err == nil {
		time.Sleep(time.Duration(ms) * time.Millisecond)
	}
}

// File is an open file or folder.
type File struct {
	*os.File
	handle int
	folder bool
	append bool
}

// Open opens a file or a folder for reading.
func Open(name string) (*File, error) { return OpenFile(name, os.O_RDONLY, 0) }

// Create creates or truncates a file.
func Create(name string) (*File, error) {
	return OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o666)
}

// OpenFile opens a file.
func OpenFile(name string, flag int, perm fs.FileMode) (*File, error) {
	if !active() {
		f, err := os.OpenFile(name, flag, perm)
		if err != nil {
			return nil, err
		}
		return &File{File: f}, nil
	}
	disk.mu.Lock()
	defer disk.mu.Unlock()
	info, err := os.Stat(name)
	missing := err != nil
	if missing && flag&os.O_CREATE != 0 && faulty(fullFile) {
		return nil, &fs.PathError{Op: "open", Path: name, Err: syscall.ENOSPC}
	}
	f, err := os.OpenFile(name, flag, perm)
	if err != nil {
		return nil, err
	}
	disk.handles++
	file := &File{File: f, handle: disk.handles, append: flag&os.O_APPEND != 0}
	switch {
	case missing:
		record(Record{Op: "create", Path: name, File: file.handle})
	case info.IsDir():
		file.folder = true
	default:
		record(Record{Op: "open", Path: name, File: file.handle})
		if flag&os.O_TRUNC != 0 {
			record(Record{Op: "truncate", File: file.handle})
		}
	}
	return file, nil
}

// CreateTemp creates a file with a name that is not in use.
func CreateTemp(dir, pattern string) (*File, error) {
	if dir == "" {
		dir = os.TempDir()
	}
	f, err := os.CreateTemp(dir, pattern)
	if err != nil || !active() {
		return &File{File: f}, err
	}
	disk.mu.Lock()
	defer disk.mu.Unlock()
	if faulty(fullFile) {
		_ = f.Close()
		_ = os.Remove(f.Name())
		return nil, &fs.PathError{Op: "open", Path: f.Name(), Err: syscall.ENOSPC}
	}
	disk.handles++
	record(Record{Op: "create", Path: f.Name(), File: disk.handles})
	return &File{File: f, handle: disk.handles}, nil
}

// Write appends to the file at its offset. On a full disk it writes a part.
func (f *File) Write(p []byte) (int, error) {
	if !active() {
		return f.File.Write(p)
	}
	delay()
	disk.mu.Lock()
	defer disk.mu.Unlock()
	off, err := f.offset()
	if err != nil {
		return 0, err
	}
	return f.writeTraced(p, off, func(q []byte) (int, error) { return f.File.Write(q) })
}

// WriteAt writes at an offset.
func (f *File) WriteAt(p []byte, off int64) (int, error) {
	if !active() {
		return f.File.WriteAt(p, off)
	}
	delay()
	disk.mu.Lock()
	defer disk.mu.Unlock()
	return f.writeTraced(p, off, func(q []byte) (int, error) { return f.File.WriteAt(q, off) })
}

// WriteString is like Write.
func (f *File) WriteString(s string) (int, error) { return f.Write([]byte(s)) }

func (f *File) offset() (int64, error) {
	if !f.append {
		return f.File.Seek(0, 1)
	}
	info, err := f.File.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

func (f *File) writeTraced(p []byte, off int64, write func([]byte) (int, error)) (int, error) {
	part := p
	full := faulty(fullFile)
	if full && len(p) > 0 {
		part = p[:rand.IntN(len(p))]
	}
	if len(part) > 0 {
		record(Record{Op: "write", File: f.handle, Off: off, Data: part})
	}
	n, err := write(part)
	if err == nil && full {
		err = &fs.PathError{Op: "write", Path: f.Name(), Err: syscall.ENOSPC}
	}
	return n, err
}

// Truncate changes the size of the file.
func (f *File) Truncate(size int64) error {
	if !active() {
		return f.File.Truncate(size)
	}
	disk.mu.Lock()
	defer disk.mu.Unlock()
	record(Record{Op: "truncate", File: f.handle, Off: size})
	return f.File.Truncate(size)
}

// Sync makes the changes so far durable, unless the disk fails.
func (f *File) Sync() error {
	if !active() {
		return f.File.Sync()
	}
	disk.mu.Lock()
	upto := disk.seq
	disk.mu.Unlock()
	delay()
	disk.mu.Lock()
	defer disk.mu.Unlock()
	r := Record{Op: "sync", File: f.handle, Upto: upto}
	if f.folder {
		r = Record{Op: "syncdir", Path: f.Name(), Upto: upto}
	}
	if faulty(failSyncFile) {
		if f.folder {
			return &fs.PathError{Op: "sync", Path: f.Name(), Err: syscall.EIO}
		}
		r.Op = "syncfail"
		record(r)
		return &fs.PathError{Op: "sync", Path: f.Name(), Err: syscall.EIO}
	}
	record(r)
	return nil
}

// Mkdir creates a folder.
func Mkdir(path string, perm fs.FileMode) error {
	if !active() {
		return os.Mkdir(path, perm)
	}
	disk.mu.Lock()
	defer disk.mu.Unlock()
	if _, err := os.Stat(path); err != nil {
		record(Record{Op: "mkdir", Path: path})
	}
	return os.Mkdir(path, perm)
}

// MkdirAll creates a folder, whose parent the soak has created.
func MkdirAll(path string, perm fs.FileMode) error {
	if !active() {
		return os.MkdirAll(path, perm)
	}
	disk.mu.Lock()
	defer disk.mu.Unlock()
	if _, err := os.Stat(path); err != nil {
		record(Record{Op: "mkdir", Path: path})
	}
	return os.MkdirAll(path, perm)
}

// Rename renames a file.
func Rename(from, to string) error {
	if !active() {
		return os.Rename(from, to)
	}
	disk.mu.Lock()
	defer disk.mu.Unlock()
	if _, err := os.Stat(from); err == nil {
		record(Record{Op: "rename", Path: from, To: to})
	}
	return os.Rename(from, to)
}

// Remove removes a file.
func Remove(name string) error {
	if !active() {
		return os.Remove(name)
	}
	disk.mu.Lock()
	defer disk.mu.Unlock()
	if _, err := os.Stat(name); err == nil {
		record(Record{Op: "remove", Path: name})
	}
	return os.Remove(name)
}
