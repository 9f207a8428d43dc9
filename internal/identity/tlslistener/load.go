package tlslistener

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// nonOwnerAccess is a mask of the permissions that the file of a key must not have.
const nonOwnerAccess = 0o077

// Load reads the files of a listener and checks that the certificate and its key match.
func Load(config Config) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(config.Cert, config.Key)
	if err != nil {
		return nil, fmt.Errorf("tls: %s, %s: %w", config.Cert, config.Key, err)
	}
	if info, err := os.Stat(config.Key); err != nil || info.Mode().Perm()&nonOwnerAccess != 0 {
		return nil, fmt.Errorf("tls: %s: others can read it, or its mode cannot be read: %v", config.Key, err)
	}
	loaded := &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13, Time: config.Now}
	if config.ClientCA == "" {
		return loaded, nil
	}
	text, err := os.ReadFile(config.ClientCA)
	if err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	loaded.ClientCAs = x509.NewCertPool()
	if !loaded.ClientCAs.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("tls: %s: contains no certificate", config.ClientCA)
	}
	loaded.ClientAuth = tls.VerifyClientCertIfGiven
	if config.RequireClientCert {
		loaded.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return loaded, nil
}
