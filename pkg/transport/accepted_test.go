package transport

import (
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
)

// Guards against an unknown peer that sends without end before its Hello: in one message, and
// on further streams, which nobody reads yet.
func TestEndlessHello(t *testing.T) {
	for name, streams := range map[string]int{"one message": 1, "many streams": 64} {
		t.Run(name, func(t *testing.T) {
			tr := start(t, "a", nil, echo)
			c, err := net.Dial("tcp", tr.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			session, err := yamux.Client(c, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer session.Close()
			sent := 0
			for range streams {
				st, err := session.OpenStream()
				if err != nil {
					break
				}
				_ = st.SetDeadline(time.Now().Add(handshakeTimeout / 2))
				n, err := st.Write(append(binary.AppendUvarint(nil, MaxMessage), make([]byte, 2*maxHello)...))
				sent += n
				if err != nil {
					break
				}
			}
			select {
			case <-session.CloseChan():
			case <-time.After(handshakeTimeout / 2):
				t.Errorf("the connection is open after %d bytes without a Hello", sent)
			}
		})
	}
}

// Guards against idle connections of unknown peers that keep a known one out, or that exceed
// the limit together with known ones.
func TestAcceptedLimit(t *testing.T) {
	conn := func() net.Conn {
		c, other := net.Pipe()
		t.Cleanup(func() { _ = c.Close(); _ = other.Close() })
		return c
	}
	isClosed := func(c net.Conn) bool { return c.SetDeadline(time.Time{}) != nil }
	var a accepted
	const limit = 3
	known, oldest, newer := conn(), conn(), conn()
	for _, c := range []net.Conn{known, oldest, newer} {
		if !a.begin(c, limit) {
			t.Fatal("refused below the limit")
		}
	}
	a.helloReceived(known)
	next := conn()
	if !a.begin(next, limit) || !isClosed(oldest) || isClosed(newer) || isClosed(known) {
		t.Error("the oldest connection without a Hello is not the one that is closed")
	}
	a.end(oldest)
	a.helloReceived(newer)
	a.helloReceived(next)
	if a.begin(conn(), limit) {
		t.Error("accepted above the limit of known peers")
	}
	a.end(known)
	if !a.begin(conn(), limit) || len(a.conns) != limit || a.handshakes.Len() != 1 {
		t.Errorf("%d connections, %d handshakes", len(a.conns), a.handshakes.Len())
	}
}
