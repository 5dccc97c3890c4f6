package edge

import (
	"bufio"
	"bytes"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/membudget"
)

// maxEvent bounds one event of a stream in bytes.
const maxEvent = 256 << 10

var errEventTooLarge = errors.New("event exceeds the size limit")

// event is one server-sent event.
type event struct {
	raw  []byte // as received, with the empty line at its end; until the next one
	id   string // empty if the event has none
	data []byte // lines joined by line feeds
	has  bool   // the event has data
}

// eventReader splits a stream into whole events.
type eventReader struct {
	r    *bufio.Reader
	raw  *[]byte // memory for one event
	hold *membudget.Reservation
	held int // bytes of the longest event so far, which hold accounts for
}

// eventBuffers are used again, so that a stream leaves little to the collector.
var eventBuffers = sync.Pool{New: func() any { return new([]byte) }}

func newEventReader(r io.Reader, hold *membudget.Reservation) *eventReader {
	return &eventReader{r: bufio.NewReader(r), raw: eventBuffers.Get().(*[]byte), hold: hold}
}

// close ends the use of the last event.
func (er *eventReader) close() { eventBuffers.Put(er.raw) }

// next returns the next whole event. At the end of the stream it returns what
// follows the last whole event, with the reader's error.
func (er *eventReader) next() (event, error) {
	ev := event{raw: (*er.raw)[:0]}
	defer func() { *er.raw = ev.raw }() // it may have grown
	line := 0                           // where the present line begins
	for {
		part, err := er.r.ReadSlice('\n')
		if aerr := er.account(len(ev.raw) + len(part)); aerr != nil {
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

// account reserves the memory of an event before it is taken.
func (er *eventReader) account(size int) error {
	if size > maxEvent {
		return errEventTooLarge
	}
	if size <= er.held {
		return nil
	}
	if err := er.hold.Grow(size - er.held); err != nil {
		return err
	}
	er.held = size
	return nil
}

func (ev *event) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "id":
		ev.id = string(value)
	case "data":
		if ev.has {
			ev.data = append(ev.data, '\n')
		}
		ev.data = append(ev.data, value...)
		ev.has = true
	}
}
