package drill

import (
	"net"
	"time"

	"sloequay/internal/emulator"
)

// slowReaderBuffer is the bytes that the system takes for a slow reader.
const slowReaderBuffer = 8 << 10

// slowConn is the connection of a slow reader. Its socket knows of the connection's end before the reader does, who has
// answers left to read.
type slowConn struct {
	net.Conn
	end *emulator.EndWatch
}

// newSlowConn makes a connection that was dialed that of a slow reader.
func newSlowConn(inner net.Conn) *slowConn {
	conn := &slowConn{Conn: inner, end: &emulator.EndWatch{}}
	if tcp, ok := inner.(*linkedConn).Conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(slowReaderBuffer)
		conn.end = emulator.WatchEnd(tcp)
	}
	return conn
}

// closedAt is when the proxy closed the connection, whose end the reader has just met.
func (c *slowConn) closedAt() time.Time {
	if seenAt := c.end.SeenAt(); !seenAt.IsZero() {
		return seenAt
	}
	return time.Now()
}

// closedFor is how long ago the proxy closed the connection, as far as the socket knows; 0: it has not.
func (c *slowConn) closedFor() time.Duration {
	seenAt := c.end.SeenAt()
	if seenAt.IsZero() {
		return 0
	}
	return time.Since(seenAt)
}
