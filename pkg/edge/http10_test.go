package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// callHTTP10 sends a request as HTTP/1.0, which has no chunks, and returns all bytes that come
// until the connection ends. The error is nil if it ends in good order.
func (p *process) callHTTP10(t *testing.T, path, id string) (string, error) {
	t.Helper()
	c, err := net.Dial("tcp", p.settings.CallerListen)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	fmt.Fprintf(c, "POST %s HTTP/1.0\r\nHost: h.example\r\nAttempt-Id: %s\r\nContent-Length: 2\r\n\r\nin", path, id)
	b, err := io.ReadAll(c)
	return string(b), err
}

// TestBrokenAnswerToHTTP10 guards against an answer without a length that is broken off and
// ends, for a caller of HTTP/1.0, as a complete one does.
func TestBrokenAnswerToHTTP10(t *testing.T) {
	t.Parallel()
	p := startUnsafe(t, time.Second, func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		switch id := req.Header.Get("Attempt-Id"); {
		case req.Header.Get("Last-Event-Id") != "": // no upstream continues a stream that was broken off
			cut(w)
		case strings.HasPrefix(id, "broken"):
			events(w, req, 1, 2)
			time.Sleep(50 * time.Millisecond) // the events are passed on
			cut(w)
		case strings.HasPrefix(id, "stopped"):
			events(w, req, 1, 2)
			<-req.Context().Done()
		default:
			events(w, req, 1, 2)
		}
	})
	for _, path := range []string{"/unsafe/1", "/resumable/1"} {
		for try := range 3 {
			got, err := p.callHTTP10(t, path, fmt.Sprintf("broken%s%d", path, try))
			if err == nil && !strings.Contains(got, " 502 ") {
				t.Errorf("%s: the caller got a complete answer: %q", path, got)
			}
			got, err = p.callHTTP10(t, path, fmt.Sprintf("whole%s%d", path, try))
			if err != nil || eventIDs(got) != "1 2" {
				t.Errorf("%s: a whole answer: %q, %v", path, got, err)
			}
		}
	}
	type end struct {
		path, got string
		err       error
	}
	ends := make(chan end)
	for _, path := range []string{"/unsafe/1", "/resumable/1"} {
		go func() {
			got, err := p.callHTTP10(t, path, "stopped"+path)
			ends <- end{path, got, err}
		}()
	}
	time.Sleep(200 * time.Millisecond)
	p.cancel()
	for range 2 {
		if e := <-ends; e.err == nil && !strings.Contains(e.got, " 502 ") {
			t.Errorf("%s: at a stop, the caller got a complete answer: %q", e.path, e.got)
		}
	}
}
