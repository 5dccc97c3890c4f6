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

// startServer runs f for each accepted connection, with the number of the
// connection and a reader of its requests. It returns the address.
func startServer(t *testing.T, f func(n int32, br *bufio.Reader, c net.Conn)) string {
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

func writeResponse(c net.Conn, id, body string) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: "+id+"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

func send(p *Pool, address, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, &Request{
		Address: address, ID: id, Method: http.MethodPost, URI: "/x", Host: "h",
		Header: http.Header{"Attempt-Id": {id}}, Body: []byte("in"),
	})
	if err != nil {
		return "", err
	}
	defer resp.Finish()
	body, err := io.ReadAll(resp)
	return string(body), err
}

// Guards against a new connection for each request, since connections are billed.
func TestConnectionIsReused(t *testing.T) {
	p := NewPool()
	address := startServer(t, func(_ int32, br *bufio.Reader, c net.Conn) {
		for {
			r, ok := readRequest(br)
			if !ok {
				return
			}
			writeResponse(c, r.Header.Get("Attempt-Id"), "ok")
		}
	})
	for i := range 3 {
		if body, err := send(p, address, strconv.Itoa(i)); err != nil || body != "ok" {
			t.Fatal(body, err)
		}
	}
	if p.Dialed() != 1 {
		t.Errorf("%d connections were dialed for 3 requests, want 1", p.Dialed())
	}
}

// Guards against sending a request twice when a reused connection ends without a
// response: the upstream may have run the request.
func TestRequestIsNotRetried(t *testing.T) {
	p := NewPool()
	var requests atomic.Int32
	address := startServer(t, func(_ int32, br *bufio.Reader, c net.Conn) {
		for n := 0; ; n++ {
			if _, ok := readRequest(br); !ok {
				return
			}
			requests.Add(1)
			if n == 1 {
				return
			}
			writeResponse(c, "1", "ok")
		}
	})
	if _, err := send(p, address, "1"); err != nil {
		t.Fatal(err)
	}
	_, err := send(p, address, "2")
	var exchangeErr *Error
	if !errors.As(err, &exchangeErr) || !exchangeErr.Sent {
		t.Errorf("error is %v, want one with Sent set", err)
	}
	if requests.Load() != 2 {
		t.Errorf("%d requests arrived, want 2", requests.Load())
	}
}

// Guards against taking the response to another request for the one to this
// request, whether it arrives before or after the connection is reused.
func TestForeignAnswers(t *testing.T) {
	p := NewPool()
	address := startServer(t, func(_ int32, br *bufio.Reader, c net.Conn) {
		for {
			r, ok := readRequest(br)
			if !ok {
				return
			}
			switch id := r.Header.Get("Attempt-Id"); id {
			case "1": // a second response follows the first
				writeResponse(c, id, "ok")
				writeResponse(c, id, "again")
			case "2":
				writeResponse(c, "other", "not yours")
			default:
				writeResponse(c, id, "ok")
			}
		}
	})
	if body, err := sendWithID(p, address, "1"); err != nil || body != "ok" {
		t.Fatal(body, err)
	}
	if body, err := sendWithID(p, address, "2"); !errors.Is(err, ErrResponseMismatch) {
		t.Errorf("second request: got %q, error %v, want ErrResponseMismatch", body, err)
	}
	if body, err := sendWithID(p, address, "3"); err != nil || body != "ok" {
		t.Errorf("third request: got %q, error %v", body, err)
	}
}

// Guards against returning a truncated response as complete.
func TestCutAnswers(t *testing.T) {
	for name, raw := range map[string]string{
		"short body":   "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
		"short chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"no answer":    "\x00\x01garbage\r\n\r\n",
		"half head":    "HTTP/1.1 200 OK\r\nContent-Le",
	} {
		address := startServer(t, func(_ int32, br *bufio.Reader, c net.Conn) {
			if _, ok := readRequest(br); ok {
				_, _ = io.WriteString(c, raw)
			}
		})
		if body, err := send(NewPool(), address, ""); err == nil {
			t.Errorf("%s: was accepted with the body %q", name, body)
		}
	}
}

// Guards against accepting a response without a length whose connection was
// reset, and against rejecting one whose connection was closed normally.
func TestResponseEndsWithConnection(t *testing.T) {
	for _, reset := range []bool{false, true} {
		address := startServer(t, func(_ int32, br *bufio.Reader, c net.Conn) {
			if _, ok := readRequest(br); !ok {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nall")
			if reset {
				time.Sleep(50 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
		body, err := send(NewPool(), address, "")
		if reset && err == nil || !reset && (err != nil || body != "all") {
			t.Errorf("connection reset %v: got %q, error %v", reset, body, err)
		}
	}
}

// Guards against reusing a connection whose upstream responded before it had
// read the request body: it would read the rest as the next request.
func TestEarlyAnswer(t *testing.T) {
	p := NewPool()
	address := startServer(t, func(_ int32, br *bufio.Reader, c net.Conn) {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		writeResponse(c, "1", "early")
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
		t.Errorf("got response %q, error %v", body, err)
	}
	resp.Finish()
	if len(p.idle[address]) != 0 && !resp.requestWritten() {
		t.Error("the connection is reused although its request was not completely written")
	}
}

// Guards against reporting a refused connection as a request that may have run.
func TestRefusedConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	_ = ln.Close()
	_, err = send(NewPool(), address, "1")
	var exchangeErr *Error
	if !errors.As(err, &exchangeErr) || exchangeErr.Sent {
		t.Errorf("error is %v, want one without Sent set", err)
	}
}

// Guards against opening more connections to an upstream than allowed.
func TestConnectionLimit(t *testing.T) {
	p := NewPool()
	p.open["a:1"] = 2
	_, err := p.Do(context.Background(), &Request{Address: "a:1", MaxConnections: 2, Header: http.Header{}})
	if !errors.Is(err, ErrTooManyConnections) {
		t.Errorf("error is %v, want ErrTooManyConnections", err)
	}
}
