package drill

import (
	"net"
	"time"
)

// slowReaderBuffer is the bytes that the system takes for a slow reader.
const slowReaderBuffer = 8 << 10

// minReadWait is from when on a read counts as having waited for something to come.
const minReadWait = 2 * time.Millisecond

// slowConn is the connection of a slow reader. It knows when the reader last had read all that had come.
type slowConn struct {
	net.Conn
	waitedAt time.Time // the reader's own
}

// newSlowConn makes a connection that was dialed that of a slow reader.
func newSlowConn(inner net.Conn) *slowConn {
	if tcp, ok := inner.(*linkedConn).Conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(slowReaderBuffer)
	}
	return &slowConn{Conn: inner, waitedAt: time.Now()}
}

// Read reads, and notes whether it had to wait.
func (c *slowConn) Read(data []byte) (int, error) {
	began := time.Now()
	count, err := c.Conn.Read(data)
	if now := time.Now(); now.Sub(began) >= minReadWait {
		c.waitedAt = now
	}
	return count, err
}
