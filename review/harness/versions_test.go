//go:build review

package harness

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["versions"] = scriptedCase{lango, versions} }

// versions: a worker starts again with another version of its software while the store is
// silent, and crashes a little later.
func versions(w *world) int {
	w.config(1, streamRoute())
	var engines []*engine
	for i := range 8 {
		engines = append(engines, w.newEngine(fmt.Sprintf("i-%08x", 0x1000+i), w.site.zones[i%3]))
	}
	edges, _ := w.deploy(3)
	restarted := engines[0]
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	var mu sync.Mutex
	var answers []answer
	var wg sync.WaitGroup
	send := func(i int) {
		id := fmt.Sprintf("%016x", 0xabc000+i)
		edge := edges[i%2] // those in the region of the worker that starts again
		wg.Go(func() {
			w.note("client sends %s to %s", id, edge.name())
			a := w.stream(client, edge.frontend, "/lohu930/2f", id, map[string]string{
				"Model": "m", "Token-Count": "1166,280", "Deadline-Ms": "5000", "Program-Id": "p" + id, "Session-Id": "s" + id, "Program-Deadline-Ms": "9000", "Token-Budget": "2240",
			}, []byte("question "+id))
			w.note("client got %s: status %d, complete %t, events %q, %v", id, a.status, a.complete, a.events, a.err)
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
		})
	}
	for i := range 5 { // some requests before
		send(i)
	}
	wg.Wait()
	if w.trouble {
		w.note("the store is silent")
		w.storeLink.silence()
	}
	time.Sleep(200 * time.Millisecond)
	restarted.crash()
	w.note("worker %s ends", restarted.id)
	time.Sleep(300 * time.Millisecond)
	restarted.start("v2")
	if !w.trouble {
		restarted.register()
		time.Sleep(time.Second)
	}
	for i := range 60 {
		send(100 + i)
		time.Sleep(25 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	restarted.crash()
	w.note("worker %s crashes", restarted.id)
	time.Sleep(time.Second)
	if w.trouble {
		w.note("the store answers again")
		w.storeLink.resume()
	}
	wg.Wait()
	joined := 0
	for _, a := range answers {
		seen := make(map[string]bool)
		for _, e := range a.events {
			seen[strings.Fields(e)[1]] = true
		}
		if len(seen) > 1 {
			joined++
			w.note("ORDER: %s holds events of two versions: %q", a.id, a.events)
		}
	}
	w.note("%d of %d streams hold events of two versions, 2 are allowed", joined, len(answers))
	if joined > 2 {
		return ruleBroken
	}
	return ruleHeld
}
