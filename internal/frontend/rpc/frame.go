package rpc

import (
	"errors"
	"fmt"

	"sloequay/internal/broker"
	"sloequay/internal/frontend/rpc/msgpack"
	"sloequay/internal/frontend/rpc/pacing"
)

// frame is one complete message of a client: a request or a notice.
type frame struct {
	kind      uint64
	messageID uint32         // of a request
	body      msgpack.Reader // of method and parameters, not read yet
	size      int            // of the whole frame, in bytes
}

// brokenRequestError is returned for a request that can't be read, but for its message id.
type brokenRequestError struct {
	messageID uint32
	err       error
}

// Error returns what is wrong with the request.
func (e *brokenRequestError) Error() string { return e.err.Error() }

// Unwrap returns what is wrong with the request.
func (e *brokenRequestError) Unwrap() error { return e.err }

// duplicateIDError is returned for a request with the message id of an open one.
type duplicateIDError struct {
	messageID uint32
}

// Error names the message id.
func (e *duplicateIDError) Error() string {
	return fmt.Sprintf("message id %d used twice", e.messageID)
}

// floodError is returned for one request too many beyond those that may be open.
type floodError struct {
	excess int
}

// Error names the limit.
func (e *floodError) Error() string {
	return fmt.Sprintf("%d requests beyond the %d that may be open", e.excess, maxOpenRequests)
}

// readFrame cuts one frame off the front of data. With msgpack.ErrShort it has not come completely yet; with any
// other error the connection can't go on.
func readFrame(data []byte) (frame, error) {
	reader := msgpack.Reader{Data: data, MaxBytes: maxFrameBytes, ValuesLeft: maxFrameValues}
	elements := reader.Array()
	kind := reader.Uint()
	switch {
	case reader.Err != nil:
		return frame{}, reader.Err
	case kind == kindRequest && elements == requestElements:
		return readRequestFrame(&reader)
	case kind == kindNotice && elements == noticeElements:
		return readBody(&reader, frame{kind: kindNotice})
	}
	return frame{}, fmt.Errorf("message of kind %d with %d elements", kind, elements)
}

// readRequestFrame reads on after the kind of a request.
func readRequestFrame(reader *msgpack.Reader) (frame, error) {
	id := reader.Uint()
	if reader.Err != nil {
		return frame{}, reader.Err
	}
	if id > maxMessageID {
		return frame{}, fmt.Errorf("message id %d", id)
	}
	messageID := uint32(id)
	request, err := readBody(reader, frame{kind: kindRequest, messageID: messageID})
	if err != nil && !errors.Is(err, msgpack.ErrShort) {
		err = &brokenRequestError{messageID: messageID, err: err}
	}
	return request, err
}

// readBody passes over method and parameters, which end a message.
func readBody(reader *msgpack.Reader, head frame) (frame, error) {
	start := reader.Pos
	reader.Skip() // the method
	reader.Skip() // the parameters
	if reader.Err != nil {
		return frame{}, reader.Err
	}
	head.size = reader.Pos
	head.body = msgpack.Reader{Data: reader.Data[:reader.Pos], Pos: start}
	return head, nil
}

// handleMessage handles one message from the front of data and returns its size in bytes. With msgpack.ErrShort it
// has not come completely yet; with any other error the connection can't go on.
func (c *connection) handleMessage(data []byte) (size int, err error) {
	message, err := readFrame(data)
	if err != nil {
		var broken *brokenRequestError
		if errors.As(err, &broken) {
			c.sendError(broken.messageID, errorMalformed, nil)
		}
		return 0, err
	}
	if message.kind == kindRequest {
		err = c.handleRequest(&message)
	} else {
		c.handleNotice(&message.body)
	}
	return message.size, err
}

// handleRequest answers a request, or hands it to the broker. With an error the connection can't go on.
func (c *connection) handleRequest(message *frame) error {
	messageID := message.messageID
	if c.rejectAll {
		c.sendRejection(messageID, broker.Response{})
		return nil
	}
	body := &message.body
	method := string(body.Text(maxTextBytes))
	if body.Err == nil && method == methodStatus {
		c.sendStatus(messageID)
		return nil
	}
	request, err := c.parseRequest(method, body)
	if err != nil {
		c.server.Log("client-bad-request", "message", messageID, "error", err)
		c.sendError(messageID, errorMalformed, nil)
		return nil
	}
	if c.open[messageID] != nil {
		c.server.Log("client-duplicate-id", "message", messageID)
		return &duplicateIDError{messageID: messageID}
	}
	decision := c.openLimit.Decide(pacing.Load{Open: len(c.open), MemoryShort: c.server.MemoryShort()})
	if decision != pacing.Admit {
		c.sendRejection(messageID, broker.Response{RetryAfter: c.server.RetryAfter.ConnectionFull()})
		if decision == pacing.Close {
			return &floodError{excess: c.openLimit.Excess()}
		}
		return nil
	}
	c.open[messageID] = request
	c.messageIDs[request] = messageID
	c.server.Emit(broker.RequestReceived{Request: request})
	return nil
}

// handleNotice cancels the open request that a notice names. A notice is due no answer, and an unknown one does no
// harm.
func (c *connection) handleNotice(body *msgpack.Reader) {
	method := string(body.Text(maxTextBytes))
	parameters := body.Array()
	if body.Err != nil || method != methodCancel || parameters != 1 {
		return
	}
	id := body.Uint()
	if body.Err != nil || id > maxMessageID {
		return
	}
	messageID := uint32(id)
	request := c.open[messageID]
	if request == nil {
		return
	}
	delete(c.open, messageID)
	delete(c.messageIDs, request)
	c.cancel(request)
}
