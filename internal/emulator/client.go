package emulator

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"time"

	"sloequay/internal/frontend/rpc/msgpack"
)

// Client is an emulated client of the platform's RPC frontend. One goroutine may call Send while another calls Read.
type Client struct {
	Conn    net.Conn
	reader  *bufio.Reader
	partial []byte // what was read of a response before a Read timed out
}

// Dial connects a client to a proxy.
func Dial(address string) (*Client, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return NewClient(conn), nil
}

// NewClient returns a client that uses an established connection.
func NewClient(conn net.Conn) *Client { return &Client{Conn: conn, reader: bufio.NewReader(conn)} }

// Reply is a response as the client decodes it.
type Reply struct {
	ID     uint64 // of the request
	Error  string // the error code; empty if the request was served
	Fields map[string]string
	Body   string
	Ready  bool // the result of the method status
}

// The message types of MessagePack-RPC that a client sends.
const (
	messageRequest      = 0
	messageNotification = 2
)

// statusMethod is the method that a client calls to ask whether a proxy is ready.
const statusMethod = "status"

// Cancellation returns the frame of the notification that the client no longer waits for the response to a message.
func Cancellation(id uint64) []byte {
	frame := msgpack.AppendArrayHeader(nil, 3)
	frame = msgpack.AppendUint(frame, messageNotification)
	frame = msgpack.AppendText(frame, "withdraw")
	frame = msgpack.AppendArrayHeader(frame, 1)
	return msgpack.AppendUint(frame, id)
}

// Request returns the frame of a request. fields override or extend those of a valid request for object
// 7f3a9c21e0b4d655. The method status takes neither fields nor a body.
func Request(id uint64, method string, fields map[string]string, body string) []byte {
	frame := msgpack.AppendArrayHeader(nil, 4)
	frame = msgpack.AppendUint(frame, messageRequest)
	frame = msgpack.AppendUint(frame, id)
	frame = msgpack.AppendText(frame, method)
	if method == statusMethod {
		return msgpack.AppendMapHeader(msgpack.AppendArrayHeader(frame, 1), 0)
	}
	allFields := map[string]string{"txn": fmt.Sprintf("%016x", id), "limit": "2000", "item": "7f3a9c21e0b4d655",
		"nth": "0", "batch": "3", "ram": "40"}
	maps.Copy(allFields, fields)
	frame = msgpack.AppendMapHeader(msgpack.AppendArrayHeader(frame, 2), len(allFields))
	for name, value := range allFields {
		frame = msgpack.AppendText(frame, name)
		frame = msgpack.AppendText(frame, value)
	}
	return msgpack.AppendBinary(frame, []byte(body))
}

// Send writes a frame.
func (c *Client) Send(frame []byte) error {
	_, err := c.Conn.Write(frame)
	return err
}

// Read reads one response, and waits for it up to the timeout. If it times out in the middle of a response, the next
// Read continues there.
func (c *Client) Read(timeout time.Duration) (Reply, error) {
	_ = c.Conn.SetReadDeadline(time.Now().Add(timeout))
	for {
		next, err := c.reader.ReadByte()
		if err != nil {
			return Reply{}, err
		}
		c.partial = append(c.partial, next)
		if reply, ok := parseReply(c.partial); ok {
			c.partial = c.partial[:0]
			return reply, nil
		}
	}
}

// The first bytes of MessagePack values that distinguish the kinds of responses.
const (
	formatNil   = 0xc0
	formatFalse = 0xc2
	formatTrue  = 0xc3
)

// The longest values of a response, in bytes.
const (
	maxErrorLength = 100
	maxFieldLength = 1000
	maxBodyLength  = 1 << 20
)

// parseReply decodes a response; ok reports whether data holds a whole one.
func parseReply(data []byte) (reply Reply, ok bool) {
	reader := msgpack.Reader{Data: data}
	reader.ArrayHeader()
	reader.Uint()
	reply = Reply{ID: reader.Uint(), Fields: map[string]string{}}
	if reader.Err != nil || reader.Pos >= len(data) {
		return reply, false
	}
	failed := data[reader.Pos] != formatNil
	if !failed {
		reader.Skip()
	}
	reader.ArrayHeader()
	switch {
	case failed:
		reply.Error = string(reader.Text(maxErrorLength))
	case nextIsBool(&reader):
		reply.Ready = data[reader.Pos] == formatTrue
		reader.Skip()
	default:
		reply.Body = string(reader.Binary(maxBodyLength))
	}
	for n := reader.MapHeader(); n > 0 && reader.Err == nil; n-- {
		reply.Fields[string(reader.Text(maxFieldLength))] = string(reader.Text(maxFieldLength))
	}
	if failed {
		reader.Skip()
	}
	return reply, reader.Err == nil
}

// nextIsBool reports whether the next value is a boolean, as in the response to the method status.
func nextIsBool(reader *msgpack.Reader) bool {
	if reader.Err != nil || reader.Pos >= len(reader.Data) {
		return false
	}
	format := reader.Data[reader.Pos]
	return format == formatFalse || format == formatTrue
}

// Ready asks a proxy for its status and reports whether it answers within a second that it is ready.
func Ready(address string) bool {
	client, err := Dial(address)
	if err != nil {
		return false
	}
	defer client.Conn.Close()
	if client.Send(Request(1, statusMethod, nil, "")) != nil {
		return false
	}
	reply, err := client.Read(time.Second)
	return err == nil && reply.Ready
}
