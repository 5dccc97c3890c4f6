package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// writeEndlessly repeats part until the connection is closed. It returns the
// number of bytes written.
func writeEndlessly(c net.Conn, part string) int {
	block := []byte(strings.Repeat(part, 1+(16<<10)/len(part)))
	total := 0
	for {
		n, err := c.Write(block)
		total += n
		if err != nil {
			return total
		}
	}
}

// Guards against running out of memory when an upstream sends endless data
// before, in or after the response head.
func TestEndlessAnswers(t *testing.T) {
	// maxSent includes the kernel's buffers on both ends of the connection.
	const maxSent, maxAllocated = 32 << 20, 8 << 20
	ok := "HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\n"
	for _, c := range []struct{ name, head, part string }{
		{"status line", "HTTP/1.1 200 ", "O"},
		{"header line", ok + "X: ", "a"},
		{"header lines", ok, "X-Y: z\r\n"},
		{"header names", ok, "x"},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"early hints", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		{"no answer", "", "\x00\xff"},
		{"line feeds", "", "\n"},
		{"chunk size", ok + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		{"chunk extension", ok + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		{"chunk extensions", ok + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 2000) + "\r\na\r\n"},
		{"trailer", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", "a"},
		{"trailers", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: a\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			sent := make(chan int, 1)
			address := startServer(t, func(_ int32, br *bufio.Reader, conn net.Conn) {
				if _, ok := readRequest(br); !ok {
					return
				}
				n, _ := io.WriteString(conn, c.head)
				sent <- n + writeEndlessly(conn, c.part)
			})
			p := NewPool()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			if _, err := send(p, address, "1"); err == nil {
				t.Error("endless data was accepted as a response")
			}
			runtime.ReadMemStats(&after)
			if grown := after.TotalAlloc - before.TotalAlloc; grown > maxAllocated {
				t.Errorf("%d bytes were allocated", grown)
			}
			if n := <-sent; n > maxSent {
				t.Errorf("the upstream could send %d bytes", n)
			}
			if len(p.idle[address]) > 0 || len(p.open) > 0 {
				t.Error("the connection was not closed")
			}
		})
	}
}

// Guards against rejecting a long response head that is within the limits.
func TestLongHead(t *testing.T) {
	address := startServer(t, func(_ int32, br *bufio.Reader, c net.Conn) {
		if _, ok := readRequest(br); !ok {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nContent-Length: 100000\r\nX: "+
			strings.Repeat("y", 60<<10)+"\r\n\r\n"+strings.Repeat("b", 100000))
	})
	if body, err := send(NewPool(), address, "1"); err != nil || len(body) != 100000 {
		t.Errorf("got a body of %d bytes, error %v", len(body), err)
	}
}

// Guards against a late copy of an earlier response without an id that is taken
// for the response to the next request on the same connection.
func TestLateCopyWithoutID(t *testing.T) {
	p := NewPool()
	address := startServer(t, func(_ int32, br *bufio.Reader, c net.Conn) {
		for n := 0; ; n++ {
			if _, ok := readRequest(br); !ok {
				return
			}
			if n == 1 { // the late copy arrives where the second response is expected
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy")
			}
			writeResponse(c, fmt.Sprint(n+1), "ok")
		}
	})
	if body, err := send(p, address, "1"); err != nil || body != "ok" {
		t.Fatal(body, err)
	}
	if body, err := send(p, address, "2"); !errors.Is(err, ErrResponseMismatch) {
		t.Errorf("second request: got %q, error %v, want ErrResponseMismatch", body, err)
	}
}

// Guards against returning another caller's data when an upstream misbehaves on
// a reused connection: duplicate responses with and without an id, at once and
// late, early responses, truncated responses and closed connections.
func TestNoForeignBytes(t *testing.T) {
	for seed := range uint64(20) {
		p := NewPool()
		address := startServer(t, func(n int32, br *bufio.Reader, c net.Conn) {
			random := rand.New(rand.NewPCG(seed, uint64(n)))
			for {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				id := r.Header.Get("Attempt-Id")
				action := random.IntN(9)
				if action != 7 { // 7 responds before the body is read
					_, _ = io.Copy(io.Discard, r.Body)
				}
				switch action {
				case 0:
					writeResponse(c, id, id)
					writeResponse(c, id, id)
				case 1:
					writeResponse(c, id, id)
					time.Sleep(time.Duration(random.IntN(2000)) * time.Microsecond)
					writeResponse(c, id, id)
				case 2:
					writeResponse(c, id, id)
					time.Sleep(time.Duration(random.IntN(2000)) * time.Microsecond)
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy")
				case 3:
					writeResponse(c, "other", "other")
				case 4:
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: "+id+"\r\nContent-Length: 900\r\n\r\n"+id)
					return
				case 5:
					writeResponse(c, id, id)
					_, _ = io.WriteString(c, "\x00rest")
				default:
					writeResponse(c, id, id)
				}
				if action == 6 {
					return
				}
			}
		})
		var wg sync.WaitGroup
		for caller := range 4 {
			wg.Go(func() {
				for i := range 25 {
					id := fmt.Sprintf("%d-%d", caller, i)
					if body, err := sendWithID(p, address, id); err == nil && body != id {
						t.Errorf("seed %d: request %s got %q", seed, id, body)
					}
				}
			})
		}
		wg.Wait()
	}
}

// sendWithID sends a request with its id in a header and a body that is larger
// than maxSequentialWrite, and returns the response body.
func sendWithID(p *Pool, address, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, &Request{
		Address: address, ID: id, Method: http.MethodPost, URI: "/x", Host: "h",
		Header: http.Header{"Attempt-Id": {id}}, Body: []byte(strings.Repeat("x", 9<<10)),
	})
	if err != nil {
		return "", err
	}
	defer resp.Finish()
	body, err := io.ReadAll(resp)
	return string(body), err
}
