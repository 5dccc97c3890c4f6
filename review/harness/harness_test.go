//go:build review

// Package harness runs the scripted cases of an independent review. It starts the programs
// of the deploy file as separate processes on loopback addresses, with stand-ins for the
// platform's store, upstreams and callers, and checks what these see.
//
// review/build.sh builds it as a test binary, so that neither the default test run nor CI
// runs the cases. The environment variable CASE names the case to run.
package harness

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/standin/platformstore"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// site is what the cases need of an installation's sheet.
type site struct {
	zones       []string          // those of the edges and workers, in turn
	storage     []string          // zones of the storage machines
	regions     map[string]string // by zone
	tolerated   int               // machines with a disk that may be lost at once
	contactTime time.Duration
	drainTime   time.Duration
	graceTime   time.Duration
	recoverTime time.Duration
	catchUpTime time.Duration
	configTime  time.Duration
}

// lango is the installation lango-dispatch, grown is lango-dispatch-grown.
var (
	lango = site{
		zones:     []string{"dar-kinondoni", "dar-temeke", "arusha-njiro"},
		storage:   []string{"dar-kinondoni", "dar-temeke", "arusha-njiro"},
		regions:   map[string]string{"dar-kinondoni": "dar-coast", "dar-temeke": "dar-coast", "arusha-njiro": "arusha-north"},
		tolerated: 1, contactTime: 4 * time.Second, drainTime: 3 * time.Second, graceTime: 8 * time.Second,
		recoverTime: 12 * time.Second, catchUpTime: 4400 * time.Millisecond, configTime: 3 * time.Second,
	}
	grown = site{
		zones: []string{"dar-kinondoni", "dar-temeke", "dar-ilala", "arusha-njiro", "arusha-sakina", "arusha-kijenge"},
		storage: []string{
			"dar-kinondoni", "dar-kinondoni", "arusha-njiro", "arusha-njiro",
			"dar-temeke", "arusha-sakina", "dar-ilala", "arusha-kijenge",
		},
		regions: map[string]string{
			"dar-kinondoni": "dar-coast", "dar-temeke": "dar-coast", "dar-ilala": "dar-coast",
			"arusha-njiro": "arusha-north", "arusha-sakina": "arusha-north", "arusha-kijenge": "arusha-north",
		},
		tolerated: 2, contactTime: 5 * time.Second, drainTime: 4 * time.Second, graceTime: 8 * time.Second,
		recoverTime: 15 * time.Second, catchUpTime: 6 * time.Second, configTime: 4 * time.Second,
	}
)

// scriptedCase is one case.
type scriptedCase struct {
	site site
	run  func(*world) int
}

// cases are the scripted cases by name.
var cases = map[string]scriptedCase{}

func TestMain(*testing.M) {
	c, ok := cases[os.Getenv("CASE")]
	if !ok {
		fmt.Fprintln(os.Stderr, "CASE names no case")
		os.Exit(notRun)
	}
	os.Exit(runCase(c))
}

// runCase prepares a world, runs a case in it and ends all its processes.
func runCase(c scriptedCase) (code int) {
	w, err := newWorld(c.site)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer w.close()
	defer func() {
		if e, ok := recover().(setupError); ok {
			w.note("the case could not run: %v", e.err)
			code = notRun
		}
	}()
	code = c.run(w)
	w.note("exit code %d (0: the rule held, 1: it was broken)", code)
	return code
}

// setupError ends a case that cannot run.
type setupError struct{ err error }

func must(err error) {
	if err != nil {
		panic(setupError{err})
	}
}

// world is one deployment with its stand-ins.
type world struct {
	site    site
	trouble bool
	began   time.Time
	dir     string
	binary  string
	network string // the first three numbers of its loopback addresses
	port    int    // for connections between the processes

	recordMu sync.Mutex
	record   *os.File
	bodies   map[string]string // with which workers ran requests, by request id

	store     *platformstore.Store
	storeLink *link // between the processes and the store
	storeAddr string
	procs     []*process
	closers   []func()
}

func newWorld(s site) (*world, error) {
	w := &world{site: s, bodies: make(map[string]string), trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		return nil, err
	}
	w.record = record
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if w.binary, err = filepath.Abs("target/yuccaspindled"); err != nil {
		return nil, err
	}
	// The port of the metrics is fixed, so each run has addresses of its own.
	w.network = fmt.Sprintf("127.%d.%d", 10+os.Getpid()/250%200, 1+os.Getpid()%250)
	if w.port, err = freePort(w.network + ".1"); err != nil {
		return nil, err
	}
	w.store = platformstore.New()
	server, addr, err := serve("127.0.0.1:0", w.store)
	if err != nil {
		return nil, err
	}
	w.storeAddr = addr
	w.closers = append(w.closers, func() { _ = server.Close() })
	if w.storeLink, err = newLink(addr); err != nil {
		return nil, err
	}
	w.closers = append(w.closers, w.storeLink.close)
	return w, nil
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, p := range w.procs {
		p.kill()
	}
	for _, f := range w.closers {
		f()
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// serve starts an HTTP server and returns its address.
func serve(address string, h http.Handler) (*http.Server, string, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, "", err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(ln) }()
	return s, ln.Addr().String(), nil
}

func freePort(ip string) (int, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return 0, err
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

// process is an edge or storage process under test.
type process struct {
	w              *world
	role, ip, zone string
	settings       string
	frontend       string
	ready          string
	dataDir        string
	log            *os.File

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// addProcess prepares a process of a role; n is its number in the deployment, from 1.
func (w *world) addProcess(role string, n int) *process {
	p := &process{w: w, role: role, ip: fmt.Sprintf("%s.%d", w.network, n), zone: w.site.zones[(n-1)%len(w.site.zones)]}
	p.settings = filepath.Join(w.dir, p.name()+".json")
	if role == "storage" {
		p.dataDir = filepath.Join(w.dir, p.name()+"-data")
		must(os.Mkdir(p.dataDir, 0o755))
	} else {
		for _, to := range []*string{&p.frontend, &p.ready} {
			port, err := freePort(p.ip)
			must(err)
			*to = net.JoinHostPort(p.ip, strconv.Itoa(port))
		}
	}
	log, err := os.Create(filepath.Join(w.dir, p.name()+".log"))
	must(err)
	p.log = log
	w.procs = append(w.procs, p)
	return p
}

func (p *process) name() string { return p.role + "-" + p.ip }

// writeSettings writes the settings file.
func (p *process) writeSettings(first bool) {
	memory, listen := 154, map[string]string{}
	if p.role == "edge" {
		memory = 134
		listen = map[string]string{"Frontend": p.frontend, "Ready": p.ready, "ControlPlane": net.JoinHostPort(p.ip, "8144")}
	}
	m := map[string]any{
		"NodeName": p.name(), "Role": p.role, "MachineClass": p.role, "Ip": p.ip, "Zone": p.zone, "Region": p.w.site.regions[p.zone], "Zones": p.w.site.regions,
		"ListenAddresses": listen, "InternalPortRange": []int{p.w.port, p.w.port + 15}, "Seeds": p.w.seeds(),
		"IsFirstStart": first, "IsCounted": p.role == "storage",
		"Limits":  map[string]any{"CpuShare": 0.3, "Cores": 1, "MemoryMb": memory, "MaxFds": 4100, "LinkMbps": 1000.0},
		"DataDir": nil, "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1200,
		"FaultTolerance": map[string]int{"MachineCount": p.w.site.tolerated, "Zones": 0, "RegionCount": 0},
		"Bounds": map[string]any{
			"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": p.w.site.contactTime.Milliseconds(), "AckMs": 5000, "CatchUpS": p.w.site.catchUpTime.Seconds(),
			"DrainMs": p.w.site.drainTime.Milliseconds(), "GraceS": p.w.site.graceTime.Seconds(), "LossSlackMs": 200, "ConfigApplyMs": p.w.site.configTime.Milliseconds(),
			"RollbackSlackMs": 250, "StretchMaxMs": 6000, "RecoverS": p.w.site.recoverTime.Seconds(), "IterationMs": 400,
		},
		"Platform": map[string]any{"Address": p.w.storeLink.addr(), "form": "objects", "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20, "ValueBytes": 1048576},
	}
	if p.dataDir != "" {
		m["DataDir"] = p.dataDir
	}
	must(os.WriteFile(p.settings, encode(m), 0o644))
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	must(err)
	return data
}

// start starts the process with the command of the deploy file.
func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.w.binary, p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + p.settings}
	cmd.Stdout, cmd.Stderr = p.log, p.log
	must(cmd.Start())
	done := make(chan struct{})
	go func() { _ = cmd.Wait(); close(done) }()
	p.cmd, p.done = cmd, done
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// deploy starts edges and storage processes and waits until all edges are ready.
func (w *world) deploy(edges int) (e, s []*process) {
	for n := 1; n <= edges; n++ {
		e = append(e, w.addProcess("edge", n))
	}
	for i, zone := range w.site.storage {
		p := w.addProcess("storage", edges+1+i)
		p.zone = zone
		s = append(s, p)
	}
	for _, p := range w.procs {
		p.writeSettings(true)
		p.start()
	}
	for _, p := range e {
		w.waitFor("readiness of "+p.name(), func() bool { return p.isReady() })
	}
	time.Sleep(w.site.contactTime)
	return e, s
}

// seeds are the addresses of the first edges.
func (w *world) seeds() []string {
	var list []string
	for n := range 3 {
		list = append(list, fmt.Sprintf("%s.%d:8144", w.network, n+1))
	}
	return list
}

func (w *world) waitFor(what string, f func() bool) {
	for end := time.Now().Add(20 * time.Second); !f(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			panic(setupError{fmt.Errorf("%s took over 20 s", what)})
		}
	}
}

func (p *process) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + p.ready + platform.ReadinessPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// link is a proxy that can go silent: it then passes nothing on and accepts connections
// without an answer.
type link struct {
	ln     net.Listener
	target string

	mu     sync.Mutex
	silent bool
	ended  chan struct{} // closed when the silence ends
	conns  map[net.Conn]bool
}

func newLink(target string) (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{ln: ln, target: target, conns: make(map[net.Conn]bool)}
	go l.accept()
	return l, nil
}

func (l *link) addr() string { return l.ln.Addr().String() }

func (l *link) accept() {
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return
		}
		go l.join(c)
	}
}

func (l *link) join(c net.Conn) {
	l.wait()
	t, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = c.Close()
		return
	}
	l.mu.Lock()
	l.conns[c], l.conns[t] = true, true
	l.mu.Unlock()
	go l.copy(t, c)
	l.copy(c, t)
}

func (l *link) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if l.wait() {
				return // what was held back is lost with its channel
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			l.wait()
			return
		}
	}
}

// wait returns once the link is not silent, and reports whether it was.
func (l *link) wait() bool {
	l.mu.Lock()
	silent, ended := l.silent, l.ended
	l.mu.Unlock()
	if silent {
		<-ended
	}
	return silent
}

func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent, l.ended = true, make(chan struct{})
}

// resume ends the silence and closes the channels of before.
func (l *link) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.silent {
		return
	}
	l.silent = false
	close(l.ended)
	for c := range l.conns {
		_ = c.Close()
	}
	clear(l.conns)
}

func (l *link) close() {
	l.resume()
	_ = l.ln.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Close()
	}
}
