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

// yamuxHeader is the size of a frame header: version, type, flags, stream id
// and length.
const yamuxHeader = 12

// frameConn joins the header of a data frame with its body. yamux writes them
// separately, which costs a second system call and packet per message.
type frameConn struct {
	net.Conn
	frame []byte // a header that waits for its body
}

// Write is called by one goroutine of the session only.
func (c *frameConn) Write(b []byte) (int, error) {
	const typeData = 0
	if len(c.frame) == 0 && len(b) == yamuxHeader && b[1] == typeData && binary.BigEndian.Uint32(b[8:]) > 0 {
		c.frame = append(c.frame, b...)
		return len(b), nil
	}
	if len(c.frame) == 0 {
		return c.Conn.Write(b)
	}
	c.frame = append(c.frame, b...)
	n, err := c.Conn.Write(c.frame)
	c.frame = c.frame[:0]
	if cap(c.frame) > pooledBuffer {
		c.frame = nil
	}
	return max(0, n-yamuxHeader), err
}
