package emulator

import (
	"bufio"
	"fmt"
	"net"
	"time"

	"sloequay/internal/frontend/rpc/msgpack"
)

// Client is a stand-in for a client of the platform's front. Send and Read may be called from two goroutines.
type Client struct {
	Conn net.Conn
	r    *bufio.Reader
	part []byte // of an answer that had not come whole when a Read gave up
}

// Dial connects to a doorman.
func Dial(address string) (*Client, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return NewClient(conn), nil
}

// NewClient speaks on a connection that is up.
func NewClient(conn net.Conn) *Client { return &Client{Conn: conn, r: bufio.NewReader(conn)} }

// Reply is an answer as the client reads it.
type Reply struct {
	ID     uint64
	Error  string // empty: served
	Fields map[string]string
	Body   string
	Ready  bool // of status
}

// Withdrawal is the notice that nobody waits for the answer to a message any more.
func Withdrawal(id uint64) []byte {
	b := msgpack.AppendText(msgpack.AppendUint(msgpack.AppendArray(nil, 3), 2), "withdraw")
	return msgpack.AppendUint(msgpack.AppendArray(b, 1), id)
}

// Request builds a frame; fields override those of a sound request for object 7f3a9c21e0b4d655.
func Request(id uint64, method string, fields map[string]string, body string) []byte {
	all := map[string]string{"txn": fmt.Sprintf("%016x", id), "limit": "2000", "item": "7f3a9c21e0b4d655", "nth": "0",
		"batch": "3", "ram": "40"}
	for k, v := range fields {
		all[k] = v
	}
	b := msgpack.AppendText(msgpack.AppendUint(msgpack.AppendUint(msgpack.AppendArray(nil, 4), 0), id), method)
	if method == "status" {
		return msgpack.AppendMap(msgpack.AppendArray(b, 1), 0)
	}
	b = msgpack.AppendMap(msgpack.AppendArray(b, 2), len(all))
	for k, v := range all {
		b = msgpack.AppendText(msgpack.AppendText(b, k), v)
	}
	return msgpack.AppendBinary(b, []byte(body))
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
		b, err := c.r.ReadByte()
		if err != nil {
			return Reply{}, err
		}
		c.part = append(c.part, b)
		if a, ok := parseReply(c.part); ok {
			c.part = c.part[:0]
			return a, nil
		}
	}
}

func parseReply(data []byte) (Reply, bool) {
	r := msgpack.Reader{Data: data}
	r.Array()
	r.Uint()
	a := Reply{ID: r.Uint(), Fields: map[string]string{}}
	if r.Err != nil || r.Pos >= len(data) {
		return a, false
	}
	failed := data[r.Pos] != 0xc0
	if !failed {
		r.Skip()
	}
	r.Array()
	switch {
	case failed:
		a.Error = string(r.Text(100))
	case r.Err == nil && r.Pos < len(data) && data[r.Pos]|1 == 0xc3:
		a.Ready = data[r.Pos] == 0xc3
		r.Skip()
	default:
		a.Body = string(r.Binary(1 << 20))
	}
	for n := r.Map(); n > 0 && r.Err == nil; n-- {
		a.Fields[string(r.Text(1000))] = string(r.Text(1000))
	}
	if failed {
		r.Skip()
	}
	return a, r.Err == nil
}

// Ready asks a doorman for its status.
func Ready(address string) bool {
	c, err := Dial(address)
	if err != nil {
		return false
	}
	defer c.Conn.Close()
	if c.Send(Request(1, "status", nil, "")) != nil {
		return false
	}
	a, err := c.Read(time.Second)
	return err == nil && a.Ready
}

// Settings are the platform's settings for stand-ins: a class that is kept until it is purged, one that is kept for 20 s,
// and keyed writes; the sites hub and edge, of which the doorman is at edge; the classes of boxes std, parent and origin.
const Settings = `{"classes":[
{"name":"footage","on-time-ms":500,"deadline-ms":6000,"worth":2,"aim-stretch":2,"idempotency":"repeatable"},
{"name":"lookup","on-time-ms":250,"deadline-ms":3000,"worth":1,"aim-stretch":2,"idempotency":"repeatable"},
{"name":"charge","on-time-ms":700,"deadline-ms":3000,"worth":3,"idempotency":"by_key","group":"all","window-ms":3000}],
"n-instances":1,"ordinal":0,"zone":1,"dcs":["hub","edge"],"machine-types":["std","parent","origin"],"weights":"rough",
"family-info":{"shield-kind":1,"master-kind":2,"max-age-ms":[0,20000,0],"stale-for-ms":[0,10000,0],
"uncached":[false,false,true],"instances-by-zone":[0,1],"pass-through-ok":true,"peers-fill":"any","detail":"all",
"one-flow-kb-per-s":9500,"purge-slack-ms":300,"purge-takes-ms":6000},
"limits":{"attempts-cap":6,"cancelling":true,"may-probe":true,"second-copies":false,"streams-per-conn":32,"dial-timeout-ms":400,
"conn-idle-ms":30000,"retry-after":true,"max-retry-after-ms":500,"open-cap":20000},
"safety":{"drain-grace-ms":1000,"answer-slack-ms":8}}`
