package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// loadTLS returns the configuration for a certificate and its key, or nil if none is set.
func loadTLS(certFile, keyFile string) (*tls.Config, error) {
	if certFile == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("load certificate %s: %w", certFile, err)
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}, nil
}

// addAuthorities makes both sides of a connection verify the other's certificate.
func addAuthorities(c *tls.Config, caFile string) error {
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return fmt.Errorf("read certificate authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return fmt.Errorf("%s holds no certificate", caFile)
	}
	c.RootCAs = pool
	c.ClientCAs = pool
	c.ClientAuth = tls.RequireAndVerifyClientCert
	return nil
}
