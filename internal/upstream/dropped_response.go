package upstream

import (
	"time"

	"sloequay/internal/broker"
)

// minDropBytes is the size of the smallest response whose body is dropped when memory is short. The line of a partial
// one is complete.
const minDropBytes = maxLine

// droppedResponse is a partial response whose body is dropped as it arrives, because memory is short or nobody needs
// it. The endpoint has served the attempt, so nothing else about it changes.
type droppedResponse struct {
	response  response // without its body
	bytesLeft int
}

// keepPartial reports whether a partial response may be kept until it is complete. If room was reserved for its body,
// the partial response takes none of its own.
func (c *connection) keepPartial(partial []byte) bool {
	if len(partial) <= minDropBytes {
		return true
	}
	line, _, err := parseLine(partial)
	if err != nil {
		return true // handleResponses has reported it
	}
	outstanding := c.attempts[line.words[0]]
	if outstanding == nil || !outstanding.attempt.Open() {
		more := max(0, len(partial)-c.conn.InputBufferBytes())
		return c.pool.Loop.Memory.Fits(0, more)
	}
	if !c.reserveBody(outstanding.attempt, line.bodyLength) {
		return false
	}
	c.conn.ReserveInput(line.size())
	return true
}

// reserveBody reports whether the body of an attempt's response may be kept. It enlarges the room that the request's
// frontend has reserved for the answer, if that is too little and the rest fits.
func (c *connection) reserveBody(attempt *broker.Attempt, bytes int) bool {
	if bytes <= minDropBytes {
		return true
	}
	return attempt.Open() && !attempt.Request.IgnoresBody && attempt.Request.Answer.TryGrow(bytes)
}

// countDrop counts a response whose body is dropped although the request needs it.
func (c *connection) countDrop(attempt *broker.Attempt) {
	if attempt.Open() && !attempt.Request.IgnoresBody {
		c.pool.Stats.NoMemory++
	}
}

// beginDrop begins to drop the body of the partial response at the front of data, and returns how many bytes it used.
func (c *connection) beginDrop(now time.Duration, data []byte) (used int, err error) {
	line, _, err := parseLine(data)
	if err != nil {
		return 0, err
	}
	partial, err := line.response()
	if err != nil {
		return 0, err
	}
	partial.isBodyDropped = true
	if outstanding := c.attempts[partial.id]; outstanding != nil {
		c.countDrop(outstanding.attempt)
	}
	c.dropped = &droppedResponse{response: partial, bytesLeft: line.size()}
	return c.continueDrop(now, data)
}

// continueDrop drops what has arrived of the body, and handles the response once that is all. It returns how many bytes
// it used.
func (c *connection) continueDrop(now time.Duration, data []byte) (used int, err error) {
	dropped := c.dropped
	used = min(dropped.bytesLeft, len(data))
	dropped.bytesLeft -= used
	if dropped.bytesLeft > 0 {
		return used, nil
	}
	c.dropped = nil
	return used, c.handleResponse(now, &dropped.response)
}
