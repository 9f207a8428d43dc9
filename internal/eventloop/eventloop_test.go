package eventloop

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"

	"sloequay/internal/memory"
)

// retainingHandler consumes nothing until consumes is set. It reports the length of each delivery.
type retainingHandler struct {
	lengths     chan int
	defersReads bool
	consumes    bool
	conn        *Conn
}

func (h *retainingHandler) Opened(c *Conn) { h.conn = c }
func (h *retainingHandler) Received(c *Conn) {
	n := len(c.In)
	if h.consumes {
		c.Consume(n)
	} else if h.defersReads {
		c.DeferRead()
	}
	h.lengths <- n
}
func (h *retainingHandler) Closed(*Conn, error) {}

// startLoop runs a loop with one handler for all clients, and returns it with a function that runs a task on the loop
// and waits for it.
func startLoop(t *testing.T, h Handler) (l *Loop, address string, runOnLoop func(task func())) {
	t.Helper()
	return startLoopWithRounds(t, h, func() {})
}

// startLoopWithRounds is like startLoop, with a function that is called at the end of each round.
func startLoopWithRounds(
	t *testing.T, h Handler, endRound func(),
) (l *Loop, address string, runOnLoop func(task func())) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address = ln.Addr().String()
	_ = ln.Close()
	loops, ended := make(chan *Loop, 1), make(chan error, 1)
	go func() {
		ended <- Run([]Listener{{Network: "tcp", Address: address, Accept: func(net.Addr) Handler { return h }}},
			func(l *Loop) { l.Memory = memory.NewAccount(64 << 20); loops <- l }, endRound)
	}()
	select {
	case l = <-loops:
	case err := <-ended:
		t.Fatal(err)
	}
	t.Cleanup(func() {
		l.Stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return l, address, func(task func()) {
		done := make(chan struct{})
		l.Post(func() { task(); close(done) })
		<-done
	}
}

// TestUnsentBytesCountUntilPeerReads checks that bytes count as unsent from Send on, before the round writes any of
// them, until the peer has read them, even if nothing more is sent to it.
func TestUnsentBytesCountUntilPeerReads(t *testing.T) {
	handler := &retainingHandler{lengths: make(chan int, 100), consumes: true}
	l, address, runOnLoop := startLoop(t, handler)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	<-handler.lengths
	const size = 5 << 20 // more than the socket buffers hold
	runOnLoop(func() {
		if handler.conn.Send(make([]byte, size)); l.UnsentBytes() != size {
			t.Errorf("UnsentBytes before the write: got %d, want %d", l.UnsentBytes(), size)
		}
		if handler.conn.Written() != 0 || handler.conn.Flushed() != 0 {
			t.Errorf("before the write: got written %d, flushed %d, want 0 and 0",
				handler.conn.Written(), handler.conn.Flushed())
		}
	})
	unsent := 0
	for end := time.Now().Add(10 * time.Second); unsent == 0 || unsent == size; {
		if time.Sleep(time.Millisecond); time.Now().After(end) {
			t.Fatalf("UnsentBytes after the write: got %d of %d, want only a part", unsent, size)
		}
		runOnLoop(func() { unsent = l.UnsentBytes() })
	}
	runOnLoop(func() { // Written includes unsent bytes, which may be sent when the connection closes
		written, flushed := handler.conn.Written(), handler.conn.Flushed()
		if written != size || flushed > uint64(size-unsent) && l.UnsentBytes() == unsent {
			t.Errorf("got written %d, flushed %d of %d bytes with %d unsent, want all written, no unsent byte flushed",
				written, flushed, size, unsent)
		}
	})
	if _, err := io.ReadFull(conn, make([]byte, size)); err != nil {
		t.Fatal(err)
	}
	runOnLoop(func() {
		if l.UnsentBytes() != 0 {
			t.Errorf("UnsentBytes after the peer has read all: got %d, want 0", l.UnsentBytes())
		}
	})
}

// TestUnconsumedBytesAreCountedAndRedelivered checks that bytes that a handler does not consume are counted, in however
// many parts they arrived, until they are consumed, and that Redeliver delivers them again.
func TestUnconsumedBytesAreCountedAndRedelivered(t *testing.T) {
	handler := &retainingHandler{lengths: make(chan int, 100)}
	l, address, runOnLoop := startLoop(t, handler)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	checkUnconsumed := func(want int) {
		t.Helper()
		runOnLoop(func() {
			if l.unconsumedBytes != want {
				t.Errorf("got %d unconsumed bytes, want %d", l.unconsumedBytes, want)
			}
		})
	}
	send := func(n, want int) {
		t.Helper()
		if _, err := conn.Write(make([]byte, n)); err != nil {
			t.Fatal(err)
		}
		for got := 0; got < want; {
			select {
			case got = <-handler.lengths:
			case <-time.After(10 * time.Second):
				t.Fatalf("got %d bytes delivered, want %d", got, want)
			}
		}
	}
	for i := 1; i <= 5; i++ {
		send(100, 100*i)
		checkUnconsumed(100 * i)
	}
	runOnLoop(func() { handler.defersReads = true })
	send(100, 600)
	checkUnconsumed(600)
	runOnLoop(func() {
		handler.consumes = true
		handler.conn.Redeliver()
	})
	if n := <-handler.lengths; n != 600 {
		t.Errorf("got %d bytes redelivered, want 600", n)
	}
	checkUnconsumed(0)
}

// eventCounter counts the events of all clients. Its fields are accessed only on the loop.
type eventCounter struct{ opened, bytes, closed int }

func (h *eventCounter) Opened(*Conn) { h.opened++ }
func (h *eventCounter) Received(c *Conn) {
	h.bytes += len(c.In)
	c.Consume(len(c.In))
}
func (h *eventCounter) Closed(*Conn, error) { h.closed++ }

// TestFirstRoundAfterStandstillHasAllEvents blocks the loop while its clients send a byte and disconnect. The next
// round must have all of these events, although epoll reports them in batches, and each close only after the bytes
// before it were read.
func TestFirstRoundAfterStandstillHasAllEvents(t *testing.T) {
	const clients = 150
	handler := &eventCounter{}
	rounds := make(chan eventCounter, 1000)
	var l *Loop
	l, address, runOnLoop := startLoopWithRounds(t, handler, func() {
		l.WakeAfter(10 * time.Millisecond)
		rounds <- *handler
	})
	var conns []net.Conn
	for range clients {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	for opened := 0; opened < clients; opened = (<-rounds).opened {
	}
	blocked, release := make(chan struct{}), make(chan struct{})
	go runOnLoop(func() {
		close(blocked)
		<-release
	})
	<-blocked
	for len(rounds) > 0 {
		<-rounds
	}
	time.Sleep(200 * time.Millisecond) // longer than standstill.Tolerance
	for _, conn := range conns {
		if _, err := conn.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		_ = conn.Close()
	}
	close(release)
	if got := <-rounds; got.bytes != clients || got.closed != clients {
		t.Errorf("first round: got %d bytes and %d closed connections, want %d each", got.bytes, got.closed, clients)
	}
}

// TestInputEndsClosingConnection guards against floods that delay the end of a round: connections that were to be
// closed at its end were read from until then, which took longer the more they sent.
func TestInputEndsClosingConnection(t *testing.T) {
	handler := &retainingHandler{lengths: make(chan int, 100), consumes: true}
	l, address, runOnLoop := startLoop(t, handler)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	<-handler.lengths
	runOnLoop(func() {
		handler.conn.Close()
		if action := l.OnTraffic(handler.conn.sock); action != gnet.Close {
			t.Errorf("input on a closing connection: got action %v, want %v", action, gnet.Close)
		}
	})
}

// reservingHandler consumes nothing, and covers a number of the bytes by its own charges.
type reservingHandler struct{ reserved int }

func (h *reservingHandler) Opened(*Conn)        {}
func (h *reservingHandler) Received(c *Conn)    { c.ReserveInput(h.reserved) }
func (h *reservingHandler) Closed(*Conn, error) {}

// TestExcessInputCloses checks that a connection with too much unconsumed input is closed and reported while the memory
// account is exceeded. It guards against a close for input that its handler has reserved, such as an endpoint's answer.
func TestExcessInputCloses(t *testing.T) {
	const inputBytes = 2 * maxExcessInput
	for _, reserved := range []int{0, inputBytes} {
		loop, address, runOnLoop := startLoop(t, &reservingHandler{reserved})
		reports := make(chan int, 1)
		runOnLoop(func() {
			loop.OnExcessInput = func(_ net.Addr, bytes int) { reports <- bytes }
			loop.Memory.NewCharge(memory.Requests, loop.Memory.Limit()+1)
		})
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := conn.Write(make([]byte, inputBytes)); err != nil && reserved > 0 {
			t.Fatal(err)
		}
		if reserved == 0 {
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			if _, err := conn.Read(make([]byte, 1)); err == nil {
				t.Error("got a byte, want the end of the connection")
			}
			if bytes := <-reports; bytes <= maxExcessInput {
				t.Errorf("got a close reported at %d bytes, want more than %d", bytes, maxExcessInput)
			}
			continue
		}
		received := 0
		for end := time.Now().Add(10 * time.Second); received < inputBytes && time.Now().Before(end); {
			runOnLoop(func() { received = loop.unconsumedBytes })
		}
		if received != inputBytes || len(reports) > 0 {
			t.Errorf("got %d bytes received and %d closes, want %d and none", received, len(reports), inputBytes)
		}
	}
}
