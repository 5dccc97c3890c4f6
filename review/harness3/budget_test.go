//go:build review3

package harness3

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// deployment starts 4 edges, 3 storage processes and 8 workers.
func deployment(t *testing.T, events int, pause time.Duration) (*world, []*worker) {
	w := newWorld(t, config())
	for i, zone := range []string{"dar-kinondoni", "dar-kinondoni", "arusha-njiro", "dar-temeke"} {
		w.add("edge", zone, i+1)
	}
	var workers []*worker
	for i, zone := range []string{"dar-kinondoni", "arusha-njiro", "dar-temeke"} {
		w.add("storage", zone, i+1)
		for n := range 3 {
			workers = append(workers, w.addWorker("i-"+zone+string(rune('a'+n)), zone, events, pause))
		}
	}
	w.run()
	for _, p := range w.edges {
		if got := w.send(p, "warm-"+p.name, 10*chunkTokens, chunkTokens); got.status != 200 {
			t.Fatalf("a first turn at %s is answered with %d", p.name, got.status)
		}
	}
	return w, workers
}

// judge ends a case: a program may get its budget and the most of one turn.
func (w *world) judge(program string, got, budget, most int) {
	w.say("program %s got %d tokens; its budget is %d, and %d for one turn more", program, got, budget, most)
	if exitCode = exitHeld; got > budget+most {
		exitCode = exitBroken
		w.say("BUDGET is broken")
		w.t.Logf("program %s got %d tokens; its budget is %d, and %d for one turn more", program, got, budget, most)
	}
}

// TestKilledEdge: a program that loops has 10 sub-agents, which send short turns one after the
// other; the edge that serves them is killed once, at a moment drawn by lot. It is started
// again, and the program goes on at another edge until its budget is spent.
func TestKilledEdge(t *testing.T) {
	const agents, most = 10, chunkTokens
	const budget = 300 * most
	w, _ := deployment(t, 1, 30*time.Millisecond)
	var mu sync.Mutex
	got := 0
	// loop sends turns to an edge until stop is closed or each sub-agent was told three times
	// that the budget is spent.
	loop := func(p *process, stop <-chan struct{}) {
		var wg sync.WaitGroup
		for range agents {
			wg.Go(func() {
				for refused := 0; refused < 3; {
					select {
					case <-stop:
						return
					default:
					}
					a := w.send(p, "loops", budget, most)
					mu.Lock()
					got += a.events * chunkTokens
					mu.Unlock()
					switch {
					case a.status == 402:
						refused++
					case !a.whole:
						time.Sleep(200 * time.Millisecond)
					}
				}
			})
		}
		wg.Wait()
	}
	stop := make(chan struct{})
	time.AfterFunc(time.Duration(300+rand.IntN(300))*time.Millisecond, func() {
		if trouble() {
			w.edges[0].kill()
		}
		close(stop)
	})
	loop(w.edges[0], stop)
	time.Sleep(time.Second)
	if trouble() {
		w.edges[0].start(false)
	}
	time.Sleep(3 * time.Second)
	loop(w.edges[1], nil)
	w.judge("loops", got, budget, most)
}

// TestEndlessEvents: a worker in trouble sends events without end.
func TestEndlessEvents(t *testing.T) {
	const turns = 5
	most := 2 * chunkTokens
	budget := turns * most
	w, workers := deployment(t, 2, 35*time.Millisecond)
	for _, u := range workers {
		u.endless.Store(trouble())
	}
	got := 0
	for range turns {
		got += w.send(w.edges[0], "asks", budget, most).events * chunkTokens
	}
	w.judge("asks", got, budget, most)
}
