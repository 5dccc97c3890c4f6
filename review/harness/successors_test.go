//go:build review

package harness

import (
	"fmt"
	"maps"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["successors"] = scriptedCase{grown, successors} }

const conversations = 40

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
// moment, and empty ones come in their zones; later this happens to two others. As the final
// fault, two more lose their disks.
func successors(w *world) int {
	w.config(1, historyRoute())
	for i := range 4 {
		e := w.newEngine(fmt.Sprintf("i-%08x", 0x1000+i), w.site.zones[i])
		e.events, e.gap = 4, 5*time.Millisecond
	}
	edges, storages := w.deploy(3)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	parents := make([]string, conversations)
	for i := range parents {
		id := fmt.Sprintf("%016x", 0xabc000+i)
		if a := w.turn(client, edges[i%3], id, fmt.Sprintf("p%d", i), ""); a.complete {
			parents[i] = id
		}
	}
	w.replace(storages[4], storages[5])
	w.replace(storages[6], storages[7])
	var before atomic.Int32
	var wg sync.WaitGroup
	for i := range conversations {
		wg.Go(func() {
			if a := w.turn(client, edges[i%3], fmt.Sprintf("%016x", 0xbcd000+i), fmt.Sprintf("r%d", i), ""); a.complete {
				before.Add(1)
			}
		})
	}
	wg.Wait()
	w.note("before the final fault %d of %d requests are served", before.Load(), conversations)
	wiped := []*process{storages[0], storages[2]}
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
	return w.continueAll(client, edges, parents, int(before.Load()), time.Now().Add(w.site.recoverTime))
}

// replace removes machines for good and starts an empty one in the zone of each, 2 s later. It
// returns when the successors have had the time to catch up, and as much again.
func (w *world) replace(removed ...*process) {
	if w.trouble {
		for _, p := range removed {
			w.note("%s of %s is removed for good", p.name(), p.zone)
			p.kill()
		}
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		for _, r := range removed {
			p := w.addProcess("storage", len(w.procs)+10)
			p.zone = r.zone
			p.writeSettings(false)
			p.start()
			w.note("%s starts empty in %s", p.name(), p.zone)
		}
	}
	time.Sleep(2 * w.site.catchUpTime)
}

// lastTime is for how long requests are sent after the end of the recovery.
const lastTime = 4 * time.Second

// continueAll continues all conversations, again and again until they are served or lastTime
// after the end of the recovery, and sends first turns of other programs after the recovery.
// RECOVER is broken if less than a quarter of the requests that are sent after the recovery is
// served, though a quarter or more was before.
func (w *world) continueAll(client *http.Client, edges []*process, parents []string, before int, recovered time.Time) int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	sent, served, lost := 0, 0, 0
	count := func(sentAt time.Time, a answer) {
		mu.Lock()
		defer mu.Unlock()
		if sentAt.Before(recovered) {
			return
		}
		sent++
		if a.complete {
			served++
		}
	}
	for i, parent := range parents {
		wg.Go(func() {
			tries := 0
			for ; time.Now().Before(recovered.Add(lastTime)); tries++ {
				at := time.Now()
				a := w.turn(client, edges[(i+tries)%3], fmt.Sprintf("%016x", 0xdef000+256*i+tries), fmt.Sprintf("p%d", i), parent)
				count(at, a)
				if a.complete {
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
			mu.Lock()
			lost++
			mu.Unlock()
			w.note("the turn that goes on from %s was not served in %d tries", parent, tries)
		})
		wg.Go(func() {
			time.Sleep(time.Until(recovered))
			at := time.Now()
			count(at, w.turn(client, edges[i%3], fmt.Sprintf("%016x", 0xfed000+i), fmt.Sprintf("q%d", i), ""))
		})
	}
	wg.Wait()
	w.note("RECOVER: of %d requests sent later than %v after the machines were back, %d were served; before the fault %d of %d", sent, w.site.recoverTime, served, before, conversations)
	w.note("LOST: %d of %d turns that go on from a kept one were never served", lost, len(parents))
	if 4*served < sent && 4*before >= conversations {
		return ruleBroken
	}
	return ruleHeld
}
