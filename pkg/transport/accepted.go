package transport

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxHello limits what is read from a peer before its Hello has arrived, in bytes. A Hello
	// takes a few hundred. Streams opened before it would hold up to 256 KB each.
	maxHello = 16 << 10
	// maxHandshakes limits the accepted connections without a Hello. A handshake takes a few
	// round trips; peers whose connection is closed at the limit connect again.
	maxHandshakes = 256
	// refusedLogInterval is the time between two log lines about refused connections.
	refusedLogInterval = time.Second
)

// accepted holds the connections that were accepted from peers. The zero value is empty.
type accepted struct {
	mu    sync.Mutex
	conns map[net.Conn]*list.Element // place in handshakes; nil: the peer has sent its Hello
	// handshakes holds those without a Hello, oldest first.
	handshakes list.List
}

// begin registers an accepted connection, which has no Hello yet. If there are limit
// connections, or too many without a Hello, it closes the oldest of these. It returns false if
// all have sent a Hello; the new connection must then be closed. limit 0 means no limit.
func (a *accepted) begin(c net.Conn, limit int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if limit > 0 && len(a.conns) >= limit || a.handshakes.Len() >= maxHandshakes {
		oldest := a.handshakes.Front()
		if oldest == nil {
			return false
		}
		a.handshakes.Remove(oldest)
		old := oldest.Value.(net.Conn)
		delete(a.conns, old)
		_ = old.Close()
	}
	if a.conns == nil {
		a.conns = make(map[net.Conn]*list.Element)
	}
	a.conns[c] = a.handshakes.PushBack(c)
	return true
}

// helloReceived records that the peer has sent its Hello.
func (a *accepted) helloReceived(c net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if place := a.conns[c]; place != nil {
		a.handshakes.Remove(place)
		a.conns[c] = nil
	}
}

// end removes a connection.
func (a *accepted) end(c net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if place := a.conns[c]; place != nil {
		a.handshakes.Remove(place)
	}
	delete(a.conns, c)
}

// helloConn limits what is read from a peer until its Hello has arrived.
type helloConn struct {
	net.Conn
	arrived atomic.Bool
	left    int // bytes until the limit; used by the reader only
}

// Read implements net.Conn.
func (c *helloConn) Read(b []byte) (int, error) {
	if c.arrived.Load() {
		return c.Conn.Read(b)
	}
	if c.left <= 0 {
		return 0, ErrHelloTooLarge
	}
	n, err := c.Conn.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, err
}
