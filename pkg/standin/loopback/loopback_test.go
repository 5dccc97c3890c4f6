package loopback

import (
	"net"
	"strconv"
	"testing"
)

// Guards against a port that is taken at one of the addresses.
func TestFreePort(t *testing.T) {
	ips := Addresses("127.0.0.", 1, 3)
	port, err := FreePort(ips...)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", net.JoinHostPort(ips[2], strconv.Itoa(port)))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if free(port, ips) {
		t.Error("a port that is taken at the last address is taken for free")
	}
}

// Guards against two ports of one process that are the same, of which the
// second is not in use yet when the first is looked for.
func TestPortsDiffer(t *testing.T) {
	seen := make(map[int]bool)
	for range 1000 {
		port, err := FreePort("127.0.0.1")
		if err != nil {
			t.Fatal(err)
		}
		if seen[port] {
			t.Fatalf("port %d is given twice", port)
		}
		seen[port] = true
	}
}
