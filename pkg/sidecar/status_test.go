package sidecar

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// Guards against a status of a service that is not HTTP and is passed on as its answer.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []int{600, 999} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if req.Method != http.MethodPost {
				_, _ = w.Write([]byte("{}"))
				return
			}
			w.WriteHeader(status)
		}))
		defer srv.Close()
		p := connect(t, startSidecar(t, Upstream{ID: "u1", Kind: core.KindService, Service: "orders", URL: srv.URL}, nil), roleEntry)
		id := fmt.Sprint("a", status)
		if r := receive(p.dispatch(book(id, "k"+id))); r.done != nil || r.failed == nil || r.failed.Ran == string(core.RanNo) {
			t.Errorf("status %d: %+v, failed %+v", status, r, r.failed)
		}
	}
}
