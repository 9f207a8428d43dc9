package upstream

import (
	"fmt"
	"slices"
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/eventloop"
	"sloequay/internal/upstream/liveness"
)

// idleCloseTenths is after how much of IdleTimeout an idle connection is closed: before its endpoint closes it, as an
// attempt that crosses that close would be lost.
const idleCloseTenths = 7

// connectionState is how far a connection is. It only goes up.
type connectionState int

const (
	stateDialing connectionState = iota
	stateUp
	stateClosed // it is in no list any more
)

// connection is one connection to an endpoint, or the dial of one. It is the eventloop.Handler of its socket.
//
// Whether it is retired is apart from its state: one that is dialed may be retired before it is up, and one that is up
// closes only once nothing is outstanding. Whether it is suspected is known to its liveness.Monitor.
type connection struct {
	pool          *Pool
	group         *endpointConnections
	state         connectionState
	isRetired     bool            // it takes nothing new
	conn          *eventloop.Conn // nil while it is dialed
	listedAddress string          // of the endpoint when it was dialed: an address, or a name
	address       string          // the same resolved
	dial          dialProgress
	lastUsedAt    time.Duration // when something was sent or answered

	waiting       []*broker.Attempt // for the connection to come up, or to be written
	isFlushQueued bool              // it is in the pool's flushQueue
	isFlushing    bool              // Flush has asked for it to be written in this round
	attempts      map[string]*outstandingAttempt
	history       idHistory
	liveness      liveness.Monitor // knows the checks that are outstanding
	// partialResponseID is the id of the last response of which a part came; it may have been completed since.
	partialResponseID string
}

// outstandingAttempt is an attempt that was put on a connection and has no response.
type outstandingAttempt struct {
	attempt     *broker.Attempt
	dueAt       time.Duration // its response is past due then
	startOffset uint64        // of its bytes on the connection
	// cancelCheckID is the check sent behind the cancellation of the attempt. Once that is answered the attempt is in
	// flight no more. Empty: it was not canceled.
	cancelCheckID string
	// endIfCanceled is how the attempt ends then; nil: as canceled.
	endIfCanceled *broker.AttemptEnded
}

// outstanding is the number of attempts and checks that were sent and not answered.
func (c *connection) outstanding() int { return len(c.attempts) + c.liveness.OutstandingChecks() }

// load is the number of those, and of the attempts that wait.
func (c *connection) load() int { return c.outstanding() + len(c.waiting) }

// isIdle reports whether the connection is up and in use by nothing.
func (c *connection) isIdle() bool { return c.state == stateUp && c.load() == 0 }

// candidate is what the choice of a connection needs to know.
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

// isIDFree reports whether a response under an id would be that of a new attempt for certain.
func (c *connection) isIDFree(id string) bool {
	canConfirm := c.pool.ChecksAllowed && c.pool.CancelAllowed
	return c.attempts[id] == nil && !c.liveness.IsCheck(id) && !c.history.isAmbiguous(id, canConfirm)
}

// holds reports whether an attempt waits for the connection or is outstanding on it.
func (c *connection) holds(attempt *broker.Attempt) bool {
	outstanding := c.attempts[attempt.Request.ID]
	return outstanding != nil && outstanding.attempt == attempt || slices.Contains(c.waiting, attempt)
}

// predates reports whether the connection is one to where an endpoint was before it started anew or moved.
func (c *connection) predates(endpoint *broker.Endpoint) bool {
	return c.dial.startedAt < endpoint.StartedAt || c.listedAddress != endpoint.Address
}

// Opened notes that the connection is up. What has waited for it is written at the end of the round: what comes beside
// it, as that the client has left or the endpoint drains, counts first.
func (c *connection) Opened(conn *eventloop.Conn) {
	c.conn = conn
	c.state = stateUp
	c.liveness.BytesRead(c.pool.Now())
	c.queueFlush()
	c.closeIfDone()
}

// Closed ends what was outstanding: what was not written for certain never ran, the rest may have. What waits is ended
// by Flush.
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

// retire takes the connection out of use. It closes when nothing is outstanding on it.
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

// remove takes the connection out of the pool.
func (c *connection) remove() {
	if c.state == stateClosed {
		return
	}
	c.state = stateClosed
	c.pool.connections--
	c.group.remove(c)
}

// endWaiting ends what waits for the connection.
func (c *connection) endWaiting(end broker.End) {
	for _, attempt := range c.waiting {
		c.pool.Emit(broker.AttemptEnded{Attempt: attempt, End: end})
	}
	c.waiting = nil
}

// endUnwritten ends the attempts of which no byte was written: those that begin at or beyond an offset.
func (c *connection) endUnwritten(written uint64) {
	for id, outstanding := range c.attempts {
		if outstanding.startOffset >= written {
			outstanding.attempt.Written = false
			c.pool.Emit(broker.AttemptEnded{Attempt: outstanding.attempt, End: broker.NotSent})
			delete(c.attempts, id)
		}
	}
}

// endOutstanding ends all attempts and checks that are outstanding.
func (c *connection) endOutstanding(end broker.End) {
	for id, outstanding := range c.attempts {
		c.pool.Emit(broker.AttemptEnded{Attempt: outstanding.attempt, End: end})
		delete(c.attempts, id)
	}
	c.liveness.DropChecks()
}

// cancelResult is whether a canceled attempt's end is still to come.
type cancelResult int

const (
	noEndFollows cancelResult = iota
	endFollows                // an AttemptEnded, once the endpoint has read the cancellation
)

// cancel gives up an attempt that the connection holds.
func (c *connection) cancel(effect broker.CancelAttempt) cancelResult {
	attempt := effect.Attempt
	if i := slices.Index(c.waiting, attempt); i >= 0 {
		c.waiting = slices.Delete(c.waiting, i, i+1)
		return noEndFollows
	}
	now := c.pool.Now()
	if !c.pool.CancelAllowed && now < attempt.Deadline {
		return noEndFollows // housekeep drops it
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
	c.forget(now, id)
	return noEndFollows
}

// forget takes an attempt off the connection that was given up.
func (c *connection) forget(now time.Duration, id string) {
	delete(c.attempts, id)
	c.history.canceled(now, id)
	c.closeIfDone()
}

// housekeep drops what has expired, and retires the connection if it has been idle for long.
func (c *connection) housekeep(now time.Duration) {
	c.history.expire(now)
	for id, outstanding := range c.attempts {
		if attempt := outstanding.attempt; !attempt.Open() && now >= attempt.Deadline {
			c.forget(now, id) // it could not be canceled
		}
	}
	idleLimit := c.pool.IdleTimeout * idleCloseTenths / 10
	if c.isIdle() && idleLimit > 0 && now-c.lastUsedAt > idleLimit {
		c.retire()
	}
}
