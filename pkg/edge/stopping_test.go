package edge

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

func startUnsafe(t *testing.T, grace time.Duration, h http.HandlerFunc) *process {
	t.Helper()
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	d.route(clone(resumable))
	d.upstream("u1", "app", h)
	d.upstream("u2", "llm", h)
	s := d.settings("127.0.0.1")
	s.StopGrace = grace
	p := d.edgeWith(s)
	p.ready(t, 2, 0)
	return p
}

// stopAndAwaitClosedListener stops an edge and returns the last connection that it
// accepted, or that waited to be accepted, when the listener closed.
func (p *process) stopAndAwaitClosedListener(t *testing.T) *net.TCPConn {
	t.Helper()
	p.cancel()
	var last net.Conn
	for range 2000 {
		c, err := net.Dial("tcp", p.settings.CallerListen)
		if err != nil {
			return last.(*net.TCPConn)
		}
		if last != nil {
			_ = last.Close()
		}
		last = c
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the listener stays open")
	return nil
}

// TestJustAcceptedCallerIsCutOffAtStop guards against a stop that drops the request of a
// connection which was accepted just before the listener closed.
func TestJustAcceptedCallerIsCutOffAtStop(t *testing.T) {
	p := startUnsafe(t, 2*time.Second, serveAny)
	c := p.stopAndAwaitClosedListener(t)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	caller := &rawCaller{t: t, c: c}
	caller.br = bufio.NewReader(c)
	time.Sleep(50 * time.Millisecond) // a caller's round trip to a distant zone
	caller.send(rawRequest("POST", "/unsafe/1", "a", "in"))
	if a := caller.receive("POST"); !a.signedSuccess() || a.header.Get("Connection") != "close" {
		t.Errorf("%+v", a)
	}
}

// TestSlowAnswerIsCutAtEndOfStop guards against closing connections without an answer when
// upstreams are still at work at the end of the grace period.
func TestSlowAnswerIsCutAtEndOfStop(t *testing.T) {
	started := make(chan struct{}, 1)
	p := startUnsafe(t, 1500*time.Millisecond, func(_ http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body) // the server sees a close only after the body
		started <- struct{}{}
		<-req.Context().Done()
	})
	caller := p.raw(t)
	caller.send(rawRequest("POST", "/unsafe/1", "a", "in"))
	<-started
	began := time.Now()
	p.cancel()
	a := caller.receive("POST")
	if a.err != nil || a.status != http.StatusBadGateway {
		t.Errorf("%+v", a)
	}
	if took := time.Since(began); took < p.settings.StopGrace*5/6-stopMargin || took > p.settings.StopGrace {
		t.Errorf("answered %v after the stop began, the grace period is %v", took, p.settings.StopGrace)
	}
}

// TestKeptConnectionIsNotToldOfStop guards against an answer during a stop after which the
// caller believes that its connection is kept.
func TestKeptConnectionIsNotToldOfStop(t *testing.T) {
	for _, path := range []string{"/unsafe/1", "/resumable/1"} {
		t.Run(path, func(t *testing.T) {
			started, release := make(chan struct{}), make(chan struct{})
			p := startUnsafe(t, 2*time.Second, func(w http.ResponseWriter, req *http.Request) {
				close(started)
				<-release
				serveAny(w, req)
			})
			caller := p.raw(t)
			caller.send(rawRequest("POST", path, "a", "in"))
			<-started
			p.cancel()
			eventually(t, "the edge does not drain", p.edge.draining.Load)
			close(release)
			if a := caller.receive("POST"); !a.signedSuccess() || a.header.Get("Connection") != "close" {
				t.Errorf("%+v", a)
			}
		})
	}
}

// TestUnreadBytesResetAnAnswer guards against a close with unread bytes, whose reset
// overtakes the answer on its way to a caller that is still sending.
func TestUnreadBytesResetAnAnswer(t *testing.T) {
	const sendTime = 1200 * time.Millisecond
	for _, c := range []struct {
		name, head string
		size       int
		status     int
		stop       bool
	}{
		{"body too large", "POST /unsafe/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\nContent-Length: 9000000\r\n\r\n", 9000000, http.StatusRequestEntityTooLarge, false},
		{"no route", "POST /none/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\nContent-Length: 3000000\r\n\r\n", 3000000, http.StatusNotFound, false},
		{"sends on during a stop", rawRequest("POST", "/unsafe/1", "a", "in") + "POST /unsafe/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: b\r\nContent-Length: 300000\r\n\r\n",
			300000, http.StatusOK, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := startUnsafe(t, 4*time.Second, serveAny)
			if c.stop {
				p.cancel()
				eventually(t, "the edge does not drain", p.edge.draining.Load)
			}
			caller := p.raw(t)
			caller.send(c.head)
			const parts = 12
			part := []byte(strings.Repeat("x", c.size/parts))
			for range parts {
				time.Sleep(sendTime / parts)
				if _, err := caller.c.Write(part); err != nil {
					t.Errorf("the edge reset the connection: %v", err)
					break
				}
			}
			if a := caller.receive("POST"); a.err != nil || a.status != c.status {
				t.Errorf("%+v", a)
			}
		})
	}
}

// TestStopUnderLoad guards against a planned stop that cuts a request on a kept connection
// after it was passed on, or resets a connection.
func TestStopUnderLoad(t *testing.T) {
	var mu sync.Mutex
	ran := make(map[string]bool)
	p := startUnsafe(t, 2*time.Second, func(w http.ResponseWriter, req *http.Request) {
		mu.Lock()
		ran[req.Header.Get("Attempt-Id")] = true
		mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		serveAny(w, req)
	})
	var callers sync.WaitGroup
	answered := make(map[string]bool)
	for i := range 24 {
		callers.Go(func() {
			for conn := 0; ; conn++ {
				nc, err := net.DialTimeout("tcp", p.settings.CallerListen, time.Second)
				if err != nil {
					return // the listener is closed
				}
				_ = nc.SetDeadline(time.Now().Add(10 * time.Second))
				caller := &rawCaller{t: t, c: nc.(*net.TCPConn), br: bufio.NewReader(nc)}
				for n := 0; ; n++ {
					id := fmt.Sprintf("%d-%d-%d", i, conn, n)
					if _, err := io.WriteString(nc, rawRequest("POST", "/unsafe/1", id, "in")); err != nil {
						t.Errorf("%s: %v", id, err)
						break
					}
					a := caller.receive("POST")
					if errors.Is(a.err, syscall.ECONNRESET) {
						t.Errorf("%s: reset", id)
					}
					if a.err == nil {
						mu.Lock()
						answered[id] = true
						mu.Unlock()
					}
					if a.err != nil || a.header.Get("Connection") == "close" {
						break
					}
				}
				_ = nc.Close()
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	p.cancel()
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(ran) < 100 {
		t.Errorf("only %d requests ran", len(ran))
	}
	for id := range ran {
		if !answered[id] {
			t.Errorf("%s ran and got no answer", id)
		}
	}
}

// TestCrossingRequestIsReadAndDropped guards against reading a request that crosses the
// close of an idle connection and ending it without an answer: its caller may repeat it
// only if it was not read.
func TestCrossingRequestIsReadAndDropped(t *testing.T) {
	p := startUnsafe(t, 2*time.Second, serveAny)
	caller := p.raw(t)
	caller.send(rawRequest("POST", "/unsafe/1", "a", "in"))
	if a := caller.receive("POST"); !a.signedSuccess() {
		t.Fatalf("%+v", a)
	}
	p.stopAndAwaitClosedListener(t)
	if _, err := caller.br.Peek(1); err != io.EOF {
		t.Fatalf("the idle connection does not end: %v", err)
	}
	closed := time.Now()
	caller.send(rawRequest("POST", "/unsafe/1", "b", "in"))
	eventually(t, "a request after the close is read", func() bool {
		_, err := caller.c.Write([]byte("x"))
		return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
	})
	if took := time.Since(closed); took > lingerTime/2 {
		t.Errorf("the connection was read for %v after its close", took)
	}
}

// TestLineEndAfterBodyDelaysStop guards against a stop that waits until the end of the grace
// for a request of which only the line end after the body before has come.
func TestLineEndAfterBodyDelaysStop(t *testing.T) {
	started := make(chan struct{})
	p := startUnsafe(t, 10*time.Second, func(w http.ResponseWriter, req *http.Request) {
		close(started)
		time.Sleep(200 * time.Millisecond) // the line end comes during the request
		serveAny(w, req)
	})
	caller := p.raw(t)
	caller.send(rawRequest("POST", "/unsafe/1", "a", "in"))
	<-started
	caller.send("\r\n")
	if a := caller.receive("POST"); !a.signedSuccess() {
		t.Fatalf("%+v", a)
	}
	began := time.Now()
	p.stop()
	if took := time.Since(began); took > drainListenTime+requestWait+time.Second {
		t.Errorf("the stop took %v", took)
	}
}

// TestStop guards against a planned stop that interrupts a request, and against an
// edge that reports readiness while it stops.
func TestStop(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	started, release := make(chan struct{}), make(chan struct{})
	d.upstream("u1", "app", func(w http.ResponseWriter, req *http.Request) {
		close(started)
		<-release
		sign(w, req)
		_, _ = w.Write([]byte("done"))
	})
	p := d.edge("127.0.0.1")
	p.ready(t, 1, 0)
	got := make(chan response, 1)
	go func() { got <- p.call(t, "POST", "/unsafe/1", "x", map[string]string{"Attempt-Id": "1"}) }()
	<-started
	p.cancel()
	eventually(t, "the stopping edge reports readiness", func() bool {
		resp, err := http.Get("http://" + p.settings.ReadyListen + platform.ReadinessPath)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	close(release)
	if a := <-got; a.status != 200 || a.body != "done" || !strings.EqualFold(a.header.Get("Connection"), "close") && a.err != nil {
		t.Errorf("%+v", a)
	}
	if err := <-p.done; err != nil {
		t.Errorf("the edge stopped with %v", err)
	}
	close(p.done)
}

// TestStopWithoutStorage guards against a planned stop that exceeds the platform's
// grace period, and so ends with a kill, because token usage cannot be written.
func TestStopWithoutStorage(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(unsafeRoute))
	d.upstream("u1", "app", func(w http.ResponseWriter, req *http.Request) { sign(w, req) })
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	for _, name := range []string{"s1", "s2", "s3"} {
		d.store.Put(platform.KindNodes, name, platform.Node{
			Role: platform.RoleStorage, Address: silent.Addr().String(), FailureDomain: "a1", Active: true,
		})
	}
	p := d.edge("127.0.0.1")
	p.ready(t, 1, 3)
	p.edge.settler.add(usageRecord(&peerv1.Usage{Program: "p", Attempt: 1, Tokens: 5, Settled: true}))
	began := time.Now()
	p.stop()
	if took := time.Since(began); took > p.settings.StopGrace {
		t.Errorf("the stop took %v, the grace period is %v", took, p.settings.StopGrace)
	}
}
