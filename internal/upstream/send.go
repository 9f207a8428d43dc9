package upstream

import (
	"strconv"
	"time"

	"sloequay/internal/broker"
)

const (
	// expectedHitTime and expectedFillTime are how long a response takes at most where nothing is slow, beside its
	// sending time.
	expectedHitTime  = 25 * time.Millisecond
	expectedFillTime = 100 * time.Millisecond
	// dueFactor times the expected time is when a response is due.
	dueFactor = 2
)

// queueFlush has Pool.Flush write what waits for the connection.
func (c *connection) queueFlush() {
	if !c.isFlushQueued {
		c.isFlushQueued = true
		c.pool.flushQueue = append(c.pool.flushQueue, c)
	}
}

// flush writes what waits for the connection, which has come up and may be closed again.
func (c *connection) flush() {
	c.isFlushQueued = false
	waiting := c.waiting
	c.waiting = nil
	for _, attempt := range waiting {
		if c.isRetired { // since the attempt was put there
			c.pool.Emit(broker.AttemptEnded{Attempt: attempt, End: broker.NotSent})
			continue
		}
		c.write(attempt)
	}
	c.closeIfDone()
}

// write puts an attempt on the connection, if the list and the purges still allow it.
func (c *connection) write(attempt *broker.Attempt) {
	now := c.pool.Now()
	maxAge, maySend := c.pool.MaySend(attempt, now)
	isResolved := c.address != c.group.endpoint.Address
	if isResolved && c.pool.AddressBlocked(c.address) {
		maySend = false
		c.isRetired = true // the next connection asks the name server anew
	}
	if !maySend || c.state == stateClosed {
		c.pool.Emit(broker.AttemptEnded{Attempt: attempt, End: broker.Blocked})
		return
	}
	attempt.Written = true
	c.pool.Stats.Written++
	c.beforeSending(now)
	c.attempts[attempt.Request.ID] = &outstandingAttempt{
		attempt:     attempt,
		dueAt:       now + dueFactor*c.pool.expectedTime(attempt),
		startOffset: c.conn.Queued(),
	}
	class := c.pool.Classes[attempt.Request.Class].Name
	c.send(now, appendRequest(nil, attempt, class, maxAge, attempt.Deadline-now))
}

// expectedTime is how long the response to an attempt takes at most where nothing is slow.
func (p *Pool) expectedTime(attempt *broker.Attempt) time.Duration {
	expected := expectedHitTime
	if attempt.Source != attempt.Endpoint {
		expected = expectedFillTime
	}
	if p.FlowKBps > 0 {
		expected += time.Duration(attempt.Request.SizeKB / p.FlowKBps * float64(time.Second))
	}
	return expected
}

// beforeSending notes that an attempt or a check is about to be outstanding.
func (c *connection) beforeSending(now time.Duration) {
	if c.outstanding() == 0 {
		c.liveness.OutstandingBegan(now)
	}
	c.lastUsedAt = now
}

// send leaves bytes to be written at the end of the round.
func (c *connection) send(now time.Duration, data []byte) {
	c.conn.Send(data)
	c.liveness.BytesQueued(now, c.conn.Queued())
}

// sendCheck asks the endpoint whether the connection lives, and gives the id of the response: all that was sent before
// has been read once that comes.
func (c *connection) sendCheck(now time.Duration) (id string) {
	c.pool.Stats.LivenessChecks++
	c.pool.checksSent++
	id = "p" + strconv.Itoa(c.pool.checksSent)
	c.beforeSending(now)
	c.liveness.CheckSent(now, id)
	c.send(now, appendCommand(nil, commandCheck, id))
	return id
}
