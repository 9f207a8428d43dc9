package eventloop

import (
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

// connState is how far the end of a connection is. It only goes up.
type connState uint8

const (
	connOpen    connState = iota
	connClosing           // nothing more is read or sent; it closes at the end of the round
	connClosed            // its handler was told
)

// connOrigin is where a connection comes from.
type connOrigin uint8

const (
	dialedConn connOrigin = iota
	acceptedConn
	adoptedConn
)

// Conn is a connection on the loop. Its methods must be called on the loop, and none blocks.
type Conn struct {
	In []byte // received and not consumed yet; valid while Handler.Received runs

	loop     *Loop
	sock     gnet.Conn
	handler  Handler
	state    connState
	origin   connOrigin
	isOpened bool // OnOpen has seen it
	// acceptableSince is since when an accepted connection may have waited to be accepted.
	acceptableSince time.Time
	accept          func(remote net.Addr) Handler // gives an accepted connection its handler

	partial        []byte // what Handler.Received left
	isReadDeferred bool
	wasRead        bool // the handler was given something

	outbound      []byte // for the end of the round
	queued        uint64 // bytes that were left for it, ever
	unsent        unsentBuffer
	writeErr      error // of a write that failed
	countedUnsent int   // its part of Loop.unsentBytes
	isToBeWritten bool  // it is in Loop.toWrite
	isSlowReader  bool  // it is in Loop.slowReaders
	retryPause    time.Duration
	retryAt       time.Time // when a slow reader's connection is written again
}

// Send leaves bytes to be written at the end of the round. It copies them.
func (c *Conn) Send(parts ...[]byte) {
	if c.state != connOpen {
		return
	}
	if n := len(c.loop.spareBuffers); c.outbound == nil && n > 0 {
		c.outbound = c.loop.spareBuffers[n-1]
		c.loop.spareBuffers = c.loop.spareBuffers[:n-1]
	}
	for _, part := range parts {
		c.outbound = append(c.outbound, part...)
		c.queued += uint64(len(part))
		c.countedUnsent += len(part)
		c.loop.unsentBytes += len(part)
	}
	c.writeAtRoundEnd()
}

// RequestWrite has the connection written at the end of the round, though nothing may have been sent yet: its handler
// is a Composer.
func (c *Conn) RequestWrite() {
	if c.state == connOpen {
		c.writeAtRoundEnd()
	}
}

// compose has a handler that waited for the write send what it has left.
func (c *Conn) compose() {
	if composer, ok := c.handler.(Composer); ok && c.state == connOpen {
		composer.Compose(c)
	}
}

// writeAtRoundEnd has Loop.writeAll write or close the connection.
func (c *Conn) writeAtRoundEnd() {
	if !c.isToBeWritten {
		c.isToBeWritten = true
		c.loop.toWrite = append(c.loop.toWrite, c)
		c.loop.RequestRound()
	}
}

// Close closes the connection at the end of the round, once what is left for it was written as far as it takes it.
func (c *Conn) Close() {
	if c.state == connOpen {
		c.state = connClosing
		c.writeAtRoundEnd()
	}
}

// CloseNow closes the connection at once and not at the end of the round: what is read on it until then would have no
// answer. It must not be called while a handler of this connection runs.
func (c *Conn) CloseNow() {
	c.beginClose()
	c.write()
}

// Abort is Close for a peer that does not read: what the system holds for it is dropped, or it would be read whenever
// the peer goes on, long after it was given up.
func (c *Conn) Abort() {
	if c.state != connClosed {
		_ = c.sock.SetLinger(0)
		c.outbound = nil
		c.unsent = unsentBuffer{}
		c.Close()
	}
}

func (c *Conn) beginClose() { c.state = max(c.state, connClosing) }

// Queued is how many bytes were left for the connection so far.
func (c *Conn) Queued() uint64 { return c.queued }

// Written is how many of them may have gone out, also after the end of the connection: what the system has not taken is
// tried once more then, and a peer that has closed its own side alone reads that. It is right up to the handler's
// Closed. What lies beyond it was never written.
func (c *Conn) Written() uint64 { return c.queued - uint64(len(c.outbound)) }

// Flushed is how many of them the system has taken.
func (c *Conn) Flushed() uint64 { return c.queued - uint64(c.Unsent()) }

// Unsent is the number of bytes that the peer has not taken yet.
func (c *Conn) Unsent() int {
	if c.state == connClosed {
		return 0
	}
	return len(c.outbound) + c.unsent.len()
}

// Undelivered is the number of bytes that the system has not sent to the peer yet, for want of room there, Unsent among
// them. They are lost if the connection is closed and something comes on it: the system answers that by a reset and
// drops them. What was sent and not confirmed is left out, as confirmations may be late by 40 ms.
func (c *Conn) Undelivered() int {
	if c.state == connClosed {
		return 0
	}
	waiting, err := unix.IoctlGetInt(c.sock.Fd(), unix.SIOCOUTQNSD)
	if err != nil {
		waiting = 0 // no TCP socket
	}
	return c.Unsent() + waiting
}
