package sidecar

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// slowLinkBuffer is the receive buffer in bytes of a service that reads no body, so that
// writing a long call blocks as on a slow link.
const slowLinkBuffer = 4096

// startRawService starts a sidecar of a service that answers each call with bytes of its own
// on the connection, which is closed afterwards. The service reads the body of a call before
// it answers, or not at all.
func startRawService(t *testing.T, readBody bool, answer func(c *net.TCPConn, req *http.Request)) *peer {
	t.Helper()
	limit := func(_, _ string, c syscall.RawConn) (err error) {
		if readBody {
			return nil
		}
		cerr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowLinkBuffer)
		})
		if cerr != nil {
			return cerr
		}
		return err
	}
	ln, err := (&net.ListenConfig{Control: limit}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method != http.MethodPost {
			_, _ = io.WriteString(w, "{}")
			return
		}
		if readBody {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		answer(c.(*net.TCPConn), req)
	}))
	_ = srv.Listener.Close()
	srv.Listener = ln
	srv.Start()
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	return connect(t, startSidecar(t, Upstream{ID: "u1", Kind: core.KindService, Service: "orders", URL: srv.URL}, nil), roleEntry)
}
