// Package httpserver starts and stops the HTTP server of a stand-in.
package httpserver

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const readHeaderTimeout = 5 * time.Second

// Server serves a handler on one address.
type Server struct {
	name   string
	listen string
	log    *slog.Logger
	http   *http.Server
	ln     net.Listener
	done   chan struct{}
}

// New returns a server that is not started yet. Name stands in logs and errors;
// listen is host:port, and port 0 lets the kernel choose.
func New(name, listen string, handler http.Handler, log *slog.Logger) *Server {
	return &Server{
		name: name, listen: listen, log: log, done: make(chan struct{}),
		http: &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout},
	}
}

// Start listens and serves until Close or until ctx is done.
func (s *Server) Start(ctx context.Context) error {
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.listen)
	if err != nil {
		return errors.Wrapf(err, "%s: listen on %s", s.name, s.listen)
	}
	s.ln = ln
	s.log.Info(s.name+" listens", "addr", s.Addr())
	context.AfterFunc(ctx, func() { _ = s.Close() })
	go func() {
		defer close(s.done)
		if err := s.http.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error(s.name+" stopped", "error", err)
		}
	}()
	return nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Close stops the server and drops its connections.
func (s *Server) Close() error {
	if s.ln == nil {
		return nil
	}
	err := s.http.Close()
	<-s.done
	return err
}
