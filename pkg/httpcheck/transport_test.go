package httpcheck

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// TestConnectionOfInvalidResponse guards against using the connection of an invalid response
// again: what follows it may be a part of its body, and would be the answer to another request.
func TestConnectionOfInvalidResponse(t *testing.T) {
	for name, invalid := range map[string]string{
		"no body":   "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 0\r\n\r\n",
		"body":      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX Y: 1\r\n\r\nab",
		"no status": "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		var connections atomic.Int32
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				connections.Add(1)
				go func() {
					defer c.Close()
					br := bufio.NewReader(c)
					for _, answer := range []string{invalid, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"} {
						if _, err := http.ReadRequest(br); err != nil {
							return
						}
						_, _ = io.WriteString(c, answer)
					}
				}()
			}
		}()
		client := &http.Client{Transport: Transport(&http.Transport{})}
		for range 10 {
			resp, err := client.Get("http://" + ln.Addr().String())
			if err == nil {
				_ = resp.Body.Close()
			}
			if !IsInvalid(err) {
				t.Fatalf("%s: %v", name, err)
			}
		}
		client.CloseIdleConnections()
		if n := connections.Load(); n != 10 {
			t.Errorf("%s: 10 requests on %d connections", name, n)
		}
	}
}
