package emulator

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"time"

	"sloequay/internal/frontend/rpc/msgpack"
)

// Client plays a client of the platform's front. Send and Read may be called from two goroutines.
type Client struct {
	Conn    net.Conn
	reader  *bufio.Reader
	partial []byte // of an answer that was not complete when a Read gave up
}

// Dial connects to a proxy.
func Dial(address string) (*Client, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return NewClient(conn), nil
}

// NewClient speaks on a connection that is up.
func NewClient(conn net.Conn) *Client { return &Client{Conn: conn, reader: bufio.NewReader(conn)} }

// Reply is an answer as the client reads it.
type Reply struct {
	ID     uint64
	Error  string // empty: served
	Fields map[string]string
	Body   string
	Ready  bool // of the method status
}

// The types of messages, as MessagePack-RPC has them.
const (
	messageRequest = 0
	messageNotice  = 2
)

// statusMethod is the method that asks whether a proxy is ready.
const statusMethod = "status"

// Cancellation is the notice that nobody waits for the answer to a message any more.
func Cancellation(id uint64) []byte {
	frame := msgpack.AppendArrayHeader(nil, 3)
	frame = msgpack.AppendUint(frame, messageNotice)
	frame = msgpack.AppendText(frame, "withdraw")
	frame = msgpack.AppendArrayHeader(frame, 1)
	return msgpack.AppendUint(frame, id)
}

// Request builds a frame; fields override those of a sound request for object 7f3a9c21e0b4d655.
func Request(id uint64, method string, fields map[string]string, body string) []byte {
	frame := msgpack.AppendArrayHeader(nil, 4)
	frame = msgpack.AppendUint(frame, messageRequest)
	frame = msgpack.AppendUint(frame, id)
	frame = msgpack.AppendText(frame, method)
	if method == statusMethod {
		return msgpack.AppendMapHeader(msgpack.AppendArrayHeader(frame, 1), 0)
	}
	all := map[string]string{"txn": fmt.Sprintf("%016x", id), "limit": "2000", "item": "7f3a9c21e0b4d655", "nth": "0",
		"batch": "3", "ram": "40"}
	maps.Copy(all, fields)
	frame = msgpack.AppendMapHeader(msgpack.AppendArrayHeader(frame, 2), len(all))
	for name, value := range all {
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

// Read takes one answer, and gives up after a time; the next Read goes on where it was.
func (c *Client) Read(limit time.Duration) (Reply, error) {
	_ = c.Conn.SetReadDeadline(time.Now().Add(limit))
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

// The MessagePack forms by which the parts of an answer are told apart.
const (
	formNil   = 0xc0
	formFalse = 0xc2
	formTrue  = 0xc3
)

// The longest texts of an answer, in bytes.
const (
	maxErrorText = 100
	maxFieldText = 1000
	maxReplyBody = 1 << 20
)

// parseReply reads an answer; not ok: it is not complete.
func parseReply(data []byte) (reply Reply, ok bool) {
	reader := msgpack.Reader{Data: data}
	reader.ArrayHeader()
	reader.Uint()
	reply = Reply{ID: reader.Uint(), Fields: map[string]string{}}
	if reader.Err != nil || reader.Pos >= len(data) {
		return reply, false
	}
	failed := data[reader.Pos] != formNil
	if !failed {
		reader.Skip()
	}
	reader.ArrayHeader()
	switch {
	case failed:
		reply.Error = string(reader.Text(maxErrorText))
	case isBool(&reader):
		reply.Ready = data[reader.Pos] == formTrue
		reader.Skip()
	default:
		reply.Body = string(reader.Binary(maxReplyBody))
	}
	for n := reader.MapHeader(); n > 0 && reader.Err == nil; n-- {
		reply.Fields[string(reader.Text(maxFieldText))] = string(reader.Text(maxFieldText))
	}
	if failed {
		reader.Skip()
	}
	return reply, reader.Err == nil
}

// isBool reports whether a truth value is next, as in the answer to status.
func isBool(reader *msgpack.Reader) bool {
	if reader.Err != nil || reader.Pos >= len(reader.Data) {
		return false
	}
	form := reader.Data[reader.Pos]
	return form == formFalse || form == formTrue
}

// Ready asks a proxy for its status.
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
