// Package faultnet serves HTTP for the stand-ins over connections that can
// become silent, and on a listener that can go away and come back at the same
// address.
package faultnet

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Server is an HTTP server with injectable network faults.
type Server struct {
	handler http.Handler

	mu     sync.Mutex
	addr   string
	srv    *http.Server
	conns  map[*conn]struct{}
	closed bool
	// suspended is set while new connections are silent from the start.
	suspended bool
}

// New returns a server that is not listening yet.
func New(h http.Handler) *Server {
	return &Server{handler: h, conns: make(map[*conn]struct{})}
}

// Listen starts to serve. Port 0 lets the kernel choose at the first call;
// later calls without an address use the same port again.
func (s *Server) Listen(addr string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return net.ErrClosed
	}
	if addr == "" {
		addr = s.addr
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", addr)
	}
	s.addr = ln.Addr().String()
	s.srv = &http.Server{Handler: s.handler, ReadHeaderTimeout: 10 * time.Second}
	srv := s.srv
	go func() { _ = srv.Serve(&listener{Listener: ln, s: s}) }()
	return nil
}

// Addr returns the address of the last Listen.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Drop closes the listener and cuts every connection, as the death of the
// process does.
func (s *Server) Drop() {
	s.mu.Lock()
	srv := s.srv
	s.srv = nil
	s.mu.Unlock()
	if srv != nil {
		_ = srv.Close()
	}
}

// Silence makes every open connection silent for good: nothing arrives and
// nothing is sent, and it is not closed. New connections work.
func (s *Server) Silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silence()
	}
}

// Suspend makes every open connection silent, as Silence does, and every new one until
// Resume is called: they are accepted, but nothing is read.
func (s *Server) Suspend() {
	s.mu.Lock()
	s.suspended = true
	s.mu.Unlock()
	s.Silence()
}

// Resume ends Suspend for new connections.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspended = false
}

// Close stops serving for good.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.Drop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.cut()
	}
	return nil
}

// CloseOnDone closes the server when the context ends.
func (s *Server) CloseOnDone(ctx context.Context) {
	context.AfterFunc(ctx, func() { _ = s.Close() })
}

type listener struct {
	net.Listener
	s *Server
}

func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, s: l.s, silent: make(chan struct{}), gone: make(chan struct{})}
	l.s.mu.Lock()
	l.s.conns[c] = struct{}{}
	if l.s.suspended {
		c.silence()
	}
	l.s.mu.Unlock()
	return c, nil
}

type conn struct {
	net.Conn
	s        *Server
	once     sync.Once
	goneOnce sync.Once
	silent   chan struct{}
	gone     chan struct{}
}

func (c *conn) silence() { c.once.Do(func() { close(c.silent) }) }

func (c *conn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.isSilent() {
		<-c.gone
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close leaves the socket of a silent connection open until the server ends,
// since closing it would tell the peer.
func (c *conn) Close() error {
	if c.isSilent() {
		return nil
	}
	c.s.mu.Lock()
	delete(c.s.conns, c)
	c.s.mu.Unlock()
	return c.Conn.Close()
}

func (c *conn) cut() {
	c.goneOnce.Do(func() { close(c.gone) })
	_ = c.Conn.Close()
}
