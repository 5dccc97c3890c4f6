package edge

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// oneEvent is the body of a whole answer.
const oneEvent = "id: 1\ndata: word1\n\n"

// invalidFields are header lines whose names hold a blank or a control byte.
var invalidFields = []string{
	"X Y: 1", "X-Y : 1", "X Y : 1", "X-Y  : 1", "Response-Signature : other", "Attempt-Id : other", "Server-Load : 1,2,3",
	"X\tY: 1", "X-Y\t: 1", "X\x00Y: 1", "X\aY: 1", "X\vY: 1", "X\x1fY: 1", "X\x7fY: 1", "X\rY: 1", "\x01: 1", ": 1", "X-Y",
}

// fieldAnswers returns the heads and bodies of answers with one such line, by name. ID stands
// for the id of the request.
func fieldAnswers() map[string]string {
	const (
		head    = "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\n"
		chunked = "Transfer-Encoding: chunked\r\n"
	)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(oneEvent))
	chunk := fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(oneEvent), oneEvent)
	list := map[string]string{
		"length with a blank":         head + fmt.Sprintf("Content-Length : %d\r\n\r\n%s", len(oneEvent), oneEvent+"id: 2\ndata: other\n\n"),
		"chunks with a blank":         head + "Transfer-Encoding : chunked\r\n\r\n" + chunk + "\r\n",
		"chunks with a blank, events": head + "Transfer-Encoding : chunked\r\n\r\n" + oneEvent,
	}
	for _, line := range invalidFields {
		list[fmt.Sprintf("%q with a length", line)] = head + line + "\r\n" + length + "\r\n" + oneEvent
		list[fmt.Sprintf("%q with chunks", line)] = head + chunked + line + "\r\n\r\n" + chunk + "\r\n"
		list[fmt.Sprintf("%q with neither", line)] = head + line + "\r\n\r\n" + oneEvent
		list[fmt.Sprintf("%q in a trailer", line)] = head + chunked + "\r\n" + chunk + line + "\r\n\r\n"
		list[fmt.Sprintf("%q in an interim response", line)] = "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + head + length + "\r\n" + oneEvent
	}
	return list
}

// rawAnswers registers upstreams that answer with prepared bytes and close the connection in
// good order, and returns an edge that serves the routes.
func rawAnswers(t *testing.T, answer func(id string) string) *process {
	t.Helper()
	d := newDeployment(t)
	for _, r := range []map[string]any{safeRoute, unsafeRoute, resumable, history} {
		d.route(clone(r))
	}
	h := func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		id := req.Header.Get("Attempt-Id")
		_, _ = io.WriteString(c, strings.ReplaceAll(answer(id), "ID", id))
	}
	for i, service := range []string{"app", "app", "llm", "llm"} {
		d.upstream(fmt.Sprint("u", i), service, h)
	}
	p := d.edge("127.0.0.1")
	d.storages()
	p.ready(t, 4, 3)
	return p
}

// TestInvalidFieldName guards against an answer with a blank or a control byte in the name of a
// field that reaches the caller as a complete one: net/http lets a blank pass, so that the line
// is passed on, or a length or chunks are not seen and the body is another one (issue 62).
func TestInvalidFieldName(t *testing.T) {
	t.Parallel()
	answers := fieldAnswers()
	p := rawAnswers(t, func(id string) string { return answers[id[strings.Index(id, " ")+1:]] })
	var wg sync.WaitGroup
	limit := make(chan struct{}, 8)
	for _, path := range []string{"/safe/1", "/unsafe/1", "/resumable/1", "/history/1"} {
		for name := range answers {
			wg.Go(func() {
				limit <- struct{}{}
				defer func() { <-limit }()
				a := p.call(t, "POST", path, "in", map[string]string{"Attempt-Id": path + " " + name})
				if a.err == nil && a.status < http.StatusInternalServerError {
					t.Errorf("%s, %s: the caller got a complete answer with status %d, header %v and body %q", path, name, a.status, a.header, a.body)
				}
				if a.status == http.StatusServiceUnavailable {
					t.Errorf("%s, %s: the caller is told that the request did not run", path, name)
				}
			})
		}
	}
	wg.Wait()
}

// TestFoldedField guards against refusing an answer with a field that goes on in the next line,
// which RFC 9112, section 5.2, lets a recipient join.
func TestFoldedField(t *testing.T) {
	t.Parallel()
	p := rawAnswers(t, func(string) string {
		return "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nResponse-Signature: s\r\nX-Folded: 1\r\n 2\r\n\r\n" + oneEvent
	})
	for _, path := range []string{"/safe/1", "/unsafe/1", "/resumable/1"} {
		a := p.call(t, "POST", path, "in", map[string]string{"Attempt-Id": path})
		if !a.signedSuccess() || a.body != oneEvent || a.header.Get("X-Folded") != "1 2" {
			t.Errorf("%s: %+v", path, a)
		}
	}
}
