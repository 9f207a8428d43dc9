package eventloop

import "time"

const (
	// Pauses before writing again to a peer that is slow to read. The pause doubles while the system accepts nothing.
	minWritePause = time.Millisecond
	maxWritePause = 32 * time.Millisecond
)

// write writes the queued bytes of the connection, and closes the connection if its state is connClosing. A connection
// is not closed for the number of its unsent bytes: handlers queue only what they have room for in Loop.Memory.
func (c *Conn) write() {
	if c.state == connClosed {
		return
	}
	c.outboundToUnsent()
	if c.isSlowReader && c.state == connOpen {
		c.countUnsent() // retryWrites continues with it
	} else {
		c.flush()
	}
	if c.unsent.len() > 0 && !c.isSlowReader {
		c.isSlowReader = true
		c.delayRetry(minWritePause)
		c.loop.slowReaders = append(c.loop.slowReaders, c)
		c.loop.scheduleWriteRetry(minWritePause)
	}
	if c.state == connClosing {
		_ = c.sock.EventLoop().Close(c.sock)
	}
}

// outboundToUnsent moves the bytes that were queued in this round behind those that the system has not accepted yet.
func (c *Conn) outboundToUnsent() {
	if len(c.outbound) == 0 {
		return
	}
	if !c.unsent.add(c.outbound) {
		c.loop.spareBuffers.keep(c.outbound)
	}
	c.outbound = nil
}

// flush writes the unsent bytes. If the write fails the connection is closed.
func (c *Conn) flush() {
	if c.unsent.len() > 0 {
		if c.writeErr = c.writeUnsent(); c.writeErr != nil {
			c.beginClose()
		}
	}
	c.unsent.trim()
	c.countUnsent()
}

// flushBeforeClose writes the unsent bytes one last time before the socket is closed.
func (c *Conn) flushBeforeClose() {
	if c.unsent.len() > 0 && c.writeErr == nil {
		_ = c.writeUnsent()
	}
}

// writeUnsent writes unsent bytes to the socket, once.
func (c *Conn) writeUnsent() error {
	before := c.unsent.len()
	err := c.unsent.writeTo(c.sock.Fd(), c.loop.spareBuffers.keep)
	if c.relay != nil {
		c.relay.Wrote(before - c.unsent.len())
	}
	return err
}

// delayRetry sets when to write to the connection again.
func (c *Conn) delayRetry(pause time.Duration) {
	c.retryPause = pause
	c.retryAt = time.Now().Add(pause)
}

// countUnsent updates Loop.unsentBytes with the connection's buffered bytes, and the charge for their buffers.
func (c *Conn) countUnsent() {
	c.output.Set(cap(c.outbound) + c.unsent.capacity)
	unsent := c.buffered()
	c.loop.unsentBytes += unsent - c.countedUnsent
	c.countedUnsent = unsent
}

// UnsentBytes returns the number of bytes that the system has not accepted yet, of all connections. It includes those
// of this round that are not written yet, and those that wait in relays, also of connections that the loop has closed.
func (l *Loop) UnsentBytes() int { return l.unsentBytes + l.relays.Pending() }

// DrainingRelays returns the number of connections that the loop has closed and whose relays have not ended yet.
func (l *Loop) DrainingRelays() int { return l.relays.Draining() }

// scheduleWriteRetry schedules retryWrites after a pause, unless it is already due earlier.
func (l *Loop) scheduleWriteRetry(pause time.Duration) {
	dueAt := time.Now().Add(pause)
	if !l.writeRetryAt.IsZero() && l.writeRetryAt.Before(dueAt) {
		return
	}
	l.writeRetryAt = dueAt
	if l.writeRetryTimer == nil {
		l.writeRetryTimer = time.AfterFunc(pause, func() { l.Post(l.retryWrites) })
		return
	}
	l.writeRetryTimer.Reset(pause)
}

// retryWrites writes again to the slow readers that are due, and drops those that are closed or done.
func (l *Loop) retryWrites() {
	l.writeRetryAt = time.Time{}
	now := time.Now()
	remaining := 0
	for i := 0; i < len(l.slowReaders); i++ { // closing a connection may make another a slow reader
		conn := l.slowReaders[i]
		if !conn.retryAt.After(now) {
			conn.retryWrite()
		}
		if conn.state == connClosed || conn.unsent.len() == 0 {
			conn.isSlowReader = false
			continue
		}
		l.slowReaders[remaining] = conn
		remaining++
		l.scheduleWriteRetry(max(minWritePause, conn.retryAt.Sub(now)))
	}
	clear(l.slowReaders[remaining:])
	l.slowReaders = l.slowReaders[:remaining]
}

// retryWrite writes again to a slow reader, and sets when it is due next. Bytes that are queued in this round wait for
// its end.
func (c *Conn) retryWrite() {
	if c.state == connClosed {
		return
	}
	before := c.unsent.len()
	c.flush()
	if c.writeErr != nil {
		_ = c.sock.EventLoop().Close(c.sock)
		return
	}
	if c.unsent.len() < before {
		c.delayRetry(minWritePause)
	} else {
		c.delayRetry(min(2*c.retryPause, maxWritePause))
	}
}
