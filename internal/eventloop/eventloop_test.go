package eventloop

import (
	"io"
	"net"
	"testing"
	"time"
)

// partialReader leaves all that comes until it is told to take it.
type partialReader struct {
	lengths chan int
	defers  bool
	takes   bool
	conn    *Conn
}

func (k *partialReader) Opened(c *Conn) { k.conn = c }
func (k *partialReader) Received(c *Conn) {
	n := len(c.In)
	if k.takes {
		c.Consume(n)
	} else if k.defers {
		c.DeferRead()
	}
	k.lengths <- n
}
func (k *partialReader) Closed(*Conn, error) {}

// start runs a loop with one handler for all clients, and gives it with a function that runs tasks on it.
func start(t *testing.T, h Handler) (l *Loop, address string, on func(task func())) {
	t.Helper()
	return startWith(t, h, func() {})
}

// startWith is start with a function for the end of each round.
func startWith(t *testing.T, h Handler, round func()) (l *Loop, address string, on func(task func())) {
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
			func(l *Loop) { l.MemoryLimit = 64 << 20; loops <- l }, round)
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

// TestOutbound: what is left for a peer counts from Send on, before the round has written anything of it, until the
// peer has taken it, also where nothing is sent to it any more.
func TestOutbound(t *testing.T) {
	k := &partialReader{lengths: make(chan int, 100), takes: true}
	l, address, on := start(t, k)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	<-k.lengths
	const much = 5 << 20 // beyond what the sockets hold
	on(func() {
		if k.conn.Send(make([]byte, much)); l.UnsentBytes() != much {
			t.Errorf("%d bytes are on their way before they are written, want %d", l.UnsentBytes(), much)
		}
		if k.conn.Written() != 0 || k.conn.Flushed() != 0 {
			t.Errorf("written %d, flushed %d before the write, want none", k.conn.Written(), k.conn.Flushed())
		}
	})
	left := 0
	for end := time.Now().Add(10 * time.Second); left == 0 || left == much; {
		if time.Sleep(time.Millisecond); time.Now().After(end) {
			t.Fatalf("%d bytes are left of %d after the write, want some", left, much)
		}
		on(func() { left = l.UnsentBytes() })
	}
	on(func() { // what waits may go out as the connection ends
		written, flushed := k.conn.Written(), k.conn.Flushed()
		if written != much || flushed > uint64(much-left) && l.UnsentBytes() == left {
			t.Errorf("written %d, flushed %d of %d with %d left, want all written", written, flushed, much, left)
		}
	})
	if _, err := io.ReadFull(conn, make([]byte, much)); err != nil {
		t.Fatal(err)
	}
	on(func() {
		if l.UnsentBytes() != 0 {
			t.Errorf("%d bytes are on their way after the peer has read all", l.UnsentBytes())
		}
	})
}

// TestInbound: what a handler leaves is counted as it is, in however many parts it came, and no more once it was taken;
// and Redeliver gives it once more.
func TestInbound(t *testing.T) {
	k := &partialReader{lengths: make(chan int, 100)}
	l, address, on := start(t, k)
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	counted := func(want int) {
		t.Helper()
		on(func() {
			if l.partialBytes != want {
				t.Errorf("%d bytes are counted as left, want %d", l.partialBytes, want)
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
			case got = <-k.lengths:
			case <-time.After(10 * time.Second):
				t.Fatalf("the handler has seen %d bytes of %d", got, want)
			}
		}
	}
	for i := 1; i <= 5; i++ {
		send(100, 100*i)
		counted(100 * i)
	}
	on(func() { k.defers = true })
	send(100, 600)
	counted(600)
	on(func() {
		k.takes = true
		k.conn.Redeliver()
	})
	if n := <-k.lengths; n != 600 {
		t.Errorf("once more it sees %d bytes, want 600", n)
	}
	counted(0)
}

// counter counts what comes of all clients. Its fields are the loop's alone.
type counter struct{ opened, bytes, closed int }

func (k *counter) Opened(*Conn) { k.opened++ }
func (k *counter) Received(c *Conn) {
	k.bytes += len(c.In)
	c.Consume(len(c.In))
}
func (k *counter) Closed(*Conn, error) { k.closed++ }

// TestStandstill: the loop stands still while clients come, say something and go. The first round afterwards has all
// of it, though epoll tells of it in parts, and of each end only once the bytes before it were read.
func TestStandstill(t *testing.T) {
	const many = 150
	k := &counter{}
	rounds := make(chan counter, 1000)
	var l *Loop
	l, address, on := startWith(t, k, func() {
		l.WakeAfter(10 * time.Millisecond)
		rounds <- *k
	})
	var conns []net.Conn
	for range many {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	for opened := 0; opened < many; opened = (<-rounds).opened {
	}
	blocked, release := make(chan struct{}), make(chan struct{})
	go on(func() {
		close(blocked)
		<-release
	})
	<-blocked
	for len(rounds) > 0 {
		<-rounds
	}
	time.Sleep(200 * time.Millisecond) // beyond what a busy loop may be late
	for _, conn := range conns {
		if _, err := conn.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		_ = conn.Close()
	}
	close(release)
	if got := <-rounds; got.bytes != many || got.closed != many {
		t.Errorf("the first round has %d bytes and %d ends of %d", got.bytes, got.closed, many)
	}
}
