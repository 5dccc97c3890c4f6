// Package loopback finds ports for processes that tests start on loopback
// addresses of their own.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// Ports are taken from below the range from which systems take those of
	// outgoing connections: one that is free now could be such a port later.
	firstPort = 12000
	lastPort  = 32000
	// tries bounds the ports that are tried.
	tries = 200
)

// next counts up from a place drawn by lot, so that no port is given twice by
// one process: it may be in use only later.
var next atomic.Uint32

func init() { next.Store(rand.Uint32N(lastPort - firstPort)) }

// FreePort returns a port on which nothing listens at any of the addresses.
func FreePort(ips ...string) (int, error) {
	for range tries {
		port := firstPort + int(next.Add(1))%(lastPort-firstPort)
		if free(port, ips) {
			return port, nil
		}
	}
	return 0, errors.Errorf("no free port at %v in %d tries", ips, tries)
}

func free(port int, ips []string) bool {
	for _, ip := range ips {
		ln, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

// Addresses returns n addresses from the first one on.
func Addresses(prefix string, first, n int) []string {
	list := make([]string, 0, n)
	for i := range n {
		list = append(list, fmt.Sprintf("%s%d", prefix, first+i))
	}
	return list
}
