package edge

import (
	"bufio"
	"bytes"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/membudget"
)

// maxEvent limits the size of one event of a stream in bytes.
const maxEvent = 256 << 10

var errEventTooLarge = errors.New("event exceeds the size limit")

// event is one server-sent event.
type event struct {
	raw     []byte // as received, including the empty line at its end; valid until the next event is read
	id      string // empty if the event has no ID
	data    []byte // data lines joined by line feeds
	hasData bool
}

// eventReader splits a stream into complete events.
type eventReader struct {
	r         *bufio.Reader
	raw       *[]byte // buffer for one event
	hold      *membudget.Reservation
	accounted int // size of the longest event so far, which hold accounts for
}

// eventBuffers are reused to reduce garbage.
var eventBuffers = sync.Pool{New: func() any { return new([]byte) }}

func newEventReader(r io.Reader, hold *membudget.Reservation) *eventReader {
	return &eventReader{r: bufio.NewReader(r), raw: eventBuffers.Get().(*[]byte), hold: hold}
}

// close releases the buffer; the last event must not be used afterwards.
func (er *eventReader) close() { eventBuffers.Put(er.raw) }

// next returns the next complete event. At the end of the stream it returns the bytes
// after the last complete event together with the reader's error.
func (er *eventReader) next() (event, error) {
	ev := event{raw: (*er.raw)[:0]}
	defer func() { *er.raw = ev.raw }() // append may have grown it
	line := 0                           // start of the current line
	for {
		part, err := er.r.ReadSlice('\n')
		if aerr := er.reserve(len(ev.raw) + len(part)); aerr != nil {
			return ev, aerr
		}
		ev.raw = append(ev.raw, part...)
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			return ev, err
		}
		content := bytes.TrimRight(ev.raw[line:], "\r\n")
		if len(content) == 0 {
			return ev, nil
		}
		ev.field(content)
		line = len(ev.raw)
	}
}

// reserve accounts for the memory of an event before it is used.
func (er *eventReader) reserve(size int) error {
	if size > maxEvent {
		return errEventTooLarge
	}
	if size <= er.accounted {
		return nil
	}
	if err := er.hold.Grow(size - er.accounted); err != nil {
		return err
	}
	er.accounted = size
	return nil
}

func (ev *event) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "id":
		ev.id = string(value)
	case "data":
		if ev.hasData {
			ev.data = append(ev.data, '\n')
		}
		ev.data = append(ev.data, value...)
		ev.hasData = true
	}
}
