package eventloop

import (
	"time"

	"github.com/panjf2000/gnet/v2"

	"sloequay/internal/memory"
)

const (
	// maxIdleBuffer is the size in bytes of the largest buffer that a connection keeps while it is empty. Hundreds of
	// connections may be idle.
	maxIdleBuffer = 4 << 10
	// maxExcessInput is the most that a connection may leave unconsumed while the memory account is exceeded, in bytes,
	// not counting what its handler has reserved. A connection that receives more is closed. Handlers that strangers
	// reach discard such input before.
	maxExcessInput = 64 << 10
)

// OnOpen is called by gnet for each new connection. It sets the handler of an accepted one and calls Opened.
func (l *Loop) OnOpen(sock gnet.Conn) ([]byte, gnet.Action) {
	if _, isStartupConn := sock.Context().(startupMarker); isStartupConn {
		return nil, gnet.None // obtainGnetLoop closes it
	}
	l.standstill.EventSeen()
	conn, ok := sock.Context().(*Conn)
	if !ok {
		return nil, gnet.Close
	}
	conn.isOpened = true
	switch conn.origin {
	case acceptedConn:
		l.pendingAccepts.Add(-1)
		if conn.handler = conn.accept(sock.RemoteAddr()); conn.handler == nil {
			sock.SetContext(nil)
			return nil, gnet.Close
		}
	case dialedConn:
		l.pendingDials--
	case adoptedConn:
	}
	conn.sock = sock
	conn.input = l.Memory.NewCharge(memory.Input, 0)
	conn.output = l.Memory.NewCharge(memory.Output, 0)
	conn.handler.Opened(conn)
	l.RequestRound()
	return nil, gnet.None
}

// OnTraffic is called by gnet when a socket is readable. It passes the data to the handler.
func (l *Loop) OnTraffic(sock gnet.Conn) gnet.Action {
	conn, ok := sock.Context().(*Conn)
	if _, isStartupConn := sock.Context().(startupMarker); isStartupConn {
		return gnet.None
	} else if !ok {
		return l.receivePacket(sock)
	}
	data, err := sock.Next(-1)
	l.standstill.EventSeen()
	if err != nil {
		return gnet.None
	}
	if conn.state != connOpen {
		conn.outboundToUnsent()
		return gnet.Close // now, as a peer that goes on sending would delay the end of the round
	}
	if len(conn.unconsumed) > 0 {
		l.unconsumedBytes += len(data)
		conn.unconsumed = append(conn.unconsumed, data...)
		conn.chargeInput()
		data = conn.unconsumed
	}
	conn.deliver(data) // often gnet's own buffer: complete messages are not copied
	if l.Memory.IsExceeded() && len(conn.unconsumed)-conn.reservedInput > maxExcessInput {
		if l.OnExcessInput != nil {
			l.OnExcessInput(sock.RemoteAddr(), len(conn.unconsumed))
		}
		conn.beginClose()
		return gnet.Close // OnClose follows and calls the handler's Closed
	}
	return gnet.None
}

// OnClose is called by gnet when a connection ends. It calls the handler's Closed.
func (l *Loop) OnClose(sock gnet.Conn, err error) gnet.Action {
	conn, ok := sock.Context().(*Conn)
	if !ok {
		return gnet.None
	}
	l.standstill.EventSeen()
	if err == nil {
		err = conn.writeErr
	}
	conn.flushBeforeClose()
	if conn.relay != nil {
		conn.relay.LoopClosed()
	}
	conn.state = connClosed
	l.unsentBytes -= conn.countedUnsent
	l.unconsumedBytes -= len(conn.unconsumed)
	conn.countedUnsent = 0
	conn.unconsumed = nil
	conn.unsent = unsentBuffer{}
	conn.input.Release()
	conn.output.Release()
	conn.handler.Closed(conn, err)
	l.RequestRound()
	return gnet.None
}

// receivePacket passes a datagram to its handler.
func (l *Loop) receivePacket(sock gnet.Conn) gnet.Action {
	handlePacket, ok := l.packetHandlers[sock.LocalAddr().String()]
	if !ok || l.gnetLoop == nil {
		return gnet.None
	}
	data, err := sock.Next(-1)
	if err != nil {
		return gnet.None
	}
	// For datagrams gnet's AsyncWrite sends at once, and also works after this event.
	handlePacket(data, sock.RemoteAddr(), func(answer []byte) { _ = sock.AsyncWrite(answer, nil) })
	l.RequestRound()
	return gnet.None
}

// deliver passes received bytes to the handler, and keeps those that it does not consume.
func (c *Conn) deliver(data []byte) {
	c.In = data
	c.isReadDeferred = false
	c.reservedInput = 0
	c.handler.Received(c)
	c.hasReceived = true
	c.loop.unconsumedBytes -= len(c.unconsumed)
	c.keepUnconsumed()
	c.loop.unconsumedBytes += len(c.unconsumed)
	c.In = nil
	c.chargeInput()
	if !c.isReadDeferred {
		c.loop.RequestRound()
	}
}

// chargeInput charges the buffer of unconsumed bytes, but for those that are charged elsewhere.
func (c *Conn) chargeInput() { c.input.Set(max(0, cap(c.unconsumed)-c.reservedInput)) }

// keepUnconsumed keeps the bytes of In that the handler did not consume. The buffer gets the size that the handler has
// reserved at once, as growing it would leave several times as much to the garbage collector. If the bytes are few, a
// large buffer is replaced by a smaller one, so that the memory used is in proportion to them.
func (c *Conn) keepUnconsumed() {
	if c.reservedInput > cap(c.unconsumed) {
		c.unconsumed = append(make([]byte, 0, c.reservedInput), c.In...)
		return
	}
	isLarge := cap(c.unconsumed) > maxIdleBuffer
	if isLarge && len(c.In) < cap(c.unconsumed)/trimDivisor {
		c.unconsumed = append([]byte(nil), c.In...)
		return
	}
	c.unconsumed = append(c.unconsumed[:0], c.In...)
}

// Consume removes the first n bytes of In. Handlers call it in Received.
func (c *Conn) Consume(n int) { c.In = c.In[n:] }

// ReserveInput tells the loop that the handler's own charges cover the n bytes of an incomplete message, whose front it
// leaves unconsumed in this call of Received.
func (c *Conn) ReserveInput(n int) { c.reservedInput = n }

// DeferRead tells the loop that this call of Received has done nothing and needs no round. The handler calls it in
// Received, and calls Redeliver when it can continue.
func (c *Conn) DeferRead() { c.isReadDeferred = true }

// Redeliver calls the handler's Received again, before it returns, with the bytes that were not consumed. It must not
// be called while a handler of this connection runs.
func (c *Conn) Redeliver() {
	if c.state == connOpen && len(c.unconsumed) > 0 {
		c.deliver(c.unconsumed)
	}
}

// ReadLag returns how long bytes that are read now may have waited: 0 in normal operation, and the time since the last
// round if the loop stood still meanwhile. The first bytes on an accepted connection may be as old as the connection.
// Handlers call ReadLag in Received to compute deadlines that count from the arrival.
func (c *Conn) ReadLag() time.Duration {
	if c.loop == nil {
		return 0
	}
	if c.origin != acceptedConn || c.hasReceived {
		return c.loop.standstill.ReadLag(time.Now())
	}
	return c.loop.standstill.FirstReadLag(time.Now(), c.waitingSince)
}
