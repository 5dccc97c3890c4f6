package ledger

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"sort"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

const (
	segmentPattern = "ledger-*.log"
	segmentFormat  = "ledger-%08d.log"
	// segmentBytes is the size at which a new file begins; it bounds the time
	// of a read at start and the space that expired records hold.
	segmentBytes = 16 << 20
	maxRecord    = 64 << 20 // bytes of one encoded record
	frameHeader  = 8        // bytes: length and checksum
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Log is the append-only file of a storage process. Each start begins a new
// file: the end of the one before may be torn by a loss of power, and what was
// synced always lies before the damage.
type Log struct {
	dir  string
	log  *slog.Logger
	file *os.File
	size int
	next int
	old  []segment
}

type segment struct {
	path     string
	lastUsed time.Time
}

// OpenLog reads all files of a folder through apply and begins a new one.
func OpenLog(dir string, logger *slog.Logger, now time.Time, apply func(*peerv1.LedgerRecord)) (*Log, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "create data folder")
	}
	paths, err := filepath.Glob(filepath.Join(dir, segmentPattern))
	if err != nil {
		return nil, errors.Wrap(err, "list ledger files")
	}
	sort.Strings(paths)
	l := &Log{dir: dir, log: logger}
	for _, path := range paths {
		n, err := readSegment(path, apply)
		if err != nil {
			logger.Warn("ledger file ends early", "file", path, "records", n, "err", err)
		}
		l.old = append(l.old, segment{path: path, lastUsed: now})
		var number int
		if _, err := fmt.Sscanf(filepath.Base(path), segmentFormat, &number); err == nil {
			l.next = max(l.next, number+1)
		}
	}
	return l, l.rotate(now)
}

// readSegment returns the number of records read and why it stopped before the
// end of the file.
func readSegment(path string, apply func(*peerv1.LedgerRecord)) (int, error) {
	f, err := os.Open(path)
	if err != nil {
		return 0, errors.Wrap(err, "open")
	}
	defer f.Close()
	r := bufio.NewReader(f)
	for n := 0; ; n++ {
		rec, err := readRecord(r)
		if err == io.EOF {
			return n, nil
		}
		if err != nil {
			return n, err
		}
		apply(rec)
	}
}

func readRecord(r io.Reader) (*peerv1.LedgerRecord, error) {
	var head [frameHeader]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	size := binary.LittleEndian.Uint32(head[:4])
	if size > maxRecord {
		return nil, errors.Errorf("record of %d bytes", size)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, errors.Wrap(err, "torn record")
	}
	// A hole of zero bytes must not pass as an empty record.
	if size == 0 || crc32.Checksum(data, castagnoli) != binary.LittleEndian.Uint32(head[4:]) {
		return nil, errors.New("wrong checksum")
	}
	rec := &peerv1.LedgerRecord{}
	return rec, errors.Wrap(proto.Unmarshal(data, rec), "decode record")
}

// Append writes records and returns after they are synced.
func (l *Log) Append(recs []*peerv1.LedgerRecord, now time.Time) error {
	if l.size >= segmentBytes {
		if err := l.rotate(now); err != nil {
			return err
		}
	}
	var buf []byte
	for _, rec := range recs {
		data, err := proto.Marshal(rec)
		if err != nil {
			return errors.Wrap(err, "encode record")
		}
		buf = binary.LittleEndian.AppendUint32(buf, uint32(len(data)))
		buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(data, castagnoli))
		buf = append(buf, data...)
	}
	if _, err := l.file.Write(buf); err != nil {
		return errors.Wrap(err, "write ledger file")
	}
	l.size += len(buf)
	return errors.Wrap(l.file.Sync(), "sync ledger file")
}

func (l *Log) rotate(now time.Time) error {
	path := filepath.Join(l.dir, fmt.Sprintf(segmentFormat, l.next))
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o644)
	if err != nil {
		return errors.Wrap(err, "create ledger file")
	}
	if l.file != nil {
		l.old = append(l.old, segment{path: l.file.Name(), lastUsed: now})
		if err := l.file.Close(); err != nil {
			l.log.Warn("closing a ledger file failed", "file", l.file.Name(), "err", err)
		}
	}
	l.file, l.size = f, 0
	l.next++
	return nil
}

// Trim removes files whose records are all older than the time.
func (l *Log) Trim(before time.Time) {
	kept := l.old[:0]
	for _, s := range l.old {
		if !s.lastUsed.Before(before) {
			kept = append(kept, s)
			continue
		}
		if err := os.Remove(s.path); err != nil {
			l.log.Warn("removing a ledger file failed", "file", s.path, "err", err)
			kept = append(kept, s)
		}
	}
	l.old = kept
}

// Close closes the current file.
func (l *Log) Close() error { return errors.Wrap(l.file.Close(), "close ledger file") }
