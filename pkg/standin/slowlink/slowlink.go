// Package slowlink provides the listener of a server on a slow link.
package slowlink

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// receiveBuffer is the size in bytes of the buffer of what the server has not read. Writing a
// longer request blocks until it is read.
const receiveBuffer = 4096

// Listen returns a listener on a loopback address. Each connection has a small buffer.
func Listen() (net.Listener, error) {
	limit := func(_, _ string, c syscall.RawConn) (err error) {
		cerr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		if cerr != nil {
			return cerr
		}
		return err
	}
	ln, err := (&net.ListenConfig{Control: limit}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	return ln, errors.Wrap(err, "listen")
}
