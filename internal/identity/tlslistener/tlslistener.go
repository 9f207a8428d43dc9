// Package tlslistener accepts TLS 1.3 clients outside the event loop. Handshakes run on goroutines, limited in number
// and duration. Decrypted bytes reach the event loop through a socket pair, so that the kernel's buffers apply
// backpressure in both directions and nothing is buffered here. Certificates and CA certificates can be replaced at
// runtime.
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
	// maxTicketKeys is the number of accepted session ticket keys. The newest one encrypts new tickets.
	maxTicketKeys = 3
	// minTicketKeyRotation is the minimum interval between rotations of the session ticket key.
	minTicketKeyRotation = time.Second
	// acceptPause is the delay before a retry while the system lacks descriptors or memory.
	acceptPause = 10 * time.Millisecond
	// drainTimeout is how long a client may take none of its responses after the event loop has closed its connection.
	drainTimeout = 6 * time.Second
)

var (
	errTooManyHandshakes  = errors.New("too many concurrent handshakes")
	errTooManyConnections = errors.New("too many open connections")
)

// Config holds the settings of a listener.
type Config struct {
	Listen            string           // ip:port
	Cert, Key         string           // PEM files of the server certificate and its key
	ClientCA          string           // file of the CAs of client certificates; empty: none are requested
	RequireClientCert bool             // whether a client must present a certificate
	MaxHandshakes     int              // concurrent ones
	HandshakeTimeout  time.Duration    // for each handshake
	MaxConnections    int              // open at the same time
	TicketKeyRotation time.Duration    // interval of the session ticket key rotation
	Now               func() time.Time // clock for checking certificates; nil: the system's
}

// ClientIdentity returns the tenant and subject for the names of a client certificate, or empty strings if there are
// none.
type ClientIdentity func(names []string) (tenant, subject string)

// Listener is a running TLS listener.
type Listener struct {
	config          Config
	identify        ClientIdentity
	adopt           func(conn net.Conn, caller identity.Caller) bool
	log             func(event string, fields ...any)
	socket          *socket.Listener
	tlsConfig       atomic.Pointer[tls.Config]
	handshakes      chan struct{} // semaphore of the running handshakes
	openConnections atomic.Int64  // accepted, including those in a handshake
	errorLog        errorLogLimiter
	stop            chan struct{}
}

// Open starts a listener. It blocks while the system lacks memory or descriptors for it, for some seconds at most.
// adopt passes a connection to the event loop and reports whether it was accepted. adopt, identify and log are called
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
		errorLog:   errorLogLimiter{loggedAt: map[string]time.Time{}},
		stop:       make(chan struct{}),
	}
	if err := listener.Reload(); err != nil {
		return nil, err
	}
	err := socket.RetryLocalErrors(func() (err error) {
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

// Close closes the listener. Open connections continue.
func (l *Listener) Close() {
	close(l.stop)
	_ = l.socket.Close()
}

// Reload reads the files again. Handshakes in progress use the old configuration, and open connections continue. On an
// error the old configuration stays in use.
func (l *Listener) Reload() error {
	next, err := Load(l.config)
	if err != nil {
		return err
	}
	// New ticket keys: a ticket that was issued under other CAs must not be accepted in place of a client certificate.
	next.SetSessionTicketKeys([][32]byte{newTicketKey()})
	l.tlsConfig.Store(next)
	return nil
}

func newTicketKey() (key [32]byte) {
	_, _ = rand.Read(key[:])
	return key
}

// rotateTicketKeys rotates the session ticket keys until the listener is closed.
func (l *Listener) rotateTicketKeys() {
	var keys [][32]byte // keys of current, newest first
	var current *tls.Config
	tick := time.NewTicker(max(l.config.TicketKeyRotation, minTicketKeyRotation))
	defer tick.Stop()
	for {
		select {
		case <-l.stop:
			return
		case <-tick.C:
		}
		if latest := l.tlsConfig.Load(); latest != current { // Reload has replaced the configuration
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
		conn, err := l.acceptConnection()
		if l.isClosed() {
			return
		}
		if err != nil {
			if l.errorLog.shouldLog(time.Now(), "") { // no source, since there is no connection
				l.log("accept-failed", "error", err)
			}
			time.Sleep(acceptPause)
			continue
		}
		if err := l.reserve(); err != nil {
			_ = conn.Close()
			l.logHandshakeError(conn, err)
			continue
		}
		go l.serve(conn)
	}
}

// acceptConnection accepts a connection. While the system lacks the memory to poll it, it retries after acceptPause.
func (l *Listener) acceptConnection() (net.Conn, error) {
	accepted, err := l.socket.Accept()
	if err != nil {
		return nil, err
	}
	defer accepted.Close()
	for {
		conn, err := accepted.Conn()
		if !socket.IsLocalError(err) || l.isClosed() {
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

// reserve takes a handshake slot and a connection slot. It returns an error if a limit is reached.
func (l *Listener) reserve() error {
	select {
	case l.handshakes <- struct{}{}:
	default:
		return errTooManyHandshakes
	}
	if l.openConnections.Add(1) > int64(l.config.MaxConnections) {
		l.openConnections.Add(-1)
		<-l.handshakes
		return errTooManyConnections
	}
	return nil
}

// serve performs the handshake and then copies bytes in both directions until either side closes.
func (l *Listener) serve(raw net.Conn) {
	defer l.openConnections.Add(-1)
	conn := tls.Server(raw, l.tlsConfig.Load())
	_ = raw.SetDeadline(time.Now().Add(l.config.HandshakeTimeout))
	err := conn.Handshake()
	<-l.handshakes
	if err != nil {
		_ = raw.Close()
		l.logHandshakeError(raw, err)
		return
	}
	_ = raw.SetDeadline(time.Time{})
	caller := l.caller(conn)
	relay, loopEnd, err := l.newRelay(conn)
	if err != nil {
		_ = conn.Close()
		l.logHandshakeError(raw, err)
		return
	}
	if !l.adopt(loopEnd, caller) {
		relay.Close()
		return
	}
	// When the client closes the connection, the event loop sees its socket closed and cancels the open requests.
	relay.Run()
}

// newRelay creates the relay that joins a connection to the event loop. The client may already have sent a request, so
// while the system lacks descriptors or memory, it retries for up to HandshakeTimeout.
func (l *Listener) newRelay(conn net.Conn) (*bridge.Relay, *bridge.LoopEnd, error) {
	for began := time.Now(); ; time.Sleep(acceptPause) {
		relay, loopEnd, err := bridge.New(conn, drainTimeout)
		if !socket.IsLocalError(err) || time.Since(began) > l.config.HandshakeTimeout {
			return relay, loopEnd, err
		}
	}
}

// caller identifies the caller of a connection from its address and client certificate.
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

// logHandshakeError logs why a connection failed, rate-limited for each source.
func (l *Listener) logHandshakeError(conn net.Conn, err error) {
	host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	if l.errorLog.shouldLog(time.Now(), host) {
		l.log("tls-handshake-failed", "from", host, "error", fmt.Sprintf("%.200s", err.Error()))
	}
}
