package eventloop

import (
	"os"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"sloequay/internal/eventloop/socket"
)

const (
	// What waits for one peer that does not read: beyond this part of Memory, and beyond maxUnsentPerPeer, its
	// connection is closed.
	unsentPerPeerPart = 10
	maxUnsentPerPeer  = 6 << 20
	// Buffers for writing that are used again: how many, and how large each may be.
	maxSpareBuffers    = 32
	maxSpareBufferSize = 1 << 20
	// trimDivisor is the part of a buffer below which what is left of it moves to a smaller one.
	trimDivisor = 4
	// The pauses after which the connection of a peer that is slow to read is written again. They double while the
	// system takes nothing.
	minWritePause = time.Millisecond
	maxWritePause = 32 * time.Millisecond
)

// unsentBuffer is what was to be written to a connection and the system has not taken. It stays here and not in gnet,
// which has epoll tell when the system takes more, and closes the connection where epoll refuses.
type unsentBuffer struct {
	data  []byte
	taken int // of data, by the system
}

// len is the number of bytes that are left.
func (b *unsentBuffer) len() int { return len(b.data) - b.taken }

// add leaves more bytes, and reports whether it takes over their buffer.
func (b *unsentBuffer) add(data []byte) (isTakenOver bool) {
	if b.len() == 0 {
		b.data = data
		b.taken = 0
		return true
	}
	if b.taken > len(b.data)/2 {
		b.data = b.data[:copy(b.data, b.data[b.taken:])]
		b.taken = 0
	}
	b.data = append(b.data, data...)
	return false
}

// writeTo writes once to a socket. That the system takes no more now, or lacks something, is no error.
func (b *unsentBuffer) writeTo(descriptor int) error {
	n, err := unix.Write(descriptor, b.data[b.taken:])
	if socket.IsLocalError(err) {
		return nil
	}
	if err != nil {
		return os.NewSyscallError("write", err)
	}
	b.taken += n
	return nil
}

// trim moves what is left of a large buffer to a smaller one, so that the memory held is in proportion to it.
func (b *unsentBuffer) trim() {
	if size := cap(b.data); size > maxIdleBuffer && b.len() < size/trimDivisor {
		b.data = slices.Clone(b.data[b.taken:])
		b.taken = 0
	}
}

// write writes what is left for the connection, and closes it if that is to be.
func (c *Conn) write() {
	if c.state == connClosed {
		return
	}
	if len(c.outbound) > 0 {
		if !c.unsent.add(c.outbound) {
			c.loop.reuseBuffer(c.outbound)
		}
		c.outbound = nil
	}
	if c.isSlowReader && c.state == connOpen {
		c.countUnsent() // retryWrites goes on with it
	} else {
		c.flush()
	}
	if c.unsent.len() > 0 && !c.isSlowReader {
		c.isSlowReader = true
		c.delayRetry(minWritePause)
		c.loop.slowReaders = append(c.loop.slowReaders, c)
		c.loop.retryWritesAfter(minWritePause)
	}
	if c.countedUnsent > min(c.loop.MemoryLimit/unsentPerPeerPart, maxUnsentPerPeer) {
		c.beginClose()
	}
	if c.state == connClosing {
		_ = c.sock.EventLoop().Close(c.sock)
	}
}

// flush offers the system what it has not taken. A write that fails ends the connection.
func (c *Conn) flush() {
	if c.unsent.len() > 0 {
		if c.writeErr = c.unsent.writeTo(c.sock.Fd()); c.writeErr != nil {
			c.beginClose()
		}
	}
	if c.unsent.len() > 0 {
		c.unsent.trim()
	} else if c.unsent.data != nil {
		c.loop.reuseBuffer(c.unsent.data)
		c.unsent = unsentBuffer{}
	}
	c.countUnsent()
}

// flushAtEnd offers the system a last time what it has not taken, before the socket is closed.
func (c *Conn) flushAtEnd() {
	if c.unsent.len() > 0 && c.writeErr == nil {
		_ = c.unsent.writeTo(c.sock.Fd())
	}
}

// delayRetry has the connection written again after a pause.
func (c *Conn) delayRetry(pause time.Duration) {
	c.retryPause = pause
	c.retryAt = time.Now().Add(pause)
}

// countUnsent takes over into Loop.unsentBytes how much the connection's peer has not taken.
func (c *Conn) countUnsent() {
	unsent := c.Unsent()
	c.loop.unsentBytes += unsent - c.countedUnsent
	c.countedUnsent = unsent
}

// UnsentBytes is the number of bytes that wait for peers to read, those of this round that are not written yet among
// them.
func (l *Loop) UnsentBytes() int { return l.unsentBytes }

// retryWritesAfter has the connections of slow readers looked at after a pause, or sooner where that was asked for.
func (l *Loop) retryWritesAfter(pause time.Duration) {
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

// retryWrites writes again to the slow readers that are due, and forgets those that have taken all or are gone.
func (l *Loop) retryWrites() {
	l.writeRetryAt = time.Time{}
	now := time.Now()
	remaining := 0
	for i := 0; i < len(l.slowReaders); i++ { // closing one may make another slow
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
		l.retryWritesAfter(max(minWritePause, conn.retryAt.Sub(now)))
	}
	clear(l.slowReaders[remaining:])
	l.slowReaders = l.slowReaders[:remaining]
}

// retryWrite writes again to a slow reader, and says when it is due next. What this round has left for it waits for the
// round's end.
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

// reuseBuffer keeps a buffer that was written, for Conn.Send.
func (l *Loop) reuseBuffer(written []byte) {
	if len(l.spareBuffers) < maxSpareBuffers && cap(written) <= maxSpareBufferSize {
		l.spareBuffers = append(l.spareBuffers, written[:0])
	}
}
