package quickstart

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// lateCall sends a request on a connection and reads the answer.
func lateCall(c net.Conn, path, body string, headers ...string) (response, error) {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: entry\r\nYucca-Caller: lango\r\nContent-Length: %d\r\n", path, len(body))
	for i := 0; i+1 < len(headers); i += 2 {
		head += headers[i] + ": " + headers[i+1] + "\r\n"
	}
	if _, err := io.WriteString(c, head+"\r\n"+body); err != nil {
		return response{}, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(out)}, err
}

// Guards invariant 9 (graceful stops cut off no request) against calls that come late in
// the stop of an entry, on connections opened before it: they are answered whole, or
// refused as not run.
func TestLateCallsInStopOfEntry(t *testing.T) {
	t.Parallel()
	for _, entries := range [][]string{{"entry-1"}, {"entry-1", "entry-2"}} {
		t.Run(fmt.Sprintf("%d entries", len(entries)), func(t *testing.T) {
			t.Parallel()
			d := startSmall(t, entries...)
			program := open(t, d, "entry-1", "open-1")
			calls := []struct {
				name, path, body string
				headers          []string
			}{
				{"stream", "/v1/chat/completions", `{"model":"m","max_tokens":1000,"stream":true,"standin_output_tokens":1000,"messages":[{"role":"user","content":"late"}]}`, nil},
				{"whole", "/v1/chat/completions", `{"model":"m","max_tokens":1000,"standin_output_tokens":1000,"messages":[{"role":"user","content":"late"}]}`, nil},
				{"booking", "/v1/services/bookings/book", `{"technician":"asha"}`, []string{"Idempotency-Key", "late"}},
			}
			address := d.Entry("entry-1").HTTPAddr()
			var wg sync.WaitGroup
			wg.Go(func() {
				r := post(t, d, "entry-1", "/v1/chat/completions",
					`{"model":"m","max_tokens":1000,"stream":true,"standin_output_tokens":1000,"messages":[{"role":"user","content":"early"}]}`, "Yucca-Program", program)
				if !strings.HasSuffix(r.body, "data: [DONE]\n\n") {
					t.Errorf("the call from before the stop was cut: %d, ends with %q", r.status, tail(r.body))
				}
			})
			time.Sleep(300 * time.Millisecond)
			for _, c := range calls {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					t.Fatal(err)
				}
				wg.Go(func() {
					defer conn.Close()
					time.Sleep(time.Second)
					r, err := lateCall(conn, c.path, c.body, append(c.headers, "Yucca-Program", program)...)
					refused := r.status == http.StatusServiceUnavailable && strings.Contains(r.body, `"ran":"`+string(core.RanNo)+`"`)
					whole := r.status == http.StatusOK && (c.name != "stream" || strings.HasSuffix(r.body, "data: [DONE]\n\n"))
					if err != nil || !refused && !whole {
						t.Errorf("%s: %v, %d, ends with %q", c.name, err, r.status, tail(r.body))
					}
					if c.name == "booking" {
						keys := 0
						if whole {
							keys = 1
						}
						mustRunOnce(t, d, keys)
					}
				})
			}
			time.Sleep(200 * time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), 40*time.Second)
			defer cancel()
			if err := d.StopEntry(ctx, "entry-1"); err != nil {
				t.Errorf("stop: %v", err)
			}
			wg.Wait()
		})
	}
}
