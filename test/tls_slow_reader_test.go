package test

import (
	"crypto/tls"
	"errors"
	"io"
	"strings"
	"testing"
	"time"
)

// slowTLSReader is a TLS client that has requested answers that exceed the system's socket buffers by less than a
// socket pair holds, and reads nothing yet.
type slowTLSReader struct {
	*tlsTestbed
	*client
	answers int
	body    string // of each answer
	socket  string // the operators' socket
}

// newSlowTLSReader starts a program, and returns when it has answered all requests of the client. The bytes that the
// client's system has not taken must count as unsent.
func newSlowTLSReader(t *testing.T) *slowTLSReader {
	t.Helper()
	const (
		answers   = 8
		bodyBytes = 25_000
		minUnsent = 50_000 // of the 200,000; less than a socket pair holds
	)
	s := &slowTLSReader{answers: answers, body: strings.Repeat("x", bodyBytes)}
	s.tlsTestbed = newTLSTestbed(t, func(attempt *receivedRequest) { attempt.Answer("ACK", "tag=t1", s.body) })
	s.socket = socketPath(t)
	s.addSettings("control " + s.socket)
	s.start()
	conn := tls.Client(dialWithOptions(t, s.tlsAddress, setSmallBuffers), s.clientConfig("lane3.lanes.test"))
	if err := conn.Handshake(); err != nil {
		t.Fatal(err)
	}
	s.client = newClient(t, conn)
	for id := range uint64(answers) {
		s.client.send(request(id, "lookup", map[string]string{"item": hexID(id + 1)}, ""))
	}
	s.waitAttempts(answers)
	s.waitUntil("no request is open", func() bool { return s.stateCounts(s.socket)["pool.0.open"] == 0 })
	if unsent := s.stateCounts(s.socket)["unsent"]; unsent < minUnsent {
		t.Errorf("got %d bytes unsent, want at least %d", unsent, minUnsent)
	}
	return s
}

// expectAllAnswers fails the test unless the client gets all answers.
func (s *slowTLSReader) expectAllAnswers() {
	t := s.client.t
	t.Helper()
	for n := range s.answers {
		answer, err := s.client.read()
		if err != nil || answer.Body != s.body {
			t.Fatalf("answer %d of %d: got %d bytes, error code %q and error %v, want %d bytes",
				n+1, s.answers, len(answer.Body), answer.Error, err, len(s.body))
		}
	}
}

// expectCloseNotify fails the test unless the connection ends by close_notify, not by a cut.
func (s *slowTLSReader) expectCloseNotify() {
	t := s.client.t
	t.Helper()
	_ = s.client.conn.SetReadDeadline(time.Now().Add(waitLimit))
	if _, err := s.client.conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("after the last answer: got error %v, want the end by close_notify", err)
	}
}

// TestSlowTLSReaderAtShutdown guards against answers that a planned restart cuts off: they had left the event loop and
// stood in the socket pair to the TLS connection, where they counted as sent.
func TestSlowTLSReaderAtShutdown(t *testing.T) {
	t.Parallel()
	s := newSlowTLSReader(t)
	at := s.terminate()
	time.Sleep(time.Until(at.Add(1200 * time.Millisecond))) // with nothing unsent the program exits before
	s.expectAllAnswers()
	s.expectCloseNotify()
	s.waitExit()
	if !s.logged("event=stopped open=0 clients=0 unsent=0") {
		t.Error("the log has no event stopped without clients and unsent bytes, want one")
	}
}

// TestSlowTLSReaderThatEndsItsSide guards against answers that are cut off when a TLS client has sent close_notify and
// reads on. What the event loop has written by then is sent, as on a TCP connection.
func TestSlowTLSReaderThatEndsItsSide(t *testing.T) {
	t.Parallel()
	s := newSlowTLSReader(t)
	if err := s.client.conn.(*tls.Conn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	s.waitUntil("the program has closed the connection", func() bool { return s.stateCounts(s.socket)["clients"] == 0 })
	s.expectAllAnswers()
	s.expectCloseNotify()
}
