package edge

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// upstreamForKept answers as its path says, on connections that it may close.
func upstreamForKept(w http.ResponseWriter, req *http.Request) {
	raw := func(data string) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = fmt.Fprintf(c, data, req.Header.Get("Attempt-Id"))
	}
	_, kind, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	const head = "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: s\r\n"
	switch kind {
	case "none":
		sign(w, req)
		w.WriteHeader(http.StatusNoContent)
	case "unchanged":
		sign(w, req)
		w.Header().Set("Content-Length", "5")
		w.WriteHeader(http.StatusNotModified)
	case "closes":
		reset(w)
	case "half-head":
		raw(head)
	case "interim":
		raw("HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok")
	case "interim-only":
		raw("HTTP/1.1 103 Early Hints\r\nAttempt-Id: %s\r\n\r\n")
	case "short":
		raw(head + "Content-Length: 9\r\n\r\nok")
	case "long":
		raw(head + "Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n")
	case "no-length":
		raw(head + "\r\nok")
	case "head":
		sign(w, req)
		w.Header().Set("Content-Length", "2")
	case "slow":
		time.Sleep(700 * time.Millisecond)
		serveAny(w, req)
	default:
		serveAny(w, req)
	}
}

// TestKeptConnectionLosesAnAnswer guards against a request on a kept connection that ends
// without a whole answer, or with a false one, because of what came before it there, of how
// it is sent, or of how a sound upstream frames its answer. All requests share one
// connection.
func TestKeptConnectionLosesAnAnswer(t *testing.T) {
	p := startUnsafe(t, time.Second, upstreamForKept)
	caller := p.raw(t)
	chunked := "Transfer-Encoding: chunked"
	for i, c := range []struct {
		name, method, path, raw string
		header                  []string
		status                  int
		body                    string
	}{
		{name: "first", method: "GET", path: "ok", status: 200, body: "ok"},
		{name: "short deadline", method: "POST", path: "ok", raw: "Content-Length: 2\r\n\r\nin", header: []string{"Deadline-Ms: 300"}, status: 200, body: "ok"},
		{name: "longer than the deadline before", method: "POST", path: "slow", raw: "Content-Length: 2\r\n\r\nin", status: 200, body: "ok"},
		{name: "length 0", method: "POST", path: "slow", raw: "Content-Length: 0\r\n\r\n", status: 200, body: "ok"},
		{name: "chunks", method: "POST", path: "slow", header: []string{chunked}, raw: "\r\n2\r\nin\r\n0\r\n\r\n", status: 200, body: "ok"},
		{name: "no chunk", method: "POST", path: "slow", header: []string{chunked}, raw: "\r\n0\r\n\r\n", status: 200, body: "ok"},
		{name: "extra line end", method: "POST", path: "slow", raw: "Content-Length: 2\r\n\r\nin\r\n", status: 200, body: "ok"},
		{name: "after the extra line end", method: "GET", path: "ok", status: 200, body: "ok"},
		{name: "head of a head", method: "HEAD", path: "head", status: 200},
		{name: "no content", method: "GET", path: "none", status: 204},
		{name: "not modified", method: "GET", path: "unchanged", status: 304},
		{name: "upstream closes", method: "POST", path: "closes", raw: "Content-Length: 2\r\n\r\nin", status: 502},
		{name: "head cut", method: "GET", path: "half-head", status: 502},
		{name: "interim head", method: "GET", path: "interim", status: 200, body: "ok"},
		{name: "interim head only", method: "GET", path: "interim-only", status: 502},
		{name: "body cut", method: "GET", path: "short", status: 502},
		{name: "bytes after the body", method: "GET", path: "long", status: 200, body: "ok"},
		{name: "no length", method: "GET", path: "no-length", status: 200, body: "ok"},
		{name: "no route", method: "POST", path: "../none", raw: "Content-Length: 2\r\n\r\nin", status: 404},
		{name: "last", method: "GET", path: "ok", status: 200, body: "ok"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.raw == "" {
				c.raw = "\r\n"
			}
			path := "/unsafe/" + c.path
			if strings.HasPrefix(c.path, "../") {
				path = c.path[2:]
			}
			lines := append([]string{c.method + " " + path + " HTTP/1.1", "Host: h.example", fmt.Sprintf("Attempt-Id: k%d", i)}, c.header...)
			caller.send(strings.Join(lines, "\r\n") + "\r\n" + c.raw)
			a := caller.receive(c.method)
			if a.err != nil || a.status != c.status || a.body != c.body {
				t.Errorf("%+v", a)
			}
			if a.status/100 == 2 && !a.signedSuccess() {
				t.Errorf("success without a signature: %+v", a)
			}
			if a.header.Get("Connection") == "close" {
				t.Errorf("the connection is not kept: %+v", a)
			}
		})
	}
}

// TestExpectContinue guards against a caller that waits for an interim answer before it
// sends its body.
func TestExpectContinue(t *testing.T) {
	p := startUnsafe(t, time.Second, upstreamForKept)
	caller := p.raw(t)
	caller.send("POST /unsafe/slow HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: e\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	if a := caller.receive("POST"); a.status != http.StatusContinue {
		t.Fatalf("%+v", a)
	}
	caller.send("in")
	if a := caller.receive("POST"); !a.signedSuccess() || a.body != "ok" {
		t.Errorf("%+v", a)
	}
}
