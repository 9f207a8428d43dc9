// Package tlslistener accepts clients by TLS 1.3 outside of the event loop. Handshakes run on goroutines, bounded in
// number and time. Decrypted bytes reach the loop through a pair of sockets, so that the kernel's buffers apply
// back-pressure in both directions and nothing is buffered here. Certificates and authorities can be replaced while
// it runs.
package tlslistener

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"encoding/base64"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"sloequay/internal/eventloop/bridge"
	"sloequay/internal/eventloop/socket"
	"sloequay/internal/identity"
)

const (
	// maxTicketKeys is how many keys of session tickets are accepted: the newest makes new tickets.
	maxTicketKeys = 3
	// minTicketKeyRotation is how long a key of session tickets is the newest at least.
	minTicketKeyRotation = time.Second
	// acceptPause is how long a connection waits where the system has no descriptor or memory for it.
	acceptPause = 10 * time.Millisecond
)

var (
	errTooManyHandshakes  = errors.New("too many handshakes at once")
	errTooManyConnections = errors.New("all connections are busy")
)

// Config is the settings of a listener.
type Config struct {
	Listen            string           // ip:port
	Cert, Key         string           // files of our certificate, in PEM
	ClientCA          string           // file of the authorities that sign clients; empty: clients show none
	RequireClientCert bool             // whether a client must show a certificate
	MaxHandshakes     int              // at once
	HandshakeTimeout  time.Duration    // for one
	MaxConnections    int              // at once
	TicketKeyRotation time.Duration    // how often the key of session tickets changes
	Now               func() time.Time // the Unix clock; nil: the system's
}

// ClientIdentity returns the tenant and subject of a client certificate's names; empty: none.
type ClientIdentity func(names []string) (tenant, subject string)

// Listener is a running listener.
type Listener struct {
	config     Config
	identify   ClientIdentity
	adopt      func(conn net.Conn, caller identity.Caller) bool
	log        func(event string, fields ...any)
	socket     *socket.Listener
	tlsConfig  atomic.Pointer[tls.Config]
	handshakes chan struct{} // one place each
	open       atomic.Int64  // connections
	faults     faultLimiter
	stop       chan struct{}
}

// Open starts a listener. It blocks while the system has no memory or descriptor for that, for some seconds at most.
// adopt passes a connection to the event loop and reports whether it was accepted; adopt, identify and log are called
// on goroutines of the listener.
func Open(
	config Config,
	identify ClientIdentity,
	adopt func(net.Conn, identity.Caller) bool,
	log func(event string, fields ...any),
) (*Listener, error) {
	listener := &Listener{
		config:     config,
		identify:   identify,
		adopt:      adopt,
		log:        log,
		handshakes: make(chan struct{}, config.MaxHandshakes),
		faults:     faultLimiter{loggedAt: map[string]time.Time{}},
		stop:       make(chan struct{}),
	}
	if err := listener.Reload(); err != nil {
		return nil, err
	}
	err := socket.RetryLocal(func() (err error) {
		listener.socket, err = socket.Listen(config.Listen)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	go listener.accept()
	go listener.rotateTicketKeys()
	return listener, nil
}

// Close ends the listener; connections stay.
func (l *Listener) Close() {
	close(l.stop)
	_ = l.socket.Close()
}

// Reload reads the files again. Handshakes that have begun use the old ones, and open connections continue. On an
// error the old files stay in force.
func (l *Listener) Reload() error {
	next, err := Load(l.config)
	if err != nil {
		return err
	}
	// New ticket keys: a ticket that was issued under other authorities must not replace a certificate.
	next.SetSessionTicketKeys([][32]byte{newTicketKey()})
	l.tlsConfig.Store(next)
	return nil
}

func newTicketKey() (key [32]byte) {
	_, _ = rand.Read(key[:])
	return key
}

// rotateTicketKeys changes the key of session tickets until the listener is closed.
func (l *Listener) rotateTicketKeys() {
	var keys [][32]byte // of current, the newest first
	var current *tls.Config
	tick := time.NewTicker(max(l.config.TicketKeyRotation, minTicketKeyRotation))
	defer tick.Stop()
	for {
		select {
		case <-l.stop:
			return
		case <-tick.C:
		}
		if latest := l.tlsConfig.Load(); latest != current { // Reload has begun anew
			current = latest
			keys = nil
		}
		keys = append([][32]byte{newTicketKey()}, keys...)
		keys = keys[:min(len(keys), maxTicketKeys)]
		current.SetSessionTicketKeys(keys)
	}
}

// accept accepts connections until the listener is closed.
func (l *Listener) accept() {
	for {
		conn, err := l.next()
		if l.isClosed() {
			return
		}
		if err != nil {
			if l.faults.shouldLog(time.Now(), "") { // of no source: there is no connection
				l.log("accept-failed", "error", err)
			}
			time.Sleep(acceptPause)
			continue
		}
		if err := l.reserve(); err != nil {
			_ = conn.Close()
			l.logFault(conn, err)
			continue
		}
		go l.serve(conn)
	}
}

// next accepts a connection. One that the system has no memory to watch for a moment is tried again.
func (l *Listener) next() (net.Conn, error) {
	accepted, err := l.socket.Accept()
	if err != nil {
		return nil, err
	}
	defer accepted.Close()
	for {
		conn, err := accepted.Conn()
		if !socket.IsLocal(err) || l.isClosed() {
			return conn, err
		}
		time.Sleep(acceptPause)
	}
}

// isClosed reports whether Close was called.
func (l *Listener) isClosed() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

// reserve reserves one of the places for handshakes and one for connections.
func (l *Listener) reserve() error {
	select {
	case l.handshakes <- struct{}{}:
	default:
		return errTooManyHandshakes
	}
	if l.open.Add(1) > int64(l.config.MaxConnections) {
		l.open.Add(-1)
		<-l.handshakes
		return errTooManyConnections
	}
	return nil
}

// serve does the handshake and then copies bytes in both directions until either side ends.
func (l *Listener) serve(raw net.Conn) {
	defer l.open.Add(-1)
	conn := tls.Server(raw, l.tlsConfig.Load())
	_ = raw.SetDeadline(time.Now().Add(l.config.HandshakeTimeout))
	err := conn.Handshake()
	<-l.handshakes
	if err != nil {
		_ = raw.Close()
		l.logFault(raw, err)
		return
	}
	_ = raw.SetDeadline(time.Time{})
	caller := l.caller(conn)
	ours, theirs, err := l.pair()
	if err != nil {
		_ = conn.Close()
		l.logFault(raw, err)
		return
	}
	if !l.adopt(theirs, caller) {
		_ = ours.Close()
		_ = conn.Close()
		return
	}
	// When the client closes its side, the loop sees the end of its own socket and cancels what is open.
	bridge.Copy(conn, ours)
}

// pair makes the sockets that join a connection to the loop. The client may have sent a request by now, so what the
// system lacks for a moment is waited for, as long as a handshake may take.
func (l *Listener) pair() (ours, theirs net.Conn, err error) {
	for began := time.Now(); ; time.Sleep(acceptPause) {
		ours, theirs, err = bridge.Pair()
		if !socket.IsLocal(err) || time.Since(began) > l.config.HandshakeTimeout {
			return ours, theirs, err
		}
	}
}

// caller returns whom a connection is from, by its address and its certificate.
func (l *Listener) caller(conn *tls.Conn) identity.Caller {
	caller := identity.Caller{Frontend: "tls"}
	caller.Remote, _, _ = net.SplitHostPort(conn.RemoteAddr().String())
	certificates := conn.ConnectionState().PeerCertificates
	if len(certificates) == 0 {
		return caller
	}
	thumbprint := sha256.Sum256(certificates[0].Raw)
	caller.Thumbprint = base64.RawURLEncoding.EncodeToString(thumbprint[:])
	names := certificates[0].DNSNames
	for _, uri := range certificates[0].URIs {
		names = append(names, uri.String())
	}
	caller.Tenant, caller.Subject = l.identify(names)
	return caller
}

// logFault logs a failed handshake, rate-limited for each source.
func (l *Listener) logFault(conn net.Conn, fault error) {
	host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	if l.faults.shouldLog(time.Now(), host) {
		l.log("tls-handshake-failed", "from", host, "error", fmt.Sprintf("%.200s", fault.Error()))
	}
}
