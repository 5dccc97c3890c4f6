// Package faultdisk simulates a disk that loses power, fills up and fails. It
// implements durable.FS in memory. All choices are drawn from a seed.
//
// After a power loss a file has the data of its last successful sync; each later write
// is present, missing or torn. Each name that was created, renamed or removed since the
// last sync of its folder is kept or lost independently. After a failed sync, data that
// was written before it may never reach the disk, although it is read back until the
// power loss and later syncs succeed.
package faultdisk

import (
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"syscall"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/durable"
)

// Op is an operation of a disk.
type Op string

// The operations that a disk passes to its fault function.
const (
	OpCreate     Op = "create"
	OpOpen       Op = "open"
	OpRead       Op = "read"
	OpWrite      Op = "write"
	OpSync       Op = "sync"
	OpTruncate   Op = "truncate"
	OpRename     Op = "rename"
	OpRemove     Op = "remove"
	OpMakeFolder Op = "make folder"
	OpSyncFolder Op = "sync folder"
)

var (
	// ErrIO is the error of a failing disk.
	ErrIO error = syscall.EIO
	// ErrFull is the error of a write that exceeds the capacity.
	ErrFull error = syscall.ENOSPC
	// errClosed is the error of files that were open when the process was killed or
	// the power was lost.
	errClosed = errors.New("file is closed")
)

// Disk is a simulated disk. The root folder always exists. It is safe for concurrent
// use.
type Disk struct {
	seed     uint64
	mu       sync.Mutex
	rand     *rand.Rand
	names    map[string]*node // as a running process sees them
	onDisk   map[string]*node // as of the last sync of each folder
	capacity int              // 0: unlimited
	fault    func(op Op, path string) error
	starts   int // files opened in an earlier start are closed
	counts   map[Op]int
}

// node is the content of a file, or a folder.
type node struct {
	folder bool
	data   []byte // as a running process reads it
	onDisk []byte // without the unsynced changes
	// unsynced are the changes since the last sync. A failed sync removes some of them
	// although they remain in data.
	unsynced []change
}

// change is a write at an offset, or a new length if data is nil.
type change struct {
	offset int
	data   []byte
}

// New returns an empty disk.
func New(seed uint64) *Disk {
	return &Disk{
		seed: seed, rand: rand.New(rand.NewPCG(seed, 0)), names: make(map[string]*node), onDisk: make(map[string]*node), counts: make(map[Op]int),
	}
}

// Seed returns the seed of the disk.
func (d *Disk) Seed() uint64 { return d.seed }

// SetCapacity limits the size of all files together: a write beyond it is short and
// fails with ErrFull. 0 removes the limit.
func (d *Disk) SetCapacity(bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.capacity = bytes
}

// Used returns the size of all files together.
func (d *Disk) Used() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.used()
}

func (d *Disk) used() int {
	sum := 0
	for _, n := range d.names {
		sum += len(n.data)
	}
	return sum
}

// SetFault sets a function that is called before each operation; an error that it
// returns is the result of the operation. A failed write leaves a part of its data in
// the file. The function may block, and may call methods of the disk. nil ends the
// faults.
func (d *Disk) SetFault(f func(op Op, path string) error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = f
}

// Count returns how often an operation was called, failed calls included.
func (d *Disk) Count(op Op) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counts[op]
}

// Kill ends the process that uses the disk: its open files are closed, and all data and
// names remain.
func (d *Disk) Kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.starts++
}

// PowerLoss ends the process that uses the disk and loses what is not synced.
func (d *Disk) PowerLoss() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.starts++
	paths := slices.Collect(maps.Keys(d.names))
	for path := range d.onDisk {
		if d.names[path] == nil {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths) // parents precede their content, and the choices are reproducible
	names := make(map[string]*node)
	for _, path := range paths {
		n := d.names[path]
		if old := d.onDisk[path]; old != n && d.rand.IntN(2) == 0 {
			n = old
		}
		if parent := filepath.Dir(path); n == nil || parent != "/" && names[parent] == nil {
			continue
		}
		names[path] = n
	}
	// After some power losses all unsynced writes are gone.
	loseAll := d.rand.IntN(3) == 0
	for _, path := range slices.Sorted(maps.Keys(names)) {
		n := names[path]
		for _, c := range n.unsynced {
			if !loseAll {
				n.onDisk = d.applyPart(n.onDisk, c)
			}
		}
		n.data, n.unsynced = slices.Clone(n.onDisk), nil
	}
	d.names, d.onDisk = names, maps.Clone(names)
}

// applyPart applies a change, a part of it or nothing.
func (d *Disk) applyPart(data []byte, c change) []byte {
	switch d.rand.IntN(3) {
	case 0:
		return data
	case 1:
		if len(c.data) > 0 {
			c.data = c.data[:d.rand.IntN(len(c.data))]
			if len(c.data) == 0 {
				return data
			}
		}
	}
	return c.apply(data)
}

func (c change) apply(data []byte) []byte {
	if c.data == nil {
		if len(data) > c.offset {
			return data[:c.offset]
		}
		return append(data, make([]byte, c.offset-len(data))...)
	}
	if end := c.offset + len(c.data); len(data) < end {
		data = append(data, make([]byte, end-len(data))...)
	}
	copy(data[c.offset:], c.data)
	return data
}

// begin counts an operation and returns its injected error.
func (d *Disk) begin(op Op, path string) error {
	d.mu.Lock()
	d.counts[op]++
	fault := d.fault
	d.mu.Unlock()
	if fault == nil {
		return nil
	}
	return fault(op, path)
}

func pathError(op Op, path string, err error) error {
	return &fs.PathError{Op: string(op), Path: path, Err: err}
}

// checkParent returns an error if the folder of a path does not exist.
func (d *Disk) checkParent(path string) error {
	parent := filepath.Dir(path)
	if n := d.names[parent]; parent != "/" && (n == nil || !n.folder) {
		return fs.ErrNotExist
	}
	return nil
}

// Create implements durable.FS.
func (d *Disk) Create(path string) (durable.File, error) {
	path = filepath.Clean(path)
	if err := d.begin(OpCreate, path); err != nil {
		return nil, pathError(OpCreate, path, err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.checkParent(path); err != nil {
		return nil, pathError(OpCreate, path, err)
	}
	n := d.names[path]
	if n == nil {
		n = &node{}
		d.names[path] = n
	} else {
		n.change(change{})
	}
	return &file{disk: d, path: path, node: n, start: d.starts}, nil
}

// change applies a change without syncing it.
func (n *node) change(c change) {
	n.data = c.apply(n.data)
	n.unsynced = append(n.unsynced, c)
}

// Open implements durable.FS.
func (d *Disk) Open(path string) (durable.File, error) {
	path = filepath.Clean(path)
	if err := d.begin(OpOpen, path); err != nil {
		return nil, pathError(OpOpen, path, err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.names[path]
	if n == nil || n.folder {
		return nil, pathError(OpOpen, path, fs.ErrNotExist)
	}
	return &file{disk: d, path: path, node: n, start: d.starts}, nil
}

// Rename renames a file. It is not part of durable.FS.
func (d *Disk) Rename(from, to string) error {
	from, to = filepath.Clean(from), filepath.Clean(to)
	if err := d.begin(OpRename, to); err != nil {
		return pathError(OpRename, to, err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.names[from]
	if n == nil {
		return pathError(OpRename, from, fs.ErrNotExist)
	}
	if err := d.checkParent(to); err != nil {
		return pathError(OpRename, to, err)
	}
	delete(d.names, from)
	d.names[to] = n
	return nil
}

// Remove implements durable.FS.
func (d *Disk) Remove(path string) error {
	path = filepath.Clean(path)
	if err := d.begin(OpRemove, path); err != nil {
		return pathError(OpRemove, path, err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.names[path] == nil {
		return pathError(OpRemove, path, fs.ErrNotExist)
	}
	delete(d.names, path)
	return nil
}

// List implements durable.FS.
func (d *Disk) List(folder string) ([]string, error) {
	folder = filepath.Clean(folder)
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := d.names[folder]; folder != "/" && (n == nil || !n.folder) {
		return nil, pathError("list", folder, fs.ErrNotExist)
	}
	var list []string
	for path := range d.names {
		if filepath.Dir(path) == folder {
			list = append(list, filepath.Base(path))
		}
	}
	slices.Sort(list)
	return list, nil
}

// MakeFolder implements durable.FS.
func (d *Disk) MakeFolder(path string) error {
	path = filepath.Clean(path)
	if err := d.begin(OpMakeFolder, path); err != nil {
		return pathError(OpMakeFolder, path, err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.checkParent(path); err != nil {
		return pathError(OpMakeFolder, path, err)
	}
	if path == "/" || d.names[path] != nil {
		return pathError(OpMakeFolder, path, fs.ErrExist)
	}
	d.names[path] = &node{folder: true}
	return nil
}

// SyncFolder implements durable.FS.
func (d *Disk) SyncFolder(path string) error {
	path = filepath.Clean(path)
	if err := d.begin(OpSyncFolder, path); err != nil {
		return pathError(OpSyncFolder, path, err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := d.names[path]; path != "/" && (n == nil || !n.folder) {
		return pathError(OpSyncFolder, path, fs.ErrNotExist)
	}
	maps.DeleteFunc(d.onDisk, func(name string, _ *node) bool { return filepath.Dir(name) == path })
	for name, n := range d.names {
		if filepath.Dir(name) == path {
			d.onDisk[name] = n
		}
	}
	return nil
}
