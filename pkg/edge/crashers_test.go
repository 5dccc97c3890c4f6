package edge

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/standin/faultnet"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// maxCrashes is the number of upstreams that one request may crash: every further
// request that reaches an upstream violates the requirements.
const maxCrashes = 3

// crasher is an upstream that crashes when it receives a body that contains "poison".
type crasher struct {
	f       *crashers
	id      string
	net     *faultnet.Server
	healthy bool // guarded by f.mu
	born    int  // start of the current run, guarded by f.mu
}

// crashers is a set of upstreams of the service "app" that crash in the same way.
type crashers struct {
	d *deployment
	// crashDelay is how long a poisonous request runs before its upstream crashes, so
	// that other requests are in flight at that moment.
	crashDelay time.Duration
	// serviceTime is how long a harmless request runs; 0: twice crashDelay.
	serviceTime time.Duration
	// silent upstreams stop responding when they crash, but do not close their
	// connections.
	silent bool
	// deregisterAfter is how long after a crash the registration is removed; 0: it
	// stays.
	deregisterAfter time.Duration
	// restartAfter is how long after a crash an upstream listens again with the same
	// ID and registration; 0: never. A silent one does not respond to new connections
	// until then.
	restartAfter time.Duration
	// registerAfter is how long after that an upstream with renewBorn registers.
	registerAfter time.Duration
	// announceAfter is how long after the arrival of a poisonous request its upstream
	// announces its shutdown in its registration; 0: never.
	announceAfter time.Duration
	// announceInResponse is set if upstreams announce their shutdown in each response.
	announceInResponse bool
	// renewBorn is set if an upstream that listens again registers as a new run.
	renewBorn bool
	// storeAway is set if the store is unreachable from the announcement until after
	// the crash.
	storeAway bool
	// replace is set if another upstream is registered after each crash.
	replace bool
	// isPoison reports whether a request crashes its upstream; nil: if its body says so.
	isPoison func(req *http.Request, body string) bool

	mu      sync.Mutex
	started int
	running int // poisonous requests
	// harmless is set if no body causes a crash anymore.
	harmless bool
	crashes  map[string]int // by body
	times    []time.Time    // of all crashes
}

func newCrashers(d *deployment) *crashers {
	return &crashers{d: d, crashes: make(map[string]int)}
}

// start registers n upstreams.
func (f *crashers) start(n int) {
	f.d.t.Helper()
	for range n {
		f.mu.Lock()
		c := &crasher{f: f, id: fmt.Sprintf("c%d", f.started), healthy: true, born: 1}
		f.started++
		f.mu.Unlock()
		c.net = faultnet.New(c)
		if err := c.net.Listen("127.0.0.1:0"); err != nil {
			f.d.t.Error(err)
			return
		}
		f.d.t.Cleanup(func() { _ = c.net.Close() })
		f.d.register(c.id, "app", c.net.Addr(), "ready")
	}
}

// poisons reports whether a request crashes its upstream.
func (f *crashers) poisons(req *http.Request, body string) bool {
	if f.isPoison != nil {
		return f.isPoison(req, body)
	}
	return strings.Contains(body, "poison")
}

// isHarmless reports whether no body causes a crash anymore.
func (f *crashers) isHarmless() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.harmless
}

// isRunning reports whether a poisonous request is running.
func (f *crashers) isRunning() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running > 0
}

func (f *crashers) addRunning(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running += n
}

// crashCount returns in how many crashes a body was in flight that causes them.
func (f *crashers) crashCount(body string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes[body]
}

// lateCrashes returns the number of crashes later than a time after the third.
func (f *crashers) lateCrashes(after time.Duration) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	late := 0
	for _, at := range f.times {
		if len(f.times) >= maxCrashes && at.After(f.times[maxCrashes-1].Add(after)) {
			late++
		}
	}
	return late
}

func (c *crasher) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	data, _ := io.ReadAll(req.Body) // the edge sends complete bodies
	body := string(data)
	if c.f.poisons(req, body) && !c.f.isHarmless() {
		c.f.addRunning(1)
		defer c.f.addRunning(-1)
		c.announce()
		time.Sleep(c.f.crashDelay)
		c.crash(body)
		if !c.f.silent {
			reset(w)
		}
		return
	}
	if c.f.announceInResponse {
		w.Header().Set("Server-Leaving", "1")
	} else {
		time.Sleep(cmp.Or(c.f.serviceTime, 2*c.f.crashDelay))
	}
	sign(w, req)
	_, _ = w.Write([]byte("done"))
}

// announce announces the upstream's shutdown in its registration.
func (c *crasher) announce() {
	f := c.f
	if f.announceAfter <= 0 {
		return
	}
	time.Sleep(f.announceAfter)
	f.mu.Lock()
	born := c.born
	f.mu.Unlock()
	f.d.registerRun(c.id, "app", c.net.Addr(), "draining", born)
	if f.storeAway {
		time.Sleep(f.crashDelay / 2) // the edges hear of the announcement
		f.d.store.SetDown(true)
	}
}

func (c *crasher) crash(body string) {
	f := c.f
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes[body]++
	f.times = append(f.times, time.Now())
	if !c.healthy {
		return // several such requests in flight crash it only once
	}
	c.healthy = false
	switch {
	case f.silent && f.restartAfter > 0:
		c.net.Suspend()
	case f.silent:
		c.net.Silence()
	}
	go c.end()
}

// end does what follows a crash.
func (c *crasher) end() {
	f := c.f
	if !f.silent {
		c.net.Drop()
	}
	if f.storeAway {
		time.AfterFunc(f.crashDelay, func() { f.d.store.SetDown(false) })
	}
	if f.replace {
		f.start(1)
	}
	if f.deregisterAfter > 0 {
		time.Sleep(f.deregisterAfter)
		f.d.store.Delete(platform.KindUpstreams, c.id)
		return
	}
	if f.restartAfter > 0 {
		time.Sleep(f.restartAfter)
		f.mu.Lock()
		c.healthy = true
		c.born++
		born := c.born
		f.mu.Unlock()
		if f.silent {
			c.net.Resume()
		} else if err := c.net.Listen(""); err != nil {
			f.d.t.Error(err)
		}
		if f.renewBorn {
			time.Sleep(f.registerAfter)
			f.d.registerRun(c.id, "app", c.net.Addr(), "ready", born)
		}
	}
}

// send sends a body as a new request of a caller that names no program.
func (p *process) send(t *testing.T, body string) response {
	t.Helper()
	return p.sendAs(t, "", body)
}

// sendAs sends a body as a new request of a program; empty: of none.
func (p *process) sendAs(t *testing.T, program, body string) response {
	t.Helper()
	header := map[string]string{"Attempt-Id": fmt.Sprintf("%x", time.Now().UnixNano())}
	if program != "" {
		header["Program-Id"] = program
	}
	return p.call(t, "POST", "/unsafe/1", body, header)
}
