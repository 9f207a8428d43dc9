package broker

import (
	"fmt"
	"slices"
	"time"

	"sloequay/internal/policy"
)

// Attempt is one try to have an endpoint serve a request.
type Attempt struct {
	Request      *Request
	Number       int // from 0
	Endpoint     *Endpoint
	Source       *Endpoint     // where Endpoint fills from; Endpoint itself: no fill
	CacheRank    int           // of the cached copy, 1 to 3; 0: cache no copy, keep an existing one as it is
	MaxAge       time.Duration // maximum age of a copy that may be served; 0: the limit of the class
	JoinFill     bool          // may wait for a fill that is in progress
	CachedOnly   bool          // the source serves only what it has cached
	BypassParent bool          // the parent keeps no copy
	Revalidate   bool          // an ageing copy is revalidated while it is served
	Deadline     time.Duration
	Written      bool // set by the pool once some of it may have been written to the endpoint

	decidedAt time.Duration // when the policy decided on it; it may have waited for a connection since
	state     attemptState
}

// attemptState is the state of an attempt. The package's doc comment lists the transitions.
type attemptState uint8

const (
	attemptOpen        attemptState = iota // waiting for a connection, or in flight once Written
	attemptEnded                           // ended, and may have been executed
	attemptNotExecuted                     // ended in a way that proves it was not executed
)

// Open reports whether the attempt has not ended yet.
func (a *Attempt) Open() bool { return a.state == attemptOpen }

// sendAttempt adds the next attempt to a request, and sends it unless a guard or a budget blocks it.
func (b *Broker) sendAttempt(action policy.SendAttempt) {
	request := b.open[action.ID]
	endpoint := b.endpoints.byID[action.Endpoint]
	source := b.endpoints.byID[action.Source]
	if request == nil || endpoint == nil || source == nil {
		b.log("policy-invalid-action", "get", fmt.Sprintf("%+v", action))
		return
	}
	attempt := &Attempt{
		Request:      request,
		Number:       len(request.attempts),
		Endpoint:     endpoint,
		Source:       source,
		CacheRank:    action.CacheRank,
		MaxAge:       action.MaxAge,
		JoinFill:     action.JoinFill,
		CachedOnly:   action.CachedOnly,
		BypassParent: action.BypassParent,
		Revalidate:   action.Revalidate,
		Deadline:     request.deadline,
		decidedAt:    b.now,
	}
	if action.Timeout > 0 {
		attempt.Deadline = min(attempt.Deadline, b.now+action.Timeout)
	}
	anyOpen := slices.ContainsFunc(request.attempts, (*Attempt).Open)
	request.attempts = append(request.attempts, attempt)
	// Without hedging no two attempts may be open at the same time, whatever the policy decides.
	if anyOpen && !b.config.Hedging {
		b.pending = append(b.pending, AttemptEnded{Attempt: attempt, End: Blocked})
		return
	}
	if exhausted := b.charge(attempt); exhausted != nil {
		request.blockedBy = exhausted.rejection
		b.pending = append(b.pending, AttemptEnded{Attempt: attempt, End: exhausted.end})
		return
	}
	request.blockedBy = nil
	if attempt.Deadline < request.deadline {
		b.timers.push(timer{at: attempt.Deadline, kind: attemptTimer, attempt: attempt})
	}
	b.emit(SendAttempt{attempt})
}

// inRetryWindow reports whether endpoints still drop an attempt as a repeat of the attempts before it that may have
// run. The policy checks this when it decides on the attempt, but a connection may be ready only seconds later.
func (b *Broker) inRetryWindow(attempt *Attempt, now time.Duration) bool {
	class := b.class(attempt.Request)
	if class.Idempotency != policy.IdempotentByKey {
		return true
	}
	if attempt.Request.wasExecuted && !b.dropsRepeat(attempt.Request, now) {
		return false
	}
	return !slices.ContainsFunc(attempt.Request.attempts, func(other *Attempt) bool {
		mayHaveRun := other.Written && other.state != attemptNotExecuted
		return other != attempt && mayHaveRun && !class.InRetryWindow(now-other.decidedAt)
	})
}

// endAttempt handles the end of an attempt. Only the first end counts; a request that ends has ended its attempts.
func (b *Broker) endAttempt(event AttemptEnded) {
	attempt := event.Attempt
	request := attempt.Request
	if !attempt.Open() {
		return
	}
	attempt.state = attemptEnded
	end := event.End
	if event.MayHaveRun && end.provesNotExecuted() && b.class(request).Idempotency != policy.Idempotent {
		end = Canceled
	}
	if end.provesNotExecuted() {
		attempt.state = attemptNotExecuted
	}
	if end.Succeeded() {
		b.respond(request, b.successResponse(event))
	}
	b.notify(policy.ResponseEvent{
		ID:        request.id,
		Attempt:   attempt.Number,
		Elapsed:   b.now - attempt.decidedAt,
		Concluded: request.state == requestEnded,
		Note:      event.Note,
		Status:    end.status(),
	})
}

// successResponse returns the response to the request of a successful attempt. If there was no room for its body, the
// request is rejected where a second execution does no harm, and fails otherwise.
func (b *Broker) successResponse(event AttemptEnded) Response {
	request := event.Attempt.Request
	if event.BodyDropped && !request.IgnoresBody {
		if b.class(request).Idempotency == policy.Idempotent {
			return b.rejection(request, reasonBodyDropped)
		}
		return Response{Kind: ResponseFailed, Reason: reasonBodyDropped}
	}
	kind := ResponseServed
	if event.End == NotModified {
		kind = ResponseNotModified
	}
	return Response{
		Kind:     kind,
		Endpoint: event.Attempt.Endpoint,
		Address:  event.Address,
		Body:     event.Body,
		OwnsBody: event.OwnsBody,
		Fields:   event.Fields,
	}
}

// timeOut cancels an attempt whose deadline, or that of its request, has passed.
func (b *Broker) timeOut(attempt *Attempt) {
	b.emit(CancelAttempt{Attempt: attempt})
	b.endAttempt(AttemptEnded{Attempt: attempt, End: TimedOut})
}

// cancelAttempt cancels an attempt for the policy. The attempts of a request that has ended are canceled already.
func (b *Broker) cancelAttempt(action policy.CancelAttempt) {
	request := b.open[action.ID]
	if request == nil || action.Attempt >= len(request.attempts) {
		return
	}
	if attempt := request.attempts[action.Attempt]; attempt.Open() {
		b.emit(CancelAttempt{Attempt: attempt, AwaitEnd: true})
	}
}
