package broker

import (
	"slices"
	"time"

	"sloequay/internal/concurrency"
	"sloequay/internal/identity"
	"sloequay/internal/memory"
	"sloequay/internal/policy"
	"sloequay/internal/quota"
	"sloequay/internal/route"
)

const bytesPerKB = 1024

// Request is a client's request. Its frontend fills in the exported fields; the others belong to the broker.
type Request struct {
	Frontend    Frontend
	ID          string       // given by the client to this one of its attempts; unique among the open requests
	Class       int          // index in policy.Config.Classes
	Team        string       // the team whose quota is charged
	Service     string       // of the team; empty: its only service
	Zone        string       // zone named by a DNS query; empty for other frontends
	Route       route.Choice // the pool that it is routed to
	Object      uint64
	ObjectName  string // Object as the client wrote it
	Part        int
	Group       int    // invalidation.AnyGroup: unknown
	Key         string // idempotency key, the same for all of the client's attempts; empty in classes without one
	ETag        string // the tag of the copy that the client has
	SizeKB      float64
	MarkedRetry bool // the client marked it as its own retry
	Body        []byte
	Token       string           // token presented by the caller; empty: none
	Caller      *identity.Caller // the connection that it arrived on
	ReceivedAt  time.Duration    // when its last byte arrived
	Timeout     time.Duration    // how long the client waits
	// Canceled is set by the frontend when it emits RequestCanceled. A request that is canceled in the round of its
	// arrival is not admitted, so that a burst of hundreds of them does not reach the endpoints.
	Canceled bool
	// IgnoresBody says that the frontend does not need the body of the response.
	IgnoresBody bool
	// Memory is the frontend's charge for the memory that the request takes, and Answer its charge for the room that
	// the body of the response will take. Both are released when the request ends, Answer as soon as the body is
	// charged elsewhere.
	Memory, Answer memory.Charge

	id       policy.RequestID
	state    requestState
	deadline time.Duration // by which the response must be on its way
	attempts []*Attempt
	// wasExecuted says that an ended request with the same ID may have been executed, the first time by an attempt that
	// was decided on at executedAt.
	wasExecuted bool
	executedAt  time.Duration
	grant       quota.Grant      // charged for the request and its attempts while it is open
	blockedBy   *quota.Rejection // rejection by the budget that blocked the latest attempt; nil: none did
}

// requestState is the state of a request. The package's doc comment lists the transitions.
type requestState uint8

const (
	requestNew      requestState = iota // not admitted
	requestAdmitted                     // open, with a grant, an id and timers
	requestEnded                        // it has its response or was canceled
)

// ReleaseMemory releases the request's charges. Further calls have no effect.
func (r *Request) ReleaseMemory() {
	r.Memory.Release()
	r.Answer.Release()
}

// anyWritten reports whether any attempt of the request may have been written to an endpoint.
func (r *Request) anyWritten() bool {
	return slices.ContainsFunc(r.attempts, func(attempt *Attempt) bool { return attempt.Written })
}

func (b *Broker) class(request *Request) *policy.Class { return &b.config.Classes[request.Class] }

// receive admits a request or responds to it at once. Unless it is canceled, it gets exactly one response.
func (b *Broker) receive(request *Request) {
	if request.Canceled {
		request.state = requestEnded
		request.ReleaseMemory()
		return
	}
	request.deadline = responseDeadline(request.ReceivedAt, request.Timeout)
	if b.byClientID[request.ID] != nil {
		// Endpoints and responses identify requests by this id: a second one could get the response to the first.
		b.respond(request, Response{Kind: ResponseFailed, Reason: reasonDuplicateID})
		return
	}
	if !b.mayExecuteAgain(request) {
		b.respond(request, Response{Kind: ResponseFailed, Reason: reasonExecuted})
		return
	}
	if len(b.open) >= b.maxOpen {
		b.respond(request, b.rejection(request, reasonTooManyOpen))
		return
	}
	class := b.class(request)
	cost := quota.Cost{PriorityWeight: class.PriorityWeight, Bytes: request.SizeKB * bytesPerKB}
	grant, rejection := b.quotas.Admit(b.now, request.Team, request.Service, class.Name, cost)
	if rejection != nil {
		b.respond(request, quotaRejection(rejection))
		return
	}
	b.admit(request, grant)
}

// admit opens a request and notifies the policy of it.
func (b *Broker) admit(request *Request, grant quota.Grant) {
	b.lastID++
	request.id = b.lastID
	request.state = requestAdmitted
	request.grant = grant
	b.open[request.id] = request
	b.byClientID[request.ID] = request
	halfTimeAt := RejectionDeadline(request.ReceivedAt, request.Timeout)
	b.timers.push(timer{at: request.deadline, kind: deadlineTimer, request: request})
	b.timers.push(timer{at: halfTimeAt, kind: halfTimeTimer, request: request})
	b.notify(policy.RequestEvent{
		ID:        request.id,
		Class:     request.Class,
		Object:    request.Object,
		Part:      request.Part,
		Group:     request.Group,
		Remaining: request.deadline - b.now,
		SizeKB:    request.SizeKB,
		Retry:     request.MarkedRetry,
	})
}

// cancel ends a request whose client no longer waits. The request may not have been received yet.
func (b *Broker) cancel(request *Request) {
	if request.state == requestEnded {
		return
	}
	b.close(request, concurrency.NoSignal)
	b.notify(policy.ClientGoneEvent{ID: request.id})
}

// handleHalfTime rejects a request if none of its attempts has been written by its half time.
func (b *Broker) handleHalfTime(request *Request) {
	if request.state == requestEnded || request.anyWritten() {
		return
	}
	b.respond(request, b.rejection(request, reasonNoEndpointReached))
	b.notify(policy.ClientGoneEvent{ID: request.id})
}

// handleDeadline ends a request at its deadline. Its open attempts time out, and the policy may respond to that with a
// rejection if a retry is harmless; otherwise the request fails.
func (b *Broker) handleDeadline(request *Request) {
	if request.state == requestEnded {
		return
	}
	for _, attempt := range request.attempts {
		if attempt.Open() {
			b.timeOut(attempt)
		}
	}
	if request.state == requestEnded {
		return
	}
	b.respond(request, Response{Kind: ResponseFailed, Reason: reasonDeadlinePassed})
	b.notify(policy.ClientGoneEvent{ID: request.id})
}

// conclude responds to a request as the policy decided. If a budget blocked the latest attempt, a rejection is replaced
// by that budget's, which is more specific.
func (b *Broker) conclude(id policy.RequestID, response Response) {
	request := b.open[id]
	if request == nil {
		return
	}
	if request.blockedBy != nil && response.Kind == ResponseRejected {
		response = quotaRejection(request.blockedBy)
	}
	b.respond(request, response)
}

// respond ends a request with its only response.
func (b *Broker) respond(request *Request, response Response) {
	if request.state == requestEnded {
		return
	}
	if request.wasExecuted && response.Kind == ResponseRejected {
		response = Response{Kind: ResponseFailed, Reason: reasonExecuted} // a rejection says that a retry is harmless
	}
	b.close(request, b.loadSignal(request, response))
	b.emit(Respond{request, response})
}

// loadSignal returns what a response tells the concurrency limiter about the load on the endpoints.
func (b *Broker) loadSignal(request *Request, response Response) concurrency.Outcome {
	switch {
	case response.Kind == ResponseServed || response.Kind == ResponseNotModified:
		objective := b.latencyObjective(request)
		if objective > 0 && b.now-request.ReceivedAt > objective {
			return concurrency.ObjectiveMissed
		}
		return concurrency.InTime
	case response.Budget != "":
		return concurrency.NoSignal
	}
	return concurrency.Rejected
}

// latencyObjective returns the latency objective of a request, which grows with its size; 0: it has none.
func (b *Broker) latencyObjective(request *Request) time.Duration {
	class := b.class(request)
	objective := class.LatencyObjective
	if b.config.FlowKBps > 0 {
		seconds := class.ObjectiveStretch * request.SizeKB / b.config.FlowKBps
		objective += time.Duration(seconds * float64(time.Second))
	}
	return objective
}

// close ends a request: it releases the grant and cancels the attempts that are still open.
func (b *Broker) close(request *Request, outcome concurrency.Outcome) {
	if request.state == requestAdmitted {
		delete(b.open, request.id)
		delete(b.byClientID, request.ID)
		request.grant.ReleaseWithOutcome(b.now, outcome, b.now-request.ReceivedAt)
	}
	request.state = requestEnded
	for _, attempt := range request.attempts {
		if attempt.Open() {
			attempt.state = attemptEnded
			b.emit(CancelAttempt{Attempt: attempt})
		}
	}
	b.rememberExecuted(request)
	request.Body = nil
	request.ReleaseMemory()
}
