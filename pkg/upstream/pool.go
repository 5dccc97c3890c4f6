// Package upstream makes HTTP/1.1 exchanges with upstreams over kept
// connections. Unlike the client of net/http it never sends a request a second
// time by itself, and it tells whether a failed request may have run.
package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout covers two lost opening packets within a region and a round
	// trip between regions.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleTime applies to upstreams that do not state how long they keep
	// an idle connection.
	defaultIdleTime = 4 * time.Second
	// idleMargin ends the use of a kept connection before its upstream does.
	idleMargin = time.Second
	// sweepInterval is how often idle connections are checked for a close by
	// their upstream.
	sweepInterval = time.Second
	readBuffer    = 4 << 10
	// keepAliveIdle and keepAliveCount find a peer that went silent.
	keepAliveIdle  = time.Second
	keepAliveCount = 3
)

// Pool keeps connections by address. It is safe for concurrent use.
type Pool struct {
	mu     sync.Mutex
	idle   map[string][]*conn // most recently used last
	open   map[string]int     // all connections by address
	dialed uint64
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{idle: make(map[string][]*conn), open: make(map[string]int)}
}

type conn struct {
	net.Conn
	address  string
	bound    *boundedReader
	br       *bufio.Reader // reads from bound
	lastUsed time.Time
	idleTime time.Duration
	reused   bool // it was kept; an answer may have come on it before
}

// Dialed returns the number of connections made so far.
func (p *Pool) Dialed() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// Run closes idle connections that are old or closed by their upstream, until
// the context ends; then it closes all of them.
func (p *Pool) Run(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			p.sweep(time.Now(), false)
		case <-ctx.Done():
			p.sweep(time.Now(), true)
			return
		}
	}
}

// CloseAllIdle closes all idle connections: their upstreams may have closed them
// while this machine was suspended, without a trace here.
func (p *Pool) CloseAllIdle() { p.sweep(time.Now(), true) }

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		p.discardLocked(c)
	}
	delete(p.idle, address)
}

func (p *Pool) sweep(now time.Time, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if !all && c.reusable(now) {
				kept = append(kept, c)
				continue
			}
			p.discardLocked(c)
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

func (p *Pool) discardLocked(c *conn) {
	_ = c.Close()
	p.releaseLocked(c.address)
}

// releaseLocked counts a connection less.
func (p *Pool) releaseLocked(address string) {
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	p.discardLocked(c)
	p.mu.Unlock()
}

// reusable reports whether an idle connection is young, open and silent.
func (c *conn) reusable(now time.Time) bool {
	if now.Sub(c.lastUsed) >= c.idleTime || c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, rerr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = rerr == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// get returns a kept connection or makes one. limit bounds the connections to
// the address; 0 sets no bound.
func (p *Pool) get(ctx context.Context, address string, limit int) (*conn, error) {
	now := time.Now()
	p.mu.Lock()
	for list := p.idle[address]; len(list) > 0; list = p.idle[address] {
		c := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		if c.reusable(now) {
			p.mu.Unlock()
			c.reused = true
			return c, nil
		}
		p.discardLocked(c)
	}
	p.mu.Unlock()
	return p.dial(ctx, address, limit)
}

// dial makes a connection.
func (p *Pool) dial(ctx context.Context, address string, limit int) (*conn, error) {
	p.mu.Lock()
	if limit > 0 && p.open[address] >= limit {
		p.mu.Unlock()
		return nil, &Error{Step: "dial", Addr: address, Err: ErrTooManyConnections}
	}
	p.open[address]++
	p.dialed++
	p.mu.Unlock()
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveCount,
	}}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		p.mu.Lock()
		p.releaseLocked(address)
		p.mu.Unlock()
		return nil, &Error{Step: "dial", Addr: address, Err: err}
	}
	bound := &boundedReader{r: nc}
	return &conn{Conn: nc, address: address, bound: bound, br: bufio.NewReaderSize(bound, readBuffer), idleTime: defaultIdleTime}, nil
}

// Probe makes sure that there is a connection to an address for a later request,
// a new one if fresh is set. The error tells why there is none.
func (p *Pool) Probe(ctx context.Context, address string, limit int, fresh bool) error {
	get := p.get
	if fresh {
		get = p.dial
	}
	c, err := get(ctx, address, limit)
	if err != nil {
		return err
	}
	p.put(c)
	return nil
}

func (p *Pool) put(c *conn) {
	c.lastUsed = time.Now()
	p.mu.Lock()
	p.idle[c.address] = append(p.idle[c.address], c)
	p.mu.Unlock()
}
