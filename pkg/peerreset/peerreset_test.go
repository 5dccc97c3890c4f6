package peerreset

import (
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// connect returns both ends of a TCP connection. The peer reads nothing by itself.
func connect(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, err := Dial((&net.Dialer{}).DialContext).Wrap()(t.Context(), "tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(); _ = peer.Close() })
	return c.(*Conn), peer.(*net.TCPConn)
}

// blockWrite writes until the buffers of the connection are full and beyond. It returns the
// error of the write that was under way when the connection ended.
func blockWrite(c *Conn) <-chan error {
	failed := make(chan error, 1)
	go func() {
		for data := []byte(strings.Repeat("x", 1<<20)); ; {
			if _, err := c.Write(data); err != nil {
				failed <- err
				return
			}
		}
	}()
	return failed
}

// waitBlocked waits until the peer's buffer no longer grows, so that the write waits.
func waitBlocked(t *testing.T, c *Conn) {
	t.Helper()
	for range 1000 {
		if c.mu.TryLock() {
			c.mu.Unlock()
			time.Sleep(time.Millisecond)
			continue
		}
		time.Sleep(20 * time.Millisecond)
		return
	}
	t.Fatal("no write is under way")
}

// TestResetLooksLikeEnd guards against a reset whose error goes to a concurrent write, so that
// the read returns io.EOF.
func TestResetLooksLikeEnd(t *testing.T) {
	for i := range 50 {
		c, peer := connect(t)
		failed := blockWrite(c)
		waitBlocked(t, c)
		_, _ = io.WriteString(peer, "part")
		_ = peer.SetLinger(0)
		_ = peer.Close()
		data, err := io.ReadAll(c)
		if string(data) != "part" || !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("try %d: read %q, %v", i, data, err)
		}
		if err := <-failed; err == nil {
			t.Errorf("try %d: the write did not fail", i)
		}
	}
}

// TestResetAfterFailedWrite guards against a reset whose error went to a write that has
// returned before the read begins.
func TestResetAfterFailedWrite(t *testing.T) {
	c, peer := connect(t)
	failed := blockWrite(c)
	waitBlocked(t, c)
	_ = peer.SetLinger(0)
	_ = peer.Close()
	if err := <-failed; !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("write: %v", err)
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read: %v", err)
	}
}

// TestEndDuringWrite guards against an end in good order that is taken for a reset, or that is
// noticed only when the peer reads on: with a peer that stays connected, and with one that
// resets the connection after its end.
func TestEndDuringWrite(t *testing.T) {
	for _, reset := range []bool{false, true} {
		c, peer := connect(t)
		failed := blockWrite(c)
		waitBlocked(t, c)
		_, _ = io.WriteString(peer, "whole")
		_ = peer.CloseWrite()
		if reset {
			_ = peer.SetLinger(0)
			_ = peer.Close()
		}
		data, err := io.ReadAll(c)
		if string(data) != "whole" || err != nil {
			t.Errorf("reset %v: read %q, %v", reset, data, err)
		}
		err = <-failed
		if !reset && !errors.Is(err, ErrPeerEnded) || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("reset %v: write: %v", reset, err)
		}
	}
}

// TestDeadlineOfWrite guards against a deadline of the caller that is taken for a broken
// connection.
func TestDeadlineOfWrite(t *testing.T) {
	c, peer := connect(t)
	_ = c.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
	if err := <-blockWrite(c); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("write: %v", err)
	}
	_, _ = io.WriteString(peer, "whole")
	_ = peer.CloseWrite()
	if data, err := io.ReadAll(c); string(data) != "whole" || err != nil {
		t.Errorf("read %q, %v", data, err)
	}
}
