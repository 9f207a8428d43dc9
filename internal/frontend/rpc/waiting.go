package rpc

import (
	"math"
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/frontend/rpc/msgpack"
	"sloequay/internal/frontend/rpc/pacing"
)

// waitingMessages are the complete messages that wait for the turn of a rate-limited connection.
type waitingMessages struct {
	pacing.Waiting
	expired   int           // messages up to the last request whose half time has passed
	expiresAt time.Duration // the earliest half time of the requests behind these
}

// noExpiry is the half time of a request whose timeout is not known.
const noExpiry = time.Duration(math.MaxInt64)

// countWaiting counts the complete messages at the front of data, up to a maximum.
func (c *connection) countWaiting(data []byte, now time.Duration, maxMessages int) waitingMessages {
	counted := waitingMessages{expiresAt: noExpiry}
	for counted.Messages < maxMessages {
		message, err := readFrame(data)
		if err != nil {
			break
		}
		data = data[message.size:]
		counted.Messages++
		if message.kind != kindRequest {
			continue
		}
		counted.Requests++
		timeout, isKnown := requestTimeout(message.body)
		if !isKnown {
			continue
		}
		if halfTime := broker.RejectionDeadline(c.receivedAt, timeout); halfTime > now {
			counted.expiresAt = min(counted.expiresAt, halfTime)
		} else {
			counted.expired = counted.Messages
			counted.expiresAt = noExpiry
		}
	}
	return counted
}

// keepWaiting decides on the messages in data, which have to wait for the connection's turn. It returns how many at the
// front must be rejected instead before it is asked again; 0: none, or the connection was closed.
func (c *connection) keepWaiting(data []byte, now time.Duration, result *readResult) (mustReject int) {
	waiting := c.countWaiting(data, now, c.openLimit.MaxWaiting())
	switch {
	case waiting.expired > 0:
		return waiting.expired
	case c.openLimit.MayWait(len(c.open), waiting.Waiting) && c.mayKeep(data):
		c.pace.RejectAt(waiting.expiresAt)
		result.mustWait = true
		result.waiting = waiting.Requests
		return 0
	case c.openLimit.CountWaiting(len(c.open), waiting.Waiting) == pacing.Close:
		c.closeOverrun(data)
		return 0
	}
	return 1
}

// requestTimeout returns the timeout of a request, given its method and parameters. It is not known if the request is
// malformed or has none.
func requestTimeout(body msgpack.Reader) (timeout time.Duration, isKnown bool) {
	body.Skip() // the method
	body.ArrayHeader()
	for pairs := body.MapHeader(); pairs > 0 && body.Err == nil; pairs-- {
		name := body.Text(maxTextBytes)
		isTimeout := string(name) == fieldTimeoutMillis
		value := body.Text(maxValueBytes(string(name)))
		if !isTimeout || body.Err != nil {
			continue
		}
		fields := map[string]string{fieldTimeoutMillis: string(value)}
		allowed := numberRange{minTimeoutMillis, maxTimeoutMillis}
		milliseconds, err := parseNumber(fields, fieldTimeoutMillis, allowed, "")
		return time.Duration(milliseconds * float64(time.Millisecond)), err == nil
	}
	return 0, false
}

// rejectExpired rejects the waiting requests whose half time has passed, and those before them. It returns how many
// there were.
func (c *connection) rejectExpired() (rejected int) {
	before := c.waiting
	c.pace.RejectAt(noExpiry)
	c.conn.Redeliver()
	return before - c.waiting
}

// rejectWaiting rejects the requests that wait for the connection's turn, and returns how many there were. The
// connection stays open: the system may hold more requests of its client, which a close would drop.
func (c *connection) rejectWaiting() (rejected int) {
	rejected = c.waiting
	c.server.pacedQueue.Remove(&c.pace)
	c.rejectAll = true
	c.conn.Redeliver()
	c.rejectAll = false
	return rejected
}
