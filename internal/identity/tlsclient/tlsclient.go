// Package tlsclient connects by TLS to endpoints and to the catalogue, with certificates and authorities that change
// in service.
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

// maxSessions is the number of servers whose TLS session is cached for a shorter handshake.
const maxSessions = 256

// othersMayUse is the permissions that the file of a key must not give.
const othersMayUse = 0o077

// Config is the settings of a Dialer.
type Config struct {
	CA         string           // file of the authorities that sign the far ends; empty: the system's
	Cert, Key  string           // files of our certificate; empty: none is shown
	MinVersion uint16           // version of TLS; 0: 1.3
	Now        func() time.Time // the Unix clock; nil: the system's
}

// Files returns the files after whose change Dialer.Reload must be called.
func (c Config) Files() []string { return []string{c.CA, c.Cert, c.Key} }

// Load reads the files, and checks that they fit one another.
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
		return nil, errors.New("tls: cert and key go together")
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
			return nil, fmt.Errorf("tls: %s: no certificate in it", c.CA)
		}
	}
	return loaded, nil
}

// loadCertificate reads our certificate, whose key only its owner may read.
func (c Config) loadCertificate() (tls.Certificate, error) {
	pair, err := tls.LoadX509KeyPair(c.Cert, c.Key)
	if err != nil {
		return pair, fmt.Errorf("tls: %s, %s: %w", c.Cert, c.Key, err)
	}
	if info, err := os.Stat(c.Key); err != nil || info.Mode().Perm()&othersMayUse != 0 {
		return pair, fmt.Errorf("tls: %s: others can read it, or it is gone: %v", c.Key, err)
	}
	return pair, nil
}

// Dialer makes connections with the last valid files. It is safe for concurrent use.
type Dialer struct {
	config  Config
	current atomic.Pointer[tls.Config]
}

// New reads the files and returns a dialer. With an error the dialer has no files yet: Reload may be called again.
func New(config Config) (*Dialer, error) {
	dialer := &Dialer{config: config}
	return dialer, dialer.Reload()
}

// Reload reads the files again. Open connections continue; cached sessions are dropped, so that none outlives the
// trust in an authority. On an error the old files stay in force.
func (d *Dialer) Reload() error {
	next, err := d.config.Load()
	if err != nil {
		return err
	}
	d.current.Store(next)
	return nil
}

// Watch reloads the files whenever they change, until stop is closed, and calls reloaded each time with the error, if
// there is one. It blocks.
func (d *Dialer) Watch(stop <-chan struct{}, reloaded func(error)) {
	paths := d.config.Files()
	fingerprint := func() string { return files.Fingerprint(paths...) }
	files.Watch(stop, files.Directories(paths...), fingerprint, func() error {
		err := d.Reload()
		reloaded(err)
		return err
	})
}

// Dial connects to an address whose certificate must have a name. ctx bounds the handshake too.
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
