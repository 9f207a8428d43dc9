package rpc

import (
	"errors"
	"fmt"

	"sloequay/internal/broker"
	"sloequay/internal/frontend/rpc/msgpack"
	"sloequay/internal/frontend/rpc/pacing"
)

// frame is one complete message of a client: a request or a notification.
type frame struct {
	kind      uint64
	messageID uint32         // of a request
	body      msgpack.Reader // the method and parameters, not parsed yet
	size      int            // of the whole frame, in bytes
}

// malformedRequestError is returned for a malformed request whose message id could be read.
type malformedRequestError struct {
	messageID uint32
	err       error
}

// Error describes what is wrong with the request.
func (e *malformedRequestError) Error() string { return e.err.Error() }

// Unwrap returns the underlying error.
func (e *malformedRequestError) Unwrap() error { return e.err }

// duplicateIDError is returned for a request that has the message id of an open one.
type duplicateIDError struct {
	messageID uint32
}

// Error describes the error with the message id.
func (e *duplicateIDError) Error() string {
	return fmt.Sprintf("message id %d is in use by an open request", e.messageID)
}

// floodError is returned when too many messages of one read open or cancel no request.
type floodError struct {
	excess int // messages of one read that opened and canceled none
}

// Error describes the error with the number of requests and the limit.
func (e *floodError) Error() string {
	return fmt.Sprintf("%d messages of one read opened or canceled no request, at most %d may be open",
		e.excess, maxOpenRequests)
}

// unreadAnswersError is returned when a client goes on sending without reading its answers.
type unreadAnswersError struct {
	count int // answers that it did not read
}

// Error describes the error with the number of answers and the limit.
func (e *unreadAnswersError) Error() string {
	return fmt.Sprintf("%d answers were not read, at most %d may be that were not canceled", e.count, maxUnreadAnswers)
}

// readFrame parses one frame at the front of data. It returns msgpack.ErrIncomplete for a frame that has not arrived
// completely; after any other error the connection must be closed.
func readFrame(data []byte) (frame, error) {
	reader := msgpack.Reader{Data: data, MaxBytes: maxFrameBytes, ValuesLeft: maxFrameValues}
	header, err := readHeaderFrom(&reader)
	if err != nil {
		return frame{}, err
	}
	complete, err := readBody(&reader, header)
	if header.kind == kindRequest && err != nil && !errors.Is(err, msgpack.ErrIncomplete) {
		err = &malformedRequestError{messageID: header.messageID, err: err}
	}
	return complete, err
}

// readHeader parses the kind and the message id of the frame at the front of data, which may be incomplete. It returns
// the same errors as readFrame.
func readHeader(data []byte) (frame, error) {
	return readHeaderFrom(&msgpack.Reader{Data: data})
}

// readHeaderFrom parses a frame up to its method.
func readHeaderFrom(reader *msgpack.Reader) (frame, error) {
	elements := reader.ArrayHeader()
	kind := reader.Uint()
	switch {
	case reader.Err != nil:
		return frame{}, reader.Err
	case kind == kindRequest && elements == requestElements:
		return readMessageID(reader)
	case kind == kindNotification && elements == notificationElements:
		return frame{kind: kindNotification}, nil
	}
	return frame{}, fmt.Errorf("unexpected message of kind %d with %d elements", kind, elements)
}

// readMessageID parses the message id of a request.
func readMessageID(reader *msgpack.Reader) (frame, error) {
	id := reader.Uint()
	if reader.Err != nil {
		return frame{}, reader.Err
	}
	if id > maxMessageID {
		return frame{}, fmt.Errorf("message id %d is out of range", id)
	}
	return frame{kind: kindRequest, messageID: uint32(id)}, nil
}

// readBody skips the method and the parameters, the last elements of a message, and returns header with their position
// and the frame's size added.
func readBody(reader *msgpack.Reader, header frame) (frame, error) {
	start := reader.Pos
	reader.Skip() // the method
	reader.Skip() // the parameters
	if reader.Err != nil {
		return frame{}, reader.Err
	}
	header.size = reader.Pos
	header.body = msgpack.Reader{Data: reader.Data[:reader.Pos], Pos: start}
	return header, nil
}

// handleMessage handles one message at the front of data and returns its size in bytes. It returns
// msgpack.ErrIncomplete for a message that has not arrived completely; after any other error the connection must be
// closed.
func (c *connection) handleMessage(data []byte) (size int, err error) {
	message, err := readFrame(data)
	if errors.Is(err, msgpack.ErrIncomplete) {
		return 0, err
	}
	if err != nil {
		var malformed *malformedRequestError
		if errors.As(err, &malformed) {
			c.sendError(malformed.messageID, errorMalformed, nil)
		}
		return 0, err
	}
	if message.kind == kindRequest {
		err = c.handleRequest(&message)
	} else {
		err = c.handleNotification(&message.body)
	}
	return message.size, err
}

// handleRequest responds to a request or passes it to the broker. After an error the connection must be closed.
func (c *connection) handleRequest(message *frame) error {
	messageID := message.messageID
	if c.rejectAll || c.rejectNext {
		c.sendRejection(messageID, broker.Response{RetryAfter: c.server.RetryAfter.ConnectionFull()})
		return nil
	}
	body := &message.body
	method := string(body.Text(maxTextBytes))
	if body.Err == nil && method == methodStatus {
		c.sendStatus(messageID)
		return c.countExcess()
	}
	request, err := c.parseRequest(method, body)
	if err != nil {
		c.server.Log("client-bad-request", "message", messageID, "error", err)
		c.sendError(messageID, errorMalformed, nil)
		return c.countExcess()
	}
	if c.open[messageID] != nil {
		c.server.Log("client-duplicate-id", "message", messageID)
		return &duplicateIDError{messageID: messageID}
	}
	if decision := c.admit(request); decision != pacing.Admit {
		return c.rejectForLoad(messageID, decision)
	}
	c.open[messageID] = request
	c.messageIDs[request] = messageID
	c.server.Emit(broker.RequestReceived{Request: request})
	return nil
}

// rejectForLoad rejects a request because too much is open or memory is short. After an error the connection must be
// closed.
func (c *connection) rejectForLoad(messageID uint32, decision pacing.Decision) error {
	c.sendRejection(messageID, broker.Response{RetryAfter: c.server.RetryAfter.ConnectionFull()})
	if decision == pacing.Close {
		return &floodError{excess: c.openLimit.Excess()}
	}
	return nil
}

// rejectForMemory rejects a request because memory is short. After an error the connection must be closed.
func (c *connection) rejectForMemory(messageID uint32) error {
	return c.rejectForLoad(messageID, c.openLimit.Decide(pacing.Load{MemoryShort: true}))
}

// countExcess counts a message that opened and canceled no request. After an error the connection must be closed: its
// client sends without regard to the answers, and the work for it would delay other clients.
func (c *connection) countExcess() error {
	if c.rejectNext {
		return nil // OpenLimit.CountWaiting counts it
	}
	if c.openLimit.CountExcess() == pacing.Close {
		return &floodError{excess: c.openLimit.Excess()}
	}
	return nil
}

// handleNotification cancels the open request that a notification names. Notifications get no response, and unknown
// ones have no effect. After an error the connection must be closed.
func (c *connection) handleNotification(body *msgpack.Reader) error {
	messageID, err := parseCancellation(body)
	if err != nil {
		return c.countExcess()
	}
	c.unread.RequestCanceled()
	request := c.open[messageID]
	if request == nil {
		return c.countExcess()
	}
	delete(c.open, messageID)
	delete(c.messageIDs, request)
	c.cancel(request)
	return nil
}

// errNoCancellation is returned for a notification that is not a cancellation.
var errNoCancellation = errors.New("the notification cancels no request")

// parseCancellation returns the message id that a cancellation names.
func parseCancellation(body *msgpack.Reader) (messageID uint32, err error) {
	method := string(body.Text(maxTextBytes))
	parameters := body.ArrayHeader()
	if body.Err != nil || method != methodCancel || parameters != 1 {
		return 0, errNoCancellation
	}
	id := body.Uint()
	if body.Err != nil || id > maxMessageID {
		return 0, errNoCancellation
	}
	return uint32(id), nil
}
