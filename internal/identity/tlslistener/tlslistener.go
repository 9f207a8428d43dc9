// Package tlslistener takes clients in by TLS 1.3 beside the event loop. Handshakes run on goroutines, bounded in number and time;
// decrypted bytes meet the loop by a pair of sockets, so that each side that is slow holds up the other by the kernel's own
// buffers and nothing grows here. Certificates and authorities change in service.
package tlslistener

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"sloequay/internal/eventloop/bridge"
	"sloequay/internal/identity"
)

// Config is the settings of a door.
type Config struct {
	Listen            string
	Cert, Key         string           // files of our certificate, in PEM
	ClientCA          string           // file of the authorities that sign clients; empty: clients show none
	RequireClientCert bool             // whether a client must show a certificate
	MaxHandshakes     int              // at once
	HandshakeTimeout  time.Duration    // for one
	MaxConnections    int              // connections
	TicketKeyRotation time.Duration    // how often the key of session tickets changes
	Now               func() time.Time // the Unix clock; nil: the system's
}

// ClientIdentity gives the tenant and subject of a client certificate's names; empty: none.
type ClientIdentity func(names []string) (tenant, subject string)

// ticketKeys is how many keys of session tickets are taken: the newest makes new ones.
const ticketKeys = 3

// Listener is a running listener.
type Listener struct {
	cfg    Config
	who    ClientIdentity
	adopt  func(conn net.Conn, caller identity.Caller) bool
	log    func(event string, fields ...any)
	ln     net.Listener
	config atomic.Pointer[tls.Config]
	busy   chan struct{} // handshakes
	open   atomic.Int64
	told   map[string]time.Time // when a source's fault was last logged
	mu     sync.Mutex
	stop   chan struct{}
}

// toldMost bounds the sources whose faults are remembered, and toldFor is how long.
const (
	toldMost = 1024
	toldFor  = time.Minute
)

// Open listens. adopt hands a connection to the loop, and says whether it was taken; it and log are called from goroutines.
func Open(cfg Config, who ClientIdentity, adopt func(net.Conn, identity.Caller) bool, log func(string, ...any)) (*Listener, error) {
	d := &Listener{cfg: cfg, who: who, adopt: adopt, log: log, busy: make(chan struct{}, cfg.MaxHandshakes), told: map[string]time.Time{},
		stop: make(chan struct{})}
	if err := d.Reload(); err != nil {
		return nil, err
	}
	var err error
	if d.ln, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	go d.accept()
	go d.rotate()
	return d, nil
}

// Close ends the listener; connections stay.
func (d *Listener) Close() {
	close(d.stop)
	_ = d.ln.Close()
}

// Load reads the files of a door, and checks that they fit one another.
func Load(cfg Config) (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(cfg.Cert, cfg.Key)
	if err != nil {
		return nil, fmt.Errorf("tls: %s, %s: %w", cfg.Cert, cfg.Key, err)
	}
	if info, err := os.Stat(cfg.Key); err != nil || info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("tls: %s: others can read it, or it is gone: %v", cfg.Key, err)
	}
	out := &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13, Time: cfg.Now}
	if cfg.ClientCA != "" {
		text, err := os.ReadFile(cfg.ClientCA)
		if err != nil {
			return nil, fmt.Errorf("tls: %w", err)
		}
		out.ClientCAs = x509.NewCertPool()
		if !out.ClientCAs.AppendCertsFromPEM(text) {
			return nil, fmt.Errorf("tls: %s: no certificate in it", cfg.ClientCA)
		}
		if out.ClientAuth = tls.VerifyClientCertIfGiven; cfg.RequireClientCert {
			out.ClientAuth = tls.RequireAndVerifyClientCert
		}
	}
	return out, nil
}

// Reload reads the files again. Handshakes that have begun end by the old ones, and connections that stand go on; with a fault
// the old ones stay in force.
func (d *Listener) Reload() error {
	next, err := Load(d.cfg)
	if err != nil {
		return err
	}
	// New keys for tickets: one that was made under other authorities must not stand in for a certificate.
	next.SetSessionTicketKeys([][32]byte{ticketKey()})
	d.config.Store(next)
	return nil
}

func ticketKey() (k [32]byte) {
	_, _ = rand.Read(k[:])
	return k
}

// rotate changes the key of session tickets.
func (d *Listener) rotate() {
	keys := [][32]byte{}
	var of *tls.Config
	tick := time.NewTicker(max(d.cfg.TicketKeyRotation, time.Second))
	defer tick.Stop()
	for {
		select {
		case <-d.stop:
			return
		case <-tick.C:
		}
		if now := d.config.Load(); now != of {
			of, keys = now, nil // Renew has begun anew
		}
		keys = append([][32]byte{ticketKey()}, keys...)
		keys = keys[:min(len(keys), ticketKeys)]
		of.SetSessionTicketKeys(keys)
	}
}

func (d *Listener) accept() {
	for {
		conn, err := d.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // no descriptor is left, for now
			continue
		}
		select {
		case d.busy <- struct{}{}:
		default:
			_ = conn.Close()
			d.fault(conn, errors.New("too many handshakes at once"))
			continue
		}
		if d.open.Add(1) > int64(d.cfg.MaxConnections) {
			d.open.Add(-1)
			<-d.busy
			_ = conn.Close()
			d.fault(conn, errors.New("all connections are busy"))
			continue
		}
		go d.serve(conn)
	}
}

// fault logs what a source did wrong, once in a while for each.
func (d *Listener) fault(conn net.Conn, err error) {
	host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	now := time.Now()
	d.mu.Lock()
	last, known := d.told[host]
	if len(d.told) >= toldMost && !known {
		clear(d.told)
	}
	if known && now.Sub(last) < toldFor {
		d.mu.Unlock()
		return
	}
	d.told[host] = now
	d.mu.Unlock()
	d.log("tls-handshake-failed", "from", host, "error", fmt.Sprintf("%.200s", err.Error()))
}

// serve shakes hands and then moves bytes both ways until either side ends.
func (d *Listener) serve(raw net.Conn) {
	defer d.open.Add(-1)
	conn := tls.Server(raw, d.config.Load())
	_ = raw.SetDeadline(time.Now().Add(d.cfg.HandshakeTimeout))
	err := conn.Handshake()
	<-d.busy
	if err != nil {
		_ = raw.Close()
		d.fault(raw, err)
		return
	}
	_ = raw.SetDeadline(time.Time{})
	caller := identity.Caller{Front: "tls"}
	caller.Remote, _, _ = net.SplitHostPort(raw.RemoteAddr().String())
	if certs := conn.ConnectionState().PeerCertificates; len(certs) > 0 {
		sum := sha256.Sum256(certs[0].Raw)
		caller.Thumbprint = base64.RawURLEncoding.EncodeToString(sum[:])
		names := certs[0].DNSNames
		for _, u := range certs[0].URIs {
			names = append(names, u.String())
		}
		caller.Tenant, caller.Subject = d.who(names)
	}
	ours, theirs, err := bridge.Pair()
	if err != nil {
		_ = conn.Close()
		d.fault(raw, err)
		return
	}
	if !d.adopt(theirs, caller) {
		_ = ours.Close()
		_ = conn.Close()
		return
	}
	// A client that closes its side takes back what is open; the loop sees that by the end of its own socket.
	bridge.Copy(conn, ours)
}
