package eventloop

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"sloequay/internal/eventloop/bridge"
	"sloequay/internal/memory"
)

const relayTestTimeout = 10 * time.Second

// openedHandler reports the connection that it handles.
type openedHandler struct{ opened chan *Conn }

func (h openedHandler) Opened(c *Conn)    { h.opened <- c }
func (openedHandler) Received(c *Conn)    { c.Consume(len(c.In)) }
func (openedHandler) Closed(*Conn, error) {}

// adoptRelayed makes a loop adopt the end of a relay, and returns the connection and the remote side, which accepts a
// byte when it is read.
func adoptRelayed(t *testing.T, loop *Loop) (conn *Conn, remote net.Conn, ended chan struct{}) {
	t.Helper()
	ours, remote := net.Pipe()
	relay, loopEnd, err := bridge.New(ours, relayTestTimeout)
	if err != nil {
		t.Fatal(err)
	}
	handler := openedHandler{make(chan *Conn, 1)}
	if err := loop.Adopt(loopEnd, handler); err != nil {
		t.Fatal(err)
	}
	ended = make(chan struct{})
	go func() {
		defer close(ended)
		relay.Run()
	}()
	t.Cleanup(func() { _ = remote.Close() })
	return <-handler.opened, remote, ended
}

// TestRelayedBytesAreUnsent guards against decisions that take the bytes in a relay for sent: to exit, to close a
// connection, to take on more requests, or to keep the connection of an endpoint that does not read.
func TestRelayedBytesAreUnsent(t *testing.T) {
	loop, _, runOnLoop := startLoop(t, bulkHandler{})
	conn, remote, ended := adoptRelayed(t, loop)
	body := bytes.Repeat([]byte("r"), 100_000) // less than a socket pair holds
	runOnLoop(func() { conn.Send(body) })
	check := func(when string, wantUnsent, wantDraining int) {
		t.Helper()
		runOnLoop(func() {
			if loop.UnsentBytes() != wantUnsent || loop.DrainingRelays() != wantDraining {
				t.Errorf("%s: got %d bytes unsent and %d relays draining, want %d and %d",
					when, loop.UnsentBytes(), loop.DrainingRelays(), wantUnsent, wantDraining)
			}
		})
	}
	runOnLoop(func() {}) // the round with the write is over
	runOnLoop(func() {
		if conn.buffered() != 0 || conn.Unsent() != len(body) || conn.Undelivered() != len(body) ||
			conn.Flushed() != 0 {
			t.Errorf("got %d bytes before the pair, %d unsent, %d undelivered and %d flushed, want 0, %d, %d and 0",
				conn.buffered(), conn.Unsent(), conn.Undelivered(), conn.Flushed(), len(body), len(body))
		}
	})
	check("the remote side has read nothing", len(body), 0)
	runOnLoop(conn.CloseNow)
	check("the loop has closed the connection", len(body), 1)
	_ = remote.SetReadDeadline(time.Now().Add(relayTestTimeout))
	if got, err := io.ReadAll(remote); err != nil || !bytes.Equal(got, body) {
		t.Errorf("got %d of %d bytes and error %v, want all", len(got), len(body), err)
	}
	<-ended
	check("the relay has ended", 0, 0)
}

// TestRelayedBytesCountForLimit guards against memory that a slow reader takes beyond its limit: bytes in a relay are
// part of its unsent bytes.
func TestRelayedBytesCountForLimit(t *testing.T) {
	loop, _, runOnLoop := startLoop(t, bulkHandler{})
	conn, _, _ := adoptRelayed(t, loop)
	body := bytes.Repeat([]byte("r"), 90_000)
	runOnLoop(func() {
		loop.Memory = memory.NewAccount(unsentPerPeerDivisor * len(body) * 3 / 2) // for one body, not for two
		conn.Send(body)
	})
	for _, wantOpen := range []bool{true, false} { // the pair alone would hold both
		runOnLoop(func() {})
		runOnLoop(func() {
			if isOpen := conn.state == connOpen; isOpen != wantOpen {
				t.Errorf("got open %v with %d bytes unsent, want %v", isOpen, conn.Unsent(), wantOpen)
			}
			conn.Send(body)
		})
	}
}

// TestAbortEndsRelay checks that a connection that is aborted sends nothing more and leaves no relay behind.
func TestAbortEndsRelay(t *testing.T) {
	loop, _, runOnLoop := startLoop(t, bulkHandler{})
	conn, remote, ended := adoptRelayed(t, loop)
	runOnLoop(func() { conn.Send(bytes.Repeat([]byte("r"), 100_000)) })
	runOnLoop(func() {})
	runOnLoop(conn.Abort)
	select {
	case <-ended:
	case <-time.After(relayTestTimeout / 2): // before the relay gives up by itself
		t.Fatal("the relay has not ended, want it ended by Abort")
	}
	_ = remote.SetReadDeadline(time.Now().Add(relayTestTimeout))
	if n, err := remote.Read(make([]byte, 1)); err == nil {
		t.Errorf("got %d bytes after Abort, want an error", n)
	}
}
