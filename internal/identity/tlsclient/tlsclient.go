// Package tlsclient connects by TLS to boxes and to the catalogue, with certificates and authorities that change in service.
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

// Config is the settings of a Dialer.
type Config struct {
	CA         string           // file of the authorities that sign the far ends; empty: the system's
	Cert, Key  string           // files of our certificate; empty: none is shown
	MinVersion uint16           // version of TLS; 0: 1.3
	Now        func() time.Time // the Unix clock; nil: the system's
}

// Files are those whose change asks for Renew.
func (c Config) Files() []string { return []string{c.CA, c.Cert, c.Key} }

// Load reads the files, and checks that they fit one another.
func (c Config) Load() (*tls.Config, error) {
	out := &tls.Config{MinVersion: tls.VersionTLS13, Time: c.Now, ClientSessionCache: tls.NewLRUClientSessionCache(sessions)}
	if c.MinVersion != 0 {
		out.MinVersion = c.MinVersion
	}
	if (c.Cert == "") != (c.Key == "") {
		return nil, errors.New("tls: cert and key go together")
	}
	if c.Cert != "" {
		pair, err := tls.LoadX509KeyPair(c.Cert, c.Key)
		if err != nil {
			return nil, fmt.Errorf("tls: %s, %s: %w", c.Cert, c.Key, err)
		}
		if info, err := os.Stat(c.Key); err != nil || info.Mode().Perm()&0o077 != 0 {
			return nil, fmt.Errorf("tls: %s: others can read it, or it is gone: %v", c.Key, err)
		}
		out.Certificates = []tls.Certificate{pair}
	}
	if c.CA != "" {
		text, err := os.ReadFile(c.CA)
		if err != nil {
			return nil, fmt.Errorf("tls: %w", err)
		}
		out.RootCAs = x509.NewCertPool()
		if !out.RootCAs.AppendCertsFromPEM(text) {
			return nil, fmt.Errorf("tls: %s: no certificate in it", c.CA)
		}
	}
	return out, nil
}

// sessions is how many far ends a session is kept of, for a shorter handshake.
const sessions = 256

// Dialer makes connections by the files as they were last found sound.
type Dialer struct {
	cfg     Config
	current atomic.Pointer[tls.Config]
}

// New reads the files.
func New(cfg Config) (*Dialer, error) {
	d := &Dialer{cfg: cfg}
	return d, d.Reload()
}

// Reload reads the files again. Connections that stand go on; sessions under the old files are not taken up again, so that an
// authority that is trusted no more is not trusted by one. With a fault the old files stay in force.
func (d *Dialer) Reload() error {
	next, err := d.cfg.Load()
	if err == nil {
		d.current.Store(next)
	}
	return err
}

// Watch renews whenever the files change, until stop is closed, and tells each time how it went. It blocks.
func (d *Dialer) Watch(stop <-chan struct{}, told func(error)) {
	paths := d.cfg.Files()
	files.Watch(stop, files.Folders(paths...), func() string { return files.Fingerprint(paths...) }, func() error {
		err := d.Reload()
		told(err)
		return err
	})
}

// Dial connects to an address whose certificate must have a name. ctx bounds the handshake too.
func (d *Dialer) Dial(ctx context.Context, address, name string) (*tls.Conn, error) {
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	cfg := d.current.Load().Clone()
	cfg.ServerName = name
	conn := tls.Client(raw, cfg)
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, fmt.Errorf("tls: %w", err)
	}
	return conn, nil
}
