package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	budgetSeconds   = 14 // default duration of the faults
	budgetUpstreams = 12
	// registrationTime is how long edges may know the upstreams that this soak replaces by
	// its own.
	registrationTime = 500 * time.Millisecond
	// headStart is how long harmless callers send before the first guilty request.
	headStart     = time.Second
	budgetMinimum = 200 // harmless requests that a run must send
	plainCallers  = 4   // callers of requests that look like no guilty one
)

// budgetSoak looks for repeats beyond what is allowed: requests that end the upstreams
// that run them, attempts beyond MaxAttempts, deadlines beyond what the caller has left,
// and tokens beyond the budget of a program.
type budgetSoak struct {
	*lostSoak
	mix         budgetMix
	guilty      []*guiltyRequest
	harmless    []*harmlessCaller
	maxAttempts int
	tokens      []tokenProgram

	// budgetMu guards what follows and the records of attempts, upstreams and requests.
	budgetMu   sync.Mutex
	budgetRNG  *rand.Rand
	attempts   map[string]*budgetAttempt // by Attempt-Id
	registered map[string]*budgetUpstream
	started    int
}

// budgetMix is what a seed draws for a whole run.
type budgetMix struct {
	guilty     int
	coreFaults bool          // the store and the storage processes have faults as well
	pause      time.Duration // between faults
	troubles   bool          // upstreams also fail harmless requests
	announced  int           // ends of 100 that are preceded by the announcement of a shutdown
	state      bool          // upstreams say which run they are
}

// tokenProgram is what a program with a budget was handed.
type tokenProgram struct {
	name              string
	budget, delivered int
	refused           int // turns answered 402
}

func newBudgetSoak(t *testing.T, bin string, seed uint64) *budgetSoak {
	rng := rand.New(rand.NewPCG(seed, 35))
	b := &budgetSoak{
		budgetRNG: rng, attempts: make(map[string]*budgetAttempt), registered: make(map[string]*budgetUpstream),
		maxAttempts: 1 + rng.IntN(3),
		mix: budgetMix{
			guilty: 3 + rng.IntN(3), coreFaults: rng.IntN(3) == 0, pause: time.Duration(500+rng.IntN(1500)) * time.Millisecond,
			troubles: rng.IntN(2) == 0, announced: []int{0, 30, 100}[rng.IntN(3)],
			state: seed%2 == 1,
		},
	}
	size := deployment{
		edges: envInt(t, "SOAK_EDGES", 4+rng.IntN(5)), storages: envInt(t, "SOAK_STORAGES", defaultStorages),
		tolerated: 1, ownStores: true, config: b.config,
	}
	b.lostSoak = newFaultySoak(t, bin, seed, size)
	for _, u := range b.upstreams {
		if id, service := u.identity(); service == "app" {
			b.store.Delete(platform.KindUpstreams, id)
		}
		u.setFaultRate(0.1)
	}
	for range budgetUpstreams {
		u := &budgetUpstream{b: b, id: b.newID(), born: 1}
		u.listen("")
		u.registerAs("ready")
	}
	for n := range b.mix.guilty {
		b.guilty = append(b.guilty, b.drawGuilty(n))
	}
	for _, g := range b.guilty {
		for range 3 {
			b.harmless = append(b.harmless, b.drawHarmless(g))
		}
	}
	for n := range plainCallers {
		r := budgetRequest{route: []string{"safe", "unsafe"}[n%2], path: "plain", body: "plain", newBody: true, name: fmt.Sprint("plain", n)}
		b.harmless = append(b.harmless, &harmlessCaller{budgetRequest: r, distinct: true, statuses: make(map[int]int)})
	}
	return b
}

// config returns the configuration: all routes but that of the turns lead to the
// upstreams that guilty requests end.
func (b *budgetSoak) config(version int) map[string]any {
	c := config(version)
	llmService := c["Services"].([]any)[0]
	var routes []any
	for _, r := range c["Routes"].([]any) {
		if r := r.(map[string]any); r["Name"] == "turn" {
			routes = append(routes, r)
		}
	}
	for name, kind := range budgetRoutes {
		routes = append(routes, map[string]any{
			"Name": name, "Host": "h.example", "PathPrefix": "/" + name + "/", "Kind": kind, "Service": "app",
			"TimeoutMs": 3000, "TargetLatencyMs": 300, "GapTargetMs": 150, "MaxAttempts": b.maxAttempts, "Resumable": name == "resumable",
		})
	}
	c["Routes"] = routes
	if b.mix.state {
		c["Services"] = []any{llmService, map[string]any{"Name": "app", "Engine": map[string]any{"ChunkTokens": 1}}}
	} else {
		c["Services"] = []any{llmService, map[string]any{"Name": "app"}}
	}
	return c
}

// budgetRoutes are the kinds of the routes, by name.
var budgetRoutes = map[string]string{"safe": "safe", "unsafe": "unsafe", "stream": "streaming", "resumable": "streaming"}

func (b *budgetSoak) draw(n int) int {
	b.budgetMu.Lock()
	defer b.budgetMu.Unlock()
	return b.budgetRNG.IntN(n)
}

// between returns a random duration from least to most milliseconds.
func (b *budgetSoak) between(least, most int) time.Duration {
	return time.Duration(least+b.draw(most-least+1)) * time.Millisecond
}

func (b *budgetSoak) newID() string {
	b.budgetMu.Lock()
	defer b.budgetMu.Unlock()
	b.started++
	return fmt.Sprint("b", b.started)
}

// injectBudgetFaults injects overlapping faults until the context ends. They concern one
// half of the edges, so that the others stay in touch, and the core only in some runs.
// Edges cannot be cut off from each other: they take part under the address at which they
// listen. A paused edge is cut off from all others for a time.
func (b *budgetSoak) injectBudgetFaults(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	kinds := 4
	if b.mix.coreFaults {
		kinds = 8
	}
	half := b.edges[:(len(b.edges)+1)/2]
	for ctx.Err() == nil {
		e, st, d := half[b.draw(len(half))], b.storages[b.draw(len(b.storages))], b.between(200, 1500)
		var f func()
		switch b.draw(kinds) {
		case 0:
			f = func() { b.stop(e, syscall.SIGKILL) }
		case 1:
			f = func() { b.stop(e, syscall.SIGTERM) }
		case 2:
			f = func() { b.suspend(e, d) }
		case 3:
			n := 1 + b.draw(len(half))
			f = func() { b.cutStoreFrom(false, half[:n], 2*d) }
		case 4:
			f = func() { b.stop(st, syscall.SIGKILL) }
		case 5:
			f = func() { b.suspend(st, d) }
		case 6:
			f = func() {
				b.note("the store is down for %v", d)
				b.concerning(true, nil, func() { b.store.SetDown(true); time.Sleep(d); b.store.SetDown(false) })
			}
		case 7:
			f = func() { b.note("all edges are killed"); b.killAll(b.edges) }
		}
		wg.Go(f)
		time.Sleep(b.mix.pause/2 + b.between(0, int(b.mix.pause.Milliseconds())))
	}
}

// play runs all callers beside the faults and returns the violations.
func (b *budgetSoak) play() []string {
	b.waitReady()
	time.Sleep(registrationTime)
	b.note("mix %+v, MaxAttempts %d, %d edges", b.mix, b.maxAttempts, len(b.edges))
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(envInt(b.t, "SOAK_SECONDS", budgetSeconds))*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { b.supervise(ctx) })
	for n, h := range b.harmless {
		wg.Go(func() { b.runHarmless(ctx, h, n) })
	}
	for n := range tokenCallers {
		wg.Go(func() { b.runTokenPrograms(ctx, n) })
	}
	time.Sleep(headStart)
	for _, g := range b.guilty {
		wg.Go(func() { b.runGuilty(ctx, g) })
	}
	b.injectBudgetFaults(ctx)
	wg.Wait()
	violations := b.runs.check()
	for _, check := range []func() []string{b.checkCrashes, b.checkRefusals, b.checkMaxAttempts, b.checkDeadlines, b.checkTokens} {
		violations = append(violations, check()...)
	}
	return violations
}

// Guards against repeats beyond what is allowed (rule BUDGET, issue 35) on real processes.
func TestBudgetSoak(t *testing.T) {
	bin := build(t)
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			b := newBudgetSoak(t, bin, seed)
			for _, v := range b.play() {
				b.note("VIOLATION %s", v)
				t.Error(v)
			}
			if t.Failed() {
				t.Logf("seed %d", seed)
				b.keepLostLogs()
			}
		})
	}
}
