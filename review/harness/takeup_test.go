//go:build review

package harness

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["takeup"] = scriptedCase{lango, takeUp} }

// takenUp is the number of conversations.
const takenUp = 10

// takeUp: an edge is killed in the middle of turns. Their clients take the streams up at
// another edge and go on from them.
func takeUp(w *world) int {
	route := historyRoute()
	route["Resumable"] = true
	w.config(1, route)
	for i := range 4 {
		e := w.newEngine(fmt.Sprintf("i-%08x", 0x1000+i), w.site.zones[i%3])
		e.events, e.gap = 8, 100*time.Millisecond
	}
	edges, _ := w.deploy(4)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	got := make(chan answer, takenUp)
	for i := range takenUp {
		go func() {
			id := fmt.Sprintf("%016x", 0xabc000+i)
			got <- w.turnWith(client, edges[0], id, fmt.Sprintf("p%d", i), "input of "+id+"\n", nil)
		}()
	}
	time.Sleep(450 * time.Millisecond)
	if w.trouble {
		w.note("%s is killed", edges[0].name())
		edges[0].kill()
	}
	broken := 0
	for range takenUp {
		a := <-got
		program := a.program
		events, last := a.events, a.id
		if !a.complete {
			id := "f" + a.id[1:]
			b := w.turnWith(client, edges[1], id, program, "input of "+a.id+"\n", map[string]string{"Last-Event-Id": fmt.Sprint(len(a.events)), "Resumes": a.id})
			if !b.complete {
				continue
			}
			events, last = append(events, b.events...), id
		}
		next := "e" + a.id[1:]
		c := w.turnWith(client, edges[1], next, program, "input of "+next+"\n", map[string]string{"Parent-Turn": last})
		if c.status != http.StatusOK {
			continue
		}
		want := "input of " + a.id + "\n" + strings.Join(events, "\n") + "\n" + "input of " + next + "\n"
		if body := w.body(next); body != want {
			broken++
			w.note("UNASKED: %s goes on from %s, whose client has %d events; the worker got %q, want %q", next, last, len(events), body, want)
		}
	}
	w.note("%d turns ran with another body than what was said", broken)
	if broken > 0 {
		return ruleBroken
	}
	return ruleHeld
}
