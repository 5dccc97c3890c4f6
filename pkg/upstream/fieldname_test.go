package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
)

// TestInvalidFieldName guards against a blank in the name of a field that passes in an answer, or
// in the answer to the question for the upstream's run, whose body may then be another one.
func TestInvalidFieldName(t *testing.T) {
	const head, body = "HTTP/1.1 200 OK\r\n", `{"born":7}`
	for name, answer := range map[string]string{
		"head":                head + "X Y: 1\r\nContent-Length: 10\r\n\r\n" + body,
		"length with a blank": head + "Content-Length : 10\r\nConnection: close\r\n\r\n" + body,
		"chunks with a blank": head + "Transfer-Encoding : chunked\r\n\r\na\r\n" + body + "\r\n0\r\n\r\n",
		"trailer":             head + "Transfer-Encoding: chunked\r\n\r\na\r\n" + body + "\r\n0\r\nX Y: 1\r\n\r\n",
		"interim response":    "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\n" + head + "Content-Length: 10\r\n\r\n" + body,
	} {
		address := startServer(t, func(_ int32, br *bufio.Reader, c net.Conn) {
			if _, ok := readRequest(br); ok {
				_, _ = io.WriteString(c, answer)
			}
		})
		if got, err := send(NewPool(), address, "a"); !IsInvalidResponse(err) {
			t.Errorf("%s: body %q, %v", name, got, err)
		}
		if start, err := NewPool().AskRun(context.Background(), address, 0); !IsInvalidResponse(err) {
			t.Errorf("%s: run %d, %v", name, start, err)
		}
	}
}
