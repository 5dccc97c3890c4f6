package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// cutAnswers returns answers that stop in the middle of their head, after an interim
// response, inside it, or before the end of the body.
func cutAnswers() map[string]string {
	const (
		interim = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
		head    = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		full    = head + "Content-Length: 20\r\n"
	)
	list := map[string]string{
		"nothing":                    "",
		"inside an interim response": interim[:len(interim)-8],
		"after an interim response":  interim,
		"switch of protocols":        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
		"after the head":             full + "\r\n",
		"a part of the body":         full + "\r\n{\"a\":",
		"head with chunks":           head + "Transfer-Encoding: chunked\r\n\r\n",
		"before the last chunk":      head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
		"inside the last chunk":      head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n",
	}
	for i := 1; i < len(full); i += len(full) / 6 {
		list[fmt.Sprintf("head after %d bytes", i)] = full[:i]
		list[fmt.Sprintf("head after an interim response and %d bytes", i)] = interim + full[:i]
	}
	return list
}

// TestHeadCut guards against an answer that counts as whole, or as not run, though the
// service stopped in the middle of its head or lacks a part of its body (issue 32).
func TestHeadCut(t *testing.T) {
	for _, end := range []string{"closed", "reset", "stays open"} {
		for name, answer := range cutAnswers() {
			t.Run(name+", "+end, func(t *testing.T) {
				t.Parallel()
				srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.Method != http.MethodPost {
						_, _ = io.WriteString(w, "{}")
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					c, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						return
					}
					defer c.Close()
					_, _ = io.WriteString(c, answer)
					switch tcp, ok := c.(*net.TCPConn); {
					case end == "reset" && ok:
						time.Sleep(20 * time.Millisecond) // the bytes arrive before the reset
						_ = tcp.SetLinger(0)
					case end == "stays open":
						_, _ = io.Copy(io.Discard, c) // until the sidecar closes the connection
					}
				}))
				t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
				s := startSidecar(t, Upstream{ID: "u1", Kind: core.KindService, Service: "orders", URL: srv.URL}, nil)
				p := connect(t, s, "entry")
				for _, nonIdempotent := range []bool{false, true} {
					e := receive(p.dispatch(&peerv1.Dispatch{
						Attempt: fmt.Sprint("a", nonIdempotent), Program: "p", Kind: string(core.KindService), Service: "orders", Operation: "book",
						Slot: 3, Epoch: 1, SidecarIncarnation: "s.1", NonIdempotent: nonIdempotent, DeadlineMs: 400, Body: []byte("{}"),
					}))
					if e.done != nil || e.failed == nil || e.failed.Ran == string(core.RanNo) || !e.started {
						t.Errorf("non-idempotent %v: %+v", nonIdempotent, e)
					}
				}
			})
		}
	}
}
