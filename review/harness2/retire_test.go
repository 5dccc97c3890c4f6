//go:build review2

package harness2

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The case "retire": a store machine is emptied and taken away, as planned, and after that another
// one loses its disk. The usage records that only these two had, all acknowledged, are gone:
// programs get the tokens of their budgets twice.

const (
	retirePrograms = 6
	retireBudget   = 840
	retireMost     = eventsOfTurn * chunkTokens
	retireTurns    = 30                      // at most, in each of the two spans
	retireDown     = 2 * time.Second         // after_ack_wipe, for_s = 2.0
	retireCatchUp  = 4400 * time.Millisecond // CatchUpS
)

// spender is a program that loops until its budget is spent.
type spender struct {
	program string
	parent  string
	tokens  int // handed to the client
	turns   int
	refused int
}

// spend sends turns until the budget is spent. It reports whether that was said.
func (w *world) spend(s *spender, c *client) bool {
	for range retireTurns {
		id := fmt.Sprintf("%s-%d", s.program, s.turns)
		s.turns++
		a := c.send(turnRequest{path: "/followup/x", id: id, program: s.program, parent: s.parent, body: "again\n", deadline: 3 * time.Second,
			programLeft: 100 * time.Second, budget: retireBudget, most: retireMost})
		s.tokens += a.events * chunkTokens
		w.record.line("%s sent to %s: %s; the program has %d tokens of %d", id, c.edge.name, a, s.tokens, retireBudget)
		switch {
		case a.status == 402:
			return true
		case a.whole:
			s.parent = id
		case a.status != 200:
			s.refused++
			time.Sleep(min(a.retryAfter, time.Second))
		}
	}
	return false
}

// spendAll lets all programs spend their budgets at once, each through one edge. shift moves the
// programs to other edges. It reports whether all were told that their budgets are spent.
func (w *world) spendAll(list []*spender, shift int) bool {
	var left atomic.Int64
	var wg sync.WaitGroup
	for i, s := range list {
		wg.Go(func() {
			c := newClient(w.edges[(i+shift)%len(w.edges)])
			defer c.close()
			if !w.spend(s, c) {
				left.Add(1)
			}
		})
	}
	wg.Wait()
	return left.Load() == 0
}

// retirementState returns the state that the system has written for a retirement.
func (w *world) retirementState(name string) string {
	_, status, ok := w.store.Get("retirements", name)
	if !ok {
		return ""
	}
	var s struct{ State string }
	_ = json.Unmarshal(status, &s)
	return s.State
}

func retireAndLose(rec *record) int {
	w, err := newWorld(rec, config(60, 3*time.Second))
	if err != nil {
		rec.line("cannot run: %v", err)
		return cannotRun
	}
	defer w.stop()
	if err := w.startAll(); err != nil {
		rec.line("cannot run: %v", err)
		return cannotRun
	}
	time.Sleep(8 * time.Second) // traffic starts 10 s after the machines do
	// The two store machines in the region of most edges.
	second, third := w.storages[0], w.storages[2]
	var list []*spender
	for i := range retirePrograms {
		list = append(list, &spender{program: fmt.Sprintf("3fa81%x", i)})
	}
	if !w.spendAll(list, 0) {
		rec.line("cannot judge: not all budgets were spent")
		return cannotRun
	}
	stopped := time.Now()
	time.Sleep(3 * time.Second)

	rec.line("the operator wants %s emptied", second.name)
	w.store.Put("retirements", second.name, map[string]any{"DeadlineS": 8.4})
	for end := time.Now().Add(20 * time.Second); w.retirementState(second.name) != "completed"; {
		if time.Now().After(end) {
			rec.line("cannot judge: the retirement is not completed")
			return cannotRun
		}
		time.Sleep(20 * time.Millisecond)
	}
	rec.line("the retirement of %s is completed: the machine and its disk are removed", second.name)
	second.mu.Lock()
	second.stopped = true
	second.mu.Unlock()
	second.signal(syscall.SIGKILL)
	second.waitEnd(time.Second)
	if err := os.RemoveAll(second.dataDir); err != nil {
		rec.line("cannot run: %v", err)
		return cannotRun
	}
	time.Sleep(time.Second)
	if w.trouble {
		rec.line("%s loses its disk", third.name)
		third.signal(syscall.SIGKILL)
		third.waitEnd(time.Second)
		if err := os.RemoveAll(third.dataDir); err != nil {
			rec.line("cannot run: %v", err)
			return cannotRun
		}
		time.Sleep(retireDown)
		if err := third.start(false); err != nil {
			rec.line("cannot run: %v", err)
			return cannotRun
		}
		rec.line("%s is started again with an empty disk", third.name)
	}
	time.Sleep(retireCatchUp + 2*time.Second)
	rec.line("the programs come again through other zones, %.1f s after they were stopped", time.Since(stopped).Seconds())
	if !w.spendAll(list, 1) {
		rec.line("not all programs were told that their budget is spent")
	}
	var over []string
	for _, s := range list {
		rec.line("program %s got %d tokens in %d turns, its budget is %d, one turn has %d at most", s.program, s.tokens, s.turns, retireBudget, retireMost)
		if s.tokens > retireBudget+retireMost {
			over = append(over, s.program)
		}
	}
	if len(over) > 0 {
		rec.line("RULE BROKEN: BUDGET: more than the budget and one turn: %s", strings.Join(over, ", "))
		return broken
	}
	rec.line("RULE HELD")
	return held
}
