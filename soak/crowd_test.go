package soak

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/yuccaspindle/yuccaspindle/pkg/standin/platformstore"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	// crowdMemoryMB and crowdFDs are the limits in the settings of the processes, and the
	// bounds on their peak resident memory and open descriptors.
	crowdMemoryMB = 64
	crowdFDs      = 1000
	// idleFDs is lower, so that idle connections reach it before they reach the memory limit.
	idleFDs = 300
	// crowdSize is the number of connections that exceed a limit of callers at once, and
	// peerCrowdSize on the peers' port.
	crowdSize     = 600
	peerCrowdSize = 40
	// overlongHead is how much of a head without an end is sent to the callers' listener, in
	// bytes: the edge used to read 64 KB of it. adminHead is the same for the readiness and
	// metrics listeners, which used to read 1 MB, and endlessBody for data behind a head.
	overlongHead = 60 << 10
	adminHead    = 256 << 10
	endlessBody  = 512 << 10
	// unreadAnswer is the size of an answer that is not read.
	unreadAnswer = 1 << 20
	// crowdTime ends the writing of members that the process neither reads nor closes, and
	// servedTime the wait for an ordinary answer.
	crowdTime  = 4 * time.Second
	servedTime = 30 * time.Second
	// Addresses of the processes. No other test uses this network.
	crowdEdgeIP    = "127.0.60.1"
	crowdStorageIP = "127.0.60.101"
)

// crowdSite is an edge and a storage process with lowered limits.
type crowdSite struct {
	s             *soak
	edge, storage *process
}

func newCrowdSite(t *testing.T, bin string, fds int) *crowdSite {
	return newCrowdSiteWith(t, bin, fds, crowdMemoryMB)
}

// newCrowdSiteWith returns a site whose storage process has a memory limit of its own.
func newCrowdSiteWith(t *testing.T, bin string, fds, storageMemoryMB int) *crowdSite {
	s := &soak{t: t, bin: bin, store: platformstore.New()}
	s.port = freePort(t, crowdEdgeIP, crowdStorageIP)
	srv := httptest.NewServer(s.store)
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	s.storeURL = newProxy(t, strings.TrimPrefix(srv.URL, "http://"))
	s.store.Put(platform.KindConfig, platform.ConfigName, config(1))
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Response-Signature", "s")
		if strings.HasSuffix(r.URL.Path, "/large") {
			_, _ = io.WriteString(w, strings.Repeat("a", unreadAnswer))
			return
		}
		_, _ = io.WriteString(w, "ok")
	}))
	t.Cleanup(func() { up.CloseClientConnections(); up.Close() })
	s.store.Put(platform.KindUpstreams, "u1", map[string]any{
		"Service": "app", "Address": strings.TrimPrefix(up.URL, "http://"), "Zone": "a1", "Slots": 8, "State": "ready", "born": 1,
	})
	site := &crowdSite{
		s:       s,
		edge:    s.newLimitedProcess("edge", crowdEdgeIP, fds, crowdMemoryMB),
		storage: s.newLimitedProcess("storage", crowdStorageIP, fds, storageMemoryMB),
	}
	for _, p := range []*process{site.storage, site.edge} {
		p.start(s.bin)
	}
	site.waitServed("before")
	return site
}

// newLimitedProcess returns a process with the limits of this test that was not started.
func (s *soak) newLimitedProcess(role, ip string, fds, memoryMB int) *process {
	p := &process{t: s.t, role: role, ip: ip, zone: "a1", dir: filepath.Join(s.t.TempDir(), "data")}
	p.caller = net.JoinHostPort(ip, strconv.Itoa(freePort(s.t, ip)))
	p.ready = net.JoinHostPort(ip, strconv.Itoa(freePort(s.t, ip)))
	p.settings = filepath.Join(s.t.TempDir(), "settings.json")
	m := map[string]any{
		"NodeName": role, "Ip": ip, "Zone": p.zone, "Region": "a", "Zones": zones,
		"ListenAddresses":   map[string]string{"Frontend": p.caller, "Ready": p.ready},
		"InternalPortRange": []int{s.port}, "IsFirstStart": true,
		"Limits":   map[string]int{"MemoryMb": memoryMB, "MaxFds": fds},
		"Bounds":   map[string]int{"GraceS": 5},
		"Platform": map[string]string{"Address": s.storeURL.addr()},
	}
	if role == "storage" {
		m["DataDir"] = p.dir
	}
	if err := os.WriteFile(p.settings, mustJSON(m), 0o644); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { p.kill(syscall.SIGKILL) })
	return p
}

// waitServed waits until the edge answers an ordinary request.
func (site *crowdSite) waitServed(when string) {
	site.s.t.Helper()
	for end := time.Now().Add(servedTime); ; time.Sleep(100 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		req, err := http.NewRequestWithContext(ctx, "POST", "http://"+site.edge.caller+"/unsafe/x", strings.NewReader("in"))
		if err != nil {
			site.s.t.Fatal(err)
		}
		req.Host = "h.example"
		resp, err := client.Do(req)
		status := 0
		if err == nil {
			status = resp.StatusCode
			_ = resp.Body.Close()
		}
		cancel()
		if status == http.StatusOK {
			return
		}
		if time.Now().After(end) || site.edge.hasEnded() {
			site.s.t.Fatalf("no ordinary request is answered %s the crowd: status %d, %v\n%s", when, status, err, site.edge.log.String())
		}
	}
}

// descriptors returns the number of open descriptors of the process.
func (p *process) descriptors() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(list)
}

// member is one caller outside the limits. It returns once it has sent all or was cut off.
type member func(c *net.TCPConn) error

// play lets a crowd connect to an address of p at once and holds all connections until each
// member has ended. It checks the memory and the descriptors of the process meanwhile.
func (site *crowdSite) play(p *process, address string, size, fds int, m member) {
	t := site.s.t
	before := p.peakMemory()
	sampling, sampled := make(chan struct{}), make(chan int)
	go func() {
		most := 0
		for {
			most = max(most, p.descriptors())
			select {
			case <-sampling:
				sampled <- most
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	conns := make([]net.Conn, size)
	var members sync.WaitGroup
	var mu sync.Mutex
	cutOff := 0
	for i := range size {
		members.Go(func() {
			c, err := net.DialTimeout("tcp", address, crowdTime)
			if err == nil {
				conns[i] = c
				_ = c.SetDeadline(time.Now().Add(crowdTime))
				err = m(c.(*net.TCPConn))
			}
			if err != nil {
				mu.Lock()
				cutOff++
				mu.Unlock()
			}
		})
	}
	members.Wait()
	for _, c := range conns {
		if c != nil {
			_ = c.Close()
		}
	}
	if p.hasEnded() {
		t.Fatalf("%s has ended:\n%s", p.role, p.log.String())
	}
	close(sampling)
	most, peak := <-sampled, p.peakMemory()
	t.Logf("peak memory %.1f MB, %.1f MB before, at most %d descriptors, %d of %d members cut off", peak, before, most, cutOff, size)
	if peak > crowdMemoryMB {
		t.Errorf("peak memory %.1f MB, the limit is %d", peak, crowdMemoryMB)
	}
	if most > fds {
		t.Errorf("%d descriptors were open, the limit is %d", most, fds)
	}
	site.waitServed("after")
}

// repeat returns a member that sends first once and then parts up to a number of bytes.
func repeat(first string, part func(n int) string, bytes int) member {
	var block strings.Builder
	for n := 0; block.Len() < bytes; n++ {
		block.WriteString(part(n))
	}
	data := first + block.String()
	return func(c *net.TCPConn) error {
		if _, err := io.WriteString(c, data); err != nil {
			return err
		}
		return holdOpen(c)
	}
}

// holdOpen keeps a connection open until the process closes it, or for crowdTime.
func holdOpen(c *net.TCPConn) error {
	_, err := io.Copy(io.Discard, c)
	if err, ok := err.(net.Error); ok && err.Timeout() {
		return nil
	}
	return err
}

func always(part string) func(int) string { return func(int) string { return part } }

const openHead = "GET /safe/x HTTP/1.1\r\nHost: h.example\r\n"

func shortLine(n int) string { return fmt.Sprintf("%x:1\r\n", n) }

// headCases returns heads without an end, of which a number of bytes is sent.
func headCases(bytes int) map[string]member {
	return map[string]member{
		"many short lines":   repeat(openHead, shortLine, bytes),
		"one endless value":  repeat(openHead+"X: ", always("a"), bytes),
		"empty lines, CR LF": repeat("", always("\r\n"), bytes),
		"empty lines, LF":    repeat("", always("\n"), bytes),
	}
}

// Guards against heads without an end that make the edge exceed its memory on any of its
// HTTP listeners.
func TestCrowdOfHeads(t *testing.T) {
	bin := build(t)
	for listener, bytes := range map[string]int{"callers": overlongHead, "readiness": adminHead, "metrics": adminHead} {
		for name, m := range headCases(bytes) {
			t.Run(listener+"/"+name, func(t *testing.T) {
				site := newCrowdSite(t, bin, crowdFDs)
				address := map[string]string{
					"callers": site.edge.caller, "readiness": site.edge.ready,
					"metrics": net.JoinHostPort(site.edge.ip, strconv.Itoa(platform.MetricsPort)),
				}[listener]
				site.play(site.edge, address, crowdSize, crowdFDs, m)
			})
		}
	}
}

// Guards against data without an end behind the head of a request, and behind an answer, that
// makes the edge exceed its memory.
func TestCrowdOfBodies(t *testing.T) {
	bin := build(t)
	const post = "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\n"
	const chunked = post + "Transfer-Encoding: chunked\r\n\r\n"
	const whole = post + "Content-Length: 2\r\n\r\nin"
	var fields strings.Builder
	for n := range 200 {
		fields.WriteString(shortLine(n))
	}
	for name, m := range map[string]member{
		"empty lines after an answer, CR LF": repeat(whole, always("\r\n"), endlessBody),
		"empty lines after an answer, LF":    repeat(whole, always("\n"), endlessBody),
		"pipelined requests":                 repeat(whole, always(whole), overlongHead),
		"head after an answer":               repeat(whole+openHead, shortLine, overlongHead),
		"chunk extensions":                   repeat(chunked+"1;", always("a"), endlessBody),
		"chunks with extensions":             repeat(chunked, always("1;"+strings.Repeat("a", 1000)+"\r\nx\r\n"), endlessBody),
		"trailers":                           repeat(chunked+"2\r\nin\r\n0\r\n", shortLine, endlessBody),
		"empty lines before a chunk, CR LF":  repeat(chunked, always("\r\n"), endlessBody),
		"empty lines before a chunk, LF":     repeat(chunked, always("\n"), endlessBody),
		"body that is never complete":        repeat(post+fields.String()+"X: "+strings.Repeat("a", 12<<10)+"\r\nContent-Length: 2000000\r\n\r\n", always("a"), endlessBody),
	} {
		t.Run(name, func(t *testing.T) {
			site := newCrowdSite(t, bin, crowdFDs)
			site.play(site.edge, site.edge.caller, crowdSize, crowdFDs, m)
		})
	}
}

// Guards against idle connections that use up the descriptors of the edge, with and without
// a request before.
func TestCrowdOfIdleConnections(t *testing.T) {
	bin := build(t)
	for name, m := range map[string]member{
		"new":  holdOpen,
		"kept": repeat(openHead+"\r\n", always(""), 0),
	} {
		t.Run(name, func(t *testing.T) {
			site := newCrowdSite(t, bin, idleFDs)
			site.play(site.edge, site.edge.caller, crowdSize, idleFDs, m)
		})
	}
}

// Guards against callers that don't read their answers and make the edge exceed its memory.
func TestCrowdThatReadsNoAnswers(t *testing.T) {
	site := newCrowdSite(t, build(t), crowdFDs)
	request := strings.Replace(openHead, "/safe/x", "/safe/large", 1) + "\r\n"
	site.play(site.edge, site.edge.caller, crowdSize, crowdFDs, func(c *net.TCPConn) error {
		_ = c.SetReadBuffer(4 << 10)
		if _, err := io.WriteString(c, request); err != nil {
			return err
		}
		time.Sleep(crowdTime) // does not read
		return nil
	})
}

// Guards against an unknown peer whose first message has no end, or that opens streams before
// it says who it is, and makes an edge or a storage process exceed its memory.
func TestCrowdOfPeers(t *testing.T) {
	bin := build(t)
	overlong := func(c *net.TCPConn, streams, bytes int) error {
		session, err := yamux.Client(c, nil)
		if err != nil {
			return err
		}
		defer session.Close()
		for range streams {
			st, err := session.OpenStream()
			if err != nil {
				return err
			}
			_ = st.SetDeadline(time.Now().Add(crowdTime))
			length := binary.AppendUvarint(nil, 8<<20) // the largest message
			if _, err = st.Write(append(length, make([]byte, bytes)...)); err != nil {
				return err
			}
		}
		<-session.CloseChan() // the process closes an incomplete handshake
		return nil
	}
	endlessFrame := append([]byte{0, 0, 0, 1, 0, 0, 0, 1}, 0xff, 0xff, 0xff, 0xff)
	for name, m := range map[string]member{
		"endless first message": func(c *net.TCPConn) error { return overlong(c, 1, 8<<20-1) },
		"streams before hello":  func(c *net.TCPConn) error { return overlong(c, 64, 200<<10) },
		"endless frame":         repeat(string(endlessFrame), always("a"), endlessBody),
		"no frame":              repeat("", always("\x00"), endlessBody),
		"idle":                  holdOpen,
	} {
		for _, role := range []string{"edge", "storage"} {
			t.Run(name+"/"+role, func(t *testing.T) {
				site := newCrowdSite(t, bin, crowdFDs)
				p := map[string]*process{"edge": site.edge, "storage": site.storage}[role]
				site.play(p, net.JoinHostPort(p.ip, strconv.Itoa(site.s.port)), peerCrowdSize, crowdFDs, m)
			})
		}
	}
}
