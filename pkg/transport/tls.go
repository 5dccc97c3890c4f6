package transport

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"github.com/pkg/errors"
)

// LoadTLS reads a PEM certificate, its key and the certificate authorities of
// the peers. The returned configuration serves both directions: it requires
// and verifies client certificates and verifies servers with the same
// authorities.
func LoadTLS(certFile, keyFile, caFile string) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, errors.Wrapf(err, "load certificate %s with key %s", certFile, keyFile)
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Wrap(err, "read certificate authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s holds no PEM certificate", caFile)
	}
	return MutualTLS(cert, pool), nil
}

// MutualTLS returns a configuration for both directions with the given
// certificate and authorities.
func MutualTLS(cert tls.Certificate, authorities *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      authorities,
		ClientCAs:    authorities,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}
}

// checkTLS refuses configurations that leave one side unverified.
func checkTLS(c *tls.Config) error {
	if c.ClientAuth != tls.RequireAndVerifyClientCert || c.ClientCAs == nil {
		return errors.New("tls configuration does not verify client certificates")
	}
	if c.InsecureSkipVerify {
		return errors.New("tls configuration does not verify servers")
	}
	return nil
}
