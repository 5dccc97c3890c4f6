package edge

import (
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

// maxCrashes is the number of upstreams that one request may crash: the users
// count the requests that reach an upstream after the third.
const maxCrashes = 3

// crasher is an upstream that ends when it is sent a body that contains "poison".
type crasher struct {
	f       *crashers
	id      string
	net     *faultnet.Server
	healthy bool // guarded by f.mu
}

// crashers are upstreams of the service "app" and how they end.
type crashers struct {
	d *deployment
	// boarding is how long a poisonous request runs before its upstream ends, so
	// that others get on board.
	boarding time.Duration
	// silent upstreams answer nothing any more when they end, instead of closing
	// their connections.
	silent bool
	// lapse is how long after the end the registration is gone; 0: it stays.
	lapse time.Duration
	// back is how long after its end an upstream listens again under its id and
	// registration; 0: never.
	back time.Duration
	// replaced is set if another upstream is registered after each end.
	replaced bool

	mu      sync.Mutex
	started int
	crashes map[string]int // by body
}

func newCrashers(d *deployment) *crashers {
	return &crashers{d: d, crashes: make(map[string]int)}
}

// start registers n upstreams.
func (f *crashers) start(n int) {
	f.d.t.Helper()
	for range n {
		f.mu.Lock()
		c := &crasher{f: f, id: fmt.Sprintf("c%d", f.started), healthy: true}
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

// by returns how many upstreams ended with a body on board that ends them.
func (f *crashers) by(body string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes[body]
}

func (c *crasher) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	data, _ := io.ReadAll(req.Body) // the entry sends whole bodies
	body := string(data)
	if strings.Contains(body, "poison") {
		time.Sleep(c.f.boarding)
		c.crash(body)
		if !c.f.silent {
			reset(w)
		}
		return
	}
	time.Sleep(2 * c.f.boarding)
	sign(w, req)
	_, _ = w.Write([]byte("done"))
}

func (c *crasher) crash(body string) {
	f := c.f
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes[body]++
	if !c.healthy {
		return // two such requests on board end it once
	}
	c.healthy = false
	if f.silent {
		c.net.Silence()
	}
	go c.end()
}

// end is what follows a crash.
func (c *crasher) end() {
	f := c.f
	if !f.silent {
		c.net.Drop()
	}
	if f.replaced {
		f.start(1)
	}
	if f.lapse > 0 {
		time.Sleep(f.lapse)
		f.d.store.Delete(platform.KindUpstreams, c.id)
		return
	}
	if f.back > 0 {
		time.Sleep(f.back)
		f.mu.Lock()
		c.healthy = true
		f.mu.Unlock()
		if err := c.net.Listen(""); err != nil {
			f.d.t.Error(err)
		}
	}
}

// send sends a body, as a caller that has not sent it before.
func (p *process) send(t *testing.T, body string) answer {
	t.Helper()
	return p.call(t, "POST", "/unsafe/1", body, map[string]string{"Attempt-Id": fmt.Sprintf("%x", time.Now().UnixNano())})
}
