package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestCutHeadIsTakenForWhole guards against an answer whose head breaks off, at any byte,
// and that is taken for a complete one with an empty or short body: after an interim
// response, with each framing, by a close, by a reset, and by an upstream that sends
// nothing more but stays connected.
func TestCutHeadIsTakenForWhole(t *testing.T) {
	const (
		interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
		head    = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nResponse-Signature: s\r\n"
		silence = 20 * time.Millisecond
	)
	framings := map[string]string{"length": "Content-Length: 2\r\n\r\n", "length 0": "Content-Length: 0\r\n\r\n", "chunks": "Transfer-Encoding: chunked\r\n\r\n", "none": "\r\n"}
	for name, framing := range framings {
		for _, end := range []string{"close", "reset", "silence"} {
			t.Run(name+"/"+end, func(t *testing.T) {
				whole := interim + head + framing
				var at atomic.Int32 // where the answer to the current request is cut
				address := startServer(t, func(_ int32, br *bufio.Reader, c net.Conn) {
					if _, ok := readRequest(br); !ok {
						return
					}
					_, _ = io.WriteString(c, whole[:at.Load()])
					switch end {
					case "reset":
						_ = c.(*net.TCPConn).SetLinger(0)
					case "silence":
						_, _ = br.ReadByte() // until the client closes
					}
				})
				p := NewPool()
				for cut := range len(whole) {
					at.Store(int32(cut))
					if end == "silence" && cut%7 != 0 && cut < len(whole)-3 {
						continue // each costs the time of the silence
					}
					ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
					req := &Request{Address: address, ID: "a", Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{}, Body: []byte("in")}
					if end == "silence" {
						req.HeadDeadline = time.Now().Add(silence)
					}
					resp, err := p.Do(ctx, req)
					if err == nil {
						body, berr := io.ReadAll(resp)
						t.Errorf("cut after %q: status %d, body %q, %v", whole[:cut], resp.Status, body, berr)
						resp.Finish()
					}
					cancel()
				}
			})
		}
	}
	t.Run("whole", func(t *testing.T) {
		address := startServer(t, func(_ int32, br *bufio.Reader, c net.Conn) {
			_, _ = readRequest(br)
			_, _ = fmt.Fprint(c, interim+head+framings["length"]+"ok")
		})
		if body, err := send(NewPool(), address, "a"); err != nil || strings.TrimSpace(body) != "ok" {
			t.Errorf("%q, %v", body, err)
		}
	})
}
