package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// flood writes a part repeatedly until the connection is closed.
func flood(w http.ResponseWriter, part string) {
	block := []byte(strings.Repeat(part, 1+(16<<10)/len(part)))
	for {
		if _, err := w.Write(block); err != nil {
			return
		}
	}
}

// floodRaw hijacks an upstream's connection, writes a response header and then a part
// repeatedly.
func floodRaw(w http.ResponseWriter, head, part string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	_, _ = io.WriteString(c, head)
	block := []byte(strings.Repeat(part, 1+(16<<10)/len(part)))
	for err == nil {
		_, err = c.Write(block)
	}
}

// TestEndlessUpstream guards against an upstream that exhausts an edge by sending
// without end. The edge's memory must stay bounded, other callers must be served, and
// callers of that upstream must not receive a response that looks successful.
func TestEndlessUpstream(t *testing.T) {
	t.Parallel()
	const maxHeapGrowth = 48 << 20 // the share of one upstream, garbage not yet collected, and the test servers
	signed := func(w http.ResponseWriter, req *http.Request, kind string) {
		sign(w, req)
		w.Header().Set("Content-Type", kind)
	}
	for _, c := range []struct {
		name, path string
		h          http.HandlerFunc
	}{
		{"head", "/unsafe/1", func(w http.ResponseWriter, _ *http.Request) { floodRaw(w, "HTTP/1.1 200 OK\r\nX: ", "a") }},
		{"body", "/unsafe/1", func(w http.ResponseWriter, req *http.Request) { signed(w, req, "text/plain"); flood(w, "a") }},
		{"announced body", "/unsafe/1", func(w http.ResponseWriter, req *http.Request) {
			signed(w, req, "text/plain")
			w.Header().Set("Content-Length", "30000000")
			flood(w, "a")
		}},
		{"body without length", "/unsafe/1", func(w http.ResponseWriter, req *http.Request) {
			floodRaw(w, "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nAttempt-Id: "+req.Header.Get("Attempt-Id")+"\r\n\r\n", "a")
		}},
		{"event line", "/resumable/1", func(w http.ResponseWriter, req *http.Request) {
			events(w, req, 1, 1)
			fmt.Fprint(w, "id: 2\ndata: ")
			flood(w, "a")
		}},
		{"event", "/resumable/1", func(w http.ResponseWriter, req *http.Request) {
			events(w, req, 1, 1)
			fmt.Fprint(w, "id: 2\n")
			flood(w, "data: a\n")
		}},
		{"error of a stream", "/resumable/1", func(w http.ResponseWriter, req *http.Request) {
			signed(w, req, "text/plain")
			w.WriteHeader(http.StatusBadRequest)
			flood(w, "a")
		}},
		{"rejection", "/unsafe/1", func(w http.ResponseWriter, req *http.Request) {
			w.Header().Set("Not-Executed", "full")
			w.WriteHeader(http.StatusServiceUnavailable)
			flood(w, "a")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDeployment(t)
			d.route(clone(resumable))
			d.route(clone(unsafeRoute))
			d.route(map[string]any{"Name": "other", "PathPrefix": "/other/", "Kind": "safe", "Service": "good"})
			d.upstream("bad1", "app", c.h)
			d.upstream("bad2", "llm", c.h)
			d.upstream("good", "good", func(w http.ResponseWriter, req *http.Request) { sign(w, req); _, _ = w.Write([]byte("ok")) })
			s := d.settings("127.0.0.1")
			s.MemoryMB = 112
			p := d.edgeWith(s)
			p.ready(t, 3, 0)
			stop := make(chan struct{})
			var peak atomic.Uint64
			var watch sync.WaitGroup
			watch.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(5 * time.Millisecond):
						var m runtime.MemStats
						runtime.ReadMemStats(&m)
						peak.Store(max(peak.Load(), m.HeapAlloc))
					}
				}
			})
			runtime.GC()
			var before runtime.MemStats
			runtime.ReadMemStats(&before)
			var callers sync.WaitGroup
			for i := range 4 {
				callers.Go(func() {
					a := p.call(t, "POST", c.path, "in", map[string]string{"Attempt-Id": fmt.Sprint("bad", i), "Deadline-Ms": "1500"})
					if a.status == 200 && a.err == nil {
						t.Errorf("caller %d got a success with %d bytes", i, len(a.body))
					}
				})
			}
			for i := range 30 {
				if a := p.call(t, "GET", "/other/1", "", map[string]string{"Attempt-Id": fmt.Sprint("good", i)}); a.status != 200 || a.body != "ok" {
					t.Errorf("request of another service: %+v", a)
				}
			}
			callers.Wait()
			close(stop)
			watch.Wait()
			if growth := int64(peak.Load()) - int64(before.HeapAlloc); growth > maxHeapGrowth {
				t.Errorf("the heap grew by %d bytes", growth)
			}
			eventually(t, "memory of finished requests is still held", func() bool { return p.edge.transit.Usage().Used == 0 })
		})
	}
}

// TestStalledStreams guards against a stalled stream that is kept alive by comments,
// empty events or single bytes instead of being resumed at another upstream.
func TestStalledStreams(t *testing.T) {
	t.Parallel()
	trickle := func(part string) http.HandlerFunc {
		return func(w http.ResponseWriter, req *http.Request) {
			events(w, req, 1, 1)
			for req.Context().Err() == nil {
				fmt.Fprint(w, part)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
	for name, part := range map[string]string{
		"comments": ": wait\n\n", "empty events": "\n", "ids": "id: 1\n\n", "single bytes": "x",
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.route(clone(resumable))
			var r runs
			h := func(w http.ResponseWriter, req *http.Request) {
				if r.record(req) == 1 {
					trickle(part)(w, req)
					return
				}
				events(w, req, 2, 3)
			}
			d.upstream("u1", "llm", h)
			d.upstream("u2", "llm", h)
			p := d.edge("127.0.0.1")
			p.ready(t, 2, 0)
			began := time.Now()
			a := p.call(t, "POST", "/resumable/1", "in", map[string]string{"Attempt-Id": "1"})
			if a.err != nil || !strings.HasSuffix(a.body, "data: word3\n\n") || r.count() != 2 {
				t.Errorf("%+v after %d runs", a, r.count())
			}
			if took := time.Since(began); took > 2*time.Second {
				t.Errorf("the request took %v", took)
			}
		})
	}
}

// TestSlowStreamIsNotCut guards against interrupting a slow but correct stream when
// no other upstream could continue it.
func TestSlowStreamIsNotCut(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(resumable))
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) {
		for i := 1; i <= 3; i++ {
			events(w, req, i, i)
			time.Sleep(700 * time.Millisecond) // the route's maximum gap is 150 ms
		}
	})
	p := d.edge("127.0.0.1")
	p.ready(t, 1, 0)
	if a := p.call(t, "POST", "/resumable/1", "in", map[string]string{"Attempt-Id": "1"}); a.err != nil || eventIDs(a.body) != "1 2 3" {
		t.Errorf("%+v", a)
	}
}

// TestSlowBodyIsNotRunAgain guards against retrying a request whose response arrives
// slowly but steadily.
func TestSlowBodyIsNotRunAgain(t *testing.T) {
	d := newDeployment(t)
	d.route(clone(safeRoute))
	var r runs
	h := func(w http.ResponseWriter, req *http.Request) {
		r.record(req)
		sign(w, req)
		for range 10 {
			fmt.Fprint(w, "x")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(100 * time.Millisecond)
		}
	}
	d.upstream("u1", "app", h)
	d.upstream("u2", "app", h)
	p := d.edge("127.0.0.1")
	p.ready(t, 2, 0)
	if a := p.call(t, "GET", "/safe/1", "", map[string]string{"Attempt-Id": "1"}); a.status != 200 || a.body != "xxxxxxxxxx" || r.count() != 1 {
		t.Errorf("%+v after %d runs", a, r.count())
	}
}

// dialCaller opens a caller's connection to an edge.
func (p *process) dialCaller(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", p.settings.CallerListen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(15 * time.Second))
	return c
}

// TestCallersInTrouble guards against callers that occupy an edge with requests that
// they never complete, or that frame a request so that edge and upstream would read
// it differently.
func TestCallersInTrouble(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	var r runs
	d.upstream("u1", "app", func(w http.ResponseWriter, req *http.Request) {
		r.record(req)
		sign(w, req)
		_, _ = w.Write([]byte(req.URL.Path))
	})
	p := d.edge("127.0.0.1")
	p.ready(t, 1, 0)
	head := "POST /unsafe/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 1\r\nDeadline-Ms: 400\r\n"
	for _, c := range []struct {
		name, request string
		status, runs  int
	}{
		{"body never sent", head + "Content-Length: 10\r\n\r\nabc", http.StatusRequestTimeout, 0},
		{"chunk never sent", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nab", http.StatusRequestTimeout, 0},
		{"two lengths", head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", http.StatusBadRequest, 0},
		{"length is no number", head + "Content-Length: +3\r\n\r\nabc", http.StatusBadRequest, 0},
		{"long head", head + "X: " + strings.Repeat("a", 128<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge, 0},
		{"pipelined", "GET /unsafe/a HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\n\r\nGET /unsafe/b HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: b\r\n\r\n", http.StatusOK, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := r.count()
			conn := p.dialCaller(t)
			go func() { _, _ = io.WriteString(conn, c.request) }()
			br := bufio.NewReader(conn)
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatal(err)
			}
			body, _ := io.ReadAll(resp.Body)
			if resp.StatusCode != c.status {
				t.Errorf("status %d, want %d", resp.StatusCode, c.status)
			}
			if c.runs == 2 {
				second, err := http.ReadResponse(br, nil)
				if err != nil {
					t.Fatal(err)
				}
				rest, _ := io.ReadAll(second.Body)
				if string(body) != "/unsafe/a" || string(rest) != "/unsafe/b" {
					t.Errorf("responses %q and %q", body, rest)
				}
			}
			if got := r.count() - before; got != c.runs {
				t.Errorf("%d runs, want %d", got, c.runs)
			}
		})
	}
}

// TestLengthBesideChunks guards against forwarding a caller's framing headers: with a
// contradictory length and encoding, an upstream could see a second request inside
// the first (request smuggling).
func TestLengthBesideChunks(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	var r runs
	d.upstream("u1", "app", func(w http.ResponseWriter, req *http.Request) {
		if len(req.TransferEncoding) > 0 || req.ContentLength != 4 {
			t.Errorf("the upstream got length %d, encoding %v", req.ContentLength, req.TransferEncoding)
		}
		r.record(req)
		sign(w, req)
	})
	p := d.edge("127.0.0.1")
	p.ready(t, 1, 0)
	conn := p.dialCaller(t)
	_, _ = io.WriteString(conn, "POST /unsafe/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 1\r\nContent-Length: 60\r\nTransfer-Encoding: chunked\r\n\r\n"+
		"4\r\nGET \r\n0\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusOK || r.count() != 1 {
		t.Fatalf("%v, %v, %d runs", resp, err, r.count())
	}
}

// TestCallerThatDoesNotRead guards against a caller that does not read its response
// and thereby holds memory and a goroutine of the edge forever.
func TestCallerThatDoesNotRead(t *testing.T) {
	t.Parallel()
	if testing.Short() {
		t.Skip("waits for the delivery margin")
	}
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	d.upstream("u1", "app", func(w http.ResponseWriter, req *http.Request) {
		sign(w, req)
		_, _ = w.Write(make([]byte, 20<<20)) // more than the kernel buffers
	})
	p := d.edge("127.0.0.1")
	p.ready(t, 1, 0)
	conn := p.dialCaller(t)
	_, _ = io.WriteString(conn, "POST /unsafe/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 1\r\nDeadline-Ms: 900\r\nContent-Length: 0\r\n\r\n")
	eventually(t, "the edge has not read the response", func() bool { return p.edge.transit.Usage().Used > 19<<20 })
	eventually(t, "the edge still holds the response", func() bool { return p.edge.transit.Usage().Used == 0 })
}
