package ledger

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/durable"
)

const (
	segmentPattern = "ledger-*.log"
	segmentFormat  = "ledger-%08d.log"
	// segmentBytes is the size at which a new file is started. It limits the time to
	// read a file at the start and the space that is occupied by expired records.
	segmentBytes     = 16 << 20
	maxRecordBytes   = 64 << 20 // of one encoded record
	frameHeaderBytes = 8        // length and checksum of a record
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Log is the append-only log of a storage process, split into segment files.
// After each start the first append creates a new file, since a power loss may have left
// an incomplete record at the end of the previous one; so does an append that follows a
// failed one. Synced records always precede such damage.
type Log struct {
	fs         durable.FS
	dir        string
	log        *slog.Logger
	file       durable.File // nil until the next append
	path       string       // of file
	number     int          // of the last file that was created
	nameSynced bool         // the name of file is on disk
	size       int          // of the synced records in file
	nextNumber int
	closed     []segment
	// unreadable are files that the disk did not return. The log lacks their records.
	unreadable []segment
}

// segment is a file that is no longer written.
type segment struct {
	path     string
	number   int
	closedAt time.Time // the start of this process if the file is older
}

// OpenLog passes the records of all files in a folder to apply, with the number of their
// file.
func OpenLog(fs durable.FS, dir string, logger *slog.Logger, now time.Time, apply func(file int, rec *peerv1.LedgerRecord)) (*Log, error) {
	if err := durable.MakeFolders(fs, dir); err != nil {
		return nil, errors.Wrap(err, "create data folder")
	}
	names, err := fs.List(dir)
	if err != nil {
		return nil, errors.Wrap(err, "list ledger files")
	}
	names = slices.DeleteFunc(names, func(name string) bool {
		ok, err := filepath.Match(segmentPattern, name)
		return err != nil || !ok
	})
	l := &Log{fs: fs, dir: dir, log: logger}
	for i, name := range names {
		path := filepath.Join(dir, name)
		var number int
		if _, err := fmt.Sscanf(name, segmentFormat, &number); err == nil {
			l.nextNumber = max(l.nextNumber, number+1)
		}
		if l.readFile(path, i == len(names)-1, func(rec *peerv1.LedgerRecord) { apply(number, rec) }) {
			l.closed = append(l.closed, segment{path: path, number: number, closedAt: now})
		} else {
			l.unreadable = append(l.unreadable, segment{path: path, number: number})
		}
	}
	return l, nil
}

// readFile passes the records of a file to apply. It returns false if the disk failed,
// so that records may be missing; a torn record at the end is no failure.
func (l *Log) readFile(path string, last bool, apply func(*peerv1.LedgerRecord)) bool {
	if last {
		if err := l.syncLast(path); err != nil {
			l.log.Error("ledger file unreadable", "file", path, "err", err)
			return false
		}
	}
	n, size, readErr, err := readSegment(l.fs, path, apply)
	switch {
	case readErr != nil:
		l.log.Error("ledger file unreadable", "file", path, "records", n, "offset", size, "err", readErr)
	case err != nil:
		l.log.Warn("ledger file ends early", "file", path, "records", n, "offset", size, "err", err)
	default:
		l.log.Info("ledger file read", "file", path, "records", n, "bytes", size)
	}
	return readErr == nil
}

// syncLast syncs the last file and the names of all. A process that was killed may have
// left records in them that are read at the start but that no disk has. The older files
// have no such records: a file is synced before the next one is created.
func (l *Log) syncLast(path string) error {
	f, err := l.fs.Open(path)
	if err != nil {
		return errors.Wrap(err, "open")
	}
	defer f.Close()
	if err := f.Sync(); err != nil {
		return errors.Wrap(err, "sync")
	}
	return errors.Wrap(l.fs.SyncFolder(l.dir), "sync folder")
}

// diskReader keeps the error of a failed read.
type diskReader struct {
	file durable.File
	err  error
}

func (r *diskReader) Read(p []byte) (int, error) {
	n, err := r.file.Read(p)
	if err != nil && err != io.EOF {
		r.err = err
	}
	return n, err
}

// readSegment passes the records of a file to apply. It returns their number and size,
// and err if it stopped before the end of the file. readErr is set if the disk failed.
func readSegment(fs durable.FS, path string, apply func(*peerv1.LedgerRecord)) (n, size int, readErr, err error) {
	f, err := fs.Open(path)
	if err != nil {
		return 0, 0, err, err
	}
	defer f.Close()
	file := &diskReader{file: f}
	r := bufio.NewReaderSize(file, readBufferBytes)
	var buf []byte // of the last record; decoding copies what it keeps
	for ; ; n++ {
		rec, recordSize, err := readRecord(r, &buf)
		if err == io.EOF {
			return n, size, file.err, nil
		}
		if err != nil {
			return n, size, file.err, err
		}
		apply(rec)
		size += recordSize
	}
}

// readBufferBytes is the size of one read of a file. Larger reads need fewer
// system calls at the start, which delay the first request.
const readBufferBytes = 256 << 10

// readRecord returns the next record and its size in the file. The error is io.EOF at
// the end of the file. It keeps a buffer in buf for the next call.
func readRecord(r *bufio.Reader, buf *[]byte) (*peerv1.LedgerRecord, int, error) {
	header, err := r.Peek(frameHeaderBytes)
	if err != nil {
		if err == io.EOF && len(header) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return nil, 0, err
	}
	size, sum := binary.LittleEndian.Uint32(header[:4]), binary.LittleEndian.Uint32(header[4:])
	if size > maxRecordBytes {
		return nil, 0, errors.Errorf("record of %d bytes exceeds the limit", size)
	}
	_, _ = r.Discard(frameHeaderBytes) // was peeked
	*buf = slices.Grow((*buf)[:0], int(size))[:size]
	data := *buf
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, 0, errors.Wrap(err, "incomplete record")
	}
	// A range of zero bytes must not be decoded as an empty record.
	if size == 0 || crc32.Checksum(data, crcTable) != sum {
		return nil, 0, errors.New("checksum mismatch")
	}
	rec := &peerv1.LedgerRecord{}
	return rec, frameHeaderBytes + len(data), errors.Wrap(proto.Unmarshal(data, rec), "decode record")
}

// Append writes records and returns after they are synced to disk. After an error the
// records may or may not be read at the next start.
func (l *Log) Append(recs []*peerv1.LedgerRecord, now time.Time) error {
	data, err := encodeRecords(recs)
	if err != nil {
		return err
	}
	if l.file != nil && l.size >= segmentBytes {
		l.closeFile(now)
	}
	if l.file == nil {
		if err := l.createFile(); err != nil {
			return err
		}
	}
	if err := l.writeSynced(data); err != nil {
		l.abandonFile(now)
		return err
	}
	l.size += len(data)
	return nil
}

// writeSynced writes data to the current file and syncs it.
func (l *Log) writeSynced(data []byte) error {
	if n, err := l.file.Write(data); err != nil {
		return errors.Wrapf(err, "write ledger file at offset %d, %d of %d bytes written", l.size, n, len(data))
	}
	if err := l.file.Sync(); err != nil {
		return errors.Wrapf(err, "sync ledger file at offset %d, %d bytes", l.size, len(data))
	}
	return l.syncName()
}

func encodeRecords(recs []*peerv1.LedgerRecord) ([]byte, error) {
	var buf []byte
	for _, rec := range recs {
		data, err := proto.Marshal(rec)
		if err != nil {
			return nil, errors.Wrap(err, "encode record")
		}
		buf = binary.LittleEndian.AppendUint32(buf, uint32(len(data)))
		buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(data, crcTable))
		buf = append(buf, data...)
	}
	return buf, nil
}

// syncName syncs the folder after the first sync of a new file. Until then a power loss
// may remove the file with all its records.
func (l *Log) syncName() error {
	if l.nameSynced {
		return nil
	}
	if err := l.fs.SyncFolder(l.dir); err != nil {
		return errors.Wrapf(err, "sync the name of %s", l.path)
	}
	l.nameSynced = true
	return nil
}

// createFile starts a new file.
func (l *Log) createFile() error {
	path := filepath.Join(l.dir, fmt.Sprintf(segmentFormat, l.nextNumber))
	f, err := l.fs.Create(path)
	if err != nil {
		return errors.Wrap(err, "create ledger file")
	}
	l.file, l.path, l.number, l.size, l.nameSynced = f, path, l.nextNumber, 0, false
	l.nextNumber++
	return nil
}

// abandonFile ends the current file after a failed append: records behind an incomplete
// one are not read, and after a failed sync the file may have a gap that no later sync
// reports. The next append starts a new file. What the failed append left is cut off, so
// that no start reads records from the memory of the operating system which the disk
// lacks. A file without records is removed; otherwise each append to a full disk would
// leave one.
func (l *Log) abandonFile(now time.Time) {
	path, empty := l.path, l.size == 0
	if err := l.file.Truncate(int64(l.size)); err != nil {
		l.log.Warn("failed to cut off a failed write", "file", path, "bytes", l.size, "err", err)
	}
	l.closeFile(now)
	if !empty {
		l.log.Warn("ledger file abandoned", "file", path, "bytes", l.size)
		return
	}
	if err := l.fs.Remove(path); err != nil {
		l.log.Warn("failed to remove empty ledger file", "file", path, "err", err)
		return
	}
	l.closed = l.closed[:len(l.closed)-1]
}

// closeFile closes the current file.
func (l *Log) closeFile(now time.Time) {
	l.closed = append(l.closed, segment{path: l.path, number: l.number, closedAt: now})
	if err := l.file.Close(); err != nil {
		l.log.Warn("failed to close ledger file", "file", l.path, "err", err)
	}
	l.file = nil
}

// Intact reports whether all files were read at the start.
func (l *Log) Intact() bool { return len(l.unreadable) == 0 }

// RemoveUnreadable removes the files that could not be read. It must be called only once
// the log is complete without the part that was not read. The records that were read are
// passed on by carry, as for Trim.
func (l *Log) RemoveUnreadable(carry func(file int) bool) {
	for _, s := range slices.Clone(l.unreadable) {
		if !carry(s.number) {
			continue
		}
		if err := l.fs.Remove(s.path); err != nil {
			l.log.Warn("failed to remove unreadable ledger file", "file", s.path, "err", err)
			continue
		}
		l.log.Info("unreadable ledger file removed", "file", s.path)
		l.unreadable = slices.DeleteFunc(l.unreadable, func(u segment) bool { return u.path == s.path })
	}
}

// Trim removes the files that were closed before a time. It calls carry with the number
// of each one, which appends the records that are still needed and returns false if the
// file must stay. No file is removed while one is unreadable: after another start that
// one may be readable, and all of them count.
func (l *Log) Trim(before time.Time, carry func(file int) bool) {
	if !l.Intact() {
		return
	}
	for _, s := range slices.Clone(l.closed) {
		if !s.closedAt.Before(before) || !carry(s.number) {
			continue
		}
		if err := l.fs.Remove(s.path); err != nil {
			l.log.Warn("failed to remove ledger file", "file", s.path, "err", err)
			continue
		}
		l.log.Info("ledger file removed", "file", s.path, "closed_at", s.closedAt)
		l.closed = slices.DeleteFunc(l.closed, func(c segment) bool { return c.path == s.path })
	}
}

// Close closes the current file.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	return errors.Wrap(l.file.Close(), "close ledger file")
}
