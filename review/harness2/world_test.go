//go:build review2

// Package harness2 holds the stand-ins of the cases 6 to 10: the platform with its store and
// its supervision of processes, the workers, and the clients. The processes under test are
// started with the commands of the deploy file.
package harness2

import (
	"encoding/json"
	"fmt"
	"net"
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
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/standin/loopback"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/platformstore"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

const (
	edgeCount    = 4
	storageCount = 3
	workerCount  = 8
	slots        = 8
	host         = "lango.example"
	modelService = "agent-models"
	appService   = "field-apps"
	chunkTokens  = 14
)

// Zones of the small deployment, by region.
var zones = map[string]string{"dar-kinondoni": "dar-coast", "dar-temeke": "dar-coast", "arusha-njiro": "arusha-north"}

var zoneOrder = []string{"dar-kinondoni", "arusha-njiro", "dar-temeke"}

// bounds are those of the small deployment.
var bounds = map[string]any{
	"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 4000, "AckMs": 5000, "CatchUpS": 4.4, "DrainMs": 3000, "GraceS": 8,
	"LossSlackMs": 200, "ConfigApplyMs": 3000, "RollbackSlackMs": 250, "StretchMaxMs": 6000, "RecoverS": 12,
	"IterationMs": 400, "RetryAfterS": 0, "FinishS": 10, "SettleMs": 1000,
}

// world is one deployment with its surroundings.
type world struct {
	dir      string
	prefix   string // of the loopback addresses
	peerPort int
	store    *platformstore.Store
	storeSrv *httptest.Server
	workers  []*worker
	edges    []*process
	storages []*process
	record   *record
	trouble  bool
	bounds   map[string]any
	added    int // edges that were added later
}

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{f: f, began: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// limits are the limits of the machines of a class.
type limits struct{ memoryMB, fds, diskMB int }

var (
	edgeLimits    = limits{memoryMB: 134, fds: 4100}
	storageLimits = limits{memoryMB: 154, fds: 8200, diskMB: 360}
)

// process is an edge or storage process that the platform keeps running.
type process struct {
	w        *world
	role     string
	name, ip string
	zone     string
	limits   limits
	settings string
	dataDir  string
	frontend string
	ready    string

	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{}
	stopped  bool // not to be started again
	overruns int  // ended by the platform because of its memory
	ownEnds  int  // ended without a signal of this test
	peakKB   int
	signaled bool
	starts   int
	gone     bool // removed for good; used by one goroutine
}

// newWorld starts the store and the workers and prepares the processes. config is the first
// configuration.
func newWorld(rec *record, config map[string]any) (*world, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, store: platformstore.New(), record: rec, trouble: os.Getenv("TROUBLE") != "0", bounds: bounds}
	running.Store(w)
	w.prefix = fmt.Sprintf("127.%d.%d.", 1+os.Getpid()%250, 1+(os.Getpid()/250)%250)
	if w.peerPort, err = loopback.FreePort(loopback.Addresses(w.prefix, 1, 120)...); err != nil {
		return nil, err
	}
	w.storeSrv = httptest.NewServer(w.store)
	w.store.Put("config", "main", config)
	for i := range workerCount {
		if err := w.addWorker(modelService, i, 11+i); err != nil {
			return nil, err
		}
	}
	for i := range 6 {
		if err := w.addWorker(appService, workerCount+i, 31+i); err != nil {
			return nil, err
		}
	}
	for i := range storageCount {
		if err := w.addProcess("storage", zoneOrder[i%len(zoneOrder)], 101+i, storageLimits); err != nil {
			return nil, err
		}
	}
	edgeZones := []string{"dar-kinondoni", "arusha-njiro", "dar-temeke", "dar-kinondoni"}
	for i := range edgeCount {
		if err := w.addProcess("edge", edgeZones[i], 1+i, edgeLimits); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func (w *world) addProcess(role, zone string, n int, l limits) error {
	p := &process{w: w, role: role, name: fmt.Sprintf("%s-%d", role, n), ip: w.prefix + strconv.Itoa(n), zone: zone, limits: l}
	p.settings = filepath.Join(w.dir, p.name+".json")
	if role == "storage" {
		p.dataDir = filepath.Join(w.dir, p.name)
		w.storages = append(w.storages, p)
	} else {
		for _, a := range []*string{&p.frontend, &p.ready} {
			port, err := loopback.FreePort(p.ip)
			if err != nil {
				return err
			}
			*a = net.JoinHostPort(p.ip, strconv.Itoa(port))
		}
		w.edges = append(w.edges, p)
	}
	return nil
}

// writeSettings writes the settings file as DEPLOY.md describes it.
func (p *process) writeSettings(first bool) error {
	w := p.w
	m := map[string]any{
		"NodeName": p.name, "Role": p.role, "MachineClass": p.role, "Serves": []string{p.role}, "Ip": p.ip, "Zone": p.zone,
		"Region": zones[p.zone], "Zones": zones, "InternalPortRange": []int{w.peerPort, w.peerPort + 1},
		"Seeds":        w.seeds(),
		"IsFirstStart": first, "IsCounted": p.role == "storage",
		"Limits":  map[string]any{"CpuShare": 0.8, "Cores": 1, "MemoryMb": p.limits.memoryMB, "MaxFds": p.limits.fds, "LinkMbps": 1000.0, "DiskMb": p.limits.diskMB},
		"DataDir": nil, "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1200,
		"Contracts":      []string{"base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"},
		"FaultTolerance": map[string]int{"MachineCount": 1, "Zones": 0, "RegionCount": 0}, "Bounds": w.bounds,
		"Platform":        map[string]any{"Address": strings.TrimPrefix(w.storeSrv.URL, "http://"), "form": "objects", "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1 << 20, "TtlMinMs": 1000},
		"ListenAddresses": map[string]string{},
	}
	if p.role == "storage" {
		m["DataDir"] = p.dataDir
	} else {
		m["Serves"] = []string{"edge", "control"}
		m["ListenAddresses"] = map[string]string{"Frontend": p.frontend, "Ready": p.ready, "ControlPlane": p.ip + ":8144"}
	}
	data, err := json.Marshal(m)
	if err != nil {
		return err
	}
	return os.WriteFile(p.settings, data, 0o644)
}

// seeds returns the addresses of the first three edges that are there.
func (w *world) seeds() (list []string) {
	for _, e := range w.edges {
		if len(list) < 3 && !e.gone {
			list = append(list, e.ip+":8144")
		}
	}
	return list
}

// replaceEdge removes an edge machine for good and adds a new one at another address.
func (w *world) replaceEdge(e *process, after time.Duration) error {
	w.record.line("%s is gone for good", e.name)
	e.mu.Lock()
	e.stopped = true
	e.mu.Unlock()
	e.signal(syscall.SIGKILL)
	e.waitEnd(time.Second)
	e.gone = true
	time.Sleep(after)
	w.added++
	if err := w.addProcess("edge", e.zone, edgeCount+w.added, edgeLimits); err != nil {
		return err
	}
	added := w.edges[len(w.edges)-1]
	w.record.line("%s comes at another address", added.name)
	return added.start(false)
}

// living returns the edges that are there.
func (w *world) living() (list []*process) {
	for _, e := range w.edges {
		if !e.gone {
			list = append(list, e)
		}
	}
	return list
}

// start starts the process with the command of the deploy file.
func (p *process) start(first bool) error {
	if err := p.writeSettings(first); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(p.w.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/yuccaspindled", p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "YUCCASPINDLE_BOOT=" + p.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.starts++
	p.signaled = false
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		if !p.signaled && !p.stopped {
			p.ownEnds++
			p.w.record.line("%s ended by itself: %v", p.name, err)
		}
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.signaled = p.signaled || s == syscall.SIGKILL || s == syscall.SIGTERM
		_ = p.cmd.Process.Signal(s)
	}
}

// waitEnd waits until the process has ended; after grace it is killed, as the platform does.
func (p *process) waitEnd(grace time.Duration) {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(grace):
		p.signal(syscall.SIGKILL)
		<-ended
	}
}

// restart ends the process with a signal and starts it again.
func (p *process) restart(s syscall.Signal, down time.Duration) error {
	p.w.record.line("%s gets %v", p.name, s)
	p.signal(s)
	p.waitEnd(8 * time.Second)
	time.Sleep(down)
	p.w.record.line("%s starts again", p.name)
	return p.start(false)
}

// rssKB returns the resident memory of the process; 0: it does not run.
func (p *process) rssKB() int {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() / 1024
}

// supervise does what the platform does: a process that uses more than its memory is killed, and
// one that has ended is started again after a short delay. It returns when done is closed.
func (w *world) supervise(p *process, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		kb := p.rssKB()
		p.mu.Lock()
		p.peakKB = max(p.peakKB, kb)
		over := kb > p.limits.memoryMB*1024
		p.mu.Unlock()
		if !over {
			continue
		}
		p.mu.Lock()
		p.overruns++
		n := p.overruns
		p.mu.Unlock()
		w.record.line("%s uses %d MB, its limit is %d MB: the platform kills it (%d)", p.name, kb/1024, p.limits.memoryMB, n)
		p.signal(syscall.SIGKILL)
		p.waitEnd(time.Second)
		time.Sleep(300 * time.Millisecond)
		if err := p.start(false); err != nil {
			w.record.line("%s not started: %v", p.name, err)
		}
	}
}

// startAll starts all processes as at the first start and waits until the edges are ready.
func (w *world) startAll() error {
	for _, p := range append(append([]*process{}, w.storages...), w.edges...) {
		if err := p.start(true); err != nil {
			return err
		}
	}
	return w.waitReady(20 * time.Second)
}

func (w *world) waitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, e := range w.living() {
		for !e.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (p *process) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + p.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop ends everything that was started and removes the temporary folder.
func (w *world) stop() {
	for _, p := range append(append([]*process{}, w.storages...), w.edges...) {
		p.mu.Lock()
		p.stopped = true
		p.mu.Unlock()
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		p.waitEnd(5 * time.Second)
	}
	for _, k := range w.workers {
		k.srv.CloseClientConnections()
		k.srv.Close()
	}
	if w.storeSrv != nil {
		w.storeSrv.CloseClientConnections()
		w.storeSrv.Close()
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept:", w.dir)
	}
}

// worker is a worker of a service, as PROTOCOL.md describes it.
type worker struct {
	w       *world
	id      string
	service string
	addr    string
	srv     *httptest.Server
	born    int64
	active  atomic.Int64
}

func (w *world) addWorker(service string, n, ip int) error {
	k := &worker{w: w, id: fmt.Sprintf("i-%08x", 0x5e110000+n), service: service, born: time.Now().UnixMilli()}
	ln, err := net.Listen("tcp", w.prefix+strconv.Itoa(ip)+":0")
	if err != nil {
		return err
	}
	k.srv = httptest.NewUnstartedServer(k)
	_ = k.srv.Listener.Close()
	k.srv.Listener = ln
	k.srv.Start()
	k.addr = ln.Addr().String()
	w.workers = append(w.workers, k)
	w.store.Put("servers", k.id, map[string]any{
		"Service": service, "Address": k.addr, "Zone": zoneOrder[n%len(zoneOrder)], "Version": "v1", "Slots": slots, "State": "ready",
		"ColdRemainingMs": 0, "Sequence": 1, "born": k.born,
	})
	return nil
}
