package sidecar

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"testing"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxtest"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

// authority issues certificates for 127.0.0.1.
func authority(t *testing.T) func(name string) *tls.Config {
	t.Helper()
	pool := x509.NewCertPool()
	var ca *x509.Certificate
	var caKey *ecdsa.PrivateKey
	issue := func(name string) tls.Certificate {
		key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			t.Fatal(err)
		}
		tmpl := &x509.Certificate{
			SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour),
			IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: ca == nil, BasicConstraintsValid: true,
		}
		if ca == nil {
			ca, caKey = tmpl, key
		}
		der, err := x509.CreateCertificate(rand.Reader, tmpl, ca, &key.PublicKey, caKey)
		if err != nil {
			t.Fatal(err)
		}
		return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
	}
	root, err := x509.ParseCertificate(issue("authority").Certificate[0])
	if err != nil {
		t.Fatal(err)
	}
	ca = root
	pool.AddCert(root)
	return func(name string) *tls.Config { return transport.MutualTLS(issue(name), pool) }
}

// Guards against a peer that claims a role in its Hello which its certificate
// does not give it.
func TestCertificateNameDecides(t *testing.T) {
	config := authority(t)
	e := startEngine(t, fastEngine)
	s := startSidecar(t, engineUpstream(e), func(c *Config) {
		c.TLS, c.EntryNames, c.SidecarNames = config("sidecar-1"), []string{"entry-1"}, []string{"sidecar-2"}
	})
	for name, want := range map[string]bool{"entry-1": true, "sidecar-2": false, "stranger": false} {
		tr, err := transport.New(transport.Config{
			TLS: config(name), Logger: quiet, Hello: func() *peerv1.Hello { return &peerv1.Hello{Role: roleEntry} },
		}, func(context.Context, *transport.Session, *transport.Stream, *peerv1.Envelope) {})
		if err != nil {
			t.Fatal(err)
		}
		p := &peer{t: t, tr: tr}
		if p.s, err = tr.Dial(t.Context(), s.Addr()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.drop)
		if r := receive(p.dispatch(chat("a-"+name, "hello", 3))); (r.done != nil) != want {
			t.Errorf("dispatch of %s: %+v", name, r)
		}
		if r := p.order(&peerv1.Order{Order: core.OrderPin, Program: "p", Epoch: 1}); (r.Error == "") != want {
			t.Errorf("order of %s: %v", name, r)
		}
	}
	if _, err := New(Config{Instance: "s", Incarnation: "s.1", Upstream: engineUpstream(e), TLS: config("x")}); err == nil {
		t.Error("TLS without names of entries was accepted")
	}
}

// Guards against a module that does not start, or does not drain at its stop.
func TestModule(t *testing.T) {
	v := startService(t, true)
	var s *Sidecar
	app := fxtest.New(t, Module, fx.Populate(&s), fx.NopLogger, fx.Supply(Config{
		Instance: "s", Incarnation: "s.1", Upstream: serviceUpstream(v, false), Logger: quiet, HTTPListen: "127.0.0.1:0",
	}))
	app.RequireStart()
	p := connect(t, s, roleEntry)
	if r := receive(p.dispatch(book("a", "k"))); r.done == nil {
		t.Errorf("%+v", r)
	}
	var text []byte
	if err := newUpstream(Config{Upstream: Upstream{URL: "http://" + s.HTTPAddr()}}).getJSON(t.Context(), s.up.fresh, "/v1/status", (*rawBytes)(&text)); err != nil || len(text) == 0 {
		t.Errorf("status %q: %v", text, err)
	}
	app.RequireStop()
	select {
	case <-p.s.Done():
	case <-time.After(3 * time.Second):
		t.Error("sessions are open after the stop")
	}
}

type rawBytes []byte

func (r *rawBytes) UnmarshalJSON(b []byte) error { *r = append(*r, b...); return nil }
