package upstream

import (
	"fmt"
	"time"

	"sloequay/internal/broker"
	"sloequay/internal/eventloop"
)

// Received takes the responses that have come completely.
func (c *connection) Received(conn *eventloop.Conn) {
	now := c.pool.Now()
	c.liveness.BytesRead(now)
	used, err := c.handleResponses(now, conn.In)
	if err != nil {
		c.protocolError(err)
		conn.Consume(len(conn.In))
		return
	}
	if used > 0 {
		c.liveness.ResponseCompleted()
	}
	if rest := conn.In[used:]; len(rest) > 0 {
		c.partialResponseID = partialResponseID(rest)
		c.liveness.ResponseIncomplete()
	}
	conn.Consume(used)
	c.closeIfDone()
}

// handleResponses takes the responses off the front of data.
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

// handleResponse takes one response: of a check, of an attempt, or of nothing that is outstanding.
func (c *connection) handleResponse(now time.Duration, response *response) error {
	isCheck := c.liveness.IsCheck(response.id)
	outstanding := c.attempts[response.id]
	if !isCheck && outstanding == nil {
		if !c.history.contains(response.id) {
			name := c.group.endpoint.Name
			c.pool.Log("upstream-unsolicited-response", "endpoint", name, "id", fmt.Sprintf("%.32s", response.id))
		}
		return nil // a late response, or one too many; another may follow, so the id stays known
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

// mismatchError is a response with a code that does not fit what was asked under its id.
type mismatchError struct{ code responseCode }

// Error names the code by its word on the wire.
func (e *mismatchError) Error() string {
	return fmt.Sprintf("%s does not answer what was asked", e.code)
}

// handleAttemptResponse ends an attempt.
func (c *connection) handleAttemptResponse(
	now time.Duration, outstanding *outstandingAttempt, response *response,
) error {
	attempt := outstanding.attempt
	if response.code == codeNotModified && attempt.Request.ETag == "" {
		return &mismatchError{response.code}
	}
	ended := response.attemptEnded(attempt)
	ended.Address = c.address
	if !ended.End.Succeeded() {
		if c.history.isRepeated(response.id, response.digest) && outstanding.cancelCheckID == "" {
			c.confirmRepeated(now, response.id, outstanding, ended)
			return nil
		}
		c.history.answered(now, response.id, response.digest)
	}
	ended.Body = c.pool.Loop.CopyForRound(ended.Body) // until the round has passed it on
	c.pool.Emit(ended)
	delete(c.attempts, response.id)
	c.lastUsedAt = now
	return nil
}

// confirmRepeated meets a response with the digest of the one before under the same id. It may be that one's second
// copy, with the attempt still in flight: so the attempt is canceled, and ends as answered once the endpoint has read
// that.
func (c *connection) confirmRepeated(
	now time.Duration, id string, outstanding *outstandingAttempt, ended broker.AttemptEnded,
) {
	ended.Body = nil
	ended.MayHaveRun = true
	outstanding.endIfCanceled = &ended
	c.send(now, appendCommand(nil, commandCancel, id))
	c.pool.Stats.CancelConfirms++
	outstanding.cancelCheckID = c.sendCheck(now)
}

// confirmCanceled ends the attempts that were canceled before a check that was answered: the endpoint has read that,
// so that they are in flight no more and the next ones may be sent.
func (c *connection) confirmCanceled(now time.Duration, checkID string) {
	for id, outstanding := range c.attempts {
		if outstanding.cancelCheckID != checkID {
			continue
		}
		ended := broker.AttemptEnded{Attempt: outstanding.attempt, End: broker.Canceled}
		if outstanding.endIfCanceled != nil {
			ended = *outstanding.endIfCanceled
		}
		c.pool.Emit(ended)
		c.history.canceled(now, id)
		delete(c.attempts, id)
	}
}

// protocolError ends a connection whose responses can't be read.
func (c *connection) protocolError(err error) {
	c.pool.Log("upstream-protocol-error", "endpoint", c.group.endpoint.Name, "error", err)
	c.endOutstanding(broker.ProtocolError)
	c.retire()
}
