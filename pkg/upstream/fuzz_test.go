package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
)

// FuzzReadHead guards against input that makes the parser panic, and against a
// head that is read beyond its limit.
func FuzzReadHead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 101 Switching Protocols\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		limiter := &headLimitReader{r: bytes.NewReader(data)}
		c := &conn{limiter: limiter, br: bufio.NewReaderSize(limiter, readBufferBytes)}
		resp, err := c.readHead(http.MethodPost)
		if (resp == nil) == (err == nil) {
			t.Fatalf("got response %v and error %v, want exactly one of them", resp, err)
		}
		if err == nil && resp.StatusCode < 200 {
			t.Errorf("got interim status %d, want a final one", resp.StatusCode)
		}
		if resp != nil {
			_, _ = io.Copy(io.Discard, resp.Body)
		}
	})
}
