package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/standin/slowlink"
)

const (
	// longUpload and shortUpload are sizes of request bodies in bytes; neither fits into
	// the buffers of a connection to an upstream with a slow link.
	longUpload  = 3 << 20
	shortUpload = 200 << 10
)

// slowUpstream registers an upstream on a slow link.
func (d *deployment) slowUpstream(id, service string, h http.HandlerFunc) {
	d.t.Helper()
	ln, err := slowlink.Listen()
	if err != nil {
		d.t.Fatal(err)
	}
	srv := httptest.NewUnstartedServer(withState(func() int64 { return 0 }, h))
	_ = srv.Listener.Close()
	srv.Listener = ln
	srv.Start()
	d.t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	d.register(id, service, strings.TrimPrefix(srv.URL, "http://"), "ready")
}

// uploadRoutes are the routes that early answers are tried on.
var uploadRoutes = []string{"/safe/1", "/unsafe/1", "/resumable/1"}

func (d *deployment) routeUploads() {
	for _, r := range []map[string]any{safeRoute, unsafeRoute, resumable} {
		d.route(clone(r))
	}
}

// answerBeforeBody hijacks the connection of a request whose body is not read and writes
// the head of an answer without a length, and a part of its body.
func answerBeforeBody(w http.ResponseWriter, req *http.Request, body string) *net.TCPConn {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n%s", req.Header.Get("Attempt-Id"), body)
	return c.(*net.TCPConn)
}

// TestEarlyAnswerWithReset guards against an answer without a length that is reset while its
// request is still being written and that reaches the caller as a complete one: the write
// takes the error of the reset, and the reader sees the end of the connection (issue 62).
func TestEarlyAnswerWithReset(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.routeUploads()
	var mu sync.Mutex
	received := make(map[string]int) // requests by id
	var after sync.Map               // pause before the reset, by id
	h := func(w http.ResponseWriter, req *http.Request) {
		id := req.Header.Get("Attempt-Id")
		mu.Lock()
		received[id]++
		mu.Unlock()
		c := answerBeforeBody(w, req, "id: 1\ndata: word1\n\n")
		if c == nil {
			return
		}
		pause, _ := after.Load(id)
		time.Sleep(pause.(time.Duration))
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	for i, service := range []string{"app", "app", "llm", "llm"} {
		d.slowUpstream(fmt.Sprint("u", i), service, h)
	}
	p := d.edge("127.0.0.1")
	p.ready(t, 4, 0)
	for _, path := range uploadRoutes {
		for _, size := range []int{longUpload, shortUpload} {
			for _, pause := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
				for try := range 3 {
					id := fmt.Sprintf("%s, %d bytes, reset after %v, try %d", path, size, pause, try)
					after.Store(id, pause)
					a := p.call(t, "POST", path, strings.Repeat("x", size), map[string]string{"Attempt-Id": id})
					if a.err == nil && a.status != http.StatusBadGateway {
						t.Errorf("%s: the caller got a complete answer with status %d and body %q", id, a.status, a.body)
					}
					mu.Lock()
					n := received[id]
					mu.Unlock()
					if n == 0 || path == "/unsafe/1" && n > 1 {
						t.Errorf("%s: %d requests reached an upstream", id, n)
					}
				}
			}
		}
	}
}

// TestEarlyAnswerWithResetIsContinued guards against events of an early answer that was reset
// and that are lost, or delivered twice, when another upstream continues the stream.
func TestEarlyAnswerWithResetIsContinued(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.routeUploads()
	var mu sync.Mutex
	lastIDs := make(map[string][]string) // Last-Event-Id of the requests, by id
	h := func(w http.ResponseWriter, req *http.Request) {
		id := req.Header.Get("Attempt-Id")
		mu.Lock()
		lastIDs[id] = append(lastIDs[id], req.Header.Get("Last-Event-Id"))
		first := len(lastIDs[id]) == 1
		mu.Unlock()
		if !first {
			_, _ = io.Copy(io.Discard, req.Body)
			events(w, req, 3, 4)
			return
		}
		if c := answerBeforeBody(w, req, "id: 1\ndata: word1\n\nid: 2\ndata: word2\n\n"); c != nil {
			time.Sleep(5 * time.Millisecond) // the events arrive before the reset
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	}
	d.slowUpstream("u1", "llm", h)
	d.slowUpstream("u2", "llm", h)
	p := d.edge("127.0.0.1")
	p.ready(t, 2, 0)
	for try := range 10 {
		id := fmt.Sprint("try ", try)
		a := p.call(t, "POST", "/resumable/1", strings.Repeat("x", longUpload), map[string]string{"Attempt-Id": id})
		mu.Lock()
		last := strings.Join(lastIDs[id], ",")
		mu.Unlock()
		if a.err != nil || a.status != http.StatusOK || eventIDs(a.body) != "1 2 3 4" || last != ",2" {
			t.Errorf("%s: status %d, events %q, %v; the upstreams were asked after %q", id, a.status, eventIDs(a.body), a.err, last)
		}
	}
}

// TestEarlyAnswerInGoodOrder guards against an answer without a length that its upstream ends
// in good order before it has read the request, and that is taken for a broken one.
func TestEarlyAnswerInGoodOrder(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.routeUploads()
	const late = 300 * time.Millisecond
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	wait := func(d time.Duration) {
		select {
		case <-time.After(d):
		case <-stop:
		}
	}
	endings := map[string]func(c *net.TCPConn){
		"rest read at once": func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) },
		"rest read late":    func(c *net.TCPConn) { wait(late); _, _ = io.Copy(io.Discard, c) },
		"rest never read":   func(*net.TCPConn) { wait(time.Minute) },
		"reset later":       func(c *net.TCPConn) { wait(late); _ = c.SetLinger(0) },
		"reset at once":     func(c *net.TCPConn) { _ = c.SetLinger(0) },
	}
	h := func(w http.ResponseWriter, req *http.Request) {
		end := endings[req.Header.Get("X-Ending")]
		c := answerBeforeBody(w, req, "id: 1\ndata: word1\n\n")
		if c == nil {
			return
		}
		defer c.Close()
		_ = c.CloseWrite()
		end(c)
	}
	for i, service := range []string{"app", "app", "llm", "llm"} {
		d.slowUpstream(fmt.Sprint("u", i), service, h)
	}
	p := d.edge("127.0.0.1")
	p.ready(t, 4, 0)
	for _, path := range uploadRoutes {
		for _, size := range []int{longUpload, shortUpload} {
			for ending := range endings {
				id := fmt.Sprintf("%s, %d bytes, %s", path, size, ending)
				a := p.call(t, "POST", path, strings.Repeat("x", size), map[string]string{"Attempt-Id": id, "X-Ending": ending})
				if !a.signedSuccess() || a.body != "id: 1\ndata: word1\n\n" {
					t.Errorf("%s: %+v", id, a)
				}
			}
		}
	}
}
