package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/standin/loopback"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/platformstore"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	defaultEdges    = 4 // three of them watch the store
	defaultStorages = 3
	callers         = 8
	plannedStops    = 4 // edges that are restarted one by one
	// defaultSeconds is the default duration of the faults.
	defaultSeconds = 8
	maxProcesses   = 200             // of one deployment
	memoryMB       = 134             // memory limit of a process
	settleTime     = 4 * time.Second // time without faults before the last checks
)

// runsStarted counts the deployments, which gives each its own loopback addresses.
var runsStarted atomic.Uint32

// soak is one deployment under test.
type soak struct {
	t         *testing.T
	rng       *rand.Rand
	bin       string
	store     *platformstore.Store
	storeURL  *proxy
	port      int
	runs      *runRecorder
	edges     []*process
	storages  []*process
	upstreams []*upstream
	version   int
	started   int    // upstream processes so far
	subnet    uint32 // third byte of the processes' addresses
	size      deployment
}

// deployment is the size of a deployment and how its processes are set up.
type deployment struct {
	edges, storages int
	tolerated       int // lost disks that the settings allow
	// tracedDisks gives each storage process a simulated disk. The daemon must be built
	// with diskOverlay.
	tracedDisks bool
	// ownStores gives each process a proxy of its own to the store, so that the views
	// of the processes can differ.
	ownStores bool
	config    func(version int) map[string]any
}

func freePort(t *testing.T, ips ...string) int {
	t.Helper()
	port, err := loopback.FreePort(ips...)
	if err != nil {
		t.Fatal(err)
	}
	return port
}

// newSoak starts a deployment of the usual size.
func newSoak(t *testing.T, bin string, seed uint64) *soak {
	return newSoakOf(t, bin, seed, envInt(t, "SOAK_EDGES", defaultEdges), envInt(t, "SOAK_STORAGES", defaultStorages))
}

func newSoakOf(t *testing.T, bin string, seed uint64, edges, storages int) *soak {
	return newDeployment(t, bin, seed, deployment{edges: edges, storages: storages, tolerated: 1, config: config})
}

func newDeployment(t *testing.T, bin string, seed uint64, size deployment) *soak {
	s := &soak{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), bin: bin, store: platformstore.New(),
		runs: newRunRecorder(), version: 1, subnet: 1 + runsStarted.Add(1)%250, size: size,
	}
	s.port = freePort(t, loopback.Addresses(s.network(), 1, maxProcesses)...)
	srv := httptest.NewServer(s.store)
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	s.storeURL = newProxy(t, strings.TrimPrefix(srv.URL, "http://"))
	s.store.Put(platform.KindConfig, platform.ConfigName, size.config(s.version))
	for i := range 5 {
		service := "llm"
		if i >= 3 {
			service = "app"
		}
		s.upstreams = append(s.upstreams, newUpstream(t, s.runs, fmt.Sprintf("u%d", i+1), service, seed*10+uint64(i)))
		s.register(s.upstreams[i], "ready")
	}
	s.started = len(s.upstreams)
	for i := range size.storages {
		s.storages = append(s.storages, s.newProcessIn(zoneOf(i), "storage", s.address(101+i)))
	}
	for i := range size.edges {
		s.edges = append(s.edges, s.newProcess("edge", s.address(1+i)))
	}
	for _, p := range append(s.storages, s.edges...) {
		p.start(s.bin)
	}
	return s
}

// address returns the address of one process.
func (s *soak) address(n int) string { return fmt.Sprintf("%s%d", s.network(), n) }

// network returns the common prefix of the deployment's addresses. Its second byte
// differs between test processes, which may run concurrently: all processes use the same
// metrics port.
func (s *soak) network() string { return fmt.Sprintf("127.%d.%d.", 1+os.Getpid()%250, s.subnet) }

// register writes an upstream's registration to the store.
func (s *soak) register(u *upstream, state string) {
	id, service := u.identity()
	s.store.Put(platform.KindUpstreams, id, map[string]any{
		"Service": service, "Address": u.proxy.addr(), "Zone": "a1", "Slots": 8, "State": state, "born": 1,
	})
}

// configure writes a new version of the configuration to the store.
func (s *soak) configure(version int) {
	s.version = version
	s.store.Put(platform.KindConfig, platform.ConfigName, s.size.config(version))
}

// swapServices ends two upstreams of different services at the same time and gives the
// address of each to a new process of the other service.
func (s *soak) swapServices(a, b *upstream) {
	idA, serviceA := a.identity()
	idB, serviceB := b.identity()
	if serviceA == serviceB {
		return
	}
	s.store.Delete(platform.KindUpstreams, idA)
	s.store.Delete(platform.KindUpstreams, idB)
	s.started += 2
	a.reuse(fmt.Sprintf("u%d", s.started-1), serviceB)
	b.reuse(fmt.Sprintf("u%d", s.started), serviceA)
	s.register(a, "ready")
	s.register(b, "ready")
}

// faults injects overlapping faults until the context ends.
func (s *soak) faults(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	var disks sync.Mutex // at most one storage process has a fault at a time
	span := func(least, most int) time.Duration {
		return time.Duration(least+s.rng.IntN(most-least)) * time.Millisecond
	}
	harm := func(p *proxy, d time.Duration, on, off func(*proxy)) {
		p.set(on)
		time.Sleep(d)
		p.set(off)
		p.reset() // the connections lost data and can't be used any more
	}
	for ctx.Err() == nil {
		e, st, u := s.edges[s.rng.IntN(len(s.edges))], s.storages[s.rng.IntN(len(s.storages))], s.upstreams[s.rng.IntN(len(s.upstreams))]
		d, share := span(200, 1500), s.rng.Float64()*0.3
		var f func()
		switch kind := s.rng.IntN(15); kind {
		case 0:
			f = func() { s.restart(e, syscall.SIGKILL, false) }
		case 1:
			f = func() { s.restart(e, syscall.SIGTERM, false) }
		case 2:
			f = func() { e.pause(d) }
		case 3, 4:
			f = func() { disks.Lock(); defer disks.Unlock(); s.restart(st, syscall.SIGKILL, false) }
		case 5:
			f = func() {
				disks.Lock()
				defer disks.Unlock()
				s.restart(st, syscall.SIGKILL, true)
				time.Sleep(2 * time.Second) // until it has caught up
			}
		case 6:
			f = func() { disks.Lock(); defer disks.Unlock(); st.pause(d) }
		case 7:
			f = func() { s.store.SetDown(true); time.Sleep(d); s.store.SetDown(false) }
		case 8:
			f = func() { s.store.SetDeaf(true); time.Sleep(d); s.store.Compact(); s.store.SetDeaf(false) }
		case 9:
			f = func() { harm(u.proxy, d, func(p *proxy) { p.dropAll = true }, func(p *proxy) { p.dropAll = false }) }
		case 10:
			f = func() {
				harm(u.proxy, d, func(p *proxy) { p.dropResponses = true }, func(p *proxy) { p.dropResponses = false })
			}
		case 11:
			f = func() {
				harm(s.storeURL, d, func(p *proxy) { p.delay = 80 * time.Millisecond }, func(p *proxy) { p.delay = 0 })
			}
		case 12:
			f = u.proxy.reset
		case 13:
			s.configure(s.version + 1 + s.rng.IntN(3))
			u.setFaultRate(share)
			f = func() {}
		case 14:
			s.store.SetDeaf(true) // delays the notification of the processes
			s.swapServices(s.upstreams[s.rng.IntN(len(s.upstreams))], u)
			f = func() { time.Sleep(d); s.store.Compact(); s.store.SetDeaf(false) }
		}
		wg.Go(f)
		time.Sleep(span(50, 700))
	}
}

// caller runs programs until the context ends: turns with history and requests to the
// safe and unsafe routes, each at a random edge.
func (s *soak) caller(ctx context.Context, n int, seed uint64) {
	rng, onceRng := rand.New(rand.NewPCG(seed, uint64(100+n))), rand.New(rand.NewPCG(seed, uint64(1000+n)))
	for p := 0; ctx.Err() == nil; p++ {
		program := fmt.Sprintf("p%d-%d", n, p)
		budget := 40 + rng.IntN(400)
		spent, parent, history := 0, "", ""
		for turn := 0; turn < 8 && ctx.Err() == nil; turn++ {
			id := fmt.Sprintf("turn-%s-%d", program, turn)
			input := "in " + id + "\n"
			s.runs.expect(id, history+input)
			events, status, whole := s.turn(ctx, rng, id, parent, program, input, budget)
			spent += events * tokensPerEvent
			if spent > budget+eventsPerTurn*tokensPerEvent {
				s.runs.addViolation("%s handed out %d tokens of a budget of %d", program, spent, budget)
			}
			if status == http.StatusNotFound || status == http.StatusGone {
				s.runs.addViolation("%s is answered %d, its parent %s was answered whole", id, status, parent)
			}
			if whole {
				parent, history = id, history+input+output(id)
			}
			s.sendSimple(ctx, rng, "GET", "safe", fmt.Sprintf("safe-%s-%d", program, turn))
			s.sendSimple(ctx, rng, "POST", "unsafe", fmt.Sprintf("unsafe-%s-%d", program, turn))
			s.sendSimple(ctx, onceRng, "GET", "once", fmt.Sprintf("once-%s-%d", program, turn))
		}
	}
}

// timeLeft is how long the caller of a request waits.
const timeLeft = 3 * time.Second

// send sends one request to a random edge. Status 0 means that there was no response.
func (s *soak) send(ctx context.Context, rng *rand.Rand, method, path, id, body string, h map[string]string) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.edges[rng.IntN(len(s.edges))].caller+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Host = "h.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(timeLeft.Milliseconds(), 10))
	s.runs.recordSent(id, timeLeft)
	for k, v := range h {
		req.Header.Set(k, v)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	switch resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusPaymentRequired:
		s.runs.recordRefusal(id, resp.Status)
	}
	return resp.StatusCode, string(data), err
}

// client opens a connection for each request, because net/http retries a request when a
// reused connection turns out to be closed.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

func (s *soak) turn(ctx context.Context, rng *rand.Rand, id, parent, program, input string, budget int) (events, status int, whole bool) {
	h := map[string]string{
		"Program-Id": program, "Token-Budget": strconv.Itoa(budget), "Token-Count": "10," + strconv.Itoa(eventsPerTurn*tokensPerEvent),
	}
	if parent != "" {
		h["Parent-Turn"] = parent
	}
	status, body, err := s.send(ctx, rng, "POST", "/turn/x", id, input, h)
	if status != http.StatusOK {
		return 0, status, false
	}
	for i, ev := range strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n") {
		if want := fmt.Sprintf("id: %d\ndata: %s-%d", i+1, id, i+1); body != "" && ev == want {
			events++
		} else if err == nil {
			s.runs.addViolation("%s: event %d is %q", id, i+1, ev)
		}
	}
	if err == nil && events != eventsPerTurn {
		s.runs.addViolation("%s ends as complete after %d events", id, events)
	}
	return events, status, err == nil
}

func (s *soak) sendSimple(ctx context.Context, rng *rand.Rand, method, kind, id string) {
	s.runs.expect(id, "")
	status, body, err := s.send(ctx, rng, method, "/"+kind+"/x", id, "", nil)
	if status == http.StatusOK && err == nil && body != "answer "+id {
		s.runs.addViolation("%s got %q", id, body)
	}
	if status == http.StatusNotFound {
		s.runs.addViolation("%s is answered 404 on a route of all configurations", id)
	}
}

func (s *soak) waitReady() {
	deadline := time.Now().Add(20 * time.Second)
	for _, e := range s.edges {
		for {
			resp, err := client.Get("http://" + e.ready + platform.ReadinessPath)
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				s.t.Fatalf("edge %s is not ready; its log:\n%s", e.ip, e.log.String())
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// checkRecovery checks that turns are served again after the faults.
func (s *soak) checkRecovery(ctx context.Context) {
	for _, u := range s.upstreams {
		u.setFaultRate(0)
	}
	time.Sleep(settleTime)
	rng := rand.New(rand.NewPCG(1, 1))
	served := 0
	const tries = 20
	for i := range tries {
		id := fmt.Sprintf("turn-last-%d", i)
		s.runs.expect(id, "in")
		if _, status, whole := s.turn(ctx, rng, id, "", "last"+strconv.Itoa(i), "in", 1000); status == http.StatusOK && whole {
			served++
		}
	}
	if served < tries*9/10 {
		s.runs.addViolation("%d of %d turns are served after the faults", served, tries)
	}
}

// play runs all phases of a seed and returns the violations.
func (s *soak) play(seed uint64, faults time.Duration) []string {
	s.waitReady()
	ctx, cancel := context.WithTimeout(context.Background(), faults)
	defer cancel()
	var wg sync.WaitGroup
	for n := range callers {
		wg.Go(func() { s.caller(ctx, n, seed) })
	}
	s.faults(ctx)
	wg.Wait()
	s.checkRecovery(context.Background())
	s.checkPlannedStops(seed)
	return s.runs.check()
}

// keepLogs writes the logs of the processes to files.
func (s *soak) keepLogs(seed uint64) {
	for _, p := range append(s.edges, s.storages...) {
		path := filepath.Join(os.TempDir(), fmt.Sprintf("soak-%d-%s-%s.log", seed, p.role, p.ip))
		if err := os.WriteFile(path, []byte(p.log.String()), 0o644); err == nil {
			s.t.Logf("log kept: %s", path)
		}
	}
}

// seeds returns the seeds given by SOAK_SEEDS, which is a number or a range such as
// "1-50".
func seeds(t *testing.T) []uint64 {
	v := os.Getenv("SOAK_SEEDS")
	if v == "" {
		v = "1-2"
	}
	from, to, ranged := strings.Cut(v, "-")
	first, err := strconv.ParseUint(from, 10, 64)
	last := first
	if err == nil && ranged {
		last, err = strconv.ParseUint(to, 10, 64)
	}
	if err != nil {
		t.Fatal("SOAK_SEEDS: ", err)
	}
	var list []uint64
	for i := first; i <= last; i++ {
		list = append(list, i)
	}
	return list
}

// envInt returns the number in an environment variable, or preset if it is not set.
func envInt(t *testing.T, variable string, preset int) int {
	v := os.Getenv(variable)
	if v == "" {
		return preset
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < 1 || n > 100 {
		t.Fatalf("%s is %q, want 1 to 100", variable, v)
	}
	return n
}

func faultDuration(t *testing.T) time.Duration {
	return time.Duration(envInt(t, "SOAK_SECONDS", defaultSeconds)) * time.Second
}

// statSources makes the source of the daemon an input of the test. Otherwise go test
// would reuse a cached result after a change of the daemon, which the test builds itself.
func statSources(t *testing.T) {
	t.Helper()
	for _, folder := range []string{"../cmd", "../pkg", "../platform"} {
		err := filepath.WalkDir(folder, func(path string, _ os.DirEntry, err error) error {
			if err == nil {
				_, err = os.Stat(path)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// build builds the daemon and returns its path.
func build(t *testing.T, args ...string) string {
	t.Helper()
	statSources(t)
	bin := filepath.Join(t.TempDir(), "yuccaspindled")
	args = append([]string{"build", "-o", bin}, append(args, "../cmd/yuccaspindled")...)
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return bin
}

// forEachSeed runs a soak for each seed, on a deployment of its own. If it fails, the
// logs of the processes are kept.
func forEachSeed(t *testing.T, run func(t *testing.T, s *soak, seed uint64)) {
	bin := build(t)
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			s := newSoak(t, bin, seed)
			run(t, s, seed)
			if t.Failed() {
				s.keepLogs(seed)
			}
		})
	}
}

// Guards the guarantees of the system against killed, stopped and paused processes, lost
// disks, faults of the store and faulty connections.
func TestSoak(t *testing.T) {
	forEachSeed(t, func(t *testing.T, s *soak, seed uint64) {
		for _, fault := range s.play(seed, faultDuration(t)) {
			t.Error(fault)
		}
		if len(s.runs.runs) < 20 {
			t.Errorf("only %d requests ran", len(s.runs.runs))
		}
		t.Logf("%d requests ran, %d were refused", len(s.runs.runs), len(s.runs.refused))
	})
}
