package edge

import (
	"container/list"
	"net"
	"sync"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/fdlimit"
	"github.com/yuccaspindle/yuccaspindle/pkg/headlimit"
	"github.com/yuccaspindle/yuccaspindle/pkg/membudget"
	"github.com/yuccaspindle/yuccaspindle/pkg/routing"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	// connMemory is what an open connection without a request holds, in bytes: its goroutine
	// and buffers (24 MB for 2,000). connMemoryShare is the share of the process's memory for
	// all of them.
	connMemory      = 12 << 10
	connMemoryShare = 0.3
	// headlessDivisor divides the open connections: the quotient limits those without a whole
	// head. The others are for callers with a request, or that had one. Callers that comply
	// send a head at once, or within 3 s.
	headlessDivisor = 2
	// lingeringDivisor divides the open connections: the quotient limits those that are closed
	// for sending only.
	lingeringDivisor = 4
	// evictionLag is how many closed connections may still hold a descriptor until their
	// goroutines have run.
	evictionLag = 16
	// maxEvictionTries limits the connections that are examined to find one to close.
	maxEvictionTries = 16
	// maxAdminConns limits the connections to the readiness and metrics listeners, half each. Few
	// machines of the platform use them.
	maxAdminConns = 64
	// defaultHeadBytes limits the header lines, and the request line, if the configuration does
	// not. Callers send up to 16 KB.
	defaultHeadBytes = 16 << 10
	// maxHeadLines is far above the lines of callers' heads, which are tens.
	maxHeadLines = 512
)

// connLimits bounds the connections of a listener; 0: not limited.
type connLimits struct {
	open     int
	headless int // that have not sent a whole head, since they were accepted or since its first byte
}

// callerLimits returns the limits of the callers' listener.
func callerLimits(s *platform.Settings) connLimits {
	open := fdlimit.ForEdge(s.MaxFDs).Callers
	if s.MemoryMB > 0 {
		byMemory := int(connMemoryShare * float64(s.MemoryMB) * bytesPerMB / connMemory)
		if open == 0 || byMemory < open {
			open = byMemory
		}
	}
	if open > 0 {
		open = max(open-maxAdminConns, maxAdminConns) // the admin listeners need the rest
	}
	return connLimits{open: open, headless: open / headlessDivisor}
}

// callerHeadLimits returns the limits of a caller's head; t is nil before the first
// configuration.
func callerHeadLimits(t *routing.Table) headlimit.Limits {
	l := headlimit.Limits{Bytes: defaultHeadBytes, Lines: maxHeadLines}
	if t != nil && t.Limits().HeaderBytes > 0 {
		l.Bytes = t.Limits().HeaderBytes
	}
	return l
}

// callerConns holds the open connections of one listener.
type callerConns struct {
	limits     connLimits
	headLimits func() headlimit.Limits
	budget     *membudget.Budget
	onLimit    func(reason string, remote net.Addr) // records that a connection met a limit

	mu        sync.Mutex
	open      map[*callerConn]struct{}
	evicted   int // open connections that were closed at a limit and have not ended
	lingering int // connections that are closed for sending only
	// Connections that wait for a request, the one that waits longest first.
	headless, idle list.List
}

func newCallerConns(l connLimits, head func() headlimit.Limits, b *membudget.Budget, onLimit func(string, net.Addr)) *callerConns {
	return &callerConns{limits: l, headLimits: head, budget: b, onLimit: onLimit, open: make(map[*callerConn]struct{})}
}

// add registers an accepted connection. At a limit it closes the one that has waited longest
// for a request. It returns nil and closes the new one if all others are in use.
func (l *callerConns) add(tcp *net.TCPConn) *callerConn {
	now := time.Now()
	c := &callerConn{TCPConn: tcp, owner: l, expectedSince: now}
	c.hold = l.budget.Reservation(ownerHeads, membudget.HeadShare)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limits.open > 0 && len(l.open)-l.evicted+l.lingering >= l.limits.open {
		l.makePlaceLocked(now)
	}
	if l.limits.open > 0 && len(l.open)+l.lingering >= l.limits.open+evictionLag {
		l.onLimit(limitRefused, tcp.RemoteAddr())
		_ = tcp.Close()
		return nil
	}
	if l.limits.headless > 0 && l.headless.Len() >= l.limits.headless {
		l.evictLocked(&l.headless, now, nil, limitHeadless)
	}
	l.open[c] = struct{}{}
	c.queue, c.place = &l.headless, l.headless.PushBack(c)
	return c
}

// makePlaceLocked closes a connection for a new one: the one that has waited longest for its head,
// if callers need less time for that, then an idle one. The caller must hold l.mu.
func (l *callerConns) makePlaceLocked(now time.Time) {
	first, second := &l.idle, &l.headless
	if front := l.headless.Front(); front != nil && front.Value.(*callerConn).waitsLonger(now, requestWait) {
		first, second = second, first
	}
	if !l.evictLocked(first, now, nil, limitOpen) {
		l.evictLocked(second, now, nil, limitOpen)
	}
}

// count returns the number of open connections.
func (l *callerConns) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// remove removes a connection that has ended.
func (l *callerConns) remove(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dequeueLocked(c)
	if _, ok := l.open[c]; ok && c.isEvicted() {
		l.evicted--
	}
	delete(l.open, c)
}

// enqueue adds a connection to those that wait for a request, or for the rest of its head.
func (l *callerConns) enqueue(c *callerConn, begun bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dequeueLocked(c)
	c.queue = &l.idle
	if begun {
		c.queue = &l.headless
	}
	c.place = c.queue.PushBack(c)
}

// dequeue removes a connection from those that wait for a request.
func (l *callerConns) dequeue(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dequeueLocked(c)
}

func (l *callerConns) dequeueLocked(c *callerConn) {
	if c.place != nil {
		c.queue.Remove(c.place)
		c.place = nil
	}
}

// evictHead closes the connection that has waited longest for the rest of a head, except one.
// It reports whether there was one.
func (l *callerConns) evictHead(except *callerConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.evictLocked(&l.headless, time.Now(), except, limitMemory)
}

// evictLocked closes the connection that has waited longest in a queue. For limitMemory it
// closes only one that holds memory. The caller must hold l.mu.
func (l *callerConns) evictLocked(queue *list.List, now time.Time, except *callerConn, reason string) bool {
	next := queue.Front()
	for range maxEvictionTries {
		if next == nil {
			return false
		}
		c := next.Value.(*callerConn)
		next = next.Next()
		if c == except || !c.evict(now, reason == limitMemory) {
			continue
		}
		l.dequeueLocked(c)
		l.evicted++
		l.onLimit(reason, c.RemoteAddr())
		return true
	}
	return false
}

// evict ends the wait for a request because of a limit, unless a whole head has arrived, or no
// byte of a head was read yet and data waits to be read. If holding is set, a connection without a
// byte of a head is left, since it holds no memory.
func (c *callerConn) evict(now time.Time, holding bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.evicted || c.head.Complete() || !c.head.Begun() && (holding || c.hasUnread()) {
		return false
	}
	c.expired, c.evicted = true, true
	c.hold.Release()
	_ = c.SetReadDeadline(now) // wakes a waiting read
	return true
}

// waitsLonger reports whether the connection has waited longer than d for a request.
func (c *callerConn) waitsLonger(now time.Time, d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.expectedSince.IsZero() && now.Sub(c.expectedSince) > d
}

// isEvicted reports whether the connection was closed at a limit.
func (c *callerConn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}
