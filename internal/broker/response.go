package broker

import (
	"time"

	"sloequay/internal/quota"
)

// Frontend receives requests from clients and sends the responses. It gets one response to each of its requests, or
// none if it canceled the request.
type Frontend interface {
	Respond(request *Request, response Response)
}

// Response is the one response to a request.
type Response struct {
	Kind       ResponseKind
	Endpoint   *Endpoint     // the endpoint that served the request
	Address    string        // the address of Endpoint that the response came from
	Body       []byte        // of ResponseServed
	OwnsBody   bool          // whether Body may be kept beyond the round
	Fields     []Field       // sent by the endpoint with its response
	RetryAfter time.Duration // of ResponseRejected: how long the client should wait; 0: no advice
	Budget     string        // of ResponseRejected: the exhausted budget; empty: none
	Reason     string        // for people, but of ResponseDenied the name of an identity.Reason
}

// ResponseKind says what a response promises to the client.
type ResponseKind int

// The kinds of responses.
const (
	ResponseServed      ResponseKind = iota
	ResponseNotModified              // the client's copy is up to date
	ResponseRejected                 // a retry is harmless: nothing was executed, or a second execution does no harm
	ResponseFailed                   // nothing is promised
	ResponseDenied                   // the caller is not authorized; Reason says why
)

// Field is a named value.
type Field struct{ Name, Value string }

// The reasons that responses give. The DNS frontend sends the reasons of failures to clients, so they must not change.
// Those of rejections are not sent or logged yet.
const (
	reasonRefused           = "refused"
	reasonFailed            = "failed"
	reasonDuplicateID       = "a request with this id is open"
	reasonExecuted          = "a request with this id may have run"
	reasonTooManyOpen       = "too many open requests"
	reasonNoEndpointReached = "no box could be reached"
	reasonDeadlinePassed    = "past its deadline"
	reasonBodyDropped       = "memory is short"
)

// rejection returns a rejection of a request by the broker itself.
func (b *Broker) rejection(request *Request, reason string) Response {
	return Response{Kind: ResponseRejected, RetryAfter: b.config.RetryAfter(b.class(request)), Reason: reason}
}

// quotaRejection returns the response to a request that exceeds a quota or a retry budget.
func quotaRejection(rejection *quota.Rejection) Response {
	return Response{
		Kind:       ResponseRejected,
		RetryAfter: rejection.RetryAfter,
		Budget:     rejection.BudgetName(),
		Reason:     rejection.String(),
	}
}
