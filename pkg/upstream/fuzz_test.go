package upstream

import (
	"bufio"
	"bytes"
	"io"
	"maps"
	"net/http"
	"slices"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/httpcheck"
)

// FuzzReadHead guards against input that makes the parser panic, against a head that is read
// beyond its limit, and against fields with invalid names.
func FuzzReadHead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 101 Switching Protocols\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX Y: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX : 1\r\n\r\n"))
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
		if resp == nil {
			return
		}
		names := slices.Collect(maps.Keys(resp.Header))
		if _, err := io.Copy(io.Discard, resp.Body); err == nil {
			names = slices.AppendSeq(names, maps.Keys(resp.Trailer))
		}
		for _, name := range names {
			if !httpcheck.ValidFieldName(name) && len(resp.Header[name])+len(resp.Trailer[name]) > 0 {
				t.Errorf("got a field with the name %q", name)
			}
		}
	})
}
