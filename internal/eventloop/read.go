package eventloop

import (
	"time"

	"github.com/panjf2000/gnet/v2"
)

const (
	// partialPart is the part of Memory that may be taken by what has come and is not consumed, of all peers together.
	// Beyond it, connections with more than maxIdleBuffer of that are closed.
	partialPart   = 6
	maxIdleBuffer = 64 << 10 // larger buffers are not kept when empty
)

// OnOpen gives a new connection its handler. gnet calls it.
func (l *Loop) OnOpen(sock gnet.Conn) ([]byte, gnet.Action) {
	if _, isHandle := sock.Context().(handleMark); isHandle {
		return nil, gnet.None // learnGnetLoop closes it
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
	conn.handler.Opened(conn)
	l.RequestRound()
	return nil, gnet.None
}

// OnTraffic collects what has come. gnet calls it.
func (l *Loop) OnTraffic(sock gnet.Conn) gnet.Action {
	conn, ok := sock.Context().(*Conn)
	if _, isHandle := sock.Context().(handleMark); isHandle {
		return gnet.None
	} else if !ok {
		return l.receivePacket(sock)
	}
	data, err := sock.Next(-1)
	l.standstill.EventSeen()
	if err != nil || conn.state != connOpen {
		return gnet.None
	}
	if len(conn.partial) > 0 {
		l.partialBytes += len(data)
		conn.partial = append(conn.partial, data...)
		data = conn.partial
	}
	conn.deliver(data) // often gnet's own buffer, so that what comes whole is not copied
	if l.partialBytes > l.MemoryLimit/partialPart && len(conn.partial) > maxIdleBuffer {
		conn.beginClose()
		return gnet.Close // Closed follows: what was open here ends with the connection
	}
	return gnet.None
}

// OnClose tells the handler of the end. gnet calls it.
func (l *Loop) OnClose(sock gnet.Conn, err error) gnet.Action {
	conn, ok := sock.Context().(*Conn)
	if !ok {
		return gnet.None
	}
	l.standstill.EventSeen()
	if err == nil {
		err = conn.writeErr
	}
	conn.flushAtEnd()
	conn.state = connClosed
	l.unsentBytes -= conn.countedUnsent
	l.partialBytes -= len(conn.partial)
	conn.countedUnsent = 0
	conn.partial = nil
	conn.unsent = unsentBuffer{}
	conn.handler.Closed(conn, err)
	l.RequestRound()
	return gnet.None
}

// receivePacket takes a datagram.
func (l *Loop) receivePacket(sock gnet.Conn) gnet.Action {
	handle, ok := l.packetHandlers[sock.LocalAddr().String()]
	if !ok || l.gnetLoop == nil {
		return gnet.None
	}
	data, err := sock.Next(-1)
	if err != nil {
		return gnet.None
	}
	// gnet sends datagrams from AsyncWrite at once, also after the event that brought sock.
	handle(data, sock.RemoteAddr(), func(answer []byte) { _ = sock.AsyncWrite(answer, nil) })
	l.RequestRound()
	return gnet.None
}

// deliver gives the handler what has come, and keeps what it leaves.
func (c *Conn) deliver(data []byte) {
	c.In = data
	c.isReadDeferred = false
	c.handler.Received(c)
	c.wasRead = true
	c.loop.partialBytes -= len(c.partial)
	c.partial = append(c.partial[:0], c.In...)
	c.loop.partialBytes += len(c.partial)
	c.In = nil
	if len(c.partial) == 0 && cap(c.partial) > maxIdleBuffer {
		c.partial = nil
	}
	if !c.isReadDeferred {
		c.loop.RequestRound()
	}
}

// Consume takes n bytes off the front of In. Handlers call it in Received.
func (c *Conn) Consume(n int) { c.In = c.In[n:] }

// DeferRead says, while Received runs, that nothing was done and no round is needed: the handler calls Redeliver when
// it will go on.
func (c *Conn) DeferRead() { c.isReadDeferred = true }

// Redeliver has the handler look once more at what it left, before it returns. It must not be called while a handler
// of this connection runs.
func (c *Conn) Redeliver() {
	if c.state == connOpen && len(c.partial) > 0 {
		c.deliver(c.partial)
	}
}

// ReadLag is how much earlier than now bytes may have come that are read now: next to nothing while the loop reads as
// it should, and the time since the last round where it stood still meanwhile. What comes first on an accepted
// connection may be as old as the connection. Handlers call it in Received, for what has a deadline from when it came.
func (c *Conn) ReadLag() time.Duration {
	if c.loop == nil {
		return 0
	}
	if c.origin != acceptedConn || c.wasRead {
		return c.loop.standstill.ReadLag(time.Now())
	}
	return c.loop.standstill.FirstReadLag(time.Now(), c.acceptableSince)
}
