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

// receivedRequest is one line that a stand-in box has read.
type receivedRequest = emulator.ReceivedRequest

// received gives what the boxes have heard that fits.
func (w *testbed) received(fits func(*receivedRequest) bool) []*receivedRequest {
	return w.endpoints.Received(fits)
}

func hasWord(word string) func(*receivedRequest) bool {
	return func(a *receivedRequest) bool { return a.Word == word }
}

// nextReceived is the next attempt that a box has read.
func nextReceived(t *testing.T, held chan *receivedRequest) *receivedRequest {
	t.Helper()
	select {
	case a := <-held:
		return a
	case <-time.After(waitLimit):
		t.Fatal("no attempt reaches a box")
		return nil
	}
}

func (w *testbed) setResponder(script func(*receivedRequest)) { w.endpoints.Script(script) }

// answerFilled is a script by which caches hold nothing: each request is filled.
func answerFilled(a *receivedRequest) {
	if a.Fields["via"] == "" && a.Endpoint[0] == 'c' {
		a.Answer("NOENT", "-", "")
		return
	}
	a.Answer("ACK", "tag=t1,minted=1,remark=filled,lag=1", a.Fields["thing"])
}

// listenWithFullBacklog gives an address where nothing is accepted and the queue is full, so that dials wait.
func (w *testbed) listenWithFullBacklog() (address string) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		w.t.Fatal(err)
	}
	at := &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}
	if err := errors.Join(syscall.Bind(fd, at), syscall.Listen(fd, 0)); err != nil {
		w.t.Fatal(err)
	}
	file := os.NewFile(uintptr(fd), "full")
	w.fullListener, err = net.FileListener(file)
	_ = file.Close()
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = w.fullListener.Close() })
	filler, err := net.Dial("tcp", w.fullListener.Addr().String()) // the queue has one place
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = filler.Close() })
	return w.fullListener.Addr().String()
}

// listenWithoutReading is a box that takes connections and reads nothing until it is let.
func (w *testbed) listenWithoutReading() (address string, read chan chan []int) {
	w.t.Helper()
	ln := w.listenOn("127.0.0.1:0")
	if raw, err := ln.(*net.TCPListener).SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}
	var mu sync.Mutex
	var conns []net.Conn
	go func() {
		for {
			conn, err := ln.Accept()
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
		var whole []int
		for _, conn := range conns {
			_ = conn.SetReadDeadline(time.Now().Add(time.Second))
			whole = append(whole, countAttempts(conn))
		}
		out <- whole
	}()
	return ln.Addr().String(), read
}

// countAttempts counts the attempts that come whole on a connection, until it ends.
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

// readAttempt reads one attempt, and says whether one came whole before the connection ended.
func readAttempt(conn net.Conn) int {
	r := bufio.NewReaderSize(conn, 16)
	line, err := r.ReadString('\n')
	if err == nil && strings.HasPrefix(line, "ASK ") {
		if _, err = r.ReadString('\n'); err == nil {
			return 1
		}
	}
	return 0
}

// channelListener is a listener whose connections come from a channel.
type channelListener struct {
	net.Listener
	conns chan net.Conn
}

func (h channelListener) Accept() (net.Conn, error) { return <-h.conns, nil }

// swappableCertificate is a certificate that a stand-in box can change while it runs.
type swappableCertificate struct {
	mu   sync.Mutex
	pair tls.Certificate
}

func (s *swappableCertificate) set(p tls.Certificate) {
	s.mu.Lock()
	s.pair = p
	s.mu.Unlock()
}

// serveTLS has a box listen by TLS, with a certificate for a name, where clients must show one of the same authority. seen
// is told the name of each.
func (w *testbed) serveTLS(ca *emulator.Authority, id, name string, seen func(string)) *swappableCertificate {
	w.t.Helper()
	s := &swappableCertificate{}
	s.set(w.certificate(ca, name))
	roots := x509.NewCertPool()
	roots.AddCert(ca.Cert)
	cfg := &tls.Config{ClientCAs: roots, ClientAuth: tls.RequireAndVerifyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			p := s.pair
			return &p, nil
		},
		VerifyConnection: func(c tls.ConnectionState) error {
			seen(c.PeerCertificates[0].DNSNames[0])
			return nil
		}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = ln.Close() })
	go w.endpoints.Serve(id, tls.NewListener(ln, cfg))
	for _, h := range w.listed {
		if h["host"] == id {
			h["dial"] = ln.Addr().String()
		}
	}
	return s
}

// startNameServer is a stand-in for the name server that knows boxes listed by name.
func (w *testbed) startNameServer(records map[string]string) {
	var err error
	if w.nameServer, err = emulator.NewNameServer(records); err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(w.nameServer.Close)
	w.resolver = w.nameServer.Address()
}
