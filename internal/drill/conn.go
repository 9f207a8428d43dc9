package drill

import (
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// retransmissionTimeout is the delay that a lost segment adds to a TCP stream: Linux's minimum retransmission
	// timeout.
	retransmissionTimeout = 200 * time.Millisecond
	// cutPollInterval is how often a connection that waits for a cut link checks whether the cut is over.
	cutPollInterval   = 5 * time.Millisecond
	maxSegment        = 32 << 10 // bytes
	maxQueuedSegments = 256      // segments waiting in one direction of one connection
)

// linkedConn is a connection that is subject to the faults of its links: Read delivers bytes from the remote node, and
// Write sends bytes to it.
type linkedConn struct {
	net.Conn
	network  *network
	from, to string // from is the remote node

	closeOnce sync.Once
	closed    chan struct{}

	mu       sync.Mutex
	queue    chan []byte // nil until a segment has to wait
	writeErr error
	endedAt  time.Time // when either side closed, even if a cut link still hides it; zero: open
}

// ended returns when the connection ended, in the drill's time; 0: it has not.
func (c *linkedConn) ended() time.Duration {
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endedAt.IsZero() {
		return 0
	}
	return max(1, c.endedAt.Sub(c.network.startedAt))
}

func (c *linkedConn) recordEnd() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endedAt.IsZero() {
		c.endedAt = time.Now()
	}
}

// remoteNode returns the name of the remote node of a connection made by the network.
func remoteNode(conn net.Conn) string { return conn.(*linkedConn).from }

// transmit waits until bytes have passed a link, and reports whether the connection is still open. The delay counts
// from the call: bytes that arrive while one segment waits form the next segment, so a segment is late by one to two
// delays.
func (c *linkedConn) transmit(from, to string, count int) bool {
	faults := c.network.faults(from, to)
	wait := c.network.drawDelay(faults)
	if c.network.drawBool(faults.loss) {
		wait += retransmissionTimeout
	}
	if faults.bytesPerSecond > 0 {
		wait += time.Duration(float64(count) / faults.bytesPerSecond * float64(time.Second))
	}
	if wait > 0 && !c.sleep(wait) {
		return false
	}
	return c.waitWhileCut(from, to)
}

// waitWhileCut waits until a link is not cut, and reports whether the connection is still open.
func (c *linkedConn) waitWhileCut(from, to string) bool {
	for c.network.faults(from, to).cut {
		if !c.sleep(cutPollInterval) {
			return false
		}
	}
	return true
}

// sleep waits and reports whether the connection is still open.
func (c *linkedConn) sleep(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.closed:
		return false
	}
}

// Read returns bytes from the remote node once they have passed the link.
func (c *linkedConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer[:min(len(buffer), maxSegment)])
	if count > 0 && !c.transmit(c.from, c.to, count) {
		return 0, net.ErrClosed
	}
	var timeout net.Error
	if err != nil && (!errors.As(err, &timeout) || !timeout.Timeout()) {
		c.recordEnd()
	}
	if count == 0 && err != nil {
		c.waitWhileCut(c.from, c.to) // a cut link delays the end of the connection too
	}
	return count, err
}

// Write queues bytes for the remote node without waiting for the link.
func (c *linkedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr != nil {
		return 0, c.writeErr
	}
	if c.queue == nil {
		if c.network.faults(c.to, c.from) == (linkFaults{}) {
			return c.Conn.Write(data)
		}
		c.queue = make(chan []byte, maxQueuedSegments)
		go c.drainQueue()
	}
	select {
	case c.queue <- append([]byte(nil), data...):
		return len(data), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// drainQueue sends the queued segments until the connection is closed or a write fails.
func (c *linkedConn) drainQueue() {
	for {
		var segment []byte
		select {
		case segment = <-c.queue:
		case <-c.closed:
			return
		}
		segment = c.appendQueued(segment)
		if !c.transmit(c.to, c.from, len(segment)) {
			return
		}
		if _, err := c.Conn.Write(segment); err != nil {
			c.mu.Lock()
			c.writeErr = err
			c.mu.Unlock()
			return
		}
	}
}

// appendQueued appends the segments that are queued by now, until the segment has maxSegment bytes.
func (c *linkedConn) appendQueued(segment []byte) []byte {
	for len(segment) < maxSegment {
		select {
		case next := <-c.queue:
			segment = append(segment, next...)
		default:
			return segment
		}
	}
	return segment
}

// Close closes the connection.
func (c *linkedConn) Close() error {
	c.recordEnd()
	c.closeOnce.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
	return c.Conn.Close()
}

// SetLinger sets the linger time of the socket, in seconds; 0 makes Close reset the connection.
func (c *linkedConn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}
