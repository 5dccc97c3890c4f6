package daemoncmd

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/config"
	"github.com/yuccaspindle/yuccaspindle/pkg/entry"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
	"github.com/yuccaspindle/yuccaspindle/pkg/sidecar"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/engine"
	model "github.com/yuccaspindle/yuccaspindle/pkg/standin/engine/model"
	standinstore "github.com/yuccaspindle/yuccaspindle/pkg/standin/objectapi"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

// authority signs certificates for a test.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir()}
	a.key = newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"}, IsCA: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageCertSign, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	a.write("ca.crt", "CERTIFICATE", der)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func (a *authority) write(name, kind string, der []byte) {
	a.t.Helper()
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(filepath.Join(a.dir, name), data, 0o600); err != nil {
		a.t.Fatal(err)
	}
}

// issue writes the certificate and key of a process.
func (a *authority) issue(name string) {
	a.t.Helper()
	key := newKey(a.t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	a.write(name+".crt", "CERTIFICATE", der)
	a.write(name+".key", "EC PRIVATE KEY", keyDER)
}

func (a *authority) settings(role, name, store, more string) *config.Process {
	a.t.Helper()
	text := fmt.Sprintf(`
[instance]
id = %[1]s
role = %[2]s
region = east
failure_domain = east-a
[http]
listen = 127.0.0.1:0
trust_caller_header = %[5]t
[peer]
listen = 127.0.0.1:0
%[6]s
tls_cert = %[3]s/%[1]s.crt
tls_key = %[3]s/%[1]s.key
tls_ca = %[3]s/ca.crt
[store]
address = %[4]s
`, name, role, a.dir, store, role == config.RoleEntry, entriesKey(role))
	p, err := config.ParseProcess(name, []byte(text+more))
	if err != nil {
		a.t.Fatal(err)
	}
	return p
}

func entriesKey(role string) string {
	if role == config.RoleSidecar {
		return "entries = entry-1"
	}
	return "entries = entry-1, entry-9"
}

// Guards against processes that take calls from a peer whose certificate is not
// on the list, and against settings that do not reach the daemons.
func TestDaemonsWithMutualTLS(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	a := newAuthority(t)
	for _, name := range []string{"entry-1", "entry-9", "side-1"} {
		a.issue(name)
	}
	store := standinstore.New(standinstore.Options{})
	if err := store.Start(ctx); err != nil {
		t.Fatal(err)
	}
	applyShared(ctx, t, store.Addr())

	o := model.Defaults()
	o.Models = []string{"m"}
	eng, err := engine.New(engine.Config{Model: o})
	if err != nil {
		t.Fatal(err)
	}
	if err := eng.Start(ctx); err != nil {
		t.Fatal(err)
	}
	side := startSidecar(ctx, t, a.settings(config.RoleSidecar, "side-1", store.Addr(), fmt.Sprintf(
		"[upstream]\nid = engine-1\nkind = model\nmodels = m\naddress = %s\n", eng.Addr())))
	store.Memory().SetInstances([]objectapi.Instance{
		{ID: "side-1", Role: config.RoleSidecar, Address: side.Addr(), Region: "east", FailureDomain: "east-a", State: "live"},
	})
	listed := startEntry(ctx, t, a.settings(config.RoleEntry, "entry-1", store.Addr(), ""))
	if status, body := chat(ctx, t, listed); status != http.StatusOK {
		t.Errorf("entry-1, which the sidecar lists: %d %s", status, body)
	}
	if got := forwardAs(ctx, t, a, "side-1", listed.PeerAddr()); got != nil {
		t.Errorf("a forwarded call of a peer that is not an entry is answered: %v", got)
	}
	if got := forwardAs(ctx, t, a, "entry-9", listed.PeerAddr()); got == nil {
		t.Error("a forwarded call of an entry is not answered")
	}
	if err := listed.Stop(ctx); err != nil {
		t.Errorf("stop entry-1: %v", err)
	}
	unlisted := startEntry(ctx, t, a.settings(config.RoleEntry, "entry-9", store.Addr(), ""))
	if status, body := chat(ctx, t, unlisted); status == http.StatusOK {
		t.Errorf("entry-9, which the sidecar does not list: %d %s", status, body)
	}
	unlisted.Kill()
	if err := side.Stop(ctx); err != nil {
		t.Errorf("stop sidecar: %v", err)
	}
}

// forwardAs sends a forwarded call with the certificate of a process and returns
// the first answer, or nil if the stream ends without one.
func forwardAs(ctx context.Context, t *testing.T, a *authority, name, address string) *peerv1.Envelope {
	t.Helper()
	tlsCfg, err := transport.LoadTLS(filepath.Join(a.dir, name+".crt"), filepath.Join(a.dir, name+".key"), filepath.Join(a.dir, "ca.crt"))
	if err != nil {
		t.Fatal(err)
	}
	tr, err := transport.New(transport.Config{
		TLS: tlsCfg, Hello: func() *peerv1.Hello { return &peerv1.Hello{Instance: name, Role: "entry"} }, Logger: slog.New(slog.DiscardHandler),
	}, func(context.Context, *transport.Session, *transport.Stream, *peerv1.Envelope) {})
	if err != nil {
		t.Fatal(err)
	}
	defer tr.Close(ctx)
	s, err := tr.Dial(ctx, address)
	if err != nil {
		t.Fatal(err)
	}
	st, err := s.Open(ctx, &peerv1.Envelope{Body: &peerv1.Envelope_Forward{Forward: &peerv1.Forward{
		Method: http.MethodGet, Path: "/v1/programs/p000-x", Caller: "lango",
	}}})
	if err != nil {
		t.Fatal(err)
	}
	defer st.Close()
	m, err := st.Recv()
	if err != nil {
		return nil
	}
	return m
}

func applyShared(ctx context.Context, t *testing.T, store string) {
	t.Helper()
	client, err := objectapi.Dial(objectapi.ClientConfig{Address: store, Name: "operator"})
	if err != nil {
		t.Fatal(err)
	}
	const shared = "[cluster]\nslot_count = 8\nregions = east\ndefault_profile = chat\n[profile chat]\nclass = interactive\n"
	if _, err := config.NewStore(client).Apply(ctx, 0, []byte(shared), "test", "first"); err != nil {
		t.Fatal(err)
	}
}

func startSidecar(ctx context.Context, t *testing.T, p *config.Process) *sidecar.Sidecar {
	t.Helper()
	cfg, err := sidecarConfig(p)
	if err != nil {
		t.Fatal(err)
	}
	s, err := sidecar.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Start(ctx); err != nil {
		t.Fatal(err)
	}
	return s
}

func startEntry(ctx context.Context, t *testing.T, p *config.Process) *entry.Entry {
	t.Helper()
	cfg, err := entryConfig(p)
	if err != nil {
		t.Fatal(err)
	}
	n, err := entry.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Start(ctx); err != nil {
		t.Fatal(err)
	}
	for n.Summary().SlotsOwned < 8 {
		select {
		case <-ctx.Done():
			t.Fatalf("%s owns no slots: %+v", p.Instance, n.Summary())
		case <-time.After(20 * time.Millisecond):
		}
	}
	return n
}

func chat(ctx context.Context, t *testing.T, n *entry.Entry) (int, string) {
	t.Helper()
	body := `{"model":"m","max_tokens":4,"messages":[{"role":"user","content":"hello"}]}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.HTTPAddr()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Yucca-Caller", "lango")
	req.Header.Set("Yucca-Deadline-Ms", "3000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(out)
}
