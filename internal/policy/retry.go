package policy

import (
	"slices"
	"time"

	"sloequay/internal/policy/endpointset"
	"sloequay/internal/policy/rto"
)

const (
	// minTimeLeft is how long before its deadline a request is given up, since no response would be in time.
	minTimeLeft = 20 * time.Millisecond
	// With hedging, a response from a cached copy counts as lost after lostAfterTransferTimes transfer times
	// plus rejectionTime.
	lostAfterTransferTimes = 2.0
	// busySlowdown is how long a busy endpoint's responses take, in multiples of their transfer time.
	busySlowdown = 1.5
	// minOvertaken is how many responses must have overtaken an attempt before it counts as lost.
	minOvertaken = 2
	// rejectionTime is the time within which a cache at capacity rejects; a later rejection comes from its
	// source.
	rejectionTime = 50 * time.Millisecond
	// writeObjectiveShare is the share of its objective after which an unanswered write shows that the origin
	// has too many fills.
	writeObjectiveShare = 0.6
)

// advance sends the next attempt of a request that has none in flight, or gives the request up.
func (e *Engine) advance(request *openRequest) {
	if request.inFlight == 0 && (request.deadline-e.now < minTimeLeft || !e.tryNext(request)) {
		e.giveUp(request)
	}
}

// checkInFlight adds the silence since each attempt in flight to its endpoint, and records attempts that have
// become slow.
func (e *Engine) checkInFlight(request *openRequest) {
	for i := range request.attempts {
		attempt := &request.attempts[i]
		if attempt.done {
			continue
		}
		expectedSeconds := busySlowdown * max(request.expectedSeconds, request.class.cost.Mean())
		e.endpoints.AddSilence(e.now, attempt.endpoint, attempt.sentAt, expectedSeconds)
		if !attempt.slow {
			e.checkSlow(request, attempt)
		}
	}
}

// checkSlow records an attempt that has missed its objective.
func (e *Engine) checkSlow(request *openRequest, attempt *attemptState) {
	objective := request.objectiveSeconds(request.expectedSeconds)
	elapsed := (e.now - attempt.sentAt).Seconds()
	isOriginWrite := request.class.Write && attempt.endpoint.Role == endpointset.Origin
	if isOriginWrite && elapsed > writeObjectiveShare*objective {
		attempt.slow = true
		e.fillLimiter.DecreaseByMaxStep() // writes wait behind fills at the origin, and have more weight
		return
	}
	if attempt.limiter != nil && attempt.isFill() && elapsed > objective {
		attempt.slow = true
		e.recordSlowFill(attempt)
	}
}

// retryUnanswered retries a request whose only attempt in flight is lost. With hedging it sends a second
// attempt, even if the first one is only waiting for an ejected endpoint; without hedging, it cancels the
// first one.
func (e *Engine) retryUnanswered(request *openRequest) {
	mayRetry := request.class.Idempotency != NotIdempotent && request.deadline-e.now >= minTimeLeft
	if request.inFlight != 1 || !mayRetry {
		return
	}
	n := slices.IndexFunc(request.attempts, func(attempt attemptState) bool { return !attempt.done })
	if request.attempts[n].replaced {
		return
	}
	if e.cfg.Hedging {
		e.hedge(request, &request.attempts[n])
	} else {
		e.cancelOvertaken(request, n)
	}
}

// hedge sends a second attempt if the given one is lost or waits for an ejected endpoint.
func (e *Engine) hedge(request *openRequest, attempt *attemptState) {
	if request.class.Idempotency != Idempotent {
		return
	}
	isEjected := attempt.endpoint.Health.Ejected() || attempt.source.Health.Ejected()
	transferSeconds := request.expectedSeconds * max(1, attempt.load)
	lostAfterSeconds := lostAfterTransferTimes*transferSeconds + rejectionTime.Seconds()
	isOverdue := (e.now - attempt.sentAt).Seconds() > lostAfterSeconds
	if !isEjected && (!isOverdue || !request.sizeKnown || attempt.limiter != nil) {
		return
	}
	attempt.replaced = true
	request.responseLost = true
	if isEjected {
		request.failed = append(request.failed, attempt.endpoint)
	}
	e.tryNext(request)
}

// cancelOvertaken cancels a lost attempt, so that the request is retried. Links are shared evenly and
// overload slows all attempts alike, so an attempt counts as lost only after later, larger ones have
// overtaken it.
func (e *Engine) cancelOvertaken(request *openRequest, n int) {
	attempt := &request.attempts[n]
	if attempt.overtaken < minOvertaken || !e.cfg.MayCancel || !e.hasAttemptsLeft(request, 1) {
		return
	}
	excessSeconds := (e.now - attempt.sentAt).Seconds() - attempt.expectedSeconds
	backoff := float64(uint(1) << request.cancels)
	if excessSeconds <= e.timing(attempt).Timeout()*backoff+(busySlowdown-1)*attempt.expectedSeconds {
		return
	}
	e.timing(attempt).Observe(excessSeconds) // so that the timeout rises if all responses are slow
	attempt.replaced = true
	request.cancels++
	e.emit(CancelAttempt{request.id, n})
}

// recordOvertaken counts a response against each attempt that it overtook: those that were sent earlier to
// the same endpoint, have a shorter expected transfer time and wait for the same source.
func recordOvertaken(request *openRequest, completed *attemptState) {
	for _, ref := range completed.endpoint.InFlight() {
		attempt := &ref.request.attempts[ref.n]
		isFill, completedFill := attempt.limiter != nil, completed.limiter != nil
		if isFill != completedFill || isFill && attempt.source != completed.source {
			continue
		}
		if attempt.sentAt < completed.sentAt && ref.request.expectedSeconds < request.expectedSeconds {
			attempt.overtaken++
		}
	}
}

// timing returns the estimator of how long responses of an attempt's kind take beyond their transfer time.
func (e *Engine) timing(attempt *attemptState) *rto.Estimator {
	if attempt.limiter != nil {
		return &e.fillTiming
	}
	return &e.cachedTiming
}
