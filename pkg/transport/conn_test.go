package transport

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"net"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a silence that is found late, and against slow but steady
// traffic that is taken for silence. Time is virtual.
func TestDeadlineConn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := net.Pipe()
		defer a.Close()
		defer b.Close()
		c := &deadlineConn{Conn: a, timeout: SilenceTimeout}
		go func() {
			for range 5 {
				time.Sleep(SilenceTimeout - time.Millisecond)
				_, _ = b.Write([]byte{1})
			}
		}()
		one := make([]byte, 1)
		for i := range 5 {
			if _, err := c.Read(one); err != nil {
				t.Fatalf("byte %d of a slow peer: %v", i, err)
			}
		}
		began := time.Now()
		if _, err := c.Read(one); err == nil || time.Since(began) != SilenceTimeout {
			t.Errorf("silent read: %v after %v, want %v", err, time.Since(began), SilenceTimeout)
		}
		began = time.Now()
		if _, err := c.Write(one); err == nil || time.Since(began) != SilenceTimeout {
			t.Errorf("blocked write: %v after %v, want %v", err, time.Since(began), SilenceTimeout)
		}
	})
}

// Guards against key files that give a configuration which leaves a side
// unverified, and against errors that do not name the file.
func TestLoadTLS(t *testing.T) {
	cert, ca, _ := issue(t, "sidecar-1", nil, nil)
	key, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	certFile, keyFile := write("cert.pem", "CERTIFICATE", ca.Raw), write("key.pem", "PRIVATE KEY", key)
	c, err := LoadTLS(certFile, keyFile, certFile)
	if err != nil {
		t.Fatal(err)
	}
	if err := checkTLS(c); err != nil || c.RootCAs == nil || c.MinVersion != tls.VersionTLS13 {
		t.Errorf("loaded configuration: %v", err)
	}
	if _, err := LoadTLS(certFile, keyFile, keyFile); err == nil {
		t.Error("authorities without a certificate were accepted")
	}
	c.ClientAuth = tls.RequestClientCert
	if checkTLS(c) == nil {
		t.Error("unverified clients were accepted")
	}
}
