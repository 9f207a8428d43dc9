package upstream

import (
	"strconv"
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/eventloop"
)

const (
	// expectedHitTime and expectedFillTime are the maximum response times while nothing is slow, excluding the transfer
	// of the body.
	expectedHitTime  = 25 * time.Millisecond
	expectedFillTime = 100 * time.Millisecond
	// dueFactor times the expected time is the time after which a response is past due.
	dueFactor = 2
	// maxPrepareTime is the longest that preparing the attempts of a connection takes, unless the process stood still.
	// They are prepared at most maxPrepareTries times.
	maxPrepareTime  = 10 * time.Millisecond
	maxPrepareTries = 3
)

// queueFlush makes the next Pool.Flush handle the attempts that wait for the connection.
func (c *connection) queueFlush() {
	if !c.isFlushQueued {
		c.isFlushQueued = true
		c.pool.flushQueue = append(c.pool.flushQueue, c)
	}
}

// Compose sends the waiting attempts if Pool.Flush requested it. Whether an attempt may be sent, its remaining time and
// the maximum age of a copy are determined only here, because the process may have stood still since Flush.
func (c *connection) Compose(*eventloop.Conn) {
	if !c.isFlushing {
		return
	}
	c.isFlushing = false
	if c.pool.DeferWrites() {
		c.queueFlush()
		return
	}
	c.flush()
}

// preparedAttempt is a waiting attempt, encoded to be sent now, or the reason why it can't be sent.
type preparedAttempt struct {
	attempt *broker.Attempt
	data    []byte
	end     broker.End // how the attempt ends if data is nil
}

// flush sends the waiting attempts. The connection has come up, but may have closed since. Attempts are prepared again
// if the process stood still meanwhile.
func (c *connection) flush() {
	waiting := c.waiting
	c.waiting = nil
	var prepared []preparedAttempt
	for range maxPrepareTries {
		began := c.pool.Now()
		prepared = c.prepareAll(waiting)
		if c.pool.Now()-began <= maxPrepareTime {
			break
		}
	}
	for i := range prepared {
		c.sendPrepared(&prepared[i])
	}
	c.closeIfDone()
}

// prepareAll prepares attempts. Its only side effect is that it may retire the connection.
func (c *connection) prepareAll(waiting []*broker.Attempt) []preparedAttempt {
	all := make([]preparedAttempt, 0, len(waiting))
	for _, attempt := range waiting {
		all = append(all, c.prepare(attempt))
	}
	return all
}

// prepare encodes an attempt if the endpoint list and MaySend still allow it.
func (c *connection) prepare(attempt *broker.Attempt) preparedAttempt {
	if c.isRetired { // since the attempt was queued
		return preparedAttempt{attempt: attempt, end: broker.NotSent}
	}
	now := c.pool.Now()
	maxAge, maySend := c.pool.MaySend(attempt, now)
	isResolved := c.address != c.group.endpoint.Address
	if isResolved && c.pool.AddressBlocked(c.address) {
		maySend = false
		c.isRetired = true // so that the next connection resolves the name again
	}
	if !maySend || c.state == stateClosed {
		return preparedAttempt{attempt: attempt, end: broker.Blocked}
	}
	class := c.pool.Classes[attempt.Request.Class].Name
	timeLeft := attempt.Deadline - c.pool.Now() // not now: MaySend and AddressBlocked take time too
	return preparedAttempt{attempt: attempt, data: appendRequest(nil, attempt, class, maxAge, timeLeft)}
}

// sendPrepared queues a prepared attempt for writing. It ends an attempt that can't be sent, or that does not fit into
// memory. The round that decided on the attempt is over, so its end needs another round.
func (c *connection) sendPrepared(prepared *preparedAttempt) {
	attempt := prepared.attempt
	if prepared.data != nil && !c.pool.Loop.Memory.Fits(0, len(prepared.data)) {
		c.pool.Stats.NoMemory++
		prepared.data = nil
		prepared.end = broker.NoConnectionCapacity
	}
	if prepared.data == nil {
		c.pool.Emit(broker.AttemptEnded{Attempt: attempt, End: prepared.end})
		c.pool.Loop.RequestRound()
		return
	}
	now := c.pool.Now()
	attempt.Written = true
	c.pool.Stats.Written++
	c.beforeSending(now)
	c.attempts[attempt.Request.ID] = &outstandingAttempt{
		attempt:     attempt,
		dueAt:       now + dueFactor*c.pool.expectedTime(attempt),
		startOffset: c.conn.Queued(),
	}
	c.send(now, prepared.data)
}

// expectedTime returns the maximum time of the response to an attempt while nothing is slow.
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

// beforeSending records that an attempt or a check is about to become outstanding.
func (c *connection) beforeSending(now time.Duration) {
	if c.outstanding() == 0 {
		c.liveness.OutstandingBegan(now)
	}
	c.lastUsedAt = now
}

// send queues bytes to be written at the end of the round.
func (c *connection) send(now time.Duration, data []byte) {
	c.conn.Send(data)
	c.liveness.BytesQueued(now, c.conn.Queued())
}

// sendCheck sends a liveness check and returns its id. Once the check is answered, the endpoint has read everything
// that was sent before it.
func (c *connection) sendCheck(now time.Duration) (id string) {
	c.pool.Stats.LivenessChecks++
	c.pool.checksSent++
	id = "p" + strconv.Itoa(c.pool.checksSent)
	c.beforeSending(now)
	c.liveness.CheckSent(now, id)
	c.send(now, appendCommand(nil, commandCheck, id))
	return id
}
