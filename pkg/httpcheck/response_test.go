package httpcheck

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

// TestValidFieldName guards against names other than the tokens of RFC 9110.
func TestValidFieldName(t *testing.T) {
	for _, name := range []string{"X", "x-y", "Content-Length", "!#$%&'*+-.^_`|~09az"} {
		if !ValidFieldName(name) {
			t.Errorf("%q is refused", name)
		}
	}
	for _, name := range []string{"", " ", "X Y", "X ", " X", "X\tY", "X\x00", "X\r", "X\x7f", "X:", "X(Y)", "Xü", "X\x80", "\"X\""} {
		if ValidFieldName(name) {
			t.Errorf("%q passes", name)
		}
	}
}

// TestResponse guards against a response with an invalid field that passes, in its head or at
// the end of its body, and against refusing one that only announces a trailer.
func TestResponse(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
	for _, c := range []struct {
		name, response string
		head, body     error // expected
	}{
		{"whole", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Y: a b\r\n\r\nok", nil, nil},
		{"blank in a name", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX Y: 1\r\n\r\nok", ErrFieldName, nil},
		{"blank after a name", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", ErrFieldName, nil},
		{"status", "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok", ErrStatus, nil},
		{"trailer", chunked + "\r\n2\r\nok\r\n0\r\nX-Y: 1\r\n\r\n", nil, nil},
		{"announced trailer that is missing", chunked + "Trailer: X Y\r\n\r\n2\r\nok\r\n0\r\n\r\n", nil, nil},
		{"blank in a trailer", chunked + "\r\n2\r\nok\r\n0\r\nX Y: 1\r\n\r\n", nil, ErrFieldName},
	} {
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(c.response)), nil)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		if err := Response(resp); !errors.Is(err, c.head) || IsInvalid(err) != (c.head != nil) {
			t.Errorf("%s: head: %v", c.name, err)
			continue
		}
		if c.head != nil {
			continue
		}
		if body, err := io.ReadAll(resp.Body); !errors.Is(err, c.body) || IsInvalid(err) != (c.body != nil) || string(body) != "ok" {
			t.Errorf("%s: body %q, %v", c.name, body, err)
		}
	}
}
