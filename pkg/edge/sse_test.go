package edge

import (
	"bytes"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/membudget"
)

// TestEventReader guards against truncating an event at the end of a buffer, and
// against accepting one that exceeds the size limit.
func TestEventReader(t *testing.T) {
	long := "id: 1\ndata: " + strings.Repeat("x", 10000) + "\n\n"
	stream := long + ": comment\n\n" + "id: 2\r\ndata: a\r\ndata: b\r\n\r\n" + "rest"
	b := membudget.New(16 << 20)
	er := newEventReader(strings.NewReader(stream), b.Reservation("u", membudget.UpstreamShare))
	ev, err := er.next()
	if err != nil || string(ev.raw) != long || ev.id != "1" || len(ev.data) != 10000 || !ev.hasData {
		t.Fatalf("first event: id %q, %d bytes, %v", ev.id, len(ev.raw), err)
	}
	if ev, err = er.next(); err != nil || ev.hasData || ev.id != "" {
		t.Errorf("comment: %+v, %v", ev, err)
	}
	if ev, err = er.next(); err != nil || ev.id != "2" || string(ev.data) != "a\nb" {
		t.Errorf("second event: %+v, %v", ev, err)
	}
	if ev, err = er.next(); err == nil || string(ev.raw) != "rest" {
		t.Errorf("rest: %+v, %v", ev, err)
	}
	large := "data: " + strings.Repeat("x", maxEvent) + "\n\n"
	if _, err := newEventReader(strings.NewReader(large), b.Reservation("v", membudget.UpstreamShare)).next(); !errors.Is(err, errEventTooLarge) {
		t.Errorf("an event above the size limit: %v", err)
	}
}

// TestMalformedEvent guards against taking the head or the text of an error for an event, and
// against refusing events with fields that the format does not define (issue 32).
func TestMalformedEvent(t *testing.T) {
	for text, malformed := range map[string]bool{
		"id: 1\ndata: a\n\n":                       false,
		": comment\n\n":                            false,
		"\n":                                       false,
		"data\nid\n\n":                             false,
		"event: e\nretry: 5\ndata:a\n\n":           false,
		"weight-versions: 2\nid: 1\ndata: a\n\n":   false,
		"id: 1\nweight-versions: 2\ndata: a\n\n":   true,
		"error: failed\n\n":                        true,
		"HTTP/1.1 200 OK\r\nServer: x\r\n\r\n":     true,
		"Server: x\r\n\r\n":                        true,
		"id: 4\ndata: aHTTP/1.1 500 E\nx: y\n\n":   true,
		"id: 4\ndaHTTP/1.1 500 E\n\n":              true,
		"{\"error\": \"no\"}\n\n":                  true,
		"<html>\n\n":                               true,
		"upstream failed\n\n":                      true,
		"data: the line HTTP/1.1 500 of a log\n\n": false,
	} {
		b := membudget.New(16 << 20)
		ev, err := newEventReader(strings.NewReader(text), b.Reservation("u", membudget.UpstreamShare)).next()
		if err != nil || ev.malformed != malformed {
			t.Errorf("%q: malformed %v, %v", text, ev.malformed, err)
		}
	}
}

// FuzzEvents guards against losing or inventing bytes between an upstream and a
// caller, and against panics.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n: c\n\nid: 2\ndata: b\r\n\r\nrest"))
	f.Add([]byte("\n\n\ndata\nid\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		b := membudget.New(16 << 20)
		er := newEventReader(bytes.NewReader(data), b.Reservation("u", membudget.UpstreamShare))
		var all []byte
		for {
			ev, err := er.next()
			all = append(all, ev.raw...)
			if err != nil {
				break
			}
		}
		if len(data) < maxEvent && !bytes.Equal(all, data) {
			t.Errorf("%q became %q", data, all)
		}
	})
}
