package policy

import (
	"slices"

	"sloequay/internal/policy/endpointset"
	"sloequay/internal/policy/outlier"
)

// inconclusiveForEndpoint are the outcomes that say nothing about the endpoint or the source behind it.
var inconclusiveForEndpoint = []Status{
	StatusCanceled, StatusNotExecuted, StatusBudgetExhausted, StatusUnavailable,
}

// recordOutcome records the end of an attempt for the endpoint that caused it: the attempt's own, or the
// source behind it.
func (e *Engine) recordOutcome(request *openRequest, attempt *attemptState, event ResponseEvent) {
	switch {
	case event.Status == StatusOK:
		e.observe(attempt.endpoint, outlier.Success)
		if attempt.limiter != nil && attempt.isFill() && event.Note != NoteHit && !attempt.slow {
			e.observe(attempt.source, outlier.Success)
		}
	case event.Status == StatusUnavailable:
		request.failed = append(request.failed, attempt.endpoint)
	case slices.Contains(inconclusiveForEndpoint, event.Status):
		request.inconclusive++
	case event.Status == StatusMiss && (attempt.source.Role == endpointset.Cache || attempt.cachedOnly):
		request.recordExpectedMiss(attempt)
	case sourceFailed(attempt, event):
		request.failed = append(request.failed, attempt.source)
		if attempt.endpoint.Role != endpointset.Cache { // its only source is the origin
			request.failed = append(request.failed, attempt.endpoint)
		}
		e.recordSourceFailure(attempt, event)
	case event.Status == StatusReset && !request.responseLost:
		request.responseLost = true // the part may be cached by now: retry the same cache
	default:
		request.failed = append(request.failed, attempt.endpoint)
		e.recordEndpointFailure(attempt, event)
	}
	if event.Status == StatusReset {
		attempt.endpoint.LastResetAt = e.now
	}
}

// recordExpectedMiss records a miss where only a cached copy was asked for, which is no failure.
func (r *openRequest) recordExpectedMiss(attempt *attemptState) {
	r.toReplica = false
	if attempt.limiter == nil && attempt.isFill() && r.row != nil {
		r.row.CachedBy = 0 // the cache that the row names lacks the part
	}
}

// sourceFailed reports whether an unsuccessful response was caused by the source behind a cache. A cache at
// capacity rejects within rejectionTime; a later rejection or error without a note comes from its source.
func sourceFailed(attempt *attemptState, event ResponseEvent) bool {
	if !attempt.isFill() {
		return false
	}
	if event.Status == StatusMiss || event.Note >= NoteSourceRejected && event.Note != NoteNoCapacity {
		return true
	}
	if event.Note != NoteNone || event.Elapsed <= rejectionTime {
		return false
	}
	return event.Status == StatusAtCapacity || event.Status == StatusError && attempt.limiter != nil
}

// recordSourceFailure records a failure of the source, unless the origin behind it is the cause or the
// attempt is recorded as slow already.
func (e *Engine) recordSourceFailure(attempt *attemptState, event ResponseEvent) {
	if event.Note == NoteSourceMiss || event.Note == NoteOriginFailed || attempt.slow {
		return
	}
	outcome := outlier.Failure
	if event.Note == NoteSourceLost {
		outcome = outlier.HardFailure // like a refused connection, because outcomes of sources are rare
	}
	e.observe(attempt.source, outcome)
}

// recordEndpointFailure records a failure of the attempt's endpoint, if it indicates a fault.
func (e *Engine) recordEndpointFailure(attempt *attemptState, event ResponseEvent) {
	if event.Status == StatusAtCapacity || event.Status == StatusTimeout {
		return
	}
	// When a connection is reset, all attempts in flight on it end. They count as one failure, because a
	// single bad response does not show a fault.
	if event.Status == StatusReset && attempt.endpoint.LastResetAt == e.now {
		return
	}
	outcome := outlier.Failure
	if event.Status == StatusConnectFailed && attempt.endpoint.Role == endpointset.Cache {
		outcome = outlier.HardFailure
	}
	e.observe(attempt.endpoint, outcome)
}

// observe weighs an outcome against the usual failure rate for the endpoint's role, and applies the verdict.
func (e *Engine) observe(endpoint *endpointState, outcome outlier.Outcome) {
	e.applyVerdict(e.endpoints.Observe(endpoint, outcome), endpoint, outlier.Failing)
}

// applyVerdict ejects or readmits an endpoint. The origin is never ejected.
func (e *Engine) applyVerdict(verdict outlier.Verdict, endpoint *endpointState, cause outlier.Cause) {
	switch {
	case verdict == outlier.Recovered:
		endpoint.ReadmittedAt = e.now // it may have restarted before the list says so: let it warm up
		e.readmit(endpoint)
	case verdict == outlier.Faulty && (endpoint.Health.Ejected() || endpoint.Role != endpointset.Origin):
		e.eject(endpoint, cause)
	}
}

// recordSlowFill records a slow fill as a failure of its source. If the fills by the other parents are slow
// too, the cause is the origin, and the fill does not count against its parent.
func (e *Engine) recordSlowFill(attempt *attemptState) {
	source := attempt.source
	if source.Role != endpointset.Parent || attempt.cachedOnly || source.LastFillAt < attempt.sentAt {
		e.observe(source, outlier.Failure) // a parent without a fill since then is not waiting for the origin
		return
	}
	verdict := source.Health.Record(outlier.Failure, e.endpoints.OthersSlowRate(e.now, source))
	e.applyVerdict(verdict, source, outlier.SlowFills)
	e.endpoints.RecordParentFill(e.now, source, outlier.Slow)
}

// readmitSlowParents readmits the parents that are ejected only for slow fills, once the others are slow too.
func (e *Engine) readmitSlowParents() {
	for _, parent := range e.endpoints.Parents.Members() {
		othersSlowRate := e.endpoints.OthersSlowRate(e.now, parent)
		if parent.Health.EjectedForSlowness() && othersSlowRate == outlier.FaultyErrorRate {
			e.readmit(parent)
		}
	}
}

// ejectSilentCaches ejects the caches of the zone that have been silent for too long.
func (e *Engine) ejectSilentCaches() {
	for _, cache := range e.endpoints.SilentCaches(e.now) {
		e.eject(cache, outlier.Unresponsive)
	}
}

// eject stops ordinary requests to an endpoint, which then gets only trial requests.
func (e *Engine) eject(endpoint *endpointState, cause outlier.Cause) {
	if !endpoint.Health.Ejected() {
		e.emit(EndpointEjected{Endpoint: endpoint.ID, Cause: cause})
	}
	e.endpoints.Eject(e.now, endpoint, cause)
}

// readmit resumes ordinary requests to an endpoint.
func (e *Engine) readmit(endpoint *endpointState) {
	e.emit(EndpointReadmitted{Endpoint: endpoint.ID})
	e.endpoints.Readmit(endpoint)
}
