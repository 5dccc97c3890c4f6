package transport

import (
	"bufio"
	"encoding/binary"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

// pooledBuffer is the largest encoding buffer kept for reuse.
const pooledBuffer = 64 << 10

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 1024); return &b }}

func putBuffer(p *[]byte) {
	if cap(*p) <= pooledBuffer {
		buffers.Put(p)
	}
}

// WriteEnvelope writes the length as an unsigned varint and the encoded
// envelope in one Write. sent is false when nothing was passed to w.
func WriteEnvelope(w io.Writer, m *peerv1.Envelope) (sent bool, err error) {
	size := proto.Size(m)
	if size > MaxMessage {
		return false, ErrTooLarge
	}
	p := buffers.Get().(*[]byte)
	defer putBuffer(p)
	b := binary.AppendUvarint((*p)[:0], uint64(size))
	b, err = proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b, m)
	if err != nil {
		return false, err
	}
	*p = b
	_, err = w.Write(b)
	return true, err
}

// ReadEnvelope reads one envelope. It returns io.EOF only at a message
// boundary; an end inside a message is io.ErrUnexpectedEOF.
func ReadEnvelope(r *bufio.Reader) (*peerv1.Envelope, error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, err
	}
	if size > MaxMessage {
		return nil, ErrTooLarge
	}
	p := buffers.Get().(*[]byte)
	defer putBuffer(p)
	b, err := readSized(r, (*p)[:0], int(size))
	*p = b
	if err != nil {
		return nil, err
	}
	m := &peerv1.Envelope{}
	if err := proto.Unmarshal(b, m); err != nil {
		return nil, err
	}
	return m, nil
}

// readSized appends size bytes to b. It grows b only as data arrives, so that
// a false length does not allocate the whole size.
func readSized(r io.Reader, b []byte, size int) ([]byte, error) {
	for len(b) < size {
		n := min(size-len(b), max(cap(b)-len(b), pooledBuffer))
		have := len(b)
		if cap(b)-have < n {
			grown := make([]byte, have, max(2*cap(b), have+n))
			copy(grown, b)
			b = grown
		}
		if _, err := io.ReadFull(r, b[have:have+n]); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return b, err
		}
		b = b[:have+n]
	}
	return b, nil
}
