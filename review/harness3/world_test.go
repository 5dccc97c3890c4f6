//go:build review3

// Package harness3 starts the two programs of the deploy file as separate processes on
// loopback addresses, with stand-ins for the platform's store and the workers, for the
// cases 12 and later of the review. review/build-3.sh builds it.
package harness3

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/standin/loopback"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/platformstore"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// exitCode is what the process ends with; a case that doesn't set it couldn't run.
var exitCode = exitNotRun

func TestMain(m *testing.M) {
	if m.Run() != 0 && exitCode == exitHeld {
		exitCode = exitNotRun
	}
	os.Exit(exitCode)
}

// trouble reports whether the case plays its disruption.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

const chunkTokens = 14 // tokens of one event, from the site file

var regions = map[string]string{"dar-kinondoni": "dar-coast", "dar-temeke": "dar-coast", "arusha-njiro": "arusha-north"}

// world is one small deployment: the numbers are those of the site lango-dispatch.
type world struct {
	t        *testing.T
	dir      string
	network  string
	peerPort int
	store    *platformstore.Store
	storeURL string
	record   *os.File
	began    time.Time

	mu       sync.Mutex
	edges    []*process
	storages []*process
	seeds    []string
}

func newWorld(t *testing.T, config map[string]any) *world {
	w := &world{t: t, dir: t.TempDir(), store: platformstore.New(), began: time.Now()}
	w.network = fmt.Sprintf("127.%d.%d.", 1+os.Getpid()%250, 1+rand.IntN(250))
	var err error
	if w.record, err = os.Create(os.Getenv("RECORD")); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = w.record.Close() })
	srv := httptest.NewServer(w.store)
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	w.storeURL = strings.TrimPrefix(srv.URL, "http://")
	if w.peerPort, err = loopback.FreePort(loopback.Addresses(w.network, 1, 16)...); err != nil {
		t.Fatal(err)
	}
	w.store.Put("config", "main", config)
	return w
}

// say writes a line of the record.
func (w *world) say(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// process is an edge or a storage process.
type process struct {
	w                    *world
	name, role, ip, zone string
	caller, ready        string
	settings, dataDir    string
	log                  *os.File

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// add adds a machine with a process that was not started.
func (w *world) add(role, zone string, number int) *process {
	p := &process{w: w, name: fmt.Sprintf("%s-%s-%d", role, zone, number), role: role, zone: zone}
	p.ip = w.network + strconv.Itoa(1+len(w.edges)+len(w.storages))
	port := func() string {
		n, err := loopback.FreePort(p.ip)
		if err != nil {
			w.t.Fatal(err)
		}
		return net.JoinHostPort(p.ip, strconv.Itoa(n))
	}
	p.caller, p.ready = port(), port()
	p.settings = filepath.Join(w.dir, p.name+".json")
	if role == "storage" {
		p.dataDir = filepath.Join(w.dir, "data-"+p.name)
		w.storages = append(w.storages, p)
	} else {
		w.edges = append(w.edges, p)
		if len(w.seeds) < 3 {
			w.seeds = append(w.seeds, net.JoinHostPort(p.ip, "8144"))
		}
	}
	return p
}

// memory returns the process's limit in MB.
func (p *process) memory() int {
	if p.role == "edge" {
		return 134
	}
	return 154
}

// writeSettings writes the settings file as the platform does from the template, which is all
// fields as JSON.
func (p *process) writeSettings(firstStart bool) {
	w := p.w
	listen, serves, memory, fds := map[string]any{}, []string{"storage"}, p.memory(), 8200
	var dataDir any
	if p.role == "edge" {
		listen = map[string]any{"Frontend": p.caller, "Ready": p.ready, "ControlPlane": net.JoinHostPort(p.ip, "8144")}
		serves, fds = []string{"edge", "control"}, 4100
	} else {
		dataDir = p.dataDir
	}
	data, err := json.Marshal(map[string]any{
		"NodeName": p.name, "Role": p.role, "MachineClass": p.role, "Serves": serves, "Ip": p.ip, "Zone": p.zone, "Region": regions[p.zone],
		"Zones": regions, "ListenAddresses": listen, "InternalPortRange": []int{w.peerPort, w.peerPort + 15}, "Seeds": w.seeds,
		"IsFirstStart": firstStart, "IsCounted": p.role == "storage", "DataDir": dataDir, "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1200,
		"Limits":         map[string]any{"CpuShare": 0.304, "Cores": 1, "MemoryMb": memory, "MaxFds": fds, "LinkMbps": 1000.0, "DiskMb": 360},
		"FaultTolerance": map[string]any{"MachineCount": 1, "Zones": 0, "RegionCount": 0},
		"Bounds": map[string]any{
			"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 4000, "AckMs": 5000, "CatchUpS": 4.4, "DrainMs": 3000, "GraceS": 8, "LossSlackMs": 200,
			"ConfigApplyMs": 3000, "RollbackSlackMs": 250, "StretchMaxMs": 6000, "RecoverS": 12, "IterationMs": 400, "RetryAfterS": 0, "FinishS": 10, "SettleMs": 1000,
		},
		"Platform": map[string]any{"Address": w.storeURL, "form": "objects", "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1048576, "TtlMinMs": 1000},
	})
	if err == nil {
		err = os.WriteFile(p.settings, data, 0o600)
	}
	if err != nil {
		w.t.Fatal(err)
	}
}

// start starts the process with the command of the deploy file.
func (p *process) start(firstStart bool) {
	p.writeSettings(firstStart)
	p.mu.Lock()
	defer p.mu.Unlock()
	var err error
	if p.log == nil {
		if p.log, err = os.Create(filepath.Join(p.w.dir, p.name+".log")); err != nil {
			p.w.t.Fatal(err)
		}
	}
	cmd := exec.Command("target/yuccaspindled", p.role)
	cmd.Dir, cmd.Stdout, cmd.Stderr = os.Getenv("ROOT"), p.log, p.log
	cmd.Env = append(os.Environ(), "YUCCASPINDLE_BOOT="+p.settings)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		p.w.t.Fatal(err)
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() { _ = cmd.Wait(); close(ended) }()
	p.w.say("%s starts", p.name)
}

// kill ends the process at once.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.ended
	p.w.say("%s is killed", p.name)
}

// run starts all processes and ends them with the test.
func (w *world) run() {
	all := append(append([]*process{}, w.storages...), w.edges...)
	for _, p := range all {
		p.start(true)
	}
	w.t.Cleanup(func() {
		for _, p := range all {
			p.kill()
			if os.Getenv("KEEP_LOGS") != "" {
				data, _ := os.ReadFile(filepath.Join(w.dir, p.name+".log"))
				_ = os.WriteFile(filepath.Join(os.Getenv("KEEP_LOGS"), p.name+".log"), data, 0o600)
			}
		}
	})
	for _, p := range w.edges {
		w.awaitReady(p)
	}
	time.Sleep(4 * time.Second) // the platform sends traffic 10 s after the start
}

// awaitReady waits until the platform would send callers to an edge.
func (w *world) awaitReady(p *process) {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + p.ready + "/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	w.t.Fatalf("%s is not ready", p.name)
}

// config returns the configuration: one route for turns, as in the site file.
func config() map[string]any {
	return map[string]any{
		"Version": 7,
		"Routes": []map[string]any{{
			"Name": "triage", "Host": "ficu95.example", "PathPrefix": "/lohu930/", "Kind": "streaming", "TimeoutMs": 3000, "TargetLatencyMs": 300, "Priority": 1,
			"Service": "models", "MaxAttempts": 2, "ServerHistory": false, "RetentionS": 60.0, "Sticky": true, "Resumable": true, "GapTargetMs": 150,
		}},
		"Services": []map[string]any{{
			"Name": "models", "HealthPath": "/healthz", "MaxConnections": 140, "Protocol": "h1", "Tls": false,
			"Engine": map[string]any{"Slots": 8, "KvCapacityTokens": 97943, "KvBytes": 18432, "LinkMbps": 280000.0, "ChunkTokens": chunkTokens, "Models": []map[string]any{{"Name": "m"}}},
		}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}
