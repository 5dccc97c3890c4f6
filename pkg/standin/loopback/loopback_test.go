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
