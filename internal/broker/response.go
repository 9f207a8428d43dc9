package broker

import (
	"time"

	"sloequay/internal/quota"
)

// Frontend is what a request came by. It gets the response exactly once, unless it canceled the request.
type Frontend interface {
	Respond(request *Request, response Response)
}

// Response is the one response to a request.
type Response struct {
	Kind       ResponseKind
	Endpoint   *Endpoint     // that served it
	Address    string        // where it did
	Body       []byte        // of ResponseServed
	Fields     []Field       // that the endpoint sent with its response
	RetryAfter time.Duration // of ResponseRejected: how long to stay away; 0: no advice
	Budget     string        // of ResponseRejected: the one that was used up; empty: none
	Reason     string        // of ResponseRejected and ResponseFailed for people, of ResponseDenied a word of identity
}

// ResponseKind says what a response promises.
type ResponseKind int

// The kinds of responses.
const (
	ResponseServed      ResponseKind = iota
	ResponseNotModified              // the client's copy is the one that would be served
	ResponseRejected                 // a retry is harmless: nothing was executed, or a second time does no harm
	ResponseFailed                   // nothing is promised
	ResponseDenied                   // the caller may not; Reason says why
)

// Field is a name with its value.
type Field struct{ Name, Value string }

// The reasons that responses give. Those of failures go out by DNS, so that they are behaviour; those of rejections are
// in no answer and no log yet.
const (
	reasonRefused           = "refused"
	reasonFailed            = "failed"
	reasonDuplicateID       = "a request with this id is open"
	reasonTooManyOpen       = "too many open requests"
	reasonNoEndpointReached = "no box could be reached"
	reasonDeadlinePassed    = "past its deadline"
)

// rejection is the broker's own rejection of a request.
func (b *Broker) rejection(request *Request, reason string) Response {
	return Response{Kind: ResponseRejected, RetryAfter: b.config.RetryAfter(b.class(request)), Reason: reason}
}

// quotaRejection is the response to a request that a quota or a retry budget has no capacity for.
func quotaRejection(rejection *quota.Rejection) Response {
	return Response{
		Kind:       ResponseRejected,
		RetryAfter: rejection.RetryAfter,
		Budget:     rejection.BudgetName(),
		Reason:     rejection.String(),
	}
}
