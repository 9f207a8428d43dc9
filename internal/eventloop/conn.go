package eventloop

import (
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"sloequay/internal/eventloop/bridge"
	"sloequay/internal/memory"
)

// connState is the state of a connection. It never decreases.
type connState uint8

const (
	connOpen    connState = iota
	connClosing           // nothing more is read or sent; closes at the end of the round
	connClosed            // reported to the handler by Closed
)

// connOrigin tells how a connection was made.
type connOrigin uint8

const (
	dialedConn connOrigin = iota
	acceptedConn
	adoptedConn
)

// Conn is a connection on the loop. Its methods must be called on the loop and do not block.
type Conn struct {
	In []byte // bytes received and not consumed yet; valid while Handler.Received runs

	loop     *Loop
	sock     gnet.Conn
	relay    *bridge.Relay // copies between sock and the peer; nil: sock is the connection to the peer
	handler  Handler
	state    connState
	origin   connOrigin
	isOpened bool // OnOpen was called
	// waitingSince is the earliest time from which an accepted connection may have waited in the accept queue.
	waitingSince time.Time
	accept       func(remote net.Addr) Handler // returns the handler of an accepted connection

	unconsumed     []byte // bytes that Handler.Received did not consume
	reservedInput  int    // bytes of them that are charged elsewhere, see ReserveInput
	isReadDeferred bool   // DeferRead was called in this call of Handler.Received
	hasReceived    bool   // Handler.Received was called

	outbound      []byte // bytes to be written at the end of the round
	queued        uint64 // bytes passed to Send since the connection was opened
	unsent        unsentBuffer
	writeErr      error         // of a failed write
	countedUnsent int           // this connection's part of Loop.unsentBytes: the bytes that buffered returns
	input, output memory.Charge // for the buffers of unconsumed, and of outbound and unsent
	isToBeWritten bool          // is in Loop.toWrite
	isSlowReader  bool          // is in Loop.slowReaders
	retryPause    time.Duration
	retryAt       time.Time // when to write to a slow reader again
}

// Send queues a copy of parts, to be written at the end of the round.
func (c *Conn) Send(parts ...[]byte) {
	if c.state != connOpen {
		return
	}
	if len(c.outbound) >= maxOutboundBytes {
		c.outboundToUnsent()
	}
	if c.outbound == nil {
		c.outbound = c.loop.spareBuffers.take()
	}
	for _, part := range parts {
		c.outbound = append(c.outbound, part...)
		c.queued += uint64(len(part))
		c.countedUnsent += len(part)
		c.loop.unsentBytes += len(part)
	}
	c.output.Set(cap(c.outbound) + c.unsent.capacity)
	c.writeAtRoundEnd()
}

// SendBody is Send for a header, a body and a trailer, of which it takes over the body instead of copying it.
func (c *Conn) SendBody(header, body, trailer []byte) {
	c.Send(header)
	if c.state != connOpen {
		return
	}
	c.outboundToUnsent()
	c.unsent.own(body)
	c.queued += uint64(len(body))
	c.countedUnsent += len(body)
	c.loop.unsentBytes += len(body)
	c.Send(trailer)
}

// RequestWrite requests a write at the end of the round, even if nothing was sent yet. It is for a handler that is a
// Composer.
func (c *Conn) RequestWrite() {
	if c.state == connOpen {
		c.writeAtRoundEnd()
	}
}

// compose calls Compose of a handler that is a Composer.
func (c *Conn) compose() {
	if composer, ok := c.handler.(Composer); ok && c.state == connOpen {
		composer.Compose(c)
	}
}

// writeAtRoundEnd schedules the connection for Loop.writeAll, which writes to it or closes it.
func (c *Conn) writeAtRoundEnd() {
	if !c.isToBeWritten {
		c.isToBeWritten = true
		c.loop.toWrite = append(c.loop.toWrite, c)
		c.loop.RequestRound()
	}
}

// Close closes the connection at the end of the round, after writing as much queued output as the system accepts.
func (c *Conn) Close() {
	if c.state == connOpen {
		c.state = connClosing
		c.writeAtRoundEnd()
	}
}

// CloseNow closes the connection at once instead of at the end of the round, because input that is read until then
// would not be answered. It must not be called while a handler of this connection runs.
func (c *Conn) CloseNow() {
	c.beginClose()
	c.write()
}

// Abort is Close for a peer that does not read. It drops the unsent bytes, including those that the system holds, which
// the peer could otherwise still read long after it was given up.
func (c *Conn) Abort() {
	if c.state != connClosed {
		if c.relay != nil {
			c.relay.Abort()
		} else {
			_ = c.sock.SetLinger(0)
		}
		c.outbound = nil
		c.unsent = unsentBuffer{}
		c.Close()
	}
}

func (c *Conn) beginClose() { c.state = max(c.state, connClosing) }

// Queued returns how many bytes were passed to Send so far.
func (c *Conn) Queued() uint64 { return c.queued }

// Written returns how many of the queued bytes may have reached the peer; the bytes after them were never written. It
// includes bytes that the system or a relay has not accepted yet: closing the connection tries once more to write them,
// and a peer that has closed only its own side still reads them. It is valid until the handler's Closed returns.
func (c *Conn) Written() uint64 { return c.queued - uint64(len(c.outbound)) }

// Flushed returns how many of the queued bytes the system has accepted for the peer.
func (c *Conn) Flushed() uint64 { return c.queued - uint64(c.Unsent()) }

// BufferBytes returns the size of the connection's buffers for input and output.
func (c *Conn) BufferBytes() int { return c.input.Bytes() + c.output.Bytes() }

// InputBufferBytes returns the size of the buffer for input that was not consumed.
func (c *Conn) InputBufferBytes() int { return c.input.Bytes() }

// Unsent returns the number of queued bytes that the system has not accepted for the peer yet, including those that
// wait in a relay.
func (c *Conn) Unsent() int {
	if c.state == connClosed {
		return 0
	}
	return c.buffered() + c.relayed()
}

// buffered returns the number of queued bytes that were not written to the socket yet.
func (c *Conn) buffered() int { return len(c.outbound) + c.unsent.len() }

// relayed returns the number of bytes that wait in the relay.
func (c *Conn) relayed() int {
	if c.relay == nil {
		return 0
	}
	return c.relay.Pending()
}

// Undelivered returns the number of bytes that were not sent to the peer yet, for lack of room there, including Unsent.
// These bytes are lost if the connection is closed and more input arrives on it: the system answers with a reset and
// drops them. Bytes that were sent and not acknowledged are not counted, as acknowledgments may be 40 ms late.
func (c *Conn) Undelivered() int {
	if c.state == connClosed {
		return 0
	}
	if c.relay != nil {
		return c.Unsent() + c.relay.Unsent()
	}
	waiting, err := unix.IoctlGetInt(c.sock.Fd(), unix.SIOCOUTQNSD)
	if err != nil {
		waiting = 0 // not a TCP socket
	}
	return c.Unsent() + waiting
}
