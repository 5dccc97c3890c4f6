// Package upstream is an HTTP/1.1 client for upstreams with a connection pool.
// Unlike the client of net/http it never retries a request by itself, and its
// errors tell whether the upstream may have received a failed request.
package upstream

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccaspindle/yuccaspindle/pkg/peerreset"
)

const (
	// dialTimeout allows for two lost SYN packets within a region and a round trip
	// between regions.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleTime is how long an idle connection is reused if its upstream does
	// not state how long it keeps one.
	defaultIdleTime = 4 * time.Second
	// idleMargin is how long before the upstream's own idle timeout a connection is
	// no longer reused.
	idleMargin = time.Second
	// sweepInterval is how often idle connections are checked for expiry and for a
	// close by the upstream.
	sweepInterval   = time.Second
	readBufferBytes = 4 << 10
	// TCP keep-alive detects an upstream that no longer responds: probes start
	// after keepAliveIdle and repeat at the same interval.
	keepAliveIdle  = time.Second
	keepAliveCount = 3
)

// Pool holds open connections by upstream address. It is safe for concurrent
// use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*conn // most recently used last
	open map[string]int     // number of connections, idle and in use
	// runs holds the runs that open connections lead to, as far as upstreams were asked. A
	// connection does not outlive a run.
	runs   map[string]checkedRun
	dialed uint64
	total  int // connections to all addresses
	limit  int // largest total; 0: not limited
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{idle: make(map[string][]*conn), open: make(map[string]int), runs: make(map[string]checkedRun)}
}

// SetLimit limits the connections to all addresses together; 0: no limit. It must be called
// before the pool is used.
func (p *Pool) SetLimit(connections int) { p.limit = connections }

// makeRoomLocked reports whether another connection may be opened. At the limit it closes the
// idle one that was used least recently. The caller must hold p.mu.
func (p *Pool) makeRoomLocked() bool {
	if p.limit <= 0 || p.total < p.limit {
		return true
	}
	var oldest *conn
	for _, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].lastUsed.Before(oldest.lastUsed)) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.idle[oldest.address] = slices.Delete(p.idle[oldest.address], 0, 1)
	p.discardLocked(oldest)
	return true
}

type conn struct {
	net.Conn
	address  string
	limiter  *headLimitReader
	br       *bufio.Reader // reads from limiter
	lastUsed time.Time
	idleTime time.Duration
	opened   time.Time
	reused   bool // taken from the idle list, so it may have carried a response before
	carried  carriedIDs
	run      checkedRun
}

// maxCarriedIDs is how many request ids a connection remembers. A response to an earlier
// request may be written again after several others.
const maxCarriedIDs = 16

// carriedIDs holds the hashes of the ids of the last requests on a connection. A request
// that is sent again must not use it: the response to the earlier one could be written
// once more and be taken for its own.
type carriedIDs struct {
	hashes [maxCarriedIDs]uint64
	count  int
}

func (l *carriedIDs) add(id string) {
	l.hashes[l.count%maxCarriedIDs] = xxhash.Sum64String(id)
	l.count++
}

// mayCarry reports whether a request with an id can be told from the earlier ones. One
// without an id can't.
func (l *carriedIDs) mayCarry(id string) bool {
	return id != "" && !slices.Contains(l.hashes[:min(l.count, maxCarriedIDs)], xxhash.Sum64String(id))
}

// Dialed returns the number of connection attempts so far.
func (p *Pool) Dialed() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// Run closes idle connections that expired or were closed by their upstream,
// until the context is done; then it closes all idle connections.
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

// CloseAllIdle closes all idle connections. It is meant for the time after a
// suspension of the machine, during which upstreams may have closed connections
// unnoticed.
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

// discardLocked closes a connection. The caller must hold p.mu.
func (p *Pool) discardLocked(c *conn) {
	_ = c.Close()
	p.releaseLocked(c.address)
}

// releaseLocked decrements the number of connections to an address. The caller
// must hold p.mu.
func (p *Pool) releaseLocked(address string) {
	p.total--
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
		delete(p.runs, address)
	}
}

// inheritRun gives a new connection the run that another open one to its address leads to.
func (p *Pool) inheritRun(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	kept := p.idle[c.address][:0]
	for _, other := range p.idle[c.address] {
		if other.reusable(now) {
			kept = append(kept, other)
			continue
		}
		p.discardLocked(other)
	}
	clear(p.idle[c.address][len(kept):])
	p.idle[c.address] = kept
	if p.open[c.address] > 1 { // besides the new one
		c.run = p.runs[c.address]
	}
}

// recordRun notes which run the connections to an address lead to.
func (p *Pool) recordRun(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[c.address] > 0 {
		p.runs[c.address] = c.run
	}
}

func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	p.discardLocked(c)
	p.mu.Unlock()
}

// reusable reports whether an idle connection has not expired, is still open and
// has no unread data.
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

// get returns an idle connection for a request with an id, or dials a new one. limit is
// the largest number of connections to the address; 0 means no limit.
func (p *Pool) get(ctx context.Context, address, id string, limit int) (*conn, error) {
	if c := p.takeIdle(address, time.Now(), func(c *conn) bool { return c.carried.mayCarry(id) }); c != nil {
		return c, nil
	}
	return p.dial(ctx, address, limit)
}

// takeIdle takes the idle connection to an address that was used last, of those that
// usable accepts. It returns nil if there is none.
func (p *Pool) takeIdle(address string, now time.Time, usable func(*conn) bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		if !usable(c) {
			continue
		}
		list = slices.Delete(list, i, i+1)
		p.idle[address] = list
		if c.reusable(now) {
			c.reused = true
			return c
		}
		p.discardLocked(c)
	}
	return nil
}

// dial opens a new connection.
func (p *Pool) dial(ctx context.Context, address string, limit int) (*conn, error) {
	p.mu.Lock()
	if limit > 0 && p.open[address] >= limit || !p.makeRoomLocked() {
		p.mu.Unlock()
		return nil, &Error{Step: StepDial, Addr: address, Err: ErrTooManyConnections}
	}
	p.open[address]++
	p.total++
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
		return nil, &Error{Step: StepDial, Addr: address, Err: err}
	}
	tc := peerreset.NewConn(nc) // long requests are written beside reading
	limiter := &headLimitReader{r: tc}
	return &conn{Conn: tc, address: address, limiter: limiter, br: bufio.NewReaderSize(limiter, readBufferBytes), idleTime: defaultIdleTime, opened: time.Now()}, nil
}

// Probe checks that a connection to an address can be had, a new one if fresh is
// set, and adds it to the idle connections.
func (p *Pool) Probe(ctx context.Context, address string, limit int, fresh bool) error {
	var c *conn
	if !fresh {
		c = p.takeIdle(address, time.Now(), func(*conn) bool { return true })
	}
	if c == nil {
		var err error
		if c, err = p.dial(ctx, address, limit); err != nil {
			return err
		}
	}
	p.put(c)
	return nil
}

// put adds a connection to the idle ones.
func (p *Pool) put(c *conn) {
	c.lastUsed = time.Now()
	p.mu.Lock()
	p.idle[c.address] = append(p.idle[c.address], c)
	p.mu.Unlock()
}
