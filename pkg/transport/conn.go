package transport

import (
	"encoding/binary"
	"net"
	"time"
)

// deadlineConn closes a silent connection: each read and write must make
// progress within the timeout. The yamux keep-alive of both sides provides
// traffic on an idle session.
type deadlineConn struct {
	net.Conn
	timeout time.Duration
}

func (c *deadlineConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

func (c *deadlineConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// isLoopback reports whether host:port names a loopback address. Host names
// other than localhost are not resolved.
func isLoopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return false
	}
	if host == "localhost" {
		return true
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

// The frame layout of the yamux protocol: version, type, flags (2 bytes),
// stream id (4 bytes), length (4 bytes).
const (
	yamuxHeader       = 12
	yamuxData         = 0
	yamuxWindowUpdate = 1
	yamuxSYN          = 1
	yamuxACK          = 2
)

// heldFrames bounds the frames that wait for the next write, in bytes.
const heldFrames = 4096

// frameConn joins frames that yamux writes separately, which saves system
// calls, packets and wake-ups of the peer: the header of a data frame goes out
// with its body, and the opening or acceptance of a stream with the next frame.
// The first envelope of a stream follows its opening at once, and the pings of
// the keep-alive bound the wait of an acceptance.
type frameConn struct {
	net.Conn
	held []byte
	body bool // held ends with the header of a data frame
}

// Write is called by one goroutine of the session only.
func (c *frameConn) Write(b []byte) (int, error) {
	if !c.body && len(b) == yamuxHeader && len(c.held) < heldFrames {
		flags, length := binary.BigEndian.Uint16(b[2:]), binary.BigEndian.Uint32(b[8:])
		c.body = b[1] == yamuxData && length > 0
		if c.body || b[1] == yamuxWindowUpdate && length == 0 && flags != 0 && flags&^(yamuxSYN|yamuxACK) == 0 {
			c.held = append(c.held, b...)
			return len(b), nil
		}
	}
	c.body = false
	if len(c.held) == 0 {
		return c.Conn.Write(b)
	}
	c.held = append(c.held, b...)
	_, err := c.Conn.Write(c.held)
	c.held = c.held[:0]
	if cap(c.held) > pooledBuffer {
		c.held = nil
	}
	if err != nil {
		return 0, err
	}
	return len(b), nil
}
