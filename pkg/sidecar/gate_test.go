package sidecar

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// TestGateBeforeHead guards against the head of a call that reaches the upstream before the
// call has the permission to be sent. An answer to the head alone would then count as one to a
// call that has not run.
func TestGateBeforeHead(t *testing.T) {
	for name, refusal := range map[string]error{"permitted": nil, "refused": errors.New("fenced")} {
		for _, size := range []int{0, 2, 64 << 10} {
			var permitted, seen, early atomic.Bool
			srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
				seen.Store(true)
				early.Store(!permitted.Load())
			}))
			u := newUpstream(Config{Upstream: Upstream{URL: srv.URL}})
			for client, c := range map[string]*http.Client{"pooled": u.pooled, "fresh": u.fresh} {
				permitted.Store(false)
				seen.Store(false)
				req, err := u.post(context.Background(), "/op", []byte(strings.Repeat("x", size)), func() error {
					time.Sleep(20 * time.Millisecond) // the upstream has time to answer
					permitted.Store(refusal == nil)
					return refusal
				})
				if err != nil {
					t.Fatal(err)
				}
				res, err := c.Do(req)
				if err == nil {
					_ = res.Body.Close()
				}
				if (err == nil) != (refusal == nil) || seen.Load() != (refusal == nil) || early.Load() {
					t.Errorf("%s, %d bytes, %s: %v, seen %v, before the permission %v", name, size, client, err, seen.Load(), early.Load())
				}
			}
			u.close()
			srv.Close()
		}
	}
}
