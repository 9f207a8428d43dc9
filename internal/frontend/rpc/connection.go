package rpc

import (
	"errors"
	"maps"
	"slices"
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/eventloop"
	"sloequay/internal/frontend/connlimit"
	"sloequay/internal/frontend/rpc/msgpack"
	"sloequay/internal/frontend/rpc/pacing"
	"sloequay/internal/identity"
	"sloequay/internal/invariant"
)

// connection is a client's connection with its open requests. It is the connection's eventloop.Handler and the
// broker.Frontend of its requests.
type connection struct {
	server     *Server
	client     *connlimit.Client
	conn       *eventloop.Conn // nil: not opened yet
	caller     identity.Caller
	open       map[uint32]*broker.Request // by message id
	messageIDs map[*broker.Request]uint32 // inverse of open
	openLimit  pacing.OpenLimit
	pace       pacing.Connection[*connection]
	receivedAt time.Duration     // the earliest time at which the messages being handled may have arrived
	waiting    int               // requests that have arrived completely and wait for the connection's turn
	rejectAll  bool              // reject requests without parsing them
	rejectNext bool              // reject the next request without parsing it, as too many wait
	discarded  *discardedMessage // nil: none
	closed     bool
	unread     pacing.UnreadAnswers
}

func newConnection(server *Server, caller identity.Caller) *connection {
	c := &connection{
		server:     server,
		caller:     caller,
		open:       map[uint32]*broker.Request{},
		messageIDs: map[*broker.Request]uint32{},
		openLimit:  pacing.OpenLimit{MaxOpen: maxOpenRequests, MaxExcess: maxExcessRequests},
		unread:     pacing.UnreadAnswers{Max: maxUnreadAnswers, MaxInAll: maxUnreadInAll},
	}
	c.pace.Owner = c
	return c
}

// Opened stores the event loop's connection. The limiter may have evicted the client already, if opening took long.
func (c *connection) Opened(conn *eventloop.Conn) {
	c.conn = conn
	if c.closed {
		conn.Close()
	}
}

// Closed cancels all open requests.
func (c *connection) Closed(*eventloop.Conn, error) { c.close() }

// Received handles the messages that have arrived completely.
func (c *connection) Received(conn *eventloop.Conn) {
	c.openLimit.StartRead()
	if !c.pace.IsWaiting() {
		c.openLimit.StartWait()
	}
	now := c.server.Now()
	c.receivedAt = c.pace.EarliestArrival(now - conn.ReadLag())
	result := c.handleMessages(conn.In, now)
	if result.mustWait {
		c.pace.MarkUnread(c.receivedAt)
	} else {
		c.pace.MarkAllRead()
	}
	if c.closed {
		result.used = len(conn.In)
	}
	conn.Consume(result.used)
	c.waiting = result.waiting
	if result.mustWait && result.used == 0 {
		c.updateOpen()
		conn.DeferRead()
		return
	}
	// The rest of the data on a connection that must wait may be complete messages, so it does not count as partial.
	isPartial := c.discarded != nil || len(conn.In) > 0 && !result.mustWait
	c.client.Received(now, connlimit.Input{Complete: result.completed, Partial: isPartial})
	c.updateOpen()
}

// readResult is what became of the data of one read.
type readResult struct {
	used      int  // bytes that were handled or discarded
	completed bool // whether a message was completed
	mustWait  bool // whether the rest has to wait for the connection's turn
	waiting   int  // complete requests in the rest, if it has to wait
}

// handleMessages handles complete messages at the front of data. What would have to wait for the connection's turn is
// rejected, the oldest first, if there is more than the protocol allows, if half of a request's time has passed, or if
// memory is short. When memory is short, an incomplete message is discarded as it arrives.
func (c *connection) handleMessages(data []byte, now time.Duration) (result readResult) {
	if c.unread.AreIgnored(c.conn.Flushed()) {
		c.protocolError(&unreadAnswersError{count: c.unread.Count()})
	}
	mustReject := 0 // messages at the front of the rest
	for result.used < len(data) && !c.closed {
		rest := data[result.used:]
		mustWait := c.discarded == nil && c.mustWait(now)
		if mustWait && mustReject == 0 {
			if mustReject = c.keepWaiting(rest, now, &result); mustReject == 0 {
				return result
			}
		}
		c.rejectNext = mustWait
		mustReject = max(0, mustReject-1)
		size, err := c.handleNext(rest)
		if errors.Is(err, msgpack.ErrIncomplete) {
			break
		}
		if err != nil {
			c.protocolError(err)
		}
		result.used += size
		result.completed = result.completed || c.discarded == nil
		if c.discarded != nil && size == 0 {
			break
		}
	}
	return result
}

// handleNext handles the message at the front of data, or discards what has arrived of it. It returns how many bytes it
// used, and the errors of handleMessage.
func (c *connection) handleNext(data []byte) (used int, err error) {
	if c.discarded != nil {
		return c.continueDiscard(data)
	}
	used, err = c.handleMessage(data)
	if errors.Is(err, msgpack.ErrIncomplete) && !c.mayKeep(data) {
		if err := c.beginDiscard(data); err != nil {
			return 0, err
		}
		return c.continueDiscard(data)
	}
	return used, err
}

// protocolError closes the connection of a client that violates the protocol.
func (c *connection) protocolError(err error) {
	c.server.Log("client-protocol-error", "error", err, "open", len(c.open))
	c.failAndClose()
}

// mustWait reports whether the next message has to wait for the connection's turn.
func (c *connection) mustWait(now time.Duration) bool {
	if c.rejectAll || c.server.Source == nil || !c.caller.Paced(now) {
		return false
	}
	return !c.server.pacedQueue.Admit(now, &c.pace)
}

// closeOverrun closes a rate-limited connection whose client goes on sending with more requests open than it may have.
// The complete ones in data are rejected: each request that was received must get a response.
func (c *connection) closeOverrun(data []byte) {
	c.server.Log("client-rate-limited", "from", c.caller.Remote, "overrun", c.openLimit.Overrun())
	c.rejectAll = true
	for len(data) > 0 {
		size, err := c.handleMessage(data)
		if err != nil {
			break
		}
		data = data[size:]
	}
	c.failAndClose()
}

// updateOpen tells the limiter how many requests are open or wait for the connection's turn: a connection that owes a
// response is not evicted.
func (c *connection) updateOpen() { c.client.SetOpen(c.server.Now(), len(c.open)+c.waiting) }

// unsent returns how many bytes of responses the operating system has not sent yet for lack of room at the client.
func (c *connection) unsent() int {
	if c.conn == nil {
		return 0
	}
	return c.conn.Undelivered()
}

// close closes the connection after pending writes, and cancels its open requests.
func (c *connection) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.server.pacedQueue.Remove(&c.pace)
	c.client.Remove()
	for _, request := range c.open {
		c.cancel(request)
	}
	c.open = nil
	c.messageIDs = nil
	if c.conn != nil {
		c.conn.Close()
	}
}

// cancel cancels a request that the client no longer waits for.
func (c *connection) cancel(request *broker.Request) {
	request.Canceled = true
	c.server.Emit(broker.RequestCanceled{Request: request})
}

// evict closes the connection for the limiter, which never evicts one with open requests.
func (c *connection) evict() {
	if len(c.open)+c.waiting > 0 {
		c.server.Monitor.RecordViolation(invariant.NothingOpenAtClose, c.caller.Remote)
	}
	c.close()
	if c.conn != nil {
		c.conn.CloseNow()
	}
}

// failAndClose closes the connection of a client that violates the protocol or sends too much. Its open requests are
// well-formed and must get a response, but fail: such a client may match responses to the wrong requests.
func (c *connection) failAndClose() {
	for _, messageID := range slices.Sorted(maps.Keys(c.open)) {
		c.sendError(messageID, errorFailed, nil)
	}
	c.close()
}
