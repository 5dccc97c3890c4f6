package transport

import (
	"bufio"
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/big"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

func data(b []byte) *peerv1.Envelope {
	return &peerv1.Envelope{Body: &peerv1.Envelope_Data{Data: &peerv1.Data{Chunk: b}}}
}

func start(t testing.TB, name string, tc *tls.Config, h Handler) *Transport {
	t.Helper()
	tr, err := New(Config{
		Listen: "127.0.0.1:0", TLS: tc, Logger: slog.New(slog.DiscardHandler),
		Hello: func() *peerv1.Hello { return &peerv1.Hello{Instance: name, Role: "entry"} },
	}, h)
	if err != nil {
		t.Fatal(err)
	}
	if err := tr.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = tr.Close(ctx)
	})
	return tr
}

func echo(_ context.Context, _ *Session, st *Stream, m *peerv1.Envelope) {
	for {
		if st.Send(m) != nil {
			return
		}
		var err error
		if m, err = st.Recv(); err != nil {
			return
		}
	}
}

func open(t testing.TB, from *Transport, addr string, m *peerv1.Envelope) *Stream {
	t.Helper()
	s, err := from.Dial(t.Context(), addr)
	if err != nil {
		t.Fatal(err)
	}
	st, err := s.Open(t.Context(), m)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = st.Close() })
	return st
}

// valve forwards TCP to addr until it is shut; then it forwards nothing and
// keeps the connections open.
func valve(t testing.TB, addr string) (listen string, shut func()) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	var closed atomic.Bool
	pump := func(dst, src net.Conn) {
		b := make([]byte, 32<<10)
		for {
			n, err := src.Read(b)
			if closed.Load() {
				<-t.Context().Done()
			}
			if err != nil {
				dst.Close()
				return
			}
			if _, err := dst.Write(b[:n]); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			u, err := net.Dial("tcp", addr)
			if err != nil {
				c.Close()
				continue
			}
			t.Cleanup(func() { c.Close(); u.Close() })
			go pump(u, c)
			go pump(c, u)
		}
	}()
	return ln.Addr().String(), func() { closed.Store(true) }
}

// Guards against messages damaged by framing, at the sizes where the reader
// changes its path.
func TestRoundTripAndReuse(t *testing.T) {
	srv, cli := start(t, "b", nil, echo), start(t, "a", nil, echo)
	for _, size := range []int{0, 200, 300, pooledBuffer, 3 << 20} {
		st := open(t, cli, srv.Addr(), data(bytes.Repeat([]byte{7}, size)))
		m, err := st.Recv()
		if err != nil || len(m.GetData().GetChunk()) != size {
			t.Fatalf("size %d: got %d bytes, %v", size, len(m.GetData().GetChunk()), err)
		}
	}
	if n := len(cli.Sessions()); n != 1 {
		t.Errorf("%d sessions to one address, want 1", n)
	}
	if got := cli.Sessions()[0].Identity().Instance; got != "b" {
		t.Errorf("peer instance %q, want b", got)
	}
}

// Guards against a connection that stays open although its peer is gone
// without a reset; the design allows 3 s on either side.
func TestSilentConnectionClosesWithin3s(t *testing.T) {
	inbound := make(chan *Session, 1)
	srv := start(t, "b", nil, func(ctx context.Context, s *Session, st *Stream, m *peerv1.Envelope) {
		inbound <- s
		echo(ctx, s, st, m)
	})
	cli := start(t, "a", nil, echo)
	addr, shut := valve(t, srv.Addr())
	st := open(t, cli, addr, data(nil))
	if _, err := st.Recv(); err != nil {
		t.Fatal(err)
	}
	peer := <-inbound
	shut()
	began := time.Now()
	_, err := st.Recv()
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("Recv failed after %v, want at most 3 s", took)
	}
	var te *Error
	if !errors.As(err, &te) || !te.Sent {
		t.Errorf("Recv on a silent session: %v, want an Error with Sent", err)
	}
	select {
	case <-peer.Done():
	case <-time.After(time.Until(began.Add(3 * time.Second))):
		t.Error("accepting side still open after 3 s")
	}
	if _, err := st.Session().Open(t.Context(), data(nil)); !errors.As(err, &te) || te.Sent {
		t.Errorf("Open on a closed session: %v, want an Error without Sent", err)
	}
}

// Guards against an idle but healthy session being taken for a silent one.
func TestIdleSessionStaysOpen(t *testing.T) {
	srv, cli := start(t, "b", nil, echo), start(t, "a", nil, echo)
	st := open(t, cli, srv.Addr(), data(nil))
	select {
	case <-st.Session().Done():
		t.Error("idle session closed")
	case <-time.After(SilenceTimeout + time.Second):
	}
}

// Guards against an answer cut by the loss of the session being read as whole.
func TestSessionLossIsNotEOF(t *testing.T) {
	srv := start(t, "b", nil, func(_ context.Context, s *Session, st *Stream, m *peerv1.Envelope) {
		_ = st.Send(m)
		_, _ = st.Recv() // the client has opened the stream
		_ = s.Close()
	})
	cli := start(t, "a", nil, echo)
	st := open(t, cli, srv.Addr(), data(nil))
	_ = st.Send(data(nil)) // fails only if the session ends, which is what follows
	var err error
	for err == nil {
		_, err = st.Recv()
	}
	if err == io.EOF {
		t.Error("Recv returned io.EOF for a lost session")
	}
}

// Guards against a planned stop that cuts answers under way.
func TestCloseWaitsForStreams(t *testing.T) {
	release := make(chan struct{})
	big := bytes.Repeat([]byte{1}, 1<<20)
	srv := start(t, "b", nil, func(_ context.Context, _ *Session, st *Stream, _ *peerv1.Envelope) {
		<-release
		_ = st.Send(data(big))
	})
	cli := start(t, "a", nil, echo)
	st := open(t, cli, srv.Addr(), data(nil))
	if err := st.Send(data(nil)); err != nil { // the handler has started or will
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	closed := make(chan error, 1)
	go func() { closed <- srv.Close(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	if s, err := st.Session().Open(t.Context(), data(nil)); err == nil {
		if _, err = s.Recv(); err == nil {
			t.Error("a closing transport served a new stream")
		}
	}
	select {
	case err := <-closed:
		t.Fatalf("Close returned with a stream under way: %v", err)
	default:
	}
	close(release)
	m, err := st.Recv()
	if err != nil || len(m.GetData().GetChunk()) != len(big) {
		t.Fatalf("answer during Close: %d bytes, %v", len(m.GetData().GetChunk()), err)
	}
	if m, err := st.Recv(); err == nil {
		t.Errorf("after the answer: %v, want an error", m)
	}
	if err := <-closed; err != nil {
		t.Error(err)
	}
}

// Guards against unencrypted traffic that leaves the host.
func TestPlainTCPOnlyOnLoopback(t *testing.T) {
	hello := func() *peerv1.Hello { return &peerv1.Hello{} }
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	if _, err := New(Config{Listen: "0.0.0.0:0", Hello: hello}, echo); !errors.Is(err, ErrPlainText) {
		t.Errorf("listen on all addresses without TLS: %v", err)
	}
	tr, err := New(Config{Listen: "127.0.0.1:0", Hello: hello, Logger: log}, echo)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := tr.Dial(t.Context(), "192.0.2.1:1"); !errors.Is(err, ErrPlainText) {
		t.Errorf("dial beyond loopback without TLS: %v", err)
	}
	if n := strings.Count(out.String(), "not encrypted"); n != 1 {
		t.Errorf("%d warnings, want 1", n)
	}
}

func issue(t *testing.T, name string, ca *x509.Certificate, caKey *ecdsa.PrivateKey) (tls.Certificate, *x509.Certificate, *ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP("127.0.0.1")}, IsCA: ca == nil, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	if ca == nil {
		ca, caKey = tmpl, key
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, ca, &key.PublicKey, caKey)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, cert, key
}

// Guards against peers without a certificate of our authority, and against a
// peer's name taken from anywhere but its certificate.
func TestMutualTLS(t *testing.T) {
	_, ca, key := issue(t, "authority", nil, nil)
	_, otherCA, otherKey := issue(t, "other authority", nil, nil)
	pool := x509.NewCertPool()
	pool.AddCert(ca)
	config := func(name string, ca *x509.Certificate, key *ecdsa.PrivateKey) *tls.Config {
		cert, _, _ := issue(t, name, ca, key)
		return MutualTLS(cert, pool)
	}
	names := make(chan string, 1)
	srv := start(t, "b", config("sidecar-1", ca, key), func(ctx context.Context, s *Session, st *Stream, m *peerv1.Envelope) {
		names <- s.PeerName()
		echo(ctx, s, st, m)
	})
	cli := start(t, "a", config("entry-1", ca, key), echo)
	st := open(t, cli, srv.Addr(), data(nil))
	if _, err := st.Recv(); err != nil {
		t.Fatal(err)
	}
	if got := <-names; got != "entry-1" {
		t.Errorf("client name %q", got)
	}
	if got := st.Session().PeerName(); got != "sidecar-1" {
		t.Errorf("server name %q", got)
	}
	stranger := start(t, "x", config("entry-1", otherCA, otherKey), echo)
	if _, err := stranger.Dial(t.Context(), srv.Addr()); err == nil {
		t.Error("a certificate of another authority was accepted")
	}
	plain := start(t, "y", nil, echo)
	if _, err := plain.Dial(t.Context(), srv.Addr()); err == nil {
		t.Error("a session without TLS was accepted")
	}
}

// Guards against a message above the cap: the sender must know that the peer
// never saw it, and a false length must not allocate it.
func TestMessageCap(t *testing.T) {
	srv, cli := start(t, "b", nil, echo), start(t, "a", nil, echo)
	s, err := cli.Dial(t.Context(), srv.Addr())
	if err != nil {
		t.Fatal(err)
	}
	var te *Error
	if _, err := s.Open(t.Context(), data(make([]byte, MaxMessage))); !errors.As(err, &te) || te.Sent || !errors.Is(err, ErrTooLarge) {
		t.Errorf("oversized Open: %v", err)
	}
	if _, err := ReadEnvelope(bufio.NewReader(strings.NewReader("\x81\x80\x80\x04"))); err != ErrTooLarge {
		t.Errorf("length above the cap: %v", err)
	}
	if _, err := ReadEnvelope(bufio.NewReader(strings.NewReader("\x80\x80\x80\x04ab"))); err != io.ErrUnexpectedEOF {
		t.Errorf("message cut short: %v", err)
	}
}

// Guards against a decoder that panics or passes off a partial message.
func FuzzReadEnvelope(f *testing.F) {
	var b bytes.Buffer
	_, _ = WriteEnvelope(&b, data([]byte("abc")))
	f.Add(b.Bytes())
	f.Add([]byte{0x80, 0x80, 0x80, 0x04})
	f.Fuzz(func(t *testing.T, in []byte) {
		r := bufio.NewReader(bytes.NewReader(in))
		for {
			m, err := ReadEnvelope(r)
			if err != nil {
				return
			}
			var out bytes.Buffer
			if _, err := WriteEnvelope(&out, m); err != nil {
				t.Fatalf("decoded envelope does not encode: %v", err)
			}
		}
	})
}

type writes struct {
	net.Conn
	sizes []int
}

func (w *writes) Write(b []byte) (int, error) {
	w.sizes = append(w.sizes, len(b))
	return len(b), nil
}

// Guards against frames that are held back without end, or a body that is
// taken for a header.
func TestFrameConnJoinsFrames(t *testing.T) {
	frame := func(kind, flags, length byte) []byte {
		return []byte{0, kind, 0, flags, 0, 0, 0, 1, 0, 0, 0, length}
	}
	w := &writes{}
	c := &frameConn{Conn: w}
	for _, b := range [][]byte{
		frame(1, 1, 0), frame(0, 0, 12), frame(1, 1, 0), // opening, header, a body like an opening
		frame(2, 1, 0),                 // ping
		frame(1, 2, 0), frame(1, 4, 0), // acceptance, close
		frame(1, 0, 9), []byte("anything"), // window update
	} {
		if n, err := c.Write(b); n != len(b) || err != nil {
			t.Fatalf("Write: %d, %v", n, err)
		}
	}
	if got, want := fmt.Sprint(w.sizes), "[36 12 24 12 8]"; got != want {
		t.Errorf("writes of %s bytes, want %s", got, want)
	}
	for range 2 * heldFrames / yamuxHeader {
		_, _ = c.Write(frame(1, 2, 0))
	}
	if len(w.sizes) == 5 || len(c.held) > heldFrames+yamuxHeader {
		t.Errorf("%d bytes held", len(c.held))
	}
}

// BenchmarkCall measures one request and answer on an open session.
func BenchmarkCall(b *testing.B) {
	srv, cli := start(b, "b", nil, echo), start(b, "a", nil, echo)
	s, err := cli.Dial(b.Context(), srv.Addr())
	if err != nil {
		b.Fatal(err)
	}
	m := data(make([]byte, 1024))
	b.ReportAllocs()
	for b.Loop() {
		st, err := s.Open(b.Context(), m)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := st.Recv(); err != nil {
			b.Fatal(err)
		}
		_ = st.Close()
	}
}

// Guards against a session that stays in use after its connection became
// silent: new connections work, but none is made while the old one counts.
func TestProbeClosesSilentSession(t *testing.T) {
	a, b := net.Pipe()
	defer b.Close()
	tr, err := New(Config{Hello: func() *peerv1.Hello { return &peerv1.Hello{} }}, func(context.Context, *Session, *Stream, *peerv1.Envelope) {})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = io.Copy(io.Discard, b) }() // takes everything, answers nothing
	ys, err := yamux.Client(a, tr.muxConfig())
	if err != nil {
		t.Fatal(err)
	}
	s := &Session{t: tr, ys: ys, addr: "peer"}
	s.Probe(50 * time.Millisecond)
	select {
	case <-s.Done():
	case <-time.After(5 * time.Second):
		t.Error("the session is still open")
	}
}
