package upstream

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

// TestRunIsChecked guards against sending a request that is for one run of an upstream to
// another one, against losing it at upstreams that do not say which run they are, and against
// asking again on a kept connection (issue 32).
func TestRunIsChecked(t *testing.T) {
	const want = 7
	for name, c := range map[string]struct {
		state    http.HandlerFunc
		runs     int32 // of two requests
		asked    int32
		otherRun bool
	}{
		"same run":     {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"born":7}`) }, 2, 1, false},
		"other run":    {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"born":8}`) }, 0, 2, true},
		"does not say": {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"Busy":false}`) }, 2, 1, false},
		"no such path": {http.NotFound, 2, 1, false},
		"not JSON":     {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "<html>") }, 2, 1, false},
		"not a start":  {func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"born":-1}`) }, 2, 1, false},
		"closes afterwards": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			fmt.Fprint(w, `{"born":7}`)
		}, 2, 1, false},
		"breaks off": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 0, 2, false},
		"is silent":  {func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, 0, 2, false},
		"answers another request": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Attempt-Id", "late")
			fmt.Fprint(w, `{"born":7}`)
		}, 0, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			var runs, asked atomic.Int32
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == platform.UpstreamStatePath {
					asked.Add(1)
					c.state(w, r)
					return
				}
				runs.Add(1)
				w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
				fmt.Fprint(w, "ok")
			}))
			defer srv.Close()
			defer srv.CloseClientConnections()
			p := NewPool()
			for i := range 2 {
				id := fmt.Sprint("r", i)
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				resp, err := p.Do(ctx, &Request{
					Address: strings.TrimPrefix(srv.URL, "http://"), ID: id, Method: "GET", URI: "/x", Host: "h",
					Header: http.Header{"Attempt-Id": {id}}, Run: want,
				})
				if err == nil {
					buf := make([]byte, 16)
					for err == nil {
						_, err = resp.Read(buf)
					}
					resp.Finish()
					cancel()
					continue
				}
				cancel()
				var ue *Error
				var other *OtherRunError
				if !errors.As(err, &ue) || ue.Sent {
					t.Errorf("the request counts as sent: %v", err)
				}
				if errors.As(err, &other) != c.otherRun {
					t.Errorf("other run: %v", err)
				}
			}
			if runs.Load() != c.runs || asked.Load() != c.asked {
				t.Errorf("%d requests and %d questions, want %d and %d", runs.Load(), asked.Load(), c.runs, c.asked)
			}
		})
	}
}
