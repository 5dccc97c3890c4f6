package soak

import (
	"context"
	"fmt"
	"iter"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// Bounds of the settings that DEPLOY.md names.
	contactTime     = 4 * time.Second        // a process is in touch this long after a fault
	configApplyTime = 3 * time.Second        // a configuration is in force everywhere
	rollbackSlack   = 250 * time.Millisecond // requests may cross a change of the configuration
	lossSlack       = 200 * time.Millisecond // a connection may be closed before a request is read
	catchUpTime     = 4400 * time.Millisecond
	recoveryTime    = 12 * time.Second // after the last fault

	lostRetention = 300 * time.Second // of turns
	// lostServeTime limits the last check, in which each turn is continued.
	lostServeTime    = 20 * time.Second
	lostCheckedTurns = 800 // turns that are continued at the end, drawn by lot
	shownViolations  = 20
)

// lostSoak looks for accepted things that are lost: turns that were answered whole,
// configurations, budgets and requests on persistent connections.
type lostSoak struct {
	*soak
	seed  uint64
	began time.Time
	// classes are the classes of faults of this run.
	classes []string
	// final is the kind of the final fault; nil: the seed draws it.
	final *int
	disks chan struct{} // a token for each disk that may be lost at a time

	mu       sync.Mutex
	events   strings.Builder // faults and what callers observed, with times
	faults   map[*process]*faultState
	core     faultState // of the store, the storage processes and the upstreams
	gone     []*process // replaced storage processes
	answered []answeredTurn
	shares   map[*process]share
	programs map[string]*programBudget
	cut      []cutRequest
	statuses map[int]int
	acked    int       // version of the configuration
	ackedAt  time.Time // when the store acknowledged it
	joined   int       // storage processes so far
	retired  int       // storage processes that were taken away after their retirement
}

// faultState tells when faults concern a process.
type faultState struct {
	active  int
	ended   time.Time // end of the last fault
	kills   []kill    // ends without notice
	started int       // starts of the process
}

// calm reports whether there was no fault for contactTime.
func (s *faultState) calm() bool { return s.active == 0 && time.Since(s.ended) > contactTime }

// answeredTurn is a turn whose answer ended whole.
type answeredTurn struct {
	id, program, history string // history includes the turn itself
	at                   time.Time
	edge                 string
}

// cutRequest is a request on a persistent connection that ended without a whole answer.
type cutRequest struct {
	id         string
	edge       *process
	sent, lost time.Time
	head       bool // an answer had begun
	calm       bool // no fault concerned anything but edges for contactTime
	err        error
}

func newLostSoak(t *testing.T, bin string, seed uint64) *lostSoak {
	size := deployment{
		edges: envInt(t, "SOAK_EDGES", defaultEdges), storages: envInt(t, "SOAK_STORAGES", defaultStorages),
		tolerated: 1, tracedDisks: true, ownStores: true, config: lostConfig,
	}
	if size.storages >= 5 {
		size.tolerated = 2
	}
	return newFaultySoak(t, bin, seed, size)
}

// newFaultySoak starts a deployment and the record of its faults.
func newFaultySoak(t *testing.T, bin string, seed uint64, size deployment) *lostSoak {
	l := &lostSoak{
		soak: newDeployment(t, bin, seed, size), seed: seed, began: time.Now(),
		disks: make(chan struct{}, size.tolerated), faults: make(map[*process]*faultState), programs: make(map[string]*programBudget),
		shares: make(map[*process]share), statuses: make(map[int]int), acked: 1, ackedAt: time.Now(), joined: size.storages,
	}
	for _, p := range append(slices.Clone(l.edges), l.storages...) {
		l.faults[p] = &faultState{}
	}
	return l
}

// lostConfig returns a version of the configuration that has one more route than the
// version before, so that callers can tell which one an edge serves.
func lostConfig(version int) map[string]any {
	c := config(version)
	routes, _ := c["Routes"].([]any)
	for _, r := range routes {
		if r, ok := r.(map[string]any); ok && r["RetentionS"] != nil {
			r["RetentionS"] = int(lostRetention.Seconds())
		}
	}
	for v := 1; v <= version; v++ {
		routes = append(routes, map[string]any{
			"Name": fmt.Sprintf("cfg%d", v), "Host": "h.example", "PathPrefix": versionPrefix(v), "Kind": "safe", "Service": "app",
			"TimeoutMs": 3000, "TargetLatencyMs": 300, "MaxAttempts": 2,
		})
	}
	c["Routes"] = routes
	return c
}

func versionPrefix(version int) string { return fmt.Sprintf("/cfg-%d/", version) }

// note records an event for the log of a failure.
func (l *lostSoak) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(&l.events, "%s %s\n", time.Now().UTC().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// violate records a violation with its time.
func (l *lostSoak) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.note("VIOLATION %s", text)
	l.runs.addViolation("%s (%.1f s) %s", time.Now().UTC().Format("15:04:05.000"), time.Since(l.began).Seconds(), text)
}

// concerning marks processes as concerned by a fault while f runs. core is set for faults
// of the store and of storage processes.
func (l *lostSoak) concerning(core bool, ps []*process, f func()) {
	mark := func(change int) {
		l.mu.Lock()
		defer l.mu.Unlock()
		states := []*faultState{}
		for _, p := range ps {
			states = append(states, l.faults[p])
		}
		if core {
			states = append(states, &l.core)
		}
		for _, s := range states {
			s.active += change
			s.ended = time.Now()
		}
	}
	mark(1)
	defer mark(-1)
	f()
}

// countStart records that a process is stopped, with or without notice, and started.
func (l *lostSoak) countStart(p *process, notice bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.faults[p]
	s.started++
	if !notice {
		s.kills = append(s.kills, kill{at: time.Now(), ends: len(p.endTimes()), ended: p.hasEnded()})
	}
}

func (l *lostSoak) starts(p *process) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults[p].started
}

// inTouch reports whether no fault has concerned an edge or the core for contactTime.
func (l *lostSoak) inTouch(e *process) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.calm() && l.faults[e].calm()
}

// killedBetween reports whether an edge was being killed without notice in a span.
func (l *lostSoak) killedBetween(e *process, from, to time.Time) bool {
	ends := e.endTimes()
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.faults[e].kills, func(k kill) bool {
		return k.until(ends).After(from.Add(-lossSlack)) && k.at.Before(to.Add(lossSlack))
	})
}

// storageList returns the storage processes that are part of the deployment.
func (l *lostSoak) storageList() []*process {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.storages)
}

// nextVersion puts a configuration into force.
func (l *lostSoak) nextVersion() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.configure(l.version + 1)
	l.acked, l.ackedAt = l.version, time.Now()
}

// supervise starts processes again that ended by themselves, as the platform does.
func (l *lostSoak) supervise(ctx context.Context) {
	for ctx.Err() == nil {
		for _, p := range append(slices.Clone(l.edges), l.storageList()...) {
			if !p.opMu.TryLock() {
				continue
			}
			if p.hasEnded() && !p.retired {
				l.note("%s %s ended by itself", p.role, p.ip)
				l.countStart(p, false)
				p.start(l.bin)
			}
			p.opMu.Unlock()
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// checkServed continues every turn that was answered whole, through several edges.
func (l *lostSoak) checkServed() {
	l.mu.Lock()
	turns := slices.Clone(l.answered)
	l.mu.Unlock()
	turns = slices.DeleteFunc(turns, func(a answeredTurn) bool { return time.Since(a.at) > lostRetention-lostServeTime })
	rng := rand.New(rand.NewPCG(l.seed, 77))
	rng.Shuffle(len(turns), func(i, j int) { turns[i], turns[j] = turns[j], turns[i] })
	turns = turns[:min(len(turns), lostCheckedTurns)]
	deadline := time.Now().Add(lostServeTime)
	next := make(chan int, len(turns))
	for i := range turns {
		next <- i
	}
	close(next)
	var wg sync.WaitGroup
	for n := range callers {
		wg.Go(func() {
			c := l.newCaller(1000 + n)
			defer c.close()
			for i := range next {
				c.checkContinued(turns[i], deadline)
			}
		})
	}
	wg.Wait()
	l.note("%d turns continued at the end", len(turns))
}

// checkContinued continues a turn until it is served.
func (c *lostCaller) checkContinued(a answeredTurn, deadline time.Time) {
	last := 0
	for try := 0; ; try++ {
		id := fmt.Sprintf("turn-after-%s-%d", a.id, try)
		r := c.turn(id, a, "again "+id+"\n", c.l.budgetOf(a.program).left())
		if r.status == http.StatusOK && r.whole {
			return
		}
		if r.status == http.StatusNotFound || r.status == http.StatusGone {
			return // recorded by turn
		}
		last = r.status
		if time.Now().After(deadline) {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.l.violate("%s, answered whole at %s by %s, is not continued after the recovery, last status %d",
		a.id, a.at.UTC().Format("15:04:05.000"), a.edge, last)
}

// checkCut reports the requests on persistent connections that an edge passed on, or had
// time to read, and that ended without a whole answer. An answer that had begun may be
// broken off by the fault of another process.
func (l *lostSoak) checkCut() {
	for _, c := range l.cut {
		if l.killedBetween(c.edge, c.sent, c.lost) || l.runs.brokeOff(c.id) || c.head && !c.calm {
			continue
		}
		took := c.lost.Sub(c.sent)
		ran := len(l.runs.runsOf(c.id))
		if ran > 0 || took > lossSlack {
			l.violate("%s, sent at %s to %s on a persistent connection, ran %d times and ended without a whole answer after %v (begun: %t): %v",
				c.id, c.sent.UTC().Format("15:04:05.000"), c.edge.ip, ran, took, c.head, c.err)
		}
	}
}

// stopInTurn restarts edges one after the other while callers use them and no other
// process has a fault.
func (l *lostSoak) stopInTurn() {
	time.Sleep(contactTime)
	for _, e := range l.edges[:min(len(l.edges), plannedStops)] {
		l.stop(e, syscall.SIGTERM)
		time.Sleep(plannedPause)
	}
}

// finalDisksAndPower is the final fault in which disks are lost while all other processes
// lose power, also those without a disk.
const finalDisksAndPower = 4

// finalFault is the last fault, right after a configuration was acknowledged.
func (l *lostSoak) finalFault(rng *rand.Rand) {
	l.nextVersion()
	storages := l.storageList()
	all := append(slices.Clone(l.edges), storages...)
	kind := rng.IntN(5)
	// What a failed sync leaves shows only after a power loss.
	power := slices.Contains(l.classes, "power") || slices.Contains(l.classes, "failsync")
	disks := slices.Contains(l.classes, "disks") || slices.Contains(l.classes, pairClass)
	if kind != 1 && !power || (kind == 2 || kind == 4) && !disks {
		kind = 1
	}
	if l.final != nil {
		kind = *l.final
	}
	switch kind {
	case 0:
		l.note("final fault: all processes lose power")
		l.powerLoss(rng.Uint64(), nil, all...)
	case 1:
		l.note("final fault: all processes are killed")
		l.killAll(all)
	case 2:
		rng.Shuffle(len(storages), func(i, j int) { storages[i], storages[j] = storages[j], storages[i] })
		l.note("final fault: %d disks are lost, the other storage processes lose power", l.size.tolerated)
		l.powerLoss(rng.Uint64(), storages[:l.size.tolerated], storages...)
	case 3:
		l.note("final fault: all storage processes lose power")
		l.powerLoss(rng.Uint64(), nil, storages...)
	case finalDisksAndPower:
		rng.Shuffle(len(storages), func(i, j int) { storages[i], storages[j] = storages[j], storages[i] })
		l.note("final fault: %d disks are lost, all other processes lose power", l.size.tolerated)
		l.powerLoss(rng.Uint64(), storages[:l.size.tolerated], all...)
	}
}

// playLost runs all phases and returns the violations.
func (l *lostSoak) playLost(faults time.Duration) []string {
	l.waitReady()
	running, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { l.supervise(running) })
	wg.Go(func() { l.probeVersions(running) })
	for n := range max(callers, len(l.edges)/2) {
		wg.Go(func() { l.runCaller(running, n) })
	}
	rng := rand.New(rand.NewPCG(l.seed, 3))
	if l.classes == nil {
		l.classes = drawClasses(l.t, rng)
	}
	l.note("classes of faults: %v", l.classes)
	faulty, cancel := context.WithTimeout(context.Background(), faults)
	l.injectFaults(faulty, rng)
	cancel()
	l.finalFault(rng)
	for _, u := range l.upstreams {
		u.setFaultRate(0)
	}
	time.Sleep(recoveryTime)
	l.checkServed()
	l.checkVersions()
	l.stopInTurn()
	stop()
	wg.Wait()
	l.checkCut()
	l.checkCrashes()
	l.checkShares()
	return l.runs.check()
}

// crashMarks begin what the runtime of Go writes when a process crashes, or a race when it
// was built to detect these.
var crashMarks = []string{"panic: ", "fatal error: ", "WARNING: DATA RACE"}

// checkCrashes reports processes that crashed by themselves. Their callers lose the
// requests under way, which looks like a kill.
func (l *lostSoak) checkCrashes() {
	for _, p := range slices.Concat(l.edges, l.storages, l.gone) {
		if at, ok := findCrash(p.log.String()); ok {
			l.violate("%s %s crashed:\n%s", p.role, p.ip, at)
		}
	}
}

// findCrash returns the beginning of the first crash in the output of a process.
func findCrash(output string) (string, bool) {
	const shown = 2000 // bytes
	for line, rest := range lines(output) {
		if slices.ContainsFunc(crashMarks, func(mark string) bool { return strings.HasPrefix(line, mark) }) {
			return rest[:min(len(rest), shown)], true
		}
	}
	return "", false
}

// lines yields each line of a text, and the text from there on.
func lines(text string) iter.Seq2[string, string] {
	return func(yield func(line, rest string) bool) {
		for text != "" {
			line, rest, _ := strings.Cut(text, "\n")
			if !yield(line, text) {
				return
			}
			text = rest
		}
	}
}

// keepLostLogs writes the logs of all processes and the events to files.
func (l *lostSoak) keepLostLogs() {
	l.storages = append(l.storages, l.gone...)
	l.keepLogs(l.seed)
	path := filepath.Join(os.TempDir(), fmt.Sprintf("soak-%d-events.log", l.seed))
	if err := os.WriteFile(path, []byte(l.events.String()), 0o644); err == nil {
		l.t.Logf("events kept: %s", path)
	}
}

// Guards against the loss of what was accepted (issue 32): turns that were answered
// whole, configurations, budgets and requests on persistent connections, over power
// losses, lost, full and failing disks, changes of the storage processes and faults of
// the store.
func TestLostSoak(t *testing.T) { playLostSeeds(t, newLostSoak) }

// playLostSeeds plays the deployments that begin returns and reports their violations.
func playLostSeeds(t *testing.T, begin func(t *testing.T, bin string, seed uint64) *lostSoak) {
	bin := build(t, diskOverlay(t, nil)...)
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			l := begin(t, bin, seed)
			violations := l.playLost(faultDuration(t))
			slices.Sort(violations)
			for _, v := range violations[:min(len(violations), shownViolations)] {
				t.Error(v)
			}
			if more := len(violations) - shownViolations; more > 0 {
				t.Errorf("%d more violations", more)
			}
			if len(l.answered) < 20 {
				t.Errorf("only %d turns were answered whole", len(l.answered))
			}
			t.Logf("faults %v: %d requests ran, %d turns were answered whole, %d requests were cut, %d storage processes retired, statuses %v",
				l.classes, len(l.runs.runs), len(l.answered), len(l.cut), l.retired, l.statuses)
			if t.Failed() {
				l.keepLostLogs()
			}
		})
	}
}

// killAll kills processes at the same moment and starts them again.
func (l *lostSoak) killAll(ps []*process) {
	l.concerning(true, ps, func() {
		var wg sync.WaitGroup
		for _, p := range ps {
			wg.Go(func() { l.countStart(p, false); l.restart(p, syscall.SIGKILL, false) })
		}
		wg.Wait()
	})
}

// Guards against a crash of a process that the soak takes for one of its kills.
func TestCrashIsFound(t *testing.T) {
	const before = "time=2026 level=INFO msg=\"panic: in a value\"\n"
	for _, crash := range []string{"fatal error: concurrent map writes\n\ngoroutine 7\n", "panic: runtime error\n", "WARNING: DATA RACE\nRead at\n"} {
		if at, ok := findCrash(before + crash + before); !ok || !strings.HasPrefix(at, crash) {
			t.Errorf("%q: found %t, %q", crash, ok, at)
		}
	}
	if at, ok := findCrash(before); ok {
		t.Errorf("found without a crash: %q", at)
	}
}
