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

// objectiveShare of a request's objective is what its answer may take by the estimate.
const objectiveShare = 0.85

// saysNothingOfSource are the outcomes that say nothing of what is behind a cache.
var saysNothingOfSource = append([]Status{StatusConnectFailed, StatusReset}, saysNothingOfEndpoint...)

// giveUp ends a request at once: by a rejection where a retry does no harm, as none of it may have run or its
// class is safe to repeat; else by a failure.
func (e *Engine) giveUp(request *openRequest) {
	if e.isRetryHarmless(request) {
		e.emit(Reject{request.id, e.cfg.RetryAfter(&request.class.Class)})
	} else {
		e.emit(Fail{request.id})
	}
	e.finish(request)
}

// RetryAfter is how long a client with a rejected request of a class is asked to stay away; 0: no advice.
func (c *Config) RetryAfter(class *Class) time.Duration {
	return retryafter.Advisor{Max: c.MaxRetryAfter}.Rejected(class.LatencyObjective)
}

// hasCapacity reports whether an endpoint can answer in time beside what is in flight to it.
func (e *Engine) hasCapacity(request *openRequest, endpoint *endpointState) bool {
	if len(endpoint.InFlight()) == 0 || endpoint.Role == endpointset.Origin {
		return true
	}
	seconds := request.effectiveSeconds
	return seconds*e.endpoints.Load(e.now, endpoint) < objectiveShare*request.objectiveSeconds(seconds)
}

// objectiveSeconds is the latency objective of a request that takes so many seconds to send.
func (r *openRequest) objectiveSeconds(seconds float64) float64 {
	return r.class.LatencyObjective.Seconds() + r.class.ObjectiveStretch*seconds
}

// limiterFull says whether a limiter has no capacity for a request. A part of a fill is admitted by chance.
func (e *Engine) limiterFull(request *openRequest, limiter *aimd.Limiter) bool {
	draw := rendezvous.Draw(uint64(request.id))
	return limiter.Full(e.endpoints.LinkCapacity(), e.prices.Weight(request.price), draw)
}

// recordFill adapts an attempt's limiter to its answer, and notes which parents give answers.
func (e *Engine) recordFill(request *openRequest, attempt *attemptState, event ResponseEvent) {
	isOK := event.Status == StatusOK
	if isOK && (event.Note == NoteFilled || event.Note == NoteFilledOrigin) {
		attempt.source.LastFillAt = e.now // and not where its cache had the copy
	}
	if attempt.limiter == nil || event.Note == NoteHit || slices.Contains(saysNothingOfSource, event.Status) {
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
