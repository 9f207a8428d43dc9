package loop

import (
	"net"
	"testing"
	"time"
)

// keeper leaves all that comes until it is told to take it.
type keeper struct {
	lengths chan int
	later   bool
	take    bool
	conn    *Conn
}

func (k *keeper) Opened(c *Conn) { k.conn = c }
func (k *keeper) Received(c *Conn) {
	n := len(c.In)
	if k.take {
		c.Used(n)
	} else if k.later {
		c.Later()
	}
	k.lengths <- n
}
func (k *keeper) Closed(*Conn, error) {}

// TestInbound: what a handler leaves is counted as it is, in however many parts it came, and no more once it was taken; and
// Again gives it once more.
func TestInbound(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	_ = ln.Close()
	k := &keeper{lengths: make(chan int, 100)}
	loops, ended := make(chan *Loop, 1), make(chan error, 1)
	go func() {
		ended <- Run([]Listener{{Network: "tcp", Address: address, Accept: func(net.Addr) Handler { return k }}},
			func(l *Loop) { l.Memory = 64 << 20; loops <- l }, func() {})
	}()
	var l *Loop
	select {
	case l = <-loops:
	case err := <-ended:
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	on := func(task func()) { // on the loop
		done := make(chan struct{})
		l.Post(func() { task(); close(done) })
		<-done
	}
	counted := func(want int) {
		t.Helper()
		on(func() {
			if l.inbound != want {
				t.Errorf("%d bytes are counted as left, want %d", l.inbound, want)
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
	on(func() { k.later = true })
	send(100, 600)
	counted(600)
	on(func() {
		k.take = true
		k.conn.Again()
	})
	if n := <-k.lengths; n != 600 {
		t.Errorf("once more it sees %d bytes, want 600", n)
	}
	counted(0)
	l.Stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
