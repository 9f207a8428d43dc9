package policy

import (
	"time"

	"sloequay/internal/policy/aimd"
	"sloequay/internal/policy/endpointset"
	"sloequay/internal/policy/gaptable"
)

// endpointState is an endpoint with what the engine has learned about it.
type endpointState = endpointset.Endpoint[attemptRef]

// attemptRef refers to the nth attempt of a request.
type attemptRef struct {
	request *openRequest
	n       int
}

// maxInconclusive is how many attempts of a request may end without saying anything about their endpoints.
// After such an end, the next attempt is decided from the same information as the last one.
const maxInconclusive = 6

// openRequest is an open request.
type openRequest struct {
	id       RequestID
	class    *classState
	part     gaptable.Part
	group    int
	row      *gaptable.Row // of its part; nil for a write
	deadline time.Duration
	ended    bool

	expectedSeconds  float64 // transfer time at full rate
	effectiveSeconds float64 // transfer time that admission is based on, see fairness.Shares
	sizeKnown        bool
	price            float64 // effectiveSeconds per unit of priority weight

	cacheRank      int  // of the copy that is cached; 0: none
	toReplica      bool // sent to the cache of the second copy, which is filled from the first
	cachedOnlySent bool // a fill from a parent's cached copy was sent
	atCapacity     bool // a cache or a limiter had no capacity for it
	// responseLost is set once a response was lost to a reset, or was so late that the attempt was hedged.
	// The first reset is retried at the same endpoint; the next one counts as the endpoint's failure.
	responseLost bool
	cancels      int // number of attempts canceled to send another
	inconclusive int // number of attempts that ended without saying anything about their endpoints

	attempts []attemptState
	inFlight int
	failed   []*endpointState // as endpoint or as source; not tried again for this request
}

// attemptState is one attempt of a request.
type attemptState struct {
	route
	limiter *aimd.Limiter // that counts a probable fill; nil: no fill is likely
	sentAt  time.Duration

	done       bool
	mayHaveRun bool
	replaced   bool // canceled, or hedged by another attempt
	slow       bool // its missed objective is recorded already

	load            float64 // of the endpoint when it was sent
	expectedSeconds float64 // transfer time at that load
	overtaken       int     // number of responses to later, larger requests that came before its own
}

func (e *Engine) onRequest(event RequestEvent) {
	if event.Class < 0 || event.Class >= len(e.classes) || e.requests[event.ID] != nil {
		return
	}
	class := &e.classes[event.Class]
	part := gaptable.Part{Object: event.Object, Index: event.Part}
	deadline := e.now + event.Remaining
	request := &openRequest{id: event.ID, class: class, part: part, group: event.Group, deadline: deadline}
	e.tables.CountRequest()
	e.estimateSize(request, event)
	if !class.Write {
		e.recordDemand(request, event)
	}
	request.effectiveSeconds = class.shares.EffectiveSize(request.expectedSeconds)
	request.price = e.prices.Record(request.effectiveSeconds, class.PriorityWeight)
	e.requests[event.ID] = request
	e.byArrival = append(e.byArrival, request)
	e.advance(request)
}

// estimateSize sets the expected transfer time of a request, from its size if known and else from its class.
// A size is bounded, since clients may state wrong ones, which must not distort the estimate of the class.
func (e *Engine) estimateSize(request *openRequest, event RequestEvent) {
	cost := &request.class.cost
	request.expectedSeconds = cost.Mean()
	request.sizeKnown = event.SizeKB > 0 && e.cfg.FlowKBps > 0
	if request.sizeKnown {
		longest := max(event.Remaining.Seconds(), cost.Mean())
		request.expectedSeconds = min(event.SizeKB/e.cfg.FlowKBps, longest)
		cost.RecordSendingTime(request.expectedSeconds)
	}
}

// recordDemand records a request for its part, and decides whether and at which rank a copy is cached.
func (e *Engine) recordDemand(request *openRequest, event RequestEvent) {
	request.row = e.tables.Row(request.part)
	if request.row == nil || !event.Retry {
		request.row = e.tables.Touch(request.part, e.now)
	}
	request.cacheRank = e.tables.Rank(request.row)
	if request.cacheRank == 0 && e.cachedOnFirstRequest(request.part) {
		request.cacheRank = 1
	}
}

func (e *Engine) onResponse(event ResponseEvent) {
	request := e.requests[event.ID]
	if request == nil || event.Attempt < 0 || event.Attempt >= len(request.attempts) ||
		request.attempts[event.Attempt].done {
		return
	}
	attempt := &request.attempts[event.Attempt]
	attempt.done = true
	request.inFlight--
	e.release(request, event.Attempt)
	attempt.endpoint.Health.RestartWait(e.now)
	e.recordFill(request, attempt, event)
	attempt.mayHaveRun = !event.Status.ProvesNotExecuted()
	e.recordOutcome(request, attempt, event)
	if event.Status == StatusOK {
		e.recordSuccess(request, attempt, event)
	}
	if event.Status == StatusOK || event.Concluded {
		e.finish(request)
		return
	}
	if request.inFlight == 0 && request.retryIsFutile(event.Status) {
		e.giveUp(request)
		return
	}
	e.advance(request)
}

// retryIsFutile reports whether another attempt would probably end like the last one: the budget that blocked
// it is used up, or too many attempts have ended without saying anything about their endpoints.
func (r *openRequest) retryIsFutile(status Status) bool {
	return status == StatusBudgetExhausted || r.inconclusive >= maxInconclusive
}

// recordSuccess learns from a successful response how long such responses take and where the part is cached.
func (e *Engine) recordSuccess(request *openRequest, attempt *attemptState, event ResponseEvent) {
	e.timing(attempt).Observe(event.Elapsed.Seconds() - attempt.expectedSeconds)
	recordOvertaken(request, attempt)
	endpoint := attempt.endpoint
	if fromCopy := attempt.source == endpoint || event.Note == NoteHit; fromCopy {
		// Transfer time plus what the cache adds to it, without the effect of load.
		unloadedSeconds := event.Elapsed.Seconds() / max(1, attempt.load)
		if request.sizeKnown {
			endpoint.RecordSlowness(unloadedSeconds / request.expectedSeconds)
		} else {
			request.class.cost.RecordResponse(unloadedSeconds, event.Elapsed.Seconds())
		}
	}
	isCached := request.cacheRank > 0 || attempt.source == endpoint
	if request.row != nil && endpoint.Role == endpointset.Cache && isCached && !request.toReplica {
		request.row.CachedBy = uint64(endpoint.ID)
	}
}

// release removes the nth attempt of a request from those in flight at its endpoint and its limiter.
func (e *Engine) release(request *openRequest, n int) {
	attempt := &request.attempts[n]
	attempt.endpoint.End(e.now, attemptRef{request, n})
	if attempt.limiter != nil {
		attempt.limiter.InFlight--
	}
}

// finish removes a request that has ended, and cancels its attempts in flight.
func (e *Engine) finish(request *openRequest) {
	for n := range request.attempts {
		if request.attempts[n].done {
			continue
		}
		e.release(request, n)
		if e.cfg.MayCancel {
			e.emit(CancelAttempt{request.id, n})
		}
	}
	if request.atCapacity {
		request.class.shares.RecordRejected(request.expectedSeconds)
	} else {
		request.class.shares.RecordAdmitted(request.expectedSeconds)
	}
	delete(e.requests, request.id)
	request.ended = true // the next tick removes it from byArrival
}
