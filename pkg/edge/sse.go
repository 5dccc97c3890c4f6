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

var (
	errEventTooLarge  = errors.New("event exceeds the size limit")
	errMalformedEvent = errors.New("a line of the stream is not part of an event")
)

// event is one server-sent event.
type event struct {
	raw     []byte // as received, including the empty line at its end; valid until the next event is read
	id      string // empty if the event has no ID
	data    []byte // data lines joined by line feeds
	hasData bool

	hasField  bool // has a field that the format defines
	extended  bool // begins with fields that the format does not define
	malformed bool // has a line that belongs to no event
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
			ev.malformed = ev.malformed || ev.extended && !ev.hasField
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
	name, value, hasColon := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "": // a comment
		return
	case "id":
		ev.id = string(value)
	case "data":
		if ev.hasData {
			ev.data = append(ev.data, '\n')
		}
		ev.data = append(ev.data, value...)
		ev.hasData = true
	case "event", "retry":
	default:
		ev.otherField(name, hasColon)
		return
	}
	ev.hasField = true
}

// otherField records a line whose name the format does not define. Upstreams put such
// fields, with names in lowercase, first in their events. Anywhere else the line comes from
// something that is no event: a response head or the text of an error.
func (ev *event) otherField(name []byte, hasColon bool) {
	if !hasColon || ev.hasField || !isFieldName(name) {
		ev.malformed = true
		return
	}
	ev.extended = true
}

// isFieldName reports whether a name consists of lowercase letters, digits and hyphens.
func isFieldName(name []byte) bool {
	for _, b := range name {
		if (b < 'a' || b > 'z') && (b < '0' || b > '9') && b != '-' {
			return false
		}
	}
	return true
}
