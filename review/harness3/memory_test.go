//go:build review3

package harness3

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// memoryMB returns the memory that a process uses now, and the largest it has used.
func memoryMB(pid int) (now, peak float64) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		kb := 0.0
		if n, _ := fmt.Sscanf(line, "VmRSS: %f kB", &kb); n == 1 {
			now = kb / 1024
		}
		if n, _ := fmt.Sscanf(line, "VmHWM: %f kB", &kb); n == 1 {
			peak = kb / 1024
		}
	}
	return now, peak
}

// guard is the platform with regard to the memory of a process: it kills one that uses more
// than its limit and starts it again.
func (p *process) guard(stop <-chan struct{}) (ends int) {
	for {
		select {
		case <-stop:
			return ends
		case <-time.After(10 * time.Millisecond):
		}
		p.mu.Lock()
		pid := p.cmd.Process.Pid
		p.mu.Unlock()
		now, _ := memoryMB(pid)
		if now <= float64(p.memory()) {
			continue
		}
		p.w.say("%s uses %.0f MB, its limit is %d MB", p.name, now, p.memory())
		p.kill()
		ends++
		time.Sleep(500 * time.Millisecond)
		p.start(false)
	}
}

// TestColdHistories: programs of long turns are under way at two edges. These are killed at the same
// moment and started again, four times. Each time the programs go on with sub-agents a moment later.
func TestColdHistories(t *testing.T) {
	// Programs, turns of each one, bytes of a turn's input, and sub-agents of a program: the
	// most turns and bytes that the site file has, and its mean of sub-agents.
	const lines, turns, size, agents, rounds = 100, 14, 26000, 5, 4
	cfg := config()
	route := cfg["Routes"].([]map[string]any)[0]
	route["ServerHistory"], route["Resumable"] = true, false
	w := newWorld(t, cfg)
	for i, zone := range []string{"dar-kinondoni", "dar-kinondoni", "arusha-njiro", "dar-temeke"} {
		w.add("edge", zone, i+1)
	}
	for i, zone := range []string{"dar-kinondoni", "arusha-njiro", "dar-temeke"} {
		w.add("storage", zone, i+1)
		for n := range 3 {
			w.addWorker("i-"+zone+string(rune('a'+n)), zone, 1, 30*time.Millisecond)
		}
	}
	w.run()
	stop := make(chan struct{})
	var guards sync.WaitGroup
	machines := append(append([]*process{}, w.storages...), w.edges...)
	ends := make([]int, len(machines))
	for i, p := range machines {
		guards.Go(func() { ends[i] = p.guard(stop) })
	}
	last := make([]string, lines)
	var wg sync.WaitGroup
	for i := range lines {
		wg.Go(func() {
			for range turns {
				if a, ok := w.turnOf(w.edges[i%2], i, last[i], size); ok {
					last[i] = a.id
				}
			}
		})
	}
	wg.Wait()
	w.sayMemory("before")
	var served atomic.Int64
	sent := 0
	for round := range rounds {
		w.say("round %d", round+1)
		if trouble() {
			w.edges[0].kill()
			w.edges[1].kill()
			time.Sleep(500 * time.Millisecond)
			w.edges[0].start(false)
			w.edges[1].start(false)
			w.awaitReady(w.edges[0])
			w.awaitReady(w.edges[1])
		}
		time.Sleep(time.Second)
		for i := range lines {
			sent += agents
			for range agents {
				wg.Go(func() {
					if _, ok := w.turnOf(w.edges[i%2], i, last[i], 1000); ok {
						served.Add(1)
					}
				})
			}
		}
		wg.Wait()
		time.Sleep(5 * time.Second)
	}
	close(stop)
	guards.Wait()
	w.sayMemory("after")
	w.say("%d of %d turns that go on are answered whole", served.Load(), sent)
	exitCode = exitHeld
	often := 0
	for i, p := range machines {
		w.say("%s was over its memory %d times", p.name, ends[i])
		if ends[i] >= 3 {
			often++
		}
	}
	if often >= 2 {
		exitCode = exitBroken
		w.say("Fault: processes ended by themselves three times at %d machines", often)
	}
}

// turnOf sends a turn as a program does: with one more try at once after a promise, and from its start
// twice more after a failure.
func (w *world) turnOf(p *process, line int, parent string, size int) (turn, bool) {
	for range 3 {
		for range 2 {
			a := w.sendHistory(p, fmt.Sprint("line-", line), parent, size)
			if a.status == 200 && a.whole {
				return a, true
			}
			if a.status != 503 && a.status != 429 {
				break
			}
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(250 * time.Millisecond)
	}
	return turn{}, false
}

func (w *world) sayMemory(when string) {
	for _, p := range append(append([]*process{}, w.storages...), w.edges...) {
		p.mu.Lock()
		_, peak := memoryMB(p.cmd.Process.Pid)
		p.mu.Unlock()
		w.say("%s: %s used at most %.0f MB of %d", when, p.name, peak, p.memory())
	}
}
