package edge

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxEvent bounds one event of a stream in bytes.
const maxEvent = 4 << 20

var errEventTooLarge = errors.New("event exceeds the size limit")

// event is one server-sent event.
type event struct {
	raw  []byte // as received, with the empty line at its end
	id   string // empty if the event has none
	data []byte // lines joined by line feeds
	has  bool   // the event has data
}

// eventReader splits a stream into whole events.
type eventReader struct{ r *bufio.Reader }

func newEventReader(r io.Reader) *eventReader { return &eventReader{r: bufio.NewReader(r)} }

// next returns the next whole event. At the end of the stream it returns what
// follows the last whole event, with the reader's error.
func (er *eventReader) next() (event, error) {
	var ev event
	for {
		line, err := er.r.ReadBytes('\n')
		ev.raw = append(ev.raw, line...)
		if err != nil {
			return ev, err
		}
		if len(ev.raw) > maxEvent {
			return ev, errEventTooLarge
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return ev, nil
		}
		ev.field(line)
	}
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
