package upstream

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

// TestTimeLeftIsThatOfTheWrite guards against giving an upstream the time that was left
// before the connection was there (issue 35): the new connection and the question for the
// run, which is answered late, take a part of it.
func TestTimeLeftIsThatOfTheWrite(t *testing.T) {
	const delay = runCheckTimeout / 2
	got := make(chan string, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == platform.UpstreamStatePath {
			time.Sleep(delay)
			fmt.Fprint(w, `{"born":7}`)
			return
		}
		got <- r.Header.Get("Deadline-Ms")
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	}))
	defer srv.Close()
	defer srv.CloseClientConnections()
	deadline := time.Now().Add(5 * time.Second)
	ctx, cancel := context.WithDeadline(t.Context(), deadline)
	defer cancel()
	req := &Request{
		Address: strings.TrimPrefix(srv.URL, "http://"), ID: "r", Method: "GET", URI: "/x", Host: "h", Run: 7,
		Header: platform.ForwardHeader(http.Header{"Attempt-Id": {"r"}, "Deadline-Ms": {"5000"}}, platform.ForwardOptions{UpstreamID: "u"}),
	}
	resp, err := NewPool().Do(ctx, req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Finish()
	given, err := strconv.Atoi(<-got)
	if left := deadline.Sub(req.WrittenAt()); err != nil || given <= 0 || time.Duration(given)*time.Millisecond > left {
		t.Errorf("the upstream was given %d ms (%v), %v were left", given, err, left)
	}
}

// TestNothingIsSentAfterTheDeadline guards against a request that reaches an upstream with
// the caller's own time because none is left.
func TestNothingIsSentAfterTheDeadline(t *testing.T) {
	ran := make(chan string, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { ran <- r.Header.Get("Deadline-Ms") }))
	defer srv.Close()
	p := NewPool()
	address := strings.TrimPrefix(srv.URL, "http://")
	if err := p.Probe(t.Context(), address, 0, true); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Millisecond))
	defer cancel()
	_, err := p.Do(ctx, &Request{Address: address, ID: "r", Method: "GET", URI: "/x", Host: "h", Header: http.Header{"Deadline-Ms": {"5000"}}})
	var ue *Error
	if !errors.As(err, &ue) || ue.Sent {
		t.Errorf("error %v, want one of a request that was not sent", err)
	}
	srv.Close() // waits for requests under way
	select {
	case v := <-ran:
		t.Errorf("the request ran and was given %q ms", v)
	default:
	}
}

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

// TestRunIsAskedOnce guards against a question for the run of an upstream on each new
// connection, which is billed, and against an answer that is kept after the run has ended.
func TestRunIsAskedOnce(t *testing.T) {
	var asked, born atomic.Int64
	born.Store(7)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == platform.UpstreamStatePath {
			asked.Add(1)
			fmt.Fprintf(w, `{"born":%d}`, born.Load())
			return
		}
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	}))
	defer srv.Close()
	defer srv.CloseClientConnections()
	p := NewPool()
	do := func(id string) (*Response, error) {
		return p.Do(t.Context(), &Request{
			Address: strings.TrimPrefix(srv.URL, "http://"), ID: id, Method: "GET", URI: "/x", Host: "h", Run: 7, Header: http.Header{"Attempt-Id": {id}},
		})
	}
	var open []*Response
	for _, id := range []string{"a", "b", "c"} { // each on a connection of its own
		resp, err := do(id)
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, resp)
	}
	if asked.Load() != 1 {
		t.Errorf("the upstream was asked %d times for its run, want once", asked.Load())
	}
	born.Store(8) // it starts again: all connections end
	for _, resp := range open {
		resp.Finish()
	}
	p.CloseAllIdle()
	var other *OtherRunError
	if _, err := do("d"); !errors.As(err, &other) {
		t.Errorf("a request for the run of before: %v, want an OtherRunError", err)
	}
}
