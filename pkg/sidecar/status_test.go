package sidecar

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// Guards against a status of a service that is not HTTP and is passed on as its answer.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		p := startRawService(t, true, func(c *net.TCPConn, req *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 %s X\r\nX-Request-Id: %s\r\nContent-Length: 2\r\n\r\n{}", status, req.Header.Get("X-Request-Id"))
		})
		id := "a" + status
		if r := receive(p.dispatch(book(id, "k"+id))); r.done != nil || r.failed == nil || r.failed.Ran == string(core.RanNo) {
			t.Errorf("status %s: %+v, failed %+v", status, r, r.failed)
		}
	}
}

// Guards against a status that is not HTTP in the outcome that a service tells by the key of a
// call, and that is passed on as the status of the lost answer.
func TestInvalidStatusOfOutcome(t *testing.T) {
	for _, status := range []int{-1, 0, 20, 99, 600, 999} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if req.Method == http.MethodPost {
				panic(http.ErrAbortHandler) // the answer is lost
			}
			fmt.Fprintf(w, `{"status":%d,"body":{}}`, status)
		}))
		defer srv.Close()
		u := Upstream{ID: "u1", Kind: core.KindService, Service: "orders", URL: srv.URL, OutcomeByKey: true}
		p := connect(t, startSidecar(t, u, nil), roleEntry)
		id := fmt.Sprint("a", status)
		if r := receive(p.dispatch(book(id, "k"+id))); r.done != nil || r.failed == nil || r.failed.Ran == string(core.RanNo) {
			t.Errorf("status %d: %+v, failed %+v", status, r, r.failed)
		}
		if o := p.resolve(id, "k"+id); o.GetDone() != nil {
			t.Errorf("status %d: outcome %v", status, o)
		}
	}
}
