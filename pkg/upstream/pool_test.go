package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// server runs a script for each connection: f gets the requests' reader and
// the connection.
func server(t *testing.T, f func(n int32, br *bufio.Reader, c net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	var n atomic.Int32
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				f(n.Add(1), bufio.NewReader(c), c)
			}()
		}
	}()
	return ln.Addr().String()
}

func readRequest(br *bufio.Reader) (*http.Request, bool) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return nil, false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r, err == nil
}

func answer(c net.Conn, id, body string) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: "+id+"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

func do(p *Pool, address, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, &Request{
		Address: address, ID: id, Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{}, Body: []byte("in"),
	})
	if err != nil {
		return "", err
	}
	defer resp.Finish()
	body, err := io.ReadAll(resp)
	return string(body), err
}

// Guards against a new connection for each request, which is billed.
func TestConnectionIsKept(t *testing.T) {
	p := NewPool()
	address := server(t, func(_ int32, br *bufio.Reader, c net.Conn) {
		for {
			if _, ok := readRequest(br); !ok {
				return
			}
			answer(c, "1", "ok")
		}
	})
	for range 3 {
		if body, err := do(p, address, "1"); err != nil || body != "ok" {
			t.Fatal(body, err)
		}
	}
	if p.Dialed() != 1 {
		t.Errorf("%d connections for 3 requests", p.Dialed())
	}
}

// Guards against a request that is sent twice: a kept connection that ends
// without an answer may have run it.
func TestRequestIsNotSentAgain(t *testing.T) {
	p := NewPool()
	var requests atomic.Int32
	address := server(t, func(_ int32, br *bufio.Reader, c net.Conn) {
		for n := 0; ; n++ {
			if _, ok := readRequest(br); !ok {
				return
			}
			requests.Add(1)
			if n == 1 {
				return
			}
			answer(c, "1", "ok")
		}
	})
	if _, err := do(p, address, "1"); err != nil {
		t.Fatal(err)
	}
	_, err := do(p, address, "1")
	var ue *Error
	if !errors.As(err, &ue) || !ue.Sent {
		t.Errorf("error is %v, want one that says sent", err)
	}
	if requests.Load() != 2 {
		t.Errorf("%d requests arrived, want 2", requests.Load())
	}
}

// Guards against an answer to an earlier request taken for the present one,
// whether a copy of it arrives before the connection is used again or after that.
func TestForeignAnswers(t *testing.T) {
	p := NewPool()
	address := server(t, func(_ int32, br *bufio.Reader, c net.Conn) {
		for {
			r, ok := readRequest(br)
			if !ok {
				return
			}
			switch id := r.Header.Get("Attempt-Id"); id {
			case "1": // a second answer behind the first
				answer(c, id, "ok")
				answer(c, id, "again")
			case "2":
				answer(c, "other", "not yours")
			default:
				answer(c, id, "ok")
			}
		}
	})
	if body, err := doWith(p, address, "1"); err != nil || body != "ok" {
		t.Fatal(body, err)
	}
	if body, err := doWith(p, address, "2"); !errors.Is(err, ErrResponseMismatch) {
		t.Errorf("second request: %q, %v, want the mismatch", body, err)
	}
	if body, err := doWith(p, address, "3"); err != nil || body != "ok" {
		t.Errorf("third request: %q, %v", body, err)
	}
}

// Guards against a cut answer that passes for a whole one.
func TestCutAnswers(t *testing.T) {
	for name, raw := range map[string]string{
		"short body":   "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
		"short chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"no answer":    "\x00\x01garbage\r\n\r\n",
		"half head":    "HTTP/1.1 200 OK\r\nContent-Le",
	} {
		address := server(t, func(_ int32, br *bufio.Reader, c net.Conn) {
			if _, ok := readRequest(br); ok {
				_, _ = io.WriteString(c, raw)
			}
		})
		if body, err := do(NewPool(), address, ""); err == nil {
			t.Errorf("%s: passed as %q", name, body)
		}
	}
}

// Guards against an answer without a length that was reset, and against
// refusing one that ended with its connection.
func TestAnswerEndsWithConnection(t *testing.T) {
	for _, reset := range []bool{false, true} {
		address := server(t, func(_ int32, br *bufio.Reader, c net.Conn) {
			if _, ok := readRequest(br); !ok {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nall")
			if reset {
				time.Sleep(50 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
		body, err := do(NewPool(), address, "")
		if reset && err == nil || !reset && (err != nil || body != "all") {
			t.Errorf("reset %v: %q, %v", reset, body, err)
		}
	}
}

// Guards against the rest of a long body read as the next request, when the
// upstream answered before it had read the body.
func TestEarlyAnswer(t *testing.T) {
	p := NewPool()
	address := server(t, func(_ int32, br *bufio.Reader, c net.Conn) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		answer(c, "1", "early")
		_, _ = io.Copy(io.Discard, br)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, &Request{
		Address: address, ID: "1", Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{},
		Body: []byte(strings.Repeat("x", 32<<20)),
	})
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp); err != nil || string(body) != "early" {
		t.Errorf("answer is %q, %v", body, err)
	}
	resp.Finish()
	if len(p.idle[address]) != 0 && !resp.requestWritten() {
		t.Error("the connection is kept though its request is not written")
	}
}

// Guards against taking a refused connection for a request that may have run.
func TestRefusedConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	_ = ln.Close()
	_, err = do(NewPool(), address, "1")
	var ue *Error
	if !errors.As(err, &ue) || ue.Sent {
		t.Errorf("error is %v, want one that says not sent", err)
	}
}

// Guards against exceeding an entry's share of an upstream's connections.
func TestConnectionLimit(t *testing.T) {
	p := NewPool()
	p.open["a:1"] = 2
	_, err := p.Do(context.Background(), &Request{Address: "a:1", MaxConnections: 2, Header: http.Header{}})
	if !errors.Is(err, ErrTooManyConnections) {
		t.Errorf("error is %v", err)
	}
}
