package edge

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/loopback"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/platformstore"
	"github.com/yuccaspindle/yuccaspindle/pkg/storage"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// deployment is a set of edges and storage processes on separate loopback addresses,
// with a simulated store and scripted upstreams.
type deployment struct {
	t        *testing.T
	store    *platformstore.Store
	storeURL string
	port     int // peer port, the same on all instances
	version  int
	routes   []map[string]any

	processes []*process
	log       *testLog
}

// addressCount is the number of loopback addresses that tests use.
const addressCount = 20

// process is one running edge or storage process.
type process struct {
	settings *platform.Settings
	cancel   context.CancelFunc
	done     chan error
	edge     *Edge
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	store := platformstore.New()
	srv := httptest.NewServer(store)
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	l := &testLog{}
	t.Cleanup(func() { l.showOnFailure(t) })
	d := &deployment{t: t, log: l, store: store, storeURL: strings.TrimPrefix(srv.URL, "http://"), port: freePort(t, loopback.Addresses("127.0.0.", 1, addressCount)...)}
	return d
}

func freePort(t *testing.T, ips ...string) int {
	t.Helper()
	port, err := loopback.FreePort(ips...)
	if err != nil {
		t.Fatal(err)
	}
	return port
}

func (d *deployment) settings(ip string) *platform.Settings {
	return &platform.Settings{
		Node: "node-" + ip, IP: ip, FailureDomain: "a1", Region: "a", RegionOf: map[string]string{"a1": "a"},
		CallerListen: net.JoinHostPort(ip, strconv.Itoa(freePort(d.t, ip))), ReadyListen: net.JoinHostPort(ip, strconv.Itoa(freePort(d.t, ip))),
		MetricsListen: ip + ":0", PeerPort: d.port, FirstStart: true, StopGrace: time.Second, DisksToLose: 1, StoreAddress: d.storeURL,
	}
}

func (d *deployment) run(s *platform.Settings, e *Edge, f func(context.Context) error) *process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{settings: s, cancel: cancel, done: make(chan error, 1), edge: e}
	go func() { p.done <- f(ctx) }()
	d.processes = append(d.processes, p)
	d.t.Cleanup(func() {
		for _, other := range d.processes {
			other.cancel() // all processes drain at the same time
		}
		p.stop()
	})
	return p
}

// stop stops a process and waits for its end.
func (p *process) stop() {
	p.cancel()
	if err, ok := <-p.done; ok {
		close(p.done)
		_ = err
	}
}

func (d *deployment) edge(ip string, seeds ...string) *process {
	d.t.Helper()
	s := d.settings(ip)
	s.Seeds = seeds
	return d.edgeWith(s)
}

// edgeWith starts an edge with the settings.
func (d *deployment) edgeWith(s *platform.Settings) *process {
	d.t.Helper()
	e, err := New(s, d.logger())
	if err != nil {
		d.t.Fatal(err)
	}
	return d.run(s, e, e.Run)
}

// logger returns a logger whose lines are printed if the test fails.
func (d *deployment) logger() *slog.Logger { return slog.New(slog.NewTextHandler(d.log, nil)) }

// testLog collects the log lines of all processes of a test.
type testLog struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

// maxTestLog limits the collected lines, in bytes.
const maxTestLog = 4 << 20

// Write implements io.Writer.
func (l *testLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lines.Len() < maxTestLog {
		l.lines.Write(p)
	}
	return len(p), nil
}

// text returns the collected lines.
func (l *testLog) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.String()
}

// showOnFailure prints the collected lines if the test has failed.
func (l *testLog) showOnFailure(t *testing.T) {
	if !t.Failed() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t.Logf("logs of the processes:\n%s", l.lines.String())
}

func (d *deployment) storage(ip, dir string) *process {
	d.t.Helper()
	s := d.settings(ip)
	s.DataDir = dir
	return d.storageWith(s)
}

// storages starts three storage processes.
func (d *deployment) storages() []*process {
	var list []*process
	for i := range 3 {
		list = append(list, d.storage(fmt.Sprintf("127.0.0.%d", 11+i), d.t.TempDir()))
	}
	return list
}

// route adds a route and puts a new configuration in force.
func (d *deployment) route(r map[string]any) {
	for k, v := range map[string]any{"Host": "h.example", "TimeoutMs": 3000, "TargetLatencyMs": 300, "GapTargetMs": 150, "MaxAttempts": 2} {
		if _, ok := r[k]; !ok {
			r[k] = v
		}
	}
	d.routes = append(d.routes, r)
	d.limitBodies(4 << 20)
}

// limitBodies puts the configuration in force with a limit of bodies in bytes.
func (d *deployment) limitBodies(limit int) {
	d.version += 3
	d.store.Put(platform.KindConfig, platform.ConfigName, map[string]any{
		"Version": d.version, "Routes": d.routes,
		"Services": []map[string]any{{"Name": "llm", "Engine": map[string]any{"ChunkTokens": 14}}, {"Name": "app"}},
		"Limits":   map[string]any{"MaxBodyBytes": limit},
	})
}

// upstream registers a scripted upstream. It does not describe its state.
func (d *deployment) upstream(id, service string, h http.HandlerFunc) {
	d.t.Helper()
	srv := httptest.NewServer(withState(func() int64 { return 0 }, h))
	d.t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	d.register(id, service, strings.TrimPrefix(srv.URL, "http://"), "ready")
}

// withState answers questions for an upstream's state with the start of its run, in Unix ms;
// 0: it does not say. All other requests go to h.
func withState(born func() int64, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		switch start := born(); {
		case req.URL.Path != platform.UpstreamStatePath:
			h(w, req)
		case start == 0:
			http.NotFound(w, req)
		default:
			w.Header().Set("Content-Type", "application/json")
			fmt.Fprintf(w, `{"Stage":"dual","Busy":false,"born":%d}`, start)
		}
	}
}

func (d *deployment) register(id, service, address, state string) {
	d.registerRun(id, service, address, state, 1)
}

// registerRun registers the run of an upstream that started at born, in Unix ms.
func (d *deployment) registerRun(id, service, address, state string, born int) {
	d.store.Put(platform.KindUpstreams, id, map[string]any{
		"Service": service, "Address": address, "Zone": "a1", "Slots": 8, "State": state, "born": born,
	})
}

// ready waits until an edge accepts callers and knows the given numbers of upstreams
// and storage processes.
func (p *process) ready(t *testing.T, upstreams, storages int) {
	t.Helper()
	eventually(t, "the edge is not ready", func() bool {
		select {
		case err := <-p.done:
			p.done <- err
			t.Fatalf("the edge has ended: %v", err)
		default:
		}
		return p.edge.view.ready() && p.edge.fleetLen() == upstreams && len(p.edge.view.Storage()) == storages && p.listens()
	})
}

// listens reports whether an edge accepts callers, which may be later than it knows
// the deployment.
func (p *process) listens() bool {
	c, err := net.Dial("tcp", p.settings.CallerListen)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

func (e *Edge) fleetLen() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fleet.Len()
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for range 2000 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal(what)
}

// response is what a caller received.
type response struct {
	status int
	header http.Header
	body   string
	err    error // the connection or the body broke off
}

// call sends one request on a new connection.
func (p *process) call(t *testing.T, method, path, body string, header map[string]string) response {
	t.Helper()
	return p.callContext(t, context.Background(), method, path, body, header)
}

func (p *process) callContext(t *testing.T, ctx context.Context, method, path, body string, header map[string]string) response {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.settings.CallerListen+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	for k, v := range header {
		req.Header.Set(k, v)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// runs records the requests that upstreams received.
type runs struct {
	mu      sync.Mutex
	bodies  []string
	headers []http.Header
}

// record records a request and returns its number, starting at 1.
func (r *runs) record(req *http.Request) int {
	body, _ := io.ReadAll(req.Body) // the edge sends complete bodies
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bodies = append(r.bodies, string(body))
	r.headers = append(r.headers, req.Header.Clone())
	return len(r.bodies)
}

func (r *runs) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.bodies)
}

func (r *runs) last() (string, http.Header) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bodies[len(r.bodies)-1], r.headers[len(r.headers)-1]
}

// sign sets the headers of a response created by an upstream.
func sign(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Attempt-Id", req.Header.Get("Attempt-Id"))
	w.Header().Set("Response-Signature", "s."+req.Header.Get("Target-Instance"))
}

// events writes the events from first to last.
func events(w http.ResponseWriter, req *http.Request, first, last int) {
	sign(w, req)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := first; i <= last; i++ {
		fmt.Fprintf(w, "id: %d\ndata: word%d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
}

// cut closes the connection before the end of the response.
func cut(w http.ResponseWriter) {
	panic(http.ErrAbortHandler)
}

// reset closes the connection before the first byte of the response.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = c.Close()
	}
}

func eventIDs(stream string) string {
	var list []string
	sc := bufio.NewScanner(bytes.NewReader([]byte(stream)))
	for sc.Scan() {
		if id, ok := strings.CutPrefix(sc.Text(), "id: "); ok {
			list = append(list, id)
		}
	}
	return strings.Join(list, " ")
}

func (d *deployment) storageWith(s *platform.Settings) *process {
	d.t.Helper()
	st, err := storage.New(s, d.logger())
	if err != nil {
		d.t.Fatal(err)
	}
	return d.run(s, nil, st.Run)
}

// counts reports whether a storage process has caught up.
func (d *deployment) counts(s *platform.Settings) bool {
	return d.fetchStatus(s, "no such turn") == peerv1.LedgerReply_NOT_FOUND
}

// holds reports whether a storage process has caught up and stores a turn.
func (d *deployment) holds(s *platform.Settings, id string) bool {
	return d.counts(s) && d.fetchStatus(s, id) == peerv1.LedgerReply_OK
}

// fetchStatus asks a storage process for a turn and returns the status of its reply.
func (d *deployment) fetchStatus(s *platform.Settings, id string) peerv1.LedgerReply_Status {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	tr, err := transport.New(transport.Config{
		Logger: d.logger(), Hello: func() *peerv1.Hello { return &peerv1.Hello{} },
	}, func(context.Context, *transport.Session, *transport.Stream, *peerv1.Envelope) {})
	if err != nil {
		d.t.Fatal(err)
	}
	defer func() { _ = tr.Close(ctx) }()
	r, err := ledger.Call(ctx, tr, s.PeerAddress(), &peerv1.LedgerRequest{
		Op: &peerv1.LedgerRequest_Fetch{Fetch: &peerv1.FetchChain{Turn: id}},
	})
	if err != nil {
		return peerv1.LedgerReply_UNREACHABLE
	}
	return r.GetStatus()
}
