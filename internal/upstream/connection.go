package upstream

import (
	"fmt"
	"slices"
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/eventloop"
	"sloequay/internal/upstream/liveness"
)

// idleCloseTenths is the fraction of IdleTimeout, in tenths, after which an idle connection is closed. It is closed
// before its endpoint does so because an attempt that crosses the endpoint's close would be lost.
const idleCloseTenths = 7

// connectionState is the stage of a connection's life. It only increases.
type connectionState int

const (
	stateDialing connectionState = iota
	stateUp
	stateClosed // removed from its endpointConnections
)

// connection is one connection to an endpoint, or the dial of one. It is the eventloop.Handler of its socket.
//
// Being retired is independent of its state: a connection may be retired while it is being dialed, and one that is up
// closes only once nothing waits or is outstanding on it. Its liveness.Monitor knows whether it is suspected.
type connection struct {
	pool          *Pool
	group         *endpointConnections
	state         connectionState
	isRetired     bool            // whether it takes no new attempts
	conn          *eventloop.Conn // nil while it is being dialed
	listedAddress string          // of the endpoint when it was first dialed; its host may be a name
	address       string          // listedAddress, resolved if its host is a name
	dial          dialProgress
	lastUsedAt    time.Duration // when an attempt or a check was last sent or answered

	waiting       []*broker.Attempt              // to be written, once the connection is up
	isFlushQueued bool                           // whether it is in the pool's flushQueue
	isFlushing    bool                           // whether Flush requested its write in this round
	attempts      map[string]*outstandingAttempt // by request id
	history       idHistory
	liveness      liveness.Monitor // also tracks the outstanding checks
	// partialResponseID is the id of the last response that arrived in part; it may have been completed since.
	partialResponseID string
	dropped           *droppedResponse // a partial response whose body is not kept; nil: none
}

// outstandingAttempt is an attempt that was queued on a connection for writing and has no response yet.
type outstandingAttempt struct {
	attempt     *broker.Attempt
	dueAt       time.Duration // when its response is due, for the liveness checks
	startOffset uint64        // of its first byte among all bytes queued on the connection
	// cancelCheckID is the id of the check sent right after the attempt's cancellation: once the check is answered, the
	// attempt is no longer in flight. Empty: no such check was sent.
	cancelCheckID string
	// pendingEnd is how the attempt ends then; nil: with broker.Canceled.
	pendingEnd *broker.AttemptEnded
}

// outstanding returns the number of attempts and checks that were sent and not answered.
func (c *connection) outstanding() int { return len(c.attempts) + c.liveness.OutstandingChecks() }

// load returns the number of outstanding attempts and checks plus that of waiting attempts.
func (c *connection) load() int { return c.outstanding() + len(c.waiting) }

// isIdle reports whether the connection is up and has no load.
func (c *connection) isIdle() bool { return c.state == stateUp && c.load() == 0 }

// candidate returns the facts that the choice of a connection depends on.
func (c *connection) candidate(now time.Duration) candidate {
	load := c.load()
	return candidate{
		isUp:      c.state == stateUp,
		isRetired: c.isRetired,
		load:      load,
		isUsable: !c.isRetired && load < c.pool.Streams && !c.liveness.IsSuspected() &&
			!c.liveness.IsPartialSlow(now),
	}
}

// isIDFree reports whether a response with the id would certainly be the response to a new attempt.
func (c *connection) isIDFree(id string) bool {
	canConfirm := c.pool.ChecksAllowed && c.pool.CancelAllowed
	return c.attempts[id] == nil && !c.liveness.IsCheck(id) && !c.history.isAmbiguous(id, canConfirm)
}

// holds reports whether an attempt waits for the connection or is outstanding on it.
func (c *connection) holds(attempt *broker.Attempt) bool {
	outstanding := c.attempts[attempt.Request.ID]
	return outstanding != nil && outstanding.attempt == attempt || slices.Contains(c.waiting, attempt)
}

// predates reports whether the connection was dialed before the endpoint restarted or moved to another address.
func (c *connection) predates(endpoint *broker.Endpoint) bool {
	return c.dial.startedAt < endpoint.StartedAt || c.listedAddress != endpoint.Address
}

// Opened records that the connection is up. Waiting attempts are written at the end of the round, so that other events
// of the round apply first: the client may have left, or the endpoint may be draining.
func (c *connection) Opened(conn *eventloop.Conn) {
	c.conn = conn
	c.state = stateUp
	c.liveness.BytesRead(c.pool.Now())
	c.queueFlush()
	c.closeIfDone()
}

// Closed ends the outstanding attempts. Those of which nothing was written never ran; the others may have. Flush ends
// the waiting attempts.
func (c *connection) Closed(conn *eventloop.Conn, err error) {
	if count := c.outstanding(); count > 0 {
		name := c.group.endpoint.Name
		c.pool.Log("upstream-connection-reset", "endpoint", name, "open", count, "error", fmt.Sprint(err))
		c.pool.Stats.Resets++
	}
	c.endUnwritten(conn.Written())
	c.endOutstanding(broker.ConnectionReset)
	c.remove()
	if len(c.waiting) > 0 {
		c.queueFlush()
	}
}

// retire takes the connection out of use. It closes once nothing waits or is outstanding on it.
func (c *connection) retire() {
	c.isRetired = true
	c.closeIfDone()
}

func (c *connection) closeIfDone() {
	if c.isRetired && c.isIdle() {
		c.conn.Close()
		c.remove()
	}
}

// remove removes the connection from the pool.
func (c *connection) remove() {
	if c.state == stateClosed {
		return
	}
	c.state = stateClosed
	c.pool.connections--
	c.group.remove(c)
}

// endWaiting ends the attempts that wait for the connection.
func (c *connection) endWaiting(end broker.End) {
	for _, attempt := range c.waiting {
		c.pool.Emit(broker.AttemptEnded{Attempt: attempt, End: end})
	}
	c.waiting = nil
}

// endUnwritten ends the attempts of which no byte was written: those that start at or after the offset written.
func (c *connection) endUnwritten(written uint64) {
	for id, outstanding := range c.attempts {
		if outstanding.startOffset >= written {
			outstanding.attempt.Written = false
			c.pool.Emit(broker.AttemptEnded{Attempt: outstanding.attempt, End: broker.NotSent})
			delete(c.attempts, id)
		}
	}
}

// endOutstanding ends the outstanding attempts and drops the outstanding checks.
func (c *connection) endOutstanding(end broker.End) {
	for id, outstanding := range c.attempts {
		c.pool.Emit(broker.AttemptEnded{Attempt: outstanding.attempt, End: end})
		delete(c.attempts, id)
	}
	c.liveness.DropChecks()
}

// cancelResult says whether the connection will report the end of an attempt that it canceled.
type cancelResult int

const (
	noEndFollows cancelResult = iota
	endFollows                // with an AttemptEnded, once the endpoint has read the cancellation
)

// cancel cancels an attempt that waits for the connection or is outstanding on it.
func (c *connection) cancel(effect broker.CancelAttempt) cancelResult {
	attempt := effect.Attempt
	if i := slices.Index(c.waiting, attempt); i >= 0 {
		c.waiting = slices.Delete(c.waiting, i, i+1)
		return noEndFollows
	}
	now := c.pool.Now()
	if !c.pool.CancelAllowed && now < attempt.Deadline {
		return noEndFollows // housekeep drops the attempt at its deadline
	}
	id := attempt.Request.ID
	if c.pool.CancelAllowed {
		c.send(now, appendCommand(nil, commandCancel, id))
	}
	if effect.AwaitEnd && c.pool.ChecksAllowed {
		c.pool.Stats.CancelConfirms++
		c.attempts[id].cancelCheckID = c.sendCheck(now)
		return endFollows
	}
	c.dropCanceled(now, id)
	return noEndFollows
}

// dropCanceled removes a canceled attempt, and remembers its id because a late response may still arrive.
func (c *connection) dropCanceled(now time.Duration, id string) {
	delete(c.attempts, id)
	c.history.addCanceled(now, id)
	c.closeIfDone()
}

// housekeep drops what has expired, and retires the connection if it has been idle for too long.
func (c *connection) housekeep(now time.Duration) {
	c.history.expire(now)
	for id, outstanding := range c.attempts {
		if attempt := outstanding.attempt; !attempt.Open() && now >= attempt.Deadline {
			c.dropCanceled(now, id) // its cancellation could not be sent
		}
	}
	idleLimit := c.pool.IdleTimeout * idleCloseTenths / 10
	if c.isIdle() && idleLimit > 0 && now-c.lastUsedAt > idleLimit {
		c.retire()
	}
}
