package test

import (
	"errors"
	"io"
	"net"
	"slices"
	"syscall"
	"testing"
	"time"

	"sloequay/internal/emulator"
	"sloequay/internal/frontend/rpc/msgpack"
)

// client is a stand-in for a client of the platform's front, for a test.
type client struct {
	t        *testing.T
	conn     net.Conn
	protocol *emulator.Client
}

func (w *testbed) dial() *client {
	w.t.Helper()
	c, err := emulator.Dial(w.address)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = c.Conn.Close() })
	return &client{t: w.t, conn: c.Conn, protocol: c}
}

// dialSmallBuffer is a client whose connection holds little that it has not read.
func (w *testbed) dialSmallBuffer() *client {
	w.t.Helper()
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		return errors.Join(c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		}), err)
	}}
	conn, err := d.Dial("tcp", w.address)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = conn.Close() })
	return &client{t: w.t, conn: conn, protocol: emulator.NewClient(conn)}
}

func (c *client) send(b []byte) {
	c.t.Helper()
	if err := c.protocol.Send(b); err != nil {
		c.t.Fatal(err)
	}
}

// read takes one answer.
func (c *client) read() (reply, error) { return c.protocol.Read(waitLimit) }

// mustRead reads one answer and fails without it.
func (c *client) mustRead() reply {
	c.t.Helper()
	a, err := c.read()
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	return a
}

// reply is an answer as the client reads it.
type reply = emulator.Reply

// request builds a frame; see standin.Request.
var request = emulator.Request

// requestHead is a request up to the place of its fields.
func requestHead(id uint64) []byte {
	b := msgpack.AppendUint(msgpack.AppendUint(msgpack.AppendArray(nil, 4), 0), id)
	return msgpack.AppendArray(msgpack.AppendText(b, "footage"), 2)
}

func requestFlood(n int) (b []byte) {
	for id := range uint64(n) {
		b = append(b, request(id+1, "footage", map[string]string{"item": "00000000000000bb"}, "")...)
	}
	return b
}

func withdrawal(id uint64) []byte {
	b := []byte("\x93\x02\xa8withdraw\x91\xce")
	return append(b, byte(id>>24), byte(id>>16), byte(id>>8), byte(id))
}

// withdraw is the notice that takes a request back.
func withdraw(id byte) []byte {
	return slices.Concat([]byte{0x93, 2, 0xa8}, []byte("withdraw"), []byte{0x91, id})
}

// leaveWays are the ways in which a client leaves a request.
var leaveWays = []struct {
	name  string
	leave func(c *client, id byte)
}{
	{"withdraw", func(c *client, id byte) { c.send(withdraw(id)) }},
	{"close", func(c *client, _ byte) { _ = c.conn.Close() }},
	{"reset", func(c *client, _ byte) {
		_ = c.conn.(*net.TCPConn).SetLinger(0)
		_ = c.conn.Close()
	}},
	{"half-close", func(c *client, _ byte) { _ = c.conn.(*net.TCPConn).CloseWrite() }},
}

// leaveNoticed says whether the program knows that the client has left: it answers no more on a connection that still is, and closes one that is
// half closed.
func leaveNoticed(w *testbed, c *client, way string) bool {
	switch way {
	case "withdraw":
		c.send(request(3, "status", nil, ""))
		return c.mustRead().ID == 3
	case "half-close":
		_ = c.conn.SetReadDeadline(time.Now().Add(waitLimit))
		_, err := c.conn.Read(make([]byte, 1))
		return err == io.EOF
	}
	// Another client that connects and asks afterwards is read in a later round.
	return emulator.Ready(w.address)
}
