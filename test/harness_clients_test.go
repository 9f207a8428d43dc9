package test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"sloequay/internal/emulator"
	"sloequay/internal/frontend/rpc/msgpack"
)

// client is an emulator of a client of the platform's front, for a test.
type client struct {
	t        *testing.T
	conn     net.Conn
	protocol *emulator.Client
}

// reply is an answer as the client reads it.
type reply = emulator.Reply

// newClient speaks the clients' protocol on a connection.
func newClient(t *testing.T, conn net.Conn) *client {
	return &client{t: t, conn: conn, protocol: emulator.NewClient(conn)}
}

// dial connects a client, until the test ends.
func (bed *testbed) dial() *client {
	bed.t.Helper()
	c, err := emulator.Dial(bed.address)
	if err != nil {
		bed.t.Fatal(err)
	}
	bed.t.Cleanup(func() { _ = c.Conn.Close() })
	return &client{t: bed.t, conn: c.Conn, protocol: c}
}

// dialSmallBuffer connects a client whose connection holds little that it has not read.
func (bed *testbed) dialSmallBuffer() *client {
	bed.t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		return errors.Join(c.Control(func(fd uintptr) { err = setSmallReceiveBuffer(fd) }), err)
	}}
	conn, err := dialer.Dial("tcp", bed.address)
	if err != nil {
		bed.t.Fatal(err)
	}
	bed.t.Cleanup(func() { _ = conn.Close() })
	return newClient(bed.t, conn)
}

// request builds the frame of one; see emulator.Request.
func request(id uint64, class string, fields map[string]string, body string) []byte {
	return emulator.Request(id, class, fields, body)
}

// hexID writes a number as objects and attempts have their ids.
func hexID[N int | int64 | uint64](number N) string { return fmt.Sprintf("%016x", number) }

// send writes a frame, or a part of one.
func (c *client) send(frame []byte) {
	c.t.Helper()
	if err := c.protocol.Send(frame); err != nil {
		c.t.Fatal(err)
	}
}

// read takes one answer.
func (c *client) read() (reply, error) { return c.protocol.Read(waitLimit) }

// mustRead takes one answer, and fails without it.
func (c *client) mustRead() reply {
	c.t.Helper()
	answer, err := c.read()
	if err != nil {
		c.t.Fatalf("no answer came: %v", err)
	}
	return answer
}

// ask sends a request without a body, and takes the next answer.
func (c *client) ask(id uint64, class string, fields map[string]string) reply {
	c.t.Helper()
	c.send(request(id, class, fields, ""))
	return c.mustRead()
}

// awaitRound asks for the status: once that is answered, the program has read all that the client sent before.
func (c *client) awaitRound(id uint64) {
	c.t.Helper()
	c.ask(id, "status", nil)
}

// requestHead is a request up to the place of its fields.
func requestHead(id uint64) []byte {
	b := msgpack.AppendUint(msgpack.AppendUint(msgpack.AppendArrayHeader(nil, 4), 0), id)
	return msgpack.AppendArrayHeader(msgpack.AppendText(b, "footage"), 2)
}

// requestFlood is that many requests in one piece.
func requestFlood(count int) (frames []byte) {
	for id := range uint64(count) {
		frames = append(frames, request(id+1, "footage", map[string]string{"item": "00000000000000bb"}, "")...)
	}
	return frames
}

// cancelNotice is the notice that takes a request back. Small ids are written in one byte, others in five.
func cancelNotice(id uint64) []byte {
	frame := []byte("\x93\x02\xa8withdraw\x91")
	if id < 128 {
		return append(frame, byte(id))
	}
	return append(frame, 0xce, byte(id>>24), byte(id>>16), byte(id>>8), byte(id))
}

// abandonWays are the ways in which a client leaves a request.
var abandonWays = []struct {
	name    string
	abandon func(c *client, id uint64)
}{
	{"withdraw", func(c *client, id uint64) { c.send(cancelNotice(id)) }},
	{"close", func(c *client, _ uint64) { _ = c.conn.Close() }},
	{"reset", func(c *client, _ uint64) {
		_ = c.conn.(*net.TCPConn).SetLinger(0)
		_ = c.conn.Close()
	}},
	{"half-close", func(c *client, _ uint64) { _ = c.conn.(*net.TCPConn).CloseWrite() }},
}

// abandonNoticed says whether the program knows that a client has left by one of the abandonWays: it answers no more on
// a connection that still is, and closes one that is half closed.
func abandonNoticed(bed *testbed, c *client, way string) bool {
	switch way {
	case "withdraw":
		return c.ask(3, "status", nil).ID == 3
	case "half-close":
		_ = c.conn.SetReadDeadline(time.Now().Add(waitLimit))
		_, err := c.conn.Read(make([]byte, 1))
		return errors.Is(err, io.EOF)
	}
	// Another client that connects and asks afterwards is read in a later round.
	return emulator.Ready(bed.address)
}
