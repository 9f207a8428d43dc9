package test

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sloequay/internal/emulator"
)

// receivedRequest is one line that an endpoint has read: an attempt (ASK), its cancellation (QUIT) or a health check
// (NOOP).
type receivedRequest = emulator.ReceivedRequest

// addEndpoint starts an emulated endpoint. It does not add it to the endpoint list.
func (bed *testbed) addEndpoint(id string) {
	bed.t.Helper()
	listener, err := bed.endpoints.Add(id, "127.0.0.1:0")
	if err != nil {
		bed.t.Fatal(err)
	}
	bed.listeners[id] = listener
}

// endpointAddress returns the address that an endpoint listens on.
func (bed *testbed) endpointAddress(id string) string { return bed.listeners[id].Addr().String() }

// setResponder sets how endpoints respond from now on; nil restores the default of emulator.NewEndpoints.
func (bed *testbed) setResponder(respond func(*receivedRequest)) { bed.endpoints.SetResponder(respond) }

// answerDone responds to an attempt with success and the body "done".
func answerDone(attempt *receivedRequest) { attempt.Answer("ACK", "tag=t1", "done") }

// answerAsEmptyCaches responds as endpoints do whose caches are empty: a cache serves an object only if the attempt
// names a parent or the origin to fill it from.
func answerAsEmptyCaches(attempt *receivedRequest) {
	if attempt.Fields["via"] == "" && attempt.Endpoint[0] == 'c' {
		attempt.Answer("NOENT", "-", "")
		return
	}
	attempt.Answer("ACK", "tag=t1,minted=1,remark=filled,lag=1", attempt.Fields["thing"])
}

// received returns the lines that endpoints have read and that match, in the order of their arrival.
func (bed *testbed) received(match func(*receivedRequest) bool) []*receivedRequest {
	return bed.endpoints.Received(match)
}

// hasWord returns a predicate that reports whether a line begins with a word of the endpoints' protocol.
func hasWord(word string) func(*receivedRequest) bool {
	return func(line *receivedRequest) bool { return line.Word == word }
}

// attempts returns the attempts that endpoints have read.
func (bed *testbed) attempts() []*receivedRequest { return bed.received(hasWord("ASK")) }

// attemptsAt returns the attempts that one endpoint has read.
func (bed *testbed) attemptsAt(id string) []*receivedRequest {
	return bed.received(func(attempt *receivedRequest) bool { return attempt.Word == "ASK" && attempt.Endpoint == id })
}

// lastAttempt returns the most recent attempt that an endpoint has read.
func (bed *testbed) lastAttempt() *receivedRequest {
	all := bed.attempts()
	return all[len(all)-1]
}

// attemptsOfClass returns the attempts for requests of a class.
func (bed *testbed) attemptsOfClass(class string) []*receivedRequest {
	return bed.received(func(attempt *receivedRequest) bool { return attempt.Fields["profile"] == class })
}

// cancellations returns the QUIT lines that endpoints have read.
func (bed *testbed) cancellations() []*receivedRequest { return bed.received(hasWord("QUIT")) }

// waitAttempts waits until endpoints have read exactly count attempts.
func (bed *testbed) waitAttempts(count int) {
	bed.t.Helper()
	condition := fmt.Sprint(count, " attempts have reached endpoints")
	bed.waitUntil(condition, func() bool { return len(bed.attempts()) == count })
}

// waitFirstAttempt waits until an endpoint has read an attempt.
func (bed *testbed) waitFirstAttempt() {
	bed.t.Helper()
	bed.waitUntil("an attempt has reached an endpoint", func() bool { return len(bed.attempts()) > 0 })
}

// nextReceived returns the next attempt that a responder has sent to the channel.
func nextReceived(t *testing.T, received chan *receivedRequest) *receivedRequest {
	t.Helper()
	select {
	case attempt := <-received:
		return attempt
	case <-time.After(waitLimit):
		t.Fatalf("no attempt reached an endpoint within %v", waitLimit)
		return nil
	}
}

// listenWithFullBacklog returns the address of a listener that accepts nothing and whose backlog is full, so that dials
// to it wait.
func (bed *testbed) listenWithFullBacklog() (address string) {
	bed.t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		bed.t.Fatal(err)
	}
	socketAddress := &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}
	if err := errors.Join(syscall.Bind(fd, socketAddress), syscall.Listen(fd, 0)); err != nil {
		bed.t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "full")
	bed.fullBacklogListener, err = net.FileListener(file)
	_ = file.Close()
	if err != nil {
		bed.t.Fatal(err)
	}
	bed.t.Cleanup(func() { _ = bed.fullBacklogListener.Close() })
	filler, err := net.Dial("tcp", bed.fullBacklogListener.Addr().String()) // the backlog holds one connection
	if err != nil {
		bed.t.Fatal(err)
	}
	bed.t.Cleanup(func() { _ = filler.Close() })
	return bed.fullBacklogListener.Addr().String()
}

// listenAndClose returns the address of a listener that closes each connection as soon as it has accepted it.
func (bed *testbed) listenAndClose() (address string) {
	bed.t.Helper()
	listener := bed.listenOn("127.0.0.1:0")
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// listenWithoutReading returns the address of a listener that accepts connections and reads nothing from them until it
// receives a channel from read. It then reads every connection to its end, and sends on that channel how many complete
// attempts each carried. With a config, it completes a TLS handshake on each connection first.
func (bed *testbed) listenWithoutReading(config *tls.Config) (address string, read chan chan []int) {
	bed.t.Helper()
	listener := bed.listenOn("127.0.0.1:0")
	if raw, err := listener.(*net.TCPListener).SyscallConn(); err == nil {
		setBuffers := setSmallReceiveBuffer
		if config != nil { // so that most bytes stand before the TLS connection
			setBuffers = setSmallBuffers
		}
		_ = raw.Control(func(fd uintptr) { _ = setBuffers(fd) })
	}
	var mu sync.Mutex
	var conns []net.Conn
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if config != nil {
				secure := tls.Server(conn, config)
				_ = secure.Handshake() // the program sees an error as well, and the test by the log
				conn = secure
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
		}
	}()
	read = make(chan chan []int)
	go func() {
		out := <-read
		mu.Lock()
		defer mu.Unlock()
		var counts []int
		for _, conn := range conns {
			_ = conn.SetReadDeadline(time.Now().Add(time.Second))
			counts = append(counts, countAttempts(conn))
		}
		out <- counts
	}()
	return listener.Addr().String(), read
}

// setSmallReceiveBuffer limits how much unread data a socket holds.
func setSmallReceiveBuffer(fd uintptr) error {
	return syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
}

// countAttempts reads a connection to its end and returns how many complete attempts it carried.
func countAttempts(conn net.Conn) (n int) {
	for r := bufio.NewReader(conn); ; {
		line, err := r.ReadString('\n')
		words := strings.Fields(line)
		if err != nil {
			return n
		}
		if len(words) == 4 && words[0] == "ASK" {
			var size int64
			_, _ = fmt.Sscan(words[3], &size)
			if _, err := io.CopyN(io.Discard, r, size+2); err != nil {
				return n
			}
			n++
		}
	}
}

// readAttempt reads one attempt, and reports whether it was complete before the connection ended.
func readAttempt(conn net.Conn) bool {
	r := bufio.NewReaderSize(conn, 16)
	line, err := r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "ASK ") {
		return false
	}
	_, err = r.ReadString('\n')
	return err == nil
}

// channelListener is a listener that takes its connections from a channel.
type channelListener struct {
	net.Listener
	conns chan net.Conn
}

// Accept returns the next connection from the channel.
func (l channelListener) Accept() (net.Conn, error) { return <-l.conns, nil }

// serveTLS serves an endpoint by TLS, with a certificate for name, and requires clients to present a certificate of the
// same authority. onHandshake is called at every handshake with the name in the client's certificate.
func (bed *testbed) serveTLS(authority *emulator.Authority, id, name string, onHandshake func(string)) {
	bed.t.Helper()
	roots := x509.NewCertPool()
	roots.AddCert(authority.Cert)
	config := &tls.Config{ClientCAs: roots, ClientAuth: tls.RequireAndVerifyClientCert,
		Certificates: []tls.Certificate{makeCertificate(bed.t, authority, name)},
		VerifyConnection: func(state tls.ConnectionState) error {
			onHandshake(state.PeerCertificates[0].DNSNames[0])
			return nil
		}}
	listener := bed.listenOn("127.0.0.1:0")
	go bed.endpoints.Serve(id, tls.NewListener(listener, config))
	bed.setListedAddress(id, listener.Addr().String())
}

// startNameServer starts a name server with the given records, for endpoints that are listed by host name.
func (bed *testbed) startNameServer(records map[string]string) {
	bed.t.Helper()
	var err error
	if bed.nameServer, err = newNameServer(records); err != nil {
		bed.t.Fatal(err)
	}
	bed.t.Cleanup(bed.nameServer.close)
}
