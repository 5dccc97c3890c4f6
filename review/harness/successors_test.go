//go:build review

package harness

import (
	"fmt"
	"maps"
	"net/http"
	"os"
	"sync"
	"time"
)

func init() { cases["successors"] = scriptedCase{grown, successors} }

const (
	conversations = 40
	// turnTries is how often a turn is sent: three times, with one retry of the client each.
	turnTries = 6
)

// historyRoute is the route of case-followup.
func historyRoute() map[string]any {
	return map[string]any{
		"Name": "r-hh2b9wu", "Host": host, "PathPrefix": "/pufi791/", "Kind": "streaming", "TimeoutMs": 3000, "TargetLatencyMs": 300, "Priority": 0,
		"Service": engineService, "MaxAttempts": 2, "ServerHistory": true, "RetentionS": 60.0, "Sticky": true, "Resumable": false, "GapTargetMs": 150,
	}
}

// turn sends one turn of a program that continues from another one; empty: from none.
func (w *world) turn(client *http.Client, p *process, id, program, parent string) answer {
	if parent == "" {
		return w.turnWith(client, p, id, program, "input of "+id+"\n", nil)
	}
	return w.turnWith(client, p, id, program, "input of "+id+"\n", map[string]string{"Parent-Turn": parent})
}

// turnWith sends one turn of a program with an input and further headers.
func (w *world) turnWith(client *http.Client, p *process, id, program, input string, more map[string]string) answer {
	header := map[string]string{
		"Model": "m", "Token-Count": "839,280", "Deadline-Ms": "3000", "Program-Id": program, "Session-Id": "s" + program, "Program-Deadline-Ms": "60000", "Token-Budget": "22400",
	}
	maps.Copy(header, more)
	a := w.stream(client, p.frontend, "/pufi791/4b", id, header, []byte(input))
	a.program = program
	w.note("turn %s of %s with %v at %s: status %d, complete %t, %d events, %v", id, program, more, p.name(), a.status, a.complete, len(a.events), a.err)
	return a
}

// successors: two storage machines of different zones are removed for good at the same
// moment, and empty ones come in their zones. Later two others lose their disks, as the
// final fault.
func successors(w *world) int {
	w.config(1, historyRoute())
	for i := range 4 {
		e := w.newEngine(fmt.Sprintf("i-%08x", 0x1000+i), w.site.zones[i])
		e.events, e.gap = 4, 5*time.Millisecond
	}
	edges, storages := w.deploy(3, 8)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	parents := make([]string, conversations)
	for i := range parents {
		id := fmt.Sprintf("%016x", 0xabc000+i)
		if a := w.turn(client, edges[i%3], id, fmt.Sprintf("p%d", i), ""); a.complete {
			parents[i] = id
		}
	}
	if w.trouble {
		w.note("%s and %s are removed for good", storages[2].name(), storages[3].name())
		storages[2].kill()
		storages[3].kill()
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		for i, removed := range []*process{storages[2], storages[3]} {
			p := w.addProcess("storage", 20+i)
			p.zone = removed.zone
			p.writeSettings(false)
			p.start()
			w.note("%s starts empty in the zone of %s", p.name(), removed.name())
		}
	}
	time.Sleep(w.site.catchUpTime + 8*time.Second)
	wiped := []*process{storages[0], storages[1]}
	w.note("final fault: %s and %s lose their disks", wiped[0].name(), wiped[1].name())
	for _, p := range wiped {
		p.kill()
	}
	time.Sleep(time.Second)
	for _, p := range wiped {
		must(os.RemoveAll(p.dataDir))
		must(os.Mkdir(p.dataDir, 0o755))
		p.writeSettings(false)
		p.start()
	}
	w.note("they are back with empty disks")
	return w.continueAll(client, edges, parents, time.Now().Add(w.site.recoverTime))
}

// lastTime is the last part of a day, in which turns that go on from kept ones must reach a
// worker after a final fault.
const lastTime = 4 * time.Second

// continueAll continues all conversations, again and again until they reach a worker or
// lastTime after the end of the recovery. It sends first turns of other programs in the last
// part. A turn is lost if it has reached no worker in turnTries or more.
func (w *world) continueAll(client *http.Client, edges []*process, parents []string, recovered time.Time) int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	lost, served, others, first := 0, 0, 0, 0
	for i, parent := range parents {
		if parent == "" {
			continue
		}
		wg.Go(func() {
			tries := 0
			for ; time.Now().Before(recovered.Add(lastTime)); tries++ {
				a := w.turn(client, edges[(i+tries)%3], fmt.Sprintf("%016x", 0xdef000+256*i+tries), fmt.Sprintf("p%d", i), parent)
				if a.status == http.StatusOK {
					mu.Lock()
					served++
					mu.Unlock()
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
			if tries < turnTries {
				return
			}
			mu.Lock()
			lost++
			mu.Unlock()
			w.note("LOST: the turn that goes on from %s reached no worker in %d tries", parent, tries)
		})
		wg.Go(func() {
			time.Sleep(time.Until(recovered))
			a := w.turn(client, edges[i%3], fmt.Sprintf("%016x", 0xfed000+i), fmt.Sprintf("q%d", i), "")
			mu.Lock()
			defer mu.Unlock()
			others++
			if a.status == http.StatusOK {
				first++
			}
		})
	}
	wg.Wait()
	w.note("of the turns that go on from a kept one, %d reached a worker and %d none; %d of %d first turns reached one after the recovery", served, lost, first, others)
	if lost > 0 {
		return ruleBroken
	}
	return ruleHeld
}
