package soak

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/platform"
	"github.com/yuccaspindle/yuccaspindle/soak/testdata/tracedisk"
)

// process is an edge or storage process under test.
type process struct {
	t        *testing.T
	role, ip string
	zone     string
	dir      string
	settings string
	caller   string
	ready    string
	log      processLog
	storeURL *proxy         // to the store; the deployment's own unless ownStores is set
	disk     *simulatedDisk // nil: a folder of the real disk
	env      []string

	// opMu is held while a fault stops or pauses the process, so that concurrent faults
	// don't start it twice.
	opMu    sync.Mutex
	retired bool // ended for good; guarded by opMu

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	ends  []time.Time // when it had ended
}

// processLog collects the output of a process, which may go on while it is read.
type processLog struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (l *processLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// String returns the output so far.
func (l *processLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// zones are the failure domains of the storage processes, by region. All other processes
// are in the first one.
var zones = map[string]string{"a1": "a", "a2": "a", "a3": "a", "a4": "a", "a5": "a", "a6": "a"}

// zoneOf returns the failure domain of a storage process, given its number from 0. The last
// ones share theirs with others.
func zoneOf(n int) string { return fmt.Sprintf("a%d", 1+n%len(zones)) }

// newProcess returns a process that was not started, in the first failure domain.
func (s *soak) newProcess(role, ip string) *process { return s.newProcessIn(zoneOf(0), role, ip) }

func (s *soak) newProcessIn(zone, role, ip string) *process {
	p := &process{t: s.t, role: role, ip: ip, zone: zone, dir: filepath.Join(s.t.TempDir(), "data")}
	p.caller = net.JoinHostPort(ip, strconv.Itoa(freePort(s.t, ip)))
	p.ready = net.JoinHostPort(ip, strconv.Itoa(freePort(s.t, ip)))
	p.settings = filepath.Join(s.t.TempDir(), "settings.json")
	p.storeURL = s.storeURL
	if s.size.ownStores {
		p.storeURL = newProxy(s.t, s.storeURL.target)
	}
	if s.size.tracedDisks && role == "storage" {
		p.disk = &simulatedDisk{dir: p.dir, side: filepath.Join(s.t.TempDir(), "side")}
		p.env = append(p.env, tracedisk.FolderVariable+"="+p.disk.side)
		if err := p.disk.wipe(); err != nil {
			s.t.Fatal(err)
		}
	}
	p.writeSettings(s, true)
	s.t.Cleanup(func() { p.kill(syscall.SIGKILL) })
	return p
}

// writeSettings writes the settings file. first is true only at the first start of the
// whole deployment.
func (p *process) writeSettings(s *soak, first bool) {
	m := map[string]any{
		"NodeName": p.role + "-" + p.ip, "Ip": p.ip, "Zone": p.zone, "Region": "a", "Zones": zones,
		"ListenAddresses":   map[string]string{"Frontend": p.caller, "Ready": p.ready},
		"InternalPortRange": []int{s.port}, "Seeds": []string{s.address(1) + ":1", s.address(2) + ":1", s.address(3) + ":1"},
		"IsFirstStart": first, "Limits": map[string]int{"MemoryMb": memoryMB}, "Bounds": map[string]int{"GraceS": 5, "DrainMs": int(drainTime.Milliseconds())},
		"FaultTolerance": map[string]int{"MachineCount": s.size.tolerated},
		"Platform":       map[string]string{"Address": p.storeURL.addr()},
	}
	if p.role == "storage" {
		m["DataDir"] = p.dir
	}
	if err := os.WriteFile(p.settings, mustJSON(m), 0o644); err != nil {
		p.t.Fatal(err)
	}
}

func (p *process) start(bin string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(bin, p.role)
	cmd.Env = append(append(os.Environ(), platform.SettingsVariable+"="+p.settings), p.env...)
	cmd.Stdout, cmd.Stderr = &p.log, &p.log
	if err := cmd.Start(); err != nil {
		p.t.Error(err)
		return
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		p.mu.Lock()
		p.ends = append(p.ends, time.Now())
		p.mu.Unlock()
		close(ended)
	}()
	p.cmd, p.ended = cmd, ended
}

// endTimes returns when the process had ended so far.
func (p *process) endTimes() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.ends)
}

// kill sends a signal and waits until the process ends.
func (p *process) kill(sig syscall.Signal) {
	p.mu.Lock()
	cmd, ended := p.cmd, p.ended
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(sig)
	select {
	case <-ended:
	case <-time.After(15 * time.Second):
		p.t.Errorf("%s did not end after %v", p.ip, sig)
		_ = cmd.Process.Kill()
		<-ended
	}
}

// signal sends a signal without waiting for its effect.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(sig)
	}
}

// hasEnded reports whether the process was started and has ended.
func (p *process) hasEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended == nil {
		return false
	}
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// pause suspends the process for a duration.
func (p *process) pause(d time.Duration) {
	p.opMu.Lock()
	defer p.opMu.Unlock()
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
}

// restart ends a process with a signal and starts it again, with an empty disk if wipe
// is set.
func (s *soak) restart(p *process, sig syscall.Signal, wipe bool) {
	p.opMu.Lock()
	defer p.opMu.Unlock()
	if p.retired {
		return
	}
	p.kill(sig)
	if wipe {
		var err error
		if p.disk != nil {
			err = p.disk.wipe()
		} else {
			err = os.RemoveAll(p.dir)
		}
		if err != nil {
			s.t.Error(err)
		}
	}
	p.writeSettings(s, false)
	p.start(s.bin)
}
