package edge

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
)

// TestInvalidStatus guards against a status that is not HTTP and reaches the caller with the
// signature of the upstream, or that counts as not run: whole answers and streams, with a
// header that says so and without.
func TestInvalidStatus(t *testing.T) {
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	d.route(clone(resumable))
	var status atomic.Value
	var attempts atomic.Int32
	answer := func(w http.ResponseWriter, req *http.Request) {
		attempts.Add(1)
		_, _ = io.Copy(io.Discard, req.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		fmt.Fprintf(c, "HTTP/1.1 %s\r\nAttempt-Id: %s\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\nContent-Length: 21\r\n\r\nid: 1\ndata: word1\n\n\n\n", status.Load(), req.Header.Get("Attempt-Id"))
	}
	for i, service := range []string{"app", "app", "llm"} {
		d.upstream(fmt.Sprint("u", i), service, answer)
	}
	p := d.edge("127.0.0.1")
	p.ready(t, 3, 0)
	for _, s := range []string{"000 X", "099 X", "600 X", "999 X", "000 X\r\nNot-Executed: 1", "600 X\r\nNot-Executed: 1", "999 X\r\nNot-Executed: 1"} {
		for _, path := range []string{"/unsafe/1", "/resumable/1"} {
			status.Store(s)
			attempts.Store(0)
			a := p.call(t, "POST", path, "in", map[string]string{"Attempt-Id": fmt.Sprint(path, s[:3], len(s))})
			if a.err != nil || a.status != http.StatusBadGateway || a.header.Get("Response-Signature") != "" || path == "/unsafe/1" && attempts.Load() != 1 {
				t.Errorf("%q on %s: %d attempts, %+v", s, path, attempts.Load(), a)
			}
		}
	}
}
