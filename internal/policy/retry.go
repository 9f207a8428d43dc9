package policy

import (
	"slices"
	"time"

	"sloequay/internal/policy/endpointset"
	"sloequay/internal/policy/rto"
)

const (
	// minTimeLeft before its deadline a request is given up: no attempt would be answered in time.
	minTimeLeft = 20 * time.Millisecond
	// lostAfterSendingTimes, and rejectionTime more, an answer from a copy counts as lost, where hedging is
	// allowed.
	lostAfterSendingTimes = 2.0
	// busySlowdown is how much longer than their sending time a busy endpoint's answers take.
	busySlowdown = 1.5
	// minOvertaken is how many answers must have overtaken an attempt before it counts as lost.
	minOvertaken = 2
	// rejectionTime is by when a cache at capacity has said so; a later rejection is that of its source.
	rejectionTime = 50 * time.Millisecond
	// writeObjectiveShare of a write's objective at the origin shows that the origin has too many fills.
	writeObjectiveShare = 0.6
)

// advance sends the next attempt of a request that has none in flight, or gives the request up.
func (e *Engine) advance(request *openRequest) {
	if request.inFlight == 0 && (request.deadline-e.now < minTimeLeft || !e.tryNext(request)) {
		e.giveUp(request)
	}
}

// checkInFlight adds each attempt in flight to its endpoint's silence, and counts it once it has become slow.
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

// checkSlow counts an attempt that has missed its objective.
func (e *Engine) checkSlow(request *openRequest, attempt *attemptState) {
	objective := request.objectiveSeconds(request.expectedSeconds)
	elapsed := (e.now - attempt.sentAt).Seconds()
	isOriginWrite := request.class.Write && attempt.endpoint.Role == endpointset.Origin
	if isOriginWrite && elapsed > writeObjectiveShare*objective {
		attempt.slow = true
		e.fillLimiter.DecreaseByMaxStep() // writes wait behind fills there, and have more weight
		return
	}
	if attempt.limiter != nil && attempt.isFill() && elapsed > objective {
		attempt.slow = true
		e.recordSlowFill(attempt)
	}
}

// retryUnanswered has a request go on whose only attempt is lost or waits for an ejected endpoint: by an
// attempt beside it where hedging is allowed, else by one in its place.
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

// hedge sends a second attempt beside one that is lost or waits for an ejected endpoint.
func (e *Engine) hedge(request *openRequest, attempt *attemptState) {
	if request.class.Idempotency != Idempotent {
		return
	}
	isEjected := attempt.endpoint.Health.Ejected() || attempt.source.Health.Ejected()
	sendingSeconds := request.expectedSeconds * max(1, attempt.load)
	usualSeconds := lostAfterSendingTimes*sendingSeconds + rejectionTime.Seconds()
	isExpired := (e.now - attempt.sentAt).Seconds() > usualSeconds
	if !isEjected && (!isExpired || !request.sizeKnown || attempt.limiter != nil) {
		return
	}
	attempt.replaced = true
	request.answerLost = true
	if isEjected {
		request.failed = append(request.failed, attempt.endpoint)
	}
	e.tryNext(request)
}

// cancelOvertaken cancels a lost attempt, so that the request goes on. Links are shared evenly and under
// overload all attempts are slow alike; lost are only those that later and larger ones have overtaken.
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
	e.timing(attempt).Observe(excessSeconds) // so that the time-out rises where all has become slow
	attempt.replaced = true
	request.cancels++
	e.emit(CancelAttempt{request.id, n})
}

// recordOvertaken counts an answer for the attempts that it overtook: those that were sent earlier to the
// same endpoint, for less, and wait for the same source.
func recordOvertaken(request *openRequest, answered *attemptState) {
	for _, ref := range answered.endpoint.InFlight() {
		attempt := &ref.request.attempts[ref.n]
		isFill, answeredFill := attempt.limiter != nil, answered.limiter != nil
		if isFill != answeredFill || isFill && attempt.source != answered.source {
			continue
		}
		if attempt.sentAt < answered.sentAt && ref.request.expectedSeconds < request.expectedSeconds {
			attempt.overtaken++
		}
	}
}

// timing is what answers such as an attempt's take beyond their sending time.
func (e *Engine) timing(attempt *attemptState) *rto.Estimator {
	if attempt.limiter != nil {
		return &e.fillTiming
	}
	return &e.cachedTiming
}
