package edge

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// rawAnswer hijacks an upstream's connection, writes bytes and closes it.
func rawAnswer(w http.ResponseWriter, text string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, text)
	_ = c.Close()
}

// rawHead returns a signed response head with lines of its own; the body ends with the
// connection.
func rawHead(req *http.Request, status string, lines ...string) string {
	head := "HTTP/1.1 " + status + "\r\nAttempt-Id: " + req.Header.Get("Attempt-Id") + "\r\nResponse-Signature: s\r\nConnection: close\r\n"
	for _, l := range lines {
		head += l + "\r\n"
	}
	return head + "\r\n"
}

const eventStreamLine = "Content-Type: text/event-stream"

// signedBody answers with a signed response.
func signedBody(status int, kind, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		sign(w, req)
		if kind != "" {
			w.Header().Set("Content-Type", kind)
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// continuations are answers of an upstream to a request that continues a stream after its
// third event, none of which is a continuation.
func continuations() map[string]http.HandlerFunc {
	text := func(s string) http.HandlerFunc {
		return signedBody(http.StatusOK, "text/event-stream", s)
	}
	list := map[string]http.HandlerFunc{
		"status 200, error page":          signedBody(http.StatusOK, "text/html", "<html>error</html>\n\n"),
		"status 200, JSON":                signedBody(http.StatusOK, "application/json", "{\"error\": \"no\"}\n\n"),
		"status 200, JSON without a line": signedBody(http.StatusOK, "application/json", ""),
		"status 200, other stream type":   signedBody(http.StatusOK, "text/event-streaming", "id: 4\ndata: x\n\n"),
		"status 200, events as plain":     signedBody(http.StatusOK, "text/plain", "id: 4\ndata: x\n\n"),
		"no content":                      signedBody(http.StatusNoContent, "", ""),
		"redirect":                        signedBody(http.StatusFound, "text/html", "<a href=x>moved</a>\n\n"),
		"head inside the stream":          text("HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\nid: 4\ndata: x\n\n"),
		"head of a stream inside it":      text("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\nid: 4\ndata: word4\n\n"),
		"head inside an event":            text("id: 4\ndaHTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n"),
		"head after a part of the data":   text("id: 4\ndata: woHTTP/1.1 500 Internal Server Error\r\ncontent-type: text/plain\r\n\r\n"),
		"text inside the stream":          text("Internal Server Error\n\nid: 4\ndata: x\n\n"),
		"field inside the stream":         text("error: upstream failed\n\nid: 4\ndata: x\n\n"),
		"JSON inside the stream":          text("{\"error\": \"no\"}\n\nid: 4\ndata: x\n\n"),
		"no ids":                          text("data: word1\n\ndata: word2\n\n"),
		"first event without id":          text("data: word4\n\nid: 5\ndata: word5\n\n"),
		"ids that are no numbers":         text("id: a\ndata: word4\n\n"),
		"a gap":                           text("id: 5\ndata: word5\n\n"),
		"ids that go back":                text("id: 4\ndata: word4\n\nid: 3\ndata: word3\n\nid: 5\ndata: word5\n\n"),
		"end inside the last event":       text("id: 4\ndata: word4\n"),
		"end inside a line":               text("id: 4\ndata: wo"),
		"error without its end":           text("{\"error\": \"no\"}"),
		"without signature": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "id: 4\ndata: word4\n\n")
		},
		"unsigned head and body until the close": func(w http.ResponseWriter, req *http.Request) {
			rawAnswer(w, "HTTP/1.1 200 OK\r\nAttempt-Id: "+req.Header.Get("Attempt-Id")+"\r\n\r\n{}\n\n")
		},
		"head until the close": func(w http.ResponseWriter, req *http.Request) {
			rawAnswer(w, rawHead(req, "200 OK", eventStreamLine)+"id: 4\ndata: woHTTP/1.1 502 Bad Gateway\r\nServer: x\r\n\r\n")
		},
		"second head in place of the stream": func(w http.ResponseWriter, req *http.Request) {
			rawAnswer(w, rawHead(req, "200 OK", eventStreamLine)+"HTTP/1.1 502 Bad Gateway\r\n\r\n")
		},
		"closed without an answer": func(w http.ResponseWriter, _ *http.Request) { reset(w) },
		"head cut": func(w http.ResponseWriter, req *http.Request) {
			rawAnswer(w, strings.TrimSuffix(rawHead(req, "200 OK", eventStreamLine), "\r\n\r\n"))
		},
	}
	for _, status := range []int{400, 404, 408, 409, 413, 421, 429, 500, 502, 503, 504} {
		list[fmt.Sprint("status ", status)] = signedBody(status, "text/plain", "error\n\n")
	}
	return list
}

// TestErrorInsideStream guards against the text or the head of an upstream's error in the
// middle of a caller's stream, and against a stream that ends as complete there (issue 32).
func TestErrorInsideStream(t *testing.T) {
	t.Parallel()
	for name, h := range continuations() {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.route(clone(resumable))
			upstream := func(w http.ResponseWriter, req *http.Request) {
				if req.Header.Get("Last-Event-Id") != "" {
					h(w, req)
					return
				}
				events(w, req, 1, 3)
				cut(w)
			}
			d.upstream("u1", "llm", upstream)
			d.upstream("u2", "llm", upstream)
			p := d.edge("127.0.0.1")
			p.ready(t, 2, 0)
			a := p.call(t, "POST", "/resumable/1", "in", map[string]string{"Attempt-Id": "1"})
			if a.status != http.StatusOK || a.err == nil {
				t.Errorf("the stream does not break off: %+v", a)
			}
			whole := "id: 1\ndata: word1\n\nid: 2\ndata: word2\n\nid: 3\ndata: word3\n\n"
			if rest := strings.TrimPrefix(a.body, whole); rest != "" && rest != "id: 4\ndata: word4\n\n" {
				t.Errorf("the caller got %q", a.body)
			}
		})
	}
}

// TestTakenUpStreamIsInOrder guards against events that come twice, are missing or belong to
// no event where a caller takes a stream up after its third event (issue 32).
func TestTakenUpStreamIsInOrder(t *testing.T) {
	t.Parallel()
	text := func(s string) http.HandlerFunc { return signedBody(http.StatusOK, "text/event-stream", s) }
	const next = "id: 4\ndata: word4\n\n"
	for name, c := range map[string]struct {
		h    http.HandlerFunc
		body string // expected with status 200; empty: an error is expected
	}{
		"in order":              {text(next), next},
		"from the start":        {text("id: 1\ndata: word1\n\nid: 2\ndata: word2\n\nid: 3\ndata: word3\n\n" + next), next},
		"only the end was lost": {text(": done\n\n"), ": done\n\n"},
		"a gap":                 {text("id: 5\ndata: word5\n\n"), ""},
		"no ids":                {text("data: word1\n\n"), ""},
		"JSON":                  {signedBody(http.StatusOK, "application/json", "{}"), ""},
		"head":                  {text("HTTP/1.1 500 E\r\n\r\n"), ""},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.route(clone(resumable))
			d.upstream("u1", "llm", c.h)
			d.upstream("u2", "llm", c.h)
			p := d.edge("127.0.0.1")
			p.ready(t, 2, 0)
			eventually(t, "the edge does not follow the store", p.edge.view.live)
			a := p.call(t, "POST", "/resumable/1", "in", map[string]string{"Attempt-Id": "1", "Last-Event-Id": "3"})
			if c.body == "" {
				if a.err == nil && a.status < http.StatusInternalServerError {
					t.Errorf("the caller got a complete answer: %+v", a)
				}
				return
			}
			if a.err != nil || a.status != http.StatusOK || a.body != c.body {
				t.Errorf("%+v", a)
			}
		})
	}
}

// TestStreamAfterFailedContinuation guards against giving a stream up, though a third
// upstream can continue it, after one that answered with no continuation (issue 32).
func TestStreamAfterFailedContinuation(t *testing.T) {
	t.Parallel()
	for name, h := range map[string]http.HandlerFunc{
		"JSON":                   signedBody(http.StatusOK, "application/json", "{\"error\": \"no\"}\n\n"),
		"head inside the stream": signedBody(http.StatusOK, "text/event-stream", "HTTP/1.1 500 Internal Server Error\r\n\r\n"),
		"no ids":                 signedBody(http.StatusOK, "text/event-stream", "data: word1\n\n"),
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			route := clone(resumable)
			route["MaxAttempts"] = 3
			d.route(route)
			var r runs
			upstream := func(w http.ResponseWriter, req *http.Request) {
				switch r.record(req) {
				case 1:
					events(w, req, 1, 3)
					cut(w)
				case 2:
					h(w, req)
				default:
					events(w, req, 4, 5)
				}
			}
			for i := range 3 {
				d.upstream(fmt.Sprint("u", i), "llm", upstream)
			}
			p := d.edge("127.0.0.1")
			p.ready(t, 3, 0)
			a := p.call(t, "POST", "/resumable/1", "in", map[string]string{"Attempt-Id": "1"})
			if a.status != http.StatusOK || a.err != nil || eventIDs(a.body) != "1 2 3 4 5" {
				t.Errorf("%+v after %d runs", a, r.count())
			}
		})
	}
}

// TestFirstAnswerIsNoStream guards against relaying a response that is no event stream as
// one: the caller gets it whole, with its proof, or an error (issue 32).
func TestFirstAnswerIsNoStream(t *testing.T) {
	t.Parallel()
	const page = "<html>\n\nerror</html>"
	for name, c := range map[string]struct {
		path string
		h    http.HandlerFunc
		body string // expected with status 200; empty: an error is expected
	}{
		"error page": {"/resumable/1", signedBody(http.StatusOK, "text/html", page), page},
		"JSON":       {"/resumable/1", signedBody(http.StatusOK, "application/json", "{}"), "{}"},
		"JSON is cut": {"/resumable/1", func(w http.ResponseWriter, req *http.Request) {
			rawAnswer(w, rawHead(req, "200 OK", "Content-Type: application/json", "Content-Length: 20")+"{\"a\":\n\n")
		}, ""},
		"JSON for a turn": {"/history/1", signedBody(http.StatusOK, "application/json", "{}"), ""},
		"JSON, not signed": {"/resumable/1", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			_, _ = io.WriteString(w, "{}")
		}, ""},
		"stream without an event": {"/resumable/1", signedBody(http.StatusOK, "text/event-stream", ""), ""},
		"stream of comments":      {"/resumable/1", signedBody(http.StatusOK, "text/event-stream", ": a\n\n: b\n\n"), ""},
		"turn without an event":   {"/history/1", signedBody(http.StatusOK, "text/event-stream", ""), ""},
		"head inside the stream":  {"/resumable/1", signedBody(http.StatusOK, "text/event-stream", "HTTP/1.1 500 Error\r\n\r\nid: 1\ndata: a\n\n"), ""},
		"text in the stream":      {"/resumable/1", signedBody(http.StatusOK, "text/event-stream", "upstream failed\n\n"), ""},
		"type in other letters":   {"/resumable/1", signedBody(http.StatusOK, "Text/Event-Stream; charset=utf-8", "id: 1\ndata: a\n\n"), "id: 1\ndata: a\n\n"},
		"other fields":            {"/resumable/1", signedBody(http.StatusOK, "text/event-stream", "weight-versions: 2\nid: 1\nevent: e\nretry: 5\n:c\ndata: a\n\n"), "weight-versions: 2\nid: 1\nevent: e\nretry: 5\n:c\ndata: a\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.route(clone(resumable))
			d.route(clone(history))
			d.upstream("u1", "llm", c.h)
			d.upstream("u2", "llm", c.h)
			p := d.edge("127.0.0.1")
			d.storages()
			p.ready(t, 2, 3)
			a := p.call(t, "POST", c.path, "in", map[string]string{"Attempt-Id": "1"})
			if c.body == "" {
				if a.err == nil && a.status < http.StatusInternalServerError {
					t.Errorf("the caller got a complete answer: %+v", a)
				}
				return
			}
			if a.err != nil || a.status != http.StatusOK || a.body != c.body || a.header.Get("Response-Signature") == "" {
				t.Errorf("%+v", a)
			}
		})
	}
}

// TestStreamWithoutIDsIsNotContinued guards against events that come twice: a stream whose
// events have no ids can't be continued after one that was delivered (issue 32).
func TestStreamWithoutIDsIsNotContinued(t *testing.T) {
	t.Parallel()
	for name, first := range map[string]string{
		"no ids":             "data: word1\n\ndata: word2\n\n",
		"last one without":   "id: 1\ndata: word1\n\ndata: word2\n\n",
		"ids are no numbers": "id: a\ndata: word1\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.route(clone(resumable))
			var r runs
			upstream := func(w http.ResponseWriter, req *http.Request) {
				if r.record(req) > 1 {
					events(w, req, 1, 3)
					return
				}
				sign(w, req)
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, first)
				_ = http.NewResponseController(w).Flush()
				cut(w)
			}
			d.upstream("u1", "llm", upstream)
			d.upstream("u2", "llm", upstream)
			p := d.edge("127.0.0.1")
			p.ready(t, 2, 0)
			a := p.call(t, "POST", "/resumable/1", "in", map[string]string{"Attempt-Id": "1"})
			if a.err == nil || a.body != first {
				t.Errorf("%+v after %d runs", a, r.count())
			}
		})
	}
}
