package transport

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"log"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

// Identity is what a process tells about itself in its Hello.
type Identity struct {
	Instance, Incarnation, Role, Region, FailureDomain, Address string
}

// Session is a connection to one peer process. Both sides open streams on it.
type Session struct {
	t        *Transport
	ys       *yamux.Session
	conn     net.Conn
	addr     string // address of the peer's socket
	dialed   bool
	peer     *peerv1.Hello
	peerName string
	remote   bool // the peer is in another region
}

// newSession runs TLS and the exchange of Hello on a fresh connection.
func (t *Transport) newSession(ctx context.Context, conn net.Conn, dialAddr string) (*Session, error) {
	s := &Session{t: t, conn: conn, addr: conn.RemoteAddr().String(), dialed: dialAddr != ""}
	if s.dialed {
		s.addr = dialAddr
	}
	fail := func(err error) (*Session, error) {
		if s.ys != nil {
			_ = s.ys.Close()
		}
		_ = conn.Close()
		return nil, &Error{Step: "hello", Peer: s.addr, Err: err}
	}
	var c net.Conn = &deadlineConn{Conn: conn, timeout: SilenceTimeout}
	if t.cfg.TLS != nil {
		tc, err := t.handshake(ctx, c, s)
		if err != nil {
			return fail(err)
		}
		c = tc
	} else if !t.cfg.plainAllowed(conn.RemoteAddr().String()) || !t.cfg.plainAllowed(conn.LocalAddr().String()) {
		return fail(ErrPlainText)
	}
	mux := yamux.Client
	if !s.dialed {
		mux = yamux.Server
	}
	hello := &helloConn{Conn: c, left: maxHello}
	if s.dialed { // the address is known, and streams may follow its Hello at once
		hello.arrived.Store(true)
	}
	ys, err := mux(&frameConn{Conn: hello}, t.muxConfig())
	if err != nil {
		return fail(err)
	}
	s.ys = ys
	// A hello exchange outside its deadline ends with the session.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := s.exchangeHello(&hello.arrived); err != nil {
		return fail(err)
	}
	s.remote = s.crosses()
	return s, nil
}

func (t *Transport) handshake(ctx context.Context, c net.Conn, s *Session) (net.Conn, error) {
	var tc *tls.Conn
	if s.dialed {
		cfg := t.cfg.TLS.Clone()
		if cfg.ServerName == "" {
			host, _, err := net.SplitHostPort(s.addr)
			if err != nil {
				return nil, err
			}
			cfg.ServerName = host
		}
		tc = tls.Client(c, cfg)
	} else {
		tc = tls.Server(c, t.cfg.TLS)
	}
	if err := tc.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	if certs := tc.ConnectionState().PeerCertificates; len(certs) > 0 {
		s.peerName = certs[0].Subject.CommonName
	}
	return tc, nil
}

// exchangeHello sends the Hello of the dialing side on the first stream and
// the Hello of the accepting side back. It sets arrived before the peer may send anything else.
func (s *Session) exchangeHello(arrived *atomic.Bool) error {
	var (
		ys  *yamux.Stream
		err error
	)
	if s.dialed {
		ys, err = s.ys.OpenStream()
	} else {
		ys, err = s.ys.AcceptStream()
	}
	if err != nil {
		return err
	}
	defer ys.Close()
	if err := ys.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	send := func() error {
		_, err := WriteEnvelope(ys, &peerv1.Envelope{Body: &peerv1.Envelope_Hello{Hello: s.t.cfg.Hello()}})
		return err
	}
	recv := func() error {
		m, err := ReadEnvelope(bufio.NewReaderSize(ys, readBuffer))
		if err != nil {
			return err
		}
		if s.peer = m.GetHello(); s.peer == nil {
			return ErrNoHello
		}
		arrived.Store(true)
		return nil
	}
	first, second := send, recv
	if !s.dialed {
		first, second = recv, send
	}
	if err := first(); err != nil {
		return err
	}
	return second()
}

func (t *Transport) muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	c.KeepAliveInterval = t.cfg.KeepAlive
	// deadlineConn closes a silent connection; the limit of yamux only has to
	// be no shorter, since its ping shares the queue with bulk data.
	c.ConnectionWriteTimeout = 2 * SilenceTimeout
	c.StreamOpenTimeout = 2 * SilenceTimeout
	c.StreamCloseTimeout = streamCloseTimeout
	c.LogOutput = nil
	c.Logger = log.New(io.Discard, "", 0) // failures are reported as Error
	return c
}

// serve accepts the peer's streams until the session ends.
func (s *Session) serve() {
	ctx, cancel := context.WithCancel(s.t.ctx)
	defer cancel()
	for {
		ys, err := s.ys.AcceptStream()
		if err != nil {
			break
		}
		s.t.streamStarted()
		go func() {
			st := newStream(s, ys)
			defer st.Close()
			first, err := st.Recv()
			if err != nil {
				return
			}
			st.class = classOf(first)
			s.t.handler(ctx, s, st, first)
		}()
	}
	s.t.sessionEnded(s)
}

// Open starts a stream with its first envelope. The context covers the opening
// only.
func (s *Session) Open(ctx context.Context, first *peerv1.Envelope) (*Stream, error) {
	fail := func(sent bool, err error) (*Stream, error) {
		return nil, &Error{Step: "open", Peer: s.addr, Sent: sent, Err: err}
	}
	if err := ctx.Err(); err != nil {
		return fail(false, err)
	}
	if s.ys.IsClosed() {
		return fail(false, ErrSessionClosed)
	}
	if !s.t.tryStartStream() {
		return fail(false, ErrClosed)
	}
	ys, err := s.ys.OpenStream()
	if err != nil {
		s.t.streamEnded()
		return fail(false, err)
	}
	st := newStream(s, ys)
	st.class = classOf(first)
	if err := st.pace(first); err != nil {
		_ = st.Close()
		return fail(false, err)
	}
	if d, ok := ctx.Deadline(); ok {
		_ = ys.SetWriteDeadline(d)
	}
	stop := context.AfterFunc(ctx, func() { _ = ys.SetWriteDeadline(time.Unix(1, 0)) })
	sent, err := WriteEnvelope(ys, first)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = st.Close()
		return fail(sent, err)
	}
	_ = ys.SetWriteDeadline(time.Time{})
	return st, nil
}

// Peer returns the peer's Hello.
func (s *Session) Peer() *peerv1.Hello { return s.peer }

// Identity returns what the peer told about itself.
func (s *Session) Identity() Identity {
	h := s.peer
	return Identity{
		Instance: h.GetInstance(), Incarnation: h.GetIncarnation(), Role: h.GetRole(),
		Region: h.GetRegion(), FailureDomain: h.GetFailureDomain(), Address: h.GetAddress(),
	}
}

// PeerName returns the common name of the peer's verified certificate. It is
// empty on a session without TLS.
func (s *Session) PeerName() string { return s.peerName }

// Addr returns the address of the peer's socket.
func (s *Session) Addr() string { return s.addr }

// Dialed reports whether this process opened the session.
func (s *Session) Dialed() bool { return s.dialed }

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.ys.CloseChan() }

// Close ends the session and all its streams.
func (s *Session) Close() error { return errors.WithStack(s.ys.Close()) }

// flush returns after the peer has read everything sent before, or after
// flushTimeout. Closing a socket with unread input resets the connection,
// which can discard data that the peer has not read yet.
func (s *Session) flush() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = s.ys.Ping()
	}()
	timer := time.NewTimer(flushTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}
