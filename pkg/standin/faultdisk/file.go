package faultdisk

import (
	"io"
	"slices"
)

// file is an open file. Reads start at its beginning, writes go to its end.
type file struct {
	disk   *Disk
	path   string
	node   *node
	start  int
	read   int
	closed bool
}

// begin returns an error if the operation fails or the file is closed. The caller must
// not hold disk.mu.
func (f *file) begin(op Op) error {
	err := f.disk.begin(op, f.path)
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.closed || f.start != f.disk.starts {
		return errClosed
	}
	return err
}

// Read implements io.Reader.
func (f *file) Read(p []byte) (int, error) {
	if err := f.begin(OpRead); err != nil {
		return 0, pathError(OpRead, f.path, err)
	}
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.read >= len(f.node.data) {
		return 0, io.EOF
	}
	n := copy(p, f.node.data[f.read:])
	f.read += n
	return n, nil
}

// Write implements io.Writer. A write that fails leaves a part of its data.
func (f *file) Write(p []byte) (int, error) {
	err := f.begin(OpWrite)
	if err == errClosed {
		return 0, pathError(OpWrite, f.path, err)
	}
	d := f.disk
	d.mu.Lock()
	defer d.mu.Unlock()
	n := len(p)
	if room := d.capacity - d.used(); err == nil && d.capacity > 0 && n > room {
		n, err = max(room, 0), ErrFull
	} else if err != nil && n > 0 {
		n = d.rand.IntN(n)
	}
	if n > 0 {
		f.node.change(change{offset: len(f.node.data), data: slices.Clone(p[:n])})
	}
	if err != nil {
		return n, pathError(OpWrite, f.path, err)
	}
	return n, nil
}

// Sync implements durable.File.
func (f *file) Sync() error {
	err := f.begin(OpSync)
	if err == errClosed {
		return pathError(OpSync, f.path, err)
	}
	d := f.disk
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		f.node.unsynced = slices.DeleteFunc(f.node.unsynced, func(change) bool { return d.rand.IntN(2) == 0 })
		return pathError(OpSync, f.path, err)
	}
	for _, c := range f.node.unsynced {
		f.node.onDisk = c.apply(f.node.onDisk)
	}
	f.node.unsynced = nil
	return nil
}

// Truncate implements durable.File.
func (f *file) Truncate(size int64) error {
	if err := f.begin(OpTruncate); err != nil {
		return pathError(OpTruncate, f.path, err)
	}
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	f.node.change(change{offset: int(size)})
	return nil
}

// Close implements io.Closer.
func (f *file) Close() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	f.closed = true
	return nil
}
