//go:build review

package harness

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in for a model worker. It streams events and resumes a stream after the
// event that a request names.
type engine struct {
	w        *world
	id, zone string
	address  string
	events   int
	gap      time.Duration

	mu      sync.Mutex
	version string
	born    int64
	server  *http.Server
	conns   map[net.Conn]bool
}

const engineService = "huvo11a"

func (w *world) newEngine(id, zone string) *engine {
	e := &engine{w: w, id: id, zone: zone, version: "v1", events: 12, gap: 100 * time.Millisecond}
	port, err := freePort("127.0.0.1")
	must(err)
	e.address = net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
	e.start("v1")
	e.register()
	w.closers = append(w.closers, e.crash)
	return e
}

// start begins a new run under the same id and address.
func (e *engine) start(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ln, err := net.Listen("tcp", e.address)
	must(err)
	e.version, e.born, e.conns = version, time.Now().UnixMilli(), make(map[net.Conn]bool)
	e.server = &http.Server{Handler: e, ConnState: e.track}
	server := e.server
	go func() { _ = server.Serve(ln) }()
	e.w.note("worker %s starts, version %s, born %d", e.id, version, e.born)
}

func (e *engine) track(c net.Conn, s http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s == http.StateClosed {
		delete(e.conns, c)
		return
	}
	e.conns[c] = true
}

// crash ends the run: all channels are reset.
func (e *engine) crash() {
	e.mu.Lock()
	server := e.server
	for c := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	e.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// register writes the entry of the current run to the platform's store.
func (e *engine) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.w.store.Put("servers", e.id, map[string]any{
		"Service": engineService, "Address": e.address, "Zone": e.zone, "Version": e.version, "Slots": 8, "State": "ready",
		"ColdRemainingMs": 0, "Stage": "dual", "Models": []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []string{}}}, "Sequence": 1, "born": e.born,
	})
	e.w.note("the store has the entry of worker %s, version %s", e.id, e.version)
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	version, born := e.version, e.born
	e.mu.Unlock()
	switch r.URL.Path {
	case "/report":
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(encode(map[string]any{"Stage": "dual", "Models": []any{}, "Busy": false, "Sequence": 1, "Queued": 0, "Active": 0, "KvUsed": 0, "KvTotal": 97943, "Handles": 0, "born": born}))
		return
	case "/healthz":
		w.Header().Set("Instance-Id", e.id)
		return
	}
	id := r.Header.Get("Attempt-Id")
	if t := r.Header.Get("Target-Instance"); t != "" && t != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.w.setBody(id, string(body))
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.w.note("worker %s (%s) runs %s after event %d", e.id, version, id, after)
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Response-Signature", "s."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := after + 1; n <= e.events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %d\n\n", n, e.id, version, n); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.gap):
		}
	}
}

// setBody records the body with which a worker runs a request.
func (w *world) setBody(id, body string) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	w.bodies[id] = body
}

// body returns the body with which a worker ran a request.
func (w *world) body(id string) string {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	return w.bodies[id]
}

// answer is what a client got.
type answer struct {
	id       string
	program  string
	status   int
	events   []string // data of the events
	complete bool
	err      error
}

const host = "ficu95.example"

// stream sends one streaming request and reads its answer.
func (w *world) stream(client *http.Client, frontend, path, id string, header map[string]string, body []byte) answer {
	a := answer{id: id}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+frontend+path, bytes.NewReader(body))
	must(err)
	r.Host = host
	r.Header.Set("Attempt-Id", id)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	resp, err := client.Do(r)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	br := bufio.NewReader(resp.Body)
	for {
		line, err := br.ReadString('\n')
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			a.events = append(a.events, strings.TrimSpace(data))
		}
		if err != nil {
			a.complete = err == io.EOF && a.status == http.StatusOK
			a.err = err
			return a
		}
	}
}

// config puts the configuration of the deployment into the store.
func (w *world) config(version int, routes ...map[string]any) {
	w.store.Put("config", "main", map[string]any{
		"Version": version, "Routes": routes,
		"Services": []any{
			map[string]any{"Name": engineService, "HealthPath": "/healthz", "MaxConnections": 140, "Protocol": "h1", "Tls": false, "Engine": map[string]any{
				"Slots": 8, "KvCapacityTokens": 97943, "KvBytes": 18432, "LinkMbps": 280000.0, "Moves": true, "Backups": true, "ChunkTokens": 14, "Models": []any{map[string]any{"Name": "m"}},
			}},
			map[string]any{"Name": "wuno96b", "HealthPath": "/healthz", "MaxConnections": 100, "Protocol": "h1", "Tls": false},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
}

// streamRoute is the route of fault-triage, with a longer time-out.
func streamRoute() map[string]any {
	return map[string]any{
		"Name": "r-zji9n73", "Host": host, "PathPrefix": "/lohu930/", "Kind": "streaming", "TimeoutMs": 5000, "TargetLatencyMs": 300, "Priority": 1,
		"Service": engineService, "MaxAttempts": 2, "ServerHistory": false, "RetentionS": 60.0, "Sticky": true, "Resumable": true, "GapTargetMs": 150,
	}
}
