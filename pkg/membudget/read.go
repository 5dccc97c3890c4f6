package membudget

import (
	"io"

	"github.com/pkg/errors"
)

const (
	// Data is read into buffers that grow from firstChunkBytes to maxChunkBytes,
	// each twice as large as the one before.
	firstChunkBytes = 4 << 10
	maxChunkBytes   = 64 << 10
)

// ErrTooLarge means that the data is longer than announced or than the limit of
// the call.
var ErrTooLarge = errors.New("data exceeds the size limit")

// ReadAll reads r until EOF. Memory is reserved in res before it is allocated.
// length is the announced length in bytes, or negative if there is none. The
// data is returned in chunks, which avoids copying it into ever larger buffers.
func ReadAll(r io.Reader, length, limit int64, res *Reservation) ([][]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	if length >= 0 {
		return readAnnounced(r, int(length), res)
	}
	var chunks [][]byte
	var total int64
	for size := firstChunkBytes; ; size = min(2*size, maxChunkBytes) {
		chunk, err := res.chunk(size)
		if err != nil {
			return nil, err
		}
		n, err := fill(r, chunk)
		if total += int64(n); total > limit {
			return nil, ErrTooLarge
		}
		if n > 0 {
			chunks = append(chunks, chunk[:n])
		}
		if err == io.EOF {
			return chunks, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// fill reads until b is full and returns the reader's own error. Unlike
// io.ReadFull it returns io.EOF, not io.ErrUnexpectedEOF, when the data ends
// within b: that is a regular end for data of unknown length.
func fill(r io.Reader, b []byte) (int, error) {
	n := 0
	for n < len(b) {
		m, err := r.Read(b[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// readAnnounced reads data of an announced length. It allocates growing chunks
// rather than the announced length at once, since less data may arrive.
func readAnnounced(r io.Reader, length int, res *Reservation) ([][]byte, error) {
	var chunks [][]byte
	for size := firstChunkBytes; length > 0; size = min(2*size, maxChunkBytes) {
		n := min(size, length)
		chunk, err := res.chunk(n)
		if err != nil {
			return nil, err
		}
		got, err := fill(r, chunk)
		if err != nil && (err != io.EOF || got < n) {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		chunks = append(chunks, chunk)
		length -= n
	}
	return chunks, expectEOF(r)
}

// expectEOF reads past the last announced byte: a reader only learns then that
// its data is complete. It returns ErrTooLarge if more data follows.
func expectEOF(r io.Reader) error {
	var b [1]byte
	switch n, err := r.Read(b[:]); {
	case n > 0:
		return ErrTooLarge
	case err == io.EOF:
		return nil
	default:
		return err
	}
}

// Join returns the chunks as one slice. A single chunk is returned without a
// copy.
func Join(chunks [][]byte) []byte {
	if len(chunks) == 1 {
		return chunks[0]
	}
	size := 0
	for _, p := range chunks {
		size += len(p)
	}
	all := make([]byte, 0, size)
	for _, p := range chunks {
		all = append(all, p...)
	}
	return all
}
