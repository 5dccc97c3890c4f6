package edge

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/membudget"
)

// startLimited starts an edge with limits in its settings, before an upstream that answers once
// release is closed.
func startLimited(t *testing.T, fds, memoryMB int, release <-chan struct{}) *process {
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	d.upstream("u1", "app", func(w http.ResponseWriter, req *http.Request) {
		<-release
		serveAny(w, req)
	})
	s := d.settings("127.0.0.1")
	s.MaxFDs, s.MemoryMB = fds, memoryMB
	p := d.edgeWith(s)
	p.ready(t, 1, 0)
	return p
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// headOf returns a head with header lines of a number of bytes.
func headOf(bytes, lines int) string {
	head := "POST /unsafe/1 HTTP/1.1\r\n"
	fields := "Host: h.example\r\nContent-Length: 2\r\n" + strings.Repeat("a: b\r\n", lines)
	return head + fields + "X: " + strings.Repeat("x", bytes-len(fields)-len("X: \r\n\r\n")) + "\r\n\r\n"
}

// TestHeadLimits guards against a head beyond a limit that is served or not answered, and
// against a limit that heads of 16 KB meet: alone, in small pieces, pipelined, after an answer.
func TestHeadLimits(t *testing.T) {
	p := startLimited(t, 1000, 64, closedChannel())
	whole := headOf(defaultHeadBytes, 100) + "in"
	for name, c := range map[string]struct {
		data   string
		step   int
		status []int
	}{
		"16 KB":                 {whole, 0, []int{200}},
		"16 KB in pieces":       {whole, 100, []int{200}},
		"16 KB pipelined":       {strings.Repeat(whole, 5), 0, []int{200, 200, 200, 200, 200}},
		"empty line between":    {whole + "\r\n" + whole, 0, []int{200, 200}},
		"too large":             {headOf(defaultHeadBytes+1, 1), 0, []int{431}},
		"too large after one":   {whole + headOf(3*defaultHeadBytes, 1), 0, []int{200, 431}},
		"too many lines":        {headOf(8<<10, maxHeadLines), 0, []int{431}},
		"endless request line":  {"GET /" + strings.Repeat("x", defaultHeadBytes), 0, []int{431}},
		"empty lines":           {strings.Repeat("\n", 20), 0, []int{400}},
		"too large, LF, pieces": {strings.ReplaceAll(headOf(defaultHeadBytes+2000, 1), "\r\n", "\n"), 1000, []int{431}},
	} {
		t.Run(name, func(t *testing.T) {
			caller := p.raw(t)
			if c.step == 0 {
				c.step = len(c.data)
			}
			for data := c.data; data != ""; data = data[min(c.step, len(data)):] {
				caller.send(data[:min(c.step, len(data))])
			}
			for i, want := range c.status {
				if a := caller.receive("POST"); a.err != nil || a.status != want || want >= 400 && a.header.Get("Connection") != "close" {
					t.Fatalf("answer %d: want %d, got %+v", i+1, want, a)
				}
			}
		})
	}
	eventually(t, "memory of heads is still reserved", func() bool { return p.edge.transit.Usage().Used == 0 })
}

// TestMemoryOfHeads guards against heads that use up the memory of all callers: those that have
// waited longest are closed. If none waits, a further one is refused as not run.
func TestMemoryOfHeads(t *testing.T) {
	p := startLimited(t, 0, 1, closedChannel())
	limit := int64(membudget.HeadShare * float64(transitLimit(1)))
	partial := strings.TrimSuffix(headOf(12<<10, 1), "\r\n\r\n")
	first := p.raw(t)
	first.send(partial)
	eventually(t, "no memory is reserved", func() bool { return p.edge.transit.Usage().Used > 0 })
	var last *rawCaller
	for range 4 {
		last = p.raw(t)
		last.send(partial)
	}
	if a := first.receive("POST"); a.err == nil && (a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "") {
		t.Errorf("the oldest connection: %+v", a)
	}
	last.send("\r\n\r\nin")
	if a := last.receive("POST"); !a.signedSuccess() {
		t.Errorf("the newest connection: %+v", a)
	}
	if u := p.edge.transit.Usage(); u.Used > limit {
		t.Errorf("%d bytes are reserved, %d are the limit of heads", u.Used, limit)
	}
	hold := p.edge.transit.Reservation(ownerHeads, 1)
	defer hold.Release()
	eventually(t, "connections without a whole head stay", func() bool {
		_ = hold.Grow(int(p.edge.transit.Usage().Limit - p.edge.transit.Usage().Used))
		refused := p.raw(t)
		refused.send(partial)
		a := refused.receive("POST")
		return a.status == http.StatusServiceUnavailable && a.header.Get("Retry-After") != ""
	})
}

// TestOpenConnections guards against a listener that stops at its limit: idle connections make
// room, and while all have a request under way a new one is closed at once.
func TestOpenConnections(t *testing.T) {
	release := make(chan struct{})
	p := startLimited(t, 300, 0, release)
	limit := callerLimits(p.settings).open
	for range 2 * limit {
		p.raw(t) // idle
	}
	busy := make([]*rawCaller, limit+evictionLag)
	for i := range busy {
		busy[i] = p.raw(t)
		busy[i].send(rawRequest("POST", "/unsafe/1", fmt.Sprint("busy", i), "in"))
		eventually(t, "a request is not read", func() bool {
			n, _ := p.edge.inFlight.ids()
			return n > i || busy[i].closed()
		})
	}
	late := p.raw(t)
	if a := late.receive("POST"); a.err == nil {
		t.Errorf("a connection above the limit: %+v", a)
	}
	close(release)
	for i := range limit {
		if a := busy[i].receive("POST"); a.err != nil {
			t.Errorf("request %d: %+v", i, a)
		}
	}
	eventually(t, "no request is answered afterwards", func() bool {
		a := p.call(t, "POST", "/unsafe/1", "in", map[string]string{"Attempt-Id": "after"})
		return a.signedSuccess()
	})
}

// closed reports whether the edge has sent an answer or closed the connection.
func (r *rawCaller) closed() bool {
	return (&callerConn{TCPConn: r.c}).hasUnread()
}
