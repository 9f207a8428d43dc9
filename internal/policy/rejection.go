package policy

import (
	"slices"
	"time"

	"sloequay/internal/policy/aimd"
	"sloequay/internal/policy/endpointset"
	"sloequay/internal/policy/outlier"
	"sloequay/internal/policy/rendezvous"
	"sloequay/internal/retryafter"
)

// objectiveShare is the share of a request's objective that its estimated response time may reach.
const objectiveShare = 0.85

// inconclusiveForSource are the outcomes that say nothing about the source behind a cache.
var inconclusiveForSource = append([]Status{StatusConnectFailed, StatusReset}, inconclusiveForEndpoint...)

// giveUp ends a request: with a rejection if a retry is safe, since no attempt may have run or its class can
// be repeated, and otherwise with a failure.
func (e *Engine) giveUp(request *openRequest) {
	if e.isSafeToRetry(request) {
		e.emit(Reject{request.id, e.cfg.RetryAfter(&request.class.Class)})
	} else {
		e.emit(Fail{request.id})
	}
	e.finish(request)
}

// RetryAfter returns how long a client should wait before it retries a rejected request; 0: no advice.
func (c *Config) RetryAfter(class *Class) time.Duration {
	return retryafter.Advisor{Max: c.MaxRetryAfter}.Rejected(class.LatencyObjective)
}

// hasCapacity reports whether an endpoint can respond in time, given the attempts in flight to it.
func (e *Engine) hasCapacity(request *openRequest, endpoint *endpointState) bool {
	if len(endpoint.InFlight()) == 0 || endpoint.Role == endpointset.Origin {
		return true
	}
	seconds := request.effectiveSeconds
	return seconds*e.endpoints.Load(e.now, endpoint) < objectiveShare*request.objectiveSeconds(seconds)
}

// objectiveSeconds returns the latency objective for a transfer time, both in seconds.
func (r *openRequest) objectiveSeconds(seconds float64) float64 {
	return r.class.LatencyObjective.Seconds() + r.class.ObjectiveStretch*seconds
}

// limiterFull reports whether a limiter has no capacity left for a request. If there is capacity for only a
// fraction of a fill, the request is admitted with that fraction as the probability.
func (e *Engine) limiterFull(request *openRequest, limiter *aimd.Limiter) bool {
	draw := rendezvous.Draw(uint64(request.id))
	return limiter.Full(e.endpoints.LinkCapacity(), e.prices.Weight(request.price), draw)
}

// recordFill adapts an attempt's limiter to its response, and records when its source last filled.
func (e *Engine) recordFill(request *openRequest, attempt *attemptState, event ResponseEvent) {
	isOK := event.Status == StatusOK
	if isOK && (event.Note == NoteFilled || event.Note == NoteFilledOrigin) {
		attempt.source.LastFillAt = e.now // only fills: a hit at the cache says nothing about the source
	}
	if attempt.limiter == nil || event.Note == NoteHit ||
		slices.Contains(inconclusiveForSource, event.Status) {
		return
	}
	isInTime := event.Elapsed.Seconds() <= request.objectiveSeconds(request.expectedSeconds)
	if isInTime && (isOK || event.Status == StatusMiss) {
		attempt.limiter.Increase(e.endpoints.LinkCapacity())
	} else {
		attempt.limiter.Decrease(e.endpoints.LinkCapacity())
	}
	if isOK && event.Note == NoteFilledOrigin && !attempt.slow {
		e.endpoints.RecordParentFill(e.now, attempt.source, outlier.InTime)
	}
}
