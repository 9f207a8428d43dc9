package bridge

import (
	"bytes"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sloequay/internal/emulator"
)

const (
	testTimeout   = 10 * time.Second
	shortDraining = 100 * time.Millisecond
)

// relayHarness is a running relay between a socket pair, whose loop's end the test writes to, and a connection that the
// test reads as the remote side.
type relayHarness struct {
	*LoopEnd
	totals *Totals
	remote net.Conn
	ended  chan struct{}
}

// startRelay runs a relay that writes to ours, the other end of remote.
func startRelay(t testing.TB, ours, remote net.Conn, drainTimeout time.Duration) *relayHarness {
	t.Helper()
	relay, loopEnd, err := New(ours, drainTimeout)
	if err != nil {
		t.Fatal(err)
	}
	h := &relayHarness{LoopEnd: loopEnd, totals: &Totals{}, remote: remote, ended: make(chan struct{})}
	relay.Attach(h.totals)
	go func() {
		defer close(h.ended)
		relay.Run()
	}()
	t.Cleanup(func() {
		_ = remote.Close()
		_ = loopEnd.Close()
		<-h.ended
	})
	return h
}

// tcpPair returns both ends of a TCP connection.
func tcpPair(t testing.TB) (ours, remote net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if remote, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if ours, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	return ours, remote
}

// tlsPair returns both ends of a TLS connection.
func tlsPair(t testing.TB) (ours, remote *tls.Conn) {
	t.Helper()
	authority, err := emulator.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	certFile, keyFile, err := authority.Issue("server", "proxy.test")
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		t.Fatal(err)
	}
	rawOurs, rawRemote := tcpPair(t)
	ours = tls.Server(rawOurs, &tls.Config{Certificates: []tls.Certificate{certificate}})
	remote = tls.Client(rawRemote, &tls.Config{InsecureSkipVerify: true}) // the certificate is not under test
	handshake := make(chan error, 1)
	go func() { handshake <- ours.Handshake() }()
	if err := errors.Join(remote.Handshake(), <-handshake); err != nil {
		t.Fatal(err)
	}
	return ours, remote
}

// write writes as the loop does, and reports what it wrote.
func (h *relayHarness) write(data []byte) int {
	_ = h.SetWriteDeadline(time.Now().Add(shortDraining))
	n, _ := h.Write(data)
	h.Relay.Wrote(n)
	return n
}

// fill writes until neither the remote side's system nor the relay takes more, and returns what was written.
func (h *relayHarness) fill() []byte {
	var written []byte
	for chunk := 0; ; chunk++ {
		data := bytes.Repeat([]byte{byte(chunk)}, 64<<10)
		n := h.write(data)
		written = append(written, data[:n]...)
		if n < len(data) {
			return written
		}
	}
}

// closeAsLoop closes the loop's end.
func (h *relayHarness) closeAsLoop() {
	h.Relay.LoopClosed()
	_ = h.Close()
}

// waitEnded fails the test unless the relay ends.
func (h *relayHarness) waitEnded(t testing.TB) {
	t.Helper()
	select {
	case <-h.ended:
	case <-time.After(testTimeout):
		t.Fatalf("the relay has not ended after %v", testTimeout)
	}
	if h.totals.Pending() != 0 || h.totals.Draining() != 0 {
		t.Errorf("got %d bytes pending and %d relays draining after the end, want none",
			h.totals.Pending(), h.totals.Draining())
	}
}

// TestClosedRelayDeliversPendingBytes guards against answers that a slow TLS client does not get, because they stood
// between the event loop and the client when the loop closed the connection: they must count as pending, and be sent
// before close_notify.
func TestClosedRelayDeliversPendingBytes(t *testing.T) {
	ours, remote := tlsPair(t)
	h := startRelay(t, ours, remote, testTimeout)
	written := h.fill()
	if h.Relay.Pending() == 0 || h.totals.Pending() != h.Relay.Pending() || h.Relay.Unsent() == 0 {
		t.Fatalf("got %d bytes pending, %d in total and %d unsent by the system, want some",
			h.Relay.Pending(), h.totals.Pending(), h.Relay.Unsent())
	}
	h.closeAsLoop()
	if h.totals.Draining() != 1 || h.totals.Pending() == 0 {
		t.Fatalf("got %d relays draining with %d bytes after the loop's close, want one with some",
			h.totals.Draining(), h.totals.Pending())
	}
	_ = remote.SetReadDeadline(time.Now().Add(testTimeout))
	got, err := io.ReadAll(remote) // an error unless close_notify follows the last byte
	if err != nil || !bytes.Equal(got, written) {
		t.Errorf("got %d of %d bytes and error %v, want all bytes and close_notify", len(got), len(written), err)
	}
	h.waitEnded(t)
}

// TestHalfClosedRemoteGetsPendingBytes guards against answers that are lost when a TLS client ends its own side of the
// connection and reads on.
func TestHalfClosedRemoteGetsPendingBytes(t *testing.T) {
	ours, remote := tlsPair(t)
	h := startRelay(t, ours, remote, testTimeout)
	written := h.fill()
	if err := remote.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	_ = h.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := h.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatalf("the loop's end: got error %v, want the end of the client's input", err)
	}
	h.closeAsLoop()
	_ = remote.SetReadDeadline(time.Now().Add(testTimeout))
	got, err := io.ReadAll(remote)
	if err != nil || !bytes.Equal(got, written) {
		t.Errorf("got %d of %d bytes and error %v, want all bytes and close_notify", len(got), len(written), err)
	}
}

// TestInputAfterCloseIsDiscarded guards against a client that gets no answers because it writes before it reads, and
// nothing reads its input after the loop has closed the connection.
func TestInputAfterCloseIsDiscarded(t *testing.T) {
	ours, remote := tlsPair(t)
	h := startRelay(t, ours, remote, testTimeout)
	written := h.fill()
	h.closeAsLoop()
	_ = remote.SetDeadline(time.Now().Add(testTimeout))
	const moreThanBuffers = 24 << 20 // bytes
	if _, err := remote.Write(make([]byte, moreThanBuffers)); err != nil {
		t.Fatalf("write after the close: %v", err)
	}
	got, err := io.ReadAll(remote)
	if err != nil || !bytes.Equal(got, written) {
		t.Errorf("got %d of %d bytes and error %v, want all bytes and close_notify", len(got), len(written), err)
	}
}

// TestUnreadInputResetsNothing guards against a reset that drops answers: a socket that is closed with unread input
// resets the connection, and what the client's system has not taken yet is lost.
func TestUnreadInputResetsNothing(t *testing.T) {
	ours, remote := tlsPair(t)
	h := startRelay(t, ours, remote, testTimeout)
	written := h.fill()
	h.closeAsLoop()
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		for chunk := make([]byte, 1<<10); ; {
			if _, err := remote.Write(chunk); err != nil {
				return
			}
		}
	}()
	_ = remote.SetReadDeadline(time.Now().Add(testTimeout))
	var got []byte
	var err error
	for buffer := make([]byte, 64<<10); err == nil; time.Sleep(time.Millisecond) {
		var n int
		n, err = remote.Read(buffer)
		got = append(got, buffer[:n]...)
	}
	if !errors.Is(err, io.EOF) || !bytes.Equal(got, written) {
		t.Errorf("got %d of %d bytes and error %v, want all bytes and close_notify", len(got), len(written), err)
	}
	_ = remote.Close()
	<-writerDone
}

// TestRelayGivesUpOnRemote guards against relays that never end because the remote side takes nothing.
func TestRelayGivesUpOnRemote(t *testing.T) {
	ours, remote := tlsPair(t)
	h := startRelay(t, ours, remote, shortDraining)
	h.fill()
	h.closeAsLoop()
	h.waitEnded(t)
}

// TestAbortedRelaySendsNothing guards against attempts that reach an endpoint long after they were given up: they stood
// between the event loop and an endpoint that did not read.
func TestAbortedRelaySendsNothing(t *testing.T) {
	ours, remote := tlsPair(t)
	h := startRelay(t, ours, remote, testTimeout)
	written := h.fill()
	pending := h.Relay.Pending()
	h.Relay.Abort()
	h.closeAsLoop()
	h.waitEnded(t)
	_ = remote.SetReadDeadline(time.Now().Add(testTimeout))
	got, err := io.ReadAll(remote)
	if err == nil || len(got) > len(written)-pending {
		t.Errorf("got %d of %d bytes, of which %d were pending, and error %v, want none of these and an error",
			len(got), len(written), pending, err)
	}
}

// TestPendingMatchesModel writes and reads random amounts. Whenever the relay is at rest, the pending bytes must be
// those written and not read, as a pipe accepts a byte when it is read.
func TestPendingMatchesModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ours, remote := net.Pipe()
		h := startRelay(t, ours, remote, testTimeout)
		var sent, got []byte
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			if rapid.Bool().Draw(rt, "writes") {
				data := bytes.Repeat([]byte{byte(len(sent))}, rapid.IntRange(1, 20_000).Draw(rt, "size"))
				sent = append(sent, data[:h.write(data)]...)
			} else if len(sent) > len(got) {
				buffer := make([]byte, rapid.IntRange(1, len(sent)-len(got)).Draw(rt, "read"))
				_ = remote.SetReadDeadline(time.Now().Add(testTimeout))
				n, err := io.ReadFull(remote, buffer)
				if err != nil {
					rt.Fatalf("read: %v", err)
				}
				got = append(got, buffer[:n]...)
			}
			// A write to the pipe is accepted when all of it is read, so up to a buffer may still count.
			unread := len(sent) - len(got)
			if pending := h.Relay.Pending(); pending < unread || pending > unread+copyBufferBytes {
				rt.Fatalf("got %d bytes pending, want %d to %d", pending, unread, unread+copyBufferBytes)
			}
		}
		if !bytes.HasPrefix(sent, got) {
			rt.Fatal("the remote side got other bytes than were written")
		}
	})
}
