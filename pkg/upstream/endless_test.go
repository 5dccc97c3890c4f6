package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

// Guards against an upstream that sends without end on a connection on which no request
// waits: its bytes would stay in the memory of the machine, or be taken for the next answer.
func TestEndlessBytesOnIdleConnection(t *testing.T) {
	const maxSent = 32 << 20 // the kernel's buffers on both ends
	sent := make(chan int, 1)
	address := startServer(t, func(n int32, br *bufio.Reader, c net.Conn) {
		req, ok := readRequest(br)
		if !ok {
			return
		}
		writeResponse(c, req.Header.Get("Attempt-Id"), "ok")
		if n == 1 {
			time.Sleep(50 * time.Millisecond) // the connection is idle by then
			sent <- writeEndlessly(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
		}
	})
	p := NewPool()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go p.Run(ctx)
	if body, err := send(p, address, "1"); err != nil || body != "ok" {
		t.Fatalf("first answer %q, %v", body, err)
	}
	select {
	case n := <-sent:
		if n > maxSent {
			t.Errorf("the upstream could send %d bytes", n)
		}
	case <-time.After(5 * sweepInterval):
		t.Fatal("the connection was not closed")
	}
	if body, err := send(p, address, "2"); err != nil || body != "ok" {
		t.Errorf("next answer %q, %v", body, err)
	}
}

// Guards against an upstream that answers the question for its run without end: its bytes
// would be kept, or the request would wait for them until its deadline.
func TestEndlessStateAnswer(t *testing.T) {
	const maxAllocated, maxTime = 8 << 20, 2 * time.Second
	ok := "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct {
		name, head, part string
		pause            time.Duration
	}{
		{"head", ok + "X: ", "a", 0},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n", 0},
		{"slow interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n", 20 * time.Millisecond},
		{"body", ok + "\r\n", "a", 0},
		{"slow body", ok + "\r\n", "a", 20 * time.Millisecond},
		{"chunk extensions", ok + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 2000) + "\r\na\r\n", 0},
		{"trailers", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: a\r\n", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := startServer(t, func(_ int32, br *bufio.Reader, conn net.Conn) {
				req, err := http.ReadRequest(br)
				if err != nil || req.URL.Path != platform.UpstreamStatePath {
					t.Error("the request was sent though the run of the upstream is not known")
					return
				}
				_, err = io.WriteString(conn, c.head)
				if c.pause == 0 {
					writeEndlessly(conn, c.part)
				}
				for err == nil {
					_, err = io.WriteString(conn, c.part)
					time.Sleep(c.pause)
				}
			})
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			began := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err := NewPool().Do(ctx, &Request{
				Address: address, ID: "1", Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{"Attempt-Id": {"1"}}, Run: 7,
			})
			runtime.ReadMemStats(&after)
			if err == nil {
				t.Error("the request was answered")
			}
			if took := time.Since(began); took > maxTime {
				t.Errorf("the question took %v", took)
			}
			if grown := after.TotalAlloc - before.TotalAlloc; grown > maxAllocated {
				t.Errorf("%d bytes were allocated", grown)
			}
		})
	}
}
