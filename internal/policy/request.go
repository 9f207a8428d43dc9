package policy

import (
	"time"

	"sloequay/internal/policy/aimd"
	"sloequay/internal/policy/endpointset"
	"sloequay/internal/policy/gaptable"
)

// endpointState is an endpoint with what is known of it.
type endpointState = endpointset.Endpoint[attemptRef]

// attemptRef is the nth attempt of a request.
type attemptRef struct {
	request *openRequest
	n       int
}

// maxInconclusive is how many attempts of a request may end in a way that says nothing of their endpoints:
// such an end leaves the next decision as it was.
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

	expectedSeconds  float64 // its sending time at full pace
	effectiveSeconds float64 // the one by which it is admitted, see fairness.Shares
	sizeKnown        bool
	price            float64 // effective sending time for a priority weight of 1: what it costs here

	cacheRank      int  // at which a copy is cached
	toReplica      bool // it goes to the second copy, which is filled from the first
	cachedOnlySent bool // a parent was sent a fill from what it caches
	atCapacity     bool // a cache or a limiter had no capacity for it
	// answerLost says that an answer of it was lost, by a reset or by being so late that it was hedged: its
	// endpoint was asked once more, and the next reset counts against the endpoint.
	answerLost   bool
	cancels      int // how many of its attempts were canceled for others
	inconclusive int // how many of its attempts ended in a way that says nothing of their endpoints

	attempts []attemptState
	inFlight int
	failed   []*endpointState // as endpoint or as source; not tried again
}

// attemptState is one attempt of a request.
type attemptState struct {
	route
	limiter *aimd.Limiter // of a probable fill, else nil
	sentAt  time.Duration

	done       bool
	mayHaveRun bool
	replaced   bool // canceled, or another attempt was sent beside it
	slow       bool // that it missed its objective is counted already

	load            float64 // of the endpoint when it was sent
	expectedSeconds float64 // its sending time at that load
	overtaken       int     // by answers to attempts that were sent later, for more
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
	e.waiting = append(e.waiting, request)
	e.advance(request)
}

// estimateSize gives a request its sending time, from its size or else from its class. What a client says of
// the size may be wrong, and must not spoil what is known of the class.
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

// recordDemand counts a request for its part, and decides whether and at which rank a copy is cached.
func (e *Engine) recordDemand(request *openRequest, event RequestEvent) {
	request.row = e.tables.Row(request.part)
	if request.row == nil || !event.Retry {
		request.row = e.tables.Touch(request.part, e.now)
	}
	request.cacheRank = e.tables.Rank(request.row)
	if request.cacheRank == 0 && e.cachedForOthers(request.part) {
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
		e.learn(request, attempt, event)
	}
	if event.Status == StatusOK || event.Concluded {
		e.finish(request)
		return
	}
	if request.inFlight == 0 && request.isStuck(event.Status) {
		e.giveUp(request)
		return
	}
	e.advance(request)
}

// isStuck reports whether the next attempt would end as the last one did: the budget that blocked it is used
// up, or too many have ended without a sign that another would not.
func (r *openRequest) isStuck(status Status) bool {
	return status == StatusBudgetExhausted || r.inconclusive >= maxInconclusive
}

// learn takes from a good answer how long such answers take and where the part is cached.
func (e *Engine) learn(request *openRequest, attempt *attemptState, event ResponseEvent) {
	e.timing(attempt).Observe(event.Elapsed.Seconds() - attempt.expectedSeconds)
	recordOvertaken(request, attempt)
	endpoint := attempt.endpoint
	if fromCopy := attempt.source == endpoint || event.Note == NoteHit; fromCopy {
		netSeconds := event.Elapsed.Seconds() / max(1, attempt.load) // sending time, and what its cache adds
		if request.sizeKnown {
			endpoint.RecordSlowness(netSeconds / request.expectedSeconds)
		} else {
			request.class.cost.RecordResponse(netSeconds, event.Elapsed.Seconds())
		}
	}
	isCached := request.cacheRank > 0 || attempt.source == endpoint
	if request.row != nil && endpoint.Role == endpointset.Cache && isCached && !request.toReplica {
		request.row.CachedBy = uint64(endpoint.ID)
	}
}

// release takes the nth attempt of a request off what is in flight to its endpoint.
func (e *Engine) release(request *openRequest, n int) {
	attempt := &request.attempts[n]
	attempt.endpoint.End(e.now, attemptRef{request, n})
	if attempt.limiter != nil {
		attempt.limiter.InFlight--
	}
}

// finish forgets a request that has its end and cancels what is still in flight.
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
	request.ended = true // the next tick takes it out of what waits
}
