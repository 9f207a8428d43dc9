package upstream

import (
	"fmt"
	"slices"
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/eventloop"
)

// maxRoundBody is the size in bytes of the largest body that is copied to buffers which the rounds reuse.
const maxRoundBody = 32 << 10

// Received handles the responses that have arrived completely.
func (c *connection) Received(conn *eventloop.Conn) {
	now := c.pool.Now()
	c.liveness.BytesRead(now)
	used, isCompleted, err := c.handleInput(now, conn.In)
	if err != nil {
		c.protocolError(err)
		conn.Consume(len(conn.In))
		return
	}
	if isCompleted {
		c.liveness.ResponseCompleted()
	}
	if rest := conn.In[used:]; len(rest) > 0 {
		c.partialResponseID = partialResponseID(rest)
	}
	if c.dropped != nil {
		c.partialResponseID = c.dropped.response.id
	}
	if c.dropped != nil || len(conn.In) > used {
		c.liveness.ResponseIncomplete()
	}
	conn.Consume(used)
	c.closeIfDone()
}

// handleInput handles the complete responses in data, and drops what has arrived of a body that is not kept. It returns
// how many bytes it used, and whether a response was completed.
func (c *connection) handleInput(now time.Duration, data []byte) (used int, isCompleted bool, err error) {
	if c.dropped != nil {
		used, err = c.continueDrop(now, data)
		if err != nil || c.dropped != nil {
			return used, false, err
		}
		isCompleted = true
	}
	handled, err := c.handleResponses(now, data[used:])
	used += handled
	isCompleted = isCompleted || handled > 0
	if err != nil || c.keepPartial(data[used:]) {
		return used, isCompleted, err
	}
	dropped, err := c.beginDrop(now, data[used:])
	return used + dropped, isCompleted, err
}

// handleResponses handles the complete responses at the front of data, and returns their length.
func (c *connection) handleResponses(now time.Duration, data []byte) (used int, err error) {
	for {
		response, length, err := parseResponse(data[used:])
		if err != nil || length == 0 {
			return used, err
		}
		used += length
		if err := c.handleResponse(now, &response); err != nil {
			return used, err
		}
	}
}

// handleResponse handles one response: to a check, to an attempt, or to nothing that is outstanding.
func (c *connection) handleResponse(now time.Duration, response *response) error {
	isCheck := c.liveness.IsCheck(response.id)
	outstanding := c.attempts[response.id]
	if !isCheck && outstanding == nil {
		if !c.history.contains(response.id) {
			name := c.group.endpoint.Name
			c.pool.Log("upstream-unsolicited-response", "endpoint", name, "id", fmt.Sprintf("%.32s", response.id))
		}
		return nil // late or duplicate response; another may follow, so the id stays in the history
	}
	c.pool.Stats.countResponse(response.code, notes[response.field(fieldNote)])
	if isCheck == response.code.endsAttempt() {
		return &mismatchError{response.code}
	}
	if isCheck {
		c.confirmCanceled(now, response.id)
		c.liveness.CheckAnswered(now, response.id)
		c.lastUsedAt = now
		return nil
	}
	return c.handleAttemptResponse(now, outstanding, response)
}

// mismatchError reports a response whose code does not fit what was sent under its id.
type mismatchError struct{ code responseCode }

// Error describes the mismatch, with the code as its word on the wire.
func (e *mismatchError) Error() string {
	return fmt.Sprintf("response code %s does not fit what was sent under its id", e.code)
}

// handleAttemptResponse ends an attempt, or has confirmRepeated end it later if the response may be a duplicate.
func (c *connection) handleAttemptResponse(
	now time.Duration, outstanding *outstandingAttempt, response *response,
) error {
	attempt := outstanding.attempt
	if response.code == codeNotModified && attempt.Request.ETag == "" {
		return &mismatchError{response.code}
	}
	if !c.reserveBody(attempt, len(response.body)) {
		c.countDrop(attempt)
		response.body = nil
		response.isBodyDropped = true
	}
	ended := response.attemptEnded(attempt)
	ended.Address = c.address
	if !ended.End.Succeeded() {
		if c.history.isRepeated(response.id, response.digest) && outstanding.cancelCheckID == "" {
			c.confirmRepeated(now, response.id, outstanding, ended)
			return nil
		}
		c.history.addAnswered(now, response.id, response.digest)
	}
	c.copyBody(&ended)
	c.pool.Emit(ended)
	delete(c.attempts, response.id)
	c.lastUsedAt = now
	return nil
}

// copyBody copies the body of a response. A small one uses buffers that are reused, is valid until the end of the
// round, and charged to the loop. A large one belongs to the request, and stays charged to it.
func (c *connection) copyBody(ended *broker.AttemptEnded) {
	if len(ended.Body) > maxRoundBody {
		ended.Body = slices.Clone(ended.Body)
		ended.OwnsBody = true
		return
	}
	ended.Body = c.pool.Loop.CopyForRound(ended.Body)
	if attempt := ended.Attempt; ended.End.Succeeded() && attempt.Open() {
		attempt.Request.Answer.Release()
	}
}

// confirmRepeated handles a response with the same digest as the previous one under its id. It may be a duplicate of
// that one while the attempt is still in flight. So the attempt is canceled, and ends as this response says once the
// endpoint has read the cancellation.
func (c *connection) confirmRepeated(
	now time.Duration, id string, outstanding *outstandingAttempt, ended broker.AttemptEnded,
) {
	ended.Body = nil
	ended.MayHaveRun = true
	outstanding.pendingEnd = &ended
	c.send(now, appendCommand(nil, commandCancel, id))
	c.pool.Stats.CancelConfirms++
	outstanding.cancelCheckID = c.sendCheck(now)
}

// confirmCanceled ends the attempts whose cancellation the answered check confirms. The endpoint has read the
// cancellations, so these attempts are no longer in flight and the next ones may be sent.
func (c *connection) confirmCanceled(now time.Duration, checkID string) {
	for id, outstanding := range c.attempts {
		if outstanding.cancelCheckID != checkID {
			continue
		}
		ended := broker.AttemptEnded{Attempt: outstanding.attempt, End: broker.Canceled}
		if outstanding.pendingEnd != nil {
			ended = *outstanding.pendingEnd
		}
		c.pool.Emit(ended)
		c.history.addCanceled(now, id)
		delete(c.attempts, id)
	}
}

// protocolError ends the outstanding attempts of a connection with an invalid or stalled response, and retires it.
func (c *connection) protocolError(err error) {
	c.pool.Log("upstream-protocol-error", "endpoint", c.group.endpoint.Name, "error", err)
	c.endOutstanding(broker.ProtocolError)
	c.retire()
}
