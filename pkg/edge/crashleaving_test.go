package edge

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

// shutdownDelay is how long a poisonous request runs before its upstream announces its
// shutdown, and again before the upstream crashes.
const shutdownDelay = 100 * time.Millisecond

// TestCrashingRequestDuringShutdown guards against crashes that are not counted because
// the upstream had announced its shutdown in its registration while the request ran
// (issue 29).
func TestCrashingRequestDuringShutdown(t *testing.T) {
	t.Parallel()
	for name, configure := range map[string]func(*crashers){
		"reset":         func(f *crashers) { f.deregisterAfter = shutdownDelay },
		"still listed":  func(*crashers) {},
		"silent":        func(f *crashers) { f.silent, f.deregisterAfter = true, shutdownDelay },
		"back at once":  func(f *crashers) { f.restartAfter = time.Millisecond; f.renewBorn = true },
		"store is away": func(f *crashers) { f.storeAway = true },
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			route := clone(unsafeRoute)
			route["TimeoutMs"] = 600
			d.route(route)
			f := newCrashers(d)
			f.announceAfter, f.crashDelay = shutdownDelay, shutdownDelay
			configure(f)
			const upstreams, edges, retries = 14, 2, 8
			f.start(upstreams)
			list := make([]*process, edges)
			for i := range list {
				list[i] = d.edge(fmt.Sprintf("127.0.0.%d", i+1))
			}
			for _, p := range list {
				p.ready(t, upstreams, 0)
				eventually(t, "the edges do not know each other", func() bool { return len(p.edge.view.otherEdges()) == edges-1 })
			}
			for i := range retries {
				list[i%edges].send(t, "poison")
				time.Sleep(retryPause)
			}
			if n := f.crashCount("poison"); n > maxCrashes {
				t.Errorf("%d upstreams ended, want at most %d", n, maxCrashes)
			}
		})
	}
}

// TestCrashingRequestAtLeavingUpstream guards against crashes that are not counted
// because the upstream had announced its shutdown in the response to another request
// (issue 29).
func TestCrashingRequestAtLeavingUpstream(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	f := newCrashers(d)
	f.announceInResponse, f.replace = true, true
	f.crashDelay, f.deregisterAfter = 2*shutdownDelay, shutdownDelay
	f.start(1)
	p := d.edge("127.0.0.1")
	p.ready(t, 1, 0)
	for range 8 {
		var poison response
		var caller sync.WaitGroup
		caller.Go(func() { poison = p.send(t, "poison") })
		time.Sleep(shutdownDelay)
		if f.isRunning() {
			if a := p.send(t, "sound"); a.status != http.StatusOK { // its response announces the shutdown
				t.Errorf("harmless request: %+v", a)
			}
		}
		caller.Wait()
		if poison.status != http.StatusBadGateway && poison.status != http.StatusServiceUnavailable {
			t.Errorf("request that crashes upstreams: %+v", poison)
		}
		time.Sleep(retryPause)
	}
	if n := f.crashCount("poison"); n > maxCrashes {
		t.Errorf("%d upstreams ended, want at most %d", n, maxCrashes)
	}
}

// TestPlannedShutdownIsNoCrash guards against refusing a harmless request because two
// upstreams that ran it ended as they had announced (issue 29), and against suspecting it
// after it completed, if its caller is the only one that may have sent it (issue 35).
func TestPlannedShutdownIsNoCrash(t *testing.T) {
	t.Parallel()
	for name, program := range map[string]string{"program": "p1", "no program": ""} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testPlannedShutdownIsNoCrash(t, program)
		})
	}
}

func testPlannedShutdownIsNoCrash(t *testing.T, program string) {
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	f := newCrashers(d)
	f.announceAfter, f.crashDelay, f.deregisterAfter = shutdownDelay, shutdownDelay, shutdownDelay
	f.start(4)
	p := d.edge("127.0.0.1")
	p.ready(t, 4, 0)
	for i := range 2 {
		if a := p.sendAs(t, program, "poison"); a.status != http.StatusBadGateway { // cut off by the shutdown
			t.Errorf("request %d: %+v", i, a)
		}
		time.Sleep(retryPause)
	}
	f.mu.Lock()
	f.harmless = true
	f.mu.Unlock()
	for range 3 {
		if a := p.sendAs(t, program, "poison"); a.status != http.StatusOK {
			t.Errorf("after two planned shutdowns: %+v", a)
		}
	}
	if list := p.edge.Status().Suspects; program != "" && len(list) != 0 {
		t.Errorf("suspects after the request completed: %+v", list)
	}
}

// TestLostResponsesBeforeShutdownAreNoCrashes guards against refusing a harmless request
// whose responses upstreams lost before they left as planned, with and without an
// announcement (seeds 12, 25, 33 and 49 of TestVersionSoak, issue 29).
func TestLostResponsesBeforeShutdownAreNoCrashes(t *testing.T) {
	t.Parallel()
	for name, announced := range map[string]bool{"announced": true, "not announced": false} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.route(clone(unsafeRoute))
			p := d.edge("127.0.0.1")
			const upstreams = 4
			for i := range upstreams {
				id := fmt.Sprint("u", i)
				srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
					if i < upstreams-1 {
						reset(w)
						return
					}
					sign(w, req)
				}))
				t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
				address := strings.TrimPrefix(srv.URL, "http://")
				d.register(id, "app", address, "ready")
				p.ready(t, 1, 0)
				if i == upstreams-1 {
					break
				}
				if a := p.send(t, "sound"); a.status != http.StatusBadGateway {
					t.Fatalf("request at upstream %d: %+v", i, a)
				}
				time.Sleep(3 * probeInterval)
				if announced {
					d.register(id, "app", address, "draining")
					time.Sleep(probeInterval)
				}
				d.store.Delete(platform.KindUpstreams, id)
				eventually(t, "the upstream is still known", func() bool { return p.edge.fleetLen() == 0 })
				srv.CloseClientConnections()
				srv.Close()
			}
			if list := p.edge.Status().Suspects; len(list) != 0 {
				t.Errorf("suspects: %+v", list)
			}
			if a := p.send(t, "sound"); a.status != http.StatusOK {
				t.Errorf("harmless request: %+v", a)
			}
		})
	}
}
