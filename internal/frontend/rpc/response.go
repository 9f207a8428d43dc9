package rpc

import (
	"strconv"

	"sloequay/internal/broker"
	"sloequay/internal/frontend/rpc/msgpack"
	"sloequay/internal/invariant"
	"sloequay/internal/retryafter"
)

// Respond sends the response to a request. The broker calls it once for each request that was not canceled.
func (c *connection) Respond(request *broker.Request, response broker.Response) {
	request.ReleaseMemory()
	messageID, isOpen := c.messageIDs[request]
	if !isOpen {
		if !c.closed && !request.Canceled {
			c.server.Monitor.RecordViolation(invariant.OneResponse, request.ID)
		}
		return
	}
	delete(c.messageIDs, request)
	delete(c.open, messageID)
	if response.Kind == broker.ResponseServed {
		c.server.answerSizes[request.Class].Observe(c.server.Now(), request.SizeKB, len(response.Body))
	}
	c.sendResponse(messageID, response)
	c.updateOpen()
}

func (c *connection) sendResponse(messageID uint32, response broker.Response) {
	switch response.Kind {
	case broker.ResponseServed:
		c.sendResult(messageID, &response, response.Fields)
	case broker.ResponseNotModified:
		fields := response.Fields[:len(response.Fields):len(response.Fields)]
		fields = append(fields, broker.Field{Name: fieldNotModified, Value: notModified})
		c.sendResult(messageID, &response, fields)
	case broker.ResponseRejected:
		c.sendRejection(messageID, response)
	case broker.ResponseFailed:
		c.sendError(messageID, errorFailed, nil)
	case broker.ResponseDenied:
		c.sendError(messageID, errorDenied, []broker.Field{{Name: fieldReason, Value: response.Reason}})
	}
}

// sendResult sends [1, ID, nil, [BODY, FIELDS]].
func (c *connection) sendResult(messageID uint32, response *broker.Response, fields []broker.Field) {
	header := msgpack.AppendNil(appendResponseHeader(nil, messageID))
	header = msgpack.AppendArrayHeader(header, 2)
	header = msgpack.AppendBinaryHeader(header, len(response.Body))
	trailer := appendFields(nil, fields)
	if response.OwnsBody {
		c.conn.SendBody(header, response.Body, trailer)
	} else {
		c.conn.Send(header, response.Body, trailer)
	}
}

// sendStatus sends [1, ID, nil, [READY, {}]]. READY tells whether the proxy wants new clients.
func (c *connection) sendStatus(messageID uint32) {
	message := msgpack.AppendNil(appendResponseHeader(nil, messageID))
	message = msgpack.AppendArrayHeader(message, 2)
	message = msgpack.AppendBool(message, c.server.Ready())
	c.countUnreadAnswer()
	c.conn.Send(msgpack.AppendMapHeader(message, 0))
}

// sendRejection sends the error after which a retry is harmless, with the Retry-After, if one may be sent, and the
// exhausted budget, if there is one.
func (c *connection) sendRejection(messageID uint32, response broker.Response) {
	var fields []broker.Field
	if response.RetryAfter > 0 && c.server.RetryAfter.MayAdvise() {
		value := strconv.FormatInt(retryafter.Milliseconds(response.RetryAfter), 10)
		fields = append(fields, broker.Field{Name: fieldRetryAfterMillis, Value: value})
	}
	if response.Budget != "" {
		fields = append(fields, broker.Field{Name: fieldBudget, Value: response.Budget})
	}
	c.sendError(messageID, errorRejected, fields)
}

// sendError sends [1, ID, [CODE, FIELDS], nil].
func (c *connection) sendError(messageID uint32, code string, fields []broker.Field) {
	message := msgpack.AppendArrayHeader(appendResponseHeader(nil, messageID), 2)
	message = msgpack.AppendText(message, code)
	message = appendFields(message, fields)
	c.countUnreadAnswer()
	c.conn.Send(msgpack.AppendNil(message))
}

// appendResponseHeader appends a response up to, but not including, its error.
func appendResponseHeader(b []byte, messageID uint32) []byte {
	b = msgpack.AppendArrayHeader(b, responseElements)
	b = msgpack.AppendUint(b, kindResponse)
	return msgpack.AppendUint(b, uint64(messageID))
}

func appendFields(b []byte, fields []broker.Field) []byte {
	b = msgpack.AppendMapHeader(b, len(fields))
	for _, field := range fields {
		b = msgpack.AppendText(b, field.Name)
		b = msgpack.AppendText(b, field.Value)
	}
	return b
}
