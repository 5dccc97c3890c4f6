package edge

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// refusesAgain is an upstream that refuses the first request on each connection and
// writes this refusal once more when the next one has come, which it then runs.
type refusesAgain struct {
	t *testing.T

	mu   sync.Mutex
	runs map[string]int // by id of the request
}

func (u *refusesAgain) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	refusal := ""
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = br.Discard(int(max(req.ContentLength, 0)))
		id := req.Header.Get("Attempt-Id")
		if refusal == "" {
			refusal = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			_, _ = c.Write([]byte(refusal))
			continue
		}
		_, _ = c.Write([]byte(refusal))
		u.mu.Lock()
		u.runs[id]++
		u.mu.Unlock()
		body := "id: 1\ndata: word\n\n"
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
}

func (u *refusesAgain) runsOf(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

// TestRefusalWrittenAgain guards against telling a caller that its request was not run,
// or running it at a second upstream, because an upstream wrote an earlier refusal once
// more on a kept connection; also if the caller sends the same request again, for which
// the refusal was (issue 29).
func TestRefusalWrittenAgain(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		path      string
		id        string // of the second request; the first one is "first"
		upstreams int
		turn      bool
	}{
		"another request":                {path: "/unsafe/1", id: "second", upstreams: 1},
		"another request, two upstreams": {path: "/unsafe/1", id: "second", upstreams: 2},
		"the same request":               {path: "/unsafe/1", id: "first", upstreams: 1},
		"the same request, two":          {path: "/unsafe/1", id: "first", upstreams: 2},
		"no id":                          {path: "/unsafe/1", upstreams: 1},
		"another stream":                 {path: "/stream/1", id: "second", upstreams: 2},
		"the same stream":                {path: "/stream/1", id: "first", upstreams: 2},
		"another turn":                   {path: "/history/1", id: "second", upstreams: 2, turn: true},
		"the same turn":                  {path: "/history/1", id: "first", upstreams: 2, turn: true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.route(clone(unsafeRoute))
			d.route(clone(history))
			d.route(map[string]any{"Name": "stream", "PathPrefix": "/stream/", "Kind": "streaming", "Service": "llm"})
			u := &refusesAgain{t: t, runs: make(map[string]int)}
			for i := range c.upstreams {
				d.listenRaw(fmt.Sprint("app", i), "app", u.serve)
				d.listenRaw(fmt.Sprint("llm", i), "llm", u.serve)
			}
			storages := 0
			if c.turn {
				storages = len(d.storages())
			}
			p := d.edge("127.0.0.1")
			p.ready(t, 2*c.upstreams, storages)
			send := func(id string) response {
				h := streamHeader("p", c.turn)
				if h["Attempt-Id"] = id; id == "" {
					delete(h, "Attempt-Id")
				}
				return p.call(t, "POST", c.path, "in", h)
			}
			for i := range c.upstreams { // each keeps a connection on which it refused
				if a := send("first"); a.status != http.StatusServiceUnavailable {
					t.Fatalf("refused request %d: %+v", i, a)
				}
			}
			a := send(c.id)
			time.Sleep(100 * time.Millisecond) // the upstream runs it after it wrote the refusal
			runs := u.runsOf(c.id)
			if runs > 1 {
				t.Errorf("ran %d times", runs)
			}
			if promisesNotRun(a.status) && runs > 0 {
				t.Errorf("answered %d, which promises that it was not run, and ran: %+v", a.status, a)
			}
		})
	}
}

// listenRaw registers an upstream that serves connections with f.
func (d *deployment) listenRaw(id, service string, f func(net.Conn)) {
	d.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go f(c)
		}
	}()
	d.register(id, service, ln.Addr().String(), "ready")
}
