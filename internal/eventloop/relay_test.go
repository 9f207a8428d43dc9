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

// TestUnsentBytesCloseNoConnection guards against answers that are dropped because their connection was closed for
// their size: a peer that reads slowly is sent as much as one connection may carry. The buffers that hold it are
// charged, and are not much larger than it.
func TestUnsentBytesCloseNoConnection(t *testing.T) {
	const answers, answerBytes = 32, 240_000
	loop, _, runOnLoop := startLoop(t, bulkHandler{})
	runOnLoop(func() { loop.Memory = memory.NewAccount(32 << 20) })
	conn, remote, _ := adoptRelayed(t, loop)
	body := bytes.Repeat([]byte("0123456789abcdef"), answerBytes/16)
	for range answers {
		runOnLoop(func() { conn.Send(body) })
	}
	runOnLoop(func() {}) // the round with the last write is over
	runOnLoop(func() {
		charged, unsent := loop.Memory.Reserved(memory.Output), conn.buffered()
		if conn.state != connOpen || unsent < answers*answerBytes/2 || charged < unsent || charged > unsent*5/4 {
			t.Errorf("got state %v with %d bytes unsent in buffers of %d, want it open, and its buffers charged",
				conn.state, unsent, charged)
		}
	})
	got := make([]byte, answers*answerBytes)
	_ = remote.SetReadDeadline(time.Now().Add(relayTestTimeout))
	if n, err := io.ReadFull(remote, got); err != nil || !bytes.Equal(got, bytes.Repeat(body, answers)) {
		t.Errorf("got %d of %d bytes and error %v, want all", n, len(got), err)
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
