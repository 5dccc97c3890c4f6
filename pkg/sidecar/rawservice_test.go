package sidecar

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/slowlink"
)

// startRawService starts a sidecar of a service that answers each call with bytes of its own
// on the connection, which is closed afterwards. The service reads the body of a call before
// it answers, or not at all; it is then on a slow link.
func startRawService(t *testing.T, readBody bool, answer func(c *net.TCPConn, req *http.Request)) *peer {
	t.Helper()
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
	if !readBody {
		ln, err := slowlink.Listen()
		if err != nil {
			t.Fatal(err)
		}
		_ = srv.Listener.Close()
		srv.Listener = ln
	}
	srv.Start()
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	return connect(t, startSidecar(t, Upstream{ID: "u1", Kind: core.KindService, Service: "orders", URL: srv.URL}, nil), roleEntry)
}
