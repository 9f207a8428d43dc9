package drill

import (
	"net"
	"time"

	"sloequay/internal/emulator"
)

// slowReaderBuffer is the socket's receive buffer of a slow reader, in bytes.
const slowReaderBuffer = 8 << 10

// slowConn is the connection of a slow reader. Its socket learns of the connection's end earlier than the reader, which
// still has answers to read.
type slowConn struct {
	net.Conn
	end *emulator.EndWatch
}

// newSlowConn turns a dialed connection into that of a slow reader.
func newSlowConn(inner net.Conn) *slowConn {
	conn := &slowConn{Conn: inner, end: &emulator.EndWatch{}}
	if tcp, ok := inner.(*linkedConn).Conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(slowReaderBuffer)
		conn.end = emulator.WatchEnd(tcp)
	}
	return conn
}

// closedAt returns when the proxy closed the connection. The reader must have reached its end.
func (c *slowConn) closedAt() time.Time {
	if seenAt := c.end.SeenAt(); !seenAt.IsZero() {
		return seenAt
	}
	return time.Now()
}

// closedFor returns how long ago the proxy closed the connection, as far as the socket knows; 0: it has not.
func (c *slowConn) closedFor() time.Duration {
	seenAt := c.end.SeenAt()
	if seenAt.IsZero() {
		return 0
	}
	return time.Since(seenAt)
}
