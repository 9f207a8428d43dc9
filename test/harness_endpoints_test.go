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

// receivedRequest is one line that an endpoint has read: an attempt (ASK), its cancellation (QUIT) or a check (NOOP).
type receivedRequest = emulator.ReceivedRequest

// addEndpoint adds one that listens; the list does not have it for that.
func (bed *testbed) addEndpoint(id string) {
	bed.t.Helper()
	listener, err := bed.endpoints.Add(id, "127.0.0.1:0")
	if err != nil {
		bed.t.Fatal(err)
	}
	bed.listeners[id] = listener
}

// endpointAddress is where an endpoint listens.
func (bed *testbed) endpointAddress(id string) string { return bed.listeners[id].Addr().String() }

// setResponder sets how endpoints answer from now on; nil: as emulator.NewEndpoints does.
func (bed *testbed) setResponder(respond func(*receivedRequest)) { bed.endpoints.SetResponder(respond) }

// answerDone serves an attempt.
func answerDone(attempt *receivedRequest) { attempt.Answer("ACK", "tag=t1", "done") }

// answerAsEmptyCaches is for caches that hold nothing: each request is filled from a parent or the origin.
func answerAsEmptyCaches(attempt *receivedRequest) {
	if attempt.Fields["via"] == "" && attempt.Endpoint[0] == 'c' {
		attempt.Answer("NOENT", "-", "")
		return
	}
	attempt.Answer("ACK", "tag=t1,minted=1,remark=filled,lag=1", attempt.Fields["thing"])
}

// received gives what endpoints have read that fits, in the order of its coming.
func (bed *testbed) received(fits func(*receivedRequest) bool) []*receivedRequest {
	return bed.endpoints.Received(fits)
}

// hasWord fits what has a word of the endpoints' protocol.
func hasWord(word string) func(*receivedRequest) bool {
	return func(line *receivedRequest) bool { return line.Word == word }
}

// attempts gives the attempts that endpoints have read.
func (bed *testbed) attempts() []*receivedRequest { return bed.received(hasWord("ASK")) }

// attemptsAt gives the attempts that one endpoint has read.
func (bed *testbed) attemptsAt(id string) []*receivedRequest {
	return bed.received(func(attempt *receivedRequest) bool { return attempt.Word == "ASK" && attempt.Endpoint == id })
}

// lastAttempt is the newest of all attempts.
func (bed *testbed) lastAttempt() *receivedRequest {
	all := bed.attempts()
	return all[len(all)-1]
}

// attemptsOfClass gives the attempts of a class of requests.
func (bed *testbed) attemptsOfClass(class string) []*receivedRequest {
	return bed.received(func(attempt *receivedRequest) bool { return attempt.Fields["profile"] == class })
}

// cancellations gives the QUIT lines that endpoints have read.
func (bed *testbed) cancellations() []*receivedRequest { return bed.received(hasWord("QUIT")) }

// waitAttempts waits until endpoints have read just so many attempts.
func (bed *testbed) waitAttempts(count int) {
	bed.t.Helper()
	what := fmt.Sprint(count, " attempts have reached endpoints")
	bed.waitUntil(what, func() bool { return len(bed.attempts()) == count })
}

// waitFirstAttempt waits until an endpoint has read an attempt.
func (bed *testbed) waitFirstAttempt() {
	bed.t.Helper()
	bed.waitUntil("an attempt has reached an endpoint", func() bool { return len(bed.attempts()) > 0 })
}

// nextReceived is the next attempt that a responder has handed on.
func nextReceived(t *testing.T, received chan *receivedRequest) *receivedRequest {
	t.Helper()
	select {
	case attempt := <-received:
		return attempt
	case <-time.After(waitLimit):
		t.Fatalf("no attempt has reached an endpoint within %v", waitLimit)
		return nil
	}
}

// listenWithFullBacklog gives an address where nothing is accepted and the queue is full, so that dials wait.
func (bed *testbed) listenWithFullBacklog() (address string) {
	bed.t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		bed.t.Fatal(err)
	}
	at := &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}
	if err := errors.Join(syscall.Bind(fd, at), syscall.Listen(fd, 0)); err != nil {
		bed.t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "full")
	bed.fullBacklogListener, err = net.FileListener(file)
	_ = file.Close()
	if err != nil {
		bed.t.Fatal(err)
	}
	bed.t.Cleanup(func() { _ = bed.fullBacklogListener.Close() })
	filler, err := net.Dial("tcp", bed.fullBacklogListener.Addr().String()) // the queue has one place
	if err != nil {
		bed.t.Fatal(err)
	}
	bed.t.Cleanup(func() { _ = filler.Close() })
	return bed.fullBacklogListener.Addr().String()
}

// listenAndClose gives an address where each connection is closed as soon as it has come.
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

// listenWithoutReading gives an address that takes connections and reads nothing until it is sent a channel by read.
// It then reads all connections to their ends, and sends how many complete attempts came on each.
func (bed *testbed) listenWithoutReading() (address string, read chan chan []int) {
	bed.t.Helper()
	listener := bed.listenOn("127.0.0.1:0")
	if raw, err := listener.(*net.TCPListener).SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = setSmallReceiveBuffer(fd) })
	}
	var mu sync.Mutex
	var conns []net.Conn
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
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

// setSmallReceiveBuffer has a socket hold little that was not read.
func setSmallReceiveBuffer(fd uintptr) error {
	return syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
}

// countAttempts counts the attempts that come complete on a connection, until it ends.
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

// readAttempt reads one attempt, and says whether it came complete before the connection ended.
func readAttempt(conn net.Conn) bool {
	r := bufio.NewReaderSize(conn, 16)
	line, err := r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "ASK ") {
		return false
	}
	_, err = r.ReadString('\n')
	return err == nil
}

// channelListener is a listener whose connections come from a channel.
type channelListener struct {
	net.Listener
	conns chan net.Conn
}

// Accept gives the next connection of the channel.
func (l channelListener) Accept() (net.Conn, error) { return <-l.conns, nil }

// serveTLS has an endpoint listen by TLS, with a certificate for a name, where clients must show one of the same
// authority. seen is told the name of each, at every handshake.
func (bed *testbed) serveTLS(authority *emulator.Authority, id, name string, seen func(string)) {
	bed.t.Helper()
	roots := x509.NewCertPool()
	roots.AddCert(authority.Cert)
	config := &tls.Config{ClientCAs: roots, ClientAuth: tls.RequireAndVerifyClientCert,
		Certificates: []tls.Certificate{makeCertificate(bed.t, authority, name)},
		VerifyConnection: func(state tls.ConnectionState) error {
			seen(state.PeerCertificates[0].DNSNames[0])
			return nil
		}}
	listener := bed.listenOn("127.0.0.1:0")
	go bed.endpoints.Serve(id, tls.NewListener(listener, config))
	bed.setListedAddress(id, listener.Addr().String())
}

// startNameServer starts one that knows the records, for endpoints that are listed by name.
func (bed *testbed) startNameServer(records map[string]string) {
	bed.t.Helper()
	var err error
	if bed.nameServer, err = newNameServer(records); err != nil {
		bed.t.Fatal(err)
	}
	bed.t.Cleanup(bed.nameServer.close)
}
