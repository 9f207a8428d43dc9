package dns

import (
	"encoding/binary"
	"net"
	"time"

	"sloequay/internal/eventloop"
	"sloequay/internal/frontend/connlimit"
)

// lengthBytes is the size of the length prefix of each message over TCP.
const lengthBytes = 2

// stream is one TCP connection. It is the connection's eventloop.Handler.
type stream struct {
	server *Server
	client *connlimit.Client
	conn   *eventloop.Conn
	from   string
	open   int // queries that are not answered yet
	closed bool

	skipBytes int // of a query that is too long, still to arrive
}

// Accept returns the handler of a new TCP connection, or nil if the connection limit is reached.
func (s *Server) Accept(remote net.Addr) eventloop.Handler {
	accepted := &stream{server: s, from: "tcp " + remote.String()}
	accepted.client = s.clients.Admit(s.Now(), accepted.close, accepted.unsent)
	if accepted.client == nil {
		s.Log("client-connection-limit", "front", "dns", "from", remote)
		return nil
	}
	return accepted
}

// Opened stores the event loop's connection.
func (c *stream) Opened(conn *eventloop.Conn) { c.conn = conn }

// Closed cancels requests that only this client waited for.
func (c *stream) Closed(*eventloop.Conn, error) { c.close() }

// Received handles the messages that have arrived completely.
func (c *stream) Received(conn *eventloop.Conn) {
	if conn.Unsent() > maxUnreadBytes {
		c.server.Log("client-protocol-error", "front", "dns", "unread", conn.Unsent(), "open", c.open)
		c.close()
	}
	used := c.handleMessages(conn.In, c.server.Now()-conn.ReadLag())
	if c.closed {
		used = len(conn.In)
	}
	conn.Consume(used)
	c.client.Received(c.server.Now(), connlimit.Input{Complete: used > 0, Partial: len(conn.In) > 0})
	c.updateOpen()
}

// handleMessages handles the complete messages at the front of data, which may have arrived as early as receivedAt, and
// returns their size in bytes. It closes the connection at a message that is too short for a header, at one that is an
// answer, and when too many queries are open or arrive in one read.
func (c *stream) handleMessages(data []byte, receivedAt time.Duration) (used int) {
	used = c.skip(data)
	for handled := 0; len(data)-used >= lengthBytes && !c.closed; handled++ {
		if handled >= maxWaitingQueries {
			c.server.Log("client-protocol-error", "front", "dns", "queries", handled, "open", c.open)
			c.close()
			break
		}
		length := int(binary.BigEndian.Uint16(data[used:]))
		if length > maxQueryBytes && len(data)-used >= lengthBytes+headerBytes {
			used += lengthBytes
			c.rejectLong(data[used:used+headerBytes], receivedAt)
			c.skipBytes = length
			used += c.skip(data[used:])
			continue
		}
		if length < headerBytes || c.open >= maxWaitingQueries {
			c.close()
			break
		}
		if len(data)-used < lengthBytes+length {
			break
		}
		packet := data[used+lengthBytes : used+lengthBytes+length]
		used += lengthBytes + length
		if packet[flagsByte]&flagAnswer != 0 {
			c.close()
			break
		}
		c.open++
		c.server.handle(packet, c.newQuery(receivedAt))
	}
	return used
}

// rejectLong answers a query that is too long to be parsed, given its header.
func (c *stream) rejectLong(header []byte, receivedAt time.Duration) {
	c.open++
	c.server.rejectMalformed(header, c.newQuery(receivedAt))
}

// skip drops what has arrived of a query that was too long, and returns how many bytes that is.
func (c *stream) skip(data []byte) (skipped int) {
	skipped = min(c.skipBytes, len(data))
	c.skipBytes -= skipped
	return skipped
}

// newQuery returns a query that arrived on the connection, before it is parsed.
func (c *stream) newQuery(receivedAt time.Duration) *pendingQuery {
	return &pendingQuery{from: c.from, receivedAt: receivedAt, reply: c.reply, maxBytes: minUDPBytes, stream: c}
}

func (c *stream) reply(packet []byte) {
	if !c.closed {
		c.conn.Send(binary.BigEndian.AppendUint16(nil, uint16(len(packet))), packet)
	}
}

// answered records that one query has been answered.
func (c *stream) answered() {
	c.open--
	c.updateOpen()
}

// updateOpen tells the limiter how many queries are open: a connection with open queries is not evicted.
func (c *stream) updateOpen() { c.client.SetOpen(c.server.Now(), c.open) }

// unsent returns how many bytes of answers the operating system has not accepted yet.
func (c *stream) unsent() int {
	if c.conn == nil {
		return 0
	}
	return c.conn.Unsent()
}

// close closes the connection after pending writes, and cancels requests that only this client waited for. A keyed
// request continues, because its result may be requested again.
func (c *stream) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.client.Remove()
	c.conn.Close()
	for request, inFlight := range c.server.byRequest {
		c.removeQueries(inFlight)
		if len(inFlight.waiting) == 0 && inFlight.key == "" {
			c.server.cancel(request)
		}
	}
}

// removeQueries removes the connection's queries from those that wait for a flight's result.
func (c *stream) removeQueries(inFlight *flight) {
	remaining := inFlight.waiting[:0]
	for _, query := range inFlight.waiting {
		if query.stream == c {
			delete(c.server.pending, query.transaction)
			query.memory.Release()
		} else {
			remaining = append(remaining, query)
		}
	}
	inFlight.waiting = remaining
}
