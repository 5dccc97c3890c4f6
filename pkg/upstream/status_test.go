package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"testing"
)

// Guards against a status that is not HTTP and that passes for an answer, or for the answer to
// a question for the upstream's run.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		address := startServer(t, func(_ int32, br *bufio.Reader, c net.Conn) {
			for {
				if _, ok := readRequest(br); !ok {
					return
				}
				fmt.Fprintf(c, "HTTP/1.1 %s X\r\nContent-Length: 2\r\n\r\nok", status)
			}
		})
		if body, err := send(NewPool(), address, "a"); !IsInvalidResponse(err) {
			t.Errorf("%s: body %q, %v", status, body, err)
		}
		if start, err := NewPool().AskRun(context.Background(), address, 0); !IsInvalidResponse(err) {
			t.Errorf("%s: run %d, %v", status, start, err)
		}
	}
}
