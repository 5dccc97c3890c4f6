package sidecar

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
)

// endlessServer returns the URL of an upstream that answers each request with head and then
// part without end.
func endlessServer(t *testing.T, head, part string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	block := []byte(strings.Repeat(part, 1+(16<<10)/len(part))) // a string would be copied by each write
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, err := io.WriteString(c, head)
				for err == nil {
					_, err = c.Write(block)
				}
			}()
		}
	}()
	return "http://" + ln.Addr().String()
}

// Guards against an upstream that answers health checks, questions for its load, orders or
// cancellations without end, in a head, in interim answers or in trailers: the sidecar would
// keep all of it.
func TestEndlessAnswers(t *testing.T) {
	const maxAllocated, maxTime = 4 << 20, 5 * time.Second
	ok := "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct{ name, head, part string }{
		{"header line", ok + "X: ", "a"},
		{"header lines", ok, "X-Y: z\r\n"},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		{"no answer", "", "\x00\xff"},
		{"trailer", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", "a"},
		{"chunk extensions", ok + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 2000) + "\r\na\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := newUpstream(Config{Upstream: Upstream{URL: endlessServer(t, c.head, c.part)}})
			defer u.close()
			for name, client := range map[string]*http.Client{"pooled": u.pooled, "fresh": u.fresh} {
				ctx, cancel := context.WithTimeout(t.Context(), 2*maxTime)
				defer cancel()
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				began := time.Now()
				err := u.doJSON(ctx, client, http.MethodPost, "/v1/orders", struct{}{}, nil)
				runtime.ReadMemStats(&after)
				if err == nil {
					t.Errorf("%s: the order was answered", name)
				}
				if took := time.Since(began); took > maxTime {
					t.Errorf("%s: took %v", name, took)
				}
				if grown := after.TotalAlloc - before.TotalAlloc; grown > maxAllocated {
					t.Errorf("%s: %d bytes were allocated", name, grown)
				}
			}
		})
	}
}
