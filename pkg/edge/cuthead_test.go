package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// cutAnswers returns answers of an upstream that stop in the middle of their head, after
// an interim response, inside it, or right after the head.
func cutAnswers(id, kind string) map[string]string {
	interim := "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
	head := "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nResponse-Signature: s\r\nContent-Type: " + kind + "\r\n"
	list := map[string]string{
		"nothing":                     "",
		"inside an interim response":  interim[:len(interim)-10],
		"after an interim response":   interim,
		"after two interim responses": interim + interim,
		"status line of the interim":  "HTTP/1.1 100 Continue\r\n",
		"head with a length":          head + "Content-Length: 20\r\n\r\n",
		"a part of the body":          head + "Content-Length: 20\r\n\r\nid: 1\nda",
		"head with chunks":            head + "Transfer-Encoding: chunked\r\n\r\n",
		"inside a chunk length":       head + "Transfer-Encoding: chunked\r\n\r\n1",
		"inside a chunk":              head + "Transfer-Encoding: chunked\r\n\r\n20\r\nid: 1\n",
		"before the last chunk":       head + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
	}
	full := head + "Content-Length: 20\r\n"
	for i := 1; i < len(full); i += len(full) / 12 {
		list[fmt.Sprintf("head after %d bytes", i)] = full[:i]
		list[fmt.Sprintf("head after an interim response and %d bytes", i)] = interim + full[:i]
	}
	return list
}

// ending says what becomes of the connection after a cut answer.
type ending string

const (
	endClosed ending = "closed"
	endReset  ending = "reset"
	endOpen   ending = "stays open"
)

// TestHeadCut guards against an answer that looks whole though its upstream stopped in the
// middle of its head, or that lacks its body (issue 32).
func TestHeadCut(t *testing.T) {
	for _, c := range []struct{ method, path, kind string }{
		{"GET", "/safe/1", "text/plain"},
		{"POST", "/unsafe/1", "text/plain"},
		{"POST", "/resumable/1", "text/event-stream"},
		{"POST", "/history/1", "text/event-stream"},
	} {
		for _, end := range []ending{endClosed, endReset, endOpen} {
			t.Run(strings.Trim(c.path, "/1")+" "+string(end), func(t *testing.T) { cutHeads(t, c.method, c.path, c.kind, end) })
		}
	}
}

func cutHeads(t *testing.T, method, path, kind string, end ending) {
	d := newDeployment(t)
	for _, r := range []map[string]any{safeRoute, unsafeRoute, resumable, history} {
		r = clone(r)
		r["TimeoutMs"] = 600
		d.route(r)
	}
	answers := cutAnswers("ID", kind)
	var received sync.Map // ids of the requests that reached an upstream
	h := func(w http.ResponseWriter, req *http.Request) {
		received.Store(req.Header.Get("Attempt-Id"), true)
		_, _ = io.Copy(io.Discard, req.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		id := req.Header.Get("Attempt-Id")
		_, _ = io.WriteString(c, strings.ReplaceAll(answers[strings.TrimSuffix(id, " again")], "ID", id))
		switch end {
		case endReset:
			if tcp, ok := c.(*net.TCPConn); ok {
				time.Sleep(20 * time.Millisecond) // the bytes arrive before the reset
				_ = tcp.SetLinger(0)
			}
		case endOpen:
			_, _ = io.Copy(io.Discard, c) // until the edge closes the connection
		}
	}
	for i := range 2 {
		d.upstream(fmt.Sprint("a", i), "app", h)
		d.upstream(fmt.Sprint("l", i), "llm", h)
	}
	p := d.edge("127.0.0.1")
	d.storages()
	p.ready(t, 4, 3)
	var wg sync.WaitGroup
	limit := make(chan struct{}, 8)
	for name := range answers {
		wg.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			id := name
			a := p.call(t, method, path, "in", map[string]string{"Attempt-Id": id})
			if _, ran := received.Load(id); !ran { // its time was over before it was sent
				id += " again"
				a = p.call(t, method, path, "in", map[string]string{"Attempt-Id": id})
			}
			if _, ran := received.Load(id); !ran {
				t.Errorf("%s: the request did not reach an upstream, status %d", name, a.status)
			}
			if a.err == nil && a.status < http.StatusInternalServerError {
				t.Errorf("%s: the caller got a complete answer with status %d and body %q", name, a.status, a.body)
			}
			if a.status == http.StatusServiceUnavailable {
				t.Errorf("%s: the caller is told that the request did not run", name)
			}
		})
	}
	wg.Wait()
}
