// Package tlsclient dials TLS connections to endpoints and to the catalogue, with certificates and CA certificates that
// can be replaced at runtime.
package tlsclient

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"sloequay/internal/identity/files"
)

// maxSessions is the maximum number of cached TLS sessions, which shorten the handshake.
const maxSessions = 256

// nonOwnerAccess is a mask of the permissions that the file of a key must not have.
const nonOwnerAccess = 0o077

// Config holds the settings of a Dialer.
type Config struct {
	CA         string           // file of the CA certificates that sign server certificates; empty: the system's
	Cert, Key  string           // files of the client certificate and its key; empty if there is none
	MinVersion uint16           // lowest accepted TLS version; 0: TLS 1.3
	Now        func() time.Time // clock for checking certificates; nil: the system's
}

// Files returns the files that the configuration names. Call Dialer.Reload after one of them has changed.
func (c Config) Files() []string { return []string{c.CA, c.Cert, c.Key} }

// Load reads the files and checks that the certificate and its key match.
func (c Config) Load() (*tls.Config, error) {
	loaded := &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Time:               c.Now,
		ClientSessionCache: tls.NewLRUClientSessionCache(maxSessions),
	}
	if c.MinVersion != 0 {
		loaded.MinVersion = c.MinVersion
	}
	if (c.Cert == "") != (c.Key == "") {
		return nil, errors.New("tls: cert and key must be set together")
	}
	if c.Cert != "" {
		pair, err := c.loadCertificate()
		if err != nil {
			return nil, err
		}
		loaded.Certificates = []tls.Certificate{pair}
	}
	if c.CA != "" {
		text, err := os.ReadFile(c.CA)
		if err != nil {
			return nil, fmt.Errorf("tls: %w", err)
		}
		loaded.RootCAs = x509.NewCertPool()
		if !loaded.RootCAs.AppendCertsFromPEM(text) {
			return nil, fmt.Errorf("tls: %s: contains no certificate", c.CA)
		}
	}
	return loaded, nil
}

// loadCertificate reads the client certificate. The key file must be accessible only by its owner.
func (c Config) loadCertificate() (tls.Certificate, error) {
	pair, err := tls.LoadX509KeyPair(c.Cert, c.Key)
	if err != nil {
		return pair, fmt.Errorf("tls: %s, %s: %w", c.Cert, c.Key, err)
	}
	if info, err := os.Stat(c.Key); err != nil || info.Mode().Perm()&nonOwnerAccess != 0 {
		return pair, fmt.Errorf("tls: %s: others can read it, or its mode cannot be read: %v", c.Key, err)
	}
	return pair, nil
}

// Dialer dials connections with the last valid files. It is safe for concurrent use.
type Dialer struct {
	config  Config
	current atomic.Pointer[tls.Config]
}

// New reads the files and returns a dialer. On an error the dialer is returned without a configuration; call Reload
// again.
func New(config Config) (*Dialer, error) {
	dialer := &Dialer{config: config}
	return dialer, dialer.Reload()
}

// Reload reads the files again. Open connections continue. Cached sessions are dropped, so that none outlives the trust
// in its CA. On an error the old configuration stays in use.
func (d *Dialer) Reload() error {
	next, err := d.config.Load()
	if err != nil {
		return err
	}
	d.current.Store(next)
	return nil
}

// Watch reloads the files whenever they change, until stop is closed. It calls reloaded with the result of each reload.
// It blocks.
func (d *Dialer) Watch(stop <-chan struct{}, reloaded func(error)) {
	paths := d.config.Files()
	fingerprint := func() string { return files.Fingerprint(paths...) }
	files.Watch(stop, files.Directories(paths...), fingerprint, func() error {
		err := d.Reload()
		reloaded(err)
		return err
	})
}

// Dial connects to an address. The server's certificate must be valid for name. ctx also limits the handshake.
func (d *Dialer) Dial(ctx context.Context, address, name string) (*tls.Conn, error) {
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	config := d.current.Load().Clone()
	config.ServerName = name
	conn := tls.Client(raw, config)
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, fmt.Errorf("tls: %w", err)
	}
	return conn, nil
}
