package upstream

import (
	"bufio"
	"context"
	"net"
	"testing"

	"github.com/pkg/errors"
)

// Guards against connections to many upstreams that use up the descriptors, and against idle
// ones that keep a request from another upstream.
func TestTotalLimit(t *testing.T) {
	wait := func(_ int32, br *bufio.Reader, _ net.Conn) { _, _ = br.ReadByte() }
	addresses := []string{startServer(t, wait), startServer(t, wait), startServer(t, wait)}
	p := NewPool()
	p.SetLimit(2)
	ctx := context.Background()
	for _, a := range addresses {
		if err := p.Probe(ctx, a, 0, true); err != nil {
			t.Fatal(err)
		}
	}
	if p.total != 2 || len(p.idle[addresses[0]]) != 0 {
		t.Errorf("%d connections, %d idle ones at the address used least recently", p.total, len(p.idle[addresses[0]]))
	}
	var used []*conn
	for _, a := range addresses[1:] {
		c, err := p.get(ctx, a, "a", 0)
		if err != nil {
			t.Fatal(err)
		}
		used = append(used, c)
	}
	if _, err := p.get(ctx, addresses[0], "a", 0); !errors.Is(err, ErrTooManyConnections) {
		t.Errorf("a third connection: %v", err)
	}
	for _, c := range used {
		p.discard(c)
	}
	if p.total != 0 {
		t.Errorf("%d connections after all were closed", p.total)
	}
}
