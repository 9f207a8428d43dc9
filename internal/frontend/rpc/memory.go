package rpc

import (
	"sloequay/internal/broker"
	"sloequay/internal/frontend/rpc/answersize"
	"sloequay/internal/frontend/rpc/msgpack"
	"sloequay/internal/frontend/rpc/pacing"
	"sloequay/internal/memory"
	"sloequay/internal/policy"
)

const (
	// requestOverheadBytes is the memory that an open request takes besides its body and its token: its fields, timers,
	// attempts and entries in tables.
	requestOverheadBytes = 2 << 10
	// minDiscardBytes is the size of the smallest unhandled input that is discarded or rejected when memory is short.
	// All that a notification needs is shorter.
	minDiscardBytes = 1 << 10
	// maxUnreadAnswers is the number of answers without a body, such as errors, that may wait for a client to read the
	// answers before them, and maxUnreadInAll that with those to requests which the client has canceled.
	maxUnreadAnswers = 64
	maxUnreadInAll   = 1024
)

// MemoryStats counts what was not served because memory is short.
type MemoryStats struct {
	Rejected  int // requests
	Discarded int // messages that were not kept until they were complete; the requests among them were rejected
}

// discardedMessage is an incomplete message that is skipped as it arrives, because memory is short. If it is a request,
// it is rejected once it is complete.
type discardedMessage struct {
	frame   frame // without a body
	skipper msgpack.Skipper
}

// TakeMemoryStats returns the counts since the last call.
func (s *Server) TakeMemoryStats() MemoryStats {
	taken := s.memoryStats
	s.memoryStats = MemoryStats{}
	return taken
}

// ownNeed returns the memory that is charged and reserved for the connection and its open requests.
func (c *connection) ownNeed() memory.Need {
	own := memory.Need{Bytes: c.conn.BufferBytes()}
	for _, request := range c.open {
		own = own.Plus(request.Memory.Need()).Plus(request.Answer.Need())
	}
	return own
}

// requestCost returns the memory that a request takes while it is open, in bytes, without its answer.
func requestCost(request *broker.Request) int {
	return requestOverheadBytes + len(request.Token) + len(request.Body)
}

// answerNeed returns the memory that the body of a request's answer takes. The answer to a request that must not be
// executed twice is always kept, so the most that it can have beyond the estimate is reserved.
func (s *Server) answerNeed(request *broker.Request) memory.Need {
	need := memory.Need{Bytes: s.answerSizes[request.Class].Estimate(request.SizeKB)}
	if s.Classes[request.Class].Idempotency != policy.Idempotent {
		need.Reserve = answersize.MaxBytes - need.Bytes
	}
	return need
}

// admit decides whether a request may be opened. If so, its memory and that of its answer are charged, and its body is
// copied from the input.
func (c *connection) admit(request *broker.Request) pacing.Decision {
	account := c.server.Memory
	cost, answer := requestCost(request), c.server.answerNeed(request)
	fits := account.Admits(c.ownNeed(), answer.Plus(memory.Need{Bytes: cost}))
	decision := c.openLimit.Decide(pacing.Load{Open: len(c.open), MemoryShort: !fits})
	if decision != pacing.Admit {
		if !fits {
			c.server.memoryStats.Rejected++
		}
		return decision
	}
	request.Memory = account.NewCharge(memory.Requests, cost)
	request.Answer = account.NewCharge(memory.Answers, answer.Bytes)
	request.Answer.SetReserve(answer.Reserve)
	request.Body = append([]byte(nil), request.Body...)
	return decision
}

// mayKeep reports whether the unhandled rest of the input may be kept until more arrives or it is its turn.
func (c *connection) mayKeep(rest []byte) bool {
	if len(rest) <= minDiscardBytes {
		return true
	}
	more := max(0, len(rest)-c.conn.InputBufferBytes())
	return c.server.Memory.Admits(c.ownNeed(), memory.Need{Bytes: more})
}

// beginDiscard begins to discard the incomplete message at the front of data.
func (c *connection) beginDiscard(data []byte) error {
	header, err := readHeader(data)
	if err != nil {
		return err
	}
	c.server.memoryStats.Discarded++
	c.discarded = &discardedMessage{frame: header, skipper: msgpack.NewSkipper(maxFrameBytes, maxFrameValues)}
	return nil
}

// continueDiscard discards what has arrived of the message. It returns how many bytes that is.
func (c *connection) continueDiscard(data []byte) (used int, err error) {
	discarded := c.discarded
	used, complete, err := discarded.skipper.Skip(data)
	isRequest := discarded.frame.kind == kindRequest
	switch {
	case err != nil && isRequest:
		c.sendError(discarded.frame.messageID, errorMalformed, nil)
	case complete:
		c.discarded = nil
		if isRequest {
			err = c.rejectForMemory(discarded.frame.messageID)
		}
	}
	return used, err
}

// countUnreadAnswer counts an answer without a body that is about to be sent.
func (c *connection) countUnreadAnswer() { c.unread.AnswerQueued(c.conn.Queued(), c.conn.Flushed()) }
