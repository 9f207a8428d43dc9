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

// client is an emulated client of the platform's frontend, bound to a test.
type client struct {
	t        *testing.T
	conn     net.Conn
	protocol *emulator.Client
}

// reply is a response as the client reads it.
type reply = emulator.Reply

// newClient returns a client that speaks the frontend's protocol on an established connection.
func newClient(t *testing.T, conn net.Conn) *client {
	return &client{t: t, conn: conn, protocol: emulator.NewClient(conn)}
}

// dial connects a client. The connection is closed when the test ends.
func (bed *testbed) dial() *client {
	bed.t.Helper()
	c, err := emulator.Dial(bed.address)
	if err != nil {
		bed.t.Fatal(err)
	}
	bed.t.Cleanup(func() { _ = c.Conn.Close() })
	return &client{t: bed.t, conn: c.Conn, protocol: c}
}

// dialSmallBuffer connects a client with a small receive buffer, so that the program cannot send it much more than it
// has read.
func (bed *testbed) dialSmallBuffer() *client {
	bed.t.Helper()
	return newClient(bed.t, dialWithOptions(bed.t, bed.address, setSmallReceiveBuffer))
}

// dialWithOptions connects to an address with socket options. The connection is closed when the test ends.
func dialWithOptions(t *testing.T, address string, set func(fd uintptr) error) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		return errors.Join(c.Control(func(fd uintptr) { err = set(fd) }), err)
	}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// setSmallBuffers limits how much unread data the sockets of both sides hold: the system sizes the send buffer of the
// other side by the segments that this one accepts.
func setSmallBuffers(fd uintptr) error {
	const smallSegment = 536 // bytes
	return errors.Join(setSmallReceiveBuffer(fd),
		syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, smallSegment))
}

// request returns the frame of a request; see emulator.Request.
func request(id uint64, class string, fields map[string]string, body string) []byte {
	return emulator.Request(id, class, fields, body)
}

// hexID formats a number as the id of an object or an attempt: 16 hexadecimal digits.
func hexID[N int | int64 | uint64](number N) string { return fmt.Sprintf("%016x", number) }

// send writes a frame, or a part of one, to the connection.
func (c *client) send(frame []byte) {
	c.t.Helper()
	if err := c.protocol.Send(frame); err != nil {
		c.t.Fatal(err)
	}
}

// read reads the next response, and gives up after waitLimit.
func (c *client) read() (reply, error) { return c.protocol.Read(waitLimit) }

// mustRead reads the next response, and fails the test if there is none.
func (c *client) mustRead() reply {
	c.t.Helper()
	answer, err := c.read()
	if err != nil {
		c.t.Fatalf("read response: %v", err)
	}
	return answer
}

// call sends a request without a body and returns the next response.
func (c *client) call(id uint64, class string, fields map[string]string) reply {
	c.t.Helper()
	c.send(request(id, class, fields, ""))
	return c.mustRead()
}

// waitRequestsRead waits until the program has read all that the client has sent: it sends a status request, which is
// answered only after everything before it was read.
func (c *client) waitRequestsRead(id uint64) {
	c.t.Helper()
	c.call(id, "status", nil)
}

// requestPrefix returns the frame of a request up to its fields, which the caller appends.
func requestPrefix(id uint64) []byte {
	b := msgpack.AppendUint(msgpack.AppendUint(msgpack.AppendArrayHeader(nil, 4), 0), id)
	return msgpack.AppendArrayHeader(msgpack.AppendText(b, "footage"), 2)
}

// requestBatch returns the frames of count requests, to be sent in one write.
func requestBatch(count int) (frames []byte) {
	for id := range uint64(count) {
		frames = append(frames, request(id+1, "footage", map[string]string{"item": "00000000000000bb"}, "")...)
	}
	return frames
}

// cancelNotification returns the frame of the notification that cancels a request. It encodes ids below 128 in one
// byte and others in five.
func cancelNotification(id uint64) []byte {
	frame := []byte("\x93\x02\xa8withdraw\x91")
	if id < 128 {
		return append(frame, byte(id))
	}
	return append(frame, 0xce, byte(id>>24), byte(id>>16), byte(id>>8), byte(id))
}

// abandonWays are the ways in which a client can abandon a request.
var abandonWays = []struct {
	name    string
	abandon func(c *client, id uint64)
}{
	{"withdraw", func(c *client, id uint64) { c.send(cancelNotification(id)) }},
	{"close", func(c *client, _ uint64) { _ = c.conn.Close() }},
	{"reset", func(c *client, _ uint64) {
		_ = c.conn.(*net.TCPConn).SetLinger(0)
		_ = c.conn.Close()
	}},
	{"half-close", func(c *client, _ uint64) { _ = c.conn.(*net.TCPConn).CloseWrite() }},
}

// abandonNoticed reports whether the program has noticed that a client abandoned a request in one of the abandonWays.
// After a cancellation the next response on the connection must be to a later request, and a half-closed connection
// must be closed by the program.
func abandonNoticed(bed *testbed, c *client, way string) bool {
	switch way {
	case "withdraw":
		return c.call(3, "status", nil).ID == 3
	case "half-close":
		_ = c.conn.SetReadDeadline(time.Now().Add(waitLimit))
		_, err := c.conn.Read(make([]byte, 1))
		return errors.Is(err, io.EOF)
	}
	// The program reads a client that connects now in a later round than the close or reset.
	return emulator.Ready(bed.address)
}
