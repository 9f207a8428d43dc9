package upstream

import (
	"strconv"
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/eventloop"
)

const (
	// expectedHitTime and expectedFillTime are how long a response takes at most where nothing is slow, beside its
	// sending time.
	expectedHitTime  = 25 * time.Millisecond
	expectedFillTime = 100 * time.Millisecond
	// dueFactor times the expected time is when a response is due.
	dueFactor = 2
	// maxDraftTime is how long attempts of a connection may take to encode, unless the process stood still, and
	// maxDrafts how often that is tried.
	maxDraftTime = 10 * time.Millisecond
	maxDrafts    = 3
)

// queueFlush has the next Pool.Flush see to what waits for the connection.
func (c *connection) queueFlush() {
	if !c.isFlushQueued {
		c.isFlushQueued = true
		c.pool.flushQueue = append(c.pool.flushQueue, c)
	}
}

// Compose sends what waits for the connection, if Pool.Flush has asked for it. What an attempt says of times and
// copies, and whether it may go out, is looked at here: the process may have stood still since Flush.
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

// draft is an attempt that waits for its connection, as it would be sent now.
type draft struct {
	attempt *broker.Attempt
	data    []byte
	end     broker.End // how the attempt ends unsent, where there is no data
}

// flush sends what waits for the connection, which has come up and may be closed again. What was drafted while the
// process stood still is drafted anew.
func (c *connection) flush() {
	waiting := c.waiting
	c.waiting = nil
	var drafts []draft
	for range maxDrafts {
		began := c.pool.Now()
		drafts = c.draftAll(waiting)
		if c.pool.Now()-began <= maxDraftTime {
			break
		}
	}
	for i := range drafts {
		c.sendDraft(&drafts[i])
	}
	c.closeIfDone()
}

// draftAll drafts attempts, and changes nothing but that the connection may be retired.
func (c *connection) draftAll(waiting []*broker.Attempt) []draft {
	drafts := make([]draft, 0, len(waiting))
	for _, attempt := range waiting {
		drafts = append(drafts, c.draft(attempt))
	}
	return drafts
}

// draft encodes an attempt, if the list and the purges still allow it.
func (c *connection) draft(attempt *broker.Attempt) draft {
	if c.isRetired { // since the attempt was put there
		return draft{attempt: attempt, end: broker.NotSent}
	}
	now := c.pool.Now()
	maxAge, maySend := c.pool.MaySend(attempt, now)
	isResolved := c.address != c.group.endpoint.Address
	if isResolved && c.pool.AddressBlocked(c.address) {
		maySend = false
		c.isRetired = true // the next connection asks the name server anew
	}
	if !maySend || c.state == stateClosed {
		return draft{attempt: attempt, end: broker.Blocked}
	}
	class := c.pool.Classes[attempt.Request.Class].Name
	timeLeft := attempt.Deadline - c.pool.Now() // the look at the list and the purges takes its time too
	return draft{attempt: attempt, data: appendRequest(nil, attempt, class, maxAge, timeLeft)}
}

// sendDraft puts an attempt on the connection, or ends it. The round that decided it is over, so that another one has
// to take its end.
func (c *connection) sendDraft(drafted *draft) {
	attempt := drafted.attempt
	if drafted.data == nil {
		c.pool.Emit(broker.AttemptEnded{Attempt: attempt, End: drafted.end})
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
	c.send(now, drafted.data)
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
