//go:build review2

package harness2

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case "memory": all counted processes are killed at the same moment and are back within a
// second. The storage processes read their whole log, with all that has long expired, into
// memory, exceed the memory of their machines and are killed by the platform, again and again.

const (
	memoryRetentionS = 10
	// The load lasts until a log has memoryLogMB, which is more than the memory of the machine and
	// half of its disk.
	memoryLogMB    = 180
	memoryLoadMost = 80 * time.Second
	memoryRecover  = 12 * time.Second // RecoverS
	memoryObserve  = 8 * time.Second
	memoryLines    = 40
	memoryBody     = 25_000 // bytes; the largest body on the sheet is 26,000
	memoryPause    = 300 * time.Millisecond
)

// window counts requests that were sent in a span of time.
type window struct {
	mu            sync.Mutex
	asked, served int
	byStatus      map[string]int
	turnsAsked    int
	turnsServed   int
}

func (w *window) add(turn bool, a answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byStatus == nil {
		w.byStatus = make(map[string]int)
	}
	ok := a.status == 200 && a.err == nil
	w.asked++
	if ok {
		w.served++
	}
	if turn {
		w.turnsAsked++
		if ok {
			w.turnsServed++
		}
		w.byStatus[fmt.Sprintf("turn %d whole=%v", a.status, a.whole)]++
		return
	}
	w.byStatus[fmt.Sprintf("look-up %d", a.status)]++
}

func (w *window) String() string {
	return fmt.Sprintf("%d of %d served (%d of %d turns), %v", w.served, w.asked, w.turnsServed, w.turnsAsked, w.byStatus)
}

func restartMemory(rec *record) int {
	w, err := newWorld(rec, config(memoryRetentionS, 3*time.Second))
	if err != nil {
		rec.line("cannot run: %v", err)
		return cannotRun
	}
	defer w.stop()
	if err := w.startAll(); err != nil {
		rec.line("cannot run: %v", err)
		return cannotRun
	}
	done := make(chan struct{})
	var guards sync.WaitGroup
	for _, p := range append(append([]*process{}, w.storages...), w.edges...) {
		guards.Go(func() { w.supervise(p, done) })
	}
	var before, after window
	var phase sync.Mutex
	current := &before
	stopTraffic := make(chan struct{})
	var lines sync.WaitGroup
	for n := range memoryLines {
		lines.Go(func() {
			w.memoryLine(n, stopTraffic, func() *window { phase.Lock(); defer phase.Unlock(); return current })
		})
	}
	for end := time.Now().Add(memoryLoadMost); w.largestLogMB() < memoryLogMB && time.Now().Before(end); {
		time.Sleep(200 * time.Millisecond)
	}
	if w.largestLogMB() < memoryLogMB {
		rec.line("cannot run: the machine is too busy to write %d MB in time", memoryLogMB)
		return cannotRun
	}
	rec.line("before the fault: %s", before.String())
	w.reportDisks("before the fault")
	killed := 0
	for _, p := range w.storages {
		p.mu.Lock()
		killed += p.overruns
		p.mu.Unlock()
	}
	phase.Lock()
	current = &window{} // during the recovery
	phase.Unlock()
	if w.trouble {
		rec.line("all counted processes are killed at the same moment")
		for _, p := range w.storages {
			p.signal(syscall.SIGKILL)
		}
		for _, p := range w.storages {
			p.waitEnd(time.Second)
		}
		time.Sleep(700 * time.Millisecond)
		for _, p := range w.storages {
			if err := p.start(false); err != nil {
				rec.line("%s not started: %v", p.name, err)
			}
		}
		rec.line("they are started again")
	}
	time.Sleep(memoryRecover)
	phase.Lock()
	current = &after
	phase.Unlock()
	time.Sleep(memoryObserve)
	close(stopTraffic)
	lines.Wait()
	close(done)
	guards.Wait()
	w.reportDisks("at the end")
	overruns := 0
	looping := 0
	for _, p := range append(append([]*process{}, w.storages...), w.edges...) {
		rec.line("%s: %d starts, ended %d times because of its memory, %d times by itself, peak %d MB of %d", p.name, p.starts, p.overruns, p.ownEnds, p.peakKB/1024, p.limits.memoryMB)
		overruns += p.overruns
		if p.overruns+p.ownEnds >= 3 {
			looping++
		}
	}
	rec.line("after RecoverS: %s", after.String())
	recovered := after.asked == 0 || 4*after.served >= after.asked || 4*before.served < before.asked
	fault := looping >= 2
	switch {
	case !recovered || fault:
		rec.line("RULE BROKEN: RECOVER %v; Fault (processes that end three times) on %d machines; %d ends because of memory, %d of them before the fault", !recovered, looping, overruns, killed)
		return broken
	case before.asked < 1000 || after.asked == 0:
		rec.line("cannot judge: too few requests")
		return cannotRun
	}
	rec.line("RULE HELD")
	return held
}

// memoryLine runs programs of three turns, with a call of a tool after each turn, until stop is
// closed.
func (w *world) memoryLine(n int, stop <-chan struct{}, at func() *window) {
	rng := rand.New(rand.NewPCG(uint64(n), 5))
	c := newClient(w.edges[n%len(w.edges)])
	defer c.close()
	filler := strings.Repeat("abcdefghij", memoryBody/10)
	for p := 0; ; p++ {
		program, parent := fmt.Sprintf("%x%04x", n, p), ""
		for t := range 3 {
			select {
			case <-stop:
				return
			case <-time.After(memoryPause*3/4 + rand.N(memoryPause/2)):
			}
			id := fmt.Sprintf("t%d-%d-%d-%08x", n, p, t, rng.Uint32())
			body := id + filler[:memoryBody-len(id)]
			a := c.send(turnRequest{path: "/followup/x", id: id, program: program, parent: parent, body: body,
				deadline: 3 * time.Second, programLeft: 20 * time.Second, budget: 840, most: 70})
			at().add(true, a)
			w.record.line("%s sent to %s: %s", id, c.edge.name, a)
			if !a.whole {
				time.Sleep(min(a.retryAfter, time.Second))
				break
			}
			parent = id
			at().add(false, c.lookUp("l"+id))
		}
	}
}

// diskMB returns the size of the data folder.
func (p *process) diskMB() int64 {
	total := int64(0)
	_ = filepath.Walk(p.dataDir, func(_ string, i os.FileInfo, err error) error {
		if err == nil && !i.IsDir() {
			total += i.Size()
		}
		return nil
	})
	return total >> 20
}

func (w *world) largestLogMB() (most int64) {
	for _, p := range w.storages {
		most = max(most, p.diskMB())
	}
	return most
}

// reportDisks records the size of the data folders.
func (w *world) reportDisks(when string) {
	for _, p := range w.storages {
		w.record.line("%s %s: %d MB on its disk of %d MB, %d MB of memory of %d MB", p.name, when, p.diskMB(), p.limits.diskMB, p.rssKB()>>10, p.limits.memoryMB)
	}
}
