package membudget

import (
	"io"

	"github.com/pkg/errors"
)

const (
	// firstChunk and maxChunk are the sizes in bytes of the buffers for data of
	// unknown length; each is twice as large as the one before.
	firstChunk = 4 << 10
	maxChunk   = 64 << 10
)

// ErrTooLarge means that data exceeds the limit of one reader.
var ErrTooLarge = errors.New("data exceeds the size limit")

// ReadAll reads r to its end into memory that the hold accounts for before it
// is allocated. length is the announced length in bytes, or negative if there
// is none. The data comes in pieces, so that none is copied to grow.
func ReadAll(r io.Reader, length, limit int64, h *Reservation) ([][]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	if length >= 0 {
		return readKnown(r, int(length), h)
	}
	var pieces [][]byte
	var total int64
	for size := firstChunk; ; size = min(2*size, maxChunk) {
		piece, err := h.piece(size)
		if err != nil {
			return nil, err
		}
		n, err := fill(r, piece)
		if total += int64(n); total > limit {
			return nil, ErrTooLarge
		}
		if n > 0 {
			pieces = append(pieces, piece[:n])
		}
		if err == io.EOF {
			return pieces, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// fill reads until b is full and returns the reader's own error. Unlike
// io.ReadFull it does not report the end of the data as a broken answer.
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

// readKnown reads data of an announced length in growing pieces, since the
// announcement may be a lie.
func readKnown(r io.Reader, length int, h *Reservation) ([][]byte, error) {
	var pieces [][]byte
	for size := firstChunk; length > 0; size = min(2*size, maxChunk) {
		n := min(size, length)
		piece, err := h.piece(n)
		if err != nil {
			return nil, err
		}
		got, err := fill(r, piece)
		if err != nil && (err != io.EOF || got < n) {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		pieces = append(pieces, piece)
		length -= n
	}
	return pieces, atEnd(r)
}

// atEnd reads past the last byte, which a reader needs to see that its data is
// complete.
func atEnd(r io.Reader) error {
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

// Join returns the pieces as one slice; a single piece is not copied.
func Join(pieces [][]byte) []byte {
	if len(pieces) == 1 {
		return pieces[0]
	}
	size := 0
	for _, p := range pieces {
		size += len(p)
	}
	all := make([]byte, 0, size)
	for _, p := range pieces {
		all = append(all, p...)
	}
	return all
}
