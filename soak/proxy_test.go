package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// proxy forwards TCP connections to a target and injects faults into them.
type proxy struct {
	ln     net.Listener
	target string

	mu            sync.Mutex
	conns         map[net.Conn]bool
	delay         time.Duration // of each chunk
	dropAll       bool          // data is discarded without a reset
	dropResponses bool          // the same, but only for data from the target
	refuse        bool          // new connections are closed
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{ln: ln, target: target, conns: make(map[net.Conn]bool)}
	t.Cleanup(func() { _ = ln.Close(); p.reset() })
	go p.accept()
	return p
}

func (p *proxy) addr() string { return p.ln.Addr().String() }

func (p *proxy) accept() {
	for {
		in, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		refuse := p.refuse
		p.mu.Unlock()
		out, err := net.DialTimeout("tcp", p.target, time.Second)
		if err != nil || refuse {
			_ = in.Close()
			if err == nil {
				_ = out.Close()
			}
			continue
		}
		p.mu.Lock()
		p.conns[in], p.conns[out] = true, true
		p.mu.Unlock()
		go p.forward(out, in, false)
		go p.forward(in, out, true)
	}
}

func (p *proxy) forward(to, from net.Conn, answers bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		delay, swallow := p.delay, p.dropAll || p.dropResponses && answers
		p.mu.Unlock()
		time.Sleep(delay)
		if n > 0 && !swallow {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			break
		}
	}
	if c, ok := to.(*net.TCPConn); ok {
		_ = c.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, from)
	_ = from.Close()
	p.mu.Lock()
	delete(p.conns, from)
	p.mu.Unlock()
}

// reset closes all connections with a reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = c.Close()
	}
}

// set changes the faults under the lock.
func (p *proxy) set(f func(*proxy)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p)
}
