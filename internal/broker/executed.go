package broker

import (
	"time"

	"sloequay/internal/policy"
)

const (
	// executedRetention is how long the id of a request that may have been executed is remembered.
	executedRetention = time.Minute
	// maxExecuted is the maximum number of ids that are remembered; beyond it the oldest are forgotten.
	maxExecuted = 8192
)

// executedRequests remembers the ids of requests that have ended, that may have been executed, and that must not be
// executed twice. A client may send a request again under its id, on a new connection.
//
// Bounds: maxExecuted ids of the last executedRetention.
type executedRequests struct {
	firstAt map[string]time.Duration // when the first attempt that may have run was decided on, by request id
	ended   []endedRequest           // in the order of their ends
}

// endedRequest is a request in the order of the ends.
type endedRequest struct {
	id string
	at time.Duration
}

// add remembers a request whose first attempt that may have run was decided on at firstAt.
func (e *executedRequests) add(now time.Duration, id string, firstAt time.Duration) {
	e.expire(now)
	if earlier, isKnown := e.firstAt[id]; isKnown {
		e.firstAt[id] = min(earlier, firstAt)
		return
	}
	if len(e.ended) >= maxExecuted {
		e.dropOldest()
	}
	e.firstAt[id] = firstAt
	e.ended = append(e.ended, endedRequest{id: id, at: now})
}

// find returns when the first attempt that may have run was decided on, and whether the id is remembered.
func (e *executedRequests) find(now time.Duration, id string) (firstAt time.Duration, isKnown bool) {
	e.expire(now)
	firstAt, isKnown = e.firstAt[id]
	return firstAt, isKnown
}

func (e *executedRequests) expire(now time.Duration) {
	for len(e.ended) > 0 && now-e.ended[0].at > executedRetention {
		e.dropOldest()
	}
}

func (e *executedRequests) dropOldest() {
	delete(e.firstAt, e.ended[0].id)
	e.ended = e.ended[1:]
}

// rememberExecuted remembers a request that ends, if it may have been executed and must not be executed again.
func (b *Broker) rememberExecuted(request *Request) {
	if b.class(request).Idempotency == policy.Idempotent {
		return
	}
	firstAt, isKnown := request.executedAt, request.wasExecuted
	for _, attempt := range request.attempts {
		if attempt.Written && attempt.state != attemptNotExecuted && (!isKnown || attempt.decidedAt < firstAt) {
			firstAt = attempt.decidedAt
			isKnown = true
		}
	}
	if isKnown {
		b.executed.add(b.now, request.ID, firstAt)
	}
}

// mayExecuteAgain reports whether a request may be admitted although one with the same id may have been executed
// before: endpoints must still drop the repeat. It records the earlier execution in the request.
func (b *Broker) mayExecuteAgain(request *Request) bool {
	request.executedAt, request.wasExecuted = b.executed.find(b.now, request.ID)
	return !request.wasExecuted || b.dropsRepeat(request, b.now)
}

// dropsRepeat reports whether endpoints still drop an attempt as a repeat of an earlier request with the same id.
func (b *Broker) dropsRepeat(request *Request, now time.Duration) bool {
	class := b.class(request)
	return class.Idempotency == policy.IdempotentByKey && class.InRetryWindow(now-request.executedAt)
}
