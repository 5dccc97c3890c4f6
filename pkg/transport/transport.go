package transport

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

// Config configures a Transport.
type Config struct {
	Listen    string               // host:port; port 0 lets the kernel choose; empty: does not listen
	TLS       *tls.Config          // mutual TLS, see LoadTLS; nil: loopback only, unless Isolated
	Isolated  bool                 // the network carries only this system's traffic, so plain TCP is allowed
	Hello     func() *peerv1.Hello // called for each new session
	KeepAlive time.Duration        // default DefaultKeepAlive
	Logger    *slog.Logger         // default slog.Default
	Link      *Link                // share of the link to other regions; nil: not limited
	// MaxAccepted limits the connections that peers have made; 0: not limited.
	MaxAccepted int
	// Dialer makes the connections; nil: net.Dialer. Tests use it to separate
	// processes.
	Dialer func(ctx context.Context, address string) (net.Conn, error)
}

// Handler serves one stream opened by a peer. The stream is closed when it
// returns; the context ends with the session.
type Handler func(ctx context.Context, s *Session, st *Stream, first *peerv1.Envelope)

// Transport holds the sessions of one process.
type Transport struct {
	cfg     Config
	handler Handler
	log     *slog.Logger
	ctx     context.Context
	cancel  context.CancelFunc

	accepted   accepted
	refused    atomic.Uint64 // accepted connections that became no session
	refusedLog rate.Sometimes

	mu       sync.Mutex
	listener net.Listener
	sessions map[*Session]struct{}
	byAddr   map[string]*dialing
	streams  int
	closing  bool
	isIdle   bool
	idle     chan struct{} // closed when closing and no stream is open
}

// dialing is a session to an address, or an attempt to make one.
type dialing struct {
	done    chan struct{}
	session *Session
	err     error
}

// New checks the configuration. Start begins to listen; Dial works without it.
func New(cfg Config, h Handler) (*Transport, error) {
	if cfg.Hello == nil {
		return nil, errors.New("transport: Config.Hello is required")
	}
	if h == nil {
		return nil, errors.New("transport: handler is required")
	}
	if cfg.TLS != nil {
		if err := checkTLS(cfg.TLS); err != nil {
			return nil, &Error{Step: "configure", Peer: cfg.Listen, Err: err}
		}
	} else if cfg.Listen != "" && !cfg.plainAllowed(cfg.Listen) {
		return nil, &Error{Step: "listen", Peer: cfg.Listen, Err: ErrPlainText}
	}
	if cfg.KeepAlive <= 0 {
		cfg.KeepAlive = DefaultKeepAlive
	}
	if cfg.KeepAlive > SilenceTimeout/2 {
		return nil, errors.Errorf("transport: keep-alive of %v exceeds %v", cfg.KeepAlive, SilenceTimeout/2)
	}
	if cfg.Logger == nil {
		cfg.Logger = slog.Default()
	}
	if cfg.Dialer == nil {
		cfg.Dialer = func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address)
		}
	}
	t := &Transport{
		cfg: cfg, handler: h, log: cfg.Logger,
		sessions: make(map[*Session]struct{}),
		byAddr:   make(map[string]*dialing),
		idle:     make(chan struct{}),

		refusedLog: rate.Sometimes{Interval: refusedLogInterval},
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	if cfg.TLS == nil {
		t.log.Warn("peer connections are not encrypted", "step", "configure", "listen", cfg.Listen)
	}
	return t, nil
}

// plainAllowed reports whether a connection at the address needs no TLS.
func (c *Config) plainAllowed(addr string) bool { return c.Isolated || isLoopback(addr) }

// Start listens and serves the sessions of peers.
func (t *Transport) Start() error {
	if t.cfg.Listen == "" {
		return nil
	}
	ln, err := net.Listen("tcp", t.cfg.Listen)
	if err != nil {
		return &Error{Step: "listen", Peer: t.cfg.Listen, Err: err}
	}
	t.mu.Lock()
	if t.closing {
		t.mu.Unlock()
		_ = ln.Close()
		return &Error{Step: "listen", Peer: t.cfg.Listen, Err: ErrClosed}
	}
	t.listener = ln
	t.mu.Unlock()
	go t.accept(ln)
	return nil
}

func (t *Transport) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			t.log.Warn("accept failed", "step", "accept", "err", err)
			select {
			case <-t.ctx.Done():
				return
			case <-time.After(50 * time.Millisecond): // out of file descriptors
			}
			continue
		}
		if !t.accepted.begin(conn, t.cfg.MaxAccepted) {
			_ = conn.Close()
			t.logRefused(conn, ErrTooManySessions)
			continue
		}
		go t.serveAccepted(conn)
	}
}

// serveAccepted serves a connection that a peer has made, until it ends.
func (t *Transport) serveAccepted(conn net.Conn) {
	defer t.accepted.end(conn)
	ctx, cancel := context.WithTimeout(t.ctx, handshakeTimeout)
	s, err := t.newSession(ctx, conn, "")
	cancel()
	if err != nil {
		t.logRefused(conn, err)
		return
	}
	t.accepted.helloReceived(conn)
	if t.add(s) {
		s.serve()
	}
}

// logRefused logs some of the connections that became no session.
func (t *Transport) logRefused(conn net.Conn, err error) {
	t.refused.Add(1)
	t.refusedLog.Do(func() {
		t.log.Warn("session refused", "step", "hello", "peer", conn.RemoteAddr().String(), "err", err, "refused", t.refused.Load())
	})
}

// Refused returns the number of accepted connections that became no session.
func (t *Transport) Refused() uint64 { return t.refused.Load() }

// add registers a session; it closes the session and returns false when the
// transport is closing.
func (t *Transport) add(s *Session) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closing {
		go s.ys.Close()
		return false
	}
	t.sessions[s] = struct{}{}
	return true
}

func (t *Transport) sessionEnded(s *Session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.sessions, s)
	if d := t.byAddr[s.addr]; d != nil && d.session == s {
		delete(t.byAddr, s.addr)
	}
}

// Addr returns the listening address, or an empty string before Start.
func (t *Transport) Addr() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listener == nil {
		return ""
	}
	return t.listener.Addr().String()
}

// Sessions returns the sessions that are up, in both directions.
func (t *Transport) Sessions() []*Session {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*Session, 0, len(t.sessions))
	for s := range t.sessions {
		list = append(list, s)
	}
	return list
}

// Dial returns the session to the address and makes one if there is none.
// Concurrent calls share one attempt.
func (t *Transport) Dial(ctx context.Context, addr string) (*Session, error) {
	if t.cfg.TLS == nil && !t.cfg.plainAllowed(addr) {
		return nil, &Error{Step: "dial", Peer: addr, Err: ErrPlainText}
	}
	t.mu.Lock()
	d := t.byAddr[addr]
	if d == nil && t.closing {
		t.mu.Unlock()
		return nil, &Error{Step: "dial", Peer: addr, Err: ErrClosed}
	}
	if d == nil || d.session != nil && d.session.ys.IsClosed() {
		d = &dialing{done: make(chan struct{})}
		t.byAddr[addr] = d
		go t.dial(addr, d)
	}
	t.mu.Unlock()
	select {
	case <-d.done:
		return d.session, d.err
	case <-ctx.Done():
		return nil, &Error{Step: "dial", Peer: addr, Err: ctx.Err()}
	}
}

// dial makes the session on behalf of every waiting caller, so it does not
// end with the context of one of them.
func (t *Transport) dial(addr string, d *dialing) {
	s, err := t.connect(addr)
	if err == nil && !t.add(s) {
		s, err = nil, &Error{Step: "dial", Peer: addr, Err: ErrClosed}
	}
	t.mu.Lock()
	d.session, d.err = s, err
	if err != nil && t.byAddr[addr] == d {
		delete(t.byAddr, addr)
	}
	t.mu.Unlock()
	close(d.done)
	if err == nil {
		s.serve()
	}
}

func (t *Transport) connect(addr string) (*Session, error) {
	ctx, cancel := context.WithTimeout(t.ctx, dialTimeout)
	defer cancel()
	conn, err := t.cfg.Dialer(ctx, addr)
	if err != nil {
		return nil, &Error{Step: "dial", Peer: addr, Err: err}
	}
	hctx, hcancel := context.WithTimeout(t.ctx, handshakeTimeout)
	defer hcancel()
	return t.newSession(hctx, conn, addr)
}

func (t *Transport) streamStarted() {
	t.mu.Lock()
	t.streams++
	t.mu.Unlock()
}

// tryStartStream counts a stream that this side opens. While the transport is
// closing, only work under way may open one.
func (t *Transport) tryStartStream() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isIdle {
		return false
	}
	t.streams++
	return true
}

func (t *Transport) streamEnded() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.streams--
	t.checkIdle()
}

func (t *Transport) checkIdle() {
	if t.closing && t.streams == 0 && !t.isIdle {
		t.isIdle = true
		close(t.idle)
	}
}

// Close refuses new sessions and new streams of peers, waits until every open stream has
// ended or the context is done, and then closes the sessions. It returns the
// context's error when streams were cut.
func (t *Transport) Close(ctx context.Context) error {
	t.mu.Lock()
	if t.closing {
		t.mu.Unlock()
		return nil
	}
	t.closing = true
	if t.listener != nil {
		_ = t.listener.Close()
	}
	t.checkIdle()
	list := make([]*Session, 0, len(t.sessions))
	for s := range t.sessions {
		list = append(list, s)
	}
	t.mu.Unlock()
	for _, s := range list {
		_ = s.ys.GoAway()
	}
	var err error
	select {
	case <-t.idle:
	case <-ctx.Done():
		err = ctx.Err()
	}
	var wg sync.WaitGroup
	for _, s := range list {
		wg.Go(func() {
			if err == nil {
				s.flush()
			}
			_ = s.ys.Close()
		})
	}
	wg.Wait()
	t.cancel()
	return errors.WithStack(err)
}
