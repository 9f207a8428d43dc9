package drill

import (
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// retransmissionTimeout is what a lost segment costs a TCP stream: the least retransmissionTimeout time-out of Linux.
	retransmissionTimeout = 200 * time.Millisecond
	// cutPollInterval is how often what waits for a cut link looks whether it may go on.
	cutPollInterval   = 5 * time.Millisecond
	maxSegment        = 32 << 10 // bytes
	maxQueuedSegments = 256      // segments that wait for their time in one direction of one connection
)

// linkedConn is a connection whose bytes travel by the links: Read gives those from its far end, Write sends to it.
type linkedConn struct {
	net.Conn
	network  *network
	from, to string // from is the far end

	closeOnce sync.Once
	closed    chan struct{}

	mu       sync.Mutex
	queue    chan []byte // nil until a segment had to wait
	writeErr error
	endedAt  time.Time // when the far end closed, whether or not the links let that be known; zero: it has not
}

// ended is when the connection ended, in the drill's time; 0: it has not.
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

// remoteNode names who is at the other side of a connection that the network made.
func remoteNode(conn net.Conn) string { return conn.(*linkedConn).from }

// transmit waits until bytes may go on by a link, and says whether the connection still stands. The time that bytes
// take counts from when it is called: what comes while one segment waits makes up the next, so that a segment is late
// by once to twice the delay.
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

// waitWhileCut returns once a link is not cut, and reports whether the connection still stands.
func (c *linkedConn) waitWhileCut(from, to string) bool {
	for c.network.faults(from, to).cut {
		if !c.sleep(cutPollInterval) {
			return false
		}
	}
	return true
}

// sleep reports whether the connection still stands after a time.
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

// Read gives what has come from the far end, once it has arrived.
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
		c.waitWhileCut(c.from, c.to) // nor does the end of the connection arrive
	}
	return count, err
}

// Write sends to the far end. It does not wait for the link: the bytes of a connection queue behind one another.
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

// drainQueue sends what waits until the connection is closed or a write fails.
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

// appendQueued adds what has queued meanwhile to a segment, up to its largest size.
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

// Close ends the connection.
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

// SetLinger is that of the socket, so that a close can be made a reset.
func (c *linkedConn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}
